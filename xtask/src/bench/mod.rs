//! Measurements. Speed is measured here only; tests assert none.

mod faults;
mod machine;
mod path;
mod process_usage;
mod spread;

use std::process::ExitCode;

use anyhow::Context;
use serde::Serialize;
use serde_json::json;

use self::machine::Machine;
use crate::{cluster::repository, demo::line};

/// Flags of `cargo xtask bench`.
#[derive(Debug, gumdrop::Options)]
pub(crate) struct BenchOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "path, faults, slopes or ownership")]
    name: String,
    #[options(no_short, help = "print one JSON object as the last line")]
    json: bool,
    #[options(no_short, help = "keep the result under docs/measurements")]
    save: bool,
    #[options(no_short, help = "what a measurement draws from", default = "1")]
    seed: u64,
    #[options(no_short, help = "how often each case is repeated", default = "3")]
    repeats: usize,
    #[options(no_short, help = "measure this case only")]
    case: String,
}

/// A kept result.
#[derive(Debug, Serialize)]
struct Kept<'a> {
    name: &'a str,
    machine: &'a Machine,
    result: &'a serde_json::Value,
}

/// Runs one measurement.
pub(crate) async fn run(options: BenchOptions) -> anyhow::Result<ExitCode> {
    let machine = Machine::read()?;
    line(&machine.to_string())?;
    let result = match options.name.as_str() {
        "path" => json!(path::run(&options).await?),
        "faults" => json!(faults::run(&options).await?),
        other => anyhow::bail!("no measurement {other:?}; there are path and faults"),
    };
    if options.save {
        save(&options, &machine, &result)?;
    }
    if options.json {
        line(&json!({ "machine": machine, "result": result }).to_string())?;
    }
    Ok(ExitCode::SUCCESS)
}

fn save(
    options: &BenchOptions,
    machine: &Machine,
    result: &serde_json::Value,
) -> anyhow::Result<()> {
    let folder = repository().join("docs/measurements");
    std::fs::create_dir_all(&folder).context("making docs/measurements")?;
    let name = match options.case.as_str() {
        "" => options.name.clone(),
        case => format!("{}-{case}", options.name),
    };
    let kept = Kept { name: &name, machine, result };
    let text = serde_json::to_string_pretty(&kept).context("encoding a measurement")?;
    let path = folder.join(format!("{name}.json"));
    std::fs::write(&path, text + "\n").with_context(|| format!("writing {name}.json"))
}
