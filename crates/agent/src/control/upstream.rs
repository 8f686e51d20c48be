//! The state of the local upstream, from its announcements and from the gate.

use std::time::Duration;

use model::{Timestamp, Token};
use ownership::{Input, UpstreamState};
use settings::KeyGrants;

use crate::{
    control::{group::Group, state::Control},
    report::{Announcement, UpstreamId},
    snapshot::LeaveReason,
    zones::ClosedZones,
};

/// The time since the last announcement after which an upstream counts as lost.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(4);
/// The same timeout in announcement intervals, for upstreams whose keys are granted in answers to
/// announcements. Their grants expire without announcements, within 2.5 s if requests take up to
/// 1.5 s, and no other upstream is granted their keys until they count as lost.
const ANNOUNCEMENT_TIMEOUT_INTERVALS: f64 = 1.5;
/// The time since the last announcement, in announcement intervals, after which an announcement of
/// another incarnation may replace the known one. A live upstream announces itself within one
/// interval plus jitter.
const REPLACEABLE_AFTER_INTERVALS: f64 = 1.5;
/// The interval between two load reports to the coordinator.
const LOAD_PERIOD: Duration = Duration::from_secs(1);

/// The local upstream's state as announced by itself and as observed by the gate.
#[derive(Debug, Default)]
pub(crate) struct UpstreamMonitor {
    /// The last accepted announcement. Its state also changes without a new announcement, when the
    /// upstream leaves or is lost.
    pub(crate) announcement: Option<Announcement>,
    pub(super) announced_at: Timestamp,
    /// The state last reported by the gate, which also detects a hung upstream.
    gate_state: Option<UpstreamState>,
    /// The state last passed to the group's node.
    reported_state: Option<UpstreamState>,
    load_reported_at: Timestamp,
    /// Whether this incarnation of the upstream has announced that it leaves for good.
    is_leaving: bool,
    /// Whether the own availability zone is closed.
    zone_is_closed: bool,
}

/// The relation of an announcement to the last accepted one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnnouncementKind {
    /// The announcement is the first one or comes from the known incarnation.
    SameIncarnation,
    NewIncarnation,
    /// The announcement is out of order or comes from another incarnation than the running one.
    Stale,
}

impl UpstreamMonitor {
    /// Returns the worse of the announced state and the gate's. A ready upstream in a closed zone
    /// counts as draining, so that its keys move to other instances.
    pub(crate) fn state(&self) -> UpstreamState {
        match (&self.announcement, self.gate_state) {
            (_, Some(UpstreamState::Lost)) => UpstreamState::Lost,
            (Some(it), _) if it.state == UpstreamState::Ready && self.zone_is_closed => {
                UpstreamState::Draining
            }
            (Some(announcement), _) => announcement.state,
            (None, _) => UpstreamState::Starting,
        }
    }
}

impl UpstreamMonitor {
    /// Compares an announcement with the last accepted one. `interval` is the time between two
    /// announcements.
    pub(super) fn classify(
        &self,
        now: Timestamp,
        interval: Duration,
        announcement: &Announcement,
    ) -> AnnouncementKind {
        let Some(known) = &self.announcement else { return AnnouncementKind::SameIncarnation };
        let is_alive = now.since(self.announced_at) < interval.mul_f64(REPLACEABLE_AFTER_INTERVALS)
            && self.gate_state != Some(UpstreamState::Lost);
        match (known.incarnation_start_ms, announcement.incarnation_start_ms) {
            _ if known.is_same_incarnation(announcement) => {
                let is_numbered = announcement.sequence > 0;
                let is_stale = is_numbered && announcement.sequence <= known.sequence;
                if is_stale { AnnouncementKind::Stale } else { AnnouncementKind::SameIncarnation }
            }
            // The known upstream announces its start time, so an announcement without one has
            // another sender.
            (Some(_), None) => AnnouncementKind::Stale,
            (Some(known), Some(born)) if born > known => AnnouncementKind::NewIncarnation,
            // While the known incarnation keeps announcing itself, another one at its address is
            // not the running one.
            _ if is_alive => AnnouncementKind::Stale,
            _ => AnnouncementKind::NewIncarnation,
        }
    }

    /// Returns the reason for sending the upstream no new work, if there is one.
    pub(super) fn leaving(&self) -> Option<LeaveReason> {
        match &self.announcement {
            Some(it) if it.state == UpstreamState::Draining => Some(LeaveReason::Stopping),
            Some(_) if self.zone_is_closed => Some(LeaveReason::ZoneClosed),
            _ => None,
        }
    }

    /// Replaces the announced state with draining if this incarnation has announced that it leaves for
    /// good, since it cannot become ready again.
    fn with_leaving_state(&self, announcement: Announcement) -> Announcement {
        match self.is_leaving {
            true => Announcement { state: UpstreamState::Draining, ..announcement },
            false => announcement,
        }
    }
}

/// Returns the time since the last announcement after which an upstream counts as lost.
pub(super) fn announcement_timeout(key_grants: KeyGrants, announce_interval: Duration) -> Duration {
    match key_grants {
        KeyGrants::Calls => ANNOUNCEMENT_TIMEOUT,
        KeyGrants::Announcements => {
            ANNOUNCEMENT_TIMEOUT.min(announce_interval.mul_f64(ANNOUNCEMENT_TIMEOUT_INTERVALS))
        }
    }
}

impl Control {
    /// Handles an announcement of the local upstream.
    pub(super) fn on_announcement(&mut self, announcement: Announcement) {
        if announcement.service != *self.service() {
            log::warn!(
                target: "control",
                "Ignored an announcement of the upstream at {}: it serves {}, but this agent serves {}.",
                announcement.address, announcement.service, self.service(),
            );
            return;
        }
        let now = self.now();
        match self.upstream.classify(now, self.parts.settings.announce_interval, &announcement) {
            AnnouncementKind::Stale => {
                log::debug!(target: "control", "Ignored a stale announcement of the upstream.");
                return;
            }
            AnnouncementKind::NewIncarnation => {
                log::info!(
                    target: "control",
                    "A new incarnation of the upstream, {:?}, runs at {}; starting a new session.",
                    announcement.upstream_id, announcement.address,
                );
                self.upstream.is_leaving = false;
                self.step(now, Input::DropSession { reason: "upstream replaced" });
            }
            AnnouncementKind::SameIncarnation => {}
        }
        let announcement = self.upstream.with_leaving_state(announcement);
        self.parts.gate.update_cold_for(announcement.cold_for);
        self.upstream.announced_at = now;
        // The announcement proves that the upstream runs, even if a connection to it was lost.
        self.upstream.gate_state.take_if(|_| announcement.upstream_id.is_some());
        let is_changed =
            self.upstream.announcement.as_ref().is_none_or(|it| !it.is_equivalent(&announcement));
        if is_changed {
            log::info!(
                target: "control",
                "Received a changed announcement of the upstream at {}: its state is {:?}.", announcement.address, announcement.state,
            );
            self.is_dirty = true;
        }
        self.upstream.announcement = Some(announcement);
        self.report_upstream_state();
    }

    /// Marks the upstream as draining, since it has announced or stated in an answer that it leaves for good.
    pub(super) fn on_upstream_leaving(
        &mut self,
        upstream_id: Option<&UpstreamId>,
        incarnation_start_ms: Option<u64>,
    ) {
        let Some(announcement) = &mut self.upstream.announcement else { return };
        let is_other_incarnation = incarnation_start_ms.is_some()
            && incarnation_start_ms != announcement.incarnation_start_ms;
        if announcement.upstream_id.as_ref() != upstream_id
            || is_other_incarnation
            || self.upstream.is_leaving
        {
            return;
        }
        log::info!(target: "control", "The upstream at {} is leaving; its state is now draining.", announcement.address);
        announcement.state = UpstreamState::Draining;
        self.upstream.is_leaving = true;
        self.is_dirty = true;
        self.report_upstream_state();
    }

    /// Releases all keys if the operators have closed the own zone, and accepts keys again if they
    /// have opened it.
    pub(super) fn on_closed_zones(&mut self, closed: &ClosedZones) {
        let is_closed = closed.contains(&self.parts.own.zone);
        if std::mem::replace(&mut self.upstream.zone_is_closed, is_closed) == is_closed {
            return;
        }
        let zone = &self.parts.own.zone;
        match is_closed {
            true => log::info!(target: "control", "Zone {zone} is closed; releasing all keys."),
            false => {
                log::info!(target: "control", "Zone {zone} is open again; accepting keys.");
                self.parts.gate.mark_possibly_cold();
            }
        }
        self.is_dirty = true;
        self.report_upstream_state();
    }

    /// Drops the session, since the upstream has seen a higher fence token than the granted one:
    /// another coordinator has granted keys, or this group's tokens are outdated. A new session
    /// gets new tokens.
    pub(super) fn on_grant_outdated(&mut self, now: Timestamp, token: Token) {
        log::warn!(target: "control", "The upstream refused grants with token {token} as outdated; starting a new session.");
        self.step(now, Input::DropSession { reason: "token outdated" });
    }

    /// Handles the upstream's state as observed by the gate.
    pub(super) fn on_gate_state(&mut self, state: UpstreamState) {
        if self.upstream.gate_state != Some(state) {
            log::info!(target: "control", "The gate reports the upstream as {state:?}.");
        }
        self.upstream.gate_state = Some(state);
        self.report_upstream_state();
    }

    /// Marks the upstream as lost if it has not announced itself within the timeout.
    pub(super) fn check_upstream_timeout(&mut self, now: Timestamp) {
        let document = self.documents.in_force(self.service()).map(|it| &it.document.upstream);
        let key_grants = document.map_or(KeyGrants::Calls, |it| it.key_grants);
        let timeout = announcement_timeout(key_grants, self.parts.settings.announce_interval);
        let has_timed_out = now.since(self.upstream.announced_at) > timeout;
        match &mut self.upstream.announcement {
            Some(announcement) if has_timed_out && announcement.state != UpstreamState::Lost => {
                log::warn!(target: "control", "The upstream has stopped announcing itself; it counts as lost.");
                announcement.state = UpstreamState::Lost;
                self.is_dirty = true;
                self.report_upstream_state();
            }
            _ => {}
        }
    }

    /// Passes the upstream's state to the group's node if it has changed.
    fn report_upstream_state(&mut self) {
        let state = self.upstream.state();
        if self.upstream.reported_state != Some(state) {
            self.upstream.reported_state = Some(state);
            let now = self.now();
            self.step(now, Input::Upstream(state));
        }
    }

    /// Passes the gate's load to the group's node once per [`LOAD_PERIOD`].
    pub(super) fn report_load(&mut self, now: Timestamp) {
        if self.group.is_none() || now.since(self.upstream.load_reported_at) < LOAD_PERIOD {
            return;
        }
        self.upstream.load_reported_at = now;
        let load = self.parts.gate.take_load();
        self.step(now, Input::Load(load));
        let capacities = self.group.as_ref().map(Group::capacities);
        self.parts.gate.set_capacities(capacities.unwrap_or_default());
    }
}
