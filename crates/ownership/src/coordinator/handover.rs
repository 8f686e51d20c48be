//! Planned handover of slots: the new owner prepares, the old owner closes, then the new owner
//! admits requests.

use std::time::Duration;

use model::{Slot, Timestamp, Token};

use crate::{
    Command, MoveReason, UpstreamState,
    ctx::{Ctx, MemberId},
    rules::{self, Rule},
    work,
};

use super::{
    Coordination,
    grants::GrantBatch,
    slots::{Handover, HandoverStep, Holder, KeyHolder},
};

/// The most handovers of a group in progress at once that serve to even out the load. A leaving
/// member's slots are handed over all at once, because the time for that is short.
const HANDOVERS_MAX: usize = 8;
/// The longest preparation of a new owner. After this time the handover continues without a report
/// of the new owner.
const PREPARE_MAX: Duration = Duration::from_secs(2);

/// The next step of a slot's handover.
enum HandoverAction {
    /// Starts a handover to this member.
    Start(MemberId),
    /// Commands the old owner to close the slot.
    Close,
    /// Cancels the handover, because its new owner may no longer be granted the slot.
    Cancel,
}

impl Coordination {
    /// Starts the handovers that are due, and takes the next step of those in progress.
    pub(super) fn advance_handovers(&mut self, ctx: &mut Ctx<'_>) {
        if !self.may_renew(ctx) || self.plan.acked().is_none() {
            return;
        }
        let mut in_progress =
            self.slot_table.slots.iter().filter(|it| it.handover.is_some()).count();
        let mut batch = GrantBatch::default();
        work::add_entries(4 * self.slot_table.slots.len());
        for slot in self.slot_table.slot_count.iter() {
            match self.next_action(ctx, slot) {
                // Ordered slots move in ranges, and their planner limits how many ranges move.
                Some(HandoverAction::Start(to))
                    if in_progress < HANDOVERS_MAX
                        || ctx.config.ordered
                        || self.is_urgent(slot) =>
                {
                    in_progress += 1;
                    let token = self.batch_token(ctx, &mut batch, &to);
                    self.start_handover(ctx, slot, to, token);
                }
                Some(HandoverAction::Close) => self.close_for_handover(ctx, slot),
                Some(HandoverAction::Cancel) => {
                    in_progress -= 1;
                    self.slot_table.slots[usize::from(slot.0)].handover = None;
                }
                Some(HandoverAction::Start(_)) | None => {}
            }
        }
    }

    /// Returns whether the holder of a slot has to release it.
    fn is_urgent(&self, slot: Slot) -> bool {
        let grant = self.slot_table.slots[usize::from(slot.0)].holder.grant();
        let holder = grant.and_then(|it| self.members.rows.get(&it.member));
        holder.is_some_and(|it| it.must_release())
    }

    /// Returns the step of a slot's handover that is due, if there is one.
    fn next_action(&self, ctx: &Ctx<'_>, slot: Slot) -> Option<HandoverAction> {
        let row = &self.slot_table.slots[usize::from(slot.0)];
        let grant = row.holder.grant().filter(|it| !it.closing && self.members.is_current(it))?;
        let holder = self.members.rows.get(&grant.member);
        let must_release = holder.is_some_and(|it| it.must_release());
        match &row.handover {
            Some(it) if !self.may_grant(slot, &it.to) => Some(HandoverAction::Cancel),
            Some(Handover { step: HandoverStep::Preparing { since }, .. }) => {
                let is_lost = holder.is_none_or(|it| it.upstream == UpstreamState::Lost);
                let is_overdue = ctx.now.since(*since) > PREPARE_MAX;
                (is_lost || is_overdue).then_some(HandoverAction::Close)
            }
            Some(Handover { step: HandoverStep::Closing, .. }) => None,
            None if self.has_leaving_key(slot) => None,
            None if must_release => match self.successor_for(ctx.now, slot, &grant.member) {
                Some(successor) => Some(HandoverAction::Start(successor)),
                None if self.members.any_eligible() => None,
                None => Some(HandoverAction::Close),
            },
            None if self.is_settled() && self.plan.is_idle() => {
                let planned = self.plan.planned_owner(slot)?;
                let is_due = *planned != grant.member && self.may_take(ctx.now, slot, planned);
                is_due.then(|| HandoverAction::Start(planned.clone()))
            }
            None => None,
        }
    }

    /// Returns the member that takes over a slot whose holder has to release it: the first
    /// candidate that may take it. A holder whose upstream can still serve keeps the slot while
    /// earlier runs at other upstreams exclude each candidate.
    fn successor_for(&self, now: Timestamp, slot: Slot, holder: &MemberId) -> Option<MemberId> {
        let row = self.members.rows.get(holder);
        let serves = row.is_some_and(|it| it.upstream != UpstreamState::Lost);
        let may_own = |it: &MemberId| match serves {
            true => self.may_take(now, slot, it),
            false => self.may_grant(slot, it),
        };
        let mut candidates = self.plan.slot_candidates(slot);
        candidates.find(|it| *it != holder && may_own(it)).cloned()
    }

    /// Returns whether the holder of a slot is closing one of the slot's hot keys.
    fn has_leaving_key(&self, slot: Slot) -> bool {
        self.slot_table
            .keys_of(slot)
            .any(|(_, row)| matches!(row.holder, KeyHolder::LeavingSlot(_)))
    }

    /// Starts a handover: commands the new owner to prepare for the slot.
    fn start_handover(&mut self, ctx: &mut Ctx<'_>, slot: Slot, to: MemberId, token: Token) {
        let row = &mut self.slot_table.slots[usize::from(slot.0)];
        let holder = row.holder.grant().map(|it| it.member.clone());
        let is_rebalance = holder
            .is_some_and(|it| self.members.rows.get(&it).is_some_and(|it| !it.must_release()));
        if is_rebalance {
            self.recent_moves.push_back(ctx.now);
        }
        if let Some(member) = self.members.rows.get_mut(&to) {
            member.enqueue(Command::Prepare { slot, token });
        }
        let step = HandoverStep::Preparing { since: ctx.now };
        let reason = if is_rebalance { MoveReason::Rebalance } else { MoveReason::Leave };
        row.handover = Some(Handover { to, token, step, reason });
    }

    /// Commands the holder of a slot to close it, for its handover if one is in progress.
    pub(super) fn close_for_handover(&mut self, _ctx: &mut Ctx<'_>, slot: Slot) {
        let row = &mut self.slot_table.slots[usize::from(slot.0)];
        let Holder::Member(grant) = &mut row.holder else { return };
        let to = row.handover.as_mut().map(|it| {
            it.step = HandoverStep::Closing;
            it.to.clone()
        });
        let to = to.and_then(|it| self.members.rows.get(&it)).map(|it| it.instance.clone());
        grant.closing = true;
        let (member, token) = (grant.member.clone(), grant.token);
        if !rules::is_enforced(Rule::WaitForClose) {
            row.holder = Holder::Vacant { lapsed_at: None };
        }
        if let Some(member) = self.members.rows.get_mut(&member) {
            member.enqueue(Command::Close { slot, token, to });
        }
    }
}
