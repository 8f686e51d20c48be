//! The records of one unit.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use model::{KeyHash, RequestId, Timestamp, UnknownReason};

use super::{Answer, BeginResult, Record, RecordedOutcome, RecordsConfig, UnitRecords};

/// Memory taken by a record without its answer: the entries of both collections, rounded up.
const RECORD_BYTES: usize = 160;

/// A point in time that may lie before the origin of this process's clock, which is common for
/// imported records. A saturating timestamp would make all such points equal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Instant {
    ns: i128,
}

impl Instant {
    pub(super) fn of(it: Timestamp) -> Instant {
        Instant { ns: i128::from(it.ns) }
    }

    pub(super) fn before(self, age: Duration) -> Instant {
        Instant { ns: self.ns - nanos(age) }
    }

    fn after(self, time: Duration) -> Instant {
        Instant { ns: self.ns + nanos(time) }
    }

    fn since(self, earlier: Instant) -> Duration {
        Duration::from_nanos(u64::try_from((self.ns - earlier.ns).max(0)).unwrap_or(u64::MAX))
    }
}

fn nanos(it: Duration) -> i128 {
    i128::try_from(it.as_nanos()).unwrap_or(i128::MAX / 4)
}

#[derive(Debug, Clone)]
enum State<A> {
    Running,
    Ended { at: Instant, end: RecordedOutcome<A> },
}

#[derive(Debug, Clone)]
struct Entry<A> {
    key_hash: KeyHash,
    first_sent: Instant,
    state: State<A>,
}

impl<A: Answer> Entry<A> {
    fn bytes(&self) -> usize {
        match &self.state {
            State::Ended { end: RecordedOutcome::Answered(it), .. } => {
                RECORD_BYTES + it.size_bytes()
            }
            _ => RECORD_BYTES,
        }
    }
}

#[derive(Debug, Clone)]
pub(super) struct Table<A> {
    entries: HashMap<RequestId, Entry<A>>,
    /// Ended entries, ordered by their end, oldest first.
    ended: BTreeSet<(Instant, RequestId)>,
    /// A request that was first sent at or after this point, and has no entry, has never run.
    complete_since: Instant,
    bytes: usize,
}

impl<A: Answer> Table<A> {
    pub(super) fn new(complete_since: Instant) -> Table<A> {
        Table { entries: HashMap::new(), ended: BTreeSet::new(), complete_since, bytes: 0 }
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn begin(
        &mut self,
        config: &RecordsConfig,
        now: Instant,
        key_hash: KeyHash,
        id: RequestId,
        age: Duration,
    ) -> BeginResult<A> {
        if let Some(entry) = self.entries.get(&id) {
            return match &entry.state {
                State::Running => BeginResult::Attach,
                State::Ended { end: RecordedOutcome::Answered(it), .. } => {
                    BeginResult::Replay(it.clone())
                }
                State::Ended { end: RecordedOutcome::Unknown(it), .. } => BeginResult::Unknown(*it),
            };
        }
        self.expire(config, now);
        // Making room may move `complete_since`, so it has to precede the check against it.
        if !self.make_room(config, RECORD_BYTES) {
            return BeginResult::Full;
        }
        // A resend's age may be too low by up to the margin, so the check adds the margin. The entry
        // stores the latest possible point of the first attempt, which is the bound that `evict` needs.
        let first_sent = now.before(age);
        let margin = if age.is_zero() { Duration::ZERO } else { config.age_margin };
        if first_sent.before(margin) < self.complete_since {
            return BeginResult::NoRecord;
        }
        self.insert(id, Entry { key_hash, first_sent, state: State::Running });
        BeginResult::Run
    }

    pub(super) fn end(
        &mut self,
        config: &RecordsConfig,
        now: Instant,
        id: RequestId,
        end: RecordedOutcome<A>,
    ) {
        let Some(entry) = self.take(id) else {
            panic!("request {id} ended, but has no record");
        };
        assert!(matches!(entry.state, State::Running), "request {id} ended twice");
        let mut entry = Entry { state: State::Ended { at: now, end }, ..entry };
        if !self.make_room(config, entry.bytes()) {
            // The answer exceeds the available memory. The record that the request has run has to be kept.
            let end = RecordedOutcome::Unknown(UnknownReason::NoRecord);
            entry.state = State::Ended { at: now, end };
        }
        self.insert(id, entry);
    }

    pub(super) fn discard(&mut self, id: RequestId) {
        let Some(entry) = self.take(id) else { return };
        assert!(
            matches!(entry.state, State::Running),
            "request {id} has ended, so its record can't be discarded"
        );
    }

    /// Evicts records that ended longer ago than the retention period.
    pub(super) fn expire(&mut self, config: &RecordsConfig, now: Instant) {
        let horizon = now.before(config.retention);
        while let Some(&(at, id)) = self.ended.first()
            && at < horizon
        {
            self.evict(id);
        }
    }

    pub(super) fn export(self, now: Instant, belongs: impl Fn(KeyHash) -> bool) -> UnitRecords<A> {
        let entries = self.entries.into_iter().filter(|(_, it)| belongs(it.key_hash));
        let record = |(id, it): (RequestId, Entry<A>)| Record {
            id,
            key_hash: it.key_hash,
            first_sent_age: now.since(it.first_sent),
            ended_age: match &it.state {
                State::Running => Duration::ZERO,
                State::Ended { at, .. } => now.since(*at),
            },
            end: match it.state {
                State::Running => RecordedOutcome::Unknown(UnknownReason::ConnectionLost),
                State::Ended { end, .. } => end,
            },
        };
        let mut records: Vec<_> = entries.map(record).collect();
        records.sort_by_key(|it| it.id);
        UnitRecords { complete_age: now.since(self.complete_since), records }
    }

    pub(super) fn import(
        config: &RecordsConfig,
        now: Instant,
        imported: UnitRecords<A>,
        existing: Option<Table<A>>,
    ) -> Table<A> {
        let complete_since = now.before(imported.complete_age);
        let mut table = existing.unwrap_or_else(|| Table::new(complete_since));
        table.complete_since = table.complete_since.max(complete_since);
        let mut records = imported.records;
        // The most recent first, so that the oldest are left out if not all of them fit.
        records.sort_by_key(|it| (it.ended_age, it.id));
        for it in records {
            if table.entries.contains_key(&it.id) {
                continue;
            }
            let state = State::Ended { at: now.before(it.ended_age), end: it.end };
            let first_sent = now.before(it.first_sent_age);
            let entry = Entry { key_hash: it.key_hash, first_sent, state };
            match table.bytes + entry.bytes() <= config.bytes_max {
                true => table.insert(it.id, entry),
                false => table.raise_complete_since(first_sent),
            }
        }
        table
    }

    /// Evicts ended records, oldest first, until `bytes` more fit. Returns false if they can't fit.
    fn make_room(&mut self, config: &RecordsConfig, bytes: usize) -> bool {
        if bytes > config.bytes_max {
            return false;
        }
        while self.bytes + bytes > config.bytes_max {
            let Some(&(_, id)) = self.ended.first() else { return false };
            self.evict(id);
        }
        true
    }

    /// Removes an ended record although its request has run. From then on the table is complete only
    /// for requests that were first sent later than this one.
    fn evict(&mut self, id: RequestId) {
        let entry = self.take(id).expect("each id in `ended` is in the table");
        self.raise_complete_since(entry.first_sent);
    }

    /// Moves `complete_since` past the first attempt of a request whose record is not kept.
    fn raise_complete_since(&mut self, first_sent: Instant) {
        let bound = first_sent.after(Duration::from_nanos(1));
        self.complete_since = self.complete_since.max(bound);
    }

    fn insert(&mut self, id: RequestId, entry: Entry<A>) {
        if let State::Ended { at, .. } = entry.state {
            self.ended.insert((at, id));
        }
        self.bytes += entry.bytes();
        let former = self.entries.insert(id, entry);
        assert!(former.is_none(), "request {id} already has a record");
    }

    fn take(&mut self, id: RequestId) -> Option<Entry<A>> {
        let entry = self.entries.remove(&id)?;
        if let State::Ended { at, .. } = entry.state {
            self.ended.remove(&(at, id));
        }
        self.bytes -= entry.bytes();
        Some(entry)
    }
}
