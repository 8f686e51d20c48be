//! Carries out what the book of leases says is due.

use std::{sync::Arc, time::Duration};

use model::{Instance, KeyRange, OrderedKeys, Slot, SlotCount, Timestamp, Token};
use tokio::time::{sleep, timeout};
use upstream::{GrantError, GrantedKeys, HandoverToken, KeyLeases, LeasedUpstream};
use wire::traffic::Unit;

use crate::{
    gate::{
        Gate,
        bound::BoundUpstream,
        leases::{
            exchange::SlotTransfer,
            slot_leases::{CALL_LATENCY_MARGIN, Call, GrantOutcome, SLOW_CLOCK_FACTOR, SlotRange},
        },
    },
    links::traffic::Handover,
    report::Report,
};

/// How often the end of the agent's own lease is looked at: often enough that a lease of 1.5 s that is
/// renewed each 0.4 s is passed on without delay.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(100);
/// What control admits or takes back in one step is gathered for this long.
const GATHER_FOR: Duration = Duration::from_millis(2);
/// An upstream on the same instance answers within a few milliseconds or not at all.
const GRANT_TIMEOUT: Duration = Duration::from_millis(400);

/// How long the answers of runs may come after that of the release that has waited for them, and how often
/// they are looked for. What comes later is found with the next tick.
const RUN_ANSWERS_WAIT: Duration = Duration::from_millis(20);
const RUN_ANSWERS_POLL: Duration = Duration::from_millis(1);

/// How long the upstream may take to give up what earlier sessions or lives of this agent granted it: work whose
/// connections are still there has to end first. After that its grants are waited for, as after any loss.
const CLEAR_TIMEOUT: Duration = Duration::from_millis(1_500);

impl Gate {
    /// What an earlier life of this agent began may go on until its lease has run out, of which nothing is known
    /// but that it was over when this process started.
    pub(super) fn assume_earlier_runs(&self, bound: &BoundUpstream) {
        let lease = bound.document.ownership.lease.mul_f64(SLOW_CLOCK_FACTOR);
        self.upstream_runs.assume_earlier_runs_until(Timestamp::ZERO + lease + CALL_LATENCY_MARGIN);
    }
}

/// Runs for as long as the gate does.
pub(crate) async fn run(gate: Arc<Gate>) {
    loop {
        let due = timeout(RECONCILE_INTERVAL, gate.leases.wakeup.notified()).await;
        if due.is_ok() {
            sleep(GATHER_FOR).await;
        }
        let Some(bound) = gate.bound.load_full() else { continue };
        match bound.upstream.key_leases() {
            KeyLeases::NotEnforced => {}
            KeyLeases::ByCall(_) => reconcile_by_calls(&gate, &bound).await,
            KeyLeases::ByAnnouncement => reconcile_announced(&gate, &bound).await,
        }
    }
}

/// What an upstream that is granted keys by its announcements gives up without one.
async fn reconcile_announced(gate: &Gate, bound: &BoundUpstream) {
    let now = gate.clock.now();
    let cleared = {
        let mut leases = gate.leases.lock();
        leases.follow_incarnation(now, &bound.incarnation());
        leases.take_cleared()
    };
    report_closed(gate).await;
    if let Some(token) = cleared {
        gate.assume_earlier_runs(bound);
        gate.reporter.deliver(Report::Cleared { token }).await;
    }
}

async fn reconcile_by_calls(gate: &Arc<Gate>, bound: &Arc<BoundUpstream>) {
    let now = gate.clock.now();
    let lease_until = gate.handle.table.lease_until();
    let calls = {
        let mut leases = gate.leases.lock();
        leases.follow_incarnation(now, &bound.incarnation());
        leases.due_calls(now, lease_until)
    };
    report_closed(gate).await;
    for call in calls {
        let (gate, bound) = (Arc::clone(gate), Arc::clone(bound));
        tokio::spawn(async move {
            match call {
                Call::Grant { range, hold, handover } => {
                    grant(&gate, &bound, range, hold, handover).await
                }
                Call::Release { range, successor, wait } => {
                    release_range(&gate, &bound, range, successor, wait).await
                }
                Call::Clear { token } => clear(&gate, &bound, token).await,
            }
        });
    }
}

/// Releases a run, and hands its token to the gate of the next owner before the slots count as closed.
async fn release_range(
    gate: &Gate,
    bound: &BoundUpstream,
    range: SlotRange,
    successor: Option<Instance>,
    wait: Duration,
) {
    let handover = release(gate, bound, range, wait).await;
    let is_answered = handover.is_some();
    complete_release(gate, bound, SlotTransfer { range, successor, handover }, is_answered).await;
}

/// Hands the token of a run that the upstream has given up to the gate of the next owner, and says then that
/// its slots are closed.
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
        log::warn!(target: "gate", "{successor} did not take the handover token of slots {} to {}: their keys start cold.", range.first, range.last);
    }
    wait_for_run_answers(gate, range).await;
    gate.leases.lock().finish_release(gate.clock.now(), range, is_answered);
    report_closed(gate).await;
}

/// The answers of runs that a release has waited for come with its own, on other connections.
async fn wait_for_run_answers(gate: &Gate, range: SlotRange) {
    let until = gate.clock.now() + RUN_ANSWERS_WAIT;
    let mut now = gate.clock.now();
    while now < until && gate.upstream_runs.ongoing(now, range.first, range.last).running > 0 {
        sleep(RUN_ANSWERS_POLL).await;
        now = gate.clock.now();
    }
}

/// Has the upstream give up all that earlier sessions or lives of this agent granted it. Its handover
/// token is kept for what is granted it again.
async fn clear(gate: &Gate, bound: &BoundUpstream, token: Token) {
    let range =
        SlotRange { first: Slot(0), last: Slot(bound.document.slot_count.count() - 1), token };
    let handover = release(gate, bound, range, CLEAR_TIMEOUT).await;
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
        Some(_) => gate.reporter.deliver(Report::Cleared { token }).await,
        None => {
            log::warn!(target: "gate", "What earlier sessions or lives of this agent granted the upstream runs out by itself.")
        }
    }
}

async fn grant(
    gate: &Gate,
    bound: &BoundUpstream,
    range: SlotRange,
    hold: Duration,
    handover: Option<HandoverToken>,
) {
    let sent_at = gate.clock.now();
    let Some((upstream, granted)) = leased(bound, range) else { return };
    let result = timeout(GRANT_TIMEOUT, upstream.grant_keys(granted, hold, handover)).await;
    let end = match result {
        Ok(Ok(())) => GrantOutcome::Accepted,
        Ok(Err(GrantError::Outdated { peer })) => {
            log::warn!(target: "gate", "The upstream {peer} has seen a higher token than {} for keys {} to {}.", range.token, granted.keys.first, granted.keys.last);
            gate.reporter.hint(Report::GrantOutdated { token: range.token });
            GrantOutcome::Outdated
        }
        Ok(Err(error)) => {
            log::debug!(target: "gate", "{error}.");
            GrantOutcome::Unknown
        }
        Err(_) => {
            log::debug!(target: "gate", "A grant of keys {} to {} got no answer.", granted.keys.first, granted.keys.last);
            GrantOutcome::Unknown
        }
    };
    gate.leases.lock().finish_grant(gate.clock.now(), range, sent_at, hold, end);
    if end == GrantOutcome::Accepted {
        gate.record_response(gate.clock.now());
        gate.leases.usable_changes.send_replace(());
    }
}

/// The upstream's handover token; none: it did not answer.
async fn release(
    gate: &Gate,
    bound: &BoundUpstream,
    range: SlotRange,
    wait: Duration,
) -> Option<HandoverToken> {
    let (upstream, granted) = leased(bound, range)?;
    let sent_at = gate.clock.now();
    let result = timeout(wait, upstream.release_keys(granted)).await;
    log_release_end(gate, range, sent_at, matches!(result, Ok(Ok(_))));
    match result {
        Ok(Ok(handover)) => {
            gate.record_response(gate.clock.now());
            Some(handover)
        }
        Ok(Err(error)) => {
            log::info!(target: "gate", "{error}.");
            // Not at once again: the upstream may be gone.
            sleep(wait.min(GRANT_TIMEOUT)).await;
            None
        }
        Err(_) => {
            log::info!(target: "gate", "A release of keys {} to {} got no answer within {wait:?}.", granted.keys.first, granted.keys.last);
            None
        }
    }
}

/// What shows whether the work on the slots has ended: how long the answer took, and what ended without one.
fn log_release_end(gate: &Gate, range: SlotRange, sent_at: Timestamp, is_answered: bool) {
    let now = gate.clock.now();
    let ongoing = gate.upstream_runs.ongoing(now, range.first, range.last);
    let end = if is_answered { "answered" } else { "failed" };
    log::info!(
        target: "gate",
        "Release of slots {} to {}, token {}: {end} after {} ms; {} runs without an answer yet, {} cut off, the last may go on for {} ms.",
        range.first, range.last, range.token, now.since(sent_at).as_millis(),
        ongoing.running, ongoing.unanswered, ongoing.until.since(now).as_millis(),
    );
}

fn leased(bound: &BoundUpstream, range: SlotRange) -> Option<(&dyn LeasedUpstream, GrantedKeys)> {
    let keys = bound.document.ordered_keys?;
    let keys = keys_of(keys, bound.document.slot_count, range);
    match bound.upstream.key_leases() {
        KeyLeases::ByCall(upstream) => Some((upstream, GrantedKeys { keys, token: range.token })),
        KeyLeases::NotEnforced | KeyLeases::ByAnnouncement => None,
    }
}

fn keys_of(keys: OrderedKeys, slot_count: SlotCount, range: SlotRange) -> KeyRange {
    keys.of_slots(slot_count, range.first, range.last)
}

fn handover_message(bound: &BoundUpstream, range: SlotRange, handover: &HandoverToken) -> Handover {
    Handover {
        service: bound.service.clone(),
        unit: Unit::Slots { first: range.first, last: range.last },
        token: range.token,
        records: bytes::Bytes::copy_from_slice(handover.as_bytes()),
    }
}

/// Says which slots the upstream neither holds nor works on any more.
async fn report_closed(gate: &Gate) {
    let now = gate.clock.now();
    let runs_until = gate.upstream_runs.latest_ends(now);
    let closed = gate.leases.lock().take_closed(now, runs_until);
    if !closed.is_empty() {
        gate.reporter.deliver(Report::ClosedSlots(closed)).await;
    }
}
