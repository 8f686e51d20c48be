//! The coordinator's table of slots and of hot keys: who holds them, as far as it is known.

use std::collections::BTreeMap;

use model::{Instance, KeyHash, Slot, SlotCount, Timestamp, Token};

use crate::{
    MoveReason, SessionId,
    ctx::MemberId,
    rules::{self, Rule},
    work,
};

use super::runs::EarlierRuns;

/// A grant that may live.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Grant {
    pub(crate) member: MemberId,
    pub(crate) session: SessionId,
    pub(crate) token: Token,
    /// The member has been told to give it up, or said that it does.
    pub(crate) closing: bool,
}

/// Who holds a slot or the entry of a hot key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Holder {
    /// Some member of an earlier term may hold it.
    Unknown,
    /// No grant of it lives. Where that follows from time alone, `lapsed_at` says since when: a
    /// later term may have adopted and renewed the session before, so it may be granted anew only
    /// on proof, asked for after that time, that there is no later term.
    Vacant {
        lapsed_at: Option<Timestamp>,
    },
    Member(Grant),
}

impl Holder {
    pub(crate) fn grant(&self) -> Option<&Grant> {
        match self {
            Holder::Member(it) => Some(it),
            Holder::Unknown | Holder::Vacant { .. } => None,
        }
    }

    pub(crate) fn lapsed(now: Timestamp) -> Holder {
        Holder::Vacant { lapsed_at: Some(now) }
    }

    /// Whether it may be granted, on proof asked for at `proved_at`.
    pub(crate) fn is_free(&self, proved_at: Timestamp) -> bool {
        let proved =
            |it: Timestamp| it <= proved_at || !rules::is_enforced(Rule::ProveTermAfterLapse);
        matches!(self, Holder::Vacant { lapsed_at } if lapsed_at.is_none_or(proved))
    }

    pub(crate) fn is_held_by(&self, member: &MemberId, session: SessionId) -> bool {
        self.grant().is_some_and(|it| it.member == *member && it.session == session)
    }
}

/// How far a planned handover has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HandoverStep {
    /// The new owner warms up; the old one still serves.
    Preparing { since: Timestamp },
    /// The old owner finishes what is in flight.
    Closing,
}

/// A planned handover of a slot.
#[derive(Debug, Clone)]
pub(crate) struct Handover {
    pub(crate) to: MemberId,
    /// The token for the new owner.
    pub(crate) token: Token,
    pub(crate) step: HandoverStep,
    pub(crate) reason: MoveReason,
}

#[derive(Debug)]
pub(crate) struct SlotRow {
    pub(crate) holder: Holder,
    pub(crate) handover: Option<Handover>,
    /// What keeps it from being granted to others, whoever holds it now.
    pub(crate) runs: EarlierRuns,
    /// The highest token ever granted for it, as far as it is known.
    pub(crate) last_token: Token,
    /// None until it is first reported.
    pub(crate) load_us_per_s: Option<f64>,
    pub(crate) moved_at: Option<Timestamp>,
    /// Who is named for it by the plan in force, in order.
    pub(crate) candidates: Vec<MemberId>,
    /// The route version in which the owner changed last.
    pub(crate) changed_version: u64,
}

/// Whether a hot key is served by the owner of its slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum KeyHolder {
    /// Whoever holds the slot serves the key.
    Slot,
    /// The slot's owner is giving the key up; the grant is that of the slot.
    LeavingSlot(Grant),
    Entry(Holder),
}

impl KeyHolder {
    pub(crate) fn grant(&self) -> Option<&Grant> {
        match self {
            KeyHolder::Slot => None,
            KeyHolder::LeavingSlot(it) => Some(it),
            KeyHolder::Entry(it) => it.grant(),
        }
    }
}

#[derive(Debug)]
pub(crate) struct KeyRow {
    pub(crate) holder: KeyHolder,
    pub(crate) runs: EarlierRuns,
    pub(crate) last_token: Token,
    pub(crate) changed_version: u64,
}

/// All slots and hot keys of the group.
#[derive(Debug)]
pub(crate) struct SlotTable {
    pub(crate) slot_count: SlotCount,
    pub(crate) slots: Vec<SlotRow>,
    pub(crate) keys: BTreeMap<KeyHash, KeyRow>,
}

impl SlotTable {
    /// Each row's change has a route version of its own, from the one above `base`.
    pub(crate) fn new(slot_count: SlotCount, holder: &Holder, base: u64) -> SlotTable {
        let row = |slot: Slot| SlotRow {
            holder: holder.clone(),
            handover: None,
            runs: EarlierRuns::default(),
            last_token: Token::default(),
            load_us_per_s: None,
            moved_at: None,
            candidates: Vec::new(),
            changed_version: base + 1 + u64::from(slot.0),
        };
        let slots = slot_count.iter().map(row).collect();
        SlotTable { slot_count, slots, keys: BTreeMap::new() }
    }

    pub(crate) fn row(&mut self, slot: Slot) -> Option<&mut SlotRow> {
        self.slots.get_mut(usize::from(slot.0))
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (Slot, &SlotRow)> {
        self.slot_count.iter().zip(&self.slots)
    }

    pub(crate) fn slot_of(&self, key_hash: KeyHash) -> Slot {
        self.slot_count.slot_of(key_hash)
    }

    pub(crate) fn keys_of(&self, slot: Slot) -> impl Iterator<Item = (KeyHash, &KeyRow)> {
        let slot_count = self.slot_count;
        let keys = self.keys.iter().map(|(key_hash, row)| (*key_hash, row));
        keys.filter(move |it| slot_count.slot_of(it.0) == slot)
    }

    /// A session's lease has ended, and with it all its grants; each comes to stand as `then` says.
    /// Gives the number of them.
    pub(crate) fn end_session(
        &mut self,
        member: &MemberId,
        session: SessionId,
        then: impl Fn(&Grant) -> Holder,
    ) -> usize {
        let of = |it: &Grant| it.member == *member && it.session == session;
        work::add_entries(self.slots.len());
        let mut ended = 0;
        for row in &mut self.slots {
            let Some(grant) = row.holder.grant().filter(|it| of(it)) else { continue };
            row.holder = then(grant);
            ended += 1;
        }
        for row in self.keys.values_mut() {
            let Some(grant) = row.holder.grant().filter(|it| of(it)) else { continue };
            row.holder = KeyHolder::Entry(then(grant));
            ended += 1;
        }
        ended
    }

    /// A session's grants end before its lease does, which is at `until`.
    pub(crate) fn retain_runs(
        &mut self,
        now: Timestamp,
        member: &Instance,
        session: SessionId,
        until: Timestamp,
    ) {
        let id = MemberId::from(member);
        let of = |it: Option<&Grant>| it.is_some_and(|it| it.member == id && it.session == session);
        work::add_entries(self.slots.len());
        for row in self.slots.iter_mut().filter(|it| of(it.holder.grant())) {
            row.runs.add(now, member, until);
        }
        for row in self.keys.values_mut().filter(|it| of(it.holder.grant())) {
            row.runs.add(now, member, until);
        }
    }

    pub(crate) fn end_runs_of_earlier_terms(&mut self) {
        work::add_entries(self.slots.len() / 4);
        self.slots.iter_mut().for_each(|it| it.runs.end_runs_of_earlier_terms());
        self.keys.values_mut().for_each(|it| it.runs.end_runs_of_earlier_terms());
    }

    /// Whether everything is granted, and nothing is on its way.
    pub(crate) fn is_stable(&self) -> bool {
        let held = |it: &Holder| it.grant().is_some_and(|it| !it.closing);
        work::add_entries(self.slots.len() / 4);
        let slots = self.slots.iter().all(|row| row.handover.is_none() && held(&row.holder));
        let at_rest = |it: &KeyHolder| match it {
            KeyHolder::Slot => true,
            KeyHolder::LeavingSlot(_) => false,
            KeyHolder::Entry(it) => held(it),
        };
        slots && self.keys.values().all(|row| at_rest(&row.holder))
    }

    /// Whether a session holds anything or is about to.
    pub(crate) fn involves(&self, member: &MemberId) -> bool {
        let of = |it: Option<&Grant>| it.is_some_and(|it| it.member == *member);
        work::add_entries(self.slots.len());
        let slots = self.slots.iter().any(|row| {
            of(row.holder.grant()) || row.handover.as_ref().is_some_and(|it| it.to == *member)
        });
        slots || self.keys.values().any(|row| of(row.holder.grant()))
    }
}
