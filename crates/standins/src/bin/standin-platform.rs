//! Runs an in-memory platform, for development only.

use gumdrop::Options;
use standins::platform::{PlatformOptions, run};

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    run(PlatformOptions::parse_args_default_or_exit()).await
}
