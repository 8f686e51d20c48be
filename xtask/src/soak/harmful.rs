//! A harmful request: it crashes each upstream that starts to run it, and callers send it again and
//! again to any instance.

use std::{collections::BTreeMap, ops::Range, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use standins::{
    caller::{CallPolicy, Load, SendMode},
    journal::RunEntry,
};
use tokio::time::Instant;

use crate::{
    cluster::Cluster,
    demo::{
        evidence::{Evidence, Window},
        load::{self, Callers},
        verdict::Finding,
    },
};

/// Shard key by which upstreams recognise the harmful request.
pub(super) const HARMFUL_KEY: &str = "harmful";

/// Crashes of a service's upstreams after which agents have to stop forwarding the request.
const CRASHES_MAX: usize = 3;
/// Runs that are allowed nevertheless.
const EXTRA_RUNS_MAX: usize = 3;
/// Longest time until all agents have received the report of a crash; also the time before a run in
/// which a fault excuses the run.
const CRASH_REPORT_DELAY_NS: u64 = 3_000_000_000;

const HARMFUL_STREAM: u64 = 1 << 63;
/// Time after which a caller gives the request up; the next caller sends it again.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const REQUESTS_PER_S: Range<f64> = 0.5..4.0;
const CALLERS: Range<usize> = 1..4;

/// Fault that kept one instance, or all, from reporting a crash or receiving a report of one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Disturbance {
    /// Name of the affected instance; `None` if the fault affects all.
    pub(super) instance: Option<String>,
    pub(super) window: Window,
}

/// Adds callers that send the harmful request to each service, at rates drawn from the seed.
pub(super) fn add_callers(
    callers: &mut Callers,
    cluster: &Cluster,
    duration: Duration,
    start: Instant,
    seed: u64,
) {
    // A different random stream from that of the other callers, so that no request ids coincide.
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ HARMFUL_STREAM);
    for service in &cluster.services {
        let load = load::steady_load(cluster, service, duration);
        let harmful = Load {
            callers: rng.random_range(CALLERS),
            send_mode: SendMode::FixedRate { requests_per_s: rng.random_range(REQUESTS_PER_S) },
            // The first route is idempotent.
            routes: load.routes[..1].to_vec(),
            keys: vec![HARMFUL_KEY.to_owned()],
            hot_share: 0.0,
            policy: CallPolicy { call_timeout: CALL_TIMEOUT, ..load.policy.clone() },
            seed: rng.random(),
            ..load
        };
        callers.add(harmful, start);
    }
}

/// Returns a violation for each service whose upstreams ran the harmful request more often than
/// allowed. A run counts if it started well after the last allowed crash and no fault excuses it.
pub(super) fn violations(evidence: &Evidence, disturbances: &[Disturbance]) -> Vec<Finding> {
    let mut runs: BTreeMap<&str, Vec<(u64, &str)>> = BTreeMap::new();
    for upstream in &evidence.upstreams {
        let starts = upstream.entries.iter().filter_map(|it| match it {
            RunEntry::Started { at_ns, key, .. } if key == HARMFUL_KEY => Some(*at_ns),
            _ => None,
        });
        let starts = starts.map(|it| (it, upstream.instance.as_str()));
        runs.entry(&upstream.service).or_default().extend(starts);
    }
    let mut findings = Vec::new();
    for (service, mut runs) in runs {
        runs.sort_unstable();
        let Some((last_allowed_ns, _)) = runs.get(CRASHES_MAX - 1).copied() else { continue };
        let late = runs.iter().filter(|(at_ns, instance)| {
            let is_excuse = |it: &Disturbance| {
                it.instance.as_deref().is_none_or(|it| it == *instance)
                    && it.window.overlaps(at_ns.saturating_sub(CRASH_REPORT_DELAY_NS), *at_ns)
            };
            *at_ns > last_allowed_ns + CRASH_REPORT_DELAY_NS && !disturbances.iter().any(is_excuse)
        });
        let more = late.count();
        if more > EXTRA_RUNS_MAX {
            let detail = format!(
                "{service}: {more} further runs of the harmful request long after {CRASHES_MAX} upstreams had crashed, {} runs in total",
                runs.len()
            );
            findings.push(Finding { invariant: "harmful_sent_on", detail });
        }
    }
    findings
}

/// Draws the delay after which a crashed upstream is restarted.
pub(super) fn restart_delay_from_seed(seed: u64) -> Duration {
    Duration::from_millis(Pcg64Mcg::seed_from_u64(seed ^ !HARMFUL_STREAM).random_range(500..4_000))
}
