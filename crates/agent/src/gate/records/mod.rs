//! At-most-once records of the requests that the gate has admitted, with a table for each granted
//! slot or key.

#[cfg(test)]
mod tests;

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use model::{KeyHash, Outcome, RequestId, Slot, Timestamp, Token, UnknownReason};
use tokio::sync::oneshot;
use traffic::{
    BeginResult, Record, RecordUnit, RecordedOutcome, Records, RecordsConfig, UnitRecords,
};
use upstream::Answer;
use wire::{CodecError, traffic::RecordedAnswer};

use crate::{
    gate::table::{Admittance, GateTable},
    request::{GateReply, answer_from_parts, headers_to_wire},
};

/// An answer kept for resends; clones share it.
#[derive(Debug, Clone)]
struct SharedAnswer(Arc<Answer>);

impl traffic::Answer for SharedAnswer {
    fn size_bytes(&self) -> usize {
        let headers = self.0.headers.iter();
        self.0.body.len()
            + headers.map(|(name, value)| name.as_str().len() + value.len()).sum::<usize>()
    }
}

/// Origin of the records of a unit.
#[derive(Debug, Clone, Copy)]
enum TableOrigin {
    /// Handed over by a former owner, which held the unit under this token, and not used yet.
    Imported { imported_at: Timestamp, token: Token },
    /// In use since a grant under this token.
    Granted { first_token: Token, epoch: u64 },
    /// Handed over to the next owner. This gate held the unit under this token last.
    Closed { token: Token },
}

impl TableOrigin {
    /// Returns whether records of a former owner, which held the unit under `token`, are older than these. Each owner
    /// gets a higher token than those before it.
    fn is_later_than(&self, token: Token) -> bool {
        match self {
            TableOrigin::Imported { token: imported, .. } => *imported > token,
            TableOrigin::Granted { first_token, .. } => *first_token > token,
            TableOrigin::Closed { token: closed } => *closed >= token,
        }
    }
}

/// The tables of all units, with the replies that resends wait for.
#[derive(Debug)]
struct RecordTables {
    records: Records<SharedAnswer>,
    units: HashMap<RecordUnit, TableOrigin>,
    /// Keys that have returned to their slot and whose records have been merged, with the time of
    /// return.
    merged: HashSet<(KeyHash, Timestamp)>,
    attached: HashMap<RunningRequest, Vec<oneshot::Sender<GateReply>>>,
    /// Number of the last table opened, by which a table is told apart from earlier ones.
    epoch: u64,
}

/// A request that is recorded as running.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct RunningRequest {
    unit: RecordUnit,
    epoch: u64,
    id: RequestId,
}

/// Result of looking up a request in the records.
#[derive(Debug)]
pub(crate) enum RecordLookup {
    /// The request is new and has been recorded as running.
    Run(RunningRequest),
    /// The request is running already; the receiver gets its reply too.
    Attach(oneshot::Receiver<GateReply>),
    /// The request has ended with this answer.
    Replay(Answer),
    /// The outcome of the request is not known.
    Unknown(UnknownReason),
    /// There is no room for another record.
    Full,
}

/// The records of the gate, shared by the requests of the traffic threads.
#[derive(Debug)]
pub(crate) struct RequestRecords {
    tables: Mutex<RecordTables>,
    /// Highest age that handed-over records may have when the grant takes effect; shorter than the
    /// time that another owner would need to acquire and lose the unit in between.
    import_age_max: Duration,
}

impl RequestRecords {
    pub(crate) fn new(config: RecordsConfig, import_age_max: Duration) -> RequestRecords {
        let tables = RecordTables {
            records: Records::new(config),
            units: HashMap::new(),
            merged: HashSet::new(),
            attached: HashMap::new(),
            epoch: 0,
        };
        RequestRecords { tables: Mutex::new(tables), import_age_max }
    }

    fn tables(&self) -> MutexGuard<'_, RecordTables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Looks up a request and records it as running if it is new.
    pub(crate) fn begin(
        &self,
        now: Timestamp,
        table: &GateTable,
        admittance: &Admittance,
        key: RequestKey,
    ) -> RecordLookup {
        let tables = &mut *self.tables();
        let epoch = tables.prepare_table(now, table, admittance, &key, self.import_age_max);
        let unit = admittance.unit;
        match tables.records.begin(now, unit, key.key_hash, key.id, key.age) {
            BeginResult::Run => RecordLookup::Run(RunningRequest { unit, epoch, id: key.id }),
            BeginResult::Attach => {
                let (sender, receiver) = oneshot::channel();
                let running = RunningRequest { unit, epoch, id: key.id };
                tables.attached.entry(running).or_default().push(sender);
                RecordLookup::Attach(receiver)
            }
            BeginResult::Replay(SharedAnswer(answer)) => {
                RecordLookup::Replay(Answer::clone(&answer))
            }
            BeginResult::Unknown(reason) => RecordLookup::Unknown(reason),
            BeginResult::NoRecord => RecordLookup::Unknown(UnknownReason::NoRecord),
            BeginResult::Full => RecordLookup::Full,
        }
    }

    /// Finishes a record with the reply and sends the reply to the attached resends. A table that
    /// was handed over or dropped in the meantime is left unchanged.
    pub(crate) fn finish(&self, now: Timestamp, running: RunningRequest, reply: &GateReply) {
        let RunningRequest { unit, epoch, id } = running;
        let tables = &mut *self.tables();
        let is_current = matches!(
            tables.units.get(&unit), Some(TableOrigin::Granted { epoch: it, .. }) if *it == epoch
        );
        match (reply, reply.outcome()) {
            _ if !is_current => {}
            (GateReply::Answered(answer), _) => {
                tables.records.finish(now, unit, id, SharedAnswer(Arc::new(answer.clone())));
            }
            (_, Outcome::Unknown(reason)) => {
                tables.records.finish_unknown(now, unit, id, reason);
            }
            (_, Outcome::NotRun(_) | Outcome::Answered) => tables.records.discard(unit, id),
        }
        for sender in tables.attached.remove(&running).into_iter().flatten() {
            // The caller that sent the request again may have disconnected.
            _ = sender.send(reply.clone());
        }
    }

    /// Closes a unit, which this gate has held under `token`, and returns its records in wire form. The records of a key
    /// that follows its slot are taken out of the slot's table. Returns `None` if this gate has been granted the unit
    /// again since: the records in use are not those of the grant that ends.
    pub(crate) fn export(
        &self,
        now: Timestamp,
        unit: RecordUnit,
        token: Token,
        slot_of: impl Fn(KeyHash) -> Slot,
    ) -> Option<Bytes> {
        let tables = &mut *self.tables();
        if tables.origin_of_records(unit, &slot_of).is_some_and(|it| it.is_later_than(token)) {
            return None;
        }
        let origin = tables.units.remove(&unit);
        // Keys that were hot once are not kept, since there is no bound on their number.
        if let (RecordUnit::Slot(_), Some(_)) = (unit, origin) {
            tables.units.insert(unit, TableOrigin::Closed { token });
        }
        let records = match (origin, unit) {
            (Some(TableOrigin::Imported { .. } | TableOrigin::Granted { .. }), _) => {
                tables.records.export(now, unit)
            }
            (_, RecordUnit::Key(key_hash)) => {
                tables.records.export_key(now, RecordUnit::Slot(slot_of(key_hash)), key_hash)
            }
            (_, RecordUnit::Slot(_)) => None,
        }?;
        let records = map_answers(records, |SharedAnswer(answer)| {
            Ok(RecordedAnswer {
                status: answer.status.as_u16(),
                headers: headers_to_wire(&answer.headers),
                body: answer.body.clone(),
            })
        });
        Some(wire::encode(&records.ok()?).into())
    }

    /// Takes over the records of a former owner, which held the unit under `token`. They are used if the grant follows
    /// soon enough. Returns whether they were taken: a handover that arrives late or again must not replace records
    /// that are in use, since requests that have begun meanwhile would be run again.
    pub(crate) fn import(
        &self,
        now: Timestamp,
        unit: RecordUnit,
        token: Token,
        records: &[u8],
    ) -> Result<bool, CodecError> {
        let records: UnitRecords<RecordedAnswer> = wire::decode(records)?;
        let records = map_answers(records, |it| {
            let answer = answer_from_parts(it.status, &it.headers, it.body)?;
            Ok(SharedAnswer(Arc::new(answer)))
        })?;
        let tables = &mut *self.tables();
        if tables.units.get(&unit).is_some_and(|it| it.is_later_than(token)) {
            return Ok(false);
        }
        if tables.units.remove(&unit).is_some() {
            tables.records.export(now, unit);
        }
        tables.records.import(now, unit, records);
        tables.units.insert(unit, TableOrigin::Imported { imported_at: now, token });
        Ok(true)
    }

    /// Removes records that have been kept long enough.
    pub(crate) fn remove_expired(&self, now: Timestamp) {
        self.tables().records.tick(now);
    }
}

/// The values by which a record is looked up.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestKey {
    pub(crate) key_hash: KeyHash,
    pub(crate) slot: Slot,
    pub(crate) id: RequestId,
    pub(crate) age: Duration,
}

impl RecordTables {
    /// Returns the origin of the table that holds the records of a unit: for a key without a table of its own, that of
    /// its slot.
    fn origin_of_records(
        &self,
        unit: RecordUnit,
        slot_of: impl Fn(KeyHash) -> Slot,
    ) -> Option<TableOrigin> {
        let of_slot = || match unit {
            RecordUnit::Key(key_hash) => self.units.get(&RecordUnit::Slot(slot_of(key_hash))),
            RecordUnit::Slot(_) => None,
        };
        self.units.get(&unit).or_else(of_slot).copied()
    }

    /// Ensures that the unit's table belongs to the grant, and returns its epoch.
    fn prepare_table(
        &mut self,
        now: Timestamp,
        table: &GateTable,
        admittance: &Admittance,
        key: &RequestKey,
        import_age_max: Duration,
    ) -> u64 {
        let Admittance { unit, grant, returned_at, .. } = *admittance;
        let epoch = match self.units.get(&unit) {
            Some(TableOrigin::Granted { first_token, epoch })
                if *first_token == grant.first_token =>
            {
                *epoch
            }
            // Records that arrive after the grant are not those of the last owner: it hands them over before.
            Some(TableOrigin::Imported { imported_at, .. })
                if *imported_at <= grant.since
                    && grant.since.since(*imported_at) <= import_age_max =>
            {
                self.mark_granted(unit, grant.first_token)
            }
            _ => {
                self.records.export(now, unit);
                match self.uninterrupted_slot(table, unit, key.slot) {
                    Some(slot) => self.split(now, unit, slot, key.key_hash),
                    None => self.records.open(grant.since, unit),
                }
                self.mark_granted(unit, grant.first_token)
            }
        };
        if let (RecordUnit::Slot(_), Some(returned_at)) = (unit, returned_at) {
            self.merge(now, unit, key.key_hash, returned_at, import_age_max);
        }
        epoch
    }

    fn mark_granted(&mut self, unit: RecordUnit, first_token: Token) -> u64 {
        self.epoch += 1;
        self.units.insert(unit, TableOrigin::Granted { first_token, epoch: self.epoch });
        self.epoch
    }

    /// Returns the slot that a key has followed so far, if this gate has held it without
    /// interruption.
    fn uninterrupted_slot(
        &self,
        table: &GateTable,
        unit: RecordUnit,
        slot: Slot,
    ) -> Option<RecordUnit> {
        let RecordUnit::Key(_) = unit else { return None };
        match self.units.get(&RecordUnit::Slot(slot)) {
            Some(TableOrigin::Granted { first_token, .. })
                if table.holds_slot(slot, *first_token) =>
            {
                Some(RecordUnit::Slot(slot))
            }
            _ => None,
        }
    }

    fn split(&mut self, now: Timestamp, unit: RecordUnit, slot: RecordUnit, key_hash: KeyHash) {
        let records = self.records.export_key(now, slot, key_hash);
        self.records.import(now, unit, records.expect("the slot must have an open table"));
    }

    /// Merges the records of a key that was owned separately into the table of its slot. If the
    /// records were not handed over, the slot's table is complete only since the return of the key.
    fn merge(
        &mut self,
        now: Timestamp,
        slot: RecordUnit,
        key_hash: KeyHash,
        returned_at: Timestamp,
        import_age_max: Duration,
    ) {
        if !self.merged.insert((key_hash, returned_at)) {
            return;
        }
        let unit = RecordUnit::Key(key_hash);
        let is_usable = match self.units.remove(&unit) {
            Some(TableOrigin::Imported { imported_at, .. }) => {
                returned_at.since(imported_at) <= import_age_max
            }
            Some(TableOrigin::Granted { .. }) => true,
            Some(TableOrigin::Closed { .. }) | None => false,
        };
        let records = self.records.export(now, unit).filter(|_| is_usable);
        let no_records =
            || UnitRecords { complete_age: now.since(returned_at), records: Vec::new() };
        self.records.import(now, slot, records.unwrap_or_else(no_records));
    }
}

fn map_answers<A, B>(
    records: UnitRecords<A>,
    map: impl Fn(A) -> Result<B, CodecError>,
) -> Result<UnitRecords<B>, CodecError> {
    let record = |it: Record<A>| {
        let end = match it.end {
            RecordedOutcome::Answered(answer) => RecordedOutcome::Answered(map(answer)?),
            RecordedOutcome::Unknown(reason) => RecordedOutcome::Unknown(reason),
        };
        Ok(Record {
            id: it.id,
            key_hash: it.key_hash,
            first_sent_age: it.first_sent_age,
            ended_age: it.ended_age,
            end,
        })
    };
    let mapped = records.records.into_iter().map(record).collect::<Result<Vec<_>, CodecError>>()?;
    Ok(UnitRecords { complete_age: records.complete_age, records: mapped })
}
