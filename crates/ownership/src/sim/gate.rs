//! Model of a gate, from its commands and the clock of its host alone. The invariants are checked against it.

use std::collections::{BTreeMap, BTreeSet};

use model::{KeyHash, Slot, Timestamp, Token};

use crate::GateCommand;

/// Admission of one slot or hot key.
#[derive(Debug, Clone, Copy)]
pub(super) struct GateEntry {
    pub(super) token: Token,
    /// New requests are refused, while requests in flight may continue.
    pub(super) is_closing: bool,
}

/// Lease, slots and keys of the gate of one host.
#[derive(Debug, Default)]
pub(super) struct Gate {
    /// End of the lease on the clock of the host (exclusive).
    pub(super) lease_until: Timestamp,
    pub(super) slots: BTreeMap<Slot, GateEntry>,
    /// Keys with their own entry, which takes precedence over the entry of their slot.
    pub(super) keys: BTreeMap<KeyHash, GateEntry>,
    /// Keys that are refused although their slot is admitted.
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
                if let Some(entry) = self.slots.get_mut(slot) {
                    entry.is_closing = true;
                }
            }
            GateCommand::CloseKey { key_hash, token, .. } => {
                self.keys.insert(*key_hash, GateEntry { token: *token, is_closing: true });
            }
            GateCommand::DropAll => *self = Gate::default(),
        }
    }

    /// Removes a closing slot once its requests in flight have ended. Ignores a slot granted again under another token.
    pub(super) fn finish_close(&mut self, slot: Slot, token: Token) {
        if self.slots.get(&slot).is_some_and(|it| it.token == token && it.is_closing) {
            self.slots.remove(&slot);
        }
    }

    /// Removes and excludes a closing key once its requests in flight have ended.
    pub(super) fn finish_key_close(&mut self, key_hash: KeyHash, token: Token) {
        if self.keys.get(&key_hash).is_some_and(|it| it.token == token && it.is_closing) {
            self.keys.remove(&key_hash);
            self.excluded_keys.insert(key_hash);
        }
    }

    /// Removes everything granted under tokens up to this one.
    pub(super) fn clear(&mut self, token: Token) {
        self.slots.retain(|_, it| it.token > token);
        self.keys.retain(|_, it| it.token > token);
    }

    /// Returns whether requests of the slot may be running at `now` on the host's clock, including those in flight in a
    /// closing slot.
    pub(super) fn holds(&self, now: Timestamp, slot: Slot) -> bool {
        now < self.lease_until && self.slots.contains_key(&slot)
    }

    /// Returns whether requests of a key in the slot may be running.
    pub(super) fn holds_key(&self, now: Timestamp, slot: Slot, key_hash: KeyHash) -> bool {
        let by_slot = self.slots.contains_key(&slot) && !self.excluded_keys.contains(&key_hash);
        now < self.lease_until && (self.keys.contains_key(&key_hash) || by_slot)
    }

    /// Returns whether new requests of the slot are admitted at `now` on the host's clock.
    pub(super) fn admits(&self, now: Timestamp, slot: Slot) -> bool {
        now < self.lease_until && self.slots.get(&slot).is_some_and(|it| !it.is_closing)
    }

    /// Returns whether new requests of a key in the slot are admitted.
    pub(super) fn admits_key(&self, now: Timestamp, slot: Slot, key_hash: KeyHash) -> bool {
        match self.keys.get(&key_hash) {
            Some(it) => now < self.lease_until && !it.is_closing,
            None => !self.excluded_keys.contains(&key_hash) && self.admits(now, slot),
        }
    }
}
