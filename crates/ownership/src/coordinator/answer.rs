//! Answers to renewals, with commands and changed routes.

use std::{sync::Arc, time::Duration};

use model::{KeyHash, Slot};

use crate::{
    MemberNumber, Message, Renewed, RouteKey, RouteMember, RouteMemberChange, RouteRange, Routes,
    ctx::{Ctx, MemberId},
    member::first_route_version,
    work,
};

use super::{
    Coordination,
    members::MemberRow,
    slots::{Holder, KeyHolder, SlotRow},
};

/// The most runs of slots in one message, of about 20 bytes each; what is left over comes with the next one,
/// a renewal later.
const ROUTE_RANGES_MAX: usize = 1024;
/// The most members with which routes name successors. A request whose owner can't be reached tries them; without,
/// its caller waits for the next owner. With more members routes would be 900 runs and 20 KB long, told to each
/// of them with each plan.
const ROUTE_SUCCESSORS_MEMBERS_MAX: usize = 32;
/// The most commands in one message.
const COMMANDS_MAX: usize = 256;
/// How often, for each member, the loads of members are told where routing goes by them.
const LOADS_REFRESH_PER_MEMBER: Duration = Duration::from_millis(300);

/// Who is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Recipients {
    /// Members that know routes of this term.
    WithRoutes,
    /// Also those that have to be told all of them. This waits for a tick: all that join between two of them are
    /// told the same, which is made once, and not for each of a hundred that join together.
    All,
}

impl Coordination {
    /// Answers those that wait, if this term is confirmed.
    pub(super) fn send_answers(&mut self, ctx: &mut Ctx<'_>, whom: Recipients) {
        if !self.may_renew(ctx) {
            return;
        }
        let first = first_route_version(self.term);
        let due = |row: &MemberRow| {
            let has_routes = row.route_version.max(row.routes_sent_version) >= first;
            (row.answer_due || row.push_due) && (has_routes || whom == Recipients::All)
        };
        work::add_entries(self.members.rows.len() / 8);
        let due: Vec<MemberId> =
            self.members.rows.iter().filter(|it| due(it.1)).map(|it| it.0.clone()).collect();
        for id in due {
            self.send_answer(ctx, &id);
        }
    }

    fn send_answer(&mut self, ctx: &mut Ctx<'_>, id: &MemberId) {
        assert!(self.may_renew(ctx), "renewal without confirmation");
        let times = self.times(ctx);
        let Some(row) = self.members.rows.get(id) else { return };
        let since = row.known_route_version(ctx.now);
        let is_news = since < self.route_version;
        let routes = is_news.then(|| self.routes_since(since));
        let Some(row) = self.members.rows.get(id) else { return };
        let can_stop = row.leaving && !self.slot_table.involves(id) && row.commands.is_empty();
        let Some(row) = self.members.rows.get_mut(id) else { return };
        if let Some(routes) = &routes {
            row.routes_sent_version = routes.version;
            row.routes_sent_at = ctx.now;
        }
        row.answer_due = false;
        row.push_due = false;
        row.lease_until = row.lease_until.max(ctx.now + times.with_drift_margin(times.lease()));
        let renewed = Renewed {
            term: self.term,
            session: row.session,
            sequence: row.sequence,
            lease_ms: times.lease_ms,
            last_report: row.last_report,
            first_command: row.first_command,
            commands: row.commands.iter().take(COMMANDS_MAX).cloned().collect(),
            routes,
            config: self.config,
            can_stop,
        };
        ctx.send(&row.instance, Message::Renewed(Box::new(renewed)));
    }

    /// What has changed since a version, which many members are told at a time.
    fn routes_since(&mut self, since: u64) -> Arc<Routes> {
        // What is known of earlier terms makes no difference.
        let since = if since < first_route_version(self.term) { 0 } else { since };
        let told = self.cached_routes.as_ref().filter(|it| it.since == since);
        if let Some(told) = told.filter(|_| self.cached_routes_version == self.route_version) {
            return Arc::clone(told);
        }
        let routes = Arc::new(self.routes(since));
        self.cached_routes_version = self.route_version;
        self.cached_routes = Some(Arc::clone(&routes));
        routes
    }

    fn routes(&self, since: u64) -> Routes {
        let is_whole = since < first_route_version(self.term);
        let gone =
            if is_whole { Some(Vec::new()) } else { self.members.numbers_released_since(since) };
        let Some(gone) = gone else { return self.routes(0) };
        let number = |id: &MemberId| self.members.rows.get(id).map(|it| it.number);
        let names_told = self.includes_successors();
        work::add_entries(self.members.rows.len() / 8);
        let mut changed = self.slots_changed_since(since);
        let run = |(slot, row): &(Slot, &SlotRow)| RouteRange {
            first: *slot,
            last: *slot,
            owner: row.holder.grant().and_then(|it| number(&it.member)),
            token: row.last_token,
            successors: match names_told {
                true => row.candidates.iter().filter_map(number).collect(),
                false => Vec::new(),
            },
        };
        work::add_entries(4 * changed.len());
        let mut slots = joined(changed.iter().map(run));
        let mut version = self.route_version;
        if slots.len() > ROUTE_RANGES_MAX {
            // The oldest changes first, so that the receiver has all up to one version.
            changed.sort_by_key(|(_, row)| row.changed_version);
            changed.truncate(ROUTE_RANGES_MAX);
            version = changed.last().map_or(version, |(_, row)| row.changed_version);
            changed.sort_by_key(|(slot, _)| *slot);
            slots = joined(changed.iter().map(run));
        }
        let keys = self.slot_table.keys.iter().filter(|(_, row)| row.changed_version > since);
        let keys = keys.map(|(key_hash, row)| self.route_key(*key_hash, &row.holder, number));
        let rows = self.members.rows.values();
        let joined = rows.clone().filter(|it| it.joined_version > since);
        let changed = rows.filter(|it| it.joined_version <= since && it.changed_version > since);
        Routes {
            since,
            version,
            removed: gone,
            joined: joined.map(route_member).collect(),
            changed: changed.map(route_member_change).collect(),
            slots,
            keys: keys.collect(),
        }
    }

    fn slots_changed_since(&self, since: u64) -> Vec<(Slot, &SlotRow)> {
        // Most of what members are told is about other members.
        if since >= self.slots_changed_version {
            return Vec::new();
        }
        work::add_entries(self.slot_table.slots.len());
        self.slot_table.iter().filter(|(_, row)| row.changed_version > since).collect()
    }

    /// Successors are told while that keeps the routes short: they cut the slots of each owner into up to
    /// eight runs.
    pub(super) fn includes_successors(&self) -> bool {
        self.members.rows.len() <= ROUTE_SUCCESSORS_MEMBERS_MAX
    }

    fn route_key(
        &self,
        key_hash: KeyHash,
        holder: &KeyHolder,
        number: impl Fn(&MemberId) -> Option<MemberNumber>,
    ) -> RouteKey {
        let grant = match holder {
            KeyHolder::Entry(Holder::Member(it)) => Some(it),
            _ => None,
        };
        RouteKey {
            key_hash,
            owner: grant.and_then(|it| number(&it.member)),
            token: grant.map(|it| it.token).unwrap_or_default(),
        }
    }

    /// Where routing goes by load, loads are told now and then; the more members, the less often.
    pub(super) fn refresh_loads(&mut self, ctx: &Ctx<'_>) {
        if ctx.config.keyed || self.next_loads_refresh_at > ctx.now {
            return;
        }
        let members = self.members.rows.len().max(3) as u32;
        self.next_loads_refresh_at = ctx.now + LOADS_REFRESH_PER_MEMBER * members;
        let version = self.bump_route_version();
        self.members.rows.values_mut().for_each(|it| it.changed_version = version);
    }
}

fn route_member(row: &MemberRow) -> RouteMember {
    RouteMember { number: row.number, instance: row.instance.clone(), status: row.status() }
}

fn route_member_change(row: &MemberRow) -> RouteMemberChange {
    RouteMemberChange { number: row.number, status: row.status() }
}

/// Neighbours that are alike, as one run each.
fn joined(slots: impl Iterator<Item = RouteRange>) -> Vec<RouteRange> {
    let mut runs: Vec<RouteRange> = Vec::new();
    for next in slots {
        if !runs.last_mut().is_some_and(|it| it.try_extend(&next)) {
            runs.push(next);
        }
    }
    runs
}
