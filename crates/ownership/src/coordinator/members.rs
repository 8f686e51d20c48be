//! The coordinator's table of members and their sessions.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use model::{ConfigVersion, Instance, KeyHash, Timestamp, Token};

use crate::{
    Command, LoadReport, MemberNumber, MemberStatus, Renew, Report, SessionId, UpstreamState,
    ctx::MemberId,
};

use super::slots::Grant;

/// The most members of one group.
pub const GROUP_MEMBERS_MAX: usize = 256;
/// Routes that a member does not say it has are sent again after this: two renewals, and a slow link.
const ROUTES_RESEND_AFTER: Duration = Duration::from_secs(1);
/// How many numbers of members that are gone are remembered; who has heard nothing for so long is told all.
pub(crate) const RELEASED_NUMBERS_MAX: usize = 2 * GROUP_MEMBERS_MAX;
/// The weight of the newest report in a member's smoothed load.
const LOAD_WEIGHT: f64 = 0.3;

/// Whether the upstream beside a member may still hold what it was granted in earlier sessions, of this life of
/// the member or of one before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EarlierSessions {
    /// It may; the member can be asked to clear its upstream.
    Unknown,
    /// It has been asked to, up to this token.
    Clearing { token: Token },
    /// It holds nothing of them.
    Cleared,
    /// The member goes on with what it holds.
    NotAsked,
}

/// One live session of a member.
#[derive(Debug)]
pub(crate) struct MemberRow {
    pub(crate) instance: Instance,
    pub(crate) number: MemberNumber,
    /// The route version in which the number was given, and that in which what others are told of it changed
    /// last.
    pub(crate) joined_version: u64,
    pub(crate) changed_version: u64,
    pub(crate) session: SessionId,
    /// The newest renewal taken in.
    pub(crate) sequence: u64,
    /// No lease of this session lives longer than this.
    pub(crate) lease_until: Timestamp,
    pub(crate) joined_at: Timestamp,
    pub(crate) upstream: UpstreamState,
    pub(crate) leaving: bool,
    pub(crate) config: ConfigVersion,
    pub(crate) load_us_per_s: f64,
    pub(crate) load_reports: u32,
    /// Commands not yet heard to be applied; the first has the number `first_command`.
    pub(crate) commands: VecDeque<Command>,
    pub(crate) first_command: u64,
    /// The last report taken in.
    pub(crate) last_report: u64,
    /// The version of routes up to which the member is known to be.
    pub(crate) route_version: u64,
    /// The version of routes up to which it has been sent some.
    pub(crate) routes_sent_version: u64,
    pub(crate) routes_sent_at: Timestamp,
    /// Hot keys that the session keeps out of its slots, or has been told to.
    pub(crate) excluded: BTreeSet<KeyHash>,
    pub(crate) earlier_sessions: EarlierSessions,
    /// A renewal waits for its answer.
    pub(crate) answer_due: bool,
    /// There is something new to tell.
    pub(crate) push_due: bool,
}

impl MemberRow {
    pub(crate) fn new(from: &Instance, renew: &Renew, now: Timestamp) -> MemberRow {
        MemberRow {
            instance: from.clone(),
            number: MemberNumber(0),
            joined_version: 0,
            changed_version: 0,
            session: renew.session,
            sequence: renew.sequence,
            lease_until: now,
            joined_at: now,
            upstream: renew.upstream,
            leaving: renew.leaving,
            config: renew.config,
            load_us_per_s: 0.0,
            load_reports: 0,
            commands: VecDeque::new(),
            first_command: 1,
            last_report: 0,
            route_version: 0,
            routes_sent_version: 0,
            routes_sent_at: now,
            excluded: BTreeSet::new(),
            earlier_sessions: match &renew.holding {
                Some(it) if it.slots.is_empty() => EarlierSessions::Unknown,
                _ => EarlierSessions::NotAsked,
            },
            answer_due: true,
            push_due: false,
        }
    }

    /// The version of routes that it need not be told again: what was sent may have been lost, but not if the
    /// answer to it can't be here yet.
    pub(crate) fn known_route_version(&self, now: Timestamp) -> u64 {
        match now.since(self.routes_sent_at) < ROUTES_RESEND_AFTER {
            true => self.route_version.max(self.routes_sent_version),
            false => self.route_version,
        }
    }

    /// What others are told of it.
    pub(crate) fn status(&self) -> MemberStatus {
        MemberStatus {
            state: match self.leaving {
                true => UpstreamState::Draining,
                false => self.upstream,
            },
            load_us_per_s: self.load_us_per_s as u64,
            config: self.config,
        }
    }

    /// Whether slots may be granted to it.
    pub(crate) fn is_eligible(&self) -> bool {
        self.upstream == UpstreamState::Ready && !self.leaving
    }

    /// Whether slots of its earlier lives may be granted to it.
    pub(crate) fn is_successor(&self) -> bool {
        self.earlier_sessions == EarlierSessions::Cleared && self.is_eligible()
    }

    /// Whether it is to give up all it holds.
    pub(crate) fn must_release(&self) -> bool {
        self.leaving || matches!(self.upstream, UpstreamState::Draining | UpstreamState::Lost)
    }

    pub(crate) fn enqueue(&mut self, command: Command) {
        self.commands.push_back(command);
        self.push_due = true;
    }

    /// Takes a renewal's state in and gives back the reports not heard before. Says also whether
    /// something changed that others are told.
    pub(crate) fn apply_renewal(&mut self, renew: &Renew) -> (Vec<Report>, bool) {
        let changed = self.upstream != renew.upstream
            || self.leaving != renew.leaving
            || self.config != renew.config;
        self.sequence = renew.sequence;
        self.upstream = renew.upstream;
        self.leaving = renew.leaving;
        self.config = self.config.max(renew.config);
        self.route_version = renew.route_version;
        self.answer_due = true;
        while self.first_command <= renew.applied && self.commands.pop_front().is_some() {
            self.first_command += 1;
        }
        if let Some(load) = &renew.load {
            self.take_load(load);
        }
        let mut reports = Vec::new();
        for (number, report) in (renew.first_report..).zip(&renew.reports) {
            if number == self.last_report + 1 {
                self.last_report = number;
                reports.push(*report);
            }
        }
        (reports, changed)
    }

    fn take_load(&mut self, load: &LoadReport) {
        if load.period_ms == 0 {
            return;
        }
        let per_s = load.total_us as f64 * 1000.0 / f64::from(load.period_ms);
        self.load_reports = self.load_reports.saturating_add(1);
        self.load_us_per_s += LOAD_WEIGHT * (per_s - self.load_us_per_s);
    }
}

/// A session that was replaced by a newer one of the same member before its lease had ended.
#[derive(Debug)]
pub(crate) struct LapsingSession {
    pub(crate) member: MemberId,
    pub(crate) session: SessionId,
    pub(crate) until: Timestamp,
}

/// All sessions of the group.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    pub(crate) rows: BTreeMap<MemberId, MemberRow>,
    pub(crate) lapsing: Vec<LapsingSession>,
    /// For each member, the newest session that has ended in this term.
    ended: BTreeMap<MemberId, SessionId>,
    numbers: MemberNumbers,
}

/// Which numbers name members, and which named some that are gone.
#[derive(Debug, Default)]
struct MemberNumbers {
    allocated: u16,
    free: BTreeSet<MemberNumber>,
    /// The last that became free, and the route version in which they did.
    released: VecDeque<(u64, MemberNumber)>,
    /// What became free up to this version is not remembered any more.
    unknown_until_version: u64,
}

impl MemberNumbers {
    fn allocate(&mut self) -> MemberNumber {
        self.free.pop_first().unwrap_or_else(|| {
            self.allocated += 1;
            MemberNumber(self.allocated - 1)
        })
    }

    fn release(&mut self, number: MemberNumber, version: u64) {
        self.free.insert(number);
        self.released.push_back((version, number));
        if self.released.len() > RELEASED_NUMBERS_MAX
            && let Some((version, _)) = self.released.pop_front()
        {
            self.unknown_until_version = version;
        }
    }
}

/// What a renewal is to the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RenewalKind {
    /// The next renewal of a live session.
    Current,
    /// A session that the table does not have.
    NewSession,
    /// Late, doubled, or of a session that a newer one has replaced.
    Stale,
    /// Of a session that has ended.
    Ended,
    /// There is no room.
    Full,
}

impl MemberTable {
    pub(crate) fn classify(&self, id: &MemberId, renew: &Renew) -> RenewalKind {
        if self.ended.get(id).is_some_and(|it| renew.session <= *it) {
            return RenewalKind::Ended;
        }
        match self.rows.get(id) {
            Some(row) if renew.session < row.session => RenewalKind::Stale,
            Some(row) if renew.session > row.session => RenewalKind::NewSession,
            Some(row) if renew.sequence <= row.sequence => RenewalKind::Stale,
            Some(_) => RenewalKind::Current,
            None if self.rows.len() >= GROUP_MEMBERS_MAX => RenewalKind::Full,
            None => RenewalKind::NewSession,
        }
    }

    /// Puts a new session in the place of an older one, which ends when its lease does: at
    /// `ends_at` where that is known.
    pub(crate) fn insert(
        &mut self,
        id: MemberId,
        mut row: MemberRow,
        ends_at: Option<Timestamp>,
        version: u64,
    ) {
        let former = self.rows.get(&id);
        row.number = former.map_or_else(|| self.numbers.allocate(), |it| it.number);
        row.joined_version = version;
        row.changed_version = version;
        let Some(former) = self.rows.insert(id.clone(), row) else { return };
        self.end(id.clone(), former.session);
        self.lapsing.push(LapsingSession {
            member: id,
            session: former.session,
            until: ends_at.unwrap_or(former.lease_until).min(former.lease_until),
        });
    }

    pub(crate) fn end(&mut self, id: MemberId, session: SessionId) {
        let newest = self.ended.entry(id).or_insert(session);
        *newest = session.max(*newest);
    }

    /// Removes all sessions whose leases have ended.
    pub(crate) fn expire(
        &mut self,
        now: Timestamp,
    ) -> Vec<(MemberId, SessionId, Option<MemberRow>)> {
        let mut gone = Vec::new();
        for it in self.lapsing.extract_if(.., |it| it.until <= now) {
            gone.push((it.member, it.session, None));
        }
        let lapsed = self.rows.extract_if(.., |_, row| row.lease_until <= now);
        for (id, row) in lapsed {
            gone.push((id, row.session, Some(row)));
        }
        for (id, session, _) in &gone {
            self.end(id.clone(), *session);
        }
        gone
    }

    /// The number of a member that is gone names nobody, from this route version on.
    pub(crate) fn release_number(&mut self, row: &MemberRow, version: u64) {
        self.numbers.release(row.number, version);
    }

    /// Numbers that have become free since a route version; none: that is not known any more.
    pub(crate) fn numbers_released_since(&self, since: u64) -> Option<Vec<MemberNumber>> {
        let gone = self.numbers.released.iter().filter(|it| it.0 > since);
        (since >= self.numbers.unknown_until_version).then(|| gone.map(|it| it.1).collect())
    }

    /// Whether a grant is one of its member's current session. One of an earlier session only runs
    /// out: commands would reach the newer one.
    pub(crate) fn is_current(&self, grant: &Grant) -> bool {
        self.rows.get(&grant.member).is_some_and(|it| it.session == grant.session)
    }

    pub(crate) fn eligible(&self, id: &MemberId) -> bool {
        self.rows.get(id).is_some_and(MemberRow::is_eligible)
    }

    pub(crate) fn any_eligible(&self) -> bool {
        self.rows.values().any(MemberRow::is_eligible)
    }
}
