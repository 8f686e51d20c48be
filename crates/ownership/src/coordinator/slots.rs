//! The coordinator's table of slots and hot keys, with the grant of each.

use std::collections::BTreeMap;

use model::{Instance, KeyHash, Slot, SlotCount, Timestamp, Token};

use crate::{
    MoveReason, SessionId,
    ctx::MemberId,
    rules::{self, Rule},
    work,
};

use super::runs::EarlierRuns;

/// A grant of a slot or hot key to a session of a member, which may still be in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Grant {
    pub(crate) member: MemberId,
    pub(crate) session: SessionId,
    pub(crate) token: Token,
    /// Whether the member has been commanded to close it, or has reported that it is closing it.
    pub(crate) closing: bool,
}

/// The holder of a slot, or of a hot key with an entry of its own in the plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Holder {
    /// A member may hold it by a grant of an earlier term.
    Unknown,
    /// No grant of it is in force.
    Vacant {
        /// When the last lease over it ended, or `None` if its holder closed it or there was none.
        /// A later term may have adopted and renewed the session before its lease ended, so a new
        /// grant needs proof requested after this time that no later term exists.
        lapsed_at: Option<Timestamp>,
    },
    Member(Grant),
}

impl Holder {
    /// Returns the grant that is in force, if it is known.
    pub(crate) fn grant(&self) -> Option<&Grant> {
        match self {
            Holder::Member(it) => Some(it),
            Holder::Unknown | Holder::Vacant { .. } => None,
        }
    }

    /// Creates the holder of a slot or key whose last lease has ended.
    pub(crate) fn lapsed(now: Timestamp) -> Holder {
        Holder::Vacant { lapsed_at: Some(now) }
    }

    /// Returns whether it may be granted, given proof requested at `proved_at` that no later term
    /// exists.
    pub(crate) fn is_free(&self, proved_at: Timestamp) -> bool {
        let is_proved =
            |it: Timestamp| it <= proved_at || !rules::is_enforced(Rule::ProveTermAfterLapse);
        matches!(self, Holder::Vacant { lapsed_at } if lapsed_at.is_none_or(is_proved))
    }

    /// Returns whether a session holds it.
    pub(crate) fn is_held_by(&self, member: &MemberId, session: SessionId) -> bool {
        self.grant().is_some_and(|it| it.member == *member && it.session == session)
    }
}

/// The step that a planned handover has reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HandoverStep {
    /// The new owner prepares its upstream; the old owner still serves the slot.
    Preparing { since: Timestamp },
    /// The old owner admits no more requests and completes those in flight.
    Closing,
}

/// A planned handover of a slot to a new owner.
#[derive(Debug, Clone)]
pub(crate) struct Handover {
    pub(crate) to: MemberId,
    /// The token of the new owner's grant.
    pub(crate) token: Token,
    pub(crate) step: HandoverStep,
    pub(crate) reason: MoveReason,
}

/// The state of one slot.
#[derive(Debug)]
pub(crate) struct SlotRow {
    pub(crate) holder: Holder,
    pub(crate) handover: Option<Handover>,
    /// Runs under ended grants, during which the slot may not be granted to other instances.
    pub(crate) runs: EarlierRuns,
    /// The highest known token under which it was ever granted.
    pub(crate) last_token: Token,
    /// The smoothed load, as time at an upstream of speed 1; `None` until a member first reports it.
    pub(crate) load_us_per_s: Option<f64>,
    /// When the slot was last moved to even out the load.
    pub(crate) moved_at: Option<Timestamp>,
    /// The owner and the successors that the plan in force names for the slot, in this order.
    pub(crate) candidates: Vec<MemberId>,
    /// The route version of the last change of its owner or its announced successors.
    pub(crate) changed_version: u64,
}

/// The holder of a hot key: the holder of its slot, or one of its own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum KeyHolder {
    /// The holder of the slot serves the key.
    Slot,
    /// The holder of the slot is closing the key, under this grant of the slot.
    LeavingSlot(Grant),
    /// The key is granted apart from its slot.
    Entry(Holder),
}

impl KeyHolder {
    /// Returns the key's own grant, or that of its slot while the key is leaving it.
    pub(crate) fn grant(&self) -> Option<&Grant> {
        match self {
            KeyHolder::Slot => None,
            KeyHolder::LeavingSlot(it) => Some(it),
            KeyHolder::Entry(it) => it.grant(),
        }
    }
}

/// The state of one hot key.
#[derive(Debug)]
pub(crate) struct KeyRow {
    pub(crate) holder: KeyHolder,
    /// Runs under ended grants, during which the key may not be granted to other instances.
    pub(crate) runs: EarlierRuns,
    /// The highest known token under which it was granted apart from its slot.
    pub(crate) last_token: Token,
    /// The route version of the last change of its owner.
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
    /// Creates the table with one row for each slot. Each row gets a route version of its own,
    /// starting above `base_version`.
    pub(crate) fn new(slot_count: SlotCount, holder: &Holder, base_version: u64) -> SlotTable {
        let row = |slot: Slot| SlotRow {
            holder: holder.clone(),
            handover: None,
            runs: EarlierRuns::default(),
            last_token: Token::default(),
            load_us_per_s: None,
            moved_at: None,
            candidates: Vec::new(),
            changed_version: base_version + 1 + u64::from(slot.0),
        };
        let slots = slot_count.iter().map(row).collect();
        SlotTable { slot_count, slots, keys: BTreeMap::new() }
    }

    pub(crate) fn row_mut(&mut self, slot: Slot) -> Option<&mut SlotRow> {
        self.slots.get_mut(usize::from(slot.0))
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (Slot, &SlotRow)> {
        self.slot_count.iter().zip(&self.slots)
    }

    pub(crate) fn slot_of(&self, key_hash: KeyHash) -> Slot {
        self.slot_count.slot_of(key_hash)
    }

    /// Returns the hot keys in a slot.
    pub(crate) fn keys_of(&self, slot: Slot) -> impl Iterator<Item = (KeyHash, &KeyRow)> {
        let slot_count = self.slot_count;
        let keys = self.keys.iter().map(|(key_hash, row)| (*key_hash, row));
        keys.filter(move |it| slot_count.slot_of(it.0) == slot)
    }

    /// Ends all grants of a session whose lease has ended: the slots and keys get the holder that
    /// `new_holder` returns. Returns the number of grants ended.
    pub(crate) fn end_session(
        &mut self,
        member: &MemberId,
        session: SessionId,
        new_holder: impl Fn(&Grant) -> Holder,
    ) -> usize {
        let is_of_session = |it: &Grant| it.member == *member && it.session == session;
        work::add_entries(self.slots.len());
        let mut ended = 0;
        for row in &mut self.slots {
            let Some(grant) = row.holder.grant().filter(|it| is_of_session(it)) else { continue };
            row.holder = new_holder(grant);
            ended += 1;
        }
        for row in self.keys.values_mut() {
            let Some(grant) = row.holder.grant().filter(|it| is_of_session(it)) else { continue };
            row.holder = KeyHolder::Entry(new_holder(grant));
            ended += 1;
        }
        ended
    }

    /// Records that runs under a session's grants may continue until its lease ends at `until`. The
    /// grants themselves end now.
    pub(crate) fn retain_runs(
        &mut self,
        now: Timestamp,
        member: &Instance,
        session: SessionId,
        until: Timestamp,
    ) {
        let id = MemberId::from(member);
        let is_of_session =
            |it: Option<&Grant>| it.is_some_and(|it| it.member == id && it.session == session);
        work::add_entries(self.slots.len());
        for row in self.slots.iter_mut().filter(|it| is_of_session(it.holder.grant())) {
            row.runs.add(now, member, until);
        }
        for row in self.keys.values_mut().filter(|it| is_of_session(it.holder.grant())) {
            row.runs.add(now, member, until);
        }
    }

    /// Removes the runs of earlier terms, whose leases have ended.
    pub(crate) fn end_runs_of_earlier_terms(&mut self) {
        work::add_entries(self.slots.len() / 4);
        self.slots.iter_mut().for_each(|it| it.runs.end_runs_of_earlier_terms());
        self.keys.values_mut().for_each(|it| it.runs.end_runs_of_earlier_terms());
    }

    /// Returns whether everything is granted, and no handover or close is in progress.
    pub(crate) fn is_stable(&self) -> bool {
        let is_held = |it: &Holder| it.grant().is_some_and(|it| !it.closing);
        work::add_entries(self.slots.len() / 4);
        let are_slots_stable =
            self.slots.iter().all(|row| row.handover.is_none() && is_held(&row.holder));
        let is_key_stable = |it: &KeyHolder| match it {
            KeyHolder::Slot => true,
            KeyHolder::LeavingSlot(_) => false,
            KeyHolder::Entry(it) => is_held(it),
        };
        are_slots_stable && self.keys.values().all(|row| is_key_stable(&row.holder))
    }

    /// Returns whether a member holds anything, or is the new owner of a handover.
    pub(crate) fn involves(&self, member: &MemberId) -> bool {
        let is_of_member = |it: Option<&Grant>| it.is_some_and(|it| it.member == *member);
        work::add_entries(self.slots.len());
        let has_slot = self.slots.iter().any(|row| {
            is_of_member(row.holder.grant())
                || row.handover.as_ref().is_some_and(|it| it.to == *member)
        });
        has_slot || self.keys.values().any(|row| is_of_member(row.holder.grant()))
    }
}
