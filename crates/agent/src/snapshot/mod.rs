//! Immutable snapshots of services and routes, which the control thread publishes to the traffic threads.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use arc_swap::ArcSwap;
use model::{ConfigVersion, Instance, KeyHash, ServiceName, Slot, SlotCount};
use ownership::{NodeView, UpstreamState};
use settings::{RoutingTable, ServiceDocument};
use tokio::sync::watch;

use crate::{connections::ClientLimits, report::Announcement};

/// The data by which ingress routes requests.
#[derive(Debug, Default)]
pub struct Snapshot {
    pub services: HashMap<ServiceName, Arc<ServiceRoutes>>,
    /// Routes by host. `None` if there is no central configuration or it has not been read yet.
    pub routing: Option<Arc<RoutingTable>>,
    /// The local upstream. `None` until it has announced itself.
    pub local: Option<LocalUpstream>,
}

/// The upstream behind the local gate. The slots and keys that the gate admits are not part of it; they are
/// set by [`crate::gate::GateHandle::apply`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalUpstream {
    pub announcement: Announcement,
    /// Whether this incarnation has confirmed that it runs and is not leaving.
    pub is_confirmed: bool,
    /// Set while the upstream must get no new work from callers that can use another instance.
    pub leaving: Option<LeaveReason>,
    /// Whether this incarnation has announced that it leaves for good.
    pub leaves_for_good: bool,
}

/// The reason for which an upstream must get no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaveReason {
    /// The upstream or its agent is stopping.
    Stopping,
    /// An operator has closed the upstream's availability zone.
    ZoneClosed,
}

/// One service with its current document and its routes.
#[derive(Debug)]
pub struct ServiceRoutes {
    pub service: ServiceName,
    pub version: ConfigVersion,
    /// The document with this version.
    pub document: Arc<ServiceDocument>,
    pub routes: Routes,
}

/// The instances that requests of a service may be sent to.
#[derive(Debug)]
pub enum Routes {
    /// Requests go only to the owner of their key.
    ByKey(KeyRoutes),
    /// Requests may go to any member.
    Any(Vec<MemberRoute>),
}

impl Routes {
    /// Returns the version of the routes, which increases when an owner changes; zero if there are no owners.
    pub(crate) fn version(&self) -> u64 {
        match self {
            Routes::ByKey(routes) => routes.route_version,
            Routes::Any(_) => 0,
        }
    }

    /// Returns the instances that requests may be sent to. An instance may occur more than once.
    pub(crate) fn instances(&self) -> impl Iterator<Item = &Instance> {
        let (keyed, any) = match self {
            Routes::ByKey(routes) => (Some(routes), None),
            Routes::Any(members) => (None, Some(members)),
        };
        let owners = keyed.into_iter().flat_map(|it| it.slots.iter().chain(it.hot_keys.values()));
        let members = any.into_iter().flatten();
        owners.filter_map(|it| it.owner.as_ref()).chain(members.map(|it| &it.instance))
    }
}

/// Owners of slots and hot keys. They may be stale; the gate of an instance decides whether it is the owner.
#[derive(Debug)]
pub struct KeyRoutes {
    /// Increases when an owner changes.
    pub route_version: u64,
    pub slot_count: SlotCount,
    /// The routes of all slots, in order.
    pub slots: Vec<OwnerRoute>,
    pub hot_keys: HashMap<KeyHash, OwnerRoute>,
}

/// The instances for the requests of one slot or hot key.
#[derive(Debug, Clone, Default)]
pub struct OwnerRoute {
    pub owner: Option<Instance>,
    /// Instances to try if the owner cannot be reached, in order of preference.
    pub successors: Vec<Instance>,
}

/// A member of a service that is not sharded by key.
#[derive(Debug, Clone)]
pub struct MemberRoute {
    pub instance: Instance,
    pub state: UpstreamState,
}

impl KeyRoutes {
    /// Builds the routes from a group's view.
    pub fn from_view(slot_count: SlotCount, view: &NodeView) -> KeyRoutes {
        let mut slots = vec![OwnerRoute::default(); usize::from(slot_count.count())];
        let mut hot_keys = HashMap::new();
        for owner in &view.owners {
            let route =
                OwnerRoute { owner: owner.owner.clone(), successors: owner.successors.clone() };
            match (owner.key_hash, slots.get_mut(usize::from(owner.slot.0))) {
                (Some(key_hash), _) => drop(hot_keys.insert(key_hash, route)),
                (None, Some(slot)) => *slot = route,
                (None, None) => {
                    log::warn!(target: "snapshot", "Ignoring the route of slot {}, which is out of range.", owner.slot)
                }
            }
        }
        KeyRoutes { route_version: view.route_version, slot_count, slots, hot_keys }
    }

    /// Returns the route of a key: that of a hot key if there is one, else that of its slot.
    pub fn route(&self, key_hash: KeyHash) -> &OwnerRoute {
        match self.hot_keys.get(&key_hash) {
            Some(route) => route,
            None => &self.slots[usize::from(self.slot_of(key_hash).0)],
        }
    }

    pub fn slot_of(&self, key_hash: KeyHash) -> Slot {
        self.slot_count.slot_of(key_hash)
    }
}

/// The current snapshot. Control stores it and traffic loads it; neither blocks the other.
#[derive(Debug)]
pub struct SnapshotCell {
    snapshot: ArcSwap<Snapshot>,
    client_limits: Mutex<ClientLimits>,
    changed: watch::Sender<()>,
}

impl Default for SnapshotCell {
    fn default() -> SnapshotCell {
        SnapshotCell {
            snapshot: ArcSwap::default(),
            client_limits: Mutex::default(),
            changed: watch::channel(()).0,
        }
    }
}

impl SnapshotCell {
    pub fn load(&self) -> arc_swap::Guard<Arc<Snapshot>> {
        self.snapshot.load()
    }

    pub fn store(&self, snapshot: Snapshot) {
        let documents = snapshot.services.values().map(|it| &it.document.limits);
        *self.lock_client_limits() = ClientLimits::widest(documents);
        self.snapshot.store(Arc::new(snapshot));
        self.changed.send_replace(());
    }

    /// Returns the limits on clients by the documents of all known services.
    pub(crate) fn client_limits(&self) -> ClientLimits {
        *self.lock_client_limits()
    }

    fn lock_client_limits(&self) -> MutexGuard<'_, ClientLimits> {
        self.client_limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a receiver that is notified of each later [`SnapshotCell::store`].
    pub(crate) fn changes(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }
}
