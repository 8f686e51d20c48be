//! At-most-once records: which request ids have been begun, and how they ended.
//!
//! One table a unit of ownership (a slot, or a hot key with an entry of its own). Each table
//! knows since when it is complete. An id that is not in the table has never run if it was first
//! sent since then; otherwise nobody can tell. Forgetting a record moves that point forward, so a
//! forgotten id never looks new.

mod handover;
mod table;

#[cfg(test)]
mod tests;

use std::{collections::HashMap, time::Duration};

use model::{KeyHash, RequestId, Slot, Timestamp, UnknownReason};

use table::{Instant, Table};

pub use handover::{Record, RecordedOutcome, UnitRecords};

/// An answer as it is kept for resends. Cheap to clone.
pub trait Answer: Clone {
    /// What it takes in memory, headers and body.
    fn size_bytes(&self) -> usize;
}

/// Bounds on the records of one unit.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordsConfig {
    /// Memory for one unit's records, in bytes.
    pub bytes_max: usize,
    /// How long a finished record is kept, if the memory allows.
    pub retention: Duration,
    /// How far the age that a resend carries may fall short of the truth: clock drift and the
    /// time that the message took.
    pub age_margin: Duration,
}

/// What owns records: a slot, or a hot key apart from its slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RecordUnit {
    Slot(Slot),
    Key(KeyHash),
}

/// What to do with a request that arrives.
#[derive(Debug, Clone, PartialEq)]
pub enum BeginResult<A> {
    /// New: run it, then call [`Records::finish`], [`Records::finish_unknown`] or
    /// [`Records::discard`].
    Run,
    /// Its first sending still runs: wait for the end of that.
    Attach,
    /// It has run: give this answer again.
    Replay(A),
    /// It was begun, and how it ended is not known or not kept: do not run it.
    Unknown(UnknownReason),
    /// The records do not reach back to its first sending: do not run it.
    NoRecord,
    /// No room for another record while so many run: not run.
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

    /// Starts a unit without records: its first owner, or a new one after a loss.
    pub fn open(&mut self, now: Timestamp, unit: RecordUnit) {
        self.units.insert(unit, Table::new(Instant::of(now)));
    }

    /// Whether the unit has a table here.
    pub fn is_open(&self, unit: RecordUnit) -> bool {
        self.units.contains_key(&unit)
    }

    /// Looks a request up, and records it as running if it is new. `age` is the time since its
    /// first sending by its caller: zero for a first sending.
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

    /// Keeps the answer of a request that ran.
    pub fn finish(&mut self, now: Timestamp, unit: RecordUnit, id: RequestId, answer: A) {
        let Some(table) = self.units.get_mut(&unit) else { return };
        table.end(&self.config, Instant::of(now), id, RecordedOutcome::Answered(answer));
    }

    /// Notes that nobody knows how a request ended: no resend may run it.
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

    /// Takes a record back: the request was provably not run, so a resend may run it.
    pub fn discard(&mut self, unit: RecordUnit, id: RequestId) {
        let Some(table) = self.units.get_mut(&unit) else { return };
        table.discard(id);
    }

    /// Drops what has been kept long enough. To be called about once a second.
    pub fn tick(&mut self, now: Timestamp) {
        for table in self.units.values_mut() {
            table.expire(&self.config, Instant::of(now));
        }
    }

    /// Closes a unit and returns its records for the next owner. What still runs is handed over
    /// as unknown. None: there is no such unit.
    pub fn export(&mut self, now: Timestamp, unit: RecordUnit) -> Option<UnitRecords<A>> {
        let table = self.units.remove(&unit)?;
        Some(table.export(Instant::of(now), |_| true))
    }

    /// The records of one key of a unit that stays open, for a hot key's new owner. The unit's
    /// own records of the key are kept: they do no harm.
    pub fn export_key(
        &mut self,
        now: Timestamp,
        unit: RecordUnit,
        key_hash: KeyHash,
    ) -> Option<UnitRecords<A>> {
        let table = self.units.get(&unit)?;
        Some(table.clone().export(Instant::of(now), |it| it == key_hash))
    }

    /// Takes over the records of a former owner. If the unit is open here already (a hot key that
    /// follows its slot again), both are complete only since the later of the two points.
    pub fn import(&mut self, now: Timestamp, unit: RecordUnit, records: UnitRecords<A>) {
        let now = Instant::of(now);
        let table = self.units.remove(&unit);
        let table = Table::import(&self.config, now, records, table);
        self.units.insert(unit, table);
    }

    /// Memory taken by a unit's records, in bytes.
    pub fn bytes(&self, unit: RecordUnit) -> usize {
        self.units.get(&unit).map_or(0, |it| it.bytes())
    }

    /// Records of a unit, running ones included.
    pub fn len(&self, unit: RecordUnit) -> usize {
        self.units.get(&unit).map_or(0, |it| it.len())
    }
}
