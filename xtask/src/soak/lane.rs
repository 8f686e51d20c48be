//! One lane: its instances, and the faults that strike them one after another.

use std::{net::SocketAddr, time::Duration};

use tokio::time::{Instant, sleep, sleep_until};

use super::{
    faults::{self, Fault, InstanceFault, PlannedFault, StoreFault},
    proxy::{LinkState, Proxy},
};
use crate::{
    cluster::{Binaries, Cluster, Instance, RunDir},
    demo::evidence::{PlannedStop, SickIngress},
};

/// What was done to processes, for the verdict.
#[derive(Debug, Default)]
pub(super) struct Struck {
    pub(super) sick: Vec<SickIngress>,
    pub(super) stops: Vec<PlannedStop>,
}

/// What processes are started again with.
struct Restart<'a> {
    binaries: &'a Binaries,
    dir: &'a RunDir,
    seed: u64,
}

/// An instance with its way to the store.
struct Member {
    instance: Instance,
    proxy: Proxy,
    peers: Vec<SocketAddr>,
}

pub(super) struct Lane {
    members: Vec<Member>,
    pub(super) planned: Vec<PlannedFault>,
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
    let mut lanes: Vec<Lane> =
        (0..count).map(|_| Lane { members: Vec::new(), planned: Vec::new(), seed }).collect();
    let instances = std::mem::take(&mut cluster.instances);
    for (at, ((instance, proxy), peers)) in
        instances.into_iter().zip(proxies).zip(peers).enumerate()
    {
        lanes[at % count].members.push(Member { instance, proxy, peers });
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
            sleep_until(start + it.after).await;
            log::info!(target: "soak", "{it:?}.");
            let member = &mut self.members[it.instance];
            match it.fault {
                Fault::Store(fault) => strike_store(cluster, fault, it.lasts).await?,
                Fault::StoreLink(state) => {
                    member.proxy.set(state);
                    sleep(it.lasts).await;
                    member.proxy.set(LinkState::Passing);
                }
                Fault::Instance(fault) => {
                    let restart = Restart { binaries, dir: &cluster.dir, seed: self.seed };
                    member.strike(fault, it.lasts, &restart, &mut struck).await?;
                }
            }
        }
        Ok(struck)
    }
}

async fn strike_store(cluster: &Cluster, fault: StoreFault, lasts: Duration) -> anyhow::Result<()> {
    let (on, off) = match fault {
        StoreFault::Down => (r#"{"down": true}"#, r#"{"down": false}"#),
        StoreFault::Slow => (r#"{"slow_ms": 150}"#, r#"{"slow_ms": 0}"#),
        StoreFault::LosesAnswers => (r#"{"lose_answers": 2}"#, r#"{"lose_answers": 0}"#),
    };
    cluster.platform_fault(on).await?;
    sleep(lasts).await;
    cluster.platform_fault(off).await
}

impl Member {
    async fn strike(
        &mut self,
        fault: InstanceFault,
        lasts: Duration,
        restart: &Restart<'_>,
        struck: &mut Struck,
    ) -> anyhow::Result<()> {
        let Restart { binaries, dir, seed } = *restart;
        let store = self.proxy.address;
        match fault {
            InstanceFault::Freeze => {
                let frozen_ns = self.instance.freeze()?;
                sleep(lasts).await;
                struck.sick.push(self.instance.thaw(frozen_ns)?);
            }
            InstanceFault::PauseAgent => {
                let paused_ns = self.instance.pause_agent()?;
                sleep(lasts).await;
                struck.sick.push(self.instance.resume_agent(paused_ns)?);
            }
            InstanceFault::KillAgent => {
                struck.sick.push(self.instance.kill_agent().await?);
                sleep(lasts).await;
                self.instance.start_agent(binaries, dir, store, &self.peers)?;
            }
            InstanceFault::Kill => {
                struck.sick.push(self.instance.kill().await?);
                sleep(lasts).await;
                self.instance.start_again(binaries, dir, store, &self.peers, seed)?;
            }
            InstanceFault::Leave => {
                struck.stops.push(self.instance.leave().await?);
                sleep(lasts).await;
                self.instance.start_again(binaries, dir, store, &self.peers, seed)?;
            }
        }
        Ok(())
    }
}
