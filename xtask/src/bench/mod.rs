//! Measurements. Performance is measured only here; no test asserts it.

mod config;
mod faults;
mod losses;
mod machine;
mod overload;
mod ownership;
mod path;
mod plot;
mod process_usage;
mod rest;
mod slopes;
mod spread;

use std::{
    path::PathBuf,
    process::{Command, ExitCode},
};

use anyhow::Context;
use serde::Serialize;
use serde_json::json;

use self::machine::Machine;
use crate::{cluster::repository, demo::print_line};

/// Flags of `cargo xtask bench`.
#[derive(Debug)]
#[derive(gumdrop::Options)]
pub(crate) struct BenchOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "config, path, faults, losses, slopes, rest, overload or ownership")]
    name: String,
    #[options(no_short, help = "print one JSON object as the last line")]
    json: bool,
    #[options(no_short, help = "save the result under docs/measurements")]
    save: bool,
    #[options(no_short, help = "draw slopes under docs/measurements")]
    plot: bool,
    #[options(no_short, help = "seed of the measurement", default = "1")]
    seed: u64,
    #[options(no_short, help = "number of runs of each case", default = "3")]
    repeats: usize,
    #[options(no_short, help = "measure only this case; for faults, a comma-separated list")]
    case: String,
}

/// Result as it is saved.
#[derive(Debug)]
#[derive(Serialize)]
struct SavedResult<'a> {
    name: &'a str,
    machine: &'a Machine,
    result: &'a serde_json::Value,
}

/// Runs one measurement. Callers and the cores without I/O run in this process, so that it has to be
/// optimised like the measured programs: an unoptimised build runs an optimised build of itself.
pub(crate) async fn run(options: BenchOptions) -> anyhow::Result<ExitCode> {
    if cfg!(debug_assertions) {
        return run_optimised();
    }
    let machine = Machine::read()?;
    print_line(&machine.to_string())?;
    let result = match options.name.as_str() {
        "path" => json!(path::run(&options).await?),
        "faults" => json!(faults::run(&options).await?),
        "ownership" => {
            let report = ownership::run(options.seed);
            report.lines().iter().try_for_each(|it| print_line(it))?;
            json!(report)
        }
        "overload" => {
            let report = overload::run(options.seed);
            report.lines().iter().try_for_each(|it| print_line(it))?;
            json!(report)
        }
        "config" => json!(config::run(options.seed).await?),
        "losses" => json!(losses::run(options.seed)?),
        "rest" => json!(rest::run(options.seed).await?),
        "slopes" => {
            let report = slopes::run(&options)?;
            if options.plot {
                plot_slopes(&report)?;
            }
            json!(report)
        }
        other => {
            anyhow::bail!(
                "unknown measurement {other:?}; expected config, path, faults, losses, slopes, rest, overload or ownership"
            )
        }
    };
    if options.save {
        save(&options, &machine, &result)?;
    }
    if options.json {
        print_line(&json!({ "machine": machine, "result": result }).to_string())?;
    }
    Ok(ExitCode::SUCCESS)
}

/// Slopes that are plotted, as (quantity, size).
const PLOTTED_SLOPES: &[(&str, &str)] = &[
    ("coordinator_bytes_per_s", "members"),
    ("coordinator_cpu_us_per_s", "members"),
    ("coordinator_cpu_us_per_s", "slots"),
    ("plan_bytes", "slots"),
    ("resident_bytes_with_256_byte_answers", "records"),
];

fn plot_slopes(report: &slopes::SlopesReport) -> anyhow::Result<()> {
    let folder = measurements_folder()?;
    let is_plotted = |it: &&slopes::Slope| PLOTTED_SLOPES.contains(&(it.quantity, it.against));
    for slope in report.slopes.iter().filter(is_plotted) {
        let name = format!("{}-against-{}.svg", slope.quantity, slope.against);
        plot::draw_slope(slope, &folder.join(name))?;
    }
    Ok(())
}

fn measurements_folder() -> anyhow::Result<PathBuf> {
    let folder = repository().join("docs/measurements");
    std::fs::create_dir_all(&folder).context("creating docs/measurements")?;
    Ok(folder)
}

fn run_optimised() -> anyhow::Result<ExitCode> {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let status = Command::new(cargo)
        .current_dir(repository())
        .args(["run", "--quiet", "--release", "--package", "xtask", "--"])
        .args(std::env::args_os().skip(1))
        .status()
        .context("starting an optimised build of xtask")?;
    Ok(if status.success() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn save(
    options: &BenchOptions,
    machine: &Machine,
    result: &serde_json::Value,
) -> anyhow::Result<()> {
    let folder = measurements_folder()?;
    let name = options.name.clone();
    let saved = SavedResult { name: &name, machine, result };
    let text = serde_json::to_string_pretty(&saved).context("encoding a measurement")?;
    let path = folder.join(format!("{name}.json"));
    std::fs::write(&path, text + "\n").with_context(|| format!("writing {name}.json"))
}
