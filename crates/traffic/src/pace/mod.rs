//! How fast an upstream works at this moment, by what it tells of itself with its answers.
//!
//! The load that this answers: upstreams share their machines with others, and for parts of a second work
//! takes several times as long there. What starts in such a spell keeps its slot for long; what starts after
//! it may end earlier.

#[cfg(test)]
mod tests;

use std::{collections::VecDeque, time::Duration};

use model::{Slowness, Timestamp};

/// From this many times its usual time on, work is slow.
const SLOW_TIMES: f64 = 1.5;
/// What is usual is the middle of so many values, each told at least so long after the one before.
const USUAL_VALUES: usize = 64;
const USUAL_STEP: Duration = Duration::from_millis(200);
/// So many have to be there to say what is usual.
const USUAL_VALUES_MIN: usize = 8;
/// How many slow spells are remembered, to judge how long the next one lasts.
const SPELLS: usize = 16;
/// When a spell began or ended is known only if there was word not longer than this before.
const UNHEARD_MAX: Duration = Duration::from_millis(150);

/// The pace of one upstream.
#[derive(Debug, Default)]
pub(crate) struct Pace {
    /// Oldest first.
    values: VecDeque<Slowness>,
    valued_at: Option<Timestamp>,
    /// The middle of the values.
    usual: Option<Slowness>,
    told: Option<(Timestamp, Slowness)>,
    slow: Option<Slow>,
    /// How long the last spells took, oldest first.
    spells: VecDeque<Duration>,
}

/// A spell that goes on, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Slow {
    since: Timestamp,
    /// Whether it was heard of when it began.
    is_whole: bool,
}

impl Pace {
    /// The upstream has told how slow its machine is.
    pub(crate) fn told(&mut self, now: Timestamp, slowness: Slowness) {
        self.note(now, slowness);
        let is_close = self.is_heard(now);
        self.told = Some((now, slowness));
        match self.slow {
            None if self.is_above_usual(slowness) => {
                self.slow = Some(Slow { since: now, is_whole: is_close });
            }
            Some(slow) if !self.is_above_usual(slowness) => {
                self.slow = None;
                if slow.is_whole && is_close {
                    self.remember(now.since(slow.since));
                }
            }
            _ => {}
        }
    }

    /// How much longer work is expected to be slow; none: it is not.
    pub(crate) fn slow_for(&self, now: Timestamp) -> Option<Duration> {
        let passed = now.since(self.slow?.since);
        let longer = || self.spells.iter().filter(|it| **it > passed);
        let count = u32::try_from(longer().count()).ok().filter(|it| *it > 0)?;
        let left: Duration = longer().map(|it| *it - passed).sum();
        Some(left / count)
    }

    /// Whether what is given to the upstream now meets a slow spell.
    pub(crate) fn is_slow(&self, now: Timestamp) -> bool {
        self.slow.is_some() && (self.is_heard(now) || self.slow_for(now).is_some())
    }

    /// What the upstream told last.
    pub(crate) fn told_last(&self) -> Option<Slowness> {
        self.told.map(|(_, slowness)| slowness)
    }

    fn is_heard(&self, now: Timestamp) -> bool {
        self.told.is_some_and(|(told_at, _)| now.since(told_at) <= UNHEARD_MAX)
    }

    fn note(&mut self, now: Timestamp, slowness: Slowness) {
        if self.valued_at.is_some_and(|it| now.since(it) < USUAL_STEP) {
            return;
        }
        self.valued_at = Some(now);
        self.values.push_back(slowness);
        if self.values.len() > USUAL_VALUES {
            self.values.pop_front();
        }
        if self.values.len() >= USUAL_VALUES_MIN {
            let mut sorted = Vec::from_iter(self.values.iter().copied());
            sorted.sort_unstable();
            self.usual = Some(sorted[sorted.len() / 2]);
        }
    }

    fn is_above_usual(&self, slowness: Slowness) -> bool {
        self.usual.is_some_and(|it| f64::from(slowness.0) >= f64::from(it.0) * SLOW_TIMES)
    }

    fn remember(&mut self, spell: Duration) {
        self.spells.push_back(spell);
        if self.spells.len() > SPELLS {
            self.spells.pop_front();
        }
    }
}
