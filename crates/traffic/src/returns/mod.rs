//! Return times: tells a caller that is refused for overload when there will be room for its request, and
//! remembers which times it has given out.
//!
//! Invariant: a promise serves one return, and all promises given out at one time fit into the room that the upstream
//! is expected to have. The book is kept beside an [`Admission`] and reads it through its public methods only.

mod demand;
mod room;

#[cfg(test)]
mod tests;

use std::time::Duration;

use model::{Fingerprint, Timestamp};

use crate::{Admission, ClassIndex, RouteIndex};

use demand::Demand;
use room::Room;

pub use room::RETURN_HORIZON;

/// The most times that are remembered. Further callers get no promise.
const GIVEN_MAX: usize = 1024;
/// The number of remembered times up to which those without a promise are added, so that they leave space for promises.
const UNPROMISED_MAX: usize = GIVEN_MAX / 2;
/// How long after its time a promise is kept: callers return later by the network's round trips and their own timers.
pub const RETURN_LATENESS_MAX: Duration = Duration::from_millis(100);
/// How long before its time a promise is honored. Timers and times in whole milliseconds make callers early by less.
const EARLINESS_MAX: Duration = Duration::from_millis(10);
/// The least time to its deadline with which a request gets a promise. With less, it can't return and be served.
const REMAINING_MIN: Duration = Duration::from_millis(10);
/// The longest that a caller waits before it returns, as a share of its remaining time: one in this many.
const WAIT_DIVISOR: u32 = 3;

/// The times at which callers that were refused at one upstream are to return.
#[derive(Debug)]
pub struct ReturnBook {
    demand: Demand,
    room: Room,
    given: Vec<GivenTime>,
    /// When the book was last used.
    used_at: Timestamp,
}

/// The time that the caller of a refused request was told to return at.
#[derive(Debug, Clone, Copy)]
struct GivenTime {
    fingerprint: Fingerprint,
    at: Timestamp,
    is_promised: bool,
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
    /// It arrives at its time. The promise is used up.
    Due,
    /// It arrives before its time. The promise is lost.
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
            given: Vec::new(),
            used_at: now,
        }
    }

    /// Checks whether an arriving request was promised a return, and adds it to the measured demand if not.
    /// `may_be_first` states that the request may be the first sending of another caller. It then uses up a
    /// promise that is due, but loses none that is not.
    pub fn arrive(
        &mut self,
        now: Timestamp,
        admission: &Admission,
        request: ReturnRequest,
        may_be_first: bool,
    ) -> PromiseState {
        self.advance(now);
        let state = self.take_given(now, request.fingerprint, may_be_first);
        if state == PromiseState::Unpromised {
            let service_time = admission.expected_service_time(request.class, request.route);
            self.demand.add(now, request.class, service_time);
        }
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
        let promised = self
            .has_space(now, GIVEN_MAX)
            .then(|| self.room.take_first(now, latest, free_slots, waiting, service_time));
        let fingerprint = request.fingerprint;
        if let Some(at) = promised.flatten() {
            self.given.push(GivenTime { fingerprint, at, is_promised: true });
            return ReturnTime { after: at.since(now), is_promised: true, ..unpromised };
        }
        if self.has_space(now, UNPROMISED_MAX) {
            self.given.push(GivenTime { fingerprint, at: now + after, is_promised: false });
        }
        unpromised
    }

    /// Returns the number of promises whose time has not passed.
    pub fn promised(&self, now: Timestamp) -> usize {
        self.given.iter().filter(|it| it.is_promised && !it.has_expired(now)).count()
    }

    /// Forgets what lies in the past. After a pause longer than the horizon, as when the process was suspended,
    /// nothing holds any longer that was measured or promised before.
    fn advance(&mut self, now: Timestamp) {
        if now.since(self.used_at) > RETURN_HORIZON {
            self.given.clear();
            self.demand.reset(now);
            self.room = Room::new(now);
        }
        self.used_at = self.used_at.max(now);
        self.room.advance(now);
    }

    fn has_space(&mut self, now: Timestamp, len_max: usize) -> bool {
        if self.given.len() >= len_max {
            self.given.retain(|it| !it.has_expired(now));
        }
        self.given.len() < len_max
    }

    /// Uses up the earliest time given to this content that has come, or loses the latest one that has not.
    fn take_given(
        &mut self,
        now: Timestamp,
        fingerprint: Fingerprint,
        may_be_first: bool,
    ) -> PromiseState {
        let given = || {
            let given = self.given.iter().enumerate();
            given.filter(|(_, it)| it.fingerprint == fingerprint && !it.has_expired(now))
        };
        // A promise comes before a time without one, since the caller that has it can't be told apart.
        let due = given()
            .filter(|(_, it)| it.is_due(now))
            .min_by_key(|(_, it)| (!it.is_promised, it.at))
            .map(|(index, _)| index);
        let early = given().filter(|(_, it)| !it.is_due(now)).max_by_key(|(_, it)| it.at);
        let early = early.map(|(index, _)| index);
        match (due, early) {
            (Some(index), _) => match self.given.swap_remove(index).is_promised {
                true => PromiseState::Due,
                false => PromiseState::Unpromised,
            },
            (None, Some(index)) if !may_be_first => {
                self.given.swap_remove(index);
                PromiseState::Early
            }
            _ => PromiseState::Unpromised,
        }
    }
}

impl GivenTime {
    fn is_due(&self, now: Timestamp) -> bool {
        now + EARLINESS_MAX >= self.at && !self.has_expired(now)
    }

    fn has_expired(&self, now: Timestamp) -> bool {
        now > self.at + RETURN_LATENESS_MAX
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
