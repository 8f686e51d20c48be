//! Carries out the calls that the leases of the upstream require.

use std::{sync::Arc, time::Duration};

use model::{Instance, KeyRange, OrderedKeys, Slot, SlotCount, Timestamp, Token};
use ownership::UpstreamState;
use tokio::time::{sleep, timeout};
use upstream::{
    GrantError, GrantedKeys, HandoverToken, KeyConnection, KeyConnectionError, KeyLeaseMode,
    LeaseEnforcingUpstream, Presence,
};
use wire::traffic::TransferUnit;

use crate::{
    gate::{
        Gate,
        bound::BoundUpstream,
        leases::{
            exchange::SlotTransfer,
            slot_leases::{
                CALL_LATENCY_MARGIN, Call, GrantOutcome, SLOW_CLOCK_FACTOR, SlotRange, StartedGrant,
            },
        },
    },
    links::traffic::Handover,
    report::Report,
};

/// Interval at which the end of the agent's own lease is checked: short enough to pass on a lease
/// of 1.5 s, renewed every 0.4 s, without delay.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which admissions and closings of one control step are collected into one batch.
const BATCH_WINDOW: Duration = Duration::from_millis(2);
/// Timeout of a grant call: an upstream on the same instance answers within a few milliseconds or
/// not at all.
const GRANT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait for a connection for a grant. An upstream may answer the identity check only once a
/// slot is free.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(1);

/// Time by which the answers of requests may arrive after the answer to a release that waited for
/// them, and the interval at which they are polled. The next pass handles later ones.
const RUN_ANSWERS_WAIT: Duration = Duration::from_millis(20);
const RUN_ANSWERS_POLL: Duration = Duration::from_millis(1);

/// Time that the upstream may take to release the grants of earlier sessions or incarnations of
/// this agent: requests with open connections have to end first. If it takes longer, these grants
/// are left to expire, as after any lost call.
const CLEAR_TIMEOUT: Duration = Duration::from_millis(1_500);

impl Gate {
    /// Assumes that requests of an earlier incarnation of this agent may run until its lease has
    /// expired, counted from the start of this process: that incarnation had ended by then.
    pub(super) fn assume_earlier_runs(&self, bound: &BoundUpstream) {
        let lease = bound.document.ownership.lease.mul_f64(SLOW_CLOCK_FACTOR);
        self.upstream_runs.assume_earlier_runs_until(Timestamp::ZERO + lease + CALL_LATENCY_MARGIN);
    }
}

/// Reconciles the leases of the upstream with what control admits, for the lifetime of the gate.
pub(crate) async fn run(gate: Arc<Gate>) {
    loop {
        let due = timeout(RECONCILE_INTERVAL, gate.leases.wakeup.notified()).await;
        if due.is_ok() {
            sleep(BATCH_WINDOW).await;
        }
        let Some(bound) = gate.bound.load_full() else { continue };
        match bound.upstream.key_lease_mode() {
            KeyLeaseMode::NotEnforced => {}
            KeyLeaseMode::ByCall(_) => reconcile_by_calls(&gate, &bound).await,
            KeyLeaseMode::ByAnnouncement => reconcile_announced(&gate, &bound).await,
        }
    }
}

/// Reports slots whose holds have expired without an announcement, for an upstream that is granted
/// keys in the answers to its announcements.
async fn reconcile_announced(gate: &Gate, bound: &BoundUpstream) {
    let cleared = gate.leases.lock().take_cleared();
    report_closed(gate).await;
    if let Some(token) = cleared {
        gate.assume_earlier_runs(bound);
        gate.reporter.report(Report::Cleared { token }).await;
    }
}

async fn reconcile_by_calls(gate: &Arc<Gate>, bound: &Arc<BoundUpstream>) {
    let now = gate.clock.now();
    let lease_until = gate.handle.table.lease_until();
    let calls = gate.leases.lock().due_calls(now, lease_until);
    report_closed(gate).await;
    for call in calls {
        let (gate, bound) = (Arc::clone(gate), Arc::clone(bound));
        tokio::spawn(async move {
            match call {
                Call::Grant { range } => send_grant(&gate, &bound, range).await,
                Call::Release { range, successor, wait_max } => {
                    release_range(&gate, &bound, range, successor, wait_max).await
                }
                Call::Clear { token } => release_earlier_grants(&gate, &bound, token).await,
            }
        });
    }
}

/// Releases a range and transfers its handover token before the slots count as closed.
async fn release_range(
    gate: &Gate,
    bound: &BoundUpstream,
    range: SlotRange,
    successor: Option<Instance>,
    wait_max: Duration,
) {
    let handover = send_release(gate, bound, range, wait_max).await;
    let is_answered = handover.is_some();
    complete_release(gate, bound, SlotTransfer { range, successor, handover }, is_answered).await;
}

/// Hands the handover token of a released range over to the gate of the next owner, then reports
/// the slots as closed.
pub(super) async fn complete_release(
    gate: &Gate,
    bound: &BoundUpstream,
    transfer: SlotTransfer,
    is_answered: bool,
) {
    let SlotTransfer { range, successor, handover } = transfer;
    if let (Some(handover), Some(successor), Some(links)) = (&handover, successor, gate.links.get())
        && !links.hand_over(&successor, &handover_message(bound, range, handover)).await
    {
        log::warn!(target: "gate", "{successor} did not accept the handover token of slots {} to {}; their keys start cold there.", range.first, range.last);
    }
    wait_for_run_answers(gate, range).await;
    gate.leases.lock().finish_release(gate.clock.now(), range, is_answered);
    report_closed(gate).await;
}

/// Waits for the answers of the requests that a release has waited for: they arrive at about the
/// same time as its own answer, but on other connections.
async fn wait_for_run_answers(gate: &Gate, range: SlotRange) {
    let until = gate.clock.now() + RUN_ANSWERS_WAIT;
    let mut now = gate.clock.now();
    while now < until && gate.upstream_runs.ongoing(now, range.first, range.last).running > 0 {
        sleep(RUN_ANSWERS_POLL).await;
        now = gate.clock.now();
    }
}

/// Has the upstream release all grants of earlier sessions or incarnations of this agent. The
/// handover token that it returns is stored for the next grants of these keys.
async fn release_earlier_grants(gate: &Gate, bound: &BoundUpstream, token: Token) {
    let range =
        SlotRange { first: Slot(0), last: Slot(bound.document.slot_count.count() - 1), token };
    let handover = send_release(gate, bound, range, CLEAR_TIMEOUT).await;
    gate.assume_earlier_runs(bound);
    let now = gate.clock.now();
    {
        let mut leases = gate.leases.lock();
        if let Some(handover) = handover.clone().filter(|it| !it.is_empty()) {
            leases.store_handover_token(now, range.first, range.last, handover);
        }
        leases.finish_clear(token);
    }
    gate.leases.wakeup.notify_one();
    match handover {
        Some(_) => gate.reporter.report(Report::Cleared { token }).await,
        None => {
            log::warn!(target: "gate", "The upstream did not confirm the release of grants made by earlier sessions or incarnations of this agent; they are left to expire.")
        }
    }
}

/// Opens a connection for a grant, and then sends what is to be granted at that time: lease, session or owner may have
/// changed meanwhile.
async fn send_grant(gate: &Gate, bound: &BoundUpstream, range: SlotRange) {
    let KeyLeaseMode::ByCall(upstream) = bound.upstream.key_lease_mode() else { return };
    let Some(connection) = key_connection(gate, bound, upstream).await else {
        gate.leases.lock().abandon_grant(gate.clock.now(), range);
        gate.metrics.record_grant(&bound.document.team, grant_result(GrantOutcome::NotSent));
        return;
    };
    let sent_at = gate.clock.now();
    let lease_until = gate.handle.table.lease_until();
    let started = gate.leases.lock().start_grant(sent_at, lease_until, range);
    let Some(StartedGrant { range, hold, handover }) = started else { return };
    let Some((_, granted)) = leased_keys(bound, range) else { return };
    let result = timeout(GRANT_TIMEOUT, connection.grant_keys(granted, hold, handover)).await;
    let end = grant_outcome(gate, range, granted, hold, result.ok());
    gate.metrics.record_grant(&bound.document.team, grant_result(end));
    gate.leases.lock().finish_grant(gate.clock.now(), range, sent_at, hold, end);
    if end == GrantOutcome::Accepted {
        gate.record_response(gate.clock.now());
        gate.leases.usable_changes.send_replace(());
    }
}

/// Returns a connection for a grant to this incarnation of the upstream, or `None` if there is none.
async fn key_connection(
    gate: &Gate,
    bound: &BoundUpstream,
    upstream: &dyn LeaseEnforcingUpstream,
) -> Option<Box<dyn KeyConnection>> {
    match timeout(CONNECTION_TIMEOUT, upstream.key_connection()).await {
        Ok(Ok(connection)) => Some(connection),
        Ok(Err(error)) => {
            log::info!(target: "gate", "No connection for a grant: {error}.");
            match error {
                KeyConnectionError::Unconfirmed { .. } => {}
                KeyConnectionError::Unreachable { .. } => {
                    gate.reporter.try_report(Report::Upstream(UpstreamState::Lost));
                }
                KeyConnectionError::Replaced { .. } => end_incarnation(gate, bound).await,
            }
            None
        }
        Err(_) => {
            log::info!(target: "gate", "No connection for a grant: the upstream did not show within {CONNECTION_TIMEOUT:?} which incarnation it is.");
            None
        }
    }
}

/// Records that another incarnation has answered at the address, so the bound one has ended.
async fn end_incarnation(gate: &Gate, bound: &BoundUpstream) {
    let (upstream_id, incarnation_start_ms) = bound.incarnation();
    gate.leases.lock().end_incarnation(gate.clock.now(), &bound.incarnation());
    report_closed(gate).await;
    let presence = Presence::Replaced;
    let report = Report::UpstreamProbed { upstream_id, incarnation_start_ms, presence };
    gate.reporter.report(report).await;
}

/// Returns the outcome of a grant with this result; `None` if there was no answer in time.
fn grant_outcome(
    gate: &Gate,
    range: SlotRange,
    granted: GrantedKeys,
    hold: Duration,
    result: Option<Result<(), GrantError>>,
) -> GrantOutcome {
    let KeyRange { first, last } = granted.keys;
    match result {
        Some(Ok(())) => GrantOutcome::Accepted,
        Some(Err(GrantError::Outdated { peer })) => {
            log::warn!(target: "gate", "A grant under token {} for keys {first} to {last} is outdated at upstream {peer}.", range.token);
            gate.reporter.try_report(Report::GrantOutdated { token: range.token });
            GrantOutcome::Outdated
        }
        Some(Err(error @ GrantError::NotSent { .. })) => {
            log::info!(target: "gate", "A grant under token {} for keys {first} to {last} was not sent: {error}.", range.token);
            GrantOutcome::NotSent
        }
        Some(Err(error @ GrantError::Unknown { .. })) => {
            log::info!(target: "gate", "A grant under token {} for keys {first} to {last} failed and may still take effect: {error}.", range.token);
            GrantOutcome::Unknown
        }
        None => {
            log::info!(target: "gate", "The upstream did not answer a grant under token {} for keys {first} to {last} in time; it may still take effect, for {hold:?} from its arrival.", range.token);
            GrantOutcome::Unknown
        }
    }
}

/// Returns the name of the outcome in metrics.
fn grant_result(outcome: GrantOutcome) -> &'static str {
    match outcome {
        GrantOutcome::Accepted => "accepted",
        GrantOutcome::Outdated => "outdated",
        GrantOutcome::NotSent => "not_sent",
        GrantOutcome::Unknown => "unknown",
    }
}

/// Sends a release and returns the upstream's handover token, or `None` if the upstream did not
/// answer.
async fn send_release(
    gate: &Gate,
    bound: &BoundUpstream,
    range: SlotRange,
    wait_max: Duration,
) -> Option<HandoverToken> {
    let (upstream, granted) = leased_keys(bound, range)?;
    let sent_at = gate.clock.now();
    let result = timeout(wait_max, upstream.release_keys(granted)).await;
    log_release_end(gate, range, sent_at, matches!(result, Ok(Ok(_))));
    match result {
        Ok(Ok(handover)) => {
            gate.record_response(gate.clock.now());
            Some(handover)
        }
        Ok(Err(error)) => {
            log::info!(target: "gate", "A release failed: {error}.");
            // Delays the retry, because the upstream may be gone.
            sleep(wait_max.min(GRANT_TIMEOUT)).await;
            None
        }
        Err(_) => {
            log::info!(target: "gate", "The upstream did not answer a release of keys {} to {} within {wait_max:?}.", granted.keys.first, granted.keys.last);
            None
        }
    }
}

/// Logs how a release ended: the time to its answer, and the requests that ended without an answer
/// and may still run.
fn log_release_end(gate: &Gate, range: SlotRange, sent_at: Timestamp, is_answered: bool) {
    let now = gate.clock.now();
    let ongoing = gate.upstream_runs.ongoing(now, range.first, range.last);
    let end = if is_answered { "answered" } else { "failed" };
    log::info!(
        target: "gate",
        "Release of slots {} to {}, token {}: {end} after {} ms; {} requests still running, {} disconnected without an answer, the last may run for another {} ms.",
        range.first, range.last, range.token, now.since(sent_at).as_millis(),
        ongoing.running, ongoing.unanswered, ongoing.until.since(now).as_millis(),
    );
}

fn leased_keys(
    bound: &BoundUpstream,
    range: SlotRange,
) -> Option<(&dyn LeaseEnforcingUpstream, GrantedKeys)> {
    let keys = bound.document.ordered_keys?;
    let keys = keys_of(keys, bound.document.slot_count, range);
    match bound.upstream.key_lease_mode() {
        KeyLeaseMode::ByCall(upstream) => {
            Some((upstream, GrantedKeys { keys, token: range.token }))
        }
        KeyLeaseMode::NotEnforced | KeyLeaseMode::ByAnnouncement => None,
    }
}

fn keys_of(keys: OrderedKeys, slot_count: SlotCount, range: SlotRange) -> KeyRange {
    keys.range_of_slots(slot_count, range.first, range.last)
}

fn handover_message(bound: &BoundUpstream, range: SlotRange, handover: &HandoverToken) -> Handover {
    Handover {
        service: bound.service.clone(),
        unit: TransferUnit::Slots { first: range.first, last: range.last },
        token: range.token,
        records: bytes::Bytes::copy_from_slice(handover.as_bytes()),
    }
}

/// Reports the slots that the upstream no longer holds and on which it runs no requests.
async fn report_closed(gate: &Gate) {
    let now = gate.clock.now();
    let runs_until = gate.upstream_runs.latest_ends(now);
    let closed = gate.leases.lock().take_closed(now, runs_until);
    if !closed.is_empty() {
        gate.reporter.report(Report::ClosedSlots(closed)).await;
    }
}
