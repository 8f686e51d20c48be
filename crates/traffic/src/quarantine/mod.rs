//! Quarantine of requests that crash upstreams.
//!
//! A crash report lists all requests that were in flight, most of which did not cause the crash. A request that was
//! answered is no suspect. A suspect must not run concurrently with another suspect, so that the next crash shows
//! which of them caused it.
//!
//! A request may have been in flight in several crashes by chance. So a quarantined request gets a few trials, each at
//! one upstream of all. An answer to a trial, or to a run anywhere else, shows that the request does not crash each
//! upstream that runs it, and clears it.

#[cfg(test)]
mod tests;
#[cfg(test)]
mod trial_tests;
mod trials;

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};

use model::Fingerprint;
use serde::{Deserialize, Serialize};

pub use trials::{TRIALS_MAX, TrialCounts, TrialEnd};

/// The number of crashes after which a request that was in flight in all of them is quarantined.
const CRASHES_MAX: usize = 2;
/// The most requests that are stored as suspects. The oldest are evicted first.
const SUSPECTS_MAX: usize = 8 << 10;
/// The number of requests in one generation of answered requests. Two generations are stored, so at least this many
/// of the last answered requests are known.
const ANSWERED_MAX: usize = 16 << 10;

/// The most requests that are stored as disputed. Few, since each answer searches them.
const DISPUTED_MAX: usize = 64;

/// Identifier of one crash of an upstream, since the report of a crash may be received more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct CrashId(pub u64);

/// The restrictions on sending a request to upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// The request may run concurrently with any other.
    Clear,
    /// An upstream crashed while the request was in flight: it must not run concurrently with another suspect.
    Suspect,
    /// The request is not sent to any upstream, except for a trial.
    Quarantined,
}

/// The suspects and the answered requests of all services.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, BTreeSet<CrashId>>,
    /// The suspects in the order in which they were added. May include requests that are no longer suspects.
    suspects_by_age: VecDeque<Fingerprint>,
    /// The requests that were answered here, and that another agent reported as in flight in a crash. Agents that do
    /// not know the answer may have quarantined them.
    disputed: VecDeque<Fingerprint>,
    /// The current generation of answered requests.
    answered: HashSet<Fingerprint>,
    /// The generation before.
    previously_answered: HashSet<Fingerprint>,
}

impl Quarantine {
    pub fn status(&self, request: Fingerprint) -> QuarantineStatus {
        match self.suspects.get(&request).map(BTreeSet::len) {
            None => QuarantineStatus::Clear,
            Some(crashes) if crashes < CRASHES_MAX => QuarantineStatus::Suspect,
            Some(_) => QuarantineStatus::Quarantined,
        }
    }

    /// Returns the number of crashes, of those that are stored, in which the request was in flight.
    pub fn crash_count(&self, request: Fingerprint) -> usize {
        self.suspects.get(&request).map_or(0, BTreeSet::len)
    }

    /// Returns whether this crash is not known yet as one in which the request was in flight.
    pub fn is_new(&self, crash: CrashId, request: Fingerprint) -> bool {
        self.suspects.get(&request).is_none_or(|it| !it.contains(&crash))
    }

    /// Returns whether an answer to the request concerns other agents, since the request was in flight in a crash and
    /// not answered since.
    pub fn awaits_answer(&self, request: Fingerprint) -> bool {
        self.suspects.contains_key(&request) || self.disputed.contains(&request)
    }

    /// Records that an upstream has answered the request, which clears it of suspicion.
    pub fn record_answer(&mut self, request: Fingerprint) {
        self.suspects.remove(&request);
        self.disputed.retain(|it| *it != request);
        if self.answered.len() >= ANSWERED_MAX {
            self.previously_answered = std::mem::take(&mut self.answered);
        }
        self.answered.insert(request);
    }

    /// Returns the requests without those that are stored as answered.
    pub fn exclude_answered(&self, mut requests: Vec<Fingerprint>) -> Vec<Fingerprint> {
        requests.retain(|it| !self.is_answered(*it));
        requests
    }

    /// Records that an upstream crashed with these requests in flight. Returns the requests that this crash puts into
    /// quarantine.
    pub fn record_crash(&mut self, crash: CrashId, in_flight: &[Fingerprint]) -> Vec<Fingerprint> {
        let mut quarantined = Vec::new();
        for request in in_flight.iter().copied() {
            if self.is_answered(request) {
                self.dispute(request);
                continue;
            }
            let crashes = self.suspects.entry(request).or_default();
            if crashes.is_empty() {
                self.suspects_by_age.push_back(request);
            }
            if crashes.insert(crash) && crashes.len() == CRASHES_MAX {
                quarantined.push(request);
            }
        }
        while self.suspects_by_age.len() > SUSPECTS_MAX {
            if let Some(oldest) = self.suspects_by_age.pop_front() {
                self.suspects.remove(&oldest);
            }
        }
        quarantined
    }

    fn dispute(&mut self, request: Fingerprint) {
        if self.disputed.contains(&request) {
            return;
        }
        self.disputed.push_back(request);
        if self.disputed.len() > DISPUTED_MAX {
            self.disputed.pop_front();
        }
    }

    fn is_answered(&self, request: Fingerprint) -> bool {
        self.answered.contains(&request) || self.previously_answered.contains(&request)
    }
}
