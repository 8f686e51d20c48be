//! The upstream that the gate sends requests to, and the document that applies to it.

use std::sync::{Arc, PoisonError, atomic::Ordering};

use model::{ConfigVersion, Instance, ServiceName, Timestamp};
use ownership::UpstreamState;
use settings::{DrainLimits, ServiceDocument};
use traffic::RecordsConfig;
use upstream::Upstream;

use crate::{
    gate::{
        Gate, admission_queue::AdmissionQueue, condition::ConditionChange,
        learned_limit::LimitReporter, leases::UpstreamIncarnation, records::RequestRecords,
    },
    report::{Announcement, Report},
    snapshot::{LeaveReason, LocalUpstream, Routes, ServiceRoutes, Snapshot},
};

/// The memory for records is divided as if one in this many of the service's units were held here.
const UNITS_HELD_SHARE: usize = 4;
const UNIT_RECORDS_BYTES_MIN: usize = 64 << 10;
/// Amount by which a resend may be older than it states.
pub(super) const AGE_MARGIN: std::time::Duration = std::time::Duration::from_millis(50);

/// The times at which an upstream that is leaving stops taking new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct DrainSchedule {
    refuses_at: Timestamp,
    closed_at: Timestamp,
}

impl DrainSchedule {
    fn new(now: Timestamp, reason: LeaveReason, drain: &DrainLimits) -> DrainSchedule {
        let drain_time = match reason {
            LeaveReason::Stopping => drain.no_new_work_after,
            LeaveReason::ZoneClosed => drain.zone_no_new_work_after,
        };
        DrainSchedule { refuses_at: now + drain_time / 2, closed_at: now + drain_time }
    }

    /// Combines two schedules: an upstream that is to leave for good while its zone is closed gets
    /// no additional time.
    fn earliest(self, other: DrainSchedule) -> DrainSchedule {
        DrainSchedule {
            refuses_at: self.refuses_at.min(other.refuses_at),
            closed_at: self.closed_at.min(other.closed_at),
        }
    }
}

/// An upstream under one version of its document.
pub(crate) struct BoundUpstream {
    pub(crate) service: ServiceName,
    pub(crate) version: ConfigVersion,
    pub(crate) document: Arc<ServiceDocument>,
    pub(crate) announcement: Announcement,
    /// Whether this incarnation has confirmed to this process that it runs and is not leaving. It gets no requests
    /// before.
    pub(crate) is_confirmed: bool,
    /// Set while the upstream is to get no new work.
    pub(crate) drain: Option<DrainSchedule>,
    pub(crate) upstream: Arc<dyn Upstream>,
    pub(crate) queue: Arc<AdmissionQueue>,
    members: Vec<Instance>,
}

impl BoundUpstream {
    /// Returns whether this is the incarnation of the upstream that sent the announcement.
    fn is_same_upstream(&self, announcement: &Announcement) -> bool {
        self.announcement.address == announcement.address
            && self.announcement.is_same_incarnation(announcement)
    }

    /// Returns the incarnation of this upstream.
    pub(super) fn incarnation(&self) -> UpstreamIncarnation {
        (self.announcement.upstream_id.clone(), self.announcement.incarnation_start_ms)
    }

    /// Returns whether the client can be reused under the other document.
    fn has_same_client(&self, document: &ServiceDocument) -> bool {
        self.document.upstream == document.upstream
            && self.document.limits.body_bytes_max == document.limits.body_bytes_max
    }

    /// Returns whether the queue can be reused under the other document, so that running requests
    /// remain counted.
    fn has_same_queue(&self, document: &ServiceDocument) -> bool {
        self.document.upstream == document.upstream
            && self.document.limits == document.limits
            && self.document.classes == document.classes
    }
}

impl Gate {
    /// Updates the bound upstream from the snapshot: its address, its document and whether it
    /// drains.
    pub(crate) fn rebind(&self) {
        let _rebinding = self.rebinding.lock().unwrap_or_else(PoisonError::into_inner);
        let snapshot = self.snapshots.load();
        let Some((service, local)) = local_service(&snapshot) else { return };
        let former = self.bound.load_full();
        if former
            .as_ref()
            .is_some_and(|it| !it.announcement.is_same_incarnation(&local.announcement))
        {
            self.record_upstream_crash("a new incarnation announced itself");
        }
        let bound = match self.next_bound(former.as_deref(), service, local) {
            Ok(bound) => bound,
            Err(error) => {
                log::error!(target: "gate", "Creating the client of the upstream failed: {error:#}.");
                return;
            }
        };
        let now = self.clock.now();
        let former_drain = former.as_ref().and_then(|it| it.drain);
        let drain = local.leaving.map(|reason| {
            let drain = DrainSchedule::new(now, reason, &bound.document.drain);
            former_drain.map_or(drain, |it| it.earliest(drain))
        });
        let bound = BoundUpstream { drain, members: ready_members(service), ..bound };
        // While this upstream was not ready, the other members designated others in its place.
        let is_unchanged = |it: &Arc<BoundUpstream>| {
            it.members == bound.members && it.announcement.state == bound.announcement.state
        };
        if !former.as_ref().is_some_and(is_unchanged) {
            self.members_changed_ns.store(now.ns, Ordering::SeqCst);
        }
        self.apply(self.condition.follow_incarnation(&bound.incarnation()));
        self.leases.follow_incarnation(now, &bound.incarnation());
        if local.leaves_for_good {
            self.condition.record_announced_leaving(now, &bound.incarnation());
        }
        self.records.get_or_init(|| new_request_records(&bound.document));
        let is_probed = |it: &Arc<BoundUpstream>| {
            it.needs_probe() && it.announcement.is_same_incarnation(&bound.announcement)
        };
        let is_unprobed = bound.needs_probe() && !former.as_ref().is_some_and(is_probed);
        self.bound.store(Some(Arc::new(bound)));
        if is_unprobed {
            self.unconfirmed_bound.notify_one();
        }
    }

    fn next_bound(
        &self,
        former: Option<&BoundUpstream>,
        service: &ServiceRoutes,
        local: &LocalUpstream,
    ) -> anyhow::Result<BoundUpstream> {
        let announcement = &local.announcement;
        let document = &service.document;
        self.handle.rate_limit.with(|it| it.set_cold_rate(document.upstream.cold_requests_per_s));
        let same_upstream = former.filter(|it| it.is_same_upstream(announcement));
        // A version may change limits of the client; connections are cheap to recreate.
        let upstream = match same_upstream.filter(|it| it.has_same_client(document)) {
            Some(former) => Arc::clone(&former.upstream),
            None => (self.connect)(announcement, document)?,
        };
        let queue = match same_upstream {
            Some(it)
                if it.has_same_queue(document)
                    && it.announcement.slots == announcement.slots
                    && !needs_new_queue(it, local) =>
            {
                if it.document.routes != document.routes {
                    it.queue.renumber_routes();
                }
                Arc::clone(&it.queue)
            }
            _ => {
                let rate_limit = self.handle.rate_limit.clone();
                let seed = self.own.incarnation.0;
                let former = same_upstream.map(|it| it.queue.as_ref());
                let reporter = LimitReporter::new(Arc::clone(&self.metrics), &document.team);
                let slots = announcement.slots;
                AdmissionQueue::start(
                    self.clock, document, slots, rate_limit, seed, former, reporter,
                )
            }
        };
        Ok(BoundUpstream {
            service: service.service.clone(),
            version: service.version,
            document: Arc::clone(document),
            announcement: announcement.clone(),
            is_confirmed: local.is_confirmed,
            drain: None,
            upstream,
            queue,
            members: Vec::new(),
        })
    }

    /// Applies a change of the condition that the upstream states.
    pub(super) fn apply(&self, change: ConditionChange) {
        if change.limit {
            self.handle.rate_limit.with(|it| it.set_stated_rate(self.condition.limit()));
        }
        if change.is_leaving {
            self.report_leaving();
        }
    }

    /// Returns the schedule by which the upstream is drained, from its announcements or its answers.
    fn drain_schedule(&self, bound: &BoundUpstream) -> Option<DrainSchedule> {
        let drain = &bound.document.drain;
        let stated = self.condition.leaving_since();
        let stated = stated.map(|it| DrainSchedule::new(it, LeaveReason::Stopping, drain));
        match (bound.drain, stated) {
            (Some(announced), Some(stated)) => Some(announced.earliest(stated)),
            (announced, stated) => announced.or(stated),
        }
    }

    /// Returns whether new requests are refused. They are still accepted during the first half of
    /// the drain time, since it takes a while for all peers to learn that this instance is leaving.
    pub(super) fn refuses_work_of(&self, bound: &BoundUpstream, now: Timestamp) -> bool {
        self.drain_schedule(bound).is_some_and(|it| now >= it.refuses_at)
    }

    /// Returns whether no request may reach the upstream any longer, including queued ones.
    pub(super) fn is_closed(&self, now: Timestamp) -> bool {
        let bound = self.bound.load();
        let Some(bound) = bound.as_ref() else { return false };
        let is_drained = self.drain_schedule(bound).is_some_and(|it| now >= it.closed_at);
        is_drained || !bound.is_confirmed
    }

    /// Reports an upstream to control that states that it is leaving, until control has published it as such.
    pub(super) fn report_leaving(&self) {
        let Some(bound) = self.bound.load_full() else { return };
        let snapshot = self.snapshots.load();
        let leaving = snapshot.local.as_ref().and_then(|it| it.leaving);
        if self.condition.leaving_since().is_some() && leaving != Some(LeaveReason::Stopping) {
            let (upstream_id, incarnation_start_ms) = bound.incarnation();
            self.reporter.try_report(Report::UpstreamLeaving { upstream_id, incarnation_start_ms });
        }
    }

    /// Returns when the membership last changed. Up to then, an ingress with an older membership
    /// may have sent requests to other members.
    pub(super) fn members_changed_at(&self) -> Timestamp {
        Timestamp { ns: self.members_changed_ns.load(Ordering::SeqCst) }
    }
}

/// Returns whether a new queue is needed: the queue of an upstream that was drained or lost is not
/// reused.
fn needs_new_queue(former: &BoundUpstream, local: &LocalUpstream) -> bool {
    let was_unavailable =
        former.drain.is_some() || former.announcement.state == UpstreamState::Lost;
    was_unavailable && local.leaving.is_none() && local.announcement.state == UpstreamState::Ready
}

fn local_service(snapshot: &Snapshot) -> Option<(&ServiceRoutes, &LocalUpstream)> {
    let local = snapshot.local.as_ref()?;
    let service = snapshot.services.get(&local.announcement.service)?;
    Some((service, local))
}

fn ready_members(service: &ServiceRoutes) -> Vec<Instance> {
    match &service.routes {
        Routes::Any(members) => {
            let ready = members.iter().filter(|it| it.state == UpstreamState::Ready);
            let mut ready: Vec<Instance> = ready.map(|it| it.instance.clone()).collect();
            ready.sort_by(|a, b| a.name.cmp(&b.name));
            ready
        }
        Routes::ByKey(_) => Vec::new(),
    }
}

fn new_request_records(document: &ServiceDocument) -> RequestRecords {
    let units = match document.keyed {
        true => (usize::from(document.slot_count.count()) / UNITS_HELD_SHARE).max(1),
        false => 1,
    };
    let config = RecordsConfig {
        bytes_max: (document.limits.records_bytes_max / units).max(UNIT_RECORDS_BYTES_MIN),
        retention: document.limits.records_retention,
        age_margin: AGE_MARGIN,
    };
    RequestRecords::new(config, document.ownership.lease / 2)
}
