//! Flags of `standin-upstream`.

use std::{net::SocketAddr, time::Duration};

use anyhow::Context;

/// Flags of `standin-upstream`.
#[derive(Debug)]
#[derive(gumdrop::Options)]
pub struct UpstreamOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(help = "IP:PORT to listen on; port 0 selects a free port", default = "127.0.0.1:0")]
    pub listen: String,
    #[options(help = "caller address of the agent, IP:PORT; empty: no announcements")]
    pub agent: String,
    #[options(help = "the service to announce")]
    pub service: String,
    #[options(no_short, help = "maximum number of running requests", default = "12")]
    pub slots: u16,
    #[options(
        no_short,
        help = "maximum number of accepted requests, queued ones included",
        default = "120"
    )]
    pub connections_max: usize,
    #[options(no_short, help = "mean run time of a request", default = "5")]
    pub service_ms: f64,
    #[options(no_short, help = "time from the start until the upstream is ready", default = "0")]
    pub warmup_ms: u64,
    #[options(
        no_short,
        help = "whether fence tokens are checked: checked or unchecked",
        default = "unchecked"
    )]
    pub fence: String,
    #[options(
        no_short,
        help = "refuse requests above this number of accepted ones",
        default = "100"
    )]
    pub shed_above: usize,
    #[options(no_short, help = "maximum age of reported health and load", default = "0")]
    pub health_lag_ms: u64,
    #[options(
        no_short,
        help = "time for which a draining upstream accepts requests",
        default = "3000"
    )]
    pub drain_ms: u64,
    #[options(no_short, help = "seed of the random run times", default = "1")]
    pub seed: u64,
    #[options(
        no_short,
        help = "exit during a request for this key, to simulate a crash; empty: never"
    )]
    pub ends_on: String,
    #[options(no_short, help = "journal file; empty: no journal")]
    pub journal: String,
}

/// The parsed flags.
#[derive(Debug, Clone)]
pub(crate) struct Config {
    pub(crate) listen: SocketAddr,
    pub(crate) agent: Option<SocketAddr>,
    pub(crate) service: String,
    pub(crate) slots: u16,
    pub(crate) connections_max: usize,
    pub(crate) service_time: Duration,
    pub(crate) warmup: Duration,
    pub(crate) checks_fence: bool,
    pub(crate) shed_above: usize,
    pub(crate) health_lag: Duration,
    pub(crate) drain: Duration,
    pub(crate) seed: u64,
    /// Key whose requests end the process; `None` if no key does.
    pub(crate) ends_on: Option<String>,
    pub(crate) journal: String,
}

impl TryFrom<UpstreamOptions> for Config {
    type Error = anyhow::Error;

    fn try_from(options: UpstreamOptions) -> anyhow::Result<Config> {
        let agent = match options.agent.as_str() {
            "" => None,
            text => Some(text.parse().context("invalid --agent, expected IP:PORT")?),
        };
        let checks_fence = match options.fence.as_str() {
            "checked" => true,
            "unchecked" => false,
            other => anyhow::bail!("invalid --fence {other:?}, expected checked or unchecked"),
        };
        let service_time = Duration::try_from_secs_f64(options.service_ms / 1e3)
            .context("invalid --service-ms, expected a number of milliseconds")?;
        Ok(Config {
            listen: options.listen.parse().context("invalid --listen, expected IP:PORT")?,
            agent,
            service: options.service,
            slots: options.slots,
            connections_max: options.connections_max,
            service_time,
            warmup: Duration::from_millis(options.warmup_ms),
            checks_fence,
            shed_above: options.shed_above,
            health_lag: Duration::from_millis(options.health_lag_ms),
            drain: Duration::from_millis(options.drain_ms),
            seed: options.seed,
            ends_on: Some(options.ends_on).filter(|it| !it.is_empty()),
            journal: options.journal,
        })
    }
}
