//! Load of the demo: a burst of all callers at one instant, and a steady load over all keys.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use standins::caller::{CallPolicy, Load, SendMode, run_load};
use standins::journal::CallRecord;
use tokio::{task::JoinSet, time::Instant};

use crate::cluster::{Cluster, Service, key};

/// Number of callers of each service in the burst.
const BURST_CALLERS: usize = 100;
const BURST_DURATION: Duration = Duration::from_secs(1);
const STEADY_CALLERS: usize = 20;
/// Rate at which each of the probed keys is requested about every 60 ms.
const STEADY_REQUESTS_PER_S: f64 = 400.0;
const STEADY_REQUESTS_PER_S_WITHOUT_KEY: f64 = 100.0;
const KEYS: usize = 24;
/// Number of keys of the burst and of the broad load: enough to measure the imbalance of upstreams.
const BROAD_KEYS: usize = 600;
const BROAD_REQUESTS_PER_S: f64 = 200.0;
/// Share of the requests that go to the hottest key.
const HOT_SHARE: f64 = 0.1;
const ANSWER_BYTES: usize = 2_000;
const DEADLINE: Duration = Duration::from_secs(1);
const CALL_TIMEOUT: Duration = Duration::from_secs(8);

/// Callers that run in the background.
pub(crate) struct Callers {
    loads: JoinSet<anyhow::Result<Vec<CallRecord>>>,
}

impl Callers {
    /// Starts all callers at the same instant; they send requests for `duration`.
    pub(crate) fn start(
        cluster: &Cluster,
        duration: Duration,
        start: Instant,
        seed: u64,
    ) -> Callers {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut loads = JoinSet::new();
        for service in &cluster.services {
            for load in loads_of(cluster, service, duration) {
                let load = Load { seed: rng.random(), ..load };
                loads.spawn(async move { Ok(run_load(load, start).await?.records) });
            }
        }
        Callers { loads }
    }

    /// Starts the callers of an additional load.
    pub(crate) fn add(&mut self, load: Load, start: Instant) {
        self.loads.spawn(async move { Ok(run_load(load, start).await?.records) });
    }

    /// Waits until all requests have ended and returns their records.
    pub(crate) async fn finish(mut self) -> anyhow::Result<Vec<CallRecord>> {
        let mut calls = Vec::new();
        while let Some(records) = self.loads.join_next().await {
            calls.extend(records??);
        }
        Ok(calls)
    }
}

/// Returns the keys that the steady load requests.
pub(crate) fn probed_keys() -> impl Iterator<Item = String> {
    (0..KEYS).map(key)
}

fn loads_of(cluster: &Cluster, service: &Service, duration: Duration) -> Vec<Load> {
    let steady_load = steady_load(cluster, service, duration);
    let broad = Load {
        send_mode: SendMode::FixedRate { requests_per_s: BROAD_REQUESTS_PER_S },
        keys: (0..BROAD_KEYS).map(key).collect(),
        hot_share: 0.0,
        ..steady_load.clone()
    };
    let burst = Load {
        callers: BURST_CALLERS,
        duration: BURST_DURATION,
        send_mode: SendMode::ClosedLoop,
        ..broad.clone()
    };
    match service.document.keyed {
        true => vec![burst, steady_load, broad],
        false => vec![burst, steady_load],
    }
}

/// Returns a steady load on the probed keys of a service.
pub(crate) fn steady_load(cluster: &Cluster, service: &Service, duration: Duration) -> Load {
    let requests_per_s = match service.document.keyed {
        true => STEADY_REQUESTS_PER_S,
        false => STEADY_REQUESTS_PER_S_WITHOUT_KEY,
    };
    Load {
        service: service.name().to_owned(),
        targets: cluster.caller_addresses(service.spec.team),
        callers: STEADY_CALLERS,
        send_mode: SendMode::FixedRate { requests_per_s },
        duration,
        routes: service.routes.clone(),
        keys: probed_keys().collect(),
        hot_share: HOT_SHARE,
        answer_bytes: ANSWER_BYTES,
        deadline: DEADLINE,
        policy: CallPolicy { call_timeout: CALL_TIMEOUT, ..CallPolicy::default() },
        seed: 0,
        journal: String::new(),
    }
}
