//! What control knows of the upstream beside this agent.

use std::time::Duration;

use model::Timestamp;
use ownership::{Input, UpstreamState};

use crate::{control::state::Control, report::Announcement};

/// Silence after which an upstream that announced itself each second counts as lost.
const SILENCE_MAX: Duration = Duration::from_secs(4);
/// How often the load goes to the coordinator.
const LOAD_PERIOD: Duration = Duration::from_secs(1);

/// The local upstream: what it says of itself, and what the gate sees.
#[derive(Debug, Default)]
pub(crate) struct LocalState {
    pub(crate) announcement: Option<Announcement>,
    heard_at: Timestamp,
    /// What the gate last said; it knows of hangs that the upstream itself can't tell.
    seen_by_gate: Option<UpstreamState>,
    told: Option<UpstreamState>,
    load_reported_at: Timestamp,
}

impl LocalState {
    /// The worse of the two views.
    pub(crate) fn state(&self) -> UpstreamState {
        match (&self.announcement, self.seen_by_gate) {
            (_, Some(UpstreamState::Lost)) => UpstreamState::Lost,
            (Some(announcement), _) => announcement.state,
            (None, _) => UpstreamState::Starting,
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
        self.local.heard_at = self.now();
        if self.local.announcement.as_ref() != Some(&announcement) {
            log::info!(
                target: "control",
                "The upstream at {} is {:?}.", announcement.address, announcement.state,
            );
            self.local.announcement = Some(announcement);
            self.dirty = true;
        }
        self.tell_upstream_state();
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
        let silent = now.since(self.local.heard_at) > SILENCE_MAX;
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
