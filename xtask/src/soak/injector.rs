//! Fault injectors. Each injects a sequence of faults into its own instances; several run
//! concurrently.

use std::{net::SocketAddr, time::Duration};

use standins::journal::wall_clock_ns;
use tokio::time::{Instant, sleep, sleep_until};

use super::{
    faults::{self, Fault, InstanceFault, PlannedFault, StoreFault},
    harmful::{self, Disturbance},
    proxy::{LinkState, Proxy},
};
use crate::{
    cluster::{Binaries, Cluster, Instance, StartContext},
    demo::evidence::{IngressOutage, PlannedStop, Window},
};

/// Time for which the object store is down before it restores a snapshot.
const ROLLBACK_OUTAGE: Duration = Duration::from_millis(300);
/// Interval at which an injector looks for upstreams that have ended.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Injected outages and stops of processes, as evidence for the verdict.
#[derive(Debug, Default)]
pub(super) struct InjectionRecord {
    pub(super) ingress_outages: Vec<IngressOutage>,
    pub(super) stops: Vec<PlannedStop>,
    pub(super) disturbances: Vec<Disturbance>,
}

/// Instance with the proxy between its agent and the object store.
struct ProxiedInstance {
    instance: Instance,
    proxy: Proxy,
    peers: Vec<SocketAddr>,
    /// Time at which the upstream was found to have ended by itself; `None` while it has not.
    end_detected_at: Option<Instant>,
}

/// Group of instances with the faults that are planned for them.
pub(super) struct FaultInjector {
    instances: Vec<ProxiedInstance>,
    pub(super) planned: Vec<PlannedFault>,
    until: Duration,
    seed: u64,
}

/// Distributes the instances round-robin over `count` injectors, so that several of them inject
/// faults into the same service concurrently.
pub(super) fn split_instances(
    cluster: &mut Cluster,
    proxies: Vec<Proxy>,
    count: usize,
    seed: u64,
    until: Duration,
) -> Vec<FaultInjector> {
    let peers: Vec<Vec<SocketAddr>> =
        (0..cluster.instances.len()).map(|it| cluster.peers(it)).collect();
    let mut injectors: Vec<FaultInjector> = (0..count)
        .map(|_| FaultInjector { instances: Vec::new(), planned: Vec::new(), until, seed })
        .collect();
    let instances = std::mem::take(&mut cluster.instances);
    for (index, ((instance, proxy), peers)) in
        instances.into_iter().zip(proxies).zip(peers).enumerate()
    {
        injectors[index % count].instances.push(ProxiedInstance {
            instance,
            proxy,
            peers,
            end_detected_at: None,
        });
    }
    for (index, injector) in injectors.iter_mut().enumerate() {
        let instances: Vec<usize> = (0..injector.instances.len()).collect();
        injector.planned = faults::plan(seed.wrapping_add(index as u64), &instances, until);
    }
    injectors
}

/// Moves the instances back to their cluster and returns their proxies.
pub(super) fn return_instances(cluster: &mut Cluster, injectors: Vec<FaultInjector>) -> Vec<Proxy> {
    let instances = injectors.into_iter().flat_map(|it| it.instances);
    let (instances, proxies) = instances.map(|it| (it.instance, it.proxy)).unzip();
    cluster.instances = instances;
    proxies
}

impl ProxiedInstance {
    /// Restarts the upstream if it has ended by itself and the restart delay has passed.
    fn restart_ended_upstream(
        &mut self,
        restart_delay: Duration,
        cluster: &Cluster,
        binaries: &Binaries,
        seed: u64,
    ) -> anyhow::Result<()> {
        let ProxiedInstance { instance, proxy, peers, end_detected_at } = self;
        if !instance.is_running() || !instance.has_ended_by_itself()? {
            *end_detected_at = None;
            return Ok(());
        }
        if end_detected_at.get_or_insert_with(Instant::now).elapsed() < restart_delay {
            return Ok(());
        }
        let (dir, platform) = (&cluster.dir, proxy.address);
        instance.restart_upstream(&StartContext { binaries, dir, platform, peers, seed })
    }
}

impl FaultInjector {
    /// Returns the addresses of the instances' upstreams.
    pub(super) fn upstreams(&self) -> impl Iterator<Item = SocketAddr> {
        self.instances.iter().map(|it| it.instance.upstream_address)
    }

    /// Injects each planned fault at its time and ends it after its duration.
    pub(super) async fn inject(
        &mut self,
        cluster: &Cluster,
        binaries: &Binaries,
        start: Instant,
    ) -> anyhow::Result<InjectionRecord> {
        let mut record = InjectionRecord::default();
        for it in std::mem::take(&mut self.planned) {
            self.restart_ended_until(start + it.after, cluster, binaries).await?;
            log::info!(target: "soak", "Injecting {it:?}.");
            let from_ns = wall_clock_ns();
            let ProxiedInstance { instance, proxy, peers, .. } = &mut self.instances[it.instance];
            match it.fault {
                Fault::Store(fault) => inject_store_fault(cluster, fault, it.duration).await?,
                Fault::StoreLink(state) => {
                    proxy.set(state);
                    sleep(it.duration).await;
                    proxy.set(LinkState::Forwarding);
                }
                Fault::Instance(fault) => {
                    let (dir, platform, seed) = (&cluster.dir, proxy.address, self.seed);
                    let with = StartContext { binaries, dir, platform, peers, seed };
                    inject_instance_fault(instance, fault, it.duration, &with, &mut record).await?;
                }
            }
            let affects_all = matches!(it.fault, Fault::Store(_));
            let window = Window { from_ns, until_ns: wall_clock_ns() };
            let instance = (!affects_all).then(|| instance.name.clone());
            record.disturbances.push(Disturbance { instance, window });
        }
        let restart_delay = harmful::restart_delay_from_seed(self.seed);
        self.restart_ended_until(
            start + self.until + restart_delay + END_CHECK_INTERVAL,
            cluster,
            binaries,
        )
        .await?;
        Ok(record)
    }

    /// Waits until the given time and meanwhile restarts upstreams that have ended by themselves.
    async fn restart_ended_until(
        &mut self,
        until: Instant,
        cluster: &Cluster,
        binaries: &Binaries,
    ) -> anyhow::Result<()> {
        let restart_delay = harmful::restart_delay_from_seed(self.seed);
        while Instant::now() < until {
            for it in &mut self.instances {
                it.restart_ended_upstream(restart_delay, cluster, binaries, self.seed)?;
            }
            sleep_until(until.min(Instant::now() + END_CHECK_INTERVAL)).await;
        }
        Ok(())
    }
}

async fn inject_store_fault(
    cluster: &Cluster,
    fault: StoreFault,
    duration: Duration,
) -> anyhow::Result<()> {
    let (on, off) = match fault {
        StoreFault::RollsBack => return roll_back(cluster, duration).await,
        StoreFault::Down => (r#"{"down": true}"#, r#"{"down": false}"#),
        StoreFault::Slow => (r#"{"slow_ms": 150}"#, r#"{"slow_ms": 0}"#),
        StoreFault::LosesAnswers => (r#"{"lose_answers": 2}"#, r#"{"lose_answers": 0}"#),
    };
    cluster.set_platform_faults(on).await?;
    sleep(duration).await;
    cluster.set_platform_faults(off).await
}

/// Takes a snapshot of the object store and restores it after `duration`, following a short outage:
/// all writes in between are lost.
async fn roll_back(cluster: &Cluster, duration: Duration) -> anyhow::Result<()> {
    cluster.snapshot_platform().await?;
    sleep(duration).await;
    cluster.set_platform_faults(r#"{"down": true}"#).await?;
    sleep(ROLLBACK_OUTAGE).await;
    cluster.roll_back_platform().await?;
    cluster.set_platform_faults(r#"{"down": false}"#).await
}

async fn inject_instance_fault(
    instance: &mut Instance,
    fault: InstanceFault,
    duration: Duration,
    with: &StartContext<'_>,
    record: &mut InjectionRecord,
) -> anyhow::Result<()> {
    match fault {
        InstanceFault::Freeze => {
            let frozen_ns = instance.freeze()?;
            sleep(duration).await;
            record.ingress_outages.push(instance.resume(frozen_ns)?);
        }
        InstanceFault::PauseAgent => {
            let paused_ns = instance.pause_agent()?;
            sleep(duration).await;
            record.ingress_outages.push(instance.resume_agent(paused_ns)?);
        }
        InstanceFault::KillAgent => {
            record.ingress_outages.push(instance.kill_agent().await?);
            sleep(duration).await;
            instance.start_agent(with)?;
        }
        InstanceFault::Kill => {
            record.ingress_outages.push(instance.kill().await?);
            sleep(duration).await;
            instance.restart(with)?;
        }
        InstanceFault::Leave => {
            record.stops.push(instance.leave().await?);
            sleep(duration).await;
            instance.restart(with)?;
        }
    }
    Ok(())
}
