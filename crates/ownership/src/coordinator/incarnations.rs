//! Agents that are restarted beside an upstream that lives on.
//!
//! Such an upstream goes on holding what the earlier life of its agent granted it, for up to a lease. Only
//! the agent beside it grants it anything, so once the new life has had the upstream give all of that up,
//! nothing of the earlier life is granted any more. Runs that it began may go on (see [`super::runs`]), so
//! the slots go back to the same instance at once, whose upstream also has their keys warm, and to others
//! when the lease has ended: up to 5 s where requests may take that long.

use std::collections::BTreeMap;

use model::{Instance, Slot, Timestamp, Token};

use crate::{
    Command, CoordinatorLease,
    ctx::{Ctx, MemberId, is_same_agent, is_same_incarnation},
    rules::{self, Rule},
    work,
};

use super::{
    Coordination,
    members::{EarlierSessions, MemberRow},
    runs::EarlierRuns,
    slots::{Grant, SlotRow},
};

/// For planned owners that have ended, the new life of the same agent.
#[derive(Debug, Default)]
pub(super) struct SuccessorIncarnations(BTreeMap<MemberId, MemberId>);

impl SuccessorIncarnations {
    pub(super) fn of(&self, owner: &MemberId) -> Option<&MemberId> {
        self.0.get(owner)
    }
}

fn is_earlier_incarnation(it: &Instance, of: &Instance) -> bool {
    is_same_agent(it, of) && !is_same_incarnation(it, of)
}

impl Coordination {
    /// Asks members that come with nothing to have their upstreams cleared: new lives of agents, and those whose
    /// session has ended.
    ///
    /// They are asked no earlier than the first plan of this term is acknowledged: whoever answers was
    /// alive after the plan of the earlier terms was read, so every life that this names came before it.
    pub(super) fn request_clearing(&mut self, ctx: &Ctx<'_>) {
        let enforced = ctx.config.keyed && ctx.limits().coordinator_lease == CoordinatorLease::Full;
        if !enforced || self.plan.acked().is_none() {
            return;
        }
        let waits = |it: EarlierSessions| it == EarlierSessions::Unknown;
        let ids = self.members.rows.iter().filter(|(_, row)| waits(row.earlier_sessions));
        let ids: Vec<MemberId> = ids.map(|(id, _)| id.clone()).collect();
        for id in ids {
            let token = self.next_token();
            if let Some(row) = self.members.rows.get_mut(&id) {
                row.earlier_sessions = EarlierSessions::Clearing { token };
                row.enqueue(Command::Clear { token });
            }
            if !rules::is_enforced(Rule::ClearEarlierIncarnations) {
                self.end_earlier_sessions(ctx.now, &id);
            }
        }
    }

    /// A member says that its upstream is cleared: it counts only for what this term has asked this session.
    pub(super) fn handle_cleared(&mut self, now: Timestamp, id: &MemberId, token: Token) {
        let asked = self.members.rows.get(id).map(|it| it.earlier_sessions);
        if asked == Some(EarlierSessions::Clearing { token }) {
            self.end_earlier_sessions(now, id);
        }
    }

    /// The upstream beside a member holds nothing of the member's earlier sessions: those of earlier lives end
    /// now, and of its own life nothing is left that had to be waited for.
    fn end_earlier_sessions(&mut self, now: Timestamp, id: &MemberId) {
        let Some(row) = self.members.rows.get_mut(id) else { return };
        row.earlier_sessions = EarlierSessions::Cleared;
        let (instance, joined_at, session) = (row.instance.clone(), row.joined_at, row.session);
        let own = self.members.lapsing.iter_mut().filter(|it| it.member == *id);
        for it in own.filter(|it| it.session < session) {
            self.slot_table.retain_runs(now, &instance, it.session, it.until);
            it.until = it.until.min(now);
        }
        // One that joined later is a later life, and this one's word has been long on the way.
        let ended = self.members.rows.values_mut().filter(|it| it.joined_at < joined_at);
        for row in ended.filter(|it| is_earlier_incarnation(&it.instance, &instance)) {
            self.slot_table.retain_runs(now, &row.instance, row.session, row.lease_until);
            row.lease_until = row.lease_until.min(now);
        }
        let times = self.object.acked().times;
        self.succession.record_cleared(id.clone(), joined_at, times);
        let planned = self.plan.acked().map_or(&[][..], |it| it.members.as_slice());
        let earlier = planned.iter().filter(|it| is_earlier_incarnation(it, &instance));
        for it in earlier {
            self.succession.record_cleared(it.into(), joined_at, times);
        }
        self.wake();
        self.schedule_proposal(now);
    }

    /// What an earlier term has granted to a member may also be at work from earlier lives of that member, or
    /// from earlier sessions, where the plan that was found names them.
    pub(super) fn retain_runs_at_holders(&mut self, ctx: &Ctx<'_>, slots: &[Slot]) {
        let enforced = ctx.limits().coordinator_lease == CoordinatorLease::Full;
        if !enforced || self.succession.is_past_earlier_leases() || self.plan.acked().is_none() {
            return;
        }
        work::add_entries(slots.len());
        let holder = |it: &Grant| self.members.rows.get(&it.member).map(|it| &it.instance);
        let earlier = |it: &&Grant| it.token.term != self.term;
        let lost = |it: &Instance| !self.succession.is_free_of_runs(&MemberId::from(it));
        let end = |it: &Instance| self.succession.runs_end(it);
        for slot in slots {
            let Some(row) = self.slot_table.slots.get_mut(usize::from(slot.0)) else { continue };
            let Some(holder) = row.holder.grant().filter(earlier).and_then(holder) else {
                continue;
            };
            let lives = self.plan.slot_candidate_instances(*slot);
            let beside = lives.filter(|it| is_same_agent(it, holder) && lost(it));
            row.runs.add_all(&EarlierRuns::of_earlier_terms(beside, end));
        }
        for (key_hash, row) in &mut self.slot_table.keys {
            let Some(holder) = row.holder.grant().filter(earlier).and_then(holder) else {
                continue;
            };
            let by_slot =
                self.plan.slot_candidate_instances(self.slot_table.slot_count.slot_of(*key_hash));
            let lives = self.plan.key_candidate_instances(*key_hash).chain(by_slot);
            let beside = lives.filter(|it| is_same_agent(it, holder) && lost(it));
            row.runs.add_all(&EarlierRuns::of_earlier_terms(beside, end));
        }
    }

    /// The member beside whose upstream alone runs of a slot may go on.
    pub(super) fn sole_member_with_runs(&self, now: Timestamp, row: &SlotRow) -> Option<&MemberId> {
        let life = row.runs.instances(now).next()?;
        let mut able = self.members.rows.iter().filter(|(_, it)| it.is_eligible());
        let (id, member) = able.find(|(_, it)| is_same_agent(&it.instance, life))?;
        (!row.runs.any_elsewhere(now, &member.instance)).then_some(id)
    }

    /// Whether the plan in force gives slots to an earlier life of a member.
    pub(super) fn has_predecessor(&self, row: &MemberRow) -> bool {
        self.plan.owners().any(|it| is_earlier_incarnation(it, &row.instance))
    }

    /// New lives that can take over what the plan in force gives to an earlier one.
    pub(super) fn successor_incarnations(&self) -> SuccessorIncarnations {
        let cleared = self.members.rows.iter().filter(|(_, row)| row.is_successor());
        let planned = self.plan.acked().map_or(&[][..], |it| it.members.as_slice());
        work::add_entries(cleared.clone().count() * planned.len() / 4);
        let pairs = cleared.flat_map(|(id, row)| {
            let earlier = planned.iter().filter(|it| is_earlier_incarnation(it, &row.instance));
            earlier.map(|it| (MemberId::from(it), id.clone()))
        });
        SuccessorIncarnations(pairs.collect())
    }
}
