//! What traffic knows of services and routes: immutable, published whole by the control thread.

use std::{collections::HashMap, sync::Arc};

use arc_swap::ArcSwap;
use model::{ConfigVersion, Instance, KeyHash, ServiceName, Slot, SlotCount};
use ownership::{NodeView, UpstreamState};
use settings::{RoutingTable, ServiceDocument};
use tokio::sync::watch;

use crate::report::Announcement;

/// Everything that ingress needs to route a request.
#[derive(Debug, Default)]
pub struct Snapshot {
    pub services: HashMap<ServiceName, Arc<ServiceRoutes>>,
    /// Routes by host; none: no configuration of the whole fleet is known, or there is none.
    pub routing: Option<Arc<RoutingTable>>,
    /// The upstream beside this agent, once it has announced itself.
    pub local: Option<LocalUpstream>,
}

/// The upstream that the local gate guards. What the gate admits is told it apart from this, by
/// [`crate::gate::GateHandle::apply`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalUpstream {
    pub announcement: Announcement,
    /// Set while no new work is to come from callers that could go elsewhere.
    pub leaving: Option<LeaveReason>,
}

/// Why an upstream is to get no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaveReason {
    /// It, or the agent beside it, is about to stop.
    Stopping,
    /// An operator has closed its availability zone.
    ZoneClosed,
}

/// One service: its document in force and its routes.
#[derive(Debug)]
pub struct ServiceRoutes {
    pub service: ServiceName,
    pub version: ConfigVersion,
    /// The document of that version.
    pub document: Arc<ServiceDocument>,
    pub routes: Routes,
}

/// How requests of a service find an instance.
#[derive(Debug)]
pub enum Routes {
    /// The owner of the key, and nobody else.
    ByKey(KeyRoutes),
    /// Any member.
    Any(Vec<MemberRoute>),
}

impl Routes {
    /// Rises whenever an owner changes; zero where there are no owners.
    pub(crate) fn version(&self) -> u64 {
        match self {
            Routes::ByKey(routes) => routes.route_version,
            Routes::Any(_) => 0,
        }
    }

    /// Everyone that requests may be sent to; some may come up more than once.
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

/// Owners of slots and hot keys. May be stale: the owner's gate has the last word.
#[derive(Debug)]
pub struct KeyRoutes {
    /// Rises whenever an owner changes.
    pub route_version: u64,
    pub slot_count: SlotCount,
    /// One for each slot, in order.
    pub slots: Vec<OwnerRoute>,
    pub hot_keys: HashMap<KeyHash, OwnerRoute>,
}

/// Where the requests of one slot or hot key go.
#[derive(Debug, Clone, Default)]
pub struct OwnerRoute {
    pub owner: Option<Instance>,
    /// Who is asked when the owner can't be reached, first choice first.
    pub successors: Vec<Instance>,
}

/// A member of a service that is not divided by key.
#[derive(Debug, Clone)]
pub struct MemberRoute {
    pub instance: Instance,
    pub state: UpstreamState,
}

impl KeyRoutes {
    /// The routes as a group's node sees them.
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
                    log::warn!(target: "snapshot", "Slot {} is out of range.", owner.slot)
                }
            }
        }
        KeyRoutes { route_version: view.route_version, slot_count, slots, hot_keys }
    }

    /// The route of a key: its own entry, else that of its slot.
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

/// The snapshot in use. Control stores, traffic loads; neither ever waits.
#[derive(Debug)]
pub struct SnapshotCell {
    snapshot: ArcSwap<Snapshot>,
    changed: watch::Sender<()>,
}

impl Default for SnapshotCell {
    fn default() -> SnapshotCell {
        SnapshotCell { snapshot: ArcSwap::default(), changed: watch::channel(()).0 }
    }
}

impl SnapshotCell {
    pub fn load(&self) -> arc_swap::Guard<Arc<Snapshot>> {
        self.snapshot.load()
    }

    pub fn store(&self, snapshot: Snapshot) {
        self.snapshot.store(Arc::new(snapshot));
        self.changed.send_replace(());
    }

    /// Tells of every later [`SnapshotCell::store`].
    pub(crate) fn changes(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }
}
