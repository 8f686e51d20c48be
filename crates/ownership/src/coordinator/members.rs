//! The coordinator's table of members, their sessions and their numbers.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use model::{ConfigVersion, Instance, KeyHash, Timestamp, Token};

use crate::{
    Command, LoadReport, MemberNumber, MemberStatus, Renew, Report, SessionId, UpstreamState,
    ctx::MemberId,
};

use super::{slots::Grant, speeds::SpeedRow};

/// The most members of one group.
pub const GROUP_MEMBERS_MAX: usize = 256;
/// Routes that a member has not acknowledged are sent again after this time, which allows for two
/// renewals and a slow link.
const ROUTES_RESEND_AFTER: Duration = Duration::from_secs(1);
/// The most released member numbers that are kept. A member whose routes are older than the oldest
/// one gets all routes.
pub(crate) const RELEASED_NUMBERS_MAX: usize = 2 * GROUP_MEMBERS_MAX;
/// The weight of the newest report in a member's smoothed load.
const LOAD_WEIGHT: f64 = 0.3;

/// Whether the upstream beside a member may still hold grants of earlier sessions, of this
/// incarnation of the member or an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EarlierSessions {
    /// It may hold such grants, and the member has not yet been commanded to clear them.
    Unknown,
    /// The member has been commanded to clear grants with tokens up to this one.
    Clearing { token: Token },
    /// The upstream holds no grant of an earlier session.
    Cleared,
    /// The member keeps what it holds, so its upstream is not cleared.
    Retained,
}

/// The current session of a member.
#[derive(Debug)]
pub(crate) struct MemberRow {
    pub(crate) instance: Instance,
    pub(crate) number: MemberNumber,
    /// The route version in which the session joined.
    pub(crate) joined_version: u64,
    /// The route version of the last change of the member's status.
    pub(crate) changed_version: u64,
    pub(crate) session: SessionId,
    /// The sequence number of the newest renewal applied.
    pub(crate) sequence: u64,
    /// The end of the longest lease that this session may have.
    pub(crate) lease_until: Timestamp,
    pub(crate) joined_at: Timestamp,
    pub(crate) upstream: UpstreamState,
    pub(crate) leaving: bool,
    pub(crate) config: ConfigVersion,
    pub(crate) load_us_per_s: f64,
    pub(crate) load_reports: u32,
    /// Measured speed of the upstream in this session.
    pub(crate) speed: SpeedRow,
    /// Commands that the member has not yet acknowledged, in order.
    pub(crate) commands: VecDeque<Command>,
    /// The number of the first of `commands`.
    pub(crate) first_command: u64,
    /// The number of the last report applied.
    pub(crate) last_report: u64,
    /// The route version that the member has acknowledged.
    pub(crate) route_version: u64,
    /// The route version last sent to the member.
    pub(crate) routes_sent_version: u64,
    pub(crate) routes_sent_at: Timestamp,
    /// Hot keys that the session excludes from its slots, or has been commanded to exclude.
    pub(crate) excluded: BTreeSet<KeyHash>,
    pub(crate) earlier_sessions: EarlierSessions,
    /// The token under which the upstream has been or is being cleared. It refuses grants under tokens up to this one.
    pub(crate) clear_token: Token,
    /// Whether a renewal has not been answered yet.
    pub(crate) is_answer_due: bool,
    /// Whether there are new commands to send.
    pub(crate) is_push_due: bool,
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
            speed: SpeedRow::default(),
            commands: VecDeque::new(),
            first_command: 1,
            last_report: 0,
            route_version: 0,
            routes_sent_version: 0,
            routes_sent_at: now,
            excluded: BTreeSet::new(),
            earlier_sessions: match &renew.holding {
                Some(it) if it.slots.is_empty() => EarlierSessions::Unknown,
                _ => EarlierSessions::Retained,
            },
            clear_token: Token::default(),
            is_answer_due: true,
            is_push_due: false,
        }
    }

    /// Returns the version up to which routes need not be sent again. Routes sent a short time ago
    /// count as received, because their acknowledgement can't have arrived yet.
    pub(crate) fn known_route_version(&self, now: Timestamp) -> u64 {
        match now.since(self.routes_sent_at) < ROUTES_RESEND_AFTER {
            true => self.route_version.max(self.routes_sent_version),
            false => self.route_version,
        }
    }

    /// Returns the status of the member that routes announce to others.
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

    /// Returns whether slots may be granted to the member.
    pub(crate) fn is_eligible(&self) -> bool {
        self.upstream == UpstreamState::Ready && !self.leaving
    }

    /// Returns whether the member may take over the slots of earlier incarnations of its agent.
    pub(crate) fn is_successor(&self) -> bool {
        self.earlier_sessions == EarlierSessions::Cleared && self.is_eligible()
    }

    /// Returns whether the member has to release all that it holds.
    pub(crate) fn must_release(&self) -> bool {
        self.leaving || matches!(self.upstream, UpstreamState::Draining | UpstreamState::Lost)
    }

    /// Appends a command, which is sent with the next answer.
    pub(crate) fn enqueue(&mut self, command: Command) {
        self.commands.push_back(command);
        self.is_push_due = true;
    }

    /// Applies a renewal. Returns its new reports, and whether the member's status or configuration
    /// version changed.
    pub(crate) fn apply_renewal(&mut self, renew: &Renew) -> (Vec<Report>, bool) {
        let changed = self.upstream != renew.upstream
            || self.leaving != renew.leaving
            || self.config != renew.config;
        self.sequence = renew.sequence;
        self.upstream = renew.upstream;
        self.leaving = renew.leaving;
        if renew.config > self.config {
            self.config = renew.config;
            self.speed.clear_kinds();
        }
        self.route_version = renew.route_version;
        self.is_answer_due = true;
        while self.first_command <= renew.applied && self.commands.pop_front().is_some() {
            self.first_command += 1;
        }
        if let Some(load) = &renew.load {
            self.apply_load(load);
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

    /// Updates the smoothed load. A report over no time is ignored.
    fn apply_load(&mut self, load: &LoadReport) {
        if load.period_ms == 0 {
            return;
        }
        let per_s = load.total_us as f64 * 1000.0 / f64::from(load.period_ms);
        self.load_reports = self.load_reports.saturating_add(1);
        self.load_us_per_s += LOAD_WEIGHT * (per_s - self.load_us_per_s);
    }
}

/// A session that a newer one of the same member replaced before its lease had ended.
#[derive(Debug)]
pub(crate) struct LapsingSession {
    pub(crate) member: MemberId,
    pub(crate) session: SessionId,
    /// When its lease ends.
    pub(crate) until: Timestamp,
}

/// All sessions of the group.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    pub(crate) rows: BTreeMap<MemberId, MemberRow>,
    /// Replaced sessions whose leases have not ended yet.
    pub(crate) lapsing: Vec<LapsingSession>,
    /// The newest session of each member that has ended in this term.
    ended: BTreeMap<MemberId, SessionId>,
    numbers: MemberNumbers,
}

/// Allocates the numbers that name members in routes.
#[derive(Debug, Default)]
struct MemberNumbers {
    /// How many different numbers have been allocated so far.
    allocated: u16,
    free: BTreeSet<MemberNumber>,
    /// The numbers released last, each with the route version of its release.
    released: VecDeque<(u64, MemberNumber)>,
    /// The route version up to which releases are no longer kept in `released`.
    unknown_until_version: u64,
}

impl MemberNumbers {
    /// Returns the lowest free number, or else a new one.
    fn allocate(&mut self) -> MemberNumber {
        self.free.pop_first().unwrap_or_else(|| {
            self.allocated += 1;
            MemberNumber(self.allocated - 1)
        })
    }

    /// Frees a number, and keeps its release until too many newer ones have followed.
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

/// The relation of a renewal to the sessions in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RenewalKind {
    /// A newer renewal of the current session.
    Current,
    /// A renewal of a session that is not in the table.
    NewSession,
    /// A late or duplicate renewal, or one of a session that a newer one has replaced.
    Stale,
    /// A renewal of a session that has ended.
    Ended,
    /// A renewal of a new member while the group has its largest number of members.
    Full,
}

impl MemberTable {
    /// Classifies a renewal of a member of a group that may have `members_max` members.
    pub(crate) fn classify(&self, id: &MemberId, renew: &Renew, members_max: usize) -> RenewalKind {
        if self.ended.get(id).is_some_and(|it| renew.session <= *it) {
            return RenewalKind::Ended;
        }
        match self.rows.get(id) {
            Some(row) if renew.session < row.session => RenewalKind::Stale,
            Some(row) if renew.session > row.session => RenewalKind::NewSession,
            Some(row) if renew.sequence <= row.sequence => RenewalKind::Stale,
            Some(_) => RenewalKind::Current,
            None if self.rows.len() >= members_max.min(GROUP_MEMBERS_MAX) => RenewalKind::Full,
            None => RenewalKind::NewSession,
        }
    }

    /// Inserts a new session. The session that it replaces, if any, ends with its lease, or at
    /// `ends_at` if that is earlier.
    pub(crate) fn insert(
        &mut self,
        id: MemberId,
        mut row: MemberRow,
        ends_at: Option<Timestamp>,
        version: u64,
    ) {
        let replaced = self.rows.get(&id);
        row.number = replaced.map_or_else(|| self.numbers.allocate(), |it| it.number);
        row.joined_version = version;
        row.changed_version = version;
        let Some(replaced) = self.rows.insert(id.clone(), row) else { return };
        self.record_ended(id.clone(), replaced.session);
        self.lapsing.push(LapsingSession {
            member: id,
            session: replaced.session,
            until: ends_at.unwrap_or(replaced.lease_until).min(replaced.lease_until),
        });
    }

    /// Records that a session has ended, so that its later renewals are refused.
    pub(crate) fn record_ended(&mut self, id: MemberId, session: SessionId) {
        let newest = self.ended.entry(id).or_insert(session);
        *newest = session.max(*newest);
    }

    /// Removes all sessions whose leases have ended and returns them, with their rows unless a
    /// newer session of the same member has replaced them.
    pub(crate) fn expire(
        &mut self,
        now: Timestamp,
    ) -> Vec<(MemberId, SessionId, Option<MemberRow>)> {
        let mut ended = Vec::new();
        for it in self.lapsing.extract_if(.., |it| it.until <= now) {
            ended.push((it.member, it.session, None));
        }
        let lapsed = self.rows.extract_if(.., |_, row| row.lease_until <= now);
        for (id, row) in lapsed {
            ended.push((id, row.session, Some(row)));
        }
        for (id, session, _) in &ended {
            self.record_ended(id.clone(), *session);
        }
        ended
    }

    /// Releases the number of a removed member, in the given route version.
    pub(crate) fn release_number(&mut self, row: &MemberRow, version: u64) {
        self.numbers.release(row.number, version);
    }

    /// Returns the numbers released after the route version `since`, or `None` if the table no
    /// longer has all of them.
    pub(crate) fn numbers_released_since(&self, since: u64) -> Option<Vec<MemberNumber>> {
        let released = self.numbers.released.iter().filter(|it| it.0 > since);
        (since >= self.numbers.unknown_until_version).then(|| released.map(|it| it.1).collect())
    }

    /// Returns whether a grant belongs to the current session of its member. A grant of an earlier
    /// session can only lapse, because commands would reach the newer session.
    pub(crate) fn is_current(&self, grant: &Grant) -> bool {
        self.rows.get(&grant.member).is_some_and(|it| it.session == grant.session)
    }

    /// Returns whether slots may be granted to the member.
    pub(crate) fn is_eligible(&self, id: &MemberId) -> bool {
        self.rows.get(id).is_some_and(MemberRow::is_eligible)
    }

    /// Returns whether slots may be granted to any member.
    pub(crate) fn any_eligible(&self) -> bool {
        self.rows.values().any(MemberRow::is_eligible)
    }
}
