//! The adapters between the agent and its surroundings: callers, the local upstream and the object store.

use std::sync::Arc;

use body_budget::BodyBudget;
use object_store::{HttpObjectStore, ObjectStore, Timeouts};
use settings::AgentSettings;
use tokio::sync::watch;

use crate::{
    control::CentralConfigSource,
    gate::{Connect, connect_http},
    ingress::{AnnounceProtocol, CallerProtocol, DefaultAnnounceProtocol, DefaultCallerProtocol},
    store_relay::FollowedStores,
    zones::{ClosedZonesSource, follow_stored_zones},
};

/// The adapters of one agent.
pub struct Adapters {
    pub store: Arc<dyn ObjectStore>,
    /// The same store for the traffic threads: the connections of a client belong to the runtime that opened
    /// them.
    pub traffic_store: Arc<dyn ObjectStore>,
    pub callers: Arc<dyn CallerProtocol>,
    pub announcements: Arc<dyn AnnounceProtocol>,
    pub connect: Connect,
    /// Source of the central configuration. `None` if teams publish their own documents.
    pub central_config: Option<CentralConfigSource>,
    pub closed_zones: ClosedZonesSource,
}

impl Adapters {
    /// Creates the default adapters: HTTP towards callers, the upstream and the object store. Must be called
    /// on a runtime.
    pub(crate) fn from_settings(
        settings: &AgentSettings,
        followed: &FollowedStores,
        bodies: &BodyBudget,
    ) -> anyhow::Result<Adapters> {
        let store = || HttpObjectStore::new(settings.platform_address, Timeouts::default());
        let bodies = bodies.clone();
        let (closed_sender, closed_zones) = watch::channel(None);
        let followed_store = || anyhow::Ok(followed.wrap(Arc::new(store()?)));
        tokio::spawn(follow_stored_zones(followed_store()?, closed_sender));
        followed.start_probes(Arc::new(store()?));
        Ok(Adapters {
            store: Arc::new(store()?),
            traffic_store: followed_store()?,
            callers: Arc::new(DefaultCallerProtocol),
            announcements: Arc::new(DefaultAnnounceProtocol),
            connect: Box::new(move |announcement, document| {
                connect_http(announcement, document, bodies.clone())
            }),
            central_config: None,
            closed_zones,
        })
    }
}
