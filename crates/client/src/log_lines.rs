//! Lines of agents' logs: one JSON object each.

use std::{
    fs::File,
    io::{BufRead, BufReader},
    path::Path,
    sync::Arc,
};

use jiff::Timestamp;
use serde::Deserialize;
use serde_json::{Map, Value};

use crate::error::CommandError;

/// One line, and the instance whose log it stands in.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct LogLine {
    /// By the clock of the instance.
    pub(crate) at: Timestamp,
    pub(crate) instance: Arc<str>,
    pub(crate) target: String,
    pub(crate) message: String,
    /// What the decision rested on.
    pub(crate) fields: Map<String, Value>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct RawLine {
    time: Timestamp,
    target: String,
    message: String,
    #[serde(flatten)]
    fields: Map<String, Value>,
}

impl LogLine {
    pub(crate) fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or_default()
    }

    pub(crate) fn number(&self, field: &str) -> u64 {
        self.fields.get(field).and_then(Value::as_u64).unwrap_or_default()
    }
}

/// What was found in a log.
#[derive(Debug, Default)]
pub(crate) struct ScanResult {
    pub(crate) lines: Vec<LogLine>,
    /// Lines that are none of an agent's, such as those of a crash.
    pub(crate) unreadable: u64,
}

impl ScanResult {
    /// Takes over what another log had, in the order of time.
    pub(crate) fn extend(&mut self, other: ScanResult) {
        self.lines.extend(other.lines);
        self.lines.sort_by_key(|it| it.at);
        self.unreadable += other.unreadable;
    }
}

/// Reads a log and keeps the lines that `wanted` takes; the file is read line by line, however long it is.
pub(crate) fn read_log(
    path: &str,
    mut wanted: impl FnMut(&LogLine) -> bool,
) -> Result<ScanResult, CommandError> {
    let failure = |source| CommandError::FileAccess { path: path.to_owned(), source };
    let file = File::open(path).map_err(failure)?;
    let instance: Arc<str> =
        Path::new(path).file_stem().unwrap_or_default().to_string_lossy().into();
    let mut found = ScanResult::default();
    for line in BufReader::new(file).split(b'\n') {
        let line = line.map_err(failure)?;
        let Ok(raw) = serde_json::from_slice::<RawLine>(&line) else {
            found.unreadable += u64::from(!line.trim_ascii().is_empty());
            continue;
        };
        let RawLine { time, target, message, fields } = raw;
        let line = LogLine { at: time, instance: Arc::clone(&instance), target, message, fields };
        if wanted(&line) {
            found.lines.push(line);
        }
    }
    Ok(found)
}
