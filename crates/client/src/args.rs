//! What can be asked for on the command line.

use gumdrop::Options;

const EXAMPLES: &str = "\
Examples:
  pomelohill check standings.jsonc
  pomelohill get standings > standings.jsonc
  pomelohill apply standings.jsonc
  pomelohill status standings
  pomelohill explain standings car-7
  pomelohill zone --close pitlane
  pomelohill explain-request a28de7bb21e91d88 logs/*.log

Exit codes:
  0  done                       4  the platform gave no answer
  1  the document is at fault   5  written, but not yet in force on all instances
  2  the command is at fault    6  there is no such service
  3  someone else was first     7  a file cannot be read or written

The platform's address is taken from POMELOHILL_PLATFORM if --platform is not given.";

/// Drives pomelohill by the documents of its services.
#[derive(Debug)]
#[derive(Options)]
pub(crate) struct Args {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(no_short, meta = "IP:PORT", help = "the platform's object API")]
    pub(crate) platform: Option<String>,
    #[options(command)]
    pub(crate) command: Option<Command>,
}

#[derive(Debug)]
#[derive(Options)]
pub(crate) enum Command {
    #[options(help = "check a document without the platform")]
    Check(CheckArgs),
    #[options(help = "write a document and wait until it is in force")]
    Apply(ApplyArgs),
    #[options(help = "print a service's document")]
    Get(ServiceArgs),
    #[options(help = "show what is in force, who owns what, and how it goes")]
    Status(StatusArgs),
    #[options(help = "follow a service's status")]
    Watch(WatchArgs),
    #[options(help = "say who owns a key, and why")]
    Explain(ExplainArgs),
    #[options(help = "show which availability zones are closed; close or open one")]
    Zone(ZoneArgs),
    #[options(help = "tell from logs what became of a request, and why")]
    ExplainRequest(ExplainRequestArgs),
}

/// Checks a document, or an agent's settings, as a whole and without the platform.
#[derive(Debug)]
#[derive(Options)]
pub(crate) struct CheckArgs {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(free, required, help = "the document")]
    pub(crate) file: String,
    #[options(help = "the file holds the settings of an agent")]
    pub(crate) agent: bool,
}

/// Writes a document on condition that nobody else has changed it, and waits until it is in force.
#[derive(Debug)]
#[derive(Options)]
pub(crate) struct ApplyArgs {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(free, required, help = "the document")]
    pub(crate) file: String,
    #[options(
        no_short,
        meta = "VERSION",
        help = "the version it is based on; 0 for a new service"
    )]
    pub(crate) base: Option<u64>,
    #[options(no_short, help = "do not wait until it is in force")]
    pub(crate) no_wait: bool,
    #[options(no_short, help = "show the difference and write nothing")]
    pub(crate) dry_run: bool,
    #[options(no_short, meta = "N", default = "60", help = "wait so many seconds at most")]
    pub(crate) timeout_s: u64,
}

/// Prints a service's document, and in its last line the version that an edit is based on.
#[derive(Debug)]
#[derive(Options)]
pub(crate) struct ServiceArgs {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(free, required, help = "the service")]
    pub(crate) service: String,
}

/// Shows what is in force, who owns what, and how it goes.
#[derive(Debug)]
#[derive(Options)]
pub(crate) struct StatusArgs {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(free, help = "one service; all of them, if left out")]
    pub(crate) service: Option<String>,
    #[options(no_short, help = "print one JSON object")]
    pub(crate) json: bool,
}

/// Prints a line for each status that a coordinator writes, until it is interrupted.
#[derive(Debug)]
#[derive(Options)]
pub(crate) struct WatchArgs {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(free, required, help = "the service")]
    pub(crate) service: String,
    #[options(no_short, meta = "N", help = "end after so many lines")]
    pub(crate) count: Option<u64>,
}

/// Says who owns a key, who follows, and why.
#[derive(Debug)]
#[derive(Options)]
pub(crate) struct ExplainArgs {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(free, required, help = "the service")]
    pub(crate) service: String,
    #[options(free, required, help = "the key, as a caller writes it")]
    pub(crate) key: String,
}

/// Shows which availability zones are closed. The upstreams of a closed zone get nothing new, and their keys
/// go to others; the zone's agents go on serving callers.
#[derive(Debug)]
#[derive(Options)]
pub(crate) struct ZoneArgs {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(free, help = "the zone; all that are closed, if left out")]
    pub(crate) zone: Option<String>,
    #[options(no_short, help = "close it")]
    pub(crate) close: bool,
    #[options(no_short, help = "open it again")]
    pub(crate) open: bool,
}

/// Tells from the logs of several instances what became of a request.
#[derive(Debug)]
#[derive(Options)]
pub(crate) struct ExplainRequestArgs {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(free, required, help = "the request's id, in hexadecimal digits")]
    pub(crate) id: String,
    #[options(free, help = "logs, a file for each instance, named after it")]
    pub(crate) files: Vec<String>,
    #[options(
        no_short,
        meta = "N",
        default = "2",
        help = "show what the instances decided up to so many seconds before and after"
    )]
    pub(crate) around_s: u64,
}

/// The help of the program, or of the command that was asked about.
pub(crate) fn help(args: &Args) -> String {
    let Some(command) = &args.command else {
        let commands = Args::command_list().unwrap_or_default();
        return format!(
            "Usage: pomelohill [--platform IP:PORT] COMMAND ...\n\n{}\n\nCommands:\n{commands}\n\n{EXAMPLES}",
            Args::usage()
        );
    };
    format!("Usage: pomelohill {}\n\n{}", synopsis(command), command.self_usage())
}

fn synopsis(command: &Command) -> &'static str {
    match command {
        Command::Check(_) => "check [--agent] FILE",
        Command::Apply(_) => "apply [OPTIONS] FILE",
        Command::Get(_) => "get SERVICE",
        Command::Status(_) => "status [--json] [SERVICE]",
        Command::Watch(_) => "watch [--count N] SERVICE",
        Command::Explain(_) => "explain SERVICE KEY",
        Command::Zone(_) => "zone [--close|--open] [ZONE]",
        Command::ExplainRequest(_) => "explain-request [--around-s N] ID FILE...",
    }
}
