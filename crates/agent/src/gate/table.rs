//! The slots and keys that the gate admits. Control writes the table and the traffic threads read
//! it; neither side blocks the other.

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

/// A grant of a slot or key to this gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Grant {
    pub(crate) token: Token,
    /// Token of the first grant since which the slot or key has been held without a gap.
    pub(crate) first_token: Token,
    pub(crate) since: Timestamp,
}

impl Grant {
    /// Returns the grant that follows `former`. A grant of a slot or key that is already held
    /// continues the former one.
    fn next(former: Option<Grant>, token: Token, now: Timestamp) -> Grant {
        match former {
            Some(former) => Grant { token, ..former },
            None => Grant { token, first_token: token, since: now },
        }
    }
}

/// The grant under which a request is admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Admittance {
    pub(crate) unit: RecordUnit,
    pub(crate) grant: Grant,
    /// Fence token that is passed to the upstream; never lower than one that it has seen for this
    /// key.
    pub(crate) fence: Token,
    /// When the key returned to its slot after it was owned separately.
    pub(crate) returned_at: Option<Timestamp>,
}

/// Snapshot of the admitted slots and keys.
#[derive(Debug, Clone, Default)]
pub(crate) struct Admitted {
    slots: HashMap<Slot, Grant>,
    keys: HashMap<KeyHash, Grant>,
    /// Keys that are refused even if their slot is admitted, with their owners.
    excluded_keys: HashMap<KeyHash, Option<Instance>>,
    returned_at: HashMap<KeyHash, Timestamp>,
    /// Highest tokens of keys that were owned separately from their slot.
    fence_floors: HashMap<KeyHash, Token>,
}

/// Error for a key that is not admitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct NotAdmitted {
    /// The owner of the key, if this gate has been notified of it.
    pub(crate) owner: Option<Instance>,
}

impl Admitted {
    fn admittance(&self, slot: Slot, key_hash: KeyHash) -> Result<Admittance, NotAdmitted> {
        let fence_floor = self.fence_floors.get(&key_hash).copied().unwrap_or_default();
        match (self.keys.get(&key_hash), self.excluded_keys.get(&key_hash), self.slots.get(&slot)) {
            (Some(grant), _, _) => {
                let unit = RecordUnit::Key(key_hash);
                let fence = grant.token.max(fence_floor);
                Ok(Admittance { unit, grant: *grant, fence, returned_at: None })
            }
            (None, Some(owner), _) => Err(NotAdmitted { owner: owner.clone() }),
            (None, None, Some(grant)) => Ok(Admittance {
                unit: RecordUnit::Slot(slot),
                grant: *grant,
                fence: grant.token.max(fence_floor),
                returned_at: self.returned_at.get(&key_hash).copied(),
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
                self.excluded_keys.remove(key_hash);
                let former = self.keys.get(key_hash).copied();
                self.keys.insert(*key_hash, Grant::next(former, *token, now));
                self.raise_fence_floor(*key_hash, *token);
            }
            GateCommand::ExcludeKey { key_hash, owner } => {
                self.keys.remove(key_hash);
                self.excluded_keys.insert(*key_hash, Some(owner.clone()));
            }
            GateCommand::CloseKey { key_hash, token, to } => {
                self.keys.remove(key_hash);
                self.raise_fence_floor(*key_hash, *token);
                self.excluded_keys.insert(*key_hash, to.clone());
            }
            GateCommand::RemoveKey { key_hash } => {
                self.keys.remove(key_hash);
                self.excluded_keys.remove(key_hash);
                self.returned_at.insert(*key_hash, now);
            }
            GateCommand::Close { slot, .. } => drop(self.slots.remove(slot)),
            GateCommand::DropAll => *self = Admitted::default(),
        }
    }

    fn raise_fence_floor(&mut self, key_hash: KeyHash, token: Token) {
        let fence_floor = self.fence_floors.entry(key_hash).or_default();
        *fence_floor = token.max(*fence_floor);
    }
}

/// The admitted set, the lease over it and the counts of requests in flight.
#[derive(Debug)]
pub(crate) struct GateTable {
    admitted: ArcSwap<Admitted>,
    /// End of the lease on the process's clock, in nanoseconds; 0 if there is none.
    lease_until_ns: AtomicU64,
    /// Number of requests in flight that were admitted by their slot, for each slot.
    slots_in_flight: Vec<AtomicU32>,
    /// Number of requests in flight of each key that has any. Only the traffic threads lock it.
    keys_in_flight: Mutex<HashMap<KeyHash, u32>>,
    /// Units whose requests must end at once.
    stopped: Mutex<HashSet<RecordUnit>>,
    /// Number of times that the whole admitted set was dropped.
    drop_count: AtomicU64,
    /// Changes with every command except a lease renewal.
    changes: watch::Sender<u64>,
}

/// A request in flight through the gate. Closing its unit can't finish while the entry lives.
#[derive(Debug)]
pub(crate) struct Entry {
    table: Arc<GateTable>,
    slot: Slot,
    key_hash: KeyHash,
    pub(crate) admittance: Admittance,
    drop_count: u64,
}

impl Drop for Entry {
    fn drop(&mut self) {
        if matches!(self.admittance.unit, RecordUnit::Slot(_)) {
            self.table.slots_in_flight[usize::from(self.slot.0)].fetch_sub(1, Ordering::SeqCst);
        }
        self.table.decrement_key_in_flight(self.key_hash);
    }
}

impl Entry {
    pub(crate) fn slot(&self) -> Slot {
        self.slot
    }

    /// Performs the last check before the request is sent to the upstream: it is still admitted
    /// under the same grant, and the lease holds.
    pub(crate) fn check_clearance(&self, now: Timestamp) -> Result<Clearance, NotAdmitted> {
        let until = self.table.lease_until();
        let now_admitted = self.table.admittance_of(self.slot, self.key_hash)?;
        let is_same_grant = now_admitted.unit == self.admittance.unit
            && now_admitted.grant.first_token == self.admittance.grant.first_token;
        if now >= until || !is_same_grant || self.is_dropped() {
            return Err(NotAdmitted { owner: None });
        }
        Ok(Clearance { token: now_admitted.fence, checked_at: now, lease_until: until })
    }

    /// Whether the request must end at once, because its unit is being closed and the time for the
    /// handover is over.
    pub(crate) fn is_stopped(&self) -> bool {
        let stopped = self.table.stopped.lock().unwrap_or_else(PoisonError::into_inner);
        stopped.contains(&self.admittance.unit) || stopped.contains(&RecordUnit::Key(self.key_hash))
    }

    /// Whether the gate has dropped the whole admitted set since the request entered.
    pub(crate) fn is_dropped(&self) -> bool {
        self.table.drop_count.load(Ordering::SeqCst) != self.drop_count
    }
}

/// Permission to send one request to the upstream; created only by the last check.
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
            drop_count: AtomicU64::new(0),
            changes: watch::channel(0).0,
        }
    }

    /// Applies commands in order. They take effect for every later [`GateTable::enter`].
    pub(crate) fn apply(&self, now: Timestamp, commands: &[GateCommand]) {
        for command in commands {
            match command {
                GateCommand::Lease { until } => self.set_lease(*until),
                GateCommand::DropAll => {
                    self.set_lease(Timestamp::ZERO);
                    self.drop_count.fetch_add(1, Ordering::SeqCst);
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
        // Pairs with the fence in `enter`: either `enter` sees the new set, or the closing side
        // sees the count of the request.
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

    /// Returns the grant under which a key is admitted at the moment, without counting a request.
    pub(crate) fn admittance_of(
        &self,
        slot: Slot,
        key_hash: KeyHash,
    ) -> Result<Admittance, NotAdmitted> {
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
        let drop_count = self.drop_count.load(Ordering::SeqCst);
        let admittance = match self.admittance_of(slot, key_hash) {
            Ok(admittance) => admittance,
            Err(error) => {
                in_flight.fetch_sub(1, Ordering::SeqCst);
                self.decrement_key_in_flight(key_hash);
                return Err(error);
            }
        };
        if matches!(admittance.unit, RecordUnit::Key(_)) {
            in_flight.fetch_sub(1, Ordering::SeqCst);
        }
        Ok(Entry { table: Arc::clone(self), slot, key_hash, admittance, drop_count })
    }

    fn keys(&self) -> MutexGuard<'_, HashMap<KeyHash, u32>> {
        self.keys_in_flight.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn decrement_key_in_flight(&self, key_hash: KeyHash) {
        let mut keys = self.keys();
        let Some(count) = keys.get_mut(&key_hash) else {
            unreachable!("a key in flight must have a count");
        };
        *count -= 1;
        if *count == 0 {
            keys.remove(&key_hash);
        }
    }

    /// Returns the number of requests in flight that were admitted by their slot.
    pub(crate) fn slot_in_flight(&self, slot: Slot) -> u32 {
        self.slots_in_flight[usize::from(slot.0)].load(Ordering::SeqCst)
    }

    pub(crate) fn in_flight(&self, unit: RecordUnit) -> u32 {
        match unit {
            RecordUnit::Slot(slot) => self.slot_in_flight(slot),
            RecordUnit::Key(key_hash) => self.keys().get(&key_hash).copied().unwrap_or(0),
        }
    }

    /// Ends the remaining requests of a unit that is being closed.
    pub(crate) fn stop(&self, unit: RecordUnit) {
        self.stopped.lock().unwrap_or_else(PoisonError::into_inner).insert(unit);
        self.changes.send_modify(|it| *it += 1);
    }

    /// Ends the effect of [`GateTable::stop`] once no request of the unit runs.
    pub(crate) fn clear_stop(&self, unit: RecordUnit) {
        self.stopped.lock().unwrap_or_else(PoisonError::into_inner).remove(&unit);
    }
}
