//! Planned handover, slot by slot: the new owner prepares, the old one closes, the new one admits.

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

/// Handovers of a group that may be under way at once to even out the load. What a leaving member
/// holds is handed over all at once: its time is short, and its slots wait at the same time.
const HANDOVERS_MAX: usize = 8;
/// A new owner that has not said that it is prepared is taken to be after this long.
const PREPARE_MAX: Duration = Duration::from_secs(2);

enum Next {
    Start(MemberId),
    Close,
    Cancel,
}

impl Coordination {
    /// Starts handovers and takes those under way further.
    pub(super) fn advance_handovers(&mut self, ctx: &mut Ctx<'_>) {
        if !self.may_renew(ctx) || self.plan.acked().is_none() {
            return;
        }
        let mut running = self.slot_table.slots.iter().filter(|it| it.handover.is_some()).count();
        let mut batch = GrantBatch::default();
        work::add_entries(4 * self.slot_table.slots.len());
        for slot in self.slot_table.slot_count.iter() {
            match self.next_action(ctx, slot) {
                // Ordered slots go by runs, and their planner bounds how many of these move.
                Some(Next::Start(to))
                    if running < HANDOVERS_MAX || ctx.config.ordered || self.is_urgent(slot) =>
                {
                    running += 1;
                    let token = self.batch_token(ctx, &mut batch, &to);
                    self.start_handover(ctx, slot, to, token);
                }
                Some(Next::Close) => self.close_for_handover(ctx, slot),
                Some(Next::Cancel) => {
                    running -= 1;
                    self.slot_table.slots[usize::from(slot.0)].handover = None;
                }
                Some(Next::Start(_)) | None => {}
            }
        }
    }

    fn is_urgent(&self, slot: Slot) -> bool {
        let grant = self.slot_table.slots[usize::from(slot.0)].holder.grant();
        let holder = grant.and_then(|it| self.members.rows.get(&it.member));
        holder.is_some_and(|it| it.must_release())
    }

    fn next_action(&self, ctx: &Ctx<'_>, slot: Slot) -> Option<Next> {
        let row = &self.slot_table.slots[usize::from(slot.0)];
        let grant = row.holder.grant().filter(|it| !it.closing && self.members.is_current(it))?;
        let holder = self.members.rows.get(&grant.member);
        let must_release = holder.is_some_and(|it| it.must_release());
        match &row.handover {
            Some(it) if !self.may_grant(slot, &it.to) => Some(Next::Cancel),
            Some(Handover { step: HandoverStep::Preparing { since }, .. }) => {
                let hung = holder.is_none_or(|it| it.upstream == UpstreamState::Lost);
                let late = ctx.now.since(*since) > PREPARE_MAX;
                (hung || late).then_some(Next::Close)
            }
            Some(Handover { step: HandoverStep::Closing, .. }) => None,
            None if self.has_leaving_key(slot) => None,
            None if must_release => match self.successor_for(ctx.now, slot, &grant.member) {
                Some(heir) => Some(Next::Start(heir)),
                None if self.members.any_eligible() => None,
                None => Some(Next::Close),
            },
            None if self.is_settled() && self.plan.is_idle() => {
                let planned = self.plan.planned_owner(slot)?;
                let moves = *planned != grant.member && self.may_take(ctx.now, slot, planned);
                moves.then(|| Next::Start(planned.clone()))
            }
            None => None,
        }
    }

    /// Who takes over a slot whose owner is leaving: the planned owner, or the first successor. While none of
    /// them could be granted it, an owner that can still serve keeps it.
    fn successor_for(&self, now: Timestamp, slot: Slot, holder: &MemberId) -> Option<MemberId> {
        let row = self.members.rows.get(holder);
        let serves = row.is_some_and(|it| it.upstream != UpstreamState::Lost);
        let able = |it: &MemberId| match serves {
            true => self.may_take(now, slot, it),
            false => self.may_grant(slot, it),
        };
        let mut names = self.plan.slot_candidates(slot);
        names.find(|it| *it != holder && able(it)).cloned()
    }

    fn has_leaving_key(&self, slot: Slot) -> bool {
        self.slot_table
            .keys_of(slot)
            .any(|(_, row)| matches!(row.holder, KeyHolder::LeavingSlot(_)))
    }

    fn start_handover(&mut self, ctx: &mut Ctx<'_>, slot: Slot, to: MemberId, token: Token) {
        let row = &mut self.slot_table.slots[usize::from(slot.0)];
        let holder = row.holder.grant().map(|it| it.member.clone());
        let planned = holder
            .is_some_and(|it| self.members.rows.get(&it).is_some_and(|it| !it.must_release()));
        if planned {
            self.recent_moves.push_back(ctx.now);
        }
        if let Some(member) = self.members.rows.get_mut(&to) {
            member.enqueue(Command::Prepare { slot, token });
        }
        let step = HandoverStep::Preparing { since: ctx.now };
        let reason = if planned { MoveReason::Rebalance } else { MoveReason::Leave };
        row.handover = Some(Handover { to, token, step, reason });
    }

    /// Tells the old owner to give the slot up.
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
