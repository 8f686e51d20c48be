//! The commands.

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

/// Environment variable with the platform's address, used without `--platform`.
const PLATFORM_VARIABLE: &str = "POMELOHILL_PLATFORM";

pub(crate) async fn run(
    platform: Option<String>,
    command: Command,
    terminal: &Terminal,
) -> Result<(), CommandError> {
    match command {
        Command::Check(args) => check::run(&args, terminal),
        Command::Apply(args) => apply::run(&open_store(platform)?, &args, terminal).await,
        Command::Get(args) => get::run(&open_store(platform)?, &args, terminal).await,
        Command::Status(args) => status::run(&open_store(platform)?, &args, terminal).await,
        Command::Watch(args) => watch::run(&open_store(platform)?, &args, terminal).await,
        Command::Explain(args) => explain::run(&open_store(platform)?, &args, terminal).await,
        Command::Zone(args) => zone::run(&open_store(platform)?, &args, terminal).await,
        Command::ExplainRequest(args) => explain_request::run(&args, terminal),
    }
}

fn open_store(platform: Option<String>) -> Result<RetryingStore, CommandError> {
    let address = platform.or_else(|| env::var(PLATFORM_VARIABLE).ok());
    let Some(text) = address else {
        let message = format!(
            "no platform address is given: use --platform IP:PORT or set {PLATFORM_VARIABLE}"
        );
        return Err(CommandError::Usage(message));
    };
    let address: SocketAddr = text.parse().map_err(|_| {
        CommandError::Usage(format!("{text:?} is not IP:PORT; host names are not supported"))
    })?;
    RetryingStore::new(address)
}

fn parse_service_name(text: &str) -> Result<ServiceName, CommandError> {
    ServiceName::new(text)
        .map_err(|error| CommandError::Usage(format!("invalid service name {text:?}: {error}")))
}

fn read_file(path: &str) -> Result<String, CommandError> {
    std::fs::read_to_string(path)
        .map_err(|source| CommandError::FileAccess { path: path.to_owned(), source })
}
