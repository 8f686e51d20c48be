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

/// The most ranges of slots in one message, of about 20 bytes each. Further ranges follow in the
/// answer to the next renewal.
const ROUTE_RANGES_MAX: usize = 1024;
/// The most members of a group whose routes include successors. A request whose owner is
/// unreachable tries the successors; without them, its caller waits for the next owner. With more
/// members, each plan would send routes of 900 ranges and 20 KB to each member.
const ROUTE_SUCCESSORS_MEMBERS_MAX: usize = 32;
/// The most commands in one message.
const COMMANDS_MAX: usize = 256;
/// The interval of load updates in routes, for each member of the group.
const LOADS_REFRESH_PER_MEMBER: Duration = Duration::from_millis(300);

/// The members to which answers are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Recipients {
    /// Members that have routes of this term.
    WithRoutes,
    /// All members, including those that need all routes. These are answered on ticks only, so that
    /// the routes are made once for all members that join between two ticks.
    All,
}

impl Coordination {
    /// Answers pending renewals and sends new commands, if this term is confirmed.
    pub(super) fn send_answers(&mut self, ctx: &mut Ctx<'_>, recipients: Recipients) {
        if !self.may_renew(ctx) {
            return;
        }
        let first_version = first_route_version(self.term);
        let now = ctx.now;
        let is_due = |row: &MemberRow| {
            // An answer would extend a lease that has ended, such as that of an agent whose next
            // incarnation has had their upstream cleared, and its slots would stay unserved.
            if row.lease_until <= now {
                return false;
            }
            let has_routes = row.route_version.max(row.routes_sent_version) >= first_version;
            (row.is_answer_due || row.is_push_due) && (has_routes || recipients == Recipients::All)
        };
        work::add_entries(self.members.rows.len() / 8);
        let due: Vec<MemberId> =
            self.members.rows.iter().filter(|it| is_due(it.1)).map(|it| it.0.clone()).collect();
        for id in due {
            self.send_answer(ctx, &id);
        }
    }

    /// Sends an answer to a member: extends its lease, and includes its commands and changes of
    /// routes.
    fn send_answer(&mut self, ctx: &mut Ctx<'_>, id: &MemberId) {
        assert!(self.may_renew(ctx), "lease renewal without confirmation of the term");
        let times = self.times(ctx);
        let Some(row) = self.members.rows.get(id) else { return };
        let since = row.known_route_version(ctx.now);
        let has_changes = since < self.route_version;
        let routes = has_changes.then(|| self.routes_since(since));
        let Some(row) = self.members.rows.get(id) else { return };
        let can_stop = row.leaving && !self.slot_table.involves(id) && row.commands.is_empty();
        let Some(row) = self.members.rows.get_mut(id) else { return };
        if let Some(routes) = &routes {
            row.routes_sent_version = routes.version;
            row.routes_sent_at = ctx.now;
        }
        row.is_answer_due = false;
        row.is_push_due = false;
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

    /// Returns the changes of routes since a version. They are cached, because many members need
    /// the same ones.
    fn routes_since(&mut self, since: u64) -> Arc<Routes> {
        // Routes of earlier terms are not a basis for changes, whatever their version is.
        let since = if since < first_route_version(self.term) { 0 } else { since };
        let cached = self.cached_routes.as_ref().filter(|it| it.since == since);
        if let Some(cached) = cached.filter(|_| self.cached_routes_version == self.route_version) {
            return Arc::clone(cached);
        }
        let routes = Arc::new(self.routes(since));
        self.cached_routes_version = self.route_version;
        self.cached_routes = Some(Arc::clone(&routes));
        routes
    }

    /// Returns the changes of routes since a version, or all routes if the changes are no longer
    /// known.
    fn routes(&self, since: u64) -> Routes {
        let is_whole = since < first_route_version(self.term);
        let removed =
            if is_whole { Some(Vec::new()) } else { self.members.numbers_released_since(since) };
        let Some(removed) = removed else { return self.routes(0) };
        let number = |id: &MemberId| self.members.rows.get(id).map(|it| it.number);
        let includes_successors = self.includes_successors();
        work::add_entries(self.members.rows.len() / 8);
        let mut changed = self.slots_changed_since(since);
        let range = |(slot, row): &(Slot, &SlotRow)| RouteRange {
            first: *slot,
            last: *slot,
            owner: row.holder.grant().and_then(|it| number(&it.member)),
            token: row.last_token,
            successors: match includes_successors {
                true => row.candidates.iter().filter_map(number).collect(),
                false => Vec::new(),
            },
        };
        work::add_entries(4 * changed.len());
        let mut slots = merge_ranges(changed.iter().map(range));
        let mut version = self.route_version;
        if slots.len() > ROUTE_RANGES_MAX {
            // Keeps the oldest changes, so that the receiver has all changes up to one version.
            changed.sort_by_key(|(_, row)| row.changed_version);
            changed.truncate(ROUTE_RANGES_MAX);
            version = changed.last().map_or(version, |(_, row)| row.changed_version);
            changed.sort_by_key(|(slot, _)| *slot);
            slots = merge_ranges(changed.iter().map(range));
        }
        let keys = self.slot_table.keys.iter().filter(|(_, row)| row.changed_version > since);
        let keys = keys.map(|(key_hash, row)| self.route_key(*key_hash, &row.holder, number));
        let rows = self.members.rows.values();
        let joined = rows.clone().filter(|it| it.joined_version > since);
        let changed = rows.filter(|it| it.joined_version <= since && it.changed_version > since);
        Routes {
            since,
            version,
            removed,
            joined: joined.map(route_member).collect(),
            changed: changed.map(route_member_change).collect(),
            slots,
            keys: keys.collect(),
        }
    }

    /// Returns the slots whose routes have changed since a version.
    fn slots_changed_since(&self, since: u64) -> Vec<(Slot, &SlotRow)> {
        // Most changes of routes concern members and not slots.
        if since >= self.slots_changed_version {
            return Vec::new();
        }
        work::add_entries(self.slot_table.slots.len());
        self.slot_table.iter().filter(|(_, row)| row.changed_version > since).collect()
    }

    /// Returns whether routes include successors. These split the slots of each owner into up to
    /// eight ranges, so large groups leave them out.
    pub(super) fn includes_successors(&self) -> bool {
        self.members.rows.len() <= ROUTE_SUCCESSORS_MEMBERS_MAX
    }

    /// Returns the route of a hot key, without an owner if the key is served with its slot.
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

    /// Includes the loads of all members in the next routes, at an interval that grows with the
    /// number of members. This concerns groups without keys, which route by load.
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

/// Merges adjacent ranges with the same owner, token and successors.
fn merge_ranges(slots: impl Iterator<Item = RouteRange>) -> Vec<RouteRange> {
    let mut ranges: Vec<RouteRange> = Vec::new();
    for next in slots {
        if !ranges.last_mut().is_some_and(|it| it.try_extend(&next)) {
            ranges.push(next);
        }
    }
    ranges
}
