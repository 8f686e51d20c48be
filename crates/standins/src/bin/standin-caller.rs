//! Simulates callers, for development only. Prints a summary as one JSON object when the load has ended.

use std::io::Write;

use gumdrop::Options;
use standins::caller::{CallerOptions, run};

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let summary = run(CallerOptions::parse_args_default_or_exit()).await?;
    writeln!(std::io::stdout(), "{}", serde_json::to_string(&summary)?)?;
    Ok(())
}
