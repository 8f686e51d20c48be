//! The tables of control, and the systems that run over them.

use std::sync::Arc;

use model::{GroupId, Instance, ServiceName, Timestamp};
use ownership::{CoordinatorLease, FenceCheck, Input, Limits};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use settings::{AgentSettings, RoutingTable, ServiceDocument};

use crate::{
    clock::Clock,
    control::{
        accept::Acceptor, calls::PlatformCalls, documents::Documents, foreign::ForeignRoutes,
        group::Group, status::StatusWriter, suspension::SuspensionDetector,
        upstream::UpstreamMonitor, watch::Watches,
    },
    gate::GateHandle,
    links::ControlLinks,
    snapshot::SnapshotCell,
};

/// The one group that the keys of a service form; larger services are refused at the join of the
/// 33rd member.
pub(crate) const ONLY_GROUP: GroupId = GroupId(0);

/// What control works with.
pub(crate) struct Parts {
    pub(crate) settings: Arc<AgentSettings>,
    pub(crate) own: Instance,
    pub(crate) clock: Clock,
    pub(crate) links: ControlLinks,
    pub(crate) calls: PlatformCalls,
    pub(crate) gate: GateHandle,
    pub(crate) snapshots: Arc<SnapshotCell>,
    pub(crate) seed: u64,
    /// Where documents come from.
    pub(crate) documents_from: DocumentSource,
}

/// Where the documents in force come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DocumentSource {
    /// From the object store, where coordinators accept what teams write.
    ObjectStore,
    /// From one configuration of the whole fleet, which is accepted already.
    CentralConfig,
}

/// All state of the control thread.
pub(crate) struct Control {
    pub(super) parts: Parts,
    pub(super) rng: Pcg64Mcg,
    pub(super) documents: Documents,
    /// None until the own service's document is known.
    pub(super) group: Option<Group>,
    /// Members of the own group that peers told of before this instance was one.
    pub(super) reported_members: Vec<Instance>,
    pub(super) foreign: ForeignRoutes,
    pub(super) acceptor: Acceptor,
    pub(super) watches: Watches,
    pub(super) status: StatusWriter,
    pub(super) upstream: UpstreamMonitor,
    /// Routes by host, where there is a configuration of the whole fleet.
    pub(super) routing: Option<Arc<RoutingTable>>,
    suspension: SuspensionDetector,
    /// Something that traffic should see has changed.
    pub(super) dirty: bool,
    pub(super) is_stopping: bool,
}

impl Control {
    pub(crate) fn new(parts: Parts) -> Control {
        log::info!(target: "control", "{} of {} starts.", parts.own, parts.settings.service);
        Control {
            rng: Pcg64Mcg::seed_from_u64(parts.seed),
            documents: Documents::default(),
            group: None,
            reported_members: Vec::new(),
            foreign: ForeignRoutes::default(),
            acceptor: Acceptor::default(),
            watches: Watches::default(),
            status: StatusWriter::default(),
            upstream: UpstreamMonitor::default(),
            routing: None,
            suspension: SuspensionDetector::default(),
            dirty: true,
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

    /// Runs every system once.
    pub(crate) fn tick(&mut self) {
        let now = self.now();
        if let Some(take_suspended) = self.suspension.take_suspended() {
            log::warn!(target: "control", "The instance was suspended for {take_suspended:?}.");
            self.step(now, Input::Suspended);
        }
        // First of all: after a pause the node drops the lease before anything else runs.
        self.step(now, Input::Tick);
        self.check_upstream_timeout(now);
        self.report_load(now);
        self.refresh_foreign_routes(now);
        if self.parts.documents_from == DocumentSource::ObjectStore {
            self.look_up_document(now);
            self.reread_accepted(now);
            self.start_watches(now);
            self.broadcast_versions(now);
            self.write_status(now);
        }
    }

    /// Begins the graceful stop.
    pub(crate) fn stop(&mut self) {
        if self.is_stopping {
            return;
        }
        log::info!(target: "control", "Stopping: handing over.");
        self.is_stopping = true;
        self.dirty = true;
        let now = self.now();
        self.step(now, Input::Stop);
    }

    /// The stop was asked for, and nothing is held any more.
    pub(crate) fn is_handed_over(&self) -> bool {
        self.is_stopping && self.group.as_ref().is_none_or(|it| it.stopped)
    }

    /// Gives the group's node one input and carries out what it asks for.
    pub(super) fn step(&mut self, now: Timestamp, input: Input) {
        let Some(group) = &mut self.group else { return };
        self.dirty |= group.step(now, input, &self.parts);
    }

    /// The own service's document has come into force, first or anew.
    pub(super) fn on_own_document_changed(&mut self) {
        let now = self.now();
        let service = self.service().clone();
        let Some(in_force) = self.documents.in_force(&service).cloned() else { return };
        self.dirty = true;
        if self.group.is_none() {
            let peers = std::mem::take(&mut self.reported_members);
            let group = Group::new(now, &self.parts, &in_force.document, peers);
            self.group = Some(group);
            let state = self.upstream.state();
            self.step(now, Input::Upstream(state));
            if self.is_stopping {
                self.step(now, Input::Stop);
            }
        }
        self.step(now, Input::Limits(Box::new(limits(&in_force.document))));
        self.step(now, Input::Config(in_force.version));
    }
}

/// What a document says of ownership, as the core takes it.
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
        imbalance_target: it.imbalance_target,
        churn_per_minute_max: it.churn_per_minute_max,
        availability_weight: it.availability_weight,
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
