//! Slots and hot keys that a member's current session holds, and the commands that change them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use model::{KeyHash, Slot, Timestamp, Token};

use crate::{Command, GateCommand, HeldKey, HeldSlot, Holding, Report, ctx::Ctx};

#[derive(Debug, Clone, Copy)]
struct HeldGrant {
    token: Token,
    closing_since: Option<Timestamp>,
}

impl HeldGrant {
    fn open(token: Token) -> HeldGrant {
        HeldGrant { token, closing_since: None }
    }
}

/// Slots and hot keys that a session holds, is closing or excludes.
#[derive(Debug, Clone, Default)]
pub(crate) struct Holdings {
    slots: BTreeMap<Slot, HeldGrant>,
    keys: BTreeMap<KeyHash, HeldGrant>,
    excluded: BTreeSet<KeyHash>,
    preparing: BTreeMap<Slot, Token>,
    clearing: Option<Token>,
}

impl Holdings {
    pub(crate) fn is_empty(&self) -> bool {
        self.slots.is_empty() && self.keys.is_empty()
    }

    /// Discards the preparations and the clearing that the gate has not reported yet: an earlier term requested them.
    pub(crate) fn discard_pending(&mut self) {
        self.preparing.clear();
        self.clearing = None;
    }

    pub(crate) fn is_close_overdue(&self, max: Duration, now: Timestamp) -> bool {
        let mut all = self.slots.values().chain(self.keys.values());
        all.any(|it| it.closing_since.is_some_and(|since| now.since(since) > max))
    }

    pub(crate) fn to_message(&self, recently_lapsed: bool) -> Holding {
        let slot = |(slot, held): (&Slot, &HeldGrant)| HeldSlot {
            slot: *slot,
            token: held.token,
            closing: held.closing_since.is_some(),
        };
        let key = |(key_hash, held): (&KeyHash, &HeldGrant)| HeldKey {
            key_hash: *key_hash,
            token: held.token,
            closing: held.closing_since.is_some(),
        };
        Holding {
            recently_lapsed,
            slots: self.slots.iter().map(slot).collect(),
            keys: self.keys.iter().map(key).collect(),
            excluded: self.excluded.iter().copied().collect(),
        }
    }

    /// Applies a command. Returns a report if the command is complete without action of the gate.
    pub(crate) fn apply(&mut self, ctx: &mut Ctx<'_>, command: &Command) -> Option<Report> {
        match command {
            Command::Prepare { slot, token } => {
                self.preparing.insert(*slot, *token);
                ctx.gate(GateCommand::Prepare { slot: *slot, token: *token });
                None
            }
            Command::Admit { slot, token } => {
                self.preparing.remove(slot);
                self.slots.insert(*slot, HeldGrant::open(*token));
                ctx.gate(GateCommand::Admit { slot: *slot, token: *token });
                None
            }
            Command::Close { slot, token, to } => match self.slots.get_mut(slot) {
                Some(held) if held.token == *token => {
                    held.closing_since.get_or_insert(ctx.now);
                    let to = to.clone();
                    ctx.gate(GateCommand::Close { slot: *slot, token: *token, to });
                    None
                }
                _ => Some(Report::Closed { slot: *slot, token: *token }),
            },
            Command::AdmitKey { key_hash, token } => {
                self.excluded.remove(key_hash);
                self.keys.insert(*key_hash, HeldGrant::open(*token));
                ctx.gate(GateCommand::AdmitKey { key_hash: *key_hash, token: *token });
                None
            }
            Command::ExcludeKey { key_hash, owner } => {
                self.excluded.insert(*key_hash);
                let owner = owner.clone();
                ctx.gate(GateCommand::ExcludeKey { key_hash: *key_hash, owner });
                None
            }
            Command::RemoveKey { key_hash } => {
                self.excluded.remove(key_hash);
                self.keys.remove(key_hash);
                ctx.gate(GateCommand::RemoveKey { key_hash: *key_hash });
                None
            }
            Command::CloseKey { key_hash, token, to } => {
                let key = HeldGrant { token: *token, closing_since: Some(ctx.now) };
                self.keys.insert(*key_hash, key);
                let to = to.clone();
                ctx.gate(GateCommand::CloseKey { key_hash: *key_hash, token: *token, to });
                None
            }
            Command::Clear { token } => {
                self.clearing = Some(*token);
                ctx.gate(GateCommand::Clear { token: *token });
                None
            }
        }
    }

    /// Handles the gate's report that it is ready for a slot.
    pub(crate) fn prepared(&mut self, slot: Slot, token: Token) -> Option<Report> {
        let wanted = self.preparing.get(&slot) == Some(&token);
        wanted.then(|| self.preparing.remove(&slot))?;
        Some(Report::Prepared { slot, token })
    }

    /// Handles the gate's report that the upstream has been cleared. Ignores a clearing that an earlier session or term
    /// requested, because it does not cover later grants.
    pub(crate) fn cleared(&mut self, token: Token) -> Option<Report> {
        self.clearing.take_if(|it| *it == token)?;
        Some(Report::Cleared { token })
    }

    /// Handles the gate's report that it has closed a slot. Hot keys excluded from it no longer need an entry.
    pub(crate) fn closed(&mut self, ctx: &mut Ctx<'_>, slot: Slot, token: Token) -> Option<Report> {
        let held = self.slots.get(&slot)?;
        if held.token != token || held.closing_since.is_none() {
            return None;
        }
        self.slots.remove(&slot);
        let slot_count = ctx.config.slot_count;
        let of_slot = |it: &KeyHash| slot_count.slot_of(*it) == slot;
        for key_hash in self.excluded.iter().copied().filter(of_slot) {
            ctx.gate(GateCommand::RemoveKey { key_hash });
        }
        self.excluded.retain(|it| !of_slot(it));
        Some(Report::Closed { slot, token })
    }

    /// Handles the gate's report that it has closed a hot key. The key stays excluded if its slot is held.
    pub(crate) fn key_closed(
        &mut self,
        ctx: &mut Ctx<'_>,
        key_hash: KeyHash,
        token: Token,
    ) -> Option<Report> {
        let held = self.keys.get(&key_hash)?;
        if held.token != token || held.closing_since.is_none() {
            return None;
        }
        self.keys.remove(&key_hash);
        if self.slots.contains_key(&ctx.config.slot_count.slot_of(key_hash)) {
            self.excluded.insert(key_hash);
        } else if !self.excluded.contains(&key_hash) {
            ctx.gate(GateCommand::RemoveKey { key_hash });
        }
        Some(Report::KeyClosed { key_hash, token })
    }

    /// Closes all slots and hot keys without handing their records over.
    pub(crate) fn close_all(&mut self, ctx: &mut Ctx<'_>) {
        for (slot, held) in self.slots.iter_mut().filter(|(_, it)| it.closing_since.is_none()) {
            held.closing_since = Some(ctx.now);
            ctx.gate(GateCommand::Close { slot: *slot, token: held.token, to: None });
        }
        for (key_hash, held) in self.keys.iter_mut().filter(|(_, it)| it.closing_since.is_none()) {
            held.closing_since = Some(ctx.now);
            let (key_hash, token) = (*key_hash, held.token);
            ctx.gate(GateCommand::CloseKey { key_hash, token, to: None });
        }
    }
}
