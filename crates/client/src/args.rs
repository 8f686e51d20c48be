//! Options and commands of the command line, with their help texts.

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
  0  success                    4  the platform did not answer
  1  the document is invalid    5  written, but not in force on all instances in time
  2  invalid command line       6  not found: service, plan, status or log line
  3  conflicting change         7  a file cannot be read or written

Without --platform, the platform's address is read from the environment variable POMELOHILL_PLATFORM.";

/// Reads and changes the configuration documents of services and shows their status.
#[derive(Debug)]
#[derive(Options)]
pub(crate) struct Args {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(no_short, meta = "IP:PORT", help = "address of the platform's object API")]
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
    #[options(help = "show the accepted version, slot owners and load of services")]
    Status(StatusArgs),
    #[options(help = "print each new status of a service")]
    Watch(WatchArgs),
    #[options(help = "show the owner of a key and the reason for it")]
    Explain(ExplainArgs),
    #[options(help = "list closed availability zones; close or open a zone")]
    Zone(ZoneArgs),
    #[options(help = "show the outcome of a request and its cause from logs")]
    ExplainRequest(ExplainRequestArgs),
}

/// Checks a document, or an agent's settings, without access to the platform.
#[derive(Debug)]
#[derive(Options)]
pub(crate) struct CheckArgs {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(free, required, help = "file with the document")]
    pub(crate) file: String,
    #[options(help = "the file holds the settings of an agent")]
    pub(crate) agent: bool,
}

/// Writes a document unless it was changed since the version it is based on, and waits until it is in force.
#[derive(Debug)]
#[derive(Options)]
pub(crate) struct ApplyArgs {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(free, required, help = "file with the document")]
    pub(crate) file: String,
    #[options(
        no_short,
        meta = "VERSION",
        help = "version that the file is based on; 0 for a new service"
    )]
    pub(crate) base: Option<u64>,
    #[options(no_short, help = "do not wait until the version is in force")]
    pub(crate) no_wait: bool,
    #[options(no_short, help = "show the difference without writing")]
    pub(crate) dry_run: bool,
    #[options(no_short, meta = "N", default = "60", help = "maximum wait in seconds")]
    pub(crate) timeout_s: u64,
}

/// Prints a service's document; its last line names the version for a later `apply`.
#[derive(Debug)]
#[derive(Options)]
pub(crate) struct ServiceArgs {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(free, required, help = "the service")]
    pub(crate) service: String,
}

/// Shows the accepted version, slot owners and load of services.
#[derive(Debug)]
#[derive(Options)]
pub(crate) struct StatusArgs {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(free, help = "the service; default: all services")]
    pub(crate) service: Option<String>,
    #[options(no_short, help = "print one JSON object")]
    pub(crate) json: bool,
}

/// Prints a line for each status that a coordinator writes, until interrupted.
#[derive(Debug)]
#[derive(Options)]
pub(crate) struct WatchArgs {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(free, required, help = "the service")]
    pub(crate) service: String,
    #[options(no_short, meta = "N", help = "exit after this many lines")]
    pub(crate) count: Option<u64>,
}

/// Shows the owner and successors of a key, and the reason for the last move.
#[derive(Debug)]
#[derive(Options)]
pub(crate) struct ExplainArgs {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(free, required, help = "the service")]
    pub(crate) service: String,
    #[options(free, required, help = "the key, as written by callers")]
    pub(crate) key: String,
}

/// Lists closed availability zones; closes or opens a zone. Upstreams of a closed zone get no new requests and
/// their keys move to other zones; the zone's agents continue to serve callers.
#[derive(Debug)]
#[derive(Options)]
pub(crate) struct ZoneArgs {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(free, help = "the zone; default: all closed zones")]
    pub(crate) zone: Option<String>,
    #[options(no_short, help = "close the zone")]
    pub(crate) close: bool,
    #[options(no_short, help = "open the zone")]
    pub(crate) open: bool,
}

/// Shows the outcome of a request and its cause from the logs of several instances.
#[derive(Debug)]
#[derive(Options)]
pub(crate) struct ExplainRequestArgs {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(free, required, help = "id of the request, hexadecimal")]
    pub(crate) id: String,
    #[options(free, help = "log files, one per instance, each named after its instance")]
    pub(crate) files: Vec<String>,
    #[options(
        no_short,
        meta = "N",
        default = "2",
        help = "also show other log lines within this many seconds before and after"
    )]
    pub(crate) around_s: u64,
}

/// Returns the help of the program, or of the given command.
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
