//! One lane: its instances, and the faults that strike them one after another.

use std::{net::SocketAddr, time::Duration};

use standins::journal::wall_clock_ns;
use tokio::time::{Instant, sleep, sleep_until};

use super::{
    faults::{self, Fault, InstanceFault, PlannedFault, StoreFault},
    harmful::{self, Disturbed},
    proxy::{LinkState, Proxy},
};
use crate::{
    cluster::{Binaries, Cluster, Instance, StartWith},
    demo::evidence::{PlannedStop, SickIngress, Window},
};

/// How long the store is away before it comes back from a copy.
const AWAY: Duration = Duration::from_millis(300);
/// How often a lane looks for upstreams that have ended by themselves.
const REVIVE_EVERY: Duration = Duration::from_millis(100);

/// What was done to processes, for the verdict.
#[derive(Debug, Default)]
pub(super) struct Struck {
    pub(super) sick: Vec<SickIngress>,
    pub(super) stops: Vec<PlannedStop>,
    pub(super) disturbed: Vec<Disturbed>,
}

/// An instance with its way to the store.
struct Member {
    instance: Instance,
    proxy: Proxy,
    peers: Vec<SocketAddr>,
    /// When its upstream was found to have ended under a request.
    ended_at: Option<Instant>,
}

pub(super) struct Lane {
    members: Vec<Member>,
    pub(super) planned: Vec<PlannedFault>,
    until: Duration,
    seed: u64,
}

/// Deals the instances out to lanes, round by round, so that each service is struck by several at a time.
pub(super) fn split(
    cluster: &mut Cluster,
    proxies: Vec<Proxy>,
    count: usize,
    seed: u64,
    until: Duration,
) -> Vec<Lane> {
    let peers: Vec<Vec<SocketAddr>> =
        (0..cluster.instances.len()).map(|it| cluster.peers(it)).collect();
    let mut lanes: Vec<Lane> = (0..count)
        .map(|_| Lane { members: Vec::new(), planned: Vec::new(), until, seed })
        .collect();
    let instances = std::mem::take(&mut cluster.instances);
    for (at, ((instance, proxy), peers)) in
        instances.into_iter().zip(proxies).zip(peers).enumerate()
    {
        lanes[at % count].members.push(Member { instance, proxy, peers, ended_at: None });
    }
    for (at, lane) in lanes.iter_mut().enumerate() {
        let own: Vec<usize> = (0..lane.members.len()).collect();
        lane.planned = faults::plan(seed.wrapping_add(at as u64), &own, until);
    }
    lanes
}

/// Gives the instances back to their cluster.
pub(super) fn merge(cluster: &mut Cluster, lanes: Vec<Lane>) -> Vec<Proxy> {
    let members = lanes.into_iter().flat_map(|it| it.members);
    let (instances, proxies) = members.map(|it| (it.instance, it.proxy)).unzip();
    cluster.instances = instances;
    proxies
}

impl Member {
    /// Starts the upstream again if a request has ended it and it has been away for long enough.
    fn revive(
        &mut self,
        away: Duration,
        cluster: &Cluster,
        binaries: &Binaries,
        seed: u64,
    ) -> anyhow::Result<()> {
        let Member { instance, proxy, peers, ended_at } = self;
        if !instance.is_up() || !instance.has_ended_under_a_run()? {
            *ended_at = None;
            return Ok(());
        }
        if ended_at.get_or_insert_with(Instant::now).elapsed() < away {
            return Ok(());
        }
        let (dir, platform) = (&cluster.dir, proxy.address);
        instance.start_upstream_again(&StartWith { binaries, dir, platform, peers, seed })
    }
}

impl Lane {
    /// Brings the faults about, each at its time, and undoes them.
    pub(super) async fn strike(
        &mut self,
        cluster: &Cluster,
        binaries: &Binaries,
        start: Instant,
    ) -> anyhow::Result<Struck> {
        let mut struck = Struck::default();
        for it in std::mem::take(&mut self.planned) {
            self.revive_until(start + it.after, cluster, binaries).await?;
            log::info!(target: "soak", "{it:?}.");
            let from_ns = wall_clock_ns();
            let Member { instance, proxy, peers, .. } = &mut self.members[it.instance];
            match it.fault {
                Fault::Store(fault) => strike_store(cluster, fault, it.lasts).await?,
                Fault::StoreLink(state) => {
                    proxy.set(state);
                    sleep(it.lasts).await;
                    proxy.set(LinkState::Passing);
                }
                Fault::Instance(fault) => {
                    let (dir, platform, seed) = (&cluster.dir, proxy.address, self.seed);
                    let with = StartWith { binaries, dir, platform, peers, seed };
                    strike_instance(instance, fault, it.lasts, &with, &mut struck).await?;
                }
            }
            let is_for_all = matches!(it.fault, Fault::Store(_));
            let window = Window { from_ns, until_ns: wall_clock_ns() };
            let instance = (!is_for_all).then(|| instance.name.clone());
            struck.disturbed.push(Disturbed { instance, window });
        }
        let away = harmful::stays_away(self.seed);
        self.revive_until(start + self.until + away + REVIVE_EVERY, cluster, binaries).await?;
        Ok(struck)
    }

    /// Waits, and starts the upstreams again meanwhile that a request has ended.
    async fn revive_until(
        &mut self,
        until: Instant,
        cluster: &Cluster,
        binaries: &Binaries,
    ) -> anyhow::Result<()> {
        let away = harmful::stays_away(self.seed);
        while Instant::now() < until {
            for it in &mut self.members {
                it.revive(away, cluster, binaries, self.seed)?;
            }
            sleep_until(until.min(Instant::now() + REVIVE_EVERY)).await;
        }
        Ok(())
    }
}

async fn strike_store(cluster: &Cluster, fault: StoreFault, lasts: Duration) -> anyhow::Result<()> {
    let (on, off) = match fault {
        StoreFault::RollsBack => return roll_back(cluster, lasts).await,
        StoreFault::Down => (r#"{"down": true}"#, r#"{"down": false}"#),
        StoreFault::Slow => (r#"{"slow_ms": 150}"#, r#"{"slow_ms": 0}"#),
        StoreFault::LosesAnswers => (r#"{"lose_answers": 2}"#, r#"{"lose_answers": 0}"#),
    };
    cluster.platform_fault(on).await?;
    sleep(lasts).await;
    cluster.platform_fault(off).await
}

/// The store loses what is written from now on, and is away for a moment in the end.
async fn roll_back(cluster: &Cluster, lasts: Duration) -> anyhow::Result<()> {
    cluster.platform_keeps_copy().await?;
    sleep(lasts).await;
    cluster.platform_fault(r#"{"down": true}"#).await?;
    sleep(AWAY).await;
    cluster.platform_rolls_back().await?;
    cluster.platform_fault(r#"{"down": false}"#).await
}

async fn strike_instance(
    instance: &mut Instance,
    fault: InstanceFault,
    lasts: Duration,
    with: &StartWith<'_>,
    struck: &mut Struck,
) -> anyhow::Result<()> {
    match fault {
        InstanceFault::Freeze => {
            let frozen_ns = instance.freeze()?;
            sleep(lasts).await;
            struck.sick.push(instance.thaw(frozen_ns)?);
        }
        InstanceFault::PauseAgent => {
            let paused_ns = instance.pause_agent()?;
            sleep(lasts).await;
            struck.sick.push(instance.resume_agent(paused_ns)?);
        }
        InstanceFault::KillAgent => {
            struck.sick.push(instance.kill_agent().await?);
            sleep(lasts).await;
            instance.start_agent(with)?;
        }
        InstanceFault::Kill => {
            struck.sick.push(instance.kill().await?);
            sleep(lasts).await;
            instance.start_again(with)?;
        }
        InstanceFault::Leave => {
            struck.stops.push(instance.leave().await?);
            sleep(lasts).await;
            instance.start_again(with)?;
        }
    }
    Ok(())
}
