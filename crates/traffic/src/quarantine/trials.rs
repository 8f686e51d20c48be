//! Trials of quarantined requests.

/// The most trials of a request that end without an answer. A request that crashes each upstream may reach upstreams
/// three more times after its third crash.
pub const TRIALS_MAX: u32 = 3;
/// The number of crashes from which on each trial is counted, also one that the upstream survived.
const CRASHES_COUNTED_FROM: usize = 3;

/// What all agents together know of the trials of one request. The counters only increase and an answer stays, so
/// the states of two agents, or of a store before and after it was rolled back, are merged by their maxima.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TrialCounts {
    pub begun: u32,
    /// Number of trials that are not counted against the request.
    pub survived: u32,
    pub is_answered: bool,
}

/// The end of a trial without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialEnd {
    /// The request was not sent.
    NotSent,
    /// The request was sent; no connection to the upstream was lost.
    Survived,
    /// The connection was lost.
    Lost,
}

impl TrialCounts {
    /// Returns the number of trials that count against the request. A trial counts from its claim on, so that one whose
    /// agent was killed counts as a crash.
    pub fn charged(self) -> u32 {
        self.begun.saturating_sub(self.survived)
    }

    pub fn allows_trial(self) -> bool {
        !self.is_answered && self.charged() < TRIALS_MAX
    }

    /// Returns whether a trial that ended this way is not counted against a request that was in flight in `crashes`
    /// crashes. An upstream that survived a trial may not have begun it, so this is no evidence for the request.
    pub fn is_refunded(end: TrialEnd, crashes: usize) -> bool {
        match end {
            TrialEnd::NotSent => true,
            TrialEnd::Survived => crashes < CRASHES_COUNTED_FROM,
            TrialEnd::Lost => false,
        }
    }

    pub fn merge(&mut self, other: TrialCounts) {
        self.begun = self.begun.max(other.begun);
        self.survived = self.survived.max(other.survived);
        self.is_answered |= other.is_answered;
    }
}
