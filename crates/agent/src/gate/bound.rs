//! The upstream that the gate leads to, and the document that it serves it under.

use std::sync::{Arc, atomic::Ordering};

use model::{ConfigVersion, Instance, ServiceName, Timestamp};
use ownership::UpstreamState;
use settings::{DrainLimits, ServiceDocument};
use traffic::RecordsConfig;
use upstream::Upstream;

use crate::{
    gate::{
        Gate, admission_queue::AdmissionQueue, leases::UpstreamIncarnation, records::RequestRecords,
    },
    report::Announcement,
    snapshot::{Leaving, LocalUpstream, Routes, ServiceRoutes, Snapshot},
};

/// Each unit gets a share of the memory for records as if this share of all units were here.
const UNITS_HELD_SHARE: usize = 4;
const UNIT_RECORDS_BYTES_MIN: usize = 64 << 10;
/// How much older than it says a resend may be.
const AGE_MARGIN: std::time::Duration = std::time::Duration::from_millis(50);

/// From when on an upstream gets no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct DrainSchedule {
    refuses_at: Timestamp,
    closed_at: Timestamp,
}

impl DrainSchedule {
    fn new(now: Timestamp, why: Leaving, drain: &DrainLimits) -> DrainSchedule {
        let time = match why {
            Leaving::ForGood => drain.no_new_work_after,
            Leaving::ZoneClosed => drain.zone_no_new_work_after,
        };
        DrainSchedule { refuses_at: now + time / 2, closed_at: now + time }
    }

    /// One that is to leave for good while its zone is closed gets no more time by that.
    fn earliest(self, other: DrainSchedule) -> DrainSchedule {
        DrainSchedule {
            refuses_at: self.refuses_at.min(other.refuses_at),
            closed_at: self.closed_at.min(other.closed_at),
        }
    }
}

/// One upstream under one version of its document.
pub(crate) struct BoundUpstream {
    pub(crate) service: ServiceName,
    pub(crate) version: ConfigVersion,
    pub(crate) document: Arc<ServiceDocument>,
    pub(crate) announcement: Announcement,
    /// Set while the upstream is to get no new work.
    pub(crate) closing: Option<DrainSchedule>,
    pub(crate) upstream: Arc<dyn Upstream>,
    pub(crate) queue: Arc<AdmissionQueue>,
    members: Vec<Instance>,
}

impl BoundUpstream {
    /// Whether this leads to the life of the upstream that announced itself.
    fn is_of(&self, announcement: &Announcement) -> bool {
        self.announcement.address == announcement.address
            && self.announcement.is_of_same_life(announcement)
    }

    /// The life of the upstream that this leads to.
    pub(super) fn incarnation(&self) -> UpstreamIncarnation {
        (self.announcement.upstream_id.clone(), self.announcement.born_ms)
    }

    /// Whether a client made for the other document is the same.
    fn has_same_client(&self, document: &ServiceDocument) -> bool {
        self.document.upstream == document.upstream
            && self.document.limits.body_bytes_max == document.limits.body_bytes_max
    }

    /// Whether requests queue alike under the other document: what runs is counted on then.
    fn has_same_queue(&self, document: &ServiceDocument) -> bool {
        self.document.upstream == document.upstream
            && self.document.limits == document.limits
            && self.document.classes == document.classes
    }

    /// Nothing more is taken in. Until half of the document's time has passed it still is: the news that
    /// this instance is leaving takes a while to spread.
    pub(crate) fn refuses_work(&self, now: Timestamp) -> bool {
        self.closing.is_some_and(|it| now >= it.refuses_at)
    }

    /// Nothing may reach the upstream any more, not even what has waited since before.
    pub(crate) fn is_closed(&self, now: Timestamp) -> bool {
        self.closing.is_some_and(|it| now >= it.closed_at)
    }
}

impl Gate {
    /// Follows the snapshot: the upstream's address, its document, its draining.
    pub(crate) fn rebind(&self) {
        let snapshot = self.snapshots.load();
        let Some((service, local)) = local_service(&snapshot) else { return };
        let former = self.bound.load_full();
        if former.as_ref().is_some_and(|it| !it.announcement.is_of_same_life(&local.announcement)) {
            self.upstream_ended("another life of it is there");
        }
        let bound = match self.next_bound(former.as_deref(), service, local) {
            Ok(bound) => bound,
            Err(error) => {
                log::error!(target: "gate", "No client of the upstream: {error:#}.");
                return;
            }
        };
        let now = self.clock.now();
        let former_closing = former.as_ref().and_then(|it| it.closing);
        let closing = local.leaving.map(|why| {
            let closing = DrainSchedule::new(now, why, &bound.document.drain);
            former_closing.map_or(closing, |it| it.earliest(closing))
        });
        let bound = BoundUpstream { closing, members: members(service), ..bound };
        if former.as_ref().is_none_or(|it| it.members != bound.members) {
            self.members_changed_ns.store(now.ns, Ordering::SeqCst);
        }
        self.records.get_or_init(|| new_request_records(&bound.document));
        self.bound.store(Some(Arc::new(bound)));
    }

    fn next_bound(
        &self,
        former: Option<&BoundUpstream>,
        service: &ServiceRoutes,
        local: &LocalUpstream,
    ) -> anyhow::Result<BoundUpstream> {
        let announcement = &local.announcement;
        let document = &service.document;
        self.handle.warmup.with(|it| it.set_limit(document.upstream.cold_requests_per_s));
        let same_upstream = former.filter(|it| it.is_of(announcement));
        // A version may change limits of the client: connections are cheap to make anew.
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
                Arc::clone(&it.queue)
            }
            _ => {
                let warmup = self.handle.warmup.clone();
                let seed = self.own.incarnation.0;
                AdmissionQueue::start(self.clock, document, announcement.slots, warmup, seed)
            }
        };
        Ok(BoundUpstream {
            service: service.service.clone(),
            version: service.version,
            document: Arc::clone(document),
            announcement: announcement.clone(),
            closing: None,
            upstream,
            queue,
            members: Vec::new(),
        })
    }

    /// When an owner that was not told of a change of members may have sent requests elsewhere.
    pub(super) fn members_changed(&self) -> Timestamp {
        Timestamp { ns: self.members_changed_ns.load(Ordering::SeqCst) }
    }
}

/// A lane that was drained, or whose upstream was lost, is not used again.
fn needs_new_queue(former: &BoundUpstream, local: &LocalUpstream) -> bool {
    let gone = former.closing.is_some() || former.announcement.state == UpstreamState::Lost;
    gone && local.leaving.is_none() && local.announcement.state == UpstreamState::Ready
}

fn local_service(snapshot: &Snapshot) -> Option<(&ServiceRoutes, &LocalUpstream)> {
    let local = snapshot.local.as_ref()?;
    let service = snapshot.services.get(&local.announcement.service)?;
    Some((service, local))
}

fn members(service: &ServiceRoutes) -> Vec<Instance> {
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
        retention: document.limits.records_for,
        age_margin: AGE_MARGIN,
    };
    RequestRecords::new(config, document.ownership.lease / 2)
}
