//! What each command does.

mod apply;
mod check;
mod explain;
mod explain_request;
mod get;
mod status;
mod wait;
mod watch;
mod zone;

use std::{env, net::SocketAddr};

use model::ServiceName;

use crate::{args::Command, error::CommandError, retry::RetryingStore, terminal::Terminal};

/// Names the platform's address if the command line does not.
const PLATFORM_VARIABLE: &str = "POMELOHILL_PLATFORM";

pub(crate) async fn run(
    platform: Option<String>,
    command: Command,
    terminal: &Terminal,
) -> Result<(), CommandError> {
    match command {
        Command::Check(args) => check::run(&args, terminal),
        Command::Apply(args) => apply::run(&store(platform)?, &args, terminal).await,
        Command::Get(args) => get::run(&store(platform)?, &args, terminal).await,
        Command::Status(args) => status::run(&store(platform)?, &args, terminal).await,
        Command::Watch(args) => watch::run(&store(platform)?, &args, terminal).await,
        Command::Explain(args) => explain::run(&store(platform)?, &args, terminal).await,
        Command::Zone(args) => zone::run(&store(platform)?, &args, terminal).await,
        Command::ExplainRequest(args) => explain_request::run(&args, terminal),
    }
}

fn store(platform: Option<String>) -> Result<RetryingStore, CommandError> {
    let given = platform.or_else(|| env::var(PLATFORM_VARIABLE).ok());
    let Some(text) = given else {
        let message =
            format!("no platform is named: use --platform IP:PORT or {PLATFORM_VARIABLE}");
        return Err(CommandError::Usage(message));
    };
    let address: SocketAddr = text.parse().map_err(|_| {
        CommandError::Usage(format!("{text:?} is no IP:PORT; names are not looked up"))
    })?;
    RetryingStore::new(address)
}

fn service_name(text: &str) -> Result<ServiceName, CommandError> {
    ServiceName::new(text)
        .map_err(|error| CommandError::Usage(format!("{text:?} is no name of a service: {error}")))
}

fn read_file(path: &str) -> Result<String, CommandError> {
    std::fs::read_to_string(path)
        .map_err(|source| CommandError::FileAccess { path: path.to_owned(), source })
}
