//! Trials of quarantined requests: one at a time of each request, among all agents.
//!
//! The right to a trial is claimed in an object of the store that all agents share, and the answers to requests that
//! were in flight in crashes are written there.

use std::{collections::HashMap, fmt, sync::Arc, time::Duration};

use bytes::Bytes;
use model::Fingerprint;
use object_store::{ObjectStore, StoreError};
use settings::{TRIALS_PATH, TrialClaim, TrialEntry, TrialsObject};
use tokio::time::{Instant, sleep};
use traffic::{TrialCounts, TrialEnd};

use super::{SharedQuarantine, TrialWrite};

/// Time without a crash report of a request before its next trial. Upstreams that crash from one external cause do so
/// within this time, and are back by then; a trial among them would prove nothing.
pub(super) const TRIAL_QUIET_TIME: Duration = Duration::from_secs(5);
/// Time by which a claim is held longer than the run that it is for.
const CLAIM_MARGIN: Duration = Duration::from_secs(1);
/// Least time between two requests of one content that an ingress passes on, or that a gate claims a trial for.
const TRIAL_ATTEMPT_INTERVAL: Duration = Duration::from_millis(500);
/// The most entries of the shared object.
pub(super) const ENTRIES_MAX: usize = 256;
/// Number of attempts to update the shared object while other agents update it.
const CONFLICTS_MAX: usize = 8;
/// Delays after a failed write of the end of a trial, or of an answer.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(100);
const WRITE_RETRY_DELAY_MAX: Duration = Duration::from_secs(2);

/// A part of an agent that decides whether a quarantined request may be tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Stage {
    Ingress,
    Gate,
}

/// The trials as known to this agent.
#[derive(Debug, Default)]
pub(super) struct KnownTrials {
    requests: HashMap<Fingerprint, KnownRequest>,
}

/// The state of one request. Only requests with a trial or an answer, or that were attempted here, have one.
#[derive(Debug, Default)]
struct KnownRequest {
    counts: TrialCounts,
    /// The open claim of an agent, and when it ends at the latest.
    claim: Option<(String, Instant)>,
    /// When this agent last learned of a crash.
    crashed_at: Option<Instant>,
    /// When each stage may next pass the request on.
    next_at: HashMap<Stage, Instant>,
}

impl KnownTrials {
    pub(super) fn record_crash(&mut self, requests: &[Fingerprint]) {
        let now = Instant::now();
        for request in requests {
            self.requests.entry(*request).or_default().crashed_at = Some(now);
        }
    }

    pub(super) fn apply(&mut self, entry: &TrialEntry) {
        let known = self.requests.entry(entry.request).or_default();
        known.counts.merge(counts(entry));
        known.apply_claim(entry.claim.as_ref());
    }

    pub(super) fn counts(&self, request: Fingerprint) -> TrialCounts {
        self.requests.get(&request).map(|it| it.counts).unwrap_or_default()
    }

    /// Returns whether the store lacks something that this agent knows of the request.
    fn is_missing(&self, entry: &TrialEntry) -> bool {
        let (mut merged, stored) = (self.counts(entry.request), counts(entry));
        merged.merge(stored);
        merged != stored
    }

    /// Returns whether a stage may pass on a quarantined request for a trial, and reserves the attempt.
    pub(super) fn begin_attempt(&mut self, request: Fingerprint, stage: Stage) -> bool {
        let now = Instant::now();
        let known = self.requests.entry(request).or_default();
        let next_at = known.next_at.get(&stage).is_none_or(|it| *it <= now);
        if !known.counts.allows_trial() || !known.is_quiet(now) || known.is_claimed(now) || !next_at
        {
            return false;
        }
        known.next_at.insert(stage, now + TRIAL_ATTEMPT_INTERVAL);
        true
    }

    /// Removes the requests that are no suspects, unless trials count against them.
    pub(super) fn retain(&mut self, is_suspect: impl Fn(Fingerprint) -> bool) {
        let is_tried = |it: TrialCounts| it.charged() > 0 && !it.is_answered;
        self.requests.retain(|request, it| is_tried(it.counts) || is_suspect(*request));
    }

    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }
}

impl KnownRequest {
    fn is_quiet(&self, now: Instant) -> bool {
        self.crashed_at.is_none_or(|it| now >= it + TRIAL_QUIET_TIME)
    }

    fn is_claimed(&self, now: Instant) -> bool {
        self.claim.as_ref().is_some_and(|(_, until)| now < *until)
    }

    /// Takes over the stored claim. Clocks are not shared, so its time counts from when this agent first saw it.
    fn apply_claim(&mut self, claim: Option<&TrialClaim>) {
        let Some(claim) = claim else {
            self.claim = None;
            return;
        };
        if self.claim.as_ref().is_none_or(|(id, _)| *id != claim.id) {
            let until = Instant::now() + Duration::from_millis(claim.ends_within_ms);
            self.claim = Some((claim.id.clone(), until));
        }
    }
}

/// A claimed trial. Dropping it counts as a run that was abandoned.
pub(crate) struct Trial {
    quarantine: Arc<SharedQuarantine>,
    request: Fingerprint,
    claim_id: String,
    /// `None` once the end is recorded.
    end: Option<TrialEnd>,
}

impl fmt::Debug for Trial {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Trial({}, {})", self.request, self.claim_id)
    }
}

impl Trial {
    /// Records that the request was answered. The answer itself is shared by [`SharedQuarantine::share_answer`].
    pub(crate) fn end_answered(mut self) {
        self.end = None;
    }

    pub(crate) fn end(mut self, end: TrialEnd) {
        self.end = Some(end);
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let Some(end) = self.end else { return };
        let crashes = self.quarantine.table().crash_count(self.request);
        log::info!(target: "quarantine", "The trial of request {} ended without an answer ({end:?}, {crashes} crashes).", self.request);
        if TrialCounts::is_refunded(end, crashes) {
            let (request, claim_id) = (self.request, std::mem::take(&mut self.claim_id));
            self.quarantine.request_trial_write(TrialWrite::Refund { request, claim_id });
        }
    }
}

/// The result of one change to the shared object.
enum Edit {
    Write,
    Keep,
}

impl SharedQuarantine {
    /// Claims the right to send a quarantined request to one upstream, for at most `run_time`. `None` if the request
    /// may not be tried now, or if the store does not confirm it within `claim_time`.
    pub(crate) async fn claim_trial(
        self: &Arc<Self>,
        request: Fingerprint,
        run_time: Duration,
        claim_time: Duration,
    ) -> Option<Trial> {
        let held = run_time + claim_time + CLAIM_MARGIN;
        let claim = TrialClaim {
            id: format!("{:016x}", rand::random::<u64>()),
            ends_within_ms: u64::try_from(held.as_millis()).unwrap_or(u64::MAX),
        };
        let claim_id = claim.id.clone();
        let claiming = self.update_trials(|object| self.add_claim(object, request, &claim));
        let result = tokio::time::timeout(claim_time, claiming).await;
        let trial = |end| Trial { quarantine: Arc::clone(self), request, claim_id, end: Some(end) };
        match result {
            Ok(Ok(Edit::Write)) => {
                let number = self.known_trials().counts(request).charged();
                log::info!(target: "quarantine", "Request {request} is quarantined and gets trial {number} of {}.", traffic::TRIALS_MAX);
                Some(trial(TrialEnd::Survived))
            }
            Ok(Ok(Edit::Keep)) => None,
            // The claim may have been written all the same.
            Ok(Err(error)) => {
                log::info!(target: "quarantine", "Claiming a trial of request {request} failed: {error}.");
                drop(trial(TrialEnd::NotSent));
                None
            }
            Err(_) => {
                log::info!(target: "quarantine", "Claiming a trial of request {request} took longer than {claim_time:?}.");
                drop(trial(TrialEnd::NotSent));
                None
            }
        }
    }

    fn add_claim(
        &self,
        object: &mut TrialsObject,
        request: Fingerprint,
        claim: &TrialClaim,
    ) -> Edit {
        // The object may name a claim that the watch has not shown yet.
        object.requests.iter().for_each(|it| self.apply_trials(it));
        let mut known = self.known_trials();
        let state = known.requests.entry(request).or_default();
        if !state.counts.allows_trial() || state.is_claimed(Instant::now()) {
            return Edit::Keep;
        }
        let Some(entry) = entry_of(object, request) else {
            log::warn!(target: "quarantine", "Request {request} gets no trial: {TRIALS_PATH} is full of requests that were tried.");
            return Edit::Keep;
        };
        // A rollback of the store may have lost trials.
        set_counts(entry, state.counts);
        entry.begun += 1;
        entry.claim = Some(claim.clone());
        Edit::Write
    }

    /// Takes back a claim whose trial is not counted.
    pub(super) async fn refund(&self, request: Fingerprint, claim_id: &str) {
        self.update_trials_with_retries(|object| {
            let entry = object.requests.iter_mut().find(|it| it.request == request);
            let is_own = |it: &TrialEntry| it.claim.as_ref().is_some_and(|it| it.id == claim_id);
            let Some(entry) = entry.filter(|it| is_own(it)) else { return Edit::Keep };
            entry.survived += 1;
            entry.claim = None;
            Edit::Write
        })
        .await;
    }

    /// Writes that these requests were answered, unless another agent has done so.
    pub(super) async fn share_answers(&self, requests: &[Fingerprint]) {
        self.update_trials_with_retries(|object| {
            let mut edit = Edit::Keep;
            for request in requests {
                let Some(entry) = entry_of(object, *request).filter(|it| !it.answered) else {
                    continue;
                };
                entry.answered = true;
                entry.claim = None;
                edit = Edit::Write;
            }
            edit
        })
        .await;
    }

    /// Writes what this agent knows and the store lacks after a rollback.
    pub(super) async fn restore_trials(&self) {
        if self.known_trials().requests.values().all(|it| it.counts == TrialCounts::default()) {
            return;
        }
        self.update_trials_with_retries(|object| {
            let known = self.known_trials();
            let counted = known.requests.iter().filter(|it| it.1.counts != TrialCounts::default());
            let mut edit = Edit::Keep;
            for (request, state) in counted {
                let Some(entry) = entry_of(object, *request).filter(|it| known.is_missing(it))
                else {
                    continue;
                };
                set_counts(entry, state.counts);
                edit = Edit::Write;
            }
            edit
        })
        .await;
    }

    async fn update_trials_with_retries(&self, mut edit: impl FnMut(&mut TrialsObject) -> Edit) {
        let mut delay = WRITE_RETRY_DELAY;
        while let Err(error) = self.update_trials(&mut edit).await {
            log::info!(target: "quarantine", "Writing the trials of requests failed: {error}; retrying.");
            sleep(delay).await;
            delay = (delay * 2).min(WRITE_RETRY_DELAY_MAX);
        }
    }

    /// Reads the shared object, edits it and writes it if it has not changed in between; otherwise tries again.
    async fn update_trials(
        &self,
        mut edit: impl FnMut(&mut TrialsObject) -> Edit,
    ) -> Result<Edit, StoreError> {
        let mut conflicts = 0;
        loop {
            let (version, mut object) = read_trials(&*self.store).await?;
            if let Edit::Keep = edit(&mut object) {
                return Ok(Edit::Keep);
            }
            let body = serde_json::to_vec(&object).expect("trials must serialize to JSON");
            match self.store.update(TRIALS_PATH, version, Bytes::from(body)).await {
                Ok(_) => {
                    object.requests.iter().for_each(|it| self.apply_trials(it));
                    return Ok(Edit::Write);
                }
                Err(StoreError::Conflict { .. }) if conflicts < CONFLICTS_MAX => conflicts += 1,
                Err(error) => return Err(error),
            }
        }
    }
}

async fn read_trials(
    store: &dyn ObjectStore,
) -> Result<(model::ObjectVersion, TrialsObject), StoreError> {
    let Some(object) = store.read(TRIALS_PATH).await? else { return Ok(Default::default()) };
    let trials = serde_json::from_slice(&object.body).unwrap_or_else(|error| {
        log::error!(target: "quarantine", "Replacing {TRIALS_PATH}, which is not a valid record of trials: {error}.");
        TrialsObject::default()
    });
    Ok((object.version, trials))
}

/// Returns the entry of a request, which is added if there is none. Only answered requests are removed for it: one
/// without its trials would get new ones. `None` if there are no answered requests to remove.
fn entry_of(object: &mut TrialsObject, request: Fingerprint) -> Option<&mut TrialEntry> {
    let entries = &mut object.requests;
    if let Some(index) = entries.iter().position(|it| it.request == request) {
        return entries.get_mut(index);
    }
    if entries.len() >= ENTRIES_MAX {
        let oldest_answered = entries.iter().position(|it| it.answered)?;
        entries.remove(oldest_answered);
    }
    entries.push(TrialEntry { request, begun: 0, survived: 0, answered: false, claim: None });
    entries.last_mut()
}

fn counts(entry: &TrialEntry) -> TrialCounts {
    TrialCounts { begun: entry.begun, survived: entry.survived, is_answered: entry.answered }
}

fn set_counts(entry: &mut TrialEntry, known: TrialCounts) {
    let mut merged = counts(entry);
    merged.merge(known);
    entry.begun = merged.begun;
    entry.survived = merged.survived;
    entry.answered = merged.is_answered;
}
