//! `pomelohilld`: the agent beside an upstream.

use std::{fs, path::PathBuf, process::ExitCode};

use agent::{ListenError, SettingsFile};
use gumdrop::Options;
use settings::AgentSettings;

/// Exit codes, after the common `sysexits.h`.
const EXIT_USAGE: u8 = 64;
const EXIT_NO_INPUT: u8 = 66;
const EXIT_UNAVAILABLE: u8 = 69;
const EXIT_SOFTWARE: u8 = 70;
const EXIT_CONFIG: u8 = 78;

/// The agent beside an upstream.
#[derive(Debug)]
#[derive(Options)]
struct Arguments {
    /// Print this help.
    help: bool,
    /// The settings file, JSON with comments.
    #[options(required, meta = "FILE")]
    settings: PathBuf,
}

/// A failure that ends the process: a message of one sentence, and the exit code.
struct ExitError {
    code: u8,
    message: String,
}

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(ExitError { code, message }) => {
            print_error(&message);
            ExitCode::from(code)
        }
    }
}

#[expect(clippy::print_stdout, reason = "the user asked for the help text")]
fn print_help() {
    println!("Usage: pomelohilld --settings FILE\n\n{}", Arguments::usage());
}

#[expect(clippy::print_stderr, reason = "logging may not be initialized yet")]
fn print_error(message: &str) {
    eprintln!("pomelohilld: {message}");
}

fn start() -> Result<(), ExitError> {
    let failure = |code, message| ExitError { code, message };
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments = Arguments::parse_args_default(&arguments)
        .map_err(|error| failure(EXIT_USAGE, format!("{error}; see --help.")))?;
    if arguments.help {
        print_help();
        return Ok(());
    }
    let file = arguments.settings.display();
    let text = fs::read_to_string(&arguments.settings)
        .map_err(|error| failure(EXIT_NO_INPUT, format!("{file}: {error}.")))?;
    let settings = AgentSettings::parse(&text)
        .map_err(|problems| failure(EXIT_CONFIG, format!("{file}: {problems}")))?;
    let _logging = logging::init(&settings.log);
    let file = SettingsFile { path: arguments.settings.clone(), settings };
    agent::run(file).map_err(|error| match error.downcast_ref::<ListenError>() {
        Some(error) => failure(EXIT_UNAVAILABLE, error.to_string()),
        None => failure(EXIT_SOFTWARE, format!("{error:#}.")),
    })
}
