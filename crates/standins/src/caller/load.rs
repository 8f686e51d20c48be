//! Generates load by many callers that start at the same instant.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use anyhow::Context;
use bytes::Bytes;
use model::RequestId;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep_until},
};

use super::{AgentClient, CallPolicy, CallRequest, Caller, WeightedRoute};
use crate::journal::{CallRecord, JournalWriter};

/// The rate at which callers send requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SendMode {
    /// Each caller sends its next request when its previous request has ended.
    ClosedLoop,
    /// All callers together send at this rate, without waiting for answers.
    FixedRate { requests_per_s: f64 },
}

/// Parameters of a load on one service.
#[derive(Debug, Clone)]
pub struct Load {
    pub service: String,
    pub targets: Vec<SocketAddr>,
    pub callers: usize,
    pub send_mode: SendMode,
    pub duration: Duration,
    pub routes: Vec<WeightedRoute>,
    pub keys: Vec<String>,
    /// Share of the requests that are for the first key.
    pub hot_share: f64,
    pub answer_bytes: usize,
    pub deadline: Duration,
    pub policy: CallPolicy,
    pub seed: u64,
    /// Path of the journal; empty for no journal.
    pub journal: String,
}

/// Result of a load.
#[derive(Debug, Clone, Default)]
pub struct LoadReport {
    /// The requests in the order in which they ended.
    pub records: Vec<CallRecord>,
}

struct LoadRun {
    load: Load,
    journal: JournalWriter,
    records: Mutex<Vec<CallRecord>>,
}

/// Runs a load that begins at `start`, and waits until its last request has ended.
pub async fn run_load(load: Load, start: Instant) -> anyhow::Result<LoadReport> {
    anyhow::ensure!(!load.targets.is_empty(), "the load has no targets");
    anyhow::ensure!(
        !load.keys.is_empty() && !load.routes.is_empty(),
        "the load has no keys or no routes"
    );
    let run = Arc::new(LoadRun {
        journal: JournalWriter::open(&load.journal)?,
        records: Mutex::default(),
        load,
    });
    let mut callers = JoinSet::new();
    for index in 0..run.load.callers {
        callers.spawn(run_caller(Arc::clone(&run), index, start));
    }
    while let Some(ended) = callers.join_next().await {
        ended.context("a caller task failed")??;
    }
    let records = std::mem::take(&mut *run.lock_records());
    Ok(LoadReport { records })
}

async fn run_caller(run: Arc<LoadRun>, index: usize, start: Instant) -> anyhow::Result<()> {
    let load = &run.load;
    // Each caller has its own client and connections, like a separate process.
    let caller = Arc::new(Caller {
        client: AgentClient::new()?,
        targets: load.targets.clone(),
        policy: load.policy.clone(),
    });
    let mut rng = Pcg64Mcg::seed_from_u64(load.seed ^ ((index as u64) << 32));
    let end = start + load.duration;
    sleep_until(start).await;
    match load.send_mode {
        SendMode::ClosedLoop => {
            while Instant::now() < end {
                let request = load.draw_request(&mut rng);
                run.send(&caller, request, index).await?;
            }
        }
        SendMode::FixedRate { requests_per_s } => {
            let interval = Duration::from_secs_f64(load.callers as f64 / requests_per_s);
            // The callers' first requests are spread evenly over one interval.
            let offset = interval.mul_f64(index as f64 / load.callers as f64);
            let mut due = start + offset;
            let mut calls = JoinSet::new();
            while due < end {
                sleep_until(due).await;
                let request = load.draw_request(&mut rng);
                let (run, caller) = (Arc::clone(&run), Arc::clone(&caller));
                calls.spawn(async move { run.send(&caller, request, index).await });
                due += interval;
                while let Some(ended) = calls.try_join_next() {
                    ended.context("a call task failed")??;
                }
            }
            while let Some(ended) = calls.join_next().await {
                ended.context("a call task failed")??;
            }
        }
    }
    Ok(())
}

impl LoadRun {
    async fn send(
        &self,
        caller: &Caller,
        request: CallRequest,
        first_target: usize,
    ) -> anyhow::Result<()> {
        let record = caller.call(&request, first_target).await;
        self.journal.append(&record)?;
        self.lock_records().push(record);
        Ok(())
    }

    fn lock_records(&self) -> std::sync::MutexGuard<'_, Vec<CallRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Load {
    fn draw_request(&self, rng: &mut Pcg64Mcg) -> CallRequest {
        let route = self.draw_route(rng);
        let key = match rng.random_bool(self.hot_share) {
            true => &self.keys[0],
            false => &self.keys[rng.random_range(0..self.keys.len())],
        };
        CallRequest {
            id: RequestId(rng.random()),
            method: route.method.clone(),
            service: self.service.clone(),
            path: route.path.replace("{key}", key),
            key: key.clone(),
            class: route.class().to_owned(),
            idempotent: route.idempotent,
            deadline: self.deadline,
            answer_bytes: self.answer_bytes,
            body: Bytes::new(),
        }
    }

    /// Draws a route with a probability proportional to its share.
    fn draw_route(&self, rng: &mut Pcg64Mcg) -> &WeightedRoute {
        let total: f64 = self.routes.iter().map(|it| it.share).sum();
        let mut rest = rng.random_range(0.0..1.0) * total;
        let last = self.routes.len() - 1;
        let index = self.routes.iter().position(|it| {
            rest -= it.share;
            rest < 0.0
        });
        &self.routes[index.unwrap_or(last)]
    }
}
