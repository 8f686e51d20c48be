//! Requests that end the upstreams that run them: which are suspected, and which are sent to none any more.
//!
//! Each end of an upstream names all that was at work, so most of what it names is innocent. A request that has been
//! answered is cleared. A suspect is to be run with no other suspect beside it, so that the next end tells.

#[cfg(test)]
mod tests;

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};

use model::Fingerprint;
use serde::{Deserialize, Serialize};

/// Ends of upstreams under one request after which it is sent to none any more.
const ENDS_MAX: usize = 2;
/// Requests that are remembered as suspects; the oldest are forgotten first.
const SUSPECTS_MAX: usize = 8 << 10;
/// Requests that are remembered as answered: between this many and twice as many.
const CLEARED_MAX: usize = 16 << 10;

/// One end of an upstream; a report of it may be heard more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct CrashId(pub u64);

/// How a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// It may run beside any other.
    Clear,
    /// An upstream has ended while it was at work: it may run beside no other suspect.
    Suspect,
    /// It is given to no upstream.
    Quarantined,
}

/// What is known of the requests of all services.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, BTreeSet<CrashId>>,
    /// The suspects in the order in which they became that; some may be cleared by now.
    order: VecDeque<Fingerprint>,
    cleared: HashSet<Fingerprint>,
    cleared_before: HashSet<Fingerprint>,
}

impl Quarantine {
    pub fn status(&self, request: Fingerprint) -> QuarantineStatus {
        match self.suspects.get(&request).map(BTreeSet::len) {
            None => QuarantineStatus::Clear,
            Some(ends) if ends < ENDS_MAX => QuarantineStatus::Suspect,
            Some(_) => QuarantineStatus::Quarantined,
        }
    }

    /// An upstream has answered the request.
    pub fn record_answer(&mut self, request: Fingerprint) {
        self.suspects.remove(&request);
        if self.cleared.len() >= CLEARED_MAX {
            self.cleared_before = std::mem::take(&mut self.cleared);
        }
        self.cleared.insert(request);
    }

    /// Those of the requests that no upstream is known to have answered.
    pub fn exclude_answered(&self, mut requests: Vec<Fingerprint>) -> Vec<Fingerprint> {
        requests.retain(|it| !self.is_cleared(*it));
        requests
    }

    /// An upstream has ended under one of these requests. Returns those that are quarantined by that.
    pub fn record_crash(&mut self, end: CrashId, at_work: &[Fingerprint]) -> Vec<Fingerprint> {
        let mut quarantined = Vec::new();
        for request in self.exclude_answered(at_work.to_vec()) {
            let ends = self.suspects.entry(request).or_default();
            if ends.is_empty() {
                self.order.push_back(request);
            }
            if ends.insert(end) && ends.len() == ENDS_MAX {
                quarantined.push(request);
            }
        }
        while self.order.len() > SUSPECTS_MAX {
            if let Some(oldest) = self.order.pop_front() {
                self.suspects.remove(&oldest);
            }
        }
        quarantined
    }

    fn is_cleared(&self, request: Fingerprint) -> bool {
        self.cleared.contains(&request) || self.cleared_before.contains(&request)
    }
}
