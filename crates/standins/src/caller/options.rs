//! Flags of `standin-caller`.

use std::{str::FromStr, time::Duration};

use anyhow::Context;
use http::Method;
use tokio::time::Instant;

use super::{CallPolicy, Load, LoadSummary, SendMode, TargetKind, run_load};

/// A kind of request within a load, and its share.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedRoute {
    pub method: Method,
    /// `/SERVICE/...`, with `{key}` as the placeholder of the key.
    pub path: String,
    pub idempotent: bool,
    /// Weight among the routes of the load; the weights need not add up to one.
    pub share: f64,
}

impl WeightedRoute {
    /// Returns the class of the requests: the last segment of the path.
    pub fn class(&self) -> &str {
        self.path.rsplit('/').next().unwrap_or_default()
    }
}

impl FromStr for WeightedRoute {
    type Err = anyhow::Error;

    /// Parses `METHOD:PATH:repeat|once:SHARE`.
    fn from_str(text: &str) -> anyhow::Result<WeightedRoute> {
        let parts: Vec<&str> = text.split(':').collect();
        let [method, path, repeat, share] = parts[..] else {
            anyhow::bail!("invalid route {text:?}, expected METHOD:PATH:repeat|once:SHARE");
        };
        let idempotent = match repeat {
            "repeat" => true,
            "once" => false,
            other => {
                anyhow::bail!("invalid {other:?} in a route, expected repeat or once")
            }
        };
        Ok(WeightedRoute {
            method: method.parse().context("parsing the method of a route")?,
            path: path.to_owned(),
            idempotent,
            share: share.parse().context("parsing the share of a route")?,
        })
    }
}

/// Flags of `standin-caller`.
#[derive(Debug)]
#[derive(gumdrop::Options)]
pub struct CallerOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(help = "caller addresses of agents: IP:PORT,IP:PORT", required)]
    pub targets: String,
    #[options(help = "the service to call", required)]
    pub service: String,
    #[options(help = "METHOD:PATH:repeat|once:SHARE; can be given several times", required)]
    pub route: Vec<WeightedRoute>,
    #[options(no_short, help = "number of callers; all start at the same time", default = "100")]
    pub callers: usize,
    #[options(no_short, help = "total rate; 0: each caller waits for its answer", default = "0")]
    pub requests_per_s: f64,
    #[options(no_short, help = "time for which callers send requests", default = "10000")]
    pub duration_ms: u64,
    #[options(no_short, help = "number of keys", default = "100")]
    pub keys: usize,
    #[options(no_short, help = "share of the requests for the first key", default = "0")]
    pub hot_share: f64,
    #[options(no_short, help = "filler bytes in each answer", default = "64")]
    pub answer_bytes: usize,
    #[options(no_short, help = "deadline of each attempt", default = "1000")]
    pub deadline_ms: u64,
    #[options(no_short, help = "time after which a request is not sent again", default = "10000")]
    pub patience_ms: u64,
    #[options(no_short, help = "send each request only once")]
    pub no_resend: bool,
    #[options(no_short, help = "the targets are upstreams, called without agents")]
    pub direct: bool,
    #[options(no_short, help = "seed of random keys, routes and ids", default = "1")]
    pub seed: u64,
    #[options(no_short, help = "journal file; empty: no journal")]
    pub journal: String,
}

impl TryFrom<CallerOptions> for Load {
    type Error = anyhow::Error;

    fn try_from(options: CallerOptions) -> anyhow::Result<Load> {
        let targets = options.targets.split(',').map(|it| it.parse().context("parsing --targets"));
        let send_mode = match options.requests_per_s {
            rate if rate > 0.0 => SendMode::FixedRate { requests_per_s: rate },
            _ => SendMode::ClosedLoop,
        };
        let call_timeout = Duration::from_millis(options.patience_ms);
        Ok(Load {
            targets: targets.collect::<anyhow::Result<_>>()?,
            service: options.service,
            callers: options.callers,
            send_mode,
            duration: Duration::from_millis(options.duration_ms),
            routes: options.route,
            keys: (0..options.keys).map(|it| format!("key-{it}")).collect(),
            hot_share: options.hot_share,
            answer_bytes: options.answer_bytes,
            deadline: Duration::from_millis(options.deadline_ms),
            policy: CallPolicy {
                call_timeout,
                is_resend_enabled: !options.no_resend,
                target_kind: if options.direct { TargetKind::Upstream } else { TargetKind::Agent },
                ..CallPolicy::default()
            },
            seed: options.seed,
            journal: options.journal,
        })
    }
}

/// Runs the load and returns its summary.
pub async fn run(options: CallerOptions) -> anyhow::Result<LoadSummary> {
    let report = run_load(Load::try_from(options)?, Instant::now()).await?;
    LoadSummary::new(&report.records)
}
