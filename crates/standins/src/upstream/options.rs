//! Flags of `standin-upstream`.

use std::{net::SocketAddr, time::Duration};

use anyhow::Context;

/// Flags of `standin-upstream`.
#[derive(Debug)]
#[derive(gumdrop::Options)]
pub struct UpstreamOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(help = "IP:PORT to listen at; port 0 takes a free one", default = "127.0.0.1:0")]
    pub listen: String,
    #[options(help = "IP:PORT of the agent's caller port; empty: announce to nobody")]
    pub agent: String,
    #[options(help = "the service to announce")]
    pub service: String,
    #[options(no_short, help = "requests run at once", default = "12")]
    pub slots: u16,
    #[options(no_short, help = "requests taken at once, waiting ones included", default = "120")]
    pub connections_max: usize,
    #[options(no_short, help = "mean time to run a request", default = "5")]
    pub service_ms: f64,
    #[options(no_short, help = "time from the start until it is ready", default = "0")]
    pub warmup_ms: u64,
    #[options(no_short, help = "checked or unchecked", default = "unchecked")]
    pub fence: String,
    #[options(no_short, help = "refuse when this many run or wait", default = "100")]
    pub shed_above: usize,
    #[options(no_short, help = "age that health and load may have", default = "0")]
    pub health_lag_ms: u64,
    #[options(no_short, help = "time it stays open after it began to leave", default = "3000")]
    pub drain_ms: u64,
    #[options(no_short, help = "seed of its service times", default = "1")]
    pub seed: u64,
    #[options(
        no_short,
        help = "the process ends when it runs a request for this key; empty: none"
    )]
    pub ends_on: String,
    #[options(no_short, help = "file of the journal; empty: none")]
    pub journal: String,
}

/// The flags, checked.
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
    /// None: no request ends it.
    pub(crate) ends_on: Option<String>,
    pub(crate) journal: String,
}

impl TryFrom<UpstreamOptions> for Config {
    type Error = anyhow::Error;

    fn try_from(options: UpstreamOptions) -> anyhow::Result<Config> {
        let agent = match options.agent.as_str() {
            "" => None,
            text => Some(text.parse().context("--agent is IP:PORT")?),
        };
        let checks_fence = match options.fence.as_str() {
            "checked" => true,
            "unchecked" => false,
            other => anyhow::bail!("--fence is checked or unchecked, not {other:?}"),
        };
        let service_time = Duration::try_from_secs_f64(options.service_ms / 1e3)
            .context("--service-ms is a time")?;
        Ok(Config {
            listen: options.listen.parse().context("--listen is IP:PORT")?,
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
