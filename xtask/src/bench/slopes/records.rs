//! Memory and processor time of at-most-once records, by their number.

use std::time::Duration;

use bytes::Bytes;
use model::{KeyHash, RequestId, Slot, Timestamp};
use traffic::{Answer, RecordUnit, Records, RecordsConfig};

use super::{Slope, fit::Point, group::thread_cpu};
use crate::bench::process_usage::Usage;

const RECORD_COUNTS: [usize; 5] = [25_000, 50_000, 100_000, 200_000, 400_000];
const ANSWER_BYTES: usize = 256;
const UNIT: RecordUnit = RecordUnit::Slot(Slot(0));

#[derive(Debug, Clone)]
struct RecordedAnswer(Bytes);

impl Answer for RecordedAnswer {
    fn size_bytes(&self) -> usize {
        self.0.len()
    }
}

/// Measures the resident memory that the system reports, the memory that the records count
/// themselves, and the processor time to begin and finish all requests.
pub(super) fn measure() -> anyhow::Result<Vec<Slope>> {
    let (mut resident, mut counted, mut cpu) = (Vec::new(), Vec::new(), Vec::new());
    // All tables are kept to the end, so that none reuses memory that another one has freed.
    let mut filled_tables = Vec::new();
    for count in RECORD_COUNTS {
        let x = count as f64;
        let memory_before_kb = own_memory_kb()?;
        let before = thread_cpu();
        let records = fill(count);
        let spent = thread_cpu().saturating_sub(before);
        let memory_kb = own_memory_kb()?.saturating_sub(memory_before_kb);
        resident.push(Point { x, y: memory_kb as f64 * 1024.0 });
        counted.push(Point { x, y: records.bytes(UNIT) as f64 });
        cpu.push(Point { x, y: spent.as_secs_f64() * 1e6 });
        filled_tables.push(records);
    }
    Ok(vec![
        Slope::new("records", "resident_bytes_with_256_byte_answers", resident),
        Slope::new("records", "counted_bytes_with_256_byte_answers", counted),
        Slope::new("records", "begin_and_finish_cpu_us", cpu),
    ])
}

fn fill(count: usize) -> Records<RecordedAnswer> {
    let config = RecordsConfig {
        bytes_max: usize::MAX,
        retention: Duration::from_secs(3_600),
        age_margin: Duration::from_millis(100),
    };
    let now = Timestamp::from_ms(1);
    let mut records = Records::new(config);
    records.open(now, UNIT);
    for number in 0..count as u64 {
        let id = RequestId(u128::from(number) << 64 | u128::from(number.wrapping_mul(0x9e37)));
        records.begin(now, UNIT, KeyHash(number), id, Duration::ZERO);
        let answer = RecordedAnswer(Bytes::from(vec![0; ANSWER_BYTES]));
        records.finish(now, UNIT, id, answer);
    }
    records
}

fn own_memory_kb() -> anyhow::Result<u64> {
    Ok(Usage::read(i32::try_from(std::process::id())?)?.memory_kb)
}
