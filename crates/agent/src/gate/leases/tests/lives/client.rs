//! The client of the upstream at the address, as the gate of one agent process creates it.

use std::{net::SocketAddr, sync::Mutex, time::Duration};

use http::HeaderMap;
use model::{RequestId, Slot, Token};
use tokio::time::sleep;
use upstream::{
    Answer, CallError, ControlError, GrantError, GrantedKeys, HandoverToken, Health, KeyLeaseMode,
    LeaseEnforcingUpstream, Load, Presence, Request, StatedCondition, Upstream, UpstreamFuture,
};

use super::address::{Address, KeyCall, Reply};

const PEER: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::new(127, 0, 0, 1)), 5);
const PROBE_LATENCY: Duration = Duration::from_millis(2);

/// A client that expects one incarnation of the upstream.
pub(super) struct Client {
    address: Address,
    /// Number of the agent process that it belongs to.
    generation: u32,
    expected_id: String,
    /// The life that earlier grants went to, and the highest token of these.
    connected: Mutex<Option<(usize, Token)>>,
}

impl Client {
    pub(super) fn new(address: Address, generation: u32, expected_id: &str) -> Client {
        let connected = Mutex::default();
        Client { address, generation, expected_id: expected_id.to_owned(), connected }
    }

    /// Sends a call. It never ends for a process that has ended, or if its answer is lost.
    async fn send(&self, call: KeyCall) -> Reply {
        if !self.address.is_attached(self.generation) {
            return std::future::pending().await;
        }
        let reply = {
            let mut connected = self.connected.lock().unwrap();
            self.address.start_call(call, &self.expected_id, &mut connected)
        };
        match reply.await {
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
            if !self.address.is_attached(self.generation) {
                return std::future::pending().await;
            }
            match self.address.running_id() {
                Some(id) if *id == *self.expected_id => Ok(Presence::Present),
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
        Box::pin(async { self.address.running_id().is_none() })
    }

    fn cancel(&self, _: RequestId) -> UpstreamFuture<'_, Result<(), ControlError>> {
        unsupported("cancel")
    }
}

impl LeaseEnforcingUpstream for Client {
    fn grant_keys(
        &self,
        granted: GrantedKeys,
        hold: Duration,
        _: Option<HandoverToken>,
    ) -> UpstreamFuture<'_, Result<(), GrantError>> {
        Box::pin(async move {
            match self.send(KeyCall::Grant { granted, hold }).await {
                Reply::Done => Ok(()),
                Reply::Outdated => Err(GrantError::Outdated { peer: PEER }),
                other => Err(GrantError::Unknown { peer: PEER, reason: format!("{other:?}") }),
            }
        })
    }

    fn release_keys(
        &self,
        granted: GrantedKeys,
    ) -> UpstreamFuture<'_, Result<HandoverToken, ControlError>> {
        Box::pin(async move {
            match self.send(KeyCall::Release(granted)).await {
                Reply::Done => Ok("warm".into()),
                other => {
                    let reason = format!("{other:?}");
                    Err(ControlError { step: "release", peer: PEER, reason })
                }
            }
        })
    }
}
