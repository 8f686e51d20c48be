//! How much an upstream is given while it is cold.
//!
//! The load that this answers: an upstream that has just started, or whose zone has just been opened
//! again, bears a fraction of its usual rate, and falls over beyond it. All callers reach it through the
//! one gate beside it, so a limit there holds for all of them together.

#[cfg(test)]
mod tests;

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use model::Timestamp;

/// Starts are spread over so many windows a second, each with an equal part of the rate: a burst at the start
/// of a second would make all that come after it wait for the next one.
const WINDOWS_PER_S: std::ops::RangeInclusive<u32> = 3..=8;

/// Rates between these are kept to, in requests a second; a higher one is none that slots would allow.
const RATE_MIN: f64 = 0.001;
const RATE_MAX: f64 = 10_000.0;

/// The starts that one upstream is given, over all its queues and connections.
#[derive(Debug)]
pub struct Warmup {
    /// None: it bears all that its slots take, also while it is cold.
    limit: Option<Limit>,
    coldness: Coldness,
    /// The last starts, oldest first; no more than one window allows.
    starts: VecDeque<Timestamp>,
}

/// No more than so many starts in any window.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Limit {
    starts: usize,
    window: Duration,
}

/// What is known of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Coldness {
    /// It has not said whether it is cold, so it counts as cold until it has been heard so often.
    Unknown { unheard: u32 },
    /// It has said for how long it stays cold; a time that has passed: it is warm.
    Until(Timestamp),
}

impl Warmup {
    /// An upstream that nothing is known of. What it was given before `now` is not known either, so a
    /// cold one gets nothing for the first window.
    pub fn new(now: Timestamp) -> Warmup {
        let starts = VecDeque::from([now]);
        Warmup { limit: None, coldness: Coldness::Unknown { unheard: 1 }, starts }
    }

    /// Sets how many requests a second it bears while it is cold; none: there is no limit.
    pub fn set_limit(&mut self, per_s: Option<f64>) {
        let kept_to = per_s.filter(|it| *it > 0.0 && *it <= RATE_MAX);
        let limit = kept_to.map(|it| Limit::new(it.max(RATE_MIN)));
        if let (Some(limit), Some(last)) = (limit, self.starts.back().copied()) {
            // Only as many were kept as the former limit needed.
            self.starts.resize(limit.starts.max(self.starts.len()), last);
        }
        self.limit = limit;
    }

    /// The upstream has said for how much longer it stays cold.
    pub fn set_cold_period(&mut self, now: Timestamp, cold_for: Duration) {
        self.coldness = match self.coldness {
            Coldness::Unknown { unheard } if unheard > 1 && cold_for.is_zero() => {
                Coldness::Unknown { unheard: unheard - 1 }
            }
            _ => Coldness::Until(now + cold_for),
        };
    }

    /// It may have turned cold since it was last heard. Only the second that it says from now on is sure to
    /// have been said after this: one may be on its way.
    pub fn invalidate(&mut self) {
        self.coldness = Coldness::Unknown { unheard: 2 };
    }

    pub fn is_cold(&self, now: Timestamp) -> bool {
        match self.coldness {
            Coldness::Unknown { .. } => true,
            Coldness::Until(until) => now < until,
        }
    }

    /// When it may be given the next request; none: at once.
    pub fn next_start(&self, now: Timestamp) -> Option<Timestamp> {
        let limit = self.limit.filter(|_| self.is_cold(now))?;
        let first_of_window = self.starts.len().checked_sub(limit.starts)?;
        let at = *self.starts.get(first_of_window)? + limit.window;
        (at > now).then_some(at)
    }

    /// Counts a request that is given to it, cold or not: it may turn cold within the same second.
    pub fn start(&mut self, now: Timestamp) {
        let kept = self.limit.map_or(1, |it| it.starts);
        self.starts.push_back(now);
        while self.starts.len() > kept {
            self.starts.pop_front();
        }
    }

    /// The time between two starts, while there is a limit on them.
    pub fn start_interval(&self, now: Timestamp) -> Option<Duration> {
        let limit = self.limit.filter(|_| self.is_cold(now))?;
        Some(limit.window.div_f64(limit.starts as f64))
    }
}

impl Limit {
    /// Windows that fill a second keep the rate in any second, wherever it begins; each is rounded up.
    fn new(per_s: f64) -> Limit {
        const ROUNDING: Duration = Duration::from_nanos(1);
        let starts = |windows: u32| (per_s / f64::from(windows)).floor() as usize;
        let all = |windows: &u32| *windows as usize * starts(*windows);
        match WINDOWS_PER_S.max_by_key(all).map(|it| (it, starts(it))) {
            Some((windows, starts)) if starts > 0 => {
                Limit { starts, window: Duration::from_secs(1) / windows + ROUNDING }
            }
            _ => Limit { starts: 1, window: Duration::from_secs_f64(per_s.recip()) + ROUNDING },
        }
    }
}

/// The warm-up of one life of an upstream, shared by all queues that lead to it.
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
