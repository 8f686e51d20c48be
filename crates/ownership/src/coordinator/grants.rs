//! Grants of vacant slots.

use std::time::Duration;

use model::{Instance, Slot, Timestamp, Token};

use crate::{
    Command, CoordinatorLease, Event, MoveReason,
    ctx::{Ctx, MemberId},
    rules::{self, Rule},
    work,
};

use super::{
    Coordination,
    incarnations::SuccessorIncarnations,
    runs::EarlierRuns,
    slots::{Grant, Holder, KeyHolder},
};

/// The longest time for which a lapsed slot is reserved for the successor incarnation of its former
/// owner. Joins are gathered for 0.1 s and a plan is written within 0.1 s, which leaves time for
/// one more attempt.
const SUCCESSOR_RESERVATION_MAX: Duration = Duration::from_millis(500);

/// The tokens of the grants made in one step, by member.
#[derive(Debug, Default)]
pub(super) struct GrantBatch {
    tokens: Vec<(MemberId, Token)>,
}

impl Coordination {
    /// Marks slots and keys of earlier terms as vacant once none of their candidates can still hold
    /// them.
    pub(super) fn resolve_unknown(&mut self, ctx: &Ctx<'_>) {
        if self.plan.acked().is_none() {
            return;
        }
        let may_have_runs = ctx.limits().coordinator_lease == CoordinatorLease::Full
            && !self.succession.is_past_earlier_leases()
            && rules::is_enforced(Rule::WaitForCoordinatorLease);
        work::add_entries(self.slot_table.slots.len());
        for (slot, row) in self.slot_table.slot_count.iter().zip(&mut self.slot_table.slots) {
            if row.holder == Holder::Unknown
                && self.succession.has_no_holder_among(
                    ctx.now,
                    &self.confirmation,
                    self.plan.slot_candidates(slot),
                )
            {
                row.holder = Holder::lapsed(ctx.now);
                if may_have_runs {
                    let candidates = self.plan.slot_candidate_instances(slot);
                    let with_runs = candidates
                        .filter(|it| !self.succession.is_free_of_runs(&MemberId::from(*it)));
                    let end = |it: &Instance| self.succession.runs_end(it);
                    row.runs.add_all(&EarlierRuns::of_earlier_terms(with_runs, end));
                }
                self.confirmation.request_confirmation(ctx.now);
            }
        }
        self.resolve_unknown_keys(ctx);
    }

    /// Grants each free slot to its first candidate that may take it.
    pub(super) fn grant_free(&mut self, ctx: &mut Ctx<'_>) {
        let proved_at = self.confirmation.proved_at();
        work::add_entries(self.slot_table.slots.len() / 4);
        let free = self.slot_table.iter().filter(|(_, row)| row.holder.is_free(proved_at));
        let free: Vec<Slot> = free.map(|it| it.0).collect();
        self.grant_all(ctx, &free);
    }

    /// Grants the slots that their holders have just closed, so that a planned move is not delayed
    /// until the next tick.
    pub(super) fn grant_released(&mut self, ctx: &mut Ctx<'_>) {
        let slots = std::mem::take(&mut self.released_slots);
        self.grant_all(ctx, &slots);
    }

    /// Grants those of the given slots that are free.
    fn grant_all(&mut self, ctx: &mut Ctx<'_>, slots: &[Slot]) {
        if slots.is_empty() || !self.may_renew(ctx) || self.plan.acked().is_none() {
            return;
        }
        let mut batch = GrantBatch::default();
        // This searches all members, so it is done only if there are slots to grant.
        let incarnations = self.successor_incarnations();
        work::add_entries(4 * slots.len());
        for slot in slots {
            self.grant_if_free(ctx, *slot, &incarnations, &mut batch);
        }
    }

    /// Grants a slot if it is free: to the prepared owner of its handover, or else to its first
    /// candidate that may take it.
    fn grant_if_free(
        &mut self,
        ctx: &mut Ctx<'_>,
        slot: Slot,
        incarnations: &SuccessorIncarnations,
        batch: &mut GrantBatch,
    ) {
        let row = &self.slot_table.slots[usize::from(slot.0)];
        if !row.holder.is_free(self.confirmation.proved_at()) {
            return;
        }
        let next_owner = row.handover.as_ref().map(|it| (it.to.clone(), it.token));
        match next_owner {
            Some((to, token)) if self.may_take(ctx.now, slot, &to) => {
                // The member may have rejoined since the move began.
                let is_above_clear =
                    self.members.rows.get(&to).is_some_and(|it| token > it.clear_token);
                let token = if is_above_clear { token } else { self.batch_token(ctx, batch, &to) };
                self.grant(ctx, slot, to, Some(token))
            }
            _ if self.is_reserved_for_successor(ctx.now, slot, incarnations) => {}
            _ => {
                let may_take = |it: &&MemberId| self.may_take(ctx.now, slot, it);
                let to = self.plan.slot_candidates(slot).find(may_take).cloned();
                if let Some(to) = to {
                    let token = self.batch_token(ctx, batch, &to);
                    self.grant(ctx, slot, to, Some(token));
                }
            }
        }
    }

    /// Returns whether a lapsed slot is still reserved for the successor incarnation of its planned
    /// owner, whose upstream has the slot's keys in memory; other owners would have to load them.
    pub(super) fn is_reserved_for_successor(
        &self,
        now: Timestamp,
        slot: Slot,
        incarnations: &SuccessorIncarnations,
    ) -> bool {
        let Holder::Vacant { lapsed_at: Some(lapsed_at) } =
            self.slot_table.slots[usize::from(slot.0)].holder
        else {
            return false;
        };
        let owner = self.plan.planned_owner(slot);
        owner.is_some_and(|it| incarnations.of(it).is_some())
            && now.since(lapsed_at) < SUCCESSOR_RESERVATION_MAX
    }

    /// Returns a new token. In a group with ordered slots, all grants of a step to one member share
    /// a token, so that a range of slots is one grant at its upstream.
    pub(super) fn batch_token(
        &mut self,
        ctx: &Ctx<'_>,
        batch: &mut GrantBatch,
        to: &MemberId,
    ) -> Token {
        match batch.tokens.iter().find(|it| it.0 == *to) {
            Some((_, token)) if ctx.config.ordered => *token,
            _ => {
                let token = self.next_token();
                batch.tokens.push((to.clone(), token));
                token
            }
        }
    }

    /// Returns whether a member is eligible for grants and a candidate for the slot.
    pub(super) fn may_grant(&self, slot: Slot, to: &MemberId) -> bool {
        self.members.is_eligible(to) && self.plan.lists_for_slot(slot, to)
    }

    /// Returns whether the slot may be granted to a member now: it is a candidate, and no run of an
    /// earlier grant may continue at another upstream.
    pub(super) fn may_take(&self, now: Timestamp, slot: Slot, to: &MemberId) -> bool {
        let runs = &self.slot_table.slots[usize::from(slot.0)].runs;
        let row = self.members.rows.get(to);
        self.may_grant(slot, to) && row.is_some_and(|it| !runs.any_elsewhere(now, &it.instance))
    }

    /// Grants a free slot to a member, under the given token or a higher one.
    fn grant(&mut self, ctx: &mut Ctx<'_>, slot: Slot, to: MemberId, token: Option<Token>) {
        let last_token = self.slot_table.slots[usize::from(slot.0)].last_token;
        // A key returned to the slot since the token was allocated may have raised the slot's last
        // token.
        let token = token.filter(|it| *it > last_token).unwrap_or_else(|| self.next_token());
        let version = self.bump_slot_route_version();
        assert!(
            self.may_take(ctx.now, slot, &to),
            "slot {slot} is granted while runs may continue on another upstream"
        );
        self.exclude_keys(slot, &to);
        let row = &mut self.slot_table.slots[usize::from(slot.0)];
        let is_free = row.holder.is_free(self.confirmation.proved_at());
        assert!(is_free, "slot {slot} is granted while its holder is {:?}", row.holder);
        assert!(
            token > row.last_token,
            "slot {slot} is granted with token {token} after token {}",
            row.last_token
        );
        let handover = row.handover.take();
        let reason = match (&row.holder, handover) {
            _ if row.last_token == Token::default() => MoveReason::First,
            (Holder::Vacant { lapsed_at: None }, Some(it)) => it.reason,
            _ => MoveReason::Loss,
        };
        let Some(member) = self.members.rows.get_mut(&to) else { return };
        let session = member.session;
        member.enqueue(Command::Admit { slot, token });
        let instance = member.instance.clone();
        row.holder = Holder::Member(Grant { member: to, session, token, closing: false });
        row.last_token = token;
        // Only a move that considers the load starts the cooldown. First grants and grants after a
        // loss or a leave don't.
        if reason == MoveReason::Rebalance {
            row.moved_at = Some(ctx.now);
        }
        row.changed_version = version;
        ctx.emit(Event::Granted { slot, token, to: instance, reason });
    }

    /// Commands the new owner of a slot to exclude the hot keys that other members serve or will
    /// serve, before it admits the slot. This includes keys that it held in a session that has
    /// ended, because they go to other members.
    fn exclude_keys(&mut self, slot: Slot, to: &MemberId) {
        let mut commands = Vec::new();
        let serves = |it: &Grant| it.member == *to && !it.closing && self.members.is_current(it);
        for (key_hash, row) in self.slot_table.keys_of(slot) {
            let owner = match &row.holder {
                KeyHolder::Slot => continue,
                KeyHolder::Entry(Holder::Member(it)) if serves(it) => continue,
                KeyHolder::Entry(Holder::Member(it)) | KeyHolder::LeavingSlot(it) => {
                    Some(it.member.clone())
                }
                KeyHolder::Entry(_) => self.plan.planned_key_owner(key_hash).cloned(),
            };
            let owner = owner.and_then(|it| self.members.rows.get(&it));
            let owner = owner.map(|it| it.instance.clone());
            commands.push((key_hash, owner));
        }
        let Some(member) = self.members.rows.get_mut(to) else { return };
        for (key_hash, owner) in commands {
            let owner = owner.unwrap_or_else(|| member.instance.clone());
            member.excluded.insert(key_hash);
            member.enqueue(Command::ExcludeKey { key_hash, owner });
        }
    }
}
