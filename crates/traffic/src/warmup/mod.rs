//! The limit on the request rate of a cold upstream.
//!
//! An upstream that has just started, or whose zone has just been reopened, handles a fraction of its usual
//! rate and fails beyond that. All callers reach an upstream through the gate on its own instance, so a limit
//! at that gate holds for all callers together.

#[cfg(test)]
mod tests;

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use model::Timestamp;

/// The number of windows into which a second is divided, each with an equal share of the rate. With one window
/// per second, a burst at its start would make all later requests wait for the next second.
const WINDOWS_PER_S: std::ops::RangeInclusive<u32> = 3..=8;

/// The lowest rate, in requests per second. Lower rates are raised to it.
const RATE_MIN_PER_S: f64 = 0.001;
/// The highest rate, in requests per second. A higher one is no limit, since the slots allow less.
const RATE_MAX_PER_S: f64 = 10_000.0;

/// The rate limit of one upstream, over all its queues and connections.
#[derive(Debug)]
pub struct Warmup {
    /// The limit while the upstream is cold. `None` if only its slots limit it.
    limit: Option<Limit>,
    cold_state: ColdState,
    /// The times of the last starts, oldest first; at most as many as one window allows.
    starts: VecDeque<Timestamp>,
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

impl Warmup {
    /// Creates the limit for an upstream in unknown state. Requests that it got before `now` are unknown too, so a
    /// cold upstream gets none during the first window.
    pub fn new(now: Timestamp) -> Warmup {
        let starts = VecDeque::from([now]);
        Warmup { limit: None, cold_state: ColdState::Unknown { announcements_needed: 1 }, starts }
    }

    /// Sets the rate while the upstream is cold, in requests per second. `None`, a rate that is not above 0, and
    /// one above `RATE_MAX_PER_S` remove the limit.
    pub fn set_limit(&mut self, per_s: Option<f64>) {
        let valid = per_s.filter(|it| *it > 0.0 && *it <= RATE_MAX_PER_S);
        let limit = valid.map(|it| Limit::new(it.max(RATE_MIN_PER_S)));
        if let (Some(limit), Some(last)) = (limit, self.starts.back().copied()) {
            // The previous limit may have needed fewer starts. Missing ones count as the last start.
            self.starts.resize(limit.starts.max(self.starts.len()), last);
        }
        self.limit = limit;
    }

    /// Records the upstream's announcement of how much longer it stays cold; zero if it is warm.
    pub fn set_cold_period(&mut self, now: Timestamp, cold_for: Duration) {
        self.cold_state = match self.cold_state {
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
    pub fn invalidate(&mut self) {
        self.cold_state = ColdState::Unknown { announcements_needed: 2 };
    }

    /// Returns whether the upstream is cold, or its state is unknown.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        match self.cold_state {
            ColdState::Unknown { .. } => true,
            ColdState::Until(until) => now < until,
        }
    }

    /// Returns when the next request may start. `None` if it may start now.
    pub fn next_start(&self, now: Timestamp) -> Option<Timestamp> {
        let limit = self.limit.filter(|_| self.is_cold(now))?;
        let first_of_window = self.starts.len().checked_sub(limit.starts)?;
        let at = *self.starts.get(first_of_window)? + limit.window;
        (at > now).then_some(at)
    }

    /// Counts the start of a request. Starts at a warm upstream count too, since it may turn cold within the window.
    pub fn start(&mut self, now: Timestamp) {
        let retained = self.limit.map_or(1, |it| it.starts);
        self.starts.push_back(now);
        while self.starts.len() > retained {
            self.starts.pop_front();
        }
    }

    /// Returns the average time between two starts. `None` if starts are not limited.
    pub fn start_interval(&self, now: Timestamp) -> Option<Duration> {
        let limit = self.limit.filter(|_| self.is_cold(now))?;
        Some(limit.window.div_f64(limit.starts as f64))
    }
}

impl Limit {
    /// Creates a limit for a rate in requests per second. The windows divide a second, so the rate holds in any
    /// second, wherever it begins; each window is rounded up.
    fn new(per_s: f64) -> Limit {
        const ROUNDING: Duration = Duration::from_nanos(1);
        let starts = |windows: u32| (per_s / f64::from(windows)).floor() as usize;
        let total_starts = |windows: &u32| *windows as usize * starts(*windows);
        match WINDOWS_PER_S.max_by_key(total_starts).map(|it| (it, starts(it))) {
            Some((windows, starts)) if starts > 0 => {
                Limit { starts, window: Duration::from_secs(1) / windows + ROUNDING }
            }
            _ => Limit { starts: 1, window: Duration::from_secs_f64(per_s.recip()) + ROUNDING },
        }
    }
}

/// The rate limit of one incarnation of an upstream, shared by all its queues.
#[derive(Debug, Clone)]
pub struct SharedWarmup(Arc<Mutex<Warmup>>);

impl SharedWarmup {
    pub fn new(now: Timestamp) -> SharedWarmup {
        SharedWarmup(Arc::new(Mutex::new(Warmup::new(now))))
    }

    pub fn with<T>(&self, body: impl FnOnce(&mut Warmup) -> T) -> T {
        body(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
