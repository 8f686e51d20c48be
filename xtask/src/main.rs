//! Development tasks of the repository: the demo, the soak test and the measurements.

mod bench;
mod cluster;
mod demo;
mod soak;
mod run_lock;

use std::process::ExitCode;

use anyhow::Context;
use gumdrop::Options;
use tokio::signal::unix::{SignalKind, signal};

#[derive(Debug)]
#[derive(Options)]
struct XtaskOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug)]
#[derive(Options)]
enum Command {
    #[options(help = "run both deployments with faults and check the invariants")]
    Demo(demo::DemoOptions),
    #[options(help = "measure")]
    Bench(bench::BenchOptions),
    #[options(help = "inject overlapping faults for minutes and check the invariants")]
    Soak(soak::SoakOptions),
}

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn,demo=info"))
        .init();
    let options = XtaskOptions::parse_args_default_or_exit();
    // Dropping the future kills and reaps all processes that it started.
    let code = tokio::select! {
        code = run(options) => code,
        signal = stop_signal() => signal.and_then(|()| anyhow::bail!("interrupted")),
    };
    code.unwrap_or_else(|error| {
        log::error!(target: "xtask", "{error:#}.");
        ExitCode::FAILURE
    })
}

async fn stop_signal() -> anyhow::Result<()> {
    let mut terminate =
        signal(SignalKind::terminate()).context("installing the SIGTERM handler")?;
    tokio::select! {
        interrupted = tokio::signal::ctrl_c() => interrupted.context("waiting for SIGINT"),
        _ = terminate.recv() => Ok(()),
    }
}

async fn run(options: XtaskOptions) -> anyhow::Result<ExitCode> {
    match options.command.context("no command given; see --help")? {
        Command::Demo(options) => demo::run(options).await,
        Command::Bench(options) => bench::run(options).await,
        Command::Soak(options) => soak::run(options).await,
    }
}
