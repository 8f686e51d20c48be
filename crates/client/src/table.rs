//! Text tables and human-readable times.

use std::time::{SystemTime, UNIX_EPOCH};

const COLUMN_GAP: &str = "  ";

/// A text table. Each row has as many cells as there are headings.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new(headings: &[&str]) -> Table {
        Table { rows: vec![headings.iter().map(|it| it.to_string()).collect()] }
    }

    pub(crate) fn add_row(&mut self, cells: &[String]) {
        self.rows.push(cells.to_vec());
    }

    pub(crate) fn render(&self) -> String {
        let columns = self.rows[0].len();
        let width = |column: usize| {
            self.rows.iter().map(|it| it[column].chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let line = |row: &Vec<String>| {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
            cells.collect::<Vec<_>>().join(COLUMN_GAP).trim_end().to_owned()
        };
        self.rows.iter().map(line).collect::<Vec<_>>().join("\n")
    }
}

/// Returns the milliseconds since the Unix epoch, by this machine's clock.
pub(crate) fn now_unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

/// Formats the age of a time. A time in the future, as from a clock that is ahead, has age zero.
pub(crate) fn format_age(at_unix_ms: u64, now_unix_ms: u64) -> String {
    let seconds = now_unix_ms.saturating_sub(at_unix_ms) / 1_000;
    match seconds {
        0..=119 => format!("{seconds} s ago"),
        120..=7_199 => format!("{} min ago", seconds / 60),
        _ => format!("{} h ago", seconds / 3_600),
    }
}
