//! Hot keys with an entry in the plan, which may be granted apart from their slots.

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
    /// Creates the row of a key that a member may hold by a grant of an earlier term.
    pub(super) fn unknown() -> KeyRow {
        KeyRow {
            holder: KeyHolder::Entry(Holder::Unknown),
            runs: EarlierRuns::default(),
            last_token: Token::default(),
            changed_version: 0,
        }
    }

    /// Returns whether the key may be granted apart from its slot, given proof requested at
    /// `proved_at` that no later term exists.
    fn is_free(&self, proved_at: Timestamp) -> bool {
        matches!(&self.holder, KeyHolder::Entry(it) if it.is_free(proved_at))
    }

    /// Creates the row of a key that the holder of its slot serves.
    fn of_slot() -> KeyRow {
        KeyRow { holder: KeyHolder::Slot, ..KeyRow::unknown() }
    }
}

/// The next step of a hot key towards its planned owner.
enum KeyStep {
    /// The holder of the slot, by this grant, closes the key for its handover to this member.
    LeaveSlot(Grant, MemberId),
    /// The holder of the key, by this grant, closes it, for its handover to this member if one is
    /// given.
    Close(Grant, Option<MemberId>),
    /// The key is granted to this member.
    Grant(MemberId),
    /// The key is served with its slot again, whose holder, if it has one, holds it by this grant.
    Return(Option<Grant>),
}

impl Coordination {
    /// Updates the rows of hot keys after a change of the plan: adds one for each planned key, and
    /// removes those of keys that are no longer planned and that the holders of their slots serve.
    pub(super) fn sync_planned_keys(&mut self) {
        let Some(plan) = self.plan.acked() else { return };
        let is_unknown = !self.succession.is_settled();
        for it in &plan.hot_keys {
            let new_row = || if is_unknown { KeyRow::unknown() } else { KeyRow::of_slot() };
            self.slot_table.keys.entry(it.key_hash).or_insert_with(new_row);
        }
        let is_planned = |key: &KeyHash| plan.hot_keys.iter().any(|it| it.key_hash == *key);
        self.slot_table.keys.retain(|key, row| row.holder != KeyHolder::Slot || is_planned(key));
    }

    /// Resolves hot keys of earlier terms that none of their candidates can still hold. Such a key
    /// is served with its slot, unless the holder of the slot excludes it.
    pub(super) fn resolve_unknown_keys(&mut self, ctx: &Ctx<'_>) {
        let mut resolved = Vec::new();
        for (key_hash, row) in &self.slot_table.keys {
            let candidates = self.plan.key_candidates(*key_hash);
            let slot = self.slot_table.slot_of(*key_hash);
            let slot = &self.slot_table.slots[usize::from(slot.0)].holder;
            if row.holder != KeyHolder::Entry(Holder::Unknown)
                || *slot == Holder::Unknown
                || !self.succession.has_no_holder_among(ctx.now, &self.confirmation, candidates)
            {
                continue;
            }
            let owner = slot.grant().and_then(|it| self.members.rows.get(&it.member));
            let is_excluded = owner.is_some_and(|it| it.excluded.contains(key_hash));
            let mut runs = row.runs.clone();
            // A holder of the slot that does not exclude the key already serves it. Only other keys
            // have to wait for the runs of earlier terms.
            if is_excluded || owner.is_none() {
                runs.add_all(&self.runs_of_earlier_terms(ctx, *key_hash));
            }
            let is_apart = is_excluded || (owner.is_none() && runs.any(ctx.now));
            resolved.push((*key_hash, is_apart, runs));
        }
        for (key_hash, is_apart, runs) in resolved {
            let Some(row) = self.slot_table.keys.get_mut(&key_hash) else { continue };
            if is_apart {
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

    /// Returns the runs of a key that may continue under grants of earlier terms, of the key or of
    /// its slot.
    fn runs_of_earlier_terms(&self, ctx: &Ctx<'_>, key_hash: KeyHash) -> EarlierRuns {
        if ctx.limits().coordinator_lease != CoordinatorLease::Full
            || self.succession.is_past_earlier_leases()
        {
            return EarlierRuns::default();
        }
        let by_slot = self.plan.slot_candidate_instances(self.slot_table.slot_of(key_hash));
        let instances = self.plan.key_candidate_instances(key_hash).chain(by_slot);
        let may_run = |it: &&Instance| !self.succession.is_free_of_runs(&MemberId::from(*it));
        EarlierRuns::of_earlier_terms(instances.filter(may_run), |it| self.succession.runs_end(it))
    }

    /// Takes the next step of each hot key towards its planned owner.
    pub(super) fn advance_keys(&mut self, ctx: &mut Ctx<'_>) {
        if !self.may_renew(ctx) || self.plan.acked().is_none() || self.slot_table.keys.is_empty() {
            return;
        }
        let keys: Vec<KeyHash> = self.slot_table.keys.keys().copied().collect();
        for key_hash in keys {
            match self.next_key_step(ctx.now, key_hash) {
                Some(KeyStep::LeaveSlot(grant, to)) => {
                    self.close_key(key_hash, &grant, Some(&to), true)
                }
                Some(KeyStep::Close(grant, to)) => {
                    self.close_key(key_hash, &grant, to.as_ref(), false)
                }
                Some(KeyStep::Grant(to)) => self.grant_key(key_hash, to),
                Some(KeyStep::Return(grant)) => self.return_key(key_hash, grant),
                None => {}
            }
        }
    }

    /// Returns the step that a hot key can take now towards its planned owner, if there is one.
    fn next_key_step(&self, now: Timestamp, key_hash: KeyHash) -> Option<KeyStep> {
        let slot = &self.slot_table.slots[usize::from(self.slot_table.slot_of(key_hash).0)];
        let planned = self.plan.planned_key_owner(key_hash).cloned();
        let may_own =
            |it: &MemberId| self.members.is_eligible(it) && self.plan.lists_for_key(key_hash, it);
        let runs = &self.slot_table.keys.get(&key_hash)?.runs;
        // Returns whether no run of the key may continue at another upstream than that of this
        // member.
        let may_take = |it: &MemberId| {
            let row = self.members.rows.get(it);
            row.is_some_and(|it| !runs.any_elsewhere(now, &it.instance))
        };
        match &self.slot_table.keys.get(&key_hash)?.holder {
            KeyHolder::Slot => {
                let to = planned.filter(may_own)?;
                let grant = slot.holder.grant().filter(|it| !it.closing && it.member != to)?;
                let can_leave = slot.handover.is_none() && self.is_settled() && !slot.runs.any(now);
                let can_leave = can_leave && self.members.is_current(grant);
                can_leave.then(|| KeyStep::LeaveSlot(grant.clone(), to))
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
                    Some(it) if may_own(&it) => Some(it),
                    Some(_) => return must_release.then(|| KeyStep::Close(grant.clone(), None)),
                    None if self.plan.is_idle() => None,
                    None => return None,
                };
                let stays_planned = to.is_none() && self.plan.planned_key_owner(key_hash).is_some();
                (!stays_planned || must_release).then(|| KeyStep::Close(grant.clone(), to))
            }
            KeyHolder::Entry(holder) if holder.is_free(self.confirmation.proved_at()) => {
                let candidates =
                    planned.iter().flat_map(|_| self.plan.key_candidates(key_hash)).cloned();
                let to = planned.clone().into_iter().chain(candidates);
                let to = to.filter(|it| may_take(it)).find(may_own);
                match (to, &slot.holder) {
                    (_, Holder::Unknown) => None,
                    (Some(to), holder) if holder.grant().is_none_or(|it| it.member != to) => {
                        Some(KeyStep::Grant(to))
                    }
                    (_, Holder::Vacant { .. }) => (!runs.any(now)).then_some(KeyStep::Return(None)),
                    (_, Holder::Member(it)) if it.closing || slot.handover.is_some() => None,
                    (_, Holder::Member(it)) if !self.members.is_current(it) => None,
                    (_, Holder::Member(it)) if !may_take(&it.member) => None,
                    (_, Holder::Member(it)) => Some(KeyStep::Return(Some(it.clone()))),
                }
            }
            KeyHolder::LeavingSlot(_) | KeyHolder::Entry(_) => None,
        }
    }

    /// Commands the holder of a grant to close a hot key, for a handover to `to` if that is given.
    /// `of_slot` is whether the grant is that of the key's slot.
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

    /// Grants a free hot key to a member, apart from its slot.
    fn grant_key(&mut self, key_hash: KeyHash, to: MemberId) {
        let token = self.next_token();
        let version = self.bump_route_version();
        let Some(row) = self.slot_table.keys.get_mut(&key_hash) else { return };
        let Some(member) = self.members.rows.get_mut(&to) else { return };
        assert!(
            row.is_free(self.confirmation.proved_at()),
            "key granted while its holder is {:?}",
            row.holder
        );
        assert!(
            token > row.last_token,
            "a key is granted with token {token} after token {}",
            row.last_token
        );
        let session = member.session;
        member.enqueue(Command::AdmitKey { key_hash, token });
        let grant = Grant { member: to, session, token, closing: false };
        row.holder = KeyHolder::Entry(Holder::Member(grant));
        row.last_token = token;
        row.changed_version = version;
    }

    /// Returns a hot key to its slot. The slot is granted to its holder again with a new token, so
    /// that the key's token rises too.
    fn return_key(&mut self, key_hash: KeyHash, holder: Option<Grant>) {
        let token = self.next_token();
        let version = self.bump_slot_route_version();
        let slot = self.slot_table.slot_of(key_hash);
        let Some(row) = self.slot_table.keys.get_mut(&key_hash) else { return };
        assert!(
            row.is_free(self.confirmation.proved_at()),
            "key returned while its holder is {:?}",
            row.holder
        );
        row.holder = KeyHolder::Slot;
        row.changed_version = version;
        let runs = std::mem::take(&mut row.runs);
        // The slot's next token must be above all tokens of the key's grants.
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
