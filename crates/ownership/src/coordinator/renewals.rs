//! Renewals of members: new sessions, adoption of what they hold, reports, and the end of lapsed
//! sessions.

use model::{Instance, Slot, Token};

use crate::{
    Event, HeldKey, HeldSlot, Holding, Message, Renew, Report, SessionId,
    ctx::{Ctx, MemberId, is_same_incarnation},
};

use super::{
    Coordination,
    members::{MemberRow, RenewalKind},
    slots::{Grant, HandoverStep, Holder, KeyHolder, KeyRow},
};

impl Coordination {
    /// Handles a renewal: applies it to the member's current session, opens a new session, or
    /// refuses it.
    pub(super) fn handle_renewal(&mut self, ctx: &mut Ctx<'_>, from: &Instance, renew: &Renew) {
        if renew.term != self.term {
            return ctx.send(from, Message::Announce { term: self.term });
        }
        self.succession.record_follower(ctx.now, from);
        let id = MemberId::from(from);
        match self.members.classify(&id, renew, ctx.limits().members_max) {
            RenewalKind::Stale => {}
            RenewalKind::Ended => self.refuse_session(ctx, from, renew.session),
            RenewalKind::Full => {
                ctx.send(from, Message::JoinRefused { term: self.term });
                ctx.emit(Event::JoinRefused { member: from.clone() });
            }
            RenewalKind::NewSession => self.open_session(ctx, id, from, renew),
            RenewalKind::Current => self.apply_renewal(ctx, id, renew),
        }
    }

    /// Notifies an agent that its session has ended, so that it starts a new one.
    fn refuse_session(&mut self, ctx: &mut Ctx<'_>, from: &Instance, session: SessionId) {
        ctx.send(from, Message::SessionEnded { term: self.term, session });
    }

    /// Opens a new session and adopts what it holds. A session that holds something is refused once
    /// this term has settled, or if its claims are outdated.
    fn open_session(&mut self, ctx: &mut Ctx<'_>, id: MemberId, from: &Instance, renew: &Renew) {
        let Some(holding) = &renew.holding else {
            return self.refuse_session(ctx, from, renew.session);
        };
        let holds_any = !holding.slots.is_empty() || !holding.keys.is_empty();
        if holds_any && (self.is_settled() || self.is_outdated(holding)) {
            self.members.record_ended(id, renew.session);
            return self.refuse_session(ctx, from, renew.session);
        }
        let mut row = MemberRow::new(from, renew, ctx.now);
        let times = self.object.acked().times;
        row.lease_until = ctx.now + times.with_drift_margin(times.lease());
        // A former session of this node itself is known to be over, and its grants end with the
        // coordinator lease. An earlier term may have given it a longer lease, until all earlier
        // leases have ended.
        let is_own = is_same_incarnation(from, ctx.own_instance())
            && self.succession.is_past_earlier_leases();
        let ends_at = is_own.then(|| self.coordinator_lease_until.max(ctx.now));
        let version = self.bump_route_version();
        self.members.insert(id.clone(), row, ends_at, version);
        self.adopt(&id, renew.session, holding);
        let adopted: Vec<Slot> = holding.slots.iter().map(|it| it.slot).collect();
        self.retain_runs_at_holders(ctx, &adopted);
        if !holding.recently_lapsed {
            self.succession.record_reported(id.clone());
        }
        self.wake();
        ctx.emit(Event::MemberJoined { member: from.clone() });
        self.schedule_proposal(ctx.now);
        self.request_clearing(ctx);
        self.apply_renewal(ctx, id, renew);
    }

    /// Adopts the slots, keys and exclusions that a new session holds.
    fn adopt(&mut self, id: &MemberId, session: SessionId, holding: &Holding) {
        for held in &holding.slots {
            self.adopt_slot(id, session, held);
        }
        for held in &holding.keys {
            self.adopt_key(id, session, held);
        }
        // An excluded key without an entry in the plan was about to be returned to its slot.
        for key_hash in &holding.excluded {
            self.slot_table.keys.entry(*key_hash).or_insert_with(KeyRow::unknown);
        }
        if let Some(row) = self.members.rows.get_mut(id) {
            row.excluded = holding.excluded.iter().copied().collect();
        }
    }

    /// Returns whether a session claims a slot or key that is vacant or has a newer grant. Its
    /// renewal was delayed then, and the session has ended meanwhile.
    fn is_outdated(&self, holding: &Holding) -> bool {
        let is_superseded = |holder: &Holder, token: Token| match holder {
            Holder::Unknown => false,
            Holder::Vacant { .. } => true,
            Holder::Member(it) => it.token >= token,
        };
        let slots = holding.slots.iter().any(|it| {
            let row = self.slot_table.slots.get(usize::from(it.slot.0));
            row.is_none_or(|row| is_superseded(&row.holder, it.token))
        });
        let keys = holding.keys.iter().any(|it| match self.slot_table.keys.get(&it.key_hash) {
            None => false,
            Some(row) => match &row.holder {
                KeyHolder::Slot => true,
                KeyHolder::LeavingSlot(grant) => grant.token >= it.token,
                KeyHolder::Entry(holder) => is_superseded(holder, it.token),
            },
        });
        slots || keys
    }

    /// Records a session as the holder of a slot that it has reported to hold.
    fn adopt_slot(&mut self, id: &MemberId, session: SessionId, held: &HeldSlot) {
        let version = self.bump_slot_route_version();
        let Some(row) = self.slot_table.row_mut(held.slot) else { return };
        let (member, token, closing) = (id.clone(), held.token, held.closing);
        row.holder = Holder::Member(Grant { member, session, token, closing });
        row.last_token = row.last_token.max(held.token);
        row.changed_version = version;
    }

    /// Records a session as the holder of a hot key that it has reported to hold.
    fn adopt_key(&mut self, id: &MemberId, session: SessionId, held: &HeldKey) {
        let version = self.bump_route_version();
        let (member, token, closing) = (id.clone(), held.token, held.closing);
        let grant = Grant { member, session, token, closing };
        let row = self.slot_table.keys.entry(held.key_hash).or_insert_with(KeyRow::unknown);
        row.holder = KeyHolder::Entry(Holder::Member(grant));
        row.last_token = row.last_token.max(held.token);
        row.changed_version = version;
    }

    /// Applies a renewal of a member's current session: its state, load and reports.
    fn apply_renewal(&mut self, ctx: &mut Ctx<'_>, id: MemberId, renew: &Renew) {
        let Some(row) = self.members.rows.get_mut(&id) else { return };
        let (reports, changed) = row.apply_renewal(renew);
        let capacity = renew.capacity.as_ref().filter(|_| ctx.limits().weighs_capacity);
        if capacity.is_some_and(|it| row.speed.record(it)) {
            ctx.emit(Event::CapacityOutOfRange { member: row.instance.clone() });
        }
        self.config = self.config.max(renew.config);
        if let Some(load) = &renew.load {
            match ctx.config.ordered {
                true => self.apply_load_report(
                    &id,
                    &load.clone().attribute_keys_to_slots(ctx.config.slot_count),
                ),
                false => self.apply_load_report(&id, load),
            }
        }
        if changed || !reports.is_empty() {
            self.wake();
        }
        for report in reports {
            self.handle_report(ctx, &id, renew.session, report);
        }
        if changed {
            self.mark_member_changed(&id);
            self.schedule_proposal(ctx.now);
        }
    }

    /// Handles a report of a member about a command that it has carried out.
    fn handle_report(
        &mut self,
        ctx: &mut Ctx<'_>,
        id: &MemberId,
        session: SessionId,
        report: Report,
    ) {
        match report {
            Report::Prepared { slot, token } => {
                let Some(row) = self.slot_table.row_mut(slot) else { return };
                let Some(handover) = &row.handover else { return };
                let is_preparing = matches!(handover.step, HandoverStep::Preparing { .. });
                if is_preparing && handover.to == *id && handover.token == token {
                    self.close_for_handover(ctx, slot);
                }
            }
            Report::Closed { slot, token } => {
                let new_holder = self.holder_when_closed(token);
                let Some(row) = self.slot_table.row_mut(slot) else { return };
                if row.holder.is_held_by(id, session)
                    && row.holder.grant().is_some_and(|it| it.token == token && it.closing)
                {
                    row.holder = new_holder;
                    self.remove_exclusions(id, slot);
                    self.released_slots.push(slot);
                }
            }
            Report::Cleared { token } => self.handle_cleared(ctx.now, id, token),
            Report::KeyClosed { key_hash, token } => {
                let new_holder = self.holder_when_closed(token);
                let Some(row) = self.slot_table.keys.get_mut(&key_hash) else { return };
                let grant = match &row.holder {
                    KeyHolder::LeavingSlot(it) | KeyHolder::Entry(Holder::Member(it)) => it,
                    KeyHolder::Slot | KeyHolder::Entry(_) => return,
                };
                let is_closing = grant.closing && grant.token == token;
                if is_closing && grant.member == *id && grant.session == session {
                    row.holder = KeyHolder::Entry(new_holder);
                    if let Some(member) = self.members.rows.get_mut(id) {
                        member.excluded.insert(key_hash);
                    }
                }
            }
        }
    }

    /// Returns the holder of a slot or key whose grant with this token has been closed. While
    /// leases of earlier terms may be in force, a grant of such a term leaves it unknown: an
    /// earlier coordinator may have seen the adopted session lapse, and may have granted its slots
    /// to other members.
    fn holder_when_closed(&self, token: Token) -> Holder {
        match token.term == self.term || self.succession.is_past_earlier_leases() {
            true => Holder::Vacant { lapsed_at: None },
            false => Holder::Unknown,
        }
    }

    /// Removes a member's exclusions of keys from a slot that it has closed.
    fn remove_exclusions(&mut self, id: &MemberId, slot: Slot) {
        let slot_count = self.slot_table.slot_count;
        if let Some(member) = self.members.rows.get_mut(id) {
            member.excluded.retain(|it| slot_count.slot_of(*it) != slot);
        }
    }

    /// Ends the sessions whose leases have ended, and their grants with them.
    pub(super) fn expire(&mut self, ctx: &mut Ctx<'_>) {
        for (id, session, row) in self.members.expire(ctx.now) {
            // While leases of earlier terms may be in force, an earlier coordinator may have seen
            // an adopted session lapse, and may have granted its slots to other members.
            let (past_earlier_leases, term) = (self.succession.is_past_earlier_leases(), self.term);
            let ended =
                self.slot_table.end_session(&id, session, |grant| {
                    match past_earlier_leases || grant.token.term == term {
                        true => Holder::lapsed(ctx.now),
                        false => Holder::Unknown,
                    }
                });
            if let Some(row) = row {
                let version = self.bump_route_version();
                self.members.release_number(&row, version);
                ctx.emit(Event::MemberLost { member: row.instance });
            }
            if ended > 0 {
                self.bump_route_version();
                self.confirmation.request_confirmation(ctx.now);
            }
            self.wake();
            self.schedule_proposal(ctx.now);
        }
    }
}
