//! The limit on the request rate of an upstream, which applies while it is cold or requests a limit itself.
//!
//! An upstream that has just started, or whose zone has just been reopened, handles a fraction of its usual
//! rate and fails beyond that. An overloaded upstream states a limit in its answers. All callers reach an
//! upstream through the gate on its own instance, so a limit at that gate holds for all callers together.

#[cfg(test)]
mod tests;

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use model::{RequestRate, Timestamp};

/// The number of windows into which a second is divided, each with an equal share of the rate. With one window
/// per second, a burst at its start would make all later requests wait for the next second.
const WINDOWS_PER_S: std::ops::RangeInclusive<u32> = 3..=8;

/// The lowest rate, in requests per second. Lower rates are raised to it.
const RATE_MIN_PER_S: f64 = 0.001;
/// The highest rate, in requests per second. A higher one is no limit, since the slots allow less.
const RATE_MAX_PER_S: f64 = 10_000.0;

/// The window of a stated limit, in seconds. All starts that it allows may happen at once, so that requests that reach
/// an idle upstream together do not wait for each other.
const STATED_WINDOW_S: f64 = 0.25;
/// The lowest stated rate that is applied, in requests per second. Only the answer to a request can end a limit.
const STATED_RATE_MIN_PER_S: f64 = 0.5;
/// The number of starts that are remembered without a limit, so that they count when one begins.
const STARTS_REMEMBERED_MIN: usize = 64;

/// The rate limit of one upstream, over all its queues and connections: the lower of the limit for cold upstreams
/// and the limit that the upstream states in its answers.
#[derive(Debug)]
pub struct RateLimit {
    warmup: Warmup,
    /// The limit that the upstream states.
    stated: Option<Limit>,
    /// The times of the last starts, oldest first.
    starts: VecDeque<Timestamp>,
}

/// The limit while the upstream is cold.
#[derive(Debug)]
struct Warmup {
    /// `None` if only the slots limit a cold upstream.
    limit: Option<Limit>,
    cold_state: ColdState,
}

/// The most starts in any window of the given length.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Limit {
    starts: usize,
    window: Duration,
}

/// The announced state of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ColdState {
    /// The state is unknown. The upstream counts as cold until it announces this many times that it is warm, or once
    /// for how long it stays cold.
    Unknown { announcements_needed: u32 },
    /// The upstream has announced until when it stays cold. It is warm if that time has passed.
    Until(Timestamp),
}

impl RateLimit {
    /// Creates the limit for an upstream in unknown state. Requests that it got before `now` are unknown too, so a
    /// limited upstream gets none during the first window.
    pub fn new(now: Timestamp) -> RateLimit {
        let cold_state = ColdState::Unknown { announcements_needed: 1 };
        RateLimit {
            warmup: Warmup { limit: None, cold_state },
            stated: None,
            starts: VecDeque::from([now]),
        }
    }

    /// Sets the rate while the upstream is cold, in requests per second. `None`, a rate that is not above 0, and
    /// one above `RATE_MAX_PER_S` remove the limit.
    pub fn set_cold_rate(&mut self, per_s: Option<f64>) {
        let valid = per_s.filter(|it| *it > 0.0 && *it <= RATE_MAX_PER_S);
        self.warmup.limit = valid.map(|it| Limit::in_any_second(it.max(RATE_MIN_PER_S)));
        self.extend_starts();
    }

    /// Sets the rate that the upstream states. `None` removes the limit.
    pub fn set_stated_rate(&mut self, rate: Option<RequestRate>) {
        let per_s = rate.map(RequestRate::per_s).filter(|it| *it <= RATE_MAX_PER_S);
        self.stated = per_s.map(|it| Limit::on_average(it.max(STATED_RATE_MIN_PER_S)));
        self.extend_starts();
    }

    /// Extends the remembered starts to the number that the limits need. Missing ones count as the last start, since
    /// the previous limit may have needed fewer.
    fn extend_starts(&mut self) {
        let Some(last) = self.starts.back().copied() else { return };
        let needed = self.starts_needed();
        self.starts.resize(needed.max(self.starts.len()), last);
    }

    fn starts_needed(&self) -> usize {
        let limits = self.warmup.limit.into_iter().chain(self.stated);
        limits.map(|it| it.starts).max().unwrap_or(1)
    }

    /// Records the upstream's announcement of how much longer it stays cold; zero if it is warm.
    pub fn set_cold_period(&mut self, now: Timestamp, cold_for: Duration) {
        let cold_state = &mut self.warmup.cold_state;
        *cold_state = match *cold_state {
            ColdState::Unknown { announcements_needed }
                if announcements_needed > 1 && cold_for.is_zero() =>
            {
                ColdState::Unknown { announcements_needed: announcements_needed - 1 }
            }
            _ => ColdState::Until(now + cold_for),
        };
    }

    /// Marks the state as unknown, because the upstream may have turned cold. It takes two announcements to count as
    /// warm again, since the first one may have been sent before this call.
    pub fn invalidate_cold_state(&mut self) {
        self.warmup.cold_state = ColdState::Unknown { announcements_needed: 2 };
    }

    /// Returns whether the upstream is cold, or its state is unknown.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        match self.warmup.cold_state {
            ColdState::Unknown { .. } => true,
            ColdState::Until(until) => now < until,
        }
    }

    /// Returns the limits in force.
    fn limits(&self, now: Timestamp) -> impl Iterator<Item = Limit> {
        let cold = self.warmup.limit.filter(|_| self.is_cold(now));
        cold.into_iter().chain(self.stated)
    }

    /// Returns when the next request may start. `None` if it may start now.
    pub fn next_start(&self, now: Timestamp) -> Option<Timestamp> {
        let next_of = |limit: Limit| {
            let first_of_window = self.starts.len().checked_sub(limit.starts)?;
            Some(*self.starts.get(first_of_window)? + limit.window)
        };
        self.limits(now).filter_map(next_of).max().filter(|at| *at > now)
    }

    /// Counts the start of a request. Starts without a limit count too, since one may begin within its window.
    pub fn start(&mut self, now: Timestamp) {
        let remembered = self.starts_needed().max(STARTS_REMEMBERED_MIN);
        self.starts.push_back(now);
        while self.starts.len() > remembered {
            self.starts.pop_front();
        }
    }

    /// Returns the average time between two starts. `None` if starts are not limited.
    pub fn start_interval(&self, now: Timestamp) -> Option<Duration> {
        self.limits(now).map(Limit::start_interval).max()
    }

    /// Returns the average time between two starts under the limit that the upstream states. `None` if it states
    /// none.
    pub fn stated_start_interval(&self) -> Option<Duration> {
        self.stated.map(Limit::start_interval)
    }
}

impl Limit {
    /// Rounds windows up, so that rounding can't exceed the rate.
    const ROUNDING: Duration = Duration::from_nanos(1);

    /// Creates a limit for a rate in requests per second. The windows divide a second, so the rate holds in any
    /// second, wherever it begins; each window is rounded up.
    fn in_any_second(per_s: f64) -> Limit {
        let starts = |windows: u32| (per_s / f64::from(windows)).floor() as usize;
        let total_starts = |windows: &u32| *windows as usize * starts(*windows);
        match WINDOWS_PER_S.max_by_key(total_starts).map(|it| (it, starts(it))) {
            Some((windows, starts)) if starts > 0 => {
                Limit { starts, window: Duration::from_secs(1) / windows + Limit::ROUNDING }
            }
            _ => Limit {
                starts: 1,
                window: Duration::from_secs_f64(per_s.recip()) + Limit::ROUNDING,
            },
        }
    }

    /// Creates a limit for a rate in requests per second that is reached on average. A time of any length has at most
    /// the starts of one window more than the rate.
    fn on_average(per_s: f64) -> Limit {
        let starts = ((per_s * STATED_WINDOW_S) as usize).max(1);
        Limit { starts, window: Duration::from_secs_f64(starts as f64 / per_s) + Limit::ROUNDING }
    }

    fn start_interval(self) -> Duration {
        self.window.div_f64(self.starts as f64)
    }
}

/// The rate limit of one upstream, shared by all its queues.
#[derive(Debug, Clone)]
pub struct SharedRateLimit(Arc<Mutex<RateLimit>>);

impl SharedRateLimit {
    pub fn new(now: Timestamp) -> SharedRateLimit {
        SharedRateLimit(Arc::new(Mutex::new(RateLimit::new(now))))
    }

    pub fn with<T>(&self, body: impl FnOnce(&mut RateLimit) -> T) -> T {
        body(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
