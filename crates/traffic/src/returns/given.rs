//! The times that refused callers were told to return at, and the recognition of their returns.

use std::time::Duration;

use model::{Fingerprint, Timestamp};

/// The most times that are remembered.
const GIVEN_MAX: usize = 1024;
/// The number of remembered times up to which those without a promise are added, so that they leave space for promises.
const UNPROMISED_MAX: usize = GIVEN_MAX / 2;
/// How long after its time a return is expected: callers return later by the network's round trips and their own
/// timers.
const LATENESS_MAX: Duration = Duration::from_millis(100);
/// How long before its time a return is in time. Timers and times in whole milliseconds make callers early by less.
const EARLINESS_MAX: Duration = Duration::from_millis(10);
/// How much earlier the deadline of a return may appear than that of the refused request: callers state their remaining
/// time in whole milliseconds, some before they connect.
const DEADLINE_EARLINESS_MAX: Duration = Duration::from_millis(10);
/// How much later it may appear, because of the network. Requests of several callers with the same timeout that arrive
/// one after the other have deadlines as far apart, so this is short.
const DEADLINE_LATENESS_MAX: Duration = Duration::from_millis(1);
/// The least time between a refusal and the return: a caller has to receive the one and send the other. What arrives
/// sooner is from another caller, also if its deadline is the same.
const RETURN_TIME_MIN: Duration = Duration::from_millis(1);

/// The times given to callers, each with a value such as the instance that gave it.
#[derive(Debug)]
pub struct GivenTimes<T> {
    times: Vec<GivenTime<T>>,
}

/// The time that the caller of a refused request was told to return at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GivenTime<T> {
    /// Equal for all sendings of a request, and for requests of other callers with the same content.
    pub fingerprint: Fingerprint,
    pub deadline: Timestamp,
    /// When the time was given.
    pub given_at: Timestamp,
    pub at: Timestamp,
    /// Whether a place is kept for the return.
    pub is_promised: bool,
    pub value: T,
}

/// A request that may be the return of a refused caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sending {
    pub fingerprint: Fingerprint,
    pub deadline: Timestamp,
    /// Whether its caller appears to have been refused before.
    pub is_retry: bool,
}

/// The return of a refused caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Return<T> {
    pub given: GivenTime<T>,
    /// Whether the caller returns before its time.
    pub is_early: bool,
}

impl<T> Default for GivenTimes<T> {
    fn default() -> GivenTimes<T> {
        GivenTimes { times: Vec::new() }
    }
}

impl<T> GivenTimes<T> {
    /// Returns whether there is space for a promise.
    pub fn has_space(&mut self, now: Timestamp) -> bool {
        self.has_space_below(now, GIVEN_MAX)
    }

    /// Remembers a time, unless there is no space.
    pub fn add(&mut self, now: Timestamp, given: GivenTime<T>) {
        let len_max = if given.is_promised { GIVEN_MAX } else { UNPROMISED_MAX };
        if self.has_space_below(now, len_max) {
            self.times.push(given);
        }
    }

    /// Removes the time that was given to the caller of a request, or to another one with the same content. `None` if
    /// the request is no return.
    ///
    /// The caller is recognized by its deadline. If no deadline fits, any time that has come is used up; one that has
    /// not only if the request is known to be a retry, since it may be the first sending of another caller.
    pub fn take(&mut self, now: Timestamp, sending: Sending) -> Option<Return<T>> {
        let candidates = || {
            let times = self.times.iter().enumerate();
            times.filter(|(_, it)| it.fingerprint == sending.fingerprint && !it.has_expired(now))
        };
        let own = candidates().find(|(_, it)| it.may_be_of(now, sending.deadline));
        let due = || {
            let due = candidates().filter(|(_, it)| !it.is_early(now));
            due.min_by_key(|(_, it)| (!it.is_promised, it.at))
        };
        let early = || candidates().max_by_key(|(_, it)| it.at).filter(|_| sending.is_retry);
        let (index, _) = own.or_else(due).or_else(early)?;
        let given = self.times.swap_remove(index);
        Some(Return { is_early: given.is_early(now), given })
    }

    /// Returns the number of promises whose time has not passed.
    pub fn promised(&self, now: Timestamp) -> usize {
        self.times.iter().filter(|it| it.is_promised && !it.has_expired(now)).count()
    }

    /// Forgets all times.
    pub fn clear(&mut self) {
        self.times.clear();
    }

    fn has_space_below(&mut self, now: Timestamp, len_max: usize) -> bool {
        if self.times.len() >= len_max {
            self.times.retain(|it| !it.has_expired(now));
        }
        self.times.len() < len_max
    }
}

impl<T> GivenTime<T> {
    fn is_early(&self, now: Timestamp) -> bool {
        now + EARLINESS_MAX < self.at
    }

    fn has_expired(&self, now: Timestamp) -> bool {
        now > self.at + LATENESS_MAX
    }

    /// Returns whether a request with this deadline that arrives now may be of the same caller.
    fn may_be_of(&self, now: Timestamp, deadline: Timestamp) -> bool {
        let deadlines =
            self.deadline - DEADLINE_EARLINESS_MAX..=self.deadline + DEADLINE_LATENESS_MAX;
        deadlines.contains(&deadline) && now >= self.given_at + RETURN_TIME_MIN
    }
}
