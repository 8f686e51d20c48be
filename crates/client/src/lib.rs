//! The operators' command-line client.
//!
//! Commands connect only to the platform: they write `services/S` and `zones/Z` and read objects that agents
//! write. `explain-request` reads log files instead. Each error has an exit code, see `error::CommandError`.

mod args;
mod base;
mod commands;
mod conflict;
mod error;
mod log_lines;
mod retry;
mod table;
mod terminal;

#[cfg(test)]
mod tests;

use std::process::ExitCode;

use gumdrop::Options;

use crate::{args::Args, error::CommandError, terminal::Terminal};

/// Runs the command line of the process and returns its exit code.
pub fn main() -> ExitCode {
    env_logger::init();
    let terminal = Terminal::detect();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match run(&arguments, &terminal) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            terminal.print_error(&failure.to_string());
            ExitCode::from(failure.exit_code())
        }
    }
}

fn run(arguments: &[String], terminal: &Terminal) -> Result<(), CommandError> {
    let args = Args::parse_args_default(arguments)
        .map_err(|error| CommandError::Usage(format!("{error}; see pomelohill --help")))?;
    if args.help_requested() {
        terminal.print_line(&args::help(&args));
        return Ok(());
    }
    let Some(command) = args.command else {
        return Err(CommandError::Usage("no command is given; see pomelohill --help".to_owned()));
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| CommandError::Startup(error.to_string()))?;
    runtime.block_on(commands::run(args.platform, command, terminal))
}
