//! Repository chores: the demo and the measurements.

mod bench;
mod cluster;
mod demo;

use std::process::ExitCode;

use gumdrop::Options;

#[derive(Debug, Options)]
struct XtaskOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "run both deployments with faults and check the invariants")]
    Demo(demo::DemoOptions),
    #[options(help = "measure")]
    Bench(bench::BenchOptions),
}

#[tokio::main]
async fn main() -> anyhow::Result<ExitCode> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn,demo=info"))
        .init();
    let options = XtaskOptions::parse_args_default_or_exit();
    let command = options.command.ok_or_else(|| anyhow::anyhow!("name a command; try --help"))?;
    let work = async {
        match command {
            Command::Demo(options) => demo::run(options).await,
            Command::Bench(options) => bench::run(options).await,
        }
    };
    // Dropping the work ends and reaps all processes that it started.
    tokio::select! {
        code = work => code,
        _ = tokio::signal::ctrl_c() => anyhow::bail!("interrupted"),
    }
}
