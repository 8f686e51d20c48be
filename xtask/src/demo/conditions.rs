//! Schedule, drawn from a seed, of the conditions that upstreams state: limits on their request rate, and leaving.

use std::{net::SocketAddr, time::Duration};

use http::Method;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use tokio::time::{Instant, sleep_until, timeout};
use volo_http::{body::Body, client::Client};

/// Number that makes the random stream of the conditions differ from that of the faults.
const CONDITION_STREAM: u64 = 1 << 62;
const PAUSE_RANGE_MS: std::ops::Range<u64> = 500..4_000;
/// Duration of a limit. The check begins some seconds after a limit is first stated.
const LIMIT_RANGE_MS: std::ops::Range<u64> = 4_000..12_000;
const LIMITS_PER_S: std::ops::Range<f64> = 1.0..30.0;
/// Time from the statement that an upstream is leaving until it exits.
const LEAVE_RANGE_MS: std::ops::Range<u64> = 2_500..6_000;
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A condition that an upstream states for a time.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct PlannedCondition {
    /// Time from the start of the callers.
    pub(crate) after: Duration,
    pub(crate) duration: Duration,
    pub(crate) upstream: SocketAddr,
    pub(crate) condition: Condition,
}

/// The condition of an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Condition {
    /// It takes this many requests per second; the limit changes once, by the factor.
    Limited { per_s: f64, factor: f64 },
    /// It exits at the end, and announces that it is leaving or does not.
    Leaving { announces: bool },
}

/// Draws conditions within a period. An upstream states one condition at a time.
pub(crate) fn plan(
    seed: u64,
    upstreams: &[SocketAddr],
    period: std::ops::Range<Duration>,
    with_leaving: bool,
) -> Vec<PlannedCondition> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ CONDITION_STREAM);
    let mut planned: Vec<PlannedCondition> = Vec::new();
    let mut after = period.start;
    while !upstreams.is_empty() {
        after += draw_ms(&mut rng, PAUSE_RANGE_MS);
        let upstream = upstreams[rng.random_range(0..upstreams.len())];
        let (duration, condition) = match rng.random_range(0..3) {
            0 if with_leaving => {
                let announces = rng.random_bool(0.5);
                (draw_ms(&mut rng, LEAVE_RANGE_MS), Condition::Leaving { announces })
            }
            _ => {
                let per_s = rng.random_range(LIMITS_PER_S);
                let factor = rng.random_range(0.3..2.0);
                (draw_ms(&mut rng, LIMIT_RANGE_MS), Condition::Limited { per_s, factor })
            }
        };
        if after + duration > period.end {
            break;
        }
        let is_busy =
            planned.iter().any(|it| it.upstream == upstream && it.after + it.duration > after);
        if !is_busy {
            planned.push(PlannedCondition { after, duration, upstream, condition });
        }
    }
    planned
}

fn draw_ms(rng: &mut impl Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

/// Makes the upstreams state the conditions, at their times.
pub(crate) async fn state_all(planned: &[PlannedCondition], start: Instant) -> anyhow::Result<()> {
    let client = Client::builder()
        .build()
        .map_err(|error| anyhow::anyhow!("building an HTTP client: {error}"))?;
    let states = planned.iter().map(|it| state(&client, it, start));
    futures_util::future::join_all(states).await;
    Ok(())
}

async fn state(client: &Client, planned: &PlannedCondition, start: Instant) {
    let PlannedCondition { after, duration, upstream, condition } = *planned;
    let at = start + after;
    match condition {
        Condition::Limited { per_s, factor } => {
            let limits = [
                (at, Some(per_s)),
                (at + duration / 2, Some(per_s * factor)),
                (at + duration, None),
            ];
            for (at, limit_per_s) in limits {
                sleep_until(at).await;
                post(client, upstream, json!({ "limit_per_s": limit_per_s })).await;
            }
        }
        Condition::Leaving { announces } => {
            sleep_until(at).await;
            let leave_after_ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
            let request = json!({ "leave_after_ms": leave_after_ms, "announces": announces });
            post(client, upstream, request).await;
        }
    }
}

/// Sends a condition to an upstream, which may have ended or be suspended.
async fn post(client: &Client, upstream: SocketAddr, condition: serde_json::Value) {
    let uri = format!("http://{upstream}/admin/condition");
    let request = client.request(Method::POST, uri).body(Body::from(condition.to_string()));
    match timeout(CALL_TIMEOUT, request.send()).await {
        Ok(Ok(_)) => {
            log::info!(target: "conditions", "The upstream at {upstream} states {condition}.")
        }
        Ok(Err(error)) => {
            log::info!(target: "conditions", "The upstream at {upstream} does not take {condition}: {error}.")
        }
        Err(_) => {
            log::info!(target: "conditions", "The upstream at {upstream} does not answer to {condition}.")
        }
    }
}
