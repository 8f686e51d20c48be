//! The state of the local upstream, from its announcements and from the gate.

use std::time::Duration;

use model::{Timestamp, Token};
use ownership::{Input, UpstreamState};
use settings::KeyGrants;
use upstream::Presence;

use crate::{
    control::{group::Group, left_incarnations::LeftIncarnations, state::Control},
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
    /// What the known incarnation has last answered to a probe; `None` if it has not answered one.
    presence: Option<Presence>,
    /// Whether the known incarnation was draining when it was last heard, even if it counts as lost since.
    is_draining: bool,
    /// The last announcement of another incarnation, with its time, while the known one counts as alive.
    rival: Option<(Timestamp, Announcement)>,
    /// The incarnations that are known to leave for good, also those that have not announced themselves.
    left: LeftIncarnations,
    zone: ZoneState,
}

/// The state of the own availability zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum ZoneState {
    /// The closed zones have not been read yet.
    #[default]
    Unknown,
    Open,
    Closed,
}

/// The relation of an announcement to the last accepted one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnnouncementKind {
    /// The announcement is the first one or comes from the known incarnation.
    SameIncarnation,
    NewIncarnation,
    /// The announcement comes from another incarnation, while the known one counts as alive. One of them has ended.
    Rival,
    /// The announcement is out of order, or comes from an incarnation that has left or is not the running one.
    Stale,
}

/// The effect of a leaving on the known upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LeavingKind {
    /// The known incarnation leaves, or a later one of its id.
    Known,
    /// An incarnation leaves that has not announced itself, or is not the running one.
    Unknown,
    /// The leaving has been received before.
    Repeated,
}

impl UpstreamMonitor {
    /// Creates the monitor of an instance whose zone counts as open until the closed zones have been read.
    pub(super) fn in_open_zone() -> UpstreamMonitor {
        UpstreamMonitor { zone: ZoneState::Open, ..UpstreamMonitor::default() }
    }

    /// Returns the worse of the announced state and the gate's. An upstream counts as starting until it has
    /// confirmed that it runs and its zone is known to be open or closed. A ready upstream in a closed zone
    /// counts as draining, so that its keys move to other instances.
    pub(crate) fn state(&self) -> UpstreamState {
        match (&self.announcement, self.gate_state) {
            (_, Some(UpstreamState::Lost)) => UpstreamState::Lost,
            (Some(_), _) if self.presence == Some(Presence::Replaced) => UpstreamState::Lost,
            (Some(it), _) if it.state == UpstreamState::Ready && !self.can_get_requests() => {
                UpstreamState::Starting
            }
            (Some(it), _) if it.state == UpstreamState::Ready && self.zone == ZoneState::Closed => {
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
        let is_known =
            self.announcement.as_ref().is_some_and(|it| it.is_same_incarnation(announcement));
        // The drain time counts from the leaving, and none runs for an incarnation that left before
        // it was known. It gets no work at all.
        if self.left.is_replaced(now, announcement) || !is_known && self.left.contains(announcement)
        {
            return AnnouncementKind::Stale;
        }
        let Some(known) = &self.announcement else { return AnnouncementKind::SameIncarnation };
        let is_alive = now.since(self.announced_at) < interval.mul_f64(REPLACEABLE_AFTER_INTERVALS)
            && self.gate_state != Some(UpstreamState::Lost)
            && self.presence != Some(Presence::Replaced);
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
            (None, None) if is_alive => AnnouncementKind::Rival,
            _ if is_alive => AnnouncementKind::Stale,
            _ => AnnouncementKind::NewIncarnation,
        }
    }

    /// Returns the reason for sending the upstream no new work, if there is one.
    pub(super) fn leaving(&self) -> Option<LeaveReason> {
        match &self.announcement {
            // Also while it counts as lost: its drain time must not begin anew when it is heard again.
            Some(_) if self.is_draining => Some(LeaveReason::Stopping),
            Some(_) if self.zone == ZoneState::Closed => Some(LeaveReason::ZoneClosed),
            _ => None,
        }
    }

    /// Returns whether the known incarnation has announced that it leaves for good.
    pub(super) fn leaves_for_good(&self) -> bool {
        self.announcement.as_ref().is_some_and(|it| self.left.contains(it))
    }

    /// Keeps that the known incarnation is draining beyond its replacement by another one.
    fn keep_draining_of_known(&mut self, now: Timestamp) {
        if let Some(known) = self.announcement.as_ref().filter(|_| self.is_draining) {
            self.left.insert_announced(now, known);
        }
    }

    /// Keeps the draining state of an incarnation that is not the known one: the announcement is ignored, but
    /// it is acknowledged.
    fn keep_draining_of_other(&mut self, now: Timestamp, announcement: &Announcement) {
        let is_known =
            self.announcement.as_ref().is_some_and(|it| it.is_same_incarnation(announcement));
        if !is_known && announcement.state == UpstreamState::Draining {
            self.left.insert_announced(now, announcement);
        }
    }

    /// Replaces the announced state with draining if this incarnation has announced that it leaves for
    /// good, since it cannot become ready again.
    fn with_leaving_state(&self, announcement: Announcement) -> Announcement {
        match self.left.contains(&announcement) {
            true => Announcement { state: UpstreamState::Draining, ..announcement },
            false => announcement,
        }
    }

    /// Takes over an announcement unless it is stale. Returns its relation to the last accepted one.
    pub(super) fn receive(
        &mut self,
        now: Timestamp,
        interval: Duration,
        announcement: &Announcement,
    ) -> AnnouncementKind {
        self.left.resolve_start(now, announcement);
        let kind = self.classify(now, interval, announcement);
        match kind {
            AnnouncementKind::Stale | AnnouncementKind::Rival => {
                self.keep_draining_of_other(now, announcement);
                if kind == AnnouncementKind::Rival {
                    self.rival = Some((now, announcement.clone()));
                }
                return kind;
            }
            AnnouncementKind::NewIncarnation => self.keep_draining_of_known(now),
            AnnouncementKind::SameIncarnation => {}
        }
        let is_same = |it: &Announcement| it.is_same_incarnation(announcement);
        if !self.announcement.as_ref().is_some_and(is_same) {
            self.presence = None;
            self.rival = None;
        }
        let announcement = self.with_leaving_state(announcement.clone());
        self.announced_at = now;
        // The announcement proves that the upstream runs, even if a connection to it was lost.
        self.gate_state.take_if(|_| announcement.upstream_id.is_some());
        self.is_draining = announcement.state == UpstreamState::Draining;
        self.announcement = Some(announcement);
        kind
    }

    /// Takes the last announcement of another incarnation, unless the next one is overdue.
    fn take_rival(&mut self, now: Timestamp, interval: Duration) -> Option<Announcement> {
        let lifetime = interval.mul_f64(REPLACEABLE_AFTER_INTERVALS);
        let (received_at, rival) = self.rival.take()?;
        (now.since(received_at) < lifetime).then_some(rival)
    }

    /// Returns whether the known incarnation has confirmed to this process that it runs and is not leaving.
    pub(super) fn is_confirmed(&self) -> bool {
        self.presence == Some(Presence::Present)
    }

    /// Returns whether the known incarnation is confirmed and the state of its zone is known.
    pub(super) fn can_get_requests(&self) -> bool {
        self.is_confirmed() && self.is_zone_known()
    }

    pub(super) fn is_zone_known(&self) -> bool {
        self.zone != ZoneState::Unknown
    }

    /// Takes over the answer to a probe of an incarnation, unless it is not the known one. A confirmed incarnation can
    /// only be found to be leaving or replaced, and a leaving one stays so. Returns whether the answer is another one than
    /// the last.
    pub(super) fn record_presence(
        &mut self,
        upstream_id: Option<&UpstreamId>,
        incarnation_start_ms: Option<u64>,
        presence: Presence,
    ) -> bool {
        let is_known = self.announcement.as_ref().is_some_and(|it| {
            it.upstream_id.as_ref() == upstream_id
                && it.incarnation_start_ms == incarnation_start_ms
        });
        let is_final = match (self.presence, presence) {
            (Some(Presence::Leaving), _) => true,
            (Some(Presence::Present), Presence::Leaving | Presence::Replaced) => false,
            (Some(Presence::Present), _) => true,
            _ => false,
        };
        if !is_known || is_final {
            return false;
        }
        self.presence.replace(presence) != Some(presence)
    }

    /// Keeps the leaving of an incarnation. Returns its effect on the known one.
    pub(super) fn leave(
        &mut self,
        now: Timestamp,
        upstream_id: Option<&UpstreamId>,
        incarnation_start_ms: Option<u64>,
    ) -> LeavingKind {
        let known = self.announcement.as_ref();
        if !self.left.insert(now, upstream_id, incarnation_start_ms, known) {
            return LeavingKind::Repeated;
        }
        match &mut self.announcement {
            Some(known) if self.left.contains(known) || self.left.is_replaced(now, known) => {
                known.state = UpstreamState::Draining;
                self.is_draining = true;
                LeavingKind::Known
            }
            _ => LeavingKind::Unknown,
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
        let interval = self.parts.settings.announce_interval;
        let former = self.upstream.announcement.clone();
        match self.upstream.receive(now, interval, &announcement) {
            AnnouncementKind::Stale => {
                log::debug!(
                    target: "control",
                    "Ignored a stale announcement of the upstream {:?}, started at {:?} ms, with sequence {}.",
                    announcement.upstream_id, announcement.incarnation_start_ms, announcement.sequence,
                );
                return;
            }
            AnnouncementKind::Rival => {
                log::info!(
                    target: "control",
                    "The upstream {:?} has announced itself at {} while {:?} counts as alive; probing which one runs.",
                    announcement.upstream_id, announcement.address, former.and_then(|it| it.upstream_id),
                );
                self.parts.gate.probe_upstream();
                return;
            }
            AnnouncementKind::NewIncarnation => {
                log::info!(
                    target: "control",
                    "A new incarnation of the upstream, {:?}, runs at {}; starting a new session.",
                    announcement.upstream_id, announcement.address,
                );
                self.step(now, Input::DropSession { reason: "upstream replaced" });
            }
            AnnouncementKind::SameIncarnation => {}
        }
        self.parts.gate.update_cold_for(announcement.cold_for);
        let accepted = self.upstream.announcement.as_ref();
        let is_changed =
            |it: &&Announcement| former.as_ref().is_none_or(|former| !former.is_equivalent(it));
        if let Some(accepted) = accepted.filter(is_changed) {
            log::info!(
                target: "control",
                "Received a changed announcement of the upstream at {}: its state is {:?}.", accepted.address, accepted.state,
            );
            self.is_dirty = true;
        }
        self.report_upstream_state();
    }

    /// Keeps the leaving of an incarnation for good, since it has been acknowledged, and marks the upstream
    /// as draining if it is this incarnation or an earlier one of the same id.
    pub(super) fn on_upstream_leaving(
        &mut self,
        upstream_id: Option<&UpstreamId>,
        incarnation_start_ms: Option<u64>,
    ) {
        let now = self.now();
        match self.upstream.leave(now, upstream_id, incarnation_start_ms) {
            LeavingKind::Repeated => {}
            LeavingKind::Known => {
                log::info!(
                    target: "control",
                    "The upstream {upstream_id:?}, started at {incarnation_start_ms:?} ms, is leaving; its state is now draining.",
                );
                self.is_dirty = true;
                self.report_upstream_state();
            }
            LeavingKind::Unknown => {
                log::info!(
                    target: "control",
                    "The upstream {upstream_id:?}, started at {incarnation_start_ms:?} ms, is leaving and is not the known one; its announcements are ignored from now on.",
                );
            }
        }
    }

    /// Handles the answer of an upstream to a probe.
    pub(super) fn on_upstream_probed(
        &mut self,
        upstream_id: Option<&UpstreamId>,
        incarnation_start_ms: Option<u64>,
        presence: Presence,
    ) {
        if !self.upstream.record_presence(upstream_id, incarnation_start_ms, presence) {
            return;
        }
        let upstream = format!("{upstream_id:?}, started at {incarnation_start_ms:?} ms,");
        match presence {
            Presence::Present => {
                log::info!(target: "control", "The upstream {upstream} has confirmed that it runs; it gets requests.");
                self.is_dirty = true;
                self.report_upstream_state();
            }
            Presence::Leaving => self.on_upstream_leaving(upstream_id, incarnation_start_ms),
            Presence::Unhealthy => {
                log::info!(target: "control", "The upstream {upstream} is not healthy; it gets no requests before it is.");
            }
            Presence::Replaced => {
                log::info!(target: "control", "The upstream {upstream} is no longer the one at its address: it has ended, and counts as lost until another one announces itself.");
                self.is_dirty = true;
                self.report_upstream_state();
                self.step(self.now(), Input::DropSession { reason: "upstream replaced" });
                self.accept_rival();
            }
        }
    }

    /// Releases all keys if the operators have closed the own zone, and accepts keys again if they
    /// have opened it.
    pub(super) fn on_closed_zones(&mut self, closed: &ClosedZones) {
        let state = match closed.contains(&self.parts.own.zone) {
            true => ZoneState::Closed,
            false => ZoneState::Open,
        };
        let former = std::mem::replace(&mut self.upstream.zone, state);
        if former == state {
            return;
        }
        let zone = &self.parts.own.zone;
        match (former, state) {
            (_, ZoneState::Closed) => {
                log::info!(target: "control", "Zone {zone} is closed; releasing all keys.");
            }
            (ZoneState::Unknown, _) => {
                log::info!(target: "control", "The closed zones have been read; zone {zone} is open.");
            }
            _ => {
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
        // A grant may have waited for its connection or its answer while the session ended.
        if !self.parts.gate.is_of_current_session(token) {
            log::debug!(target: "control", "Ignored an outdated grant with token {token} of an earlier session.");
            return;
        }
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
        if state == UpstreamState::Lost {
            self.accept_rival();
        }
    }

    /// Handles the announcement of another incarnation again, now that the known one does not count as alive.
    fn accept_rival(&mut self) {
        let interval = self.parts.settings.announce_interval;
        if let Some(rival) = self.upstream.take_rival(self.now(), interval) {
            self.on_announcement(rival);
        }
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
