//! The state of the control thread and the periodic tasks that run over it.

use std::sync::Arc;

use model::{GroupId, Instance, ServiceName, Timestamp};
use ownership::{CoordinatorLease, FenceCheck, Input, Limits};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use settings::{AgentSettings, RoutingTable, ServiceDocument};

use crate::{
    clock::Clock,
    control::{
        accept::Acceptor,
        calls::PlatformCalls,
        documents::{Documents, InForce},
        foreign::ForeignRoutes,
        group::Group,
        status::StatusWriter,
        suspension::SuspensionDetector,
        upstream::UpstreamMonitor,
        watch::Watches,
    },
    gate::GateHandle,
    links::ControlLinks,
    snapshot::SnapshotCell,
    store_relay::Relay,
};

/// The most groups of a service. Only services that are not sharded by key have more than one.
pub(super) const GROUPS_MAX: u16 = 64;

/// The settings and handles that the control thread uses.
pub(crate) struct Parts {
    pub(crate) settings: Arc<AgentSettings>,
    pub(crate) own: Instance,
    pub(crate) clock: Clock,
    pub(crate) links: ControlLinks,
    pub(crate) calls: PlatformCalls,
    pub(crate) gate: GateHandle,
    pub(crate) snapshots: Arc<SnapshotCell>,
    pub(crate) seed: u64,
    pub(crate) relay: Arc<Relay>,
    pub(crate) documents_from: DocumentSource,
}

/// The source of the documents in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DocumentSource {
    /// The object store, where coordinators accept the documents that teams write.
    ObjectStore,
    /// A central configuration with the documents of all services, which needs no acceptance.
    CentralConfig,
}

/// All state of the control thread.
pub(crate) struct Control {
    pub(super) parts: Parts,
    pub(super) rng: Pcg64Mcg,
    pub(super) documents: Documents,
    /// The own service's group, or `None` until its document is in force.
    pub(super) group: Option<Group>,
    /// Members of the own group that peers reported before this instance joined it.
    pub(super) reported_members: Vec<Instance>,
    pub(super) foreign: ForeignRoutes,
    pub(super) acceptor: Acceptor,
    pub(super) watches: Watches,
    pub(super) status: StatusWriter,
    pub(super) upstream: UpstreamMonitor,
    /// Routes by host, if documents come from a central configuration.
    pub(super) routing: Option<Arc<RoutingTable>>,
    suspension: SuspensionDetector,
    /// Number of rollbacks of the platform that the group has been told of.
    era: u64,
    /// Whether the snapshot for the traffic threads is outdated.
    pub(super) is_dirty: bool,
    /// Whether the graceful stop has begun.
    pub(super) is_stopping: bool,
}

impl Control {
    pub(crate) fn new(parts: Parts) -> Control {
        log::info!(target: "control", "Starting control of instance {} of service {}.", parts.own, parts.settings.service);
        let upstream = match parts.documents_from {
            // The closed zones are read from the store that the documents come from.
            DocumentSource::CentralConfig => UpstreamMonitor::default(),
            // Peers hand documents over while the store is unavailable, and requests must then be served.
            DocumentSource::ObjectStore => UpstreamMonitor::in_open_zone(),
        };
        Control {
            rng: Pcg64Mcg::seed_from_u64(parts.seed),
            documents: Documents::default(),
            group: None,
            reported_members: Vec::new(),
            foreign: ForeignRoutes::default(),
            acceptor: Acceptor::default(),
            watches: Watches::default(),
            status: StatusWriter::default(),
            upstream,
            routing: None,
            suspension: SuspensionDetector::default(),
            era: 0,
            is_dirty: true,
            is_stopping: false,
            parts,
        }
    }

    pub(super) fn now(&self) -> Timestamp {
        self.parts.clock.now()
    }

    pub(super) fn service(&self) -> &ServiceName {
        &self.parts.settings.service
    }

    /// Runs all periodic tasks once.
    pub(crate) fn tick(&mut self) {
        let now = self.now();
        if let Some(suspended) = self.suspension.take_suspended() {
            log::warn!(target: "control", "The instance was suspended for {suspended:?}; leases may have expired.");
            self.step(now, Input::Suspended);
        }
        let era = self.parts.calls.era();
        if era > std::mem::replace(&mut self.era, era) {
            self.step(now, Input::PlatformRolledBack);
        }
        // Runs first, so that after a pause the node drops an expired lease before other tasks run.
        self.step(now, Input::Tick);
        self.check_upstream_timeout(now);
        self.report_load(now);
        self.refresh_foreign_routes(now);
        self.send_relay_messages();
        if self.parts.documents_from == DocumentSource::ObjectStore {
            self.look_up_document(now);
            self.reread_accepted(now);
            self.start_watches(now);
            self.broadcast_versions(now);
            self.write_status(now);
        }
    }

    /// Begins the graceful stop: the group's node hands over all slots.
    pub(crate) fn stop(&mut self) {
        if self.is_stopping {
            return;
        }
        log::info!(target: "control", "Stopping; handing over all slots.");
        self.is_stopping = true;
        self.is_dirty = true;
        let now = self.now();
        self.step(now, Input::Stop);
    }

    /// Returns whether the graceful stop has begun and this instance no longer holds any slots.
    pub(crate) fn is_handed_over(&self) -> bool {
        self.is_stopping && self.group.as_ref().is_none_or(|it| it.has_stopped)
    }

    /// Passes one input to the group's node and executes its outputs.
    pub(super) fn step(&mut self, now: Timestamp, input: Input) {
        let Some(group) = &mut self.group else { return };
        let was_refused = group.is_refused;
        self.is_dirty |= group.step(now, input, &self.parts);
        if group.is_refused && !was_refused {
            self.on_refused(now);
        }
    }

    /// Handles the refusal by a full group. Members of a service that is not sharded by key grant each other nothing,
    /// so this instance may join any group, and tries the next one. Keys have owners in the first group only.
    fn on_refused(&mut self, now: Timestamp) {
        let Some(group) = &self.group else { return };
        let in_force = self.documents.in_force(self.service()).cloned();
        let Some(in_force) = in_force else { return };
        if in_force.document.keyed || group.id.next().0 >= GROUPS_MAX {
            log::warn!(target: "ownership", "This instance gets no slots or requests. It forwards the requests of its callers to the members of its service, and keeps asking to join.");
            return;
        }
        let id = group.id.next();
        self.group = Some(Group::new(now, &self.parts, &in_force.document, id, Vec::new()));
        self.status = StatusWriter::default();
        self.begin_group(now, &in_force);
    }

    /// Passes the current state to the node of a new group.
    fn begin_group(&mut self, now: Timestamp, in_force: &InForce) {
        self.is_dirty = true;
        let state = self.upstream.state();
        self.step(now, Input::Upstream(state));
        if self.is_stopping {
            self.step(now, Input::Stop);
        }
        self.step(now, Input::Limits(Box::new(limits(&in_force.document))));
        self.step(now, Input::Config(in_force.version));
    }

    /// Applies the own service's document after its first or a later version came into force. The
    /// first one creates the group.
    pub(super) fn on_own_document_changed(&mut self) {
        let now = self.now();
        let service = self.service().clone();
        let Some(in_force) = self.documents.in_force(&service).cloned() else { return };
        self.is_dirty = true;
        if self.group.is_none() {
            let peers = std::mem::take(&mut self.reported_members);
            let group = Group::new(now, &self.parts, &in_force.document, GroupId::FIRST, peers);
            self.group = Some(group);
            return self.begin_group(now, &in_force);
        }
        self.step(now, Input::Limits(Box::new(limits(&in_force.document))));
        self.step(now, Input::Config(in_force.version));
    }
}

/// Returns a document's ownership limits in the form that the `ownership` crate uses.
pub(super) fn limits(document: &ServiceDocument) -> Limits {
    let it = &document.ownership;
    Limits {
        lease: it.lease,
        renew_every: it.renew_every,
        drift_margin: it.drift_margin,
        confirmation: it.confirmation,
        platform_confirmation: it.platform_confirmation,
        takeover_after: it.takeover_after,
        platform_absence_max: it.platform_absence_max,
        pause_max: it.pause_max,
        handover_max: it.handover_max,
        tokens_per_term: Limits::default().tokens_per_term,
        members_max: it.members_max,
        imbalance_target: it.imbalance_target,
        churn_per_minute_max: it.churn_per_minute_max,
        availability_weight: it.availability_weight,
        weighs_capacity: it.weighs_capacity,
        fence: if document.upstream.checks_fence {
            FenceCheck::Checked
        } else {
            FenceCheck::Unchecked
        },
        coordinator_lease: match document.upstream.enforces_leases {
            true => CoordinatorLease::Full,
            false => CoordinatorLease::Confirmation,
        },
    }
}
