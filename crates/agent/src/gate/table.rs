//! What the gate admits: written by control, read by traffic, neither waits for the other.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, AtomicU64, Ordering, fence},
    },
};

use arc_swap::ArcSwap;
use model::{Instance, KeyHash, Slot, SlotCount, Timestamp, Token};
use ownership::GateCommand;
use tokio::sync::watch;
use traffic::RecordUnit;

/// What the gate was granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Grant {
    pub(crate) token: Token,
    /// The first token since when it has been held without a gap.
    pub(crate) first_token: Token,
    pub(crate) since: Timestamp,
}

impl Grant {
    /// A grant of what is held already goes on with it.
    fn next(former: Option<Grant>, token: Token, now: Timestamp) -> Grant {
        match former {
            Some(former) => Grant { token, ..former },
            None => Grant { token, first_token: token, since: now },
        }
    }
}

/// What a request is admitted under.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Admittance {
    pub(crate) unit: RecordUnit,
    pub(crate) grant: Grant,
    /// What the upstream is given: never lower than it has seen for this key.
    pub(crate) fence: Token,
    /// When the key came back to its slot after it was owned apart.
    pub(crate) returned: Option<Timestamp>,
}

/// Admitted slots and keys at one moment.
#[derive(Debug, Clone, Default)]
pub(crate) struct Admitted {
    slots: HashMap<Slot, Grant>,
    keys: HashMap<KeyHash, Grant>,
    /// Keys refused though their slot may be admitted, and who owns them.
    excluded: HashMap<KeyHash, Option<Instance>>,
    returned: HashMap<KeyHash, Timestamp>,
    /// The highest tokens of keys that were owned apart from their slot.
    floors: HashMap<KeyHash, Token>,
}

/// Why a key is not admitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct NotAdmitted {
    /// Who owns it, if this gate was told.
    pub(crate) owner: Option<Instance>,
}

impl Admitted {
    fn admittance(&self, slot: Slot, key_hash: KeyHash) -> Result<Admittance, NotAdmitted> {
        let floor = self.floors.get(&key_hash).copied().unwrap_or_default();
        match (self.keys.get(&key_hash), self.excluded.get(&key_hash), self.slots.get(&slot)) {
            (Some(grant), _, _) => {
                let unit = RecordUnit::Key(key_hash);
                let fence = grant.token.max(floor);
                Ok(Admittance { unit, grant: *grant, fence, returned: None })
            }
            (None, Some(owner), _) => Err(NotAdmitted { owner: owner.clone() }),
            (None, None, Some(grant)) => Ok(Admittance {
                unit: RecordUnit::Slot(slot),
                grant: *grant,
                fence: grant.token.max(floor),
                returned: self.returned.get(&key_hash).copied(),
            }),
            (None, None, None) => Err(NotAdmitted { owner: None }),
        }
    }

    fn change(&mut self, now: Timestamp, command: &GateCommand) {
        match command {
            GateCommand::Lease { .. } | GateCommand::Prepare { .. } | GateCommand::Clear { .. } => {
            }
            GateCommand::Admit { slot, token } => {
                let former = self.slots.get(slot).copied();
                self.slots.insert(*slot, Grant::next(former, *token, now));
            }
            GateCommand::AdmitKey { key_hash, token } => {
                self.excluded.remove(key_hash);
                let former = self.keys.get(key_hash).copied();
                self.keys.insert(*key_hash, Grant::next(former, *token, now));
                self.raise_floor(*key_hash, *token);
            }
            GateCommand::ExcludeKey { key_hash, owner } => {
                self.keys.remove(key_hash);
                self.excluded.insert(*key_hash, Some(owner.clone()));
            }
            GateCommand::CloseKey { key_hash, token, to } => {
                self.keys.remove(key_hash);
                self.raise_floor(*key_hash, *token);
                self.excluded.insert(*key_hash, to.clone());
            }
            GateCommand::RemoveKey { key_hash } => {
                self.keys.remove(key_hash);
                self.excluded.remove(key_hash);
                self.returned.insert(*key_hash, now);
            }
            GateCommand::Close { slot, .. } => drop(self.slots.remove(slot)),
            GateCommand::DropAll => *self = Admitted::default(),
        }
    }

    fn raise_floor(&mut self, key_hash: KeyHash, token: Token) {
        let floor = self.floors.entry(key_hash).or_default();
        *floor = token.max(*floor);
    }
}

/// The admitted set, the lease over it and what is in flight.
#[derive(Debug)]
pub(crate) struct GateTable {
    admitted: ArcSwap<Admitted>,
    /// End of the lease on the process's clock, in nanoseconds; 0 while there is none.
    lease_until_ns: AtomicU64,
    /// Requests admitted by their slot, for each slot.
    slots_in_flight: Vec<AtomicU32>,
    /// Requests of each key that has any; of traffic threads only.
    keys_in_flight: Mutex<HashMap<KeyHash, u32>>,
    /// Units whose requests must end at once.
    stopped: Mutex<HashSet<RecordUnit>>,
    /// How often everything was dropped.
    drops: AtomicU64,
    /// Changes with every command but a lease.
    changes: watch::Sender<u64>,
}

/// A request on its way through the gate. While it lives its unit can't finish closing.
#[derive(Debug)]
pub(crate) struct Entry {
    table: Arc<GateTable>,
    slot: Slot,
    key_hash: KeyHash,
    pub(crate) admittance: Admittance,
    drops: u64,
}

impl Drop for Entry {
    fn drop(&mut self) {
        if matches!(self.admittance.unit, RecordUnit::Slot(_)) {
            self.table.slots_in_flight[usize::from(self.slot.0)].fetch_sub(1, Ordering::SeqCst);
        }
        self.table.leave_key(self.key_hash);
    }
}

impl Entry {
    pub(crate) fn slot(&self) -> Slot {
        self.slot
    }

    /// Checks at the last step before the upstream that the request is still admitted under the
    /// same grant and that the lease holds.
    pub(crate) fn check_clearance(&self, now: Timestamp) -> Result<Clearance, NotAdmitted> {
        let until = self.table.lease_until();
        let now_admitted = self.table.peek(self.slot, self.key_hash)?;
        let same = now_admitted.unit == self.admittance.unit
            && now_admitted.grant.first_token == self.admittance.grant.first_token;
        if now >= until || !same || self.is_dropped() {
            return Err(NotAdmitted { owner: None });
        }
        Ok(Clearance { token: now_admitted.fence, checked_at: now, lease_until: until })
    }

    /// Must end at once: its unit is to be closed and it has run too long.
    pub(crate) fn is_stopped(&self) -> bool {
        let stopped = self.table.stopped.lock().unwrap_or_else(PoisonError::into_inner);
        stopped.contains(&self.admittance.unit) || stopped.contains(&RecordUnit::Key(self.key_hash))
    }

    /// The gate has dropped everything since.
    pub(crate) fn is_dropped(&self) -> bool {
        self.table.drops.load(Ordering::SeqCst) != self.drops
    }
}

/// Leave to give one request to the upstream; made only by the last check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Clearance {
    pub(crate) token: Token,
    pub(crate) checked_at: Timestamp,
    pub(crate) lease_until: Timestamp,
}

impl GateTable {
    pub(crate) fn new() -> GateTable {
        GateTable {
            admitted: ArcSwap::default(),
            lease_until_ns: AtomicU64::new(0),
            slots_in_flight: (0..SlotCount::MAX).map(|_| AtomicU32::new(0)).collect(),
            keys_in_flight: Mutex::default(),
            stopped: Mutex::default(),
            drops: AtomicU64::new(0),
            changes: watch::channel(0).0,
        }
    }

    /// Applies commands in order; takes effect for every later [`GateTable::enter`].
    pub(crate) fn apply(&self, now: Timestamp, commands: &[GateCommand]) {
        for command in commands {
            match command {
                GateCommand::Lease { until } => self.set_lease(*until),
                GateCommand::DropAll => {
                    self.set_lease(Timestamp::ZERO);
                    self.drops.fetch_add(1, Ordering::SeqCst);
                }
                _ => {}
            }
        }
        if commands.iter().all(|it| matches!(it, GateCommand::Lease { .. })) {
            return;
        }
        let mut admitted = Admitted::clone(&self.admitted.load());
        for command in commands {
            admitted.change(now, command);
        }
        self.admitted.store(Arc::new(admitted));
        // Pairs with the fence in `enter`: either it sees the new set or we see its count.
        fence(Ordering::SeqCst);
        self.changes.send_modify(|it| *it += 1);
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

    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// What a key is admitted under at the moment; nothing is counted.
    pub(crate) fn peek(&self, slot: Slot, key_hash: KeyHash) -> Result<Admittance, NotAdmitted> {
        self.admitted.load().admittance(slot, key_hash)
    }

    /// Whether a slot has been held without a gap since this token.
    pub(crate) fn holds_slot(&self, slot: Slot, first_token: Token) -> bool {
        self.admitted.load().slots.get(&slot).is_some_and(|it| it.first_token == first_token)
    }

    /// Counts a request as in flight if its key is admitted.
    pub(crate) fn enter(
        self: &Arc<GateTable>,
        slot: Slot,
        key_hash: KeyHash,
    ) -> Result<Entry, NotAdmitted> {
        let in_flight = &self.slots_in_flight[usize::from(slot.0)];
        in_flight.fetch_add(1, Ordering::SeqCst);
        *self.keys().entry(key_hash).or_default() += 1;
        fence(Ordering::SeqCst);
        let drops = self.drops.load(Ordering::SeqCst);
        let admittance = match self.peek(slot, key_hash) {
            Ok(admittance) => admittance,
            Err(error) => {
                in_flight.fetch_sub(1, Ordering::SeqCst);
                self.leave_key(key_hash);
                return Err(error);
            }
        };
        if matches!(admittance.unit, RecordUnit::Key(_)) {
            in_flight.fetch_sub(1, Ordering::SeqCst);
        }
        Ok(Entry { table: Arc::clone(self), slot, key_hash, admittance, drops })
    }

    fn keys(&self) -> MutexGuard<'_, HashMap<KeyHash, u32>> {
        self.keys_in_flight.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn leave_key(&self, key_hash: KeyHash) {
        let mut keys = self.keys();
        let Some(count) = keys.get_mut(&key_hash) else {
            unreachable!("a key in flight is counted");
        };
        *count -= 1;
        if *count == 0 {
            keys.remove(&key_hash);
        }
    }

    /// Requests in flight that were admitted by their slot.
    pub(crate) fn slot_in_flight(&self, slot: Slot) -> u32 {
        self.slots_in_flight[usize::from(slot.0)].load(Ordering::SeqCst)
    }

    pub(crate) fn in_flight(&self, unit: RecordUnit) -> u32 {
        match unit {
            RecordUnit::Slot(slot) => self.slot_in_flight(slot),
            RecordUnit::Key(key_hash) => self.keys().get(&key_hash).copied().unwrap_or(0),
        }
    }

    /// Ends what still runs of a unit that is being closed.
    pub(crate) fn stop(&self, unit: RecordUnit) {
        self.stopped.lock().unwrap_or_else(PoisonError::into_inner).insert(unit);
        self.changes.send_modify(|it| *it += 1);
    }

    /// Nothing of the unit runs any more.
    pub(crate) fn clear_stop(&self, unit: RecordUnit) {
        self.stopped.lock().unwrap_or_else(PoisonError::into_inner).remove(&unit);
    }
}
