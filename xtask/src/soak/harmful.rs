//! A request under which each upstream ends that begins to run it, sent again and again at any instance.

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

/// The key by which upstreams know it.
pub(super) const HARMFUL_KEY: &str = "harmful";

/// Ends of upstreams after which nobody may send it on, but for a few sendings.
const ENDS_MAX: usize = 3;
const MORE_RUNS_MAX: usize = 3;
/// How long word of that may take, and for how long a fault excuses.
const WORD_NS: u64 = 3_000_000_000;

const OWN_STREAM: u64 = 1 << 63;
/// How long one caller goes on; the next one comes with the same request.
const PATIENCE: Duration = Duration::from_secs(1);
const REQUESTS_PER_S: Range<f64> = 0.5..4.0;
const CALLERS: Range<usize> = 1..4;

/// What kept an instance, or all of them, from hearing of an end or telling of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Disturbed {
    /// None: all.
    pub(super) instance: Option<String>,
    pub(super) window: Window,
}

/// Callers of each service that send it for a time, as drawn from the seed.
pub(super) fn add_callers(
    callers: &mut Callers,
    cluster: &Cluster,
    duration: Duration,
    start: Instant,
    seed: u64,
) {
    // Not the stream from which the other callers draw: ids are not to be the same.
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ OWN_STREAM);
    for service in &cluster.services {
        let load = load::steady(cluster, service, duration);
        let harmful = Load {
            callers: rng.random_range(CALLERS),
            send_mode: SendMode::FixedRate { requests_per_s: rng.random_range(REQUESTS_PER_S) },
            // The first route is idempotent.
            routes: load.routes[..1].to_vec(),
            keys: vec![HARMFUL_KEY.to_owned()],
            hot_share: 0.0,
            policy: CallPolicy { call_timeout: PATIENCE, ..load.policy.clone() },
            seed: rng.random(),
            ..load
        };
        callers.add(harmful, start);
    }
}

/// Runs of it that nothing excuses, beyond those that are allowed.
pub(super) fn violations(evidence: &Evidence, disturbed: &[Disturbed]) -> Vec<Finding> {
    let mut runs: BTreeMap<&str, Vec<(u64, &str)>> = BTreeMap::new();
    for upstream in &evidence.upstreams {
        let began = upstream.entries.iter().filter_map(|it| match it {
            RunEntry::Started { at_ns, key, .. } if key == HARMFUL_KEY => Some(*at_ns),
            _ => None,
        });
        let began = began.map(|it| (it, upstream.instance.as_str()));
        runs.entry(&upstream.service).or_default().extend(began);
    }
    let mut findings = Vec::new();
    for (service, mut runs) in runs {
        runs.sort_unstable();
        let Some((third_ns, _)) = runs.get(ENDS_MAX - 1).copied() else { continue };
        let late = runs.iter().filter(|(at_ns, instance)| {
            let excuses = |it: &Disturbed| {
                it.instance.as_deref().is_none_or(|it| it == *instance)
                    && it.window.overlaps(at_ns.saturating_sub(WORD_NS), *at_ns)
            };
            *at_ns > third_ns + WORD_NS && !disturbed.iter().any(excuses)
        });
        let more = late.count();
        if more > MORE_RUNS_MAX {
            let detail = format!(
                "{service}: {more} more runs long after {ENDS_MAX} upstreams had ended, {} in all",
                runs.len()
            );
            findings.push(Finding { invariant: "harmful_sent_on", detail });
        }
    }
    findings
}

/// How long an ended upstream stays away, as drawn from the seed.
pub(super) fn stays_away(seed: u64) -> Duration {
    Duration::from_millis(Pcg64Mcg::seed_from_u64(seed ^ !OWN_STREAM).random_range(500..4_000))
}
