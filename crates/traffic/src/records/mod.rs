//! At-most-once records: which requests have been started, and their outcomes.
//!
//! There is one table per unit of ownership (a slot, or a hot key with an entry of its own). Each
//! table stores the point in time since which it is complete: an id that is missing from the table
//! has never run if it was first sent after that point; for an older id, whether it ran is unknown.
//! Evicting a record moves that point forward, so that an evicted id is never taken for a new one.

mod handover;
mod table;

#[cfg(test)]
mod tests;

use std::{collections::HashMap, time::Duration};

use model::{KeyHash, RequestId, Slot, Timestamp, UnknownReason};

use table::{Instant, Table};

pub use handover::{Record, RecordedOutcome, UnitRecords};

/// An answer that is stored in order to replay it to resends. Cheap to clone.
pub trait Answer: Clone {
    /// Memory taken by the headers and the body, in bytes.
    fn size_bytes(&self) -> usize;
}

/// The limits on the records of one unit.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordsConfig {
    /// The memory limit for the records of one unit, in bytes.
    pub bytes_max: usize,
    /// The retention period of a finished record. The memory limit may evict the record earlier.
    pub retention: Duration,
    /// The most by which a resend's reported age may be too low, because of clock drift and the
    /// transit time of the message.
    pub age_margin: Duration,
}

/// The unit that records belong to: a slot, or a hot key that is owned separately from its slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RecordUnit {
    Slot(Slot),
    Key(KeyHash),
}

/// The action to take for an arriving request.
#[derive(Debug, Clone, PartialEq)]
pub enum BeginResult<A> {
    /// The request is new: run it, then call [`Records::finish`], [`Records::finish_unknown`] or
    /// [`Records::discard`].
    Run,
    /// An earlier attempt of the request is still running: wait for its result.
    Attach,
    /// The request has run: return this answer again.
    Replay(A),
    /// The request was started, and its outcome is unknown or no longer stored: do not run it.
    Unknown(UnknownReason),
    /// The request was first sent before the point since which the table is complete: do not run it.
    NoRecord,
    /// The records of running requests fill the memory limit: do not run the request.
    Full,
}

/// The records of one gate.
#[derive(Debug)]
pub struct Records<A> {
    config: RecordsConfig,
    units: HashMap<RecordUnit, Table<A>>,
}

impl<A: Answer> Records<A> {
    pub fn new(config: RecordsConfig) -> Records<A> {
        Records { config, units: HashMap::new() }
    }

    /// Opens a unit with an empty table. Used by the first owner of a unit, and by a new owner to
    /// which the records of the previous owner were lost.
    pub fn open(&mut self, now: Timestamp, unit: RecordUnit) {
        self.units.insert(unit, Table::new(Instant::of(now)));
    }

    /// Returns whether this gate has a table for the unit.
    pub fn is_open(&self, unit: RecordUnit) -> bool {
        self.units.contains_key(&unit)
    }

    /// Looks up a request, and records it as running if it is new. `age` is the time since the
    /// caller first sent the request; zero if this is the first attempt.
    pub fn begin(
        &mut self,
        now: Timestamp,
        unit: RecordUnit,
        key_hash: KeyHash,
        id: RequestId,
        age: Duration,
    ) -> BeginResult<A> {
        let Some(table) = self.units.get_mut(&unit) else { return BeginResult::NoRecord };
        table.begin(&self.config, Instant::of(now), key_hash, id, age)
    }

    /// Stores the answer of a request that has run.
    pub fn finish(&mut self, now: Timestamp, unit: RecordUnit, id: RequestId, answer: A) {
        let Some(table) = self.units.get_mut(&unit) else { return };
        table.end(&self.config, Instant::of(now), id, RecordedOutcome::Answered(answer));
    }

    /// Records that the outcome of a request is unknown, so that no resend runs it again.
    pub fn finish_unknown(
        &mut self,
        now: Timestamp,
        unit: RecordUnit,
        id: RequestId,
        reason: UnknownReason,
    ) {
        let Some(table) = self.units.get_mut(&unit) else { return };
        table.end(&self.config, Instant::of(now), id, RecordedOutcome::Unknown(reason));
    }

    /// Removes the record of a request that provably did not run, so that a resend may run it.
    pub fn discard(&mut self, unit: RecordUnit, id: RequestId) {
        let Some(table) = self.units.get_mut(&unit) else { return };
        table.discard(id);
    }

    /// Evicts records that are older than the retention period. To be called about once a second.
    pub fn tick(&mut self, now: Timestamp) {
        for table in self.units.values_mut() {
            table.expire(&self.config, Instant::of(now));
        }
    }

    /// Closes a unit and returns its records for the next owner. Requests that are still running
    /// are handed over with an unknown outcome. Returns `None` if the unit is not open.
    pub fn export(&mut self, now: Timestamp, unit: RecordUnit) -> Option<UnitRecords<A>> {
        let table = self.units.remove(&unit)?;
        Some(table.export(Instant::of(now), |_| true))
    }

    /// Returns the records of one key of a unit that stays open, for the new owner of a hot key. The
    /// unit keeps its copies of these records, which is harmless.
    pub fn export_key(
        &mut self,
        now: Timestamp,
        unit: RecordUnit,
        key_hash: KeyHash,
    ) -> Option<UnitRecords<A>> {
        let table = self.units.get(&unit)?;
        Some(table.clone().export(Instant::of(now), |it| it == key_hash))
    }

    /// Imports the records of a previous owner. If the unit is already open (a hot key that is merged
    /// back into its slot), the merged table is complete only since the later of the two points.
    pub fn import(&mut self, now: Timestamp, unit: RecordUnit, records: UnitRecords<A>) {
        let now = Instant::of(now);
        let table = self.units.remove(&unit);
        let table = Table::import(&self.config, now, records, table);
        self.units.insert(unit, table);
    }

    /// Returns the memory taken by the records of a unit, in bytes.
    pub fn bytes(&self, unit: RecordUnit) -> usize {
        self.units.get(&unit).map_or(0, |it| it.bytes())
    }

    /// Returns the number of records of a unit, including those of running requests.
    pub fn len(&self, unit: RecordUnit) -> usize {
        self.units.get(&unit).map_or(0, |it| it.len())
    }
}
