//! Agents that restart while the upstream beside them keeps running.
//!
//! Such an upstream keeps the grants of the agent's earlier incarnation for up to a lease. Only the
//! agent beside it gives it grants, so once the new incarnation has had the upstream clear them,
//! all grants of the earlier incarnation have ended. Runs that began under them may continue (see
//! [`super::runs`]). The slots therefore go back to the same instance at once, whose upstream also
//! has their keys in memory, but to other instances only when the lease has ended: up to 5 s later
//! where requests may take that long.

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

/// The new incarnations of agents whose earlier incarnations are planned owners, by the id of the
/// earlier one.
#[derive(Debug, Default)]
pub(super) struct SuccessorIncarnations(BTreeMap<MemberId, MemberId>);

impl SuccessorIncarnations {
    /// Returns the new incarnation of a planned owner, if there is one.
    pub(super) fn of(&self, owner: &MemberId) -> Option<&MemberId> {
        self.0.get(owner)
    }
}

/// Returns whether two values name different incarnations of one agent.
fn is_other_incarnation(a: &Instance, b: &Instance) -> bool {
    is_same_agent(a, b) && !is_same_incarnation(a, b)
}

impl Coordination {
    /// Commands members that joined without holding anything to clear their upstreams: new
    /// incarnations of agents, and members whose previous session has ended.
    ///
    /// This is done only after the first plan of this term has been acknowledged. A member that
    /// reports its upstream as cleared was then running after the plan of the earlier terms was
    /// read, so it is later than every other incarnation of its agent that this plan lists.
    pub(super) fn request_clearing(&mut self, ctx: &Ctx<'_>) {
        let is_required =
            ctx.config.keyed && ctx.limits().coordinator_lease == CoordinatorLease::Full;
        if !is_required || self.plan.acked().is_none() {
            return;
        }
        let is_uncleared = |it: EarlierSessions| it == EarlierSessions::Unknown;
        let ids = self.members.rows.iter().filter(|(_, row)| is_uncleared(row.earlier_sessions));
        let ids: Vec<MemberId> = ids.map(|(id, _)| id.clone()).collect();
        for id in ids {
            let token = self.next_token();
            if let Some(row) = self.members.rows.get_mut(&id) {
                row.earlier_sessions = EarlierSessions::Clearing { token };
                row.clear_token = token;
                row.enqueue(Command::Clear { token });
            }
            if !rules::is_enforced(Rule::ClearEarlierIncarnations) {
                self.end_earlier_sessions(ctx.now, &id);
            }
        }
    }

    /// Handles a member's report that its upstream is cleared. Only a report on the command of this
    /// term to the member's current session counts.
    pub(super) fn handle_cleared(&mut self, now: Timestamp, id: &MemberId, token: Token) {
        let earlier_sessions = self.members.rows.get(id).map(|it| it.earlier_sessions);
        if earlier_sessions == Some(EarlierSessions::Clearing { token }) {
            self.end_earlier_sessions(now, id);
        }
    }

    /// Ends the sessions before a member's current one, of this incarnation of its agent and of
    /// earlier ones, because the upstream beside it holds none of their grants. Their runs may
    /// continue until their leases would have ended.
    fn end_earlier_sessions(&mut self, now: Timestamp, id: &MemberId) {
        let Some(row) = self.members.rows.get_mut(id) else { return };
        row.earlier_sessions = EarlierSessions::Cleared;
        let (instance, joined_at, session) = (row.instance.clone(), row.joined_at, row.session);
        let lapsing = self.members.lapsing.iter_mut().filter(|it| it.member == *id);
        for it in lapsing.filter(|it| it.session < session) {
            self.slot_table.retain_runs(now, &instance, it.session, it.until);
            it.until = it.until.min(now);
        }
        // An incarnation that joined after this one is a later one, and the report was delayed.
        let earlier = self.members.rows.iter_mut().filter(|(_, it)| it.joined_at < joined_at);
        for (id, row) in earlier.filter(|(_, it)| is_other_incarnation(&it.instance, &instance)) {
            self.slot_table.retain_runs(now, &row.instance, row.session, row.lease_until);
            row.lease_until = row.lease_until.min(now);
            // Sessions that the earlier incarnation itself had replaced.
            for it in self.members.lapsing.iter_mut().filter(|it| it.member == *id) {
                self.slot_table.retain_runs(now, &row.instance, it.session, it.until);
                it.until = it.until.min(now);
            }
        }
        let times = self.object.acked().times;
        self.succession.record_cleared(id.clone(), joined_at, times);
        let planned = self.plan.acked().map_or(&[][..], |it| it.members.as_slice());
        let earlier = planned.iter().filter(|it| is_other_incarnation(it, &instance));
        for it in earlier {
            self.succession.record_cleared(it.into(), joined_at, times);
        }
        self.wake();
        self.schedule_proposal(now);
    }

    /// Records, for the given slots and all hot keys held by grants of earlier terms, the runs of
    /// the holder's earlier incarnations and sessions that may continue at its upstream. Only
    /// incarnations that the plan lists as candidates are considered.
    pub(super) fn retain_runs_at_holders(&mut self, ctx: &Ctx<'_>, slots: &[Slot]) {
        let is_required = ctx.limits().coordinator_lease == CoordinatorLease::Full;
        if !is_required || self.succession.is_past_earlier_leases() || self.plan.acked().is_none() {
            return;
        }
        work::add_entries(slots.len());
        let holder = |it: &Grant| self.members.rows.get(&it.member).map(|it| &it.instance);
        let is_of_earlier_term = |it: &&Grant| it.token.term != self.term;
        let may_run = |it: &Instance| !self.succession.is_free_of_runs(&MemberId::from(it));
        let end = |it: &Instance| self.succession.runs_end(it);
        for slot in slots {
            let Some(row) = self.slot_table.slots.get_mut(usize::from(slot.0)) else { continue };
            let Some(holder) = row.holder.grant().filter(is_of_earlier_term).and_then(holder)
            else {
                continue;
            };
            let candidates = self.plan.slot_candidate_instances(*slot);
            let at_holder = candidates.filter(|it| is_same_agent(it, holder) && may_run(it));
            row.runs.add_all(&EarlierRuns::of_earlier_terms(at_holder, end));
        }
        for (key_hash, row) in &mut self.slot_table.keys {
            let Some(holder) = row.holder.grant().filter(is_of_earlier_term).and_then(holder)
            else {
                continue;
            };
            let by_slot =
                self.plan.slot_candidate_instances(self.slot_table.slot_count.slot_of(*key_hash));
            let candidates = self.plan.key_candidate_instances(*key_hash).chain(by_slot);
            let at_holder = candidates.filter(|it| is_same_agent(it, holder) && may_run(it));
            row.runs.add_all(&EarlierRuns::of_earlier_terms(at_holder, end));
        }
    }

    /// Returns the eligible member beside the only upstream at which earlier runs of a slot may
    /// continue.
    pub(super) fn sole_member_with_runs(&self, now: Timestamp, row: &SlotRow) -> Option<&MemberId> {
        let instance = row.runs.instances(now).next()?;
        let mut eligible = self.members.rows.iter().filter(|(_, it)| it.is_eligible());
        let (id, member) = eligible.find(|(_, it)| is_same_agent(&it.instance, instance))?;
        (!row.runs.any_elsewhere(now, &member.instance)).then_some(id)
    }

    /// Returns whether an earlier incarnation of a member's agent is the planned owner of any slot.
    pub(super) fn has_predecessor(&self, row: &MemberRow) -> bool {
        self.plan.owners().any(|it| is_other_incarnation(it, &row.instance))
    }

    /// Returns the new incarnations that can take over the slots planned for an earlier one.
    pub(super) fn successor_incarnations(&self) -> SuccessorIncarnations {
        let successors = self.members.rows.iter().filter(|(_, row)| row.is_successor());
        let planned = self.plan.acked().map_or(&[][..], |it| it.members.as_slice());
        work::add_entries(successors.clone().count() * planned.len() / 4);
        let pairs = successors.flat_map(|(id, row)| {
            let earlier = planned.iter().filter(|it| is_other_incarnation(it, &row.instance));
            earlier.map(|it| (MemberId::from(it), id.clone()))
        });
        SuccessorIncarnations(pairs.collect())
    }
}
