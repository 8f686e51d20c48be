//! Carries out what the book of leases says is due.

use std::{sync::Arc, time::Duration};

use model::{Instance, KeyRange, OrderedKeys, Slot, SlotCount, Timestamp, Token};
use tokio::time::{sleep, timeout};
use upstream::{GrantError, GrantedKeys, HandoverToken, KeyLeases, LeasedUpstream};
use wire::traffic::Unit;

use crate::{
    gate::{
        Gate,
        bound::Bound,
        leases::{
            announced::GivenUp,
            book::{CALL_MARGIN, Call, GrantEnd, Run, SLOW_CLOCK},
        },
    },
    links::traffic::Handover,
    report::Report,
};

/// How often the end of the agent's own lease is looked at: often enough that a lease of 1.5 s that is
/// renewed each 0.4 s is passed on without delay.
const TICK: Duration = Duration::from_millis(100);
/// What control admits or takes back in one step is gathered for this long.
const GATHER_FOR: Duration = Duration::from_millis(2);
/// An upstream on the same instance answers within a few milliseconds or not at all.
const GRANT_TIMEOUT: Duration = Duration::from_millis(400);

/// How long the answers of runs may come after that of the release that has waited for them, and how often
/// they are looked for. What comes later is found with the next tick.
const ANSWERS_WAIT: Duration = Duration::from_millis(20);
const ANSWERS_POLL: Duration = Duration::from_millis(1);

/// How long the upstream may take to give up what earlier sessions or lives of this agent granted it: work whose
/// connections are still there has to end first. After that its grants are waited for, as after any loss.
const CLEAR_MAX: Duration = Duration::from_millis(1_500);

impl Gate {
    /// What an earlier life of this agent began may go on until its lease has run out, of which nothing is known
    /// but that it was over when this process started.
    pub(super) fn doubt_earlier_lives(&self, bound: &Bound) {
        let lease = bound.document.ownership.lease.mul_f64(SLOW_CLOCK);
        self.upstream_runs.doubt_earlier_lives(Timestamp::ZERO + lease + CALL_MARGIN);
    }
}

/// Runs for as long as the gate does.
pub(crate) async fn run(gate: Arc<Gate>) {
    loop {
        let due = timeout(TICK, gate.leases.due.notified()).await;
        if due.is_ok() {
            sleep(GATHER_FOR).await;
        }
        let Some(bound) = gate.bound.load_full() else { continue };
        match bound.upstream.key_leases() {
            KeyLeases::NotEnforced => {}
            KeyLeases::ByCall(_) => step(&gate, &bound).await,
            KeyLeases::ByAnnouncement => report_ended(&gate, &bound).await,
        }
    }
}

/// What an upstream that is granted keys by its announcements gives up without one.
async fn report_ended(gate: &Gate, bound: &Bound) {
    let now = gate.clock.now();
    let cleared = {
        let mut book = gate.leases.book();
        book.follow_life(now, &bound.life());
        book.take_cleared()
    };
    report_closed(gate).await;
    if let Some(token) = cleared {
        gate.doubt_earlier_lives(bound);
        gate.reporter.deliver(Report::Cleared { token }).await;
    }
}

async fn step(gate: &Arc<Gate>, bound: &Arc<Bound>) {
    let now = gate.clock.now();
    let lease_until = gate.handle.table.lease_until();
    let calls = {
        let mut book = gate.leases.book();
        book.follow_life(now, &bound.life());
        book.calls(now, lease_until)
    };
    report_closed(gate).await;
    for call in calls {
        let (gate, bound) = (Arc::clone(gate), Arc::clone(bound));
        tokio::spawn(async move {
            match call {
                Call::Grant { run, hold, handover } => {
                    grant(&gate, &bound, run, hold, handover).await
                }
                Call::Release { run, to, wait } => give_up(&gate, &bound, run, to, wait).await,
                Call::Clear { token } => clear(&gate, &bound, token).await,
            }
        });
    }
}

/// Releases a run, and hands its token to the gate of the next owner before the slots count as closed.
async fn give_up(gate: &Gate, bound: &Bound, run: Run, to: Option<Instance>, wait: Duration) {
    let handover = release(gate, bound, run, wait).await;
    let is_answered = handover.is_some();
    pass_on(gate, bound, GivenUp { run, to, handover }, is_answered).await;
}

/// Hands the token of a run that the upstream has given up to the gate of the next owner, and says then that
/// its slots are closed.
pub(super) async fn pass_on(gate: &Gate, bound: &Bound, given_up: GivenUp, is_answered: bool) {
    let GivenUp { run, to, handover } = given_up;
    if let (Some(text), Some(to), Some(links)) = (&handover, to, gate.links.get())
        && !links.hand_over(&to, &handover_of(bound, run, text)).await
    {
        log::warn!(target: "gate", "{to} did not take the handover token of slots {} to {}: their keys start cold.", run.first, run.last);
    }
    wait_for_answers(gate, run).await;
    gate.leases.book().release_ended(gate.clock.now(), run, is_answered);
    report_closed(gate).await;
}

/// The answers of runs that a release has waited for come with its own, on other connections.
async fn wait_for_answers(gate: &Gate, run: Run) {
    let until = gate.clock.now() + ANSWERS_WAIT;
    let mut now = gate.clock.now();
    while now < until && gate.upstream_runs.unended(now, run.first, run.last).running > 0 {
        sleep(ANSWERS_POLL).await;
        now = gate.clock.now();
    }
}

/// Has the upstream give up all that earlier sessions or lives of this agent granted it. Its handover
/// token is kept for what is granted it again.
async fn clear(gate: &Gate, bound: &Bound, token: Token) {
    let run = Run { first: Slot(0), last: Slot(bound.document.slot_count.count() - 1), token };
    let handover = release(gate, bound, run, CLEAR_MAX).await;
    gate.doubt_earlier_lives(bound);
    let now = gate.clock.now();
    {
        let mut book = gate.leases.book();
        if let Some(text) = handover.clone().filter(|it| !it.is_empty()) {
            book.take_handover(now, run.first, run.last, text);
        }
        book.clear_ended(token);
    }
    gate.leases.due.notify_one();
    match handover {
        Some(_) => gate.reporter.deliver(Report::Cleared { token }).await,
        None => {
            log::warn!(target: "gate", "What earlier sessions or lives of this agent granted the upstream runs out by itself.")
        }
    }
}

async fn grant(
    gate: &Gate,
    bound: &Bound,
    run: Run,
    hold: Duration,
    handover: Option<HandoverToken>,
) {
    let sent_at = gate.clock.now();
    let Some((leases, granted)) = leased(bound, run) else { return };
    let result = timeout(GRANT_TIMEOUT, leases.grant_keys(granted, hold, handover)).await;
    let end = match result {
        Ok(Ok(())) => GrantEnd::Taken,
        Ok(Err(GrantError::Outdated { peer })) => {
            log::warn!(target: "gate", "The upstream {peer} has seen a higher token than {} for keys {} to {}.", run.token, granted.keys.first, granted.keys.last);
            gate.reporter.hint(Report::GrantOutdated { token: run.token });
            GrantEnd::Outdated
        }
        Ok(Err(error)) => {
            log::debug!(target: "gate", "{error}.");
            GrantEnd::Unknown
        }
        Err(_) => {
            log::debug!(target: "gate", "A grant of keys {} to {} got no answer.", granted.keys.first, granted.keys.last);
            GrantEnd::Unknown
        }
    };
    gate.leases.book().grant_ended(gate.clock.now(), run, sent_at, hold, end);
    if end == GrantEnd::Taken {
        gate.sign(gate.clock.now());
        gate.leases.usable.send_replace(());
    }
}

/// The upstream's handover token; none: it did not answer.
async fn release(gate: &Gate, bound: &Bound, run: Run, wait: Duration) -> Option<HandoverToken> {
    let (leases, granted) = leased(bound, run)?;
    let sent_at = gate.clock.now();
    let result = timeout(wait, leases.release_keys(granted)).await;
    log_release(gate, run, sent_at, matches!(result, Ok(Ok(_))));
    match result {
        Ok(Ok(handover)) => {
            gate.sign(gate.clock.now());
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
fn log_release(gate: &Gate, run: Run, sent_at: Timestamp, is_answered: bool) {
    let now = gate.clock.now();
    let unended = gate.upstream_runs.unended(now, run.first, run.last);
    let end = if is_answered { "answered" } else { "failed" };
    log::info!(
        target: "gate",
        "Release of slots {} to {}, token {}: {end} after {} ms; {} runs without an answer yet, {} cut off, the last may go on for {} ms.",
        run.first, run.last, run.token, now.since(sent_at).as_millis(),
        unended.running, unended.unanswered, unended.until.since(now).as_millis(),
    );
}

fn leased(bound: &Bound, run: Run) -> Option<(&dyn LeasedUpstream, GrantedKeys)> {
    let keys = bound.document.ordered_keys?;
    let keys = keys_of(keys, bound.document.slot_count, run);
    match bound.upstream.key_leases() {
        KeyLeases::ByCall(leases) => Some((leases, GrantedKeys { keys, token: run.token })),
        KeyLeases::NotEnforced | KeyLeases::ByAnnouncement => None,
    }
}

fn keys_of(keys: OrderedKeys, slot_count: SlotCount, run: Run) -> KeyRange {
    keys.of_slots(slot_count, run.first, run.last)
}

fn handover_of(bound: &Bound, run: Run, text: &HandoverToken) -> Handover {
    Handover {
        service: bound.service.clone(),
        unit: Unit::Slots { first: run.first, last: run.last },
        token: run.token,
        records: bytes::Bytes::copy_from_slice(text.as_bytes()),
    }
}

/// Says which slots the upstream neither holds nor works on any more.
async fn report_closed(gate: &Gate) {
    let now = gate.clock.now();
    let works_until = gate.upstream_runs.ends(now);
    let closed = gate.leases.book().take_closed(now, works_until);
    if !closed.is_empty() {
        gate.reporter.deliver(Report::ClosedSlots(closed)).await;
    }
}
