//! Parsing of agents' logs: one JSON object per line.

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

/// A log line and the instance that wrote it.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct LogLine {
    /// Time by the wall clock of the instance.
    pub(crate) at: Timestamp,
    /// Name of the instance, from the name of the log file.
    pub(crate) instance: Arc<str>,
    pub(crate) target: String,
    pub(crate) message: String,
    /// Values that the line carries besides its message.
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

/// Selected lines of one or more logs.
#[derive(Debug, Default)]
pub(crate) struct ScanResult {
    pub(crate) lines: Vec<LogLine>,
    /// Number of non-empty lines that are not log records of an agent, such as a panic message.
    pub(crate) unreadable: u64,
}

impl ScanResult {
    /// Merges the lines of another log, ordered by time.
    pub(crate) fn extend(&mut self, other: ScanResult) {
        self.lines.extend(other.lines);
        self.lines.sort_by_key(|it| it.at);
        self.unreadable += other.unreadable;
    }
}

/// Reads a log line by line, so that large files need little memory, and returns the lines that `is_wanted` selects.
pub(crate) fn read_log(
    path: &str,
    mut is_wanted: impl FnMut(&LogLine) -> bool,
) -> Result<ScanResult, CommandError> {
    let failure = |source| CommandError::FileAccess { path: path.to_owned(), source };
    let file = File::open(path).map_err(failure)?;
    let instance: Arc<str> =
        Path::new(path).file_stem().unwrap_or_default().to_string_lossy().into();
    let mut result = ScanResult::default();
    for line in BufReader::new(file).split(b'\n') {
        let line = line.map_err(failure)?;
        let Ok(raw) = serde_json::from_slice::<RawLine>(&line) else {
            result.unreadable += u64::from(!line.trim_ascii().is_empty());
            continue;
        };
        let RawLine { time, target, message, fields } = raw;
        let line = LogLine { at: time, instance: Arc::clone(&instance), target, message, fields };
        if is_wanted(&line) {
            result.lines.push(line);
        }
    }
    Ok(result)
}
