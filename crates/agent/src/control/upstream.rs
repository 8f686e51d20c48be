//! What control knows of the upstream beside this agent.

use std::time::Duration;

use model::{Timestamp, Token};
use ownership::{Input, UpstreamState};
use settings::KeyGrants;

use crate::{
    control::state::Control,
    report::{Announcement, UpstreamId},
    snapshot::Leaving,
    zones::ClosedZones,
};

/// Silence after which an upstream that announced itself each second counts as lost.
const SILENCE_MAX: Duration = Duration::from_secs(4);
/// The same in announcements, where these grant it its keys: what it holds runs out without them, within 2.5 s
/// where requests take up to 1.5 s, and until it counts as lost nobody else is granted its keys.
const SILENCE_MAX_ANNOUNCEMENTS: f64 = 1.5;
/// An upstream that has been silent for this many of its announcements may have been followed by
/// another at its address; one that announces itself goes on within one and some jitter.
const ANOTHER_LIFE_AFTER: f64 = 1.5;
/// How often the load goes to the coordinator.
const LOAD_PERIOD: Duration = Duration::from_secs(1);

/// The local upstream: what it says of itself, and what the gate sees.
#[derive(Debug, Default)]
pub(crate) struct LocalState {
    pub(crate) announcement: Option<Announcement>,
    pub(super) heard_at: Timestamp,
    /// What the gate last said; it knows of hangs that the upstream itself can't tell.
    seen_by_gate: Option<UpstreamState>,
    told: Option<UpstreamState>,
    load_reported_at: Timestamp,
    /// The upstream has said that it leaves for good.
    is_leaving: bool,
    /// The own availability zone is closed.
    zone_is_closed: bool,
}

/// How an announcement stands to what is known of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Place {
    Same,
    NewLife,
    /// It has been on the way for so long that it says nothing about now.
    Late,
}

impl LocalState {
    /// The worse of the two views. One in a closed zone is not leaving, but gives up all that it has as one
    /// that is.
    pub(crate) fn state(&self) -> UpstreamState {
        match (&self.announcement, self.seen_by_gate) {
            (_, Some(UpstreamState::Lost)) => UpstreamState::Lost,
            (Some(it), _) if it.state == UpstreamState::Ready && self.zone_is_closed => {
                UpstreamState::Draining
            }
            (Some(announcement), _) => announcement.state,
            (None, _) => UpstreamState::Starting,
        }
    }
}

impl LocalState {
    pub(super) fn place_of(
        &self,
        now: Timestamp,
        every: Duration,
        announcement: &Announcement,
    ) -> Place {
        let Some(known) = &self.announcement else { return Place::Same };
        let alive = now.since(self.heard_at) < every.mul_f64(ANOTHER_LIFE_AFTER)
            && self.seen_by_gate != Some(UpstreamState::Lost);
        match (known.born_ms, announcement.born_ms) {
            _ if known.is_same_incarnation(announcement) => {
                let numbered = announcement.sequence > 0;
                let late = numbered && announcement.sequence <= known.sequence;
                if late { Place::Late } else { Place::Same }
            }
            // The upstream says when it began, so one that does not is of another writer.
            (Some(_), None) => Place::Late,
            (Some(known), Some(born)) if born > known => Place::NewLife,
            // Of two lives at one address the one that goes on announcing itself is there.
            _ if alive => Place::Late,
            _ => Place::NewLife,
        }
    }

    /// Why the upstream is to get no new work.
    pub(super) fn leaving(&self) -> Option<Leaving> {
        match &self.announcement {
            Some(it) if it.state == UpstreamState::Draining => Some(Leaving::ForGood),
            Some(_) if self.zone_is_closed => Some(Leaving::ZoneClosed),
            _ => None,
        }
    }

    /// One that has said that it leaves for good does not come back in the same life.
    fn as_it_leaves(&self, announcement: Announcement) -> Announcement {
        match self.is_leaving {
            true => Announcement { state: UpstreamState::Draining, ..announcement },
            false => announcement,
        }
    }
}

/// Silence after which an upstream counts as lost.
pub(super) fn silence_max(key_grants: KeyGrants, announced_every: Duration) -> Duration {
    match key_grants {
        KeyGrants::Calls => SILENCE_MAX,
        KeyGrants::Announcements => {
            SILENCE_MAX.min(announced_every.mul_f64(SILENCE_MAX_ANNOUNCEMENTS))
        }
    }
}

impl Control {
    pub(super) fn announced(&mut self, announcement: Announcement) {
        if announcement.service != *self.service() {
            log::warn!(
                target: "control",
                "The upstream at {} announced itself for {}, not for {}.",
                announcement.address, announcement.service, self.service(),
            );
            return;
        }
        let now = self.now();
        match self.local.place_of(now, self.parts.settings.announced_every, &announcement) {
            Place::Late => {
                log::debug!(target: "control", "An announcement of the upstream came late.");
                return;
            }
            Place::NewLife => {
                log::info!(
                    target: "control",
                    "Another life of the upstream, {:?}, is at {}.",
                    announcement.upstream_id, announcement.address,
                );
                self.local.is_leaving = false;
                self.step(now, Input::DropSession { reason: "upstream replaced" });
            }
            Place::Same => {}
        }
        let announcement = self.local.as_it_leaves(announcement);
        self.parts.gate.update_cold_for(announcement.cold_for);
        self.local.heard_at = now;
        // It lives, whatever became of a connection.
        self.local.seen_by_gate.take_if(|_| announcement.upstream_id.is_some());
        let news = self.local.announcement.as_ref().is_none_or(|it| !it.is_like(&announcement));
        if news {
            log::info!(
                target: "control",
                "The upstream at {} is {:?}.", announcement.address, announcement.state,
            );
            self.dirty = true;
        }
        self.local.announcement = Some(announcement);
        self.tell_upstream_state();
    }

    /// The upstream has said that it leaves for good.
    pub(super) fn upstream_leaves(&mut self, upstream_id: &UpstreamId, born_ms: Option<u64>) {
        let Some(announcement) = &mut self.local.announcement else { return };
        let other_life = born_ms.is_some() && born_ms != announcement.born_ms;
        if announcement.upstream_id.as_ref() != Some(upstream_id) || other_life {
            return;
        }
        log::info!(target: "control", "The upstream {upstream_id} leaves.");
        announcement.state = UpstreamState::Draining;
        self.local.is_leaving = true;
        self.dirty = true;
        self.tell_upstream_state();
    }

    /// The operators have closed or opened zones.
    pub(super) fn closed_zones_changed(&mut self, closed: &ClosedZones) {
        let is_closed = closed.contains(&self.parts.own.zone);
        if std::mem::replace(&mut self.local.zone_is_closed, is_closed) == is_closed {
            return;
        }
        let zone = &self.parts.own.zone;
        match is_closed {
            true => log::info!(target: "control", "Zone {zone} is closed: giving up all keys."),
            false => {
                log::info!(target: "control", "Zone {zone} is open again.");
                self.parts.gate.mark_possibly_cold();
            }
        }
        self.dirty = true;
        self.tell_upstream_state();
    }

    /// The upstream has seen a higher token than one it was granted under: another coordinator has
    /// been at work, or this one's tokens are not the newest. A new session gets new ones.
    pub(super) fn grant_outdated(&mut self, now: Timestamp, token: Token) {
        log::warn!(target: "control", "The upstream refuses grants of token {token}.");
        self.step(now, Input::DropSession { reason: "token outdated" });
    }

    pub(super) fn seen_by_gate(&mut self, state: UpstreamState) {
        if self.local.seen_by_gate != Some(state) {
            log::info!(target: "control", "The gate sees its upstream as {state:?}.");
        }
        self.local.seen_by_gate = Some(state);
        self.tell_upstream_state();
    }

    /// An upstream that has gone silent is lost.
    pub(super) fn watch_upstream(&mut self, now: Timestamp) {
        let document = self.documents.of(self.service()).map(|it| &it.document.upstream);
        let key_grants = document.map_or(KeyGrants::Calls, |it| it.key_grants);
        let silence_max = silence_max(key_grants, self.parts.settings.announced_every);
        let silent = now.since(self.local.heard_at) > silence_max;
        match &mut self.local.announcement {
            Some(announcement) if silent && announcement.state != UpstreamState::Lost => {
                log::warn!(target: "control", "The upstream has gone silent.");
                announcement.state = UpstreamState::Lost;
                self.dirty = true;
                self.tell_upstream_state();
            }
            _ => {}
        }
    }

    fn tell_upstream_state(&mut self) {
        let state = self.local.state();
        if self.local.told != Some(state) {
            self.local.told = Some(state);
            let now = self.now();
            self.step(now, Input::Upstream(state));
        }
    }

    pub(super) fn report_load(&mut self, now: Timestamp) {
        if self.group.is_none() || now.since(self.local.load_reported_at) < LOAD_PERIOD {
            return;
        }
        self.local.load_reported_at = now;
        let load = self.parts.gate.take_load();
        self.step(now, Input::Load(load));
    }
}
