//! A gate as the ground truth sees it: what it serves, by its commands and its own clock alone.

use std::collections::{BTreeMap, BTreeSet};

use model::{KeyHash, Slot, Timestamp, Token};

use crate::GateCommand;

#[derive(Debug, Clone, Copy)]
pub(super) struct GateEntry {
    pub(super) token: Token,
    pub(super) is_closing: bool,
}

/// What the gate of one host admits.
#[derive(Debug, Default)]
pub(super) struct Gate {
    pub(super) lease_until: Timestamp,
    pub(super) slots: BTreeMap<Slot, GateEntry>,
    pub(super) keys: BTreeMap<KeyHash, GateEntry>,
    pub(super) excluded_keys: BTreeSet<KeyHash>,
}

impl Gate {
    pub(super) fn apply(&mut self, command: &GateCommand) {
        match command {
            GateCommand::Lease { until } => self.lease_until = *until,
            GateCommand::Prepare { .. } | GateCommand::Clear { .. } => {}
            GateCommand::Admit { slot, token } => {
                self.slots.insert(*slot, GateEntry { token: *token, is_closing: false });
            }
            GateCommand::AdmitKey { key_hash, token } => {
                self.excluded_keys.remove(key_hash);
                self.keys.insert(*key_hash, GateEntry { token: *token, is_closing: false });
            }
            GateCommand::ExcludeKey { key_hash, .. } => {
                self.excluded_keys.insert(*key_hash);
            }
            GateCommand::RemoveKey { key_hash } => {
                self.excluded_keys.remove(key_hash);
                self.keys.remove(key_hash);
            }
            GateCommand::Close { slot, .. } => {
                if let Some(open) = self.slots.get_mut(slot) {
                    open.is_closing = true;
                }
            }
            GateCommand::CloseKey { key_hash, token, .. } => {
                self.keys.insert(*key_hash, GateEntry { token: *token, is_closing: true });
            }
            GateCommand::DropAll => *self = Gate::default(),
        }
    }

    /// What was in flight in a slot has ended.
    pub(super) fn finish_close(&mut self, slot: Slot, token: Token) {
        if self.slots.get(&slot).is_some_and(|it| it.token == token && it.is_closing) {
            self.slots.remove(&slot);
        }
    }

    pub(super) fn finish_key_close(&mut self, key_hash: KeyHash, token: Token) {
        if self.keys.get(&key_hash).is_some_and(|it| it.token == token && it.is_closing) {
            self.keys.remove(&key_hash);
            self.excluded_keys.insert(key_hash);
        }
    }

    /// What was granted under tokens up to this one is given up.
    pub(super) fn clear(&mut self, token: Token) {
        self.slots.retain(|_, it| it.token > token);
        self.keys.retain(|_, it| it.token > token);
    }

    /// Whether requests of the slot may run here at this time of the host's clock.
    pub(super) fn holds(&self, now: Timestamp, slot: Slot) -> bool {
        now < self.lease_until && self.slots.contains_key(&slot)
    }

    /// The same for one key in a slot.
    pub(super) fn holds_key(&self, now: Timestamp, slot: Slot, key_hash: KeyHash) -> bool {
        let by_slot = self.slots.contains_key(&slot) && !self.excluded_keys.contains(&key_hash);
        now < self.lease_until && (self.keys.contains_key(&key_hash) || by_slot)
    }

    /// Whether new requests of the slot are admitted.
    pub(super) fn admits(&self, now: Timestamp, slot: Slot) -> bool {
        now < self.lease_until && self.slots.get(&slot).is_some_and(|it| !it.is_closing)
    }

    /// The same for one key in a slot.
    pub(super) fn admits_key(&self, now: Timestamp, slot: Slot, key_hash: KeyHash) -> bool {
        match self.keys.get(&key_hash) {
            Some(it) => now < self.lease_until && !it.is_closing,
            None => !self.excluded_keys.contains(&key_hash) && self.admits(now, slot),
        }
    }
}
