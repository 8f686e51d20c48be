//! What the gate admits: written by control, read by traffic, neither waits for the other.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering, fence},
    },
};

use arc_swap::ArcSwap;
use model::{Instance, KeyHash, Slot, SlotCount, Timestamp, Token};
use ownership::GateCommand;

/// Admitted slots and keys at one moment.
#[derive(Debug, Clone, Default)]
pub(crate) struct Admitted {
    slots: HashMap<Slot, Token>,
    keys: HashMap<KeyHash, Token>,
    excluded: HashMap<KeyHash, Instance>,
}

/// Why a key is not admitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct NotAdmitted {
    /// Who owns it, if this gate was told.
    pub(crate) owner: Option<Instance>,
}

impl Admitted {
    pub(crate) fn token(&self, slot: Slot, key_hash: KeyHash) -> Result<Token, NotAdmitted> {
        match (self.keys.get(&key_hash), self.excluded.get(&key_hash), self.slots.get(&slot)) {
            (Some(token), _, _) => Ok(*token),
            (None, Some(owner), _) => Err(NotAdmitted { owner: Some(owner.clone()) }),
            (None, None, Some(token)) => Ok(*token),
            (None, None, None) => Err(NotAdmitted { owner: None }),
        }
    }

    fn change(&mut self, command: &GateCommand) {
        match command {
            GateCommand::Lease { .. } | GateCommand::Prepare { .. } => {}
            GateCommand::Admit { slot, token } => drop(self.slots.insert(*slot, *token)),
            GateCommand::AdmitKey { key_hash, token } => {
                self.excluded.remove(key_hash);
                self.keys.insert(*key_hash, *token);
            }
            GateCommand::ExcludeKey { key_hash, owner } => {
                self.keys.remove(key_hash);
                self.excluded.insert(*key_hash, owner.clone());
            }
            GateCommand::ForgetKey { key_hash } => {
                self.keys.remove(key_hash);
                self.excluded.remove(key_hash);
            }
            GateCommand::Close { slot, .. } => drop(self.slots.remove(slot)),
            GateCommand::DropAll => *self = Admitted::default(),
        }
    }
}

/// The admitted set, the lease over it and what is in flight.
#[derive(Debug)]
pub(crate) struct GateTable {
    admitted: ArcSwap<Admitted>,
    /// End of the lease on the process's clock, in nanoseconds; 0 while there is none.
    lease_until_ns: AtomicU64,
    /// Requests between [`GateTable::enter`] and the drop of its [`Entry`], for each slot.
    in_flight: Vec<AtomicU32>,
}

/// A request on its way through the gate. While it lives its slot can't finish closing.
#[derive(Debug)]
pub(crate) struct Entry {
    table: Arc<GateTable>,
    pub(crate) slot: Slot,
    pub(crate) token: Token,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.table.in_flight[usize::from(self.slot.0)].fetch_sub(1, Ordering::SeqCst);
    }
}

impl GateTable {
    pub(crate) fn new() -> GateTable {
        GateTable {
            admitted: ArcSwap::default(),
            lease_until_ns: AtomicU64::new(0),
            in_flight: (0..SlotCount::MAX).map(|_| AtomicU32::new(0)).collect(),
        }
    }

    /// Applies commands in order; takes effect for every later [`GateTable::enter`].
    pub(crate) fn apply(&self, commands: &[GateCommand]) {
        let mut admitted = Admitted::clone(&self.admitted.load());
        for command in commands {
            match command {
                GateCommand::Lease { until } => self.set_lease(*until),
                GateCommand::DropAll => self.set_lease(Timestamp::ZERO),
                _ => {}
            }
            admitted.change(command);
        }
        self.admitted.store(Arc::new(admitted));
        // Pairs with the fence in `enter`: either it sees the new set or we see its count.
        fence(Ordering::SeqCst);
    }

    fn set_lease(&self, until: Timestamp) {
        self.lease_until_ns.store(until.ns, Ordering::SeqCst);
    }

    pub(crate) fn lease_until(&self) -> Timestamp {
        Timestamp { ns: self.lease_until_ns.load(Ordering::SeqCst) }
    }

    pub(crate) fn lease_holds(&self, now: Timestamp) -> bool {
        now < self.lease_until()
    }

    /// Whether a key is admitted at the moment; nothing is counted.
    pub(crate) fn peek(&self, slot: Slot, key_hash: KeyHash) -> Result<Token, NotAdmitted> {
        self.admitted.load().token(slot, key_hash)
    }

    /// Counts a request as in flight if its key is admitted.
    pub(crate) fn enter(
        self: &Arc<GateTable>,
        slot: Slot,
        key_hash: KeyHash,
    ) -> Result<Entry, NotAdmitted> {
        self.in_flight[usize::from(slot.0)].fetch_add(1, Ordering::SeqCst);
        let mut entry = Entry { table: Arc::clone(self), slot, token: Token::default() };
        fence(Ordering::SeqCst);
        entry.token = self.peek(slot, key_hash)?;
        Ok(entry)
    }

    pub(crate) fn in_flight(&self, slot: Slot) -> u32 {
        self.in_flight[usize::from(slot.0)].load(Ordering::SeqCst)
    }
}
