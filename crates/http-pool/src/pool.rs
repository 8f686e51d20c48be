//! Connection pool and the exchange of requests and replies on its connections.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use body_budget::{BodyBudget, BodyKind, CollectError, collect};
use bytes::Bytes;
use http::{
    HeaderMap, Request, Response, StatusCode, Version,
    header::{CONNECTION, HeaderName},
    response::Parts,
};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::TrySendError};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::TcpStream,
    time::{Instant, timeout},
};

use crate::connection::{self, Sender};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Margin by which an idle connection is dropped before its peer closes it, since a request sent at the moment of
/// closing is lost. The peer announces its time-out in whole seconds.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_000);
/// The same margin for a [`Connection`], whose user can tell a lost request from a refused one.
const CONNECTION_KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(200);
/// Number of unanswered TCP keep-alive probes after which a connection is closed.
const UNANSWERED_PROBES_MAX: u32 = 2;
/// Number of repeatable ids at which a connection is closed, which bounds their memory to 8 KB.
const REPEATABLE_IDS_MAX: usize = 1_024;
/// Longest wait for a connection that has just received a reply to become ready for the next request.
const READY_TIMEOUT: Duration = Duration::from_millis(5);
/// Size limit up to which replies are read outside of the budget for bodies, so that calls about leases and health never
/// wait for room.
const UNBUDGETED_BYTES_MAX: usize = 64 << 10;

/// Timeouts and limits of a pool's connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolConfig {
    pub connect_timeout: Duration,
    /// Longest time that an idle connection is kept, if its peer does not announce a shorter one.
    pub idle_timeout: Duration,
    /// Largest number of idle connections.
    pub idle_max: usize,
    /// Interval of TCP keep-alive probes, or `None` for no probes. A connection is closed when its peer has not
    /// responded for three intervals, also while a request is in flight on it.
    pub probe_interval: Option<Duration>,
}

/// Pool of connections to one address.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    config: PoolConfig,
    idle: Mutex<Vec<IdleConnection>>,
    connections_opened: AtomicU64,
    /// Room for the bodies of replies.
    body_budget: BodyBudget,
}

/// Hash of the id that a call and its replies carry. All sendings of a call have the same id, so a late second copy of
/// the reply to one sending would be taken for the reply to the next one on that connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallId(pub u64);

/// Use of a connection after a reply to a call with an id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// The connection is closed, since its replies may no longer match its calls.
    Never,
    /// The call is complete. The connection is used for all further calls, but not for the same id directly afterwards.
    Completed,
    /// The call may be sent again. The connection stays usable for other ids, but is never used for this one again.
    Repeatable,
}

/// Earlier calls on a connection whose late replies could be taken for the reply to a further call.
#[derive(Debug, Default)]
struct PastCalls {
    last: Option<CallId>,
    repeatable: Vec<CallId>,
}

#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    expires_at: Instant,
    past: PastCalls,
}

/// A completely received reply.
#[derive(Debug)]
pub struct Reply {
    pub parts: Parts,
    pub body: Bytes,
    /// Whether the connection was opened for this exchange.
    pub is_first_on_connection: bool,
}

/// Reason for an exchange without a complete reply.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum ExchangeError {
    /// No connection could be opened, so no byte of the request has left this process.
    #[error("request not sent: {0}")]
    NotSent(String),
    /// The peer accepted a new connection but closed it before any byte of the request was written.
    #[error("connection closed before the request was sent: {0}")]
    Closed(String),
    /// No valid reply was received, although the request may have reached the peer.
    #[error("no valid reply: {0}")]
    Lost(String),
    /// The reply started but was cut off or is too large.
    #[error("reply not read completely: {0}")]
    Broken(String),
}

/// One connection for exchanges one after the other. All of them reach the process that has accepted the connection.
#[derive(Debug)]
pub struct Connection {
    sender: Sender,
    config: PoolConfig,
    body_budget: BodyBudget,
    expires_at: Instant,
}

impl Connection {
    /// Returns whether neither side has closed the connection and it has not been idle for too long.
    pub fn is_usable(&self) -> bool {
        !self.sender.is_closed() && Instant::now() < self.expires_at
    }

    /// Sends a request and reads the complete reply. Returns the connection with it, unless the peer closes it after
    /// this reply. Dropping the future closes the connection.
    pub async fn exchange(
        mut self,
        request: Request<Full<Bytes>>,
        bytes_max: usize,
    ) -> Result<(Reply, Option<Connection>), ExchangeError> {
        // The reply that the connection last received may still be in the process of being completed.
        _ = timeout(READY_TIMEOUT, self.sender.ready()).await;
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(error) => return Err(send_error(error)),
        };
        let (parts, body) = response.into_parts();
        check_status(parts.status)?;
        let body = read(body, bytes_max, &self.body_budget).await?;
        let connection = match idle_time(&self.config, CONNECTION_KEEP_ALIVE_MARGIN, &parts) {
            Some(idle_time) if !self.sender.is_closed() => {
                self.expires_at = Instant::now() + idle_time;
                Some(self)
            }
            _ => None,
        };
        Ok((Reply { parts, body, is_first_on_connection: false }, connection))
    }
}

impl Reuse {
    fn completed_if(is_reusable: bool) -> Reuse {
        if is_reusable { Reuse::Completed } else { Reuse::Never }
    }
}

impl PastCalls {
    /// Returns whether the reply to a call with the id cannot be confused with one to an earlier call.
    fn allows(&self, id: Option<CallId>) -> bool {
        match id {
            None => true,
            Some(it) if self.repeatable.contains(&it) => false,
            Some(_) => self.last != id,
        }
    }
}

impl Pool {
    /// Creates a pool that opens its first connection with the first request.
    pub fn new(address: SocketAddr, config: PoolConfig) -> Pool {
        Pool {
            address,
            config,
            idle: Mutex::default(),
            connections_opened: AtomicU64::new(0),
            body_budget: BodyBudget::unlimited(),
        }
    }

    /// Sets the budget within which large replies are read: a reply for which there is no room is not read on before
    /// there is.
    pub fn with_body_budget(self, body_budget: BodyBudget) -> Pool {
        Pool { body_budget, ..self }
    }

    /// Creates an empty pool of connections to the same address, with the same configuration.
    pub fn separate(&self) -> Pool {
        Pool::new(self.address, self.config).with_body_budget(self.body_budget.clone())
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of connections opened since the start.
    pub fn connections_opened(&self) -> u64 {
        self.connections_opened.load(Ordering::Relaxed)
    }

    /// Opens a connection that is not part of the pool.
    pub async fn open_connection(&self) -> Result<Connection, ExchangeError> {
        let sender = self.connect().await?;
        let expires_at = Instant::now() + self.config.idle_timeout;
        let body_budget = self.body_budget.clone();
        Ok(Connection { sender, config: self.config, body_budget, expires_at })
    }

    /// Returns whether the address refuses connections, that is, no process listens there. A connection opened by the
    /// check is kept for the next request.
    pub async fn refuses_connections(&self) -> bool {
        match self.open().await {
            Ok(stream) => {
                if let Ok(sender) = self.handshake(stream).await {
                    let expires_at = Instant::now() + self.config.idle_timeout;
                    self.keep_until(expires_at, sender, PastCalls::default());
                }
                false
            }
            Err(error) => error.is_some_and(|it| it.kind() == io::ErrorKind::ConnectionRefused),
        }
    }

    /// Sends a request and reads the complete reply. The connection is used again only if `is_reusable` returns true
    /// for the head of the reply. Dropping the future closes the connection.
    pub async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        bytes_max: usize,
        is_reusable: impl FnOnce(&Parts) -> bool,
    ) -> Result<Reply, ExchangeError> {
        let reuse = |parts: &Parts| Reuse::completed_if(is_reusable(parts));
        self.exchange_with(None, request, bytes_max, reuse).await
    }

    /// Does the same as [`Pool::exchange`], on a connection where no reply to an earlier sending of the id can be
    /// outstanding: neither was the last call a sending of it, nor any call with it [`Reuse::Repeatable`].
    pub async fn exchange_with_id(
        &self,
        id: CallId,
        request: Request<Full<Bytes>>,
        bytes_max: usize,
        reuse: impl FnOnce(&Parts) -> Reuse,
    ) -> Result<Reply, ExchangeError> {
        self.exchange_with(Some(id), request, bytes_max, reuse).await
    }

    async fn exchange_with(
        &self,
        id: Option<CallId>,
        request: Request<Full<Bytes>>,
        bytes_max: usize,
        reuse: impl FnOnce(&Parts) -> Reuse,
    ) -> Result<Reply, ExchangeError> {
        let (sender, past, response) = self.send(id, request).await?;
        let is_first_on_connection = past.is_none();
        let mut past = past.unwrap_or_default();
        let (parts, body) = response.into_parts();
        check_status(parts.status)?;
        let body = read(body, bytes_max, &self.body_budget).await?;
        past.last = id;
        match (reuse(&parts), id) {
            (Reuse::Never, _) => {}
            (Reuse::Repeatable, Some(id)) => {
                past.repeatable.push(id);
                self.keep(sender, past, &parts);
            }
            (Reuse::Repeatable | Reuse::Completed, _) => self.keep(sender, past, &parts),
        }
        Ok(Reply { parts, body, is_first_on_connection })
    }

    /// Sends a request and returns the head of the reply with its connection, and the earlier calls on it unless it is
    /// new. A request that was never written is tried on further idle connections and finally on a new one.
    async fn send(
        &self,
        id: Option<CallId>,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Sender, Option<PastCalls>, Response<Incoming>), ExchangeError> {
        while let Some((mut sender, past)) = self.take(id).await {
            match sender.try_send_request(request).await {
                Ok(response) => return Ok((sender, Some(past), response)),
                Err(mut error) => match unwritten(&mut error) {
                    Some(unwritten) => request = unwritten,
                    None => return Err(ExchangeError::Lost(error.into_error().to_string())),
                },
            }
        }
        let mut sender = self.connect().await?;
        match sender.try_send_request(request).await {
            Ok(response) => Ok((sender, None, response)),
            Err(error) => Err(send_error(error)),
        }
    }

    fn idle(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the most recently used idle connection that is open and usable for a call with the id.
    async fn take(&self, id: Option<CallId>) -> Option<(Sender, PastCalls)> {
        loop {
            let IdleConnection { mut sender, expires_at, past } = self.pop(id)?;
            if sender.is_closed() || expires_at <= Instant::now() {
                continue;
            }
            if sender.is_ready()
                || matches!(timeout(READY_TIMEOUT, sender.ready()).await, Ok(Ok(())))
            {
                return Some((sender, past));
            }
        }
    }

    fn pop(&self, id: Option<CallId>) -> Option<IdleConnection> {
        let mut idle = self.idle();
        let index = idle.iter().rposition(|it| it.past.allows(id))?;
        Some(idle.remove(index))
    }

    fn keep(&self, sender: Sender, past: PastCalls, parts: &Parts) {
        let is_full = past.repeatable.len() >= REPEATABLE_IDS_MAX;
        match idle_time(&self.config, KEEP_ALIVE_MARGIN, parts) {
            Some(idle_time) if !is_full && !idle_time.is_zero() && !sender.is_closed() => {
                self.keep_until(Instant::now() + idle_time, sender, past);
            }
            _ => {}
        }
    }

    fn keep_until(&self, expires_at: Instant, sender: Sender, past: PastCalls) {
        let now = Instant::now();
        let mut idle = self.idle();
        idle.retain(|it| now < it.expires_at && !it.sender.is_closed());
        if idle.len() < self.config.idle_max {
            idle.push(IdleConnection { sender, expires_at, past });
        }
    }

    fn configure(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let Some(interval) = self.config.probe_interval else { return Ok(()) };
        let probes = TcpKeepalive::new()
            .with_time(interval)
            .with_interval(interval)
            .with_retries(UNANSWERED_PROBES_MAX);
        let socket = SockRef::from(stream);
        socket.set_tcp_keepalive(&probes)?;
        socket.set_tcp_user_timeout(Some(interval * (UNANSWERED_PROBES_MAX + 1)))
    }

    async fn connect(&self) -> Result<Sender, ExchangeError> {
        let stream = self.open().await.map_err(|error| match error {
            Some(error) => connect_error(&error),
            None => {
                let limit = self.config.connect_timeout;
                ExchangeError::NotSent(format!("connecting timed out after {limit:?}"))
            }
        })?;
        self.handshake(stream).await
    }

    /// Opens a TCP connection. The error is `None` if connecting timed out.
    async fn open(&self) -> Result<TcpStream, Option<io::Error>> {
        match timeout(self.config.connect_timeout, TcpStream::connect(self.address)).await {
            Ok(result) => result.map_err(Some),
            Err(_) => Err(None),
        }
    }

    async fn handshake(&self, stream: TcpStream) -> Result<Sender, ExchangeError> {
        let closed = |reason: String| ExchangeError::Closed(reason);
        self.connections_opened.fetch_add(1, Ordering::Relaxed);
        self.configure(&stream).map_err(|error| closed(error.to_string()))?;
        let (sender, connection) =
            connection::start(stream).await.map_err(|error| closed(error.to_string()))?;
        let address = self.address;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(target: "http", "A connection to {address} failed and is closed: {error}.");
            }
        });
        Ok(sender)
    }
}

/// Checks that a status is that of a final answer. The HTTP library accepts all numbers of three digits from 100 on.
fn check_status(status: StatusCode) -> Result<(), ExchangeError> {
    match status.as_u16() {
        200..=599 => Ok(()),
        _ => Err(ExchangeError::Broken(format!("{status} is not the status of a final answer"))),
    }
}

/// Reads a body within the budget, unless it is small.
async fn read(
    body: Incoming,
    bytes_max: usize,
    budget: &BodyBudget,
) -> Result<Bytes, ExchangeError> {
    let budget = match bytes_max <= UNBUDGETED_BYTES_MAX {
        true => &BodyBudget::unlimited(),
        false => budget,
    };
    collect(body, bytes_max, budget, BodyKind::Answer).await.map_err(|error| match error {
        CollectError::TooLarge { bytes_max } => {
            ExchangeError::Broken(format!("the body is larger than {bytes_max} bytes"))
        }
        CollectError::NoRoom(_) | CollectError::Broken(_) => {
            ExchangeError::Broken(error.to_string())
        }
    })
}

/// Returns the request if hyper never started to write it.
fn unwritten(error: &mut TrySendError<Request<Full<Bytes>>>) -> Option<Request<Full<Bytes>>> {
    if !error.error().is_canceled() {
        return None;
    }
    error.take_message()
}

fn connect_error(error: &io::Error) -> ExchangeError {
    match error.kind() {
        // A connection is refused if no process listens, but reset if the peer closes it after accepting it.
        io::ErrorKind::ConnectionReset => ExchangeError::Closed(error.to_string()),
        _ => ExchangeError::NotSent(error.to_string()),
    }
}

/// Returns the error of a request on a connection that was not closed before, as far as was known.
fn send_error(mut error: TrySendError<Request<Full<Bytes>>>) -> ExchangeError {
    let is_unwritten = unwritten(&mut error).is_some();
    let reason = error.into_error().to_string();
    match is_unwritten {
        true => ExchangeError::Closed(reason),
        false => ExchangeError::Lost(reason),
    }
}

/// Returns how long a connection can be kept idle after this reply, with a margin before the peer closes it; `None` if it
/// cannot be used again.
fn idle_time(config: &PoolConfig, margin: Duration, parts: &Parts) -> Option<Duration> {
    let idle_time = match keep_alive_timeout(&parts.headers) {
        Some(peer) => peer.saturating_sub(margin).min(config.idle_timeout),
        None => config.idle_timeout,
    };
    (!closes_connection(parts)).then_some(idle_time)
}

/// Returns whether the peer closes the connection after this reply.
fn closes_connection(parts: &Parts) -> bool {
    let options = parts.headers.get_all(CONNECTION).iter().filter_map(|it| it.to_str().ok());
    let has_close =
        options.flat_map(|it| it.split(',')).any(|it| it.trim().eq_ignore_ascii_case("close"));
    has_close || parts.version != Version::HTTP_11
}

/// Returns how long the peer keeps an idle connection open, if the reply contains that time.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let parameters = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let timeout = parameters.split(',').find_map(|it| it.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(timeout.trim().parse().ok()?))
}

impl From<Reply> for Response<Bytes> {
    fn from(reply: Reply) -> Response<Bytes> {
        Response::from_parts(reply.parts, reply.body)
    }
}
