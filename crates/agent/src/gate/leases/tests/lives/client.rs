//! The client of the upstream at the address, as the gate of one agent process creates it.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use http::HeaderMap;
use model::{RequestId, Slot, Token};
use tokio::time::sleep;
use upstream::{
    Answer, CallError, ControlError, GrantError, GrantedKeys, HandoverToken, Health, KeyConnection,
    KeyConnectionError, KeyLeaseMode, LeaseEnforcingUpstream, Load, Presence, Request,
    StatedCondition, Upstream, UpstreamFuture,
};

use super::address::{Address, KeyCall, Receiver, Reply};
use crate::report::Announcement;

const PEER: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::new(127, 0, 0, 1)), 5);
const PROBE_LATENCY: Duration = Duration::from_millis(2);

/// A client that expects one incarnation of the upstream.
pub(super) struct Client(Arc<ClientParts>);

struct ClientParts {
    address: Address,
    /// Number of the agent process that it belongs to.
    generation: u32,
    expected_id: String,
    /// Whether another life may have the same id.
    may_share_id: bool,
    history: GrantHistory,
    connections: Mutex<Connections>,
}

/// The highest token that an agent process has granted.
pub(super) type GrantHistory = Arc<Mutex<Option<Token>>>;

/// What is known of the process at the other end of the connections for grants.
#[derive(Debug)]
struct Connections {
    receiver: Option<Receiver>,
    /// Only tokens above this one are granted.
    granted_before: Option<Token>,
}

/// A connection for one grant.
struct Connection {
    client: Arc<ClientParts>,
    receiver: Receiver,
}

impl Client {
    pub(super) fn new(
        address: Address,
        generation: u32,
        announcement: &Announcement,
        history: GrantHistory,
    ) -> Client {
        let expected_id = announcement.upstream_id.as_deref().unwrap_or_default().to_owned();
        let may_share_id = announcement.incarnation_start_ms.is_some();
        let granted_before = *history.lock().unwrap();
        let connections = Mutex::new(Connections { receiver: None, granted_before });
        let parts =
            ClientParts { address, generation, expected_id, may_share_id, history, connections };
        Client(Arc::new(parts))
    }
}

impl ClientParts {
    /// Opens a connection to the expected incarnation. If its process is not known to be that of earlier connections,
    /// since an id may be used again, only tokens above all earlier ones are granted on it.
    async fn connect(&self) -> Result<Receiver, Reply> {
        if !self.address.is_attached(self.generation) {
            return std::future::pending().await;
        }
        sleep(self.address.delay_connection()).await;
        let receiver = self.address.connect(&self.expected_id)?;
        let mut connections = self.connections.lock().unwrap();
        let is_known = connections.receiver.is_some_and(|it| it == receiver);
        if receiver != Receiver::Any && self.may_share_id && !is_known {
            connections.granted_before = *self.history.lock().unwrap();
        }
        connections.receiver = Some(receiver);
        Ok(receiver)
    }

    /// Returns whether a token may be granted on the connections, and keeps it if so.
    fn may_grant(&self, receiver: Receiver, token: Token) -> bool {
        let connections = self.connections.lock().unwrap();
        if receiver == Receiver::Any {
            return true;
        }
        if connections.granted_before >= Some(token) {
            return false;
        }
        let mut highest = self.history.lock().unwrap();
        *highest = (*highest).max(Some(token));
        true
    }

    /// Sends a call. It never ends for a process that has ended, or if its answer is lost.
    async fn send(&self, call: KeyCall, receiver: Receiver) -> Reply {
        if !self.address.is_attached(self.generation) {
            return std::future::pending().await;
        }
        match self.address.start_call(call, receiver).await {
            Ok(reply) if self.address.is_attached(self.generation) => reply,
            _ => std::future::pending().await,
        }
    }
}

fn unsupported<T: Send + 'static>(
    step: &'static str,
) -> UpstreamFuture<'static, Result<T, ControlError>> {
    let error = ControlError { step, peer: PEER, reason: "not supported".to_owned() };
    Box::pin(async move { Err(error) })
}

impl Upstream for Client {
    fn call(&self, _: Request) -> UpstreamFuture<'_, Result<Answer, CallError>> {
        let reason = "no requests are sent".to_owned();
        Box::pin(async { Err(CallError::NotSent { step: "call", peer: PEER, reason }) })
    }

    fn stated_condition(&self, _: &HeaderMap) -> StatedCondition {
        StatedCondition::default()
    }

    fn health(&self) -> UpstreamFuture<'_, Result<Health, ControlError>> {
        unsupported("health")
    }

    /// The answer states the id alone, which a later life may have too.
    fn probe(&self) -> UpstreamFuture<'_, Result<Presence, ControlError>> {
        Box::pin(async {
            sleep(PROBE_LATENCY).await;
            if !self.0.address.is_attached(self.0.generation) {
                return std::future::pending().await;
            }
            match self.0.address.running_id() {
                Some(id) if *id == *self.0.expected_id => Ok(Presence::Present),
                Some(_) => Ok(Presence::Replaced),
                None => {
                    let reason = "connection refused".to_owned();
                    Err(ControlError { step: "probe", peer: PEER, reason })
                }
            }
        })
    }

    fn load(&self) -> UpstreamFuture<'_, Result<Load, ControlError>> {
        unsupported("load")
    }

    fn grant(
        &self,
        _: Slot,
        _: Token,
        _: Duration,
    ) -> UpstreamFuture<'_, Result<(), ControlError>> {
        unsupported("grant of a slot")
    }

    fn prepare(&self, _: Slot) -> UpstreamFuture<'_, Result<(), ControlError>> {
        unsupported("prepare")
    }

    fn key_lease_mode(&self) -> KeyLeaseMode<'_> {
        KeyLeaseMode::ByCall(self)
    }

    fn needs_health_polling(&self) -> bool {
        false
    }

    fn has_exited(&self) -> UpstreamFuture<'_, bool> {
        Box::pin(async { self.0.address.running_id().is_none() })
    }

    fn cancel(&self, _: RequestId) -> UpstreamFuture<'_, Result<(), ControlError>> {
        unsupported("cancel")
    }
}

impl LeaseEnforcingUpstream for Client {
    fn key_connection(
        &self,
    ) -> UpstreamFuture<'_, Result<Box<dyn KeyConnection>, KeyConnectionError>> {
        Box::pin(async move {
            let client = Arc::clone(&self.0);
            match client.connect().await {
                Ok(receiver) => {
                    Ok(Box::new(Connection { client, receiver }) as Box<dyn KeyConnection>)
                }
                Err(Reply::Replaced) => Err(KeyConnectionError::Replaced { peer: PEER }),
                Err(other) => {
                    let reason = format!("{other:?}");
                    Err(KeyConnectionError::Unreachable { peer: PEER, reason })
                }
            }
        })
    }

    fn release_keys(
        &self,
        granted: GrantedKeys,
    ) -> UpstreamFuture<'_, Result<HandoverToken, ControlError>> {
        Box::pin(async move {
            match self.0.send(KeyCall::Release(granted), Receiver::Any).await {
                Reply::Done => Ok("warm".into()),
                other => {
                    let reason = format!("{other:?}");
                    Err(ControlError { step: "release", peer: PEER, reason })
                }
            }
        })
    }
}

impl KeyConnection for Connection {
    fn grant_keys(
        self: Box<Self>,
        granted: GrantedKeys,
        hold: Duration,
        _: Option<HandoverToken>,
    ) -> UpstreamFuture<'static, Result<(), GrantError>> {
        Box::pin(async move {
            if !self.client.may_grant(self.receiver, granted.token) {
                return Err(GrantError::Outdated { peer: PEER });
            }
            match self.client.send(KeyCall::Grant { granted, hold }, self.receiver).await {
                Reply::Done => Ok(()),
                Reply::Outdated => Err(GrantError::Outdated { peer: PEER }),
                other => Err(GrantError::Unknown { peer: PEER, reason: format!("{other:?}") }),
            }
        })
    }
}
