//! Member role of a node: its session, its lease and the slots and keys that it holds.

mod holdings;
mod routes;
#[cfg(test)]
mod tests;

use std::{collections::VecDeque, time::Duration};

use model::{ConfigVersion, Instance, Term, Timestamp};

use crate::{
    CapacityReport, CoordinatorLease, Event, GateCommand, LoadReport, Message, Renew, Renewed,
    Report, SessionId, UpstreamState,
    ctx::Ctx,
    rules::{self, Rule},
};

use self::holdings::Holdings;

pub(crate) use self::routes::{RouteTable, first_route_version};

/// Maximum number of renewals whose reply may still arrive.
const UNANSWERED_RENEWALS_MAX: usize = 64;
/// Time that the gate may take to close a slot beyond the document's `handover_max`.
const CLOSE_MARGIN: Duration = Duration::from_secs(1);

/// Time from the first probe of a term to the second; the time doubles with each further one. Probes are needed again
/// only if one is lost, and each leaves a log line at a coordinator of an earlier version.
const PROBE_INTERVAL_MIN: Duration = Duration::from_secs(5);
/// Longest time between two probes of a term.
const PROBE_INTERVAL_MAX: Duration = Duration::from_secs(320);

#[derive(Debug, Clone, Copy)]
struct SentRenewal {
    sequence: u64,
    at: Timestamp,
}

/// Capacity that the next renewals report, and whether the coordinator of the current term accepts it.
///
/// Coordinators of an earlier version ignore a renewal that carries a capacity. Until the coordinator has answered one,
/// capacities are sent only in probes: additional renewals, directly after those that are due, whose loss costs nothing.
#[derive(Debug)]
struct PendingCapacity {
    report: Option<CapacityReport>,
    /// Sequence number of the last renewal that carried a capacity in this session and term.
    last_sequence: Option<u64>,
    is_accepted: bool,
    next_probe_at: Timestamp,
    /// Time from the next probe to the one after it.
    probe_interval: Duration,
}

impl Default for PendingCapacity {
    fn default() -> PendingCapacity {
        PendingCapacity {
            report: None,
            last_sequence: None,
            is_accepted: false,
            next_probe_at: Timestamp::ZERO,
            probe_interval: PROBE_INTERVAL_MIN,
        }
    }
}

impl PendingCapacity {
    /// Forgets what is known of the coordinator, but keeps the report.
    fn restart(&mut self) {
        *self = PendingCapacity { report: self.report.take(), ..PendingCapacity::default() };
    }

    /// Takes the report for the due renewal, which carries one only if that cannot make the coordinator ignore it.
    fn take_if_accepted(&mut self) -> Option<CapacityReport> {
        self.report.take_if(|_| self.is_accepted)
    }

    /// Takes the report for a probe, if one is due.
    fn take_for_probe(&mut self, now: Timestamp) -> Option<CapacityReport> {
        if self.is_accepted || now < self.next_probe_at {
            return None;
        }
        let report = self.report.take()?;
        self.next_probe_at = now + self.probe_interval;
        self.probe_interval = (self.probe_interval * 2).min(PROBE_INTERVAL_MAX);
        Some(report)
    }

    /// Handles the answer to the renewal with this sequence number.
    fn record_answer(&mut self, sequence: u64) {
        self.is_accepted |= self.last_sequence == Some(sequence);
    }
}

/// Member role of a node.
pub(crate) struct Member {
    session: SessionId,
    sequence: u64,
    sent: VecDeque<SentRenewal>,
    /// End of the lease (exclusive); `None` until this session has received one.
    lease_until: Option<Timestamp>,
    lapsed_at: Option<Timestamp>,
    pub(crate) holdings: Holdings,
    /// Number of the last command applied in this session and term.
    applied: u64,
    first_report: u64,
    reports: VecDeque<Report>,
    /// Whether the coordinator of the current term has replied to this session.
    acknowledged: bool,
    next_renewal: Timestamp,
    pub(crate) upstream: UpstreamState,
    pub(crate) config: ConfigVersion,
    pub(crate) group_config: ConfigVersion,
    load: Option<LoadReport>,
    capacity: PendingCapacity,
    pub(crate) leaving: bool,
    pub(crate) can_stop: bool,
    pub(crate) routes: RouteTable,
}

impl Member {
    pub(crate) fn new(now: Timestamp) -> Member {
        Member {
            session: SessionId::FIRST,
            sequence: 0,
            sent: VecDeque::new(),
            lease_until: None,
            lapsed_at: None,
            holdings: Holdings::default(),
            applied: 0,
            first_report: 1,
            reports: VecDeque::new(),
            acknowledged: false,
            next_renewal: now,
            upstream: UpstreamState::Starting,
            config: ConfigVersion(0),
            group_config: ConfigVersion(0),
            load: None,
            capacity: PendingCapacity::default(),
            leaving: false,
            can_stop: false,
            routes: RouteTable::default(),
        }
    }

    /// Ends the session if its lease has expired or the gate has not closed a slot in time.
    pub(crate) fn expire(&mut self, ctx: &mut Ctx<'_>) {
        if self.lease_until.is_some_and(|until| until <= ctx.now) {
            return self.end_session(ctx, "lease lapsed");
        }
        // If upstreams enforce leases, a slot is closed at the latest when its grant has expired.
        let limits = ctx.limits();
        let close_max = match limits.coordinator_lease {
            CoordinatorLease::Full => limits.handover_max.max(limits.lease) + CLOSE_MARGIN,
            CoordinatorLease::Confirmation => limits.handover_max + CLOSE_MARGIN,
        };
        if self.holdings.is_close_overdue(close_max, ctx.now) {
            self.end_session(ctx, "handover timed out");
        }
    }

    /// Has the gate drop all grants first, and starts a new session that holds nothing.
    pub(crate) fn end_session(&mut self, ctx: &mut Ctx<'_>, reason: &'static str) {
        if self.lease_until.is_some() {
            ctx.send_to_gate(GateCommand::DropAll);
            ctx.emit(Event::SessionEnded { reason });
            self.lapsed_at = Some(ctx.now);
        }
        self.session.0 += 1;
        self.sent.clear();
        self.lease_until = None;
        self.holdings = Holdings::default();
        self.restart_streams(ctx.now);
    }

    /// Switches to the coordinator of a new term. Keeps the slots and keys that the session holds.
    pub(crate) fn switch_term(&mut self, now: Timestamp, term: Term) {
        self.routes.switch_term(term);
        self.holdings.discard_pending();
        self.restart_streams(now);
    }

    fn restart_streams(&mut self, now: Timestamp) {
        self.applied = 0;
        self.first_report = 1;
        self.reports.clear();
        self.acknowledged = false;
        self.next_renewal = now;
        self.capacity.restart();
    }

    pub(crate) fn has_lease(&self) -> bool {
        self.lease_until.is_some()
    }

    pub(crate) fn is_acknowledged(&self) -> bool {
        self.acknowledged
    }

    /// Extends the lease of the coordinator's own member, whose lease follows the confirmation of the term.
    pub(crate) fn extend_own_lease(&mut self, ctx: &mut Ctx<'_>, until: Timestamp) {
        if self.acknowledged && self.lease_until.is_some_and(|it| it < until) {
            self.lease_until = Some(until);
            ctx.send_to_gate(GateCommand::Lease { until });
        }
    }

    /// Sends a renewal if one is due.
    pub(crate) fn tick(&mut self, ctx: &mut Ctx<'_>, term: Term, coordinator: Option<&Instance>) {
        if let Some(coordinator) = coordinator
            && self.next_renewal <= ctx.now
        {
            self.renew(ctx, term, coordinator);
        }
    }

    /// Sends a renewal at once, with the pending reports and load, and a probe after it if one is due.
    pub(crate) fn renew(&mut self, ctx: &mut Ctx<'_>, term: Term, coordinator: &Instance) {
        let every = ctx.limits().renew_every;
        self.next_renewal = ctx.now + if self.acknowledged { every } else { every / 2 };
        if !ctx.limits().weighs_capacity {
            self.capacity.report = None;
        }
        let (load, capacity) = (self.load.take(), self.capacity.take_if_accepted());
        self.send_renewal(ctx, term, coordinator, load, capacity);
        if self.acknowledged
            && let Some(capacity) = self.capacity.take_for_probe(ctx.now)
        {
            self.send_renewal(ctx, term, coordinator, None, Some(capacity));
        }
    }

    fn send_renewal(
        &mut self,
        ctx: &mut Ctx<'_>,
        term: Term,
        coordinator: &Instance,
        load: Option<LoadReport>,
        capacity: Option<CapacityReport>,
    ) {
        self.sequence += 1;
        self.sent.push_back(SentRenewal { sequence: self.sequence, at: ctx.now });
        if self.sent.len() > UNANSWERED_RENEWALS_MAX {
            self.sent.pop_front();
        }
        if capacity.is_some() {
            self.capacity.last_sequence = Some(self.sequence);
        }
        let renew = Renew {
            term,
            session: self.session,
            sequence: self.sequence,
            upstream: self.upstream,
            leaving: self.leaving,
            config: self.config,
            applied: self.applied,
            first_report: self.first_report,
            reports: self.reports.iter().copied().collect(),
            holding: (!self.acknowledged)
                .then(|| self.holdings.to_message(self.has_recently_lapsed(ctx))),
            load,
            capacity,
            route_version: self.routes.version,
        };
        ctx.send(coordinator, Message::Renew(Box::new(renew)));
    }

    fn has_recently_lapsed(&self, ctx: &Ctx<'_>) -> bool {
        let period = ctx.limits().lease * 2;
        self.lapsed_at.is_some_and(|at| ctx.now.since(at) < period)
    }

    /// Handles the coordinator's reply to a renewal. `own_until` is the end of the lease if this node is itself the
    /// coordinator.
    pub(crate) fn handle_renewed(
        &mut self,
        ctx: &mut Ctx<'_>,
        reply: &Renewed,
        own_until: Option<Timestamp>,
    ) {
        if reply.session != self.session || !self.extend_lease(ctx, reply, own_until) {
            return;
        }
        self.acknowledged = true;
        self.capacity.record_answer(reply.sequence);
        self.group_config = self.group_config.max(reply.config);
        while self.first_report <= reply.last_report && self.reports.pop_front().is_some() {
            self.first_report += 1;
        }
        for (number, command) in (reply.first_command..).zip(&reply.commands) {
            if number == self.applied + 1 {
                self.applied = number;
                let reports = self.holdings.apply(ctx, command);
                self.reports.extend(reports);
            }
        }
        if let Some(routes) = &reply.routes {
            self.routes.apply(reply.term, routes);
        }
        if reply.can_stop && self.leaving && self.holdings.is_empty() {
            self.can_stop = true;
        }
        if !self.reports.is_empty() {
            self.next_renewal = self.next_renewal.min(ctx.now + ctx.limits().renew_every / 4);
        }
    }

    /// Extends the lease, counted from the time at which the renewal was sent. Returns whether the session has a lease
    /// that has not expired.
    fn extend_lease(
        &mut self,
        ctx: &mut Ctx<'_>,
        reply: &Renewed,
        own_until: Option<Timestamp>,
    ) -> bool {
        let lease = Duration::from_millis(reply.lease_ms.into());
        let sent = self.sent.iter().find(|it| it.sequence == reply.sequence);
        let until = match own_until {
            Some(own) => Some(own),
            None if !rules::is_enforced(Rule::LeaseFromSendTime) => Some(ctx.now + lease),
            None => sent.map(|it| it.at + lease),
        };
        let former = self.lease_until;
        let Some(until) = until.max(former).filter(|it| *it > ctx.now) else { return false };
        if former.is_none() {
            ctx.emit(Event::SessionOpened);
        }
        if former != Some(until) {
            self.lease_until = Some(until);
            ctx.send_to_gate(GateCommand::Lease { until });
        }
        true
    }

    pub(crate) fn handle_session_ended(&mut self, ctx: &mut Ctx<'_>, session: SessionId) {
        if session == self.session {
            self.end_session(ctx, "ended by the coordinator");
        }
    }

    pub(crate) fn retry_join_at(&mut self, at: Timestamp) {
        self.next_renewal = at;
    }

    pub(crate) fn queue_report(&mut self, report: Report) {
        self.reports.push_back(report);
    }

    /// Adds a load report to the one that the next renewal will carry.
    pub(crate) fn add_load(&mut self, mut report: LoadReport) {
        let pending = self.capacity.report.take();
        self.capacity.report = CapacityReport::merge_pending(pending, report.capacity.take());
        self.load = Some(match self.load.take() {
            Some(pending) => pending.merge(report),
            None => report,
        });
    }
}
