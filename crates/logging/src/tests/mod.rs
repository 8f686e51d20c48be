//! Tests of the line format, the rate limit, and an output that is not read.

use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, Sender, channel},
    time::Duration,
};

use log::{Level, Record, kv::Value};
use model::Timestamp;

use crate::{json, rate::LineRateLimiter, writer::LogGuard};

#[test]
fn a_record_is_one_line_of_json_with_its_fields_in_order() {
    let fields: [(&str, Value<'_>); 3] =
        [("id", Value::from("beef")), ("tries", Value::from(2)), ("late", Value::from(true))];
    let mut line = Vec::new();
    let arguments = format_args!("A \"quoted\"\nname");
    let mut builder = Record::builder();
    let record = builder.level(Level::Info).target("requests").args(arguments);
    json::write_record(&mut line, "T", &record.key_values(&fields).build()).unwrap();
    let line = String::from_utf8(line).unwrap();
    assert_eq!(
        line,
        concat!(
            r#"{"time":"T","level":"INFO","target":"requests","message":"A \"quoted\"\nname","#,
            r#""id":"beef","tries":2,"late":true}"#,
            "\n"
        )
    );
    assert_eq!(serde_json::from_str::<serde_json::Value>(&line).unwrap()["tries"], 2);
}

#[test]
fn the_next_admitted_line_gets_the_number_of_suppressed_lines() {
    let rate = LineRateLimiter::new(10.0, 3.0);
    let start = Timestamp::ZERO + Duration::from_secs(1);
    let taken = (0..8).filter(|_| rate.admit(start).is_some()).count();
    assert_eq!(taken, 3);
    assert_eq!(rate.admit(start + Duration::from_millis(50)), None);
    assert_eq!(rate.admit(start + Duration::from_millis(110)), Some(6));
    // After a long pause the burst is available again, and not more.
    let later = start + Duration::from_secs(60);
    assert_eq!((0..8).filter(|_| rate.admit(later).is_some()).count(), 3);
}

/// An output that blocks until `open` receives a message.
struct BlockedPipe {
    open: Receiver<()>,
    is_open: bool,
    written: Sender<Vec<u8>>,
}

impl Write for BlockedPipe {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_open {
            self.open.recv().map_err(io::Error::other)?;
            self.is_open = true;
        }
        self.written.send(bytes.to_vec()).map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Logs 3,000 lines while the output is blocked, which must not block the caller. Once the output is unblocked,
/// the queued lines and the number of dropped lines are written.
#[test]
fn an_output_that_is_not_read_does_not_block_logging() {
    let (open, opened) = channel();
    let (written, lines) = channel();
    let out = BlockedPipe { open: opened, is_open: false, written };
    let (logging, mut writer) = LogGuard::start(out);
    for _ in 0..3_000 {
        writer.write_all(b"{}\n").unwrap();
    }
    open.send(()).unwrap();
    drop(writer);
    drop(logging);
    let text: Vec<u8> = lines.iter().flatten().collect();
    let text = String::from_utf8(text).unwrap();
    let kept = text.lines().filter(|it| *it == "{}").count();
    let dropped: u64 = text
        .lines()
        .filter_map(|it| {
            serde_json::from_str::<serde_json::Value>(it).unwrap()["left_out"].as_u64()
        })
        .sum();
    assert!((1_000..=1_100).contains(&kept), "{kept} lines were written, expected 1,000 to 1,100");
    assert_eq!(kept as u64 + dropped, 3_000);
}
