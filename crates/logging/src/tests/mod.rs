//! The form of lines, their bound, and a log that nobody reads.

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
fn lines_beyond_the_rate_are_counted_and_the_count_is_told_with_the_next() {
    let rate = LineRateLimiter::new(10.0, 3.0);
    let start = Timestamp::ZERO + Duration::from_secs(1);
    let taken = (0..8).filter(|_| rate.admit(start).is_some()).count();
    assert_eq!(taken, 3);
    assert_eq!(rate.admit(start + Duration::from_millis(50)), None);
    assert_eq!(rate.admit(start + Duration::from_millis(110)), Some(6));
    // The whole allowance comes back, and no more than that.
    let later = start + Duration::from_secs(60);
    assert_eq!((0..8).filter(|_| rate.admit(later).is_some()).count(), 3);
}

/// A pipe that takes nothing until it is told to.
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

/// 3,000 lines into a pipe that nobody reads: whoever logs comes back from each of them. Once the
/// pipe is read, the lines that waited come, and the number of those that did not.
#[test]
fn a_log_that_is_not_read_holds_nobody_up() {
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
    assert!((1_000..=1_100).contains(&kept), "{kept} lines were kept");
    assert_eq!(kept as u64 + dropped, 3_000);
}
