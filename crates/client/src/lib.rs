//! The operators' command-line client.
//!
//! It speaks to the platform alone: it writes `services/S` and reads what agents write; only
//! `explain-request` reads logs instead. Every command ends with one of the exit codes of `failure::Failure`.

mod args;
mod base;
mod commands;
mod conflict;
mod failure;
mod log_lines;
mod retry;
mod table;
mod terminal;

#[cfg(test)]
mod tests;

use std::process::ExitCode;

use gumdrop::Options;

use crate::{args::Args, failure::Failure, terminal::Terminal};

/// Runs the program with the arguments of the process.
pub fn main() -> ExitCode {
    env_logger::init();
    let terminal = Terminal::detect();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match run(&arguments, &terminal) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            terminal.error(&failure.to_string());
            ExitCode::from(failure.exit_code())
        }
    }
}

fn run(arguments: &[String], terminal: &Terminal) -> Result<(), Failure> {
    let args = Args::parse_args_default(arguments)
        .map_err(|error| Failure::Usage(format!("{error}; see pomelohill --help")))?;
    if args.help_requested() {
        terminal.line(&args::help(&args));
        return Ok(());
    }
    let Some(command) = args.command else {
        return Err(Failure::Usage("no command is given; see pomelohill --help".to_owned()));
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Failure::Start(error.to_string()))?;
    runtime.block_on(commands::run(args.platform, command, terminal))
}
