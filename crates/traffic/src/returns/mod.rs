//! Return times: tells a caller that is refused for overload when there will be room for its request, and
//! remembers which times it has given out.
//!
//! Invariant: a promise serves one return, and all promises given out at one time fit into the room that the upstream
//! is expected to have. The book is kept beside an [`Admission`] and reads it through its public methods only.

mod demand;
mod given;
mod room;

#[cfg(test)]
mod tests;

use std::time::Duration;

use model::{Fingerprint, Timestamp};

use crate::{Admission, ClassIndex, RouteIndex};

use demand::Demand;
use room::{RETURN_HORIZON, Room};

pub use given::{GivenTime, GivenTimes, Return, Sending};

/// The least time to its deadline with which a request gets a promise. With less, it can't return and be served.
const REMAINING_MIN: Duration = Duration::from_millis(10);
/// The longest that a caller waits before it returns, as a share of its remaining time: one in this many.
const WAIT_DIVISOR: u32 = 3;

/// The times at which callers that were refused at one upstream are to return.
#[derive(Debug)]
pub struct ReturnBook {
    demand: Demand,
    room: Room,
    given: GivenTimes<()>,
    /// When the book was last used.
    used_at: Timestamp,
}

/// A request that arrives at the gate or is refused there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReturnRequest {
    /// Equal for all sendings of a request, and for requests of other callers with the same content.
    pub fingerprint: Fingerprint,
    pub class: ClassIndex,
    /// The route, or `None` if only the class is known.
    pub route: Option<RouteIndex>,
    pub deadline: Timestamp,
}

/// Whether a request that arrives was promised a time to return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromiseState {
    /// It has no promise.
    Unpromised,
    /// It arrives at the promised time. The promise is used up.
    Due,
    /// It arrives before the time that its caller was told. A promise is lost.
    Early,
}

/// The time after which a refused caller is to return, and what it was computed from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReturnTime {
    pub after: Duration,
    /// Whether a place is kept for the return. If not, the time is the longest that the caller waits.
    pub is_promised: bool,
    /// The slots that the upstream offers, on average over time.
    pub supply_slots: f64,
    /// The slots that new requests of the same and of more urgent classes need.
    pub demand_slots: f64,
    /// The slot time that the waiting requests need.
    pub waiting: Duration,
}

impl ReturnBook {
    /// Creates an empty book for an upstream whose classes have these weights, by [`ClassIndex`].
    pub fn new(now: Timestamp, weights: impl IntoIterator<Item = f64>) -> ReturnBook {
        ReturnBook {
            demand: Demand::new(now, weights),
            room: Room::new(now),
            given: GivenTimes::default(),
            used_at: now,
        }
    }

    /// Checks whether an arriving request was promised a return, and adds it to the measured demand if it was told no
    /// time. `is_retry` states that its caller appears to have been refused before.
    pub fn arrive(
        &mut self,
        now: Timestamp,
        admission: &Admission,
        request: ReturnRequest,
        is_retry: bool,
    ) -> PromiseState {
        self.advance(now);
        let ReturnRequest { fingerprint, deadline, class, route } = request;
        let state = match self.given.take(now, Sending { fingerprint, deadline, is_retry }) {
            Some(it) if it.is_early => return PromiseState::Early,
            Some(it) if it.given.is_promised => return PromiseState::Due,
            Some(_) | None => PromiseState::Unpromised,
        };
        let service_time = admission.expected_service_time(class, route);
        self.demand.add(now, class, service_time);
        state
    }

    /// Returns when the caller of a refused request is to return, and keeps the promise if there is room by then.
    pub fn refuse(
        &mut self,
        now: Timestamp,
        admission: &Admission,
        request: ReturnRequest,
    ) -> ReturnTime {
        self.advance(now);
        let remaining = request.deadline.since(now);
        let supply_slots = supply_slots(now, admission);
        let demand_slots = self.demand.slots(now, request.class);
        let waiting = admission.mean_service_time().mul_f64(admission.queued() as f64);
        let after = remaining / WAIT_DIVISOR;
        let unpromised =
            ReturnTime { after, is_promised: false, supply_slots, demand_slots, waiting };
        if remaining < REMAINING_MIN {
            return unpromised;
        }
        let service_time = admission.expected_service_time(request.class, request.route);
        let latest = (now + after).min(request.deadline - service_time);
        let free_slots = supply_slots - demand_slots;
        let promised_at = self
            .given
            .has_space(now)
            .then(|| self.room.take_first(now, latest, free_slots, waiting, service_time));
        let promised_at = promised_at.flatten();
        let ReturnRequest { fingerprint, deadline, .. } = request;
        let (at, is_promised) = (promised_at.unwrap_or(now + after), promised_at.is_some());
        let given_at = now;
        self.given
            .add(now, GivenTime { fingerprint, deadline, given_at, at, is_promised, value: () });
        ReturnTime { after: at.since(now), is_promised, ..unpromised }
    }

    /// Returns the number of promises whose time has not passed.
    pub fn promised(&self, now: Timestamp) -> usize {
        self.given.promised(now)
    }

    /// Forgets what lies in the past. After a pause longer than the horizon, as when the process was suspended, nothing
    /// holds any longer that was promised before.
    fn advance(&mut self, now: Timestamp) {
        if now.since(self.used_at) > RETURN_HORIZON {
            self.given.clear();
            self.room = Room::new(now);
        }
        self.used_at = self.used_at.max(now);
        self.room.advance(now);
    }
}

/// Returns the slots that the upstream offers, on average over time: the open ones, or those that the starts within
/// the rate limit occupy.
fn supply_slots(now: Timestamp, admission: &Admission) -> f64 {
    let open = admission.slots_at(now) as f64;
    match admission.limited_start_interval(now) {
        Some(interval) if !interval.is_zero() => {
            open.min(admission.mean_service_time().as_secs_f64() / interval.as_secs_f64())
        }
        _ => open,
    }
}
