//! Runs an upstream, for development only.

use gumdrop::Options;
use standins::upstream::{UpstreamOptions, run};

#[tokio::main(flavor = "current_thread")]
async fn main() -> anyhow::Result<()> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    run(UpstreamOptions::parse_args_default_or_exit()).await
}
