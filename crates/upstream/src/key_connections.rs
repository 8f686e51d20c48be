//! Connections for grants, each of which is known to end at one incarnation of the upstream.
//!
//! A grant is meant for one incarnation, and another one that has been started at its address since must not take it: that
//! one may hold the keys only under a higher fence. A new connection is therefore identified before it
//! carries a grant. Where an incarnation may have the id of its predecessor, the check alone does not tell them apart, and a
//! new connection must also be shown to end at the same process as an earlier one: the earlier one answers after the new
//! one has been opened. If none is left to show it, only tokens above all earlier ones are granted.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, response::Parts};
use http_body_util::Full;
use http_pool::{Connection, ExchangeError, Pool, Reply};
use model::Token;
use tokio::{
    sync::Notify,
    time::{Instant, timeout},
};

use crate::{GrantError, KeyConnectionError};

/// Size limit of the body of a reply.
const BODY_BYTES_MAX: usize = 64 << 10;

/// Idle connections that are kept. Several ranges of keys are granted at a time.
const IDLE_MAX: usize = 6;
/// Number of connections that are opened for one grant if the upstream closes them after the identity check.
const OPEN_ATTEMPTS_MAX: usize = 3;
/// Longest wait for the identity checks that show that an additional connection ends at the same process.
const EXTENSION_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after a connection could not be identified; it doubles with each further failure.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(50);
const RETRY_DELAY_MAX: Duration = Duration::from_millis(400);

/// Request whose reply shows which incarnation of the upstream has sent it.
pub trait IdentityCheck: Send + Sync {
    /// Returns the request to the upstream at this address, or why it cannot be built.
    fn request(&self, address: SocketAddr) -> Result<Request<Full<Bytes>>, String>;
    /// Returns which incarnation a reply comes from, or why it is not a reply to this request.
    fn responder(&self, reply: &Parts) -> Result<Responder, String>;
}

/// The incarnation that has sent a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Responder {
    Expected,
    Other,
    /// The reply does not show it.
    Unknown,
}

/// The highest token that this process has granted to any incarnation of its upstream.
#[derive(Debug, Default)]
pub struct GrantHistory(Mutex<Option<Token>>);

/// Connections for grants to one incarnation of the upstream.
#[derive(Debug)]
pub struct KeyConnections {
    pool: Pool,
    /// Whether another incarnation may have the same id.
    may_share_id: bool,
    history: Arc<GrantHistory>,
    state: Mutex<State>,
    /// Held while a connection is taken that has to be shown to end at the same process as an earlier one.
    extension: tokio::sync::Mutex<()>,
    /// Notified when a connection is no longer in use.
    returned: Notify,
}

#[derive(Debug)]
struct State {
    /// Connections of the current lineage.
    idle: VecDeque<Connection>,
    /// Number of connections of the current lineage that are in use.
    in_use: usize,
    /// Number of the set of connections that are known to end at the same process.
    lineage: u64,
    /// Only tokens above this one are granted on connections of this lineage.
    granted_before: Option<Token>,
    retry_delay: Duration,
    retry_at: Option<Instant>,
}

/// Identified connection that is used for one grant. Dropping it makes it idle, unless a call is in flight on it.
#[derive(Debug)]
pub struct GrantConnection {
    connections: Arc<KeyConnections>,
    /// `None` while a call is in flight, and once the connection is closed.
    connection: Option<Connection>,
    lineage: u64,
}

impl GrantHistory {
    fn highest(&self) -> Option<Token> {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record(&self, token: Token) {
        let mut highest = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *highest = (*highest).max(Some(token));
    }
}

impl KeyConnections {
    /// Creates an empty set of connections to the address of `pool`. `may_share_id` is whether another incarnation may
    /// have the id that the identity check expects.
    pub fn new(pool: Pool, may_share_id: bool, history: Arc<GrantHistory>) -> KeyConnections {
        let state = State {
            idle: VecDeque::new(),
            in_use: 0,
            lineage: 0,
            granted_before: history.highest(),
            retry_delay: RETRY_DELAY_MIN,
            retry_at: None,
        };
        KeyConnections {
            pool,
            may_share_id,
            history,
            state: Mutex::new(state),
            extension: tokio::sync::Mutex::default(),
            returned: Notify::new(),
        }
    }

    /// Returns an identified connection, an idle one if possible.
    ///
    /// # Errors
    ///
    /// If the upstream cannot be reached, does not show which incarnation it is, or is another one.
    pub async fn take(
        self: &Arc<KeyConnections>,
        check: &dyn IdentityCheck,
    ) -> Result<GrantConnection, KeyConnectionError> {
        if self.may_share_id {
            return self.take_of_lineage(check).await;
        }
        match self.pop_idle() {
            Some(it) => Ok(it),
            None => {
                let connection = self.open(check).await?;
                Ok(self.in_use(connection))
            }
        }
    }

    /// Returns a connection of the current lineage, and leaves another one idle if possible, which shows for further
    /// connections that they end at the same process.
    async fn take_of_lineage(
        self: &Arc<KeyConnections>,
        check: &dyn IdentityCheck,
    ) -> Result<GrantConnection, KeyConnectionError> {
        let _extension = self.extension.lock().await;
        loop {
            while let Some(connection) = self.pop_idle() {
                if self.state().has_idle() {
                    return Ok(connection);
                }
                if let Some(connection) = self.extend_lineage(check, connection).await {
                    return Ok(connection);
                }
            }
            if self.state().in_use == 0 {
                return self.begin_lineage(check).await;
            }
            self.returned.notified().await;
        }
    }

    /// Opens an additional connection that ends at the same process as `connection`. Returns `None` if `connection` is
    /// lost before that is shown.
    async fn extend_lineage(
        self: &Arc<KeyConnections>,
        check: &dyn IdentityCheck,
        mut connection: GrantConnection,
    ) -> Option<GrantConnection> {
        let additional = match timeout(EXTENSION_TIMEOUT, self.open(check)).await {
            Ok(Ok(it)) => it,
            // A grant may still be sent on the only connection.
            Ok(Err(_)) => return Some(connection),
            Err(_) => {
                self.state().record_attempt(false);
                return Some(connection);
            }
        };
        let earlier = connection.connection.take()?;
        match timeout(EXTENSION_TIMEOUT, self.identify(check, earlier)).await {
            Ok(Ok(Some(earlier))) => {
                connection.connection = Some(earlier);
                self.state().keep(additional, connection.lineage);
                Some(connection)
            }
            // The upstream closes the connection after its answer, which came from the same process.
            Ok(Ok(None)) => {
                connection.connection = Some(additional);
                Some(connection)
            }
            Ok(Err(_)) | Err(_) => None,
        }
    }

    async fn begin_lineage(
        self: &Arc<KeyConnections>,
        check: &dyn IdentityCheck,
    ) -> Result<GrantConnection, KeyConnectionError> {
        let connection = self.open(check).await?;
        {
            let mut state = self.state();
            state.idle.clear();
            state.lineage += 1;
            state.in_use = 0;
            state.granted_before = self.history.highest();
            if let Some(token) = state.granted_before {
                log::info!(target: "upstream", "No connection shows whether upstream {} is the process that was granted keys before; only tokens above {token} are granted to it.", self.address());
            }
        }
        let connection = self.in_use(connection);
        let is_lost = || self.unconfirmed("a new connection was lost".to_owned());
        self.extend_lineage(check, connection).await.ok_or_else(is_lost)
    }

    /// Opens a connection and identifies its other end.
    async fn open(&self, check: &dyn IdentityCheck) -> Result<Connection, KeyConnectionError> {
        if self.state().retry_at.is_some_and(|it| Instant::now() < it) {
            return Err(self.unconfirmed("the last attempt has just failed".to_owned()));
        }
        let mut result = Err(self.unconfirmed("no attempt was made".to_owned()));
        for _ in 0..OPEN_ATTEMPTS_MAX {
            result = self.open_once(check).await;
            if !matches!(result, Ok(None)) {
                break;
            }
        }
        self.state().record_attempt(matches!(result, Ok(Some(_))));
        let closed = || self.unconfirmed("it closes connections after identity checks".to_owned());
        result.and_then(|connection| connection.ok_or_else(closed))
    }

    /// Returns `None` if the upstream closes the connection after the identity check.
    async fn open_once(
        &self,
        check: &dyn IdentityCheck,
    ) -> Result<Option<Connection>, KeyConnectionError> {
        let peer = self.address();
        let connection = self.pool.open_connection().await.map_err(|error| match error {
            ExchangeError::NotSent(reason) => KeyConnectionError::Unreachable { peer, reason },
            error => self.unconfirmed(error.to_string()),
        })?;
        self.identify(check, connection).await
    }

    /// Returns the connection if its other end is the expected incarnation; `None` if it is, but closes the connection.
    async fn identify(
        &self,
        check: &dyn IdentityCheck,
        connection: Connection,
    ) -> Result<Option<Connection>, KeyConnectionError> {
        let request = check.request(self.address()).map_err(|it| self.unconfirmed(it))?;
        let reply = connection.exchange(request, BODY_BYTES_MAX).await;
        let (reply, connection) = reply.map_err(|error| self.unconfirmed(error.to_string()))?;
        match check.responder(&reply.parts) {
            Ok(Responder::Expected) => Ok(connection),
            Ok(Responder::Other) => Err(KeyConnectionError::Replaced { peer: self.address() }),
            Ok(Responder::Unknown) => {
                Err(self.unconfirmed(format!("status {} without an id", reply.parts.status)))
            }
            Err(reason) => Err(self.unconfirmed(reason)),
        }
    }

    fn pop_idle(self: &Arc<KeyConnections>) -> Option<GrantConnection> {
        let connection = {
            let mut state = self.state();
            state.idle.retain(Connection::is_usable);
            // The connection that was idle for longest is used next, so that none is closed for being idle.
            state.idle.pop_front()?
        };
        Some(self.in_use(connection))
    }

    fn in_use(self: &Arc<KeyConnections>, connection: Connection) -> GrantConnection {
        let mut state = self.state();
        state.in_use += 1;
        let lineage = state.lineage;
        GrantConnection { connections: Arc::clone(self), connection: Some(connection), lineage }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn address(&self) -> SocketAddr {
        self.pool.address()
    }

    fn unconfirmed(&self, reason: String) -> KeyConnectionError {
        KeyConnectionError::Unconfirmed { peer: self.address(), reason }
    }
}

impl State {
    fn has_idle(&self) -> bool {
        self.idle.iter().any(Connection::is_usable)
    }

    fn keep(&mut self, connection: Connection, lineage: u64) {
        if lineage == self.lineage && self.idle.len() < IDLE_MAX {
            self.idle.push_back(connection);
        }
    }

    fn record_attempt(&mut self, is_successful: bool) {
        match is_successful {
            true => (self.retry_at, self.retry_delay) = (None, RETRY_DELAY_MIN),
            false => {
                self.retry_at = Some(Instant::now() + self.retry_delay);
                self.retry_delay = (self.retry_delay * 2).min(RETRY_DELAY_MAX);
            }
        }
    }
}

impl GrantConnection {
    /// Returns the address of the upstream.
    pub fn address(&self) -> SocketAddr {
        self.connections.address()
    }

    /// Sends a grant under a token and returns the reply. The connection is kept if `is_reusable` returns true for it.
    ///
    /// # Errors
    ///
    /// If the token is not above those of earlier lineages, or there is no complete reply.
    pub async fn send(
        mut self,
        token: Token,
        request: Request<Full<Bytes>>,
        is_reusable: impl Fn(&Reply) -> bool,
    ) -> Result<Reply, GrantError> {
        let peer = self.address();
        let not_sent = |reason: String| GrantError::NotSent { peer, reason };
        {
            let state = self.connections.state();
            if state.granted_before >= Some(token) {
                return Err(GrantError::Outdated { peer });
            }
            if state.lineage != self.lineage {
                return Err(not_sent("its connection is outdated".to_owned()));
            }
            self.connections.history.record(token);
        }
        let connection = self.connection.take();
        let connection =
            connection.ok_or_else(|| not_sent("its connection is closed".to_owned()))?;
        match connection.exchange(request, BODY_BYTES_MAX).await {
            Ok((reply, connection)) => {
                self.connection = connection.filter(|_| is_reusable(&reply));
                Ok(reply)
            }
            Err(ExchangeError::NotSent(reason) | ExchangeError::Closed(reason)) => {
                Err(not_sent(reason))
            }
            Err(error) => Err(GrantError::Unknown { peer, reason: error.to_string() }),
        }
    }
}

impl Drop for GrantConnection {
    fn drop(&mut self) {
        {
            let mut state = self.connections.state();
            if state.lineage == self.lineage {
                state.in_use -= 1;
            }
            if let Some(connection) = self.connection.take() {
                state.keep(connection, self.lineage);
            }
        }
        self.connections.returned.notify_one();
    }
}
