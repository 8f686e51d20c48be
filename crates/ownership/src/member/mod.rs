//! Member role of a node: its session, its lease and the slots and keys that it holds.

mod holdings;
mod routes;

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

/// Time from one renewal that carries a capacity to the next while the coordinator has not answered one. Coordinators
/// of an earlier version ignore such a renewal, so at most one in twelve is lost.
const CAPACITY_PROBE_INTERVAL: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy)]
struct SentRenewal {
    sequence: u64,
    at: Timestamp,
}

/// Capacity that the next renewals report, and whether the coordinator of the current term accepts it.
#[derive(Debug, Default)]
struct PendingCapacity {
    report: Option<CapacityReport>,
    /// Sequence number and time of the last renewal that carried a capacity in this session and term.
    last_sent: Option<(u64, Timestamp)>,
    is_accepted: bool,
}

impl PendingCapacity {
    /// Forgets what is known of the coordinator, but keeps the report.
    fn restart(&mut self) {
        *self = PendingCapacity { report: self.report.take(), ..PendingCapacity::default() };
    }

    /// Returns whether a renewal that the coordinator may ignore is due, to learn whether it accepts capacities.
    fn is_probe_due(&self, now: Timestamp) -> bool {
        let is_recent = |it: (u64, Timestamp)| now.since(it.1) < CAPACITY_PROBE_INTERVAL;
        self.report.is_some() && !self.is_accepted && !self.last_sent.is_some_and(is_recent)
    }

    /// Takes the report for the renewal with this sequence number, which may carry one.
    fn take(&mut self, now: Timestamp, sequence: u64) -> Option<CapacityReport> {
        let report = self.report.take()?;
        self.last_sent = Some((sequence, now));
        Some(report)
    }

    /// Handles the answer to the renewal with this sequence number.
    fn record_answer(&mut self, sequence: u64) {
        self.is_accepted |= self.last_sent.is_some_and(|it| it.0 == sequence);
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
    pub(crate) fn switch_term(&mut self, now: Timestamp) {
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

    /// Sends a renewal at once, with the pending reports and load.
    pub(crate) fn renew(&mut self, ctx: &mut Ctx<'_>, term: Term, coordinator: &Instance) {
        self.sequence += 1;
        self.sent.push_back(SentRenewal { sequence: self.sequence, at: ctx.now });
        if self.sent.len() > UNANSWERED_RENEWALS_MAX {
            self.sent.pop_front();
        }
        let every = ctx.limits().renew_every;
        self.next_renewal = ctx.now + if self.acknowledged { every } else { every / 2 };
        if !ctx.limits().weighs_capacity {
            self.capacity.report = None;
        }
        // The renewal of a probe may be ignored, so it carries nothing else that would be lost or delayed by that.
        let may_probe = self.acknowledged && self.reports.is_empty();
        let is_probe = may_probe && self.capacity.is_probe_due(ctx.now);
        let capacity = match is_probe || self.capacity.is_accepted {
            true => self.capacity.take(ctx.now, self.sequence),
            false => None,
        };
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
            load: if is_probe { None } else { self.load.take() },
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
