//! Copy of the group's table of owners, kept by each member.

use std::collections::BTreeMap;

use model::{Instance, KeyHash, Slot, Term, Token};

use crate::{MemberNumber, MemberStatus, MemberView, OwnerView, Routes, work};

#[derive(Debug, Clone)]
struct Owner {
    owner: Option<Instance>,
    token: Token,
    successors: Vec<Instance>,
}

/// Owners of slots and hot keys, and the members, as last received from the coordinator.
#[derive(Debug, Clone, Default)]
pub(crate) struct RouteTable {
    pub(crate) version: u64,
    members: BTreeMap<MemberNumber, MemberView>,
    slots: BTreeMap<Slot, Owner>,
    keys: BTreeMap<KeyHash, Owner>,
}

/// Returns the first route version of a term. Versions rise across rounds.
pub(crate) fn first_route_version(term: Term) -> u64 {
    term.round() << 32
}

impl RouteTable {
    /// Makes the coordinator of a new term send the whole table. Another term of the same round may have assigned the
    /// same versions to other changes.
    pub(crate) fn switch_term(&mut self, term: Term) {
        self.version = self.version.min(first_route_version(term).saturating_sub(1));
    }

    /// Applies changes, unless earlier ones are missing in this table. Changes since a version of an earlier term
    /// contain the whole table.
    pub(crate) fn apply(&mut self, term: Term, routes: &Routes) {
        let is_whole_table = routes.since < first_route_version(term);
        if routes.version <= self.version || (!is_whole_table && routes.since > self.version) {
            return;
        }
        if self.version < first_route_version(term) {
            self.keys.clear();
        }
        self.apply_members(is_whole_table, routes);
        let members = &self.members;
        let instance = |it: MemberNumber| members.get(&it).map(|it| it.instance.clone());
        for it in &routes.slots {
            work::add_entries(usize::from(it.last.0 - it.first.0) + 1 + it.successors.len());
            let owner = Owner {
                owner: it.owner.and_then(instance),
                token: it.token,
                successors: it.successors.iter().copied().filter_map(instance).collect(),
            };
            for slot in it.first.0..=it.last.0 {
                self.slots.insert(Slot(slot), owner.clone());
            }
        }
        for it in &routes.keys {
            let Some(owner) = it.owner.and_then(instance) else {
                self.keys.remove(&it.key_hash);
                continue;
            };
            let owner = Owner { owner: Some(owner), token: it.token, successors: Vec::new() };
            self.keys.insert(it.key_hash, owner);
        }
        self.version = routes.version;
    }

    fn apply_members(&mut self, is_whole_table: bool, routes: &Routes) {
        if is_whole_table {
            self.members.clear();
        }
        for number in &routes.removed {
            self.members.remove(number);
        }
        for it in &routes.joined {
            let MemberStatus { state, load_us_per_s, config } = it.status;
            let instance = it.instance.clone();
            let view = MemberView { instance, state, load_us_per_s, config };
            self.members.insert(it.number, view);
        }
        for it in &routes.changed {
            let Some(view) = self.members.get_mut(&it.number) else { continue };
            let MemberStatus { state, load_us_per_s, config } = it.status;
            *view = MemberView { state, load_us_per_s, config, instance: view.instance.clone() };
        }
    }

    /// Returns all members in the order of their numbers.
    pub(crate) fn members(&self) -> impl Iterator<Item = &MemberView> {
        self.members.values()
    }

    pub(crate) fn owners(&self, slot_of: impl Fn(KeyHash) -> Slot) -> Vec<OwnerView> {
        let view = |slot: Slot, key_hash: Option<KeyHash>, it: &Owner| OwnerView {
            slot,
            key_hash,
            owner: it.owner.clone(),
            token: it.owner.is_some().then_some(it.token),
            successors: it.successors.clone(),
        };
        work::add_entries(4 * self.slots.len());
        let slots = self.slots.iter().map(|(slot, it)| view(*slot, None, it));
        let keys = self.keys.iter().map(|(key, it)| view(slot_of(*key), Some(*key), it));
        slots.chain(keys).collect()
    }

    pub(crate) fn member_views(&self) -> Vec<MemberView> {
        self.members.values().cloned().collect()
    }
}
