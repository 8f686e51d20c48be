//! The borders of the agent: what it speaks with callers, its upstream and the object store.

use std::sync::Arc;

use object_store::{CallCounts, CountedStore, HttpObjectStore, ObjectStore, Timeouts};
use settings::AgentSettings;
use tokio::sync::watch;

use crate::{
    control::CentralConfigSource,
    gate::{Connect, connect_http},
    ingress::{AnnounceProtocol, CallerProtocol, DefaultAnnounceProtocol, DefaultCallerProtocol},
    zones::{ClosedZones, ClosedZonesSource, follow_own_zones},
};

/// One set of adapters.
pub struct Adapters {
    pub store: Arc<dyn ObjectStore>,
    /// The same store, for the traffic threads: a client's connections live on the threads that made them.
    pub traffic_store: Arc<dyn ObjectStore>,
    pub callers: Arc<dyn CallerProtocol>,
    pub announcements: Arc<dyn AnnounceProtocol>,
    pub connect: Connect,
    /// Configurations of the whole fleet; none: teams write documents of their own.
    pub central_config: Option<CentralConfigSource>,
    pub closed_zones: ClosedZonesSource,
}

impl Adapters {
    /// The product's own forms. To be called on a runtime.
    pub(crate) fn own(
        settings: &AgentSettings,
        calls: &Arc<CallCounts>,
    ) -> anyhow::Result<Adapters> {
        let store = || HttpObjectStore::new(settings.platform_address, Timeouts::default());
        let (closed, closed_zones) = watch::channel(ClosedZones::default());
        let followed = || {
            let counted = CountedStore::new(Arc::new(store()?), Arc::clone(calls));
            anyhow::Ok(Arc::new(counted))
        };
        tokio::spawn(follow_own_zones(followed()?, closed));
        Ok(Adapters {
            store: Arc::new(store()?),
            traffic_store: followed()?,
            callers: Arc::new(DefaultCallerProtocol),
            announcements: Arc::new(DefaultAnnounceProtocol),
            connect: Box::new(connect_http),
            central_config: None,
            closed_zones,
        })
    }
}
