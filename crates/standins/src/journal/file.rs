//! Writes and reads journal files.

use std::{
    fs::{File, OpenOptions},
    io::{BufRead, BufReader, Write},
    path::Path,
    sync::{Mutex, PoisonError},
};

use anyhow::Context;
use serde::{Serialize, de::DeserializeOwned};

/// Appends entries to a file. `append` passes each complete entry to the operating system before it returns, so
/// that the entry survives a crash of the process. Without a file, entries are discarded.
#[derive(Debug)]
pub struct JournalWriter {
    file: Option<Mutex<File>>,
}

impl JournalWriter {
    /// Opens a journal for appending and creates the file if needed. With an empty path, entries are discarded.
    pub fn open(path: &str) -> anyhow::Result<JournalWriter> {
        if path.is_empty() {
            return Ok(JournalWriter { file: None });
        }
        let file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)
            .with_context(|| format!("opening journal {path}"))?;
        Ok(JournalWriter { file: Some(Mutex::new(file)) })
    }

    /// Appends one entry.
    pub fn append(&self, entry: &impl Serialize) -> anyhow::Result<()> {
        let Some(file) = &self.file else { return Ok(()) };
        let mut line = serde_json::to_vec(entry).context("encoding a journal entry")?;
        line.push(b'\n');
        let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
        file.write_all(&line).context("appending to the journal")
    }
}

/// Reads all entries of a journal. A truncated last line, as after a crash of the writer, is skipped.
pub fn read_journal<T: DeserializeOwned>(path: &Path) -> anyhow::Result<Vec<T>> {
    let step = || format!("reading journal {}", path.display());
    let mut reader = BufReader::new(File::open(path).with_context(step)?);
    let mut entries = Vec::new();
    let mut line = String::new();
    while reader.read_line(&mut line).with_context(step)? > 0 && line.ends_with('\n') {
        entries.push(serde_json::from_str(&line).with_context(step)?);
        line.clear();
    }
    Ok(entries)
}
