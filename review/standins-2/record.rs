//! Lines of the record, which several processes append to.

use std::{
    fs::{File, OpenOptions},
    io::Write,
    path::Path,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Milliseconds since the epoch.
pub fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    u64::try_from(now.as_millis()).unwrap_or(0)
}

#[derive(Clone)]
pub struct Record(Arc<File>);

impl Record {
    pub fn open(path: &Path) -> Record {
        let file = OpenOptions::new().append(true).create(true).open(path);
        Record(Arc::new(file.expect("the record can be opened")))
    }

    /// Appends a line in one write, so that lines of different processes do not mix.
    pub fn line(&self, text: &str) {
        let _ = self.0.as_ref().write_all(format!("{} {text}\n", now_ms()).as_bytes());
    }
}
