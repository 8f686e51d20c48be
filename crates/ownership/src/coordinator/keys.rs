//! Hot keys with an owner of their own, apart from that of their slot.

use model::{Instance, KeyHash, Timestamp, Token};

use crate::{
    Command, CoordinatorLease, UpstreamState,
    ctx::{Ctx, MemberId},
};

use super::{
    Coordination,
    runs::EarlierRuns,
    slots::{Grant, Holder, KeyHolder, KeyRow},
};

impl KeyRow {
    /// A key of an earlier term's plan.
    pub(super) fn unknown() -> KeyRow {
        KeyRow {
            holder: KeyHolder::Entry(Holder::Unknown),
            runs: EarlierRuns::default(),
            last_token: Token::default(),
            changed_version: 0,
        }
    }

    fn is_free(&self, proved_at: Timestamp) -> bool {
        matches!(&self.holder, KeyHolder::Entry(it) if it.is_free(proved_at))
    }

    fn of_slot() -> KeyRow {
        KeyRow { holder: KeyHolder::Slot, ..KeyRow::unknown() }
    }
}

enum Next {
    /// The slot's owner gives the key up to this member.
    LeaveSlot(Grant, MemberId),
    /// The key's own owner gives it up.
    Close(Grant, Option<MemberId>),
    Grant(MemberId),
    /// The slot's owner serves it again.
    Return(Option<Grant>),
}

impl Coordination {
    /// Rows follow the plan in force: each of its hot keys has one.
    pub(super) fn sync_planned_keys(&mut self) {
        let Some(plan) = self.plan.acked() else { return };
        let unknown = !self.succession.is_settled();
        for it in &plan.hot_keys {
            let new = || if unknown { KeyRow::unknown() } else { KeyRow::of_slot() };
            self.slot_table.keys.entry(it.key_hash).or_insert_with(new);
        }
        let planned = |key: &KeyHash| plan.hot_keys.iter().any(|it| it.key_hash == *key);
        self.slot_table.keys.retain(|key, row| row.holder != KeyHolder::Slot || planned(key));
    }

    /// A key that nobody can hold by an entry belongs to its slot, unless that keeps it out.
    pub(super) fn resolve_unknown_keys(&mut self, ctx: &Ctx<'_>) {
        let mut found = Vec::new();
        for (key_hash, row) in &self.slot_table.keys {
            let names = self.plan.key_candidates(*key_hash);
            let slot = self.slot_table.slot_of(*key_hash);
            let slot = &self.slot_table.slots[usize::from(slot.0)].holder;
            if row.holder != KeyHolder::Entry(Holder::Unknown)
                || *slot == Holder::Unknown
                || !self.succession.has_no_holder_among(ctx.now, &self.confirmation, names)
            {
                continue;
            }
            let owner = slot.grant().and_then(|it| self.members.rows.get(&it.member));
            let excluded = owner.is_some_and(|it| it.excluded.contains(key_hash));
            let mut runs = row.runs.clone();
            // Whoever holds the slot and doesn't keep the key out serves it.
            if excluded || owner.is_none() {
                runs.add_all(&self.runs_of_earlier_terms(ctx, *key_hash));
            }
            let apart = excluded || (owner.is_none() && runs.any(ctx.now));
            found.push((*key_hash, apart, runs));
        }
        for (key_hash, apart, runs) in found {
            let Some(row) = self.slot_table.keys.get_mut(&key_hash) else { continue };
            if apart {
                row.runs = runs;
                row.holder = KeyHolder::Entry(Holder::lapsed(ctx.now));
                continue;
            }
            row.runs = EarlierRuns::default();
            row.holder = KeyHolder::Slot;
            let slot = self.slot_table.slot_of(key_hash);
            self.slot_table.slots[usize::from(slot.0)].runs.add_all(&runs);
        }
    }

    /// Where runs of a key may go on that some earlier term has granted, with its slot or by an
    /// entry.
    fn runs_of_earlier_terms(&self, ctx: &Ctx<'_>, key_hash: KeyHash) -> EarlierRuns {
        if ctx.limits().coordinator_lease != CoordinatorLease::Full
            || self.succession.is_past_earlier_leases()
        {
            return EarlierRuns::default();
        }
        let by_slot = self.plan.slot_candidate_instances(self.slot_table.slot_of(key_hash));
        let lives = self.plan.key_candidate_instances(key_hash).chain(by_slot);
        let lost = |it: &&Instance| !self.succession.is_free_of_runs(&MemberId::from(*it));
        EarlierRuns::of_earlier_terms(lives.filter(lost), |it| self.succession.runs_end(it))
    }

    /// Brings each hot key nearer to the owner that the plan gives it.
    pub(super) fn advance_keys(&mut self, ctx: &mut Ctx<'_>) {
        if !self.may_renew(ctx) || self.plan.acked().is_none() || self.slot_table.keys.is_empty() {
            return;
        }
        let keys: Vec<KeyHash> = self.slot_table.keys.keys().copied().collect();
        for key_hash in keys {
            match self.next_key_action(ctx.now, key_hash) {
                Some(Next::LeaveSlot(grant, to)) => {
                    self.close_key(key_hash, &grant, Some(&to), true)
                }
                Some(Next::Close(grant, to)) => {
                    self.close_key(key_hash, &grant, to.as_ref(), false)
                }
                Some(Next::Grant(to)) => self.grant_key(key_hash, to),
                Some(Next::Return(grant)) => self.return_key(key_hash, grant),
                None => {}
            }
        }
    }

    fn next_key_action(&self, now: Timestamp, key_hash: KeyHash) -> Option<Next> {
        let slot = &self.slot_table.slots[usize::from(self.slot_table.slot_of(key_hash).0)];
        let planned = self.plan.planned_key_owner(key_hash).cloned();
        let able =
            |it: &MemberId| self.members.is_eligible(it) && self.plan.lists_for_key(key_hash, it);
        let runs = &self.slot_table.keys.get(&key_hash)?.runs;
        // Whether no run of the key may go on beside others than this member.
        let may_take = |it: &MemberId| {
            let row = self.members.rows.get(it);
            row.is_some_and(|it| !runs.any_elsewhere(now, &it.instance))
        };
        match &self.slot_table.keys.get(&key_hash)?.holder {
            KeyHolder::Slot => {
                let to = planned.filter(able)?;
                let grant = slot.holder.grant().filter(|it| !it.closing && it.member != to)?;
                let still = slot.handover.is_none() && self.is_settled() && !slot.runs.any(now);
                let still = still && self.members.is_current(grant);
                still.then(|| Next::LeaveSlot(grant.clone(), to))
            }
            KeyHolder::Entry(Holder::Member(grant))
                if !grant.closing && self.members.is_current(grant) =>
            {
                let row = self.members.rows.get(&grant.member);
                let must_release = row.is_some_and(|it| it.must_release());
                let serves = row.is_some_and(|it| it.upstream != UpstreamState::Lost);
                if runs.any(now) && serves {
                    return None;
                }
                let to = match planned {
                    Some(it) if it == grant.member => None,
                    Some(it) if able(&it) => Some(it),
                    Some(_) => return must_release.then(|| Next::Close(grant.clone(), None)),
                    None if self.plan.is_idle() => None,
                    None => return None,
                };
                let stays = to.is_none() && self.plan.planned_key_owner(key_hash).is_some();
                (!stays || must_release).then(|| Next::Close(grant.clone(), to))
            }
            KeyHolder::Entry(holder) if holder.is_free(self.confirmation.proved_at()) => {
                let names =
                    planned.iter().flat_map(|_| self.plan.key_candidates(key_hash)).cloned();
                let to = planned.clone().into_iter().chain(names);
                let to = to.filter(|it| may_take(it)).find(able);
                match (to, &slot.holder) {
                    (_, Holder::Unknown) => None,
                    (Some(to), holder) if holder.grant().is_none_or(|it| it.member != to) => {
                        Some(Next::Grant(to))
                    }
                    (_, Holder::Vacant { .. }) => (!runs.any(now)).then_some(Next::Return(None)),
                    (_, Holder::Member(it)) if it.closing || slot.handover.is_some() => None,
                    (_, Holder::Member(it)) if !self.members.is_current(it) => None,
                    (_, Holder::Member(it)) if !may_take(&it.member) => None,
                    (_, Holder::Member(it)) => Some(Next::Return(Some(it.clone()))),
                }
            }
            KeyHolder::LeavingSlot(_) | KeyHolder::Entry(_) => None,
        }
    }

    fn close_key(
        &mut self,
        key_hash: KeyHash,
        grant: &Grant,
        to: Option<&MemberId>,
        of_slot: bool,
    ) {
        let to = to.and_then(|it| self.members.rows.get(it)).map(|it| it.instance.clone());
        let grant = Grant { closing: true, ..grant.clone() };
        if let Some(member) = self.members.rows.get_mut(&grant.member) {
            member.enqueue(Command::CloseKey { key_hash, token: grant.token, to });
        }
        let Some(row) = self.slot_table.keys.get_mut(&key_hash) else { return };
        row.holder = match of_slot {
            true => KeyHolder::LeavingSlot(grant),
            false => KeyHolder::Entry(Holder::Member(grant)),
        };
    }

    fn grant_key(&mut self, key_hash: KeyHash, to: MemberId) {
        let token = self.next_token();
        let version = self.bump_route_version();
        let Some(row) = self.slot_table.keys.get_mut(&key_hash) else { return };
        let Some(member) = self.members.rows.get_mut(&to) else { return };
        assert!(row.is_free(self.confirmation.proved_at()), "key granted while {:?}", row.holder);
        assert!(token > row.last_token, "token {token} of a key after {}", row.last_token);
        let session = member.session;
        member.enqueue(Command::AdmitKey { key_hash, token });
        let grant = Grant { member: to, session, token, closing: false };
        row.holder = KeyHolder::Entry(Holder::Member(grant));
        row.last_token = token;
        row.changed_version = version;
    }

    /// The slot is granted anew to whoever holds it, so that the key's token rises too.
    fn return_key(&mut self, key_hash: KeyHash, holder: Option<Grant>) {
        let token = self.next_token();
        let version = self.bump_slot_route_version();
        let slot = self.slot_table.slot_of(key_hash);
        let Some(row) = self.slot_table.keys.get_mut(&key_hash) else { return };
        assert!(row.is_free(self.confirmation.proved_at()), "key returned while {:?}", row.holder);
        row.holder = KeyHolder::Slot;
        row.changed_version = version;
        let runs = std::mem::take(&mut row.runs);
        // The slot's next token is above all that the key was ever served under.
        let slot_row = &mut self.slot_table.slots[usize::from(slot.0)];
        slot_row.last_token = slot_row.last_token.max(row.last_token);
        slot_row.runs.add_all(&runs);
        let Some(holder) = holder else { return };
        let Some(member) = self.members.rows.get_mut(&holder.member) else { return };
        member.enqueue(Command::Admit { slot, token });
        member.excluded.remove(&key_hash);
        member.enqueue(Command::RemoveKey { key_hash });
        let row = &mut self.slot_table.slots[usize::from(slot.0)];
        row.holder = Holder::Member(Grant { token, ..holder });
        row.last_token = token;
        row.changed_version = version;
    }
}
