//! One agent's part in one group: member, witness and, while it holds the term, coordinator.

use model::{
    ConfigVersion, GroupId, Instance, KeyHash, ServiceName, Slot, SlotCount, Term, Timestamp, Token,
};

use crate::{Input, Limits, Output};

/// What a node is made from.
#[derive(Debug, Clone)]
pub struct NodeConfig {
    pub instance: Instance,
    pub service: ServiceName,
    pub group: GroupId,
    /// Of one that is not divided by key: any.
    pub slot_count: SlotCount,
    /// Whether the service is divided by key. If not, nothing is granted, and the members in the
    /// view are the product.
    pub keyed: bool,
    pub limits: Limits,
    /// Seeds the node's own generator (nonces, jitter).
    pub seed: u64,
    /// Addresses at which to ask for the coordinator while the platform is down; may be empty.
    pub peers: Vec<Instance>,
}

/// Who owns a slot or a hot key, as far as a node knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerView {
    pub slot: Slot,
    /// Set where the entry is that of one hot key.
    pub key_hash: Option<KeyHash>,
    pub owner: Option<Instance>,
    pub token: Option<Token>,
    pub successors: Vec<Instance>,
}

/// What a node knows, for routes and the status.
#[derive(Debug, Clone, Default)]
pub struct NodeView {
    pub term: Term,
    pub coordinator: Option<Instance>,
    pub is_coordinator: bool,
    pub settled: bool,
    pub plan_version: u64,
    /// Rises whenever an owner changes; members learn it from the coordinator.
    pub route_version: u64,
    pub owners: Vec<OwnerView>,
    /// All live members, also for services that are not divided by key.
    pub members: Vec<MemberView>,
    /// The highest accepted version of the document heard of in the group.
    pub config: ConfigVersion,
}

/// A member as its coordinator last heard of it.
#[derive(Debug, Clone)]
pub struct MemberView {
    pub instance: Instance,
    pub state: crate::UpstreamState,
    pub load_us_per_s: u64,
    pub config: ConfigVersion,
}

/// The state machine of one agent in one group.
pub struct Node {
    config: NodeConfig,
}

impl Node {
    pub fn new(config: NodeConfig, _now: Timestamp) -> Node {
        Node { config }
    }

    /// Takes one event and appends what is to be done to `out`.
    pub fn step(&mut self, _now: Timestamp, input: Input, _out: &mut Vec<Output>) {
        if let Input::Limits(limits) = input {
            self.config.limits = *limits;
        }
    }

    /// The current view; cheap enough for once a tick.
    pub fn view(&self) -> NodeView {
        NodeView::default()
    }
}
