//! Answers to renewals, with commands and changed routes.

use std::time::Duration;

use model::{Instance, KeyHash, Slot};

use crate::{
    Message, Renewed, RouteKey, RouteMember, RouteRun, Routes,
    ctx::{Ctx, MemberId},
};

use super::{
    Coordination,
    members::MemberRow,
    slots::{Holder, KeyHolder, SlotRow},
};

/// The most runs of slots in one message, of about 20 bytes each; what is left over comes with the next one,
/// a renewal later.
const ROUTE_RUNS_MAX: usize = 1024;
/// The most commands in one message.
const COMMANDS_MAX: usize = 256;
/// How often, for each member, the loads of members are told where routing goes by them.
const MEMBER_LOADS_EVERY: Duration = Duration::from_millis(300);

impl Coordination {
    /// Answers all that wait, if this term is confirmed.
    pub(super) fn answer_all(&mut self, ctx: &mut Ctx<'_>) {
        if !self.may_renew(ctx) {
            return;
        }
        let due = |row: &MemberRow| row.answer_due || row.push_due;
        let due: Vec<MemberId> =
            self.members.rows.iter().filter(|it| due(it.1)).map(|it| it.0.clone()).collect();
        for id in due {
            self.answer(ctx, &id);
        }
    }

    fn answer(&mut self, ctx: &mut Ctx<'_>, id: &MemberId) {
        assert!(self.may_renew(ctx), "renewal without confirmation");
        let times = self.times(ctx);
        let Some(row) = self.members.rows.get(id) else { return };
        let since = match row.answer_due {
            true => row.route_version,
            false => row.route_version.max(row.routes_sent),
        };
        let routes = (since < self.route_version).then(|| Box::new(self.routes(since)));
        let dismissed = row.leaving && !self.table.concerns(id) && row.commands.is_empty();
        let Some(row) = self.members.rows.get_mut(id) else { return };
        if let Some(routes) = &routes {
            row.routes_sent = routes.version;
        }
        row.answer_due = false;
        row.push_due = false;
        row.lease_until = row.lease_until.max(ctx.now + times.elsewhere(times.lease()));
        let renewed = Renewed {
            term: self.term,
            session: row.session,
            sequence: row.sequence,
            lease_ms: times.lease_ms,
            heard: row.heard,
            first_command: row.first_command,
            commands: row.commands.iter().take(COMMANDS_MAX).cloned().collect(),
            routes,
            config: self.config,
            dismissed,
        };
        ctx.send(&row.instance, Message::Renewed(Box::new(renewed)));
    }

    /// What has changed since a version.
    fn routes(&self, since: u64) -> Routes {
        let ids: Vec<&MemberId> = self.members.rows.keys().collect();
        let index = |id: &MemberId| ids.binary_search(&id).ok().map(|it| it as u16);
        let mut changed: Vec<_> =
            self.table.iter().filter(|(_, row)| row.changed_in > since).collect();
        let run = |(slot, row): &(Slot, &SlotRow)| RouteRun {
            first: *slot,
            last: *slot,
            owner: row.holder.grant().and_then(|it| index(&it.member)),
            token: row.last_token,
            successors: row.names.iter().filter_map(index).collect(),
        };
        let mut slots = joined(changed.iter().map(run));
        let mut version = self.route_version;
        if slots.len() > ROUTE_RUNS_MAX {
            // The oldest changes first, so that the receiver has all up to one version.
            changed.sort_by_key(|(_, row)| row.changed_in);
            changed.truncate(ROUTE_RUNS_MAX);
            version = changed.last().map_or(version, |(_, row)| row.changed_in);
            changed.sort_by_key(|(slot, _)| *slot);
            slots = joined(changed.iter().map(run));
        }
        let keys = self.table.keys.iter().filter(|(_, row)| row.changed_in > since);
        let keys = keys.map(|(key_hash, row)| self.route_key(*key_hash, &row.holder, index));
        Routes {
            since,
            version,
            members: (self.members_changed_in > since).then(|| self.route_members()),
            slots,
            keys: keys.collect(),
        }
    }

    fn route_key(
        &self,
        key_hash: KeyHash,
        holder: &KeyHolder,
        index: impl Fn(&MemberId) -> Option<u16>,
    ) -> RouteKey {
        let grant = match holder {
            KeyHolder::Entry(Holder::Member(it)) => Some(it),
            _ => None,
        };
        RouteKey {
            key_hash,
            owner: grant.and_then(|it| index(&it.member)),
            token: grant.map(|it| it.token).unwrap_or_default(),
        }
    }

    fn route_members(&self) -> Vec<RouteMember> {
        let member = |row: &MemberRow| RouteMember {
            instance: Instance::clone(&row.instance),
            state: match row.leaving {
                true => crate::UpstreamState::Draining,
                false => row.upstream,
            },
            load_us_per_s: row.load_us_per_s as u64,
            config: row.config,
        };
        self.members.rows.values().map(member).collect()
    }

    /// Where routing goes by load, loads are told now and then; the more members, the less often.
    pub(super) fn refresh_member_loads(&mut self, ctx: &Ctx<'_>) {
        if ctx.config.keyed || self.next_member_loads > ctx.now {
            return;
        }
        let members = self.members.rows.len().max(3) as u32;
        self.next_member_loads = ctx.now + MEMBER_LOADS_EVERY * members;
        self.members_changed();
    }
}

/// Neighbours that are alike, as one run each.
fn joined(slots: impl Iterator<Item = RouteRun>) -> Vec<RouteRun> {
    let mut runs: Vec<RouteRun> = Vec::new();
    for next in slots {
        if !runs.last_mut().is_some_and(|it| it.extend(&next)) {
            runs.push(next);
        }
    }
    runs
}
