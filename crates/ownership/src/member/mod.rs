//! A node's part as a member: its session, its lease and what it holds.

mod holdings;
mod routes;

use std::{collections::VecDeque, time::Duration};

use model::{ConfigVersion, Instance, Term, Timestamp};

use crate::{
    CoordinatorLease, Event, GateCommand, LoadReport, Message, Renew, Renewed, Report, SessionId,
    UpstreamState,
    ctx::Ctx,
    rules::{self, Rule},
};

use self::holdings::Holdings;

pub(crate) use self::routes::{RouteTable, first_route_version};

/// Renewals whose answer may still come.
const SENT_MAX: usize = 64;
/// How much longer than the document's `handover_max` the gate may take to close a slot.
const CLOSE_GRACE: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
struct SentRenewal {
    sequence: u64,
    at: Timestamp,
}

/// The member part of a node.
pub(crate) struct Member {
    session: SessionId,
    sequence: u64,
    sent: VecDeque<SentRenewal>,
    /// None: this session has had no lease yet.
    lease_until: Option<Timestamp>,
    lapsed_at: Option<Timestamp>,
    pub(crate) holdings: Holdings,
    /// The last command applied in this session and term.
    applied: u64,
    first_report: u64,
    reports: VecDeque<Report>,
    /// The coordinator of the current term has answered this session.
    adopted: bool,
    next_renewal: Timestamp,
    pub(crate) upstream: UpstreamState,
    pub(crate) config: ConfigVersion,
    pub(crate) group_config: ConfigVersion,
    load: Option<LoadReport>,
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
            adopted: false,
            next_renewal: now,
            upstream: UpstreamState::Starting,
            config: ConfigVersion(0),
            group_config: ConfigVersion(0),
            load: None,
            leaving: false,
            can_stop: false,
            routes: RouteTable::default(),
        }
    }

    /// Ends the session where its lease has run out, or where the gate has failed to close a slot.
    pub(crate) fn expire(&mut self, ctx: &mut Ctx<'_>) {
        if self.lease_until.is_some_and(|until| until <= ctx.now) {
            return self.end_session(ctx, "lapsed");
        }
        // Where upstreams enforce leases, a slot is closed at the latest when its grant has run out.
        let limits = ctx.limits();
        let close_max = match limits.coordinator_lease {
            CoordinatorLease::Full => limits.handover_max.max(limits.lease) + CLOSE_GRACE,
            CoordinatorLease::Confirmation => limits.handover_max + CLOSE_GRACE,
        };
        if self.holdings.closing_longer_than(close_max, ctx.now) {
            self.end_session(ctx, "handover timed out");
        }
    }

    /// Gives up whatever is held, before anything else, and starts a session that holds nothing.
    pub(crate) fn end_session(&mut self, ctx: &mut Ctx<'_>, reason: &'static str) {
        if self.lease_until.is_some() {
            ctx.gate(GateCommand::DropAll);
            ctx.event(Event::SessionEnded { reason });
            self.lapsed_at = Some(ctx.now);
        }
        self.session.0 += 1;
        self.sent.clear();
        self.lease_until = None;
        self.holdings = Holdings::default();
        self.restart_streams(ctx.now);
    }

    /// Turns to the coordinator of a new term; what is held stays held.
    pub(crate) fn follow_term(&mut self, now: Timestamp) {
        self.holdings.forget_asked();
        self.restart_streams(now);
    }

    fn restart_streams(&mut self, now: Timestamp) {
        self.applied = 0;
        self.first_report = 1;
        self.reports.clear();
        self.adopted = false;
        self.next_renewal = now;
    }

    pub(crate) fn has_lease(&self) -> bool {
        self.lease_until.is_some()
    }

    pub(crate) fn is_adopted(&self) -> bool {
        self.adopted
    }

    /// The lease of the member beside the coordinator is the coordinator's confirmation.
    pub(crate) fn extend_own(&mut self, ctx: &mut Ctx<'_>, until: Timestamp) {
        if self.adopted && self.lease_until.is_some_and(|it| it < until) {
            self.lease_until = Some(until);
            ctx.gate(GateCommand::Lease { until });
        }
    }

    /// Renews when it is time.
    pub(crate) fn tick(&mut self, ctx: &mut Ctx<'_>, term: Term, coordinator: Option<&Instance>) {
        if let Some(coordinator) = coordinator
            && self.next_renewal <= ctx.now
        {
            self.renew(ctx, term, coordinator);
        }
    }

    /// Renews at once, for there is something to tell.
    pub(crate) fn renew(&mut self, ctx: &mut Ctx<'_>, term: Term, coordinator: &Instance) {
        self.sequence += 1;
        self.sent.push_back(SentRenewal { sequence: self.sequence, at: ctx.now });
        if self.sent.len() > SENT_MAX {
            self.sent.pop_front();
        }
        let every = ctx.limits().renew_every;
        self.next_renewal = ctx.now + if self.adopted { every } else { every / 2 };
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
            holding: (!self.adopted).then(|| self.holdings.to_message(self.recently_lapsed(ctx))),
            load: self.load.take(),
            route_version: self.routes.version,
        };
        ctx.send(coordinator, Message::Renew(Box::new(renew)));
    }

    fn recently_lapsed(&self, ctx: &Ctx<'_>) -> bool {
        let lease = ctx.limits().lease * 2;
        self.lapsed_at.is_some_and(|at| ctx.now.since(at) < lease)
    }

    /// Takes an answer in. `own_until` is set where this node coordinates: its own lease is its
    /// confirmation.
    pub(crate) fn renewed(
        &mut self,
        ctx: &mut Ctx<'_>,
        answer: &Renewed,
        own_until: Option<Timestamp>,
    ) {
        if answer.session != self.session || !self.extend(ctx, answer, own_until) {
            return;
        }
        self.adopted = true;
        self.group_config = self.group_config.max(answer.config);
        while self.first_report <= answer.last_report && self.reports.pop_front().is_some() {
            self.first_report += 1;
        }
        for (number, command) in (answer.first_command..).zip(&answer.commands) {
            if number == self.applied + 1 {
                self.applied = number;
                let reports = self.holdings.apply(ctx, command);
                self.reports.extend(reports);
            }
        }
        if let Some(routes) = &answer.routes {
            self.routes.apply(answer.term, routes);
        }
        if answer.can_stop && self.leaving && self.holdings.is_empty() {
            self.can_stop = true;
        }
        if !self.reports.is_empty() {
            self.next_renewal = self.next_renewal.min(ctx.now + ctx.limits().renew_every / 4);
        }
    }

    /// Counts the lease from when the renewal was sent. Says whether there is one.
    fn extend(
        &mut self,
        ctx: &mut Ctx<'_>,
        answer: &Renewed,
        own_until: Option<Timestamp>,
    ) -> bool {
        let lease = Duration::from_millis(answer.lease_ms.into());
        let sent = self.sent.iter().find(|it| it.sequence == answer.sequence);
        let until = match own_until {
            Some(own) => Some(own),
            None if !rules::is_enforced(Rule::LeaseFromSendTime) => Some(ctx.now + lease),
            None => sent.map(|it| it.at + lease),
        };
        let former = self.lease_until;
        let Some(until) = until.max(former).filter(|it| *it > ctx.now) else { return false };
        if former.is_none() {
            ctx.event(Event::SessionOpened);
        }
        if former != Some(until) {
            self.lease_until = Some(until);
            ctx.gate(GateCommand::Lease { until });
        }
        true
    }

    pub(crate) fn session_ended(&mut self, ctx: &mut Ctx<'_>, session: SessionId) {
        if session == self.session {
            self.end_session(ctx, "ended by the coordinator");
        }
    }

    pub(crate) fn retry_after(&mut self, at: Timestamp) {
        self.next_renewal = at;
    }

    pub(crate) fn report(&mut self, report: Report) {
        self.reports.push_back(report);
    }

    /// Adds a load report to the one that waits for the next renewal.
    pub(crate) fn load(&mut self, report: LoadReport) {
        self.load = Some(match self.load.take() {
            Some(waiting) => waiting.merge(report),
            None => report,
        });
    }
}
