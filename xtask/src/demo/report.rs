//! Report of a demo: printed lines and the kept journal of the callers.

use std::io::Write;

use anyhow::Context;
use serde_json::json;
use standins::journal::JournalWriter;

use super::{DemoOptions, evidence::Evidence, verdict::Verdict};
use crate::cluster::RunDir;

/// Largest number of findings that are printed.
const FINDINGS_MAX: usize = 20;

/// Prints one line on standard output.
pub(crate) fn print_line(text: &str) -> anyhow::Result<()> {
    writeln!(std::io::stdout(), "{text}").context("printing")
}

pub(super) fn print(
    verdict: &Verdict,
    seed: u64,
    dir: &RunDir,
    options: &DemoOptions,
) -> anyhow::Result<()> {
    let mut object = serde_json::to_value(verdict).context("encoding the verdict")?;
    for (name, value) in object.as_object().into_iter().flatten() {
        print_line(&format!("{name:20} {value}"))?;
    }
    for finding in verdict.findings.iter().take(FINDINGS_MAX) {
        print_line(&format!("violated: {finding}"))?;
    }
    if verdict.findings.len() > FINDINGS_MAX {
        print_line(&format!("and {} more", verdict.findings.len() - FINDINGS_MAX))?;
    }
    if options.keep || !verdict.holds() {
        print_line(&format!("seed {seed}; logs and journals are in {}", dir.path().display()))?;
    }
    print_line(if verdict.holds() { "all invariants held" } else { "invariants violated" })?;
    if options.json {
        object["seed"] = json!(seed);
        object["holds"] = json!(verdict.holds());
        print_line(&object.to_string())?;
    }
    Ok(())
}

/// Writes the callers' journal to the folder with the journals of the upstreams.
pub(super) fn write_calls(dir: &RunDir, evidence: &Evidence) -> anyhow::Result<()> {
    let path = dir.file("callers.jsonl");
    let journal = JournalWriter::open(&path.display().to_string())?;
    evidence.calls.iter().try_for_each(|it| journal.append(it))
}
