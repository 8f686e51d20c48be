//! The borders of the agent: what it speaks with callers, its upstream and the object store.

use std::sync::Arc;

use object_store::{HttpObjectStore, ObjectStore, Timeouts};
use settings::AgentSettings;

use crate::{
    control::FleetSource,
    gate::{Connect, connect_http},
    ingress::{AnnounceForm, CallerForm, OwnAnnounceForm, OwnForm},
};

/// One set of adapters.
pub struct Ports {
    pub store: Arc<dyn ObjectStore>,
    pub callers: Arc<dyn CallerForm>,
    pub announcements: Arc<dyn AnnounceForm>,
    pub connect: Connect,
    /// Configurations of the whole fleet; none: teams write documents of their own.
    pub fleet: Option<FleetSource>,
}

impl Ports {
    /// The product's own forms.
    pub(crate) fn own(settings: &AgentSettings) -> anyhow::Result<Ports> {
        let store = HttpObjectStore::new(settings.platform_address, Timeouts::default())?;
        Ok(Ports {
            store: Arc::new(store),
            callers: Arc::new(OwnForm),
            announcements: Arc::new(OwnAnnounceForm),
            connect: Box::new(connect_http),
            fleet: None,
        })
    }
}
