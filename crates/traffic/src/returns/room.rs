//! The room of an upstream in the near future, in steps: how much slot time of each has been promised.

use std::time::Duration;

use model::Timestamp;

/// The time for which returns are promised.
pub(super) const RETURN_HORIZON: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(10);
const STEPS: usize = (RETURN_HORIZON.as_millis() / STEP.as_millis()) as usize;
const STEP_NS: u64 = STEP.as_nanos() as u64;
/// Slot time below which a step is full, in seconds. Differences of this size are rounding errors.
const ROUNDING_S: f64 = 1e-9;

#[derive(Debug)]
pub(super) struct Room {
    /// The promised slot time of each step, in seconds, at the step's number modulo [`STEPS`].
    taken_s: [f32; STEPS],
    /// The first step that has not begun.
    first: u64,
}

impl Room {
    pub(super) fn new(now: Timestamp) -> Room {
        Room { taken_s: [0.0; STEPS], first: next_step(now) }
    }

    /// Forgets the steps that have begun.
    pub(super) fn advance(&mut self, now: Timestamp) {
        let first = next_step(now).max(self.first);
        for step in self.first..first.min(self.first + STEPS as u64) {
            self.taken_s[index(step)] = 0.0;
        }
        self.first = first;
    }

    /// Takes the slot time of a request from the first steps with room, after what is waiting. `free_slots` are those
    /// that new requests leave. Returns the time by which the room has accumulated, or `None` if that is
    /// after `latest` or the horizon; then nothing is taken.
    pub(super) fn take_first(
        &mut self,
        now: Timestamp,
        latest: Timestamp,
        free_slots: f64,
        waiting: Duration,
        service_time: Duration,
    ) -> Option<Timestamp> {
        debug_assert!(next_step(now) <= self.first, "the book was not advanced");
        let step_s = free_slots * STEP.as_secs_f64();
        if step_s <= ROUNDING_S {
            return None;
        }
        let mut waiting_s = waiting.as_secs_f64();
        let mut missing_s = service_time.as_secs_f64();
        let mut takes = [0.0_f32; STEPS];
        let steps = self.first..self.first + STEPS as u64;
        for step in steps.take_while(|it| end_of(*it) <= latest) {
            let free_s = (step_s - f64::from(self.taken_s[index(step)])).max(0.0);
            let used_s = free_s.min(waiting_s);
            waiting_s -= used_s;
            let take_s = (free_s - used_s).min(missing_s);
            missing_s -= take_s;
            takes[index(step)] = take_s as f32;
            if waiting_s <= ROUNDING_S && missing_s <= ROUNDING_S {
                for (taken_s, take_s) in self.taken_s.iter_mut().zip(takes) {
                    *taken_s += take_s;
                }
                return Some(end_of(step));
            }
        }
        None
    }
}

/// Returns the first step that begins after `now`.
fn next_step(now: Timestamp) -> u64 {
    now.ns / STEP_NS + 1
}

fn end_of(step: u64) -> Timestamp {
    Timestamp { ns: (step + 1).saturating_mul(STEP_NS) }
}

fn index(step: u64) -> usize {
    (step % STEPS as u64) as usize
}
