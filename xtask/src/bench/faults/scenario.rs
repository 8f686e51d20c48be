//! Scenarios: combinations of failing instances, faults and states of the platform.

use std::time::Duration;

use anyhow::Context;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use standins::journal::wall_clock_ns;
use tokio::time::{Instant, sleep};

use crate::{
    cluster::{Binaries, Cluster, ServiceSpec},
    demo::{
        evidence::{Evidence, Window},
        load::{Callers, probed_keys},
        verdict::Verdict,
    },
};

const SERVICE: ServiceSpec = ServiceSpec {
    team: "karerang",
    document: "examples/club/standings.jsonc",
    instances: 6,
    zones: &["pitlane", "drivers-stand", "scoring-hall"],
    routes: &[
        "GET:/standings/results:repeat:1",
        "POST:/standings/cars/{key}/laps:repeat:2",
        "POST:/standings/cars/{key}/penalties:once:1",
    ],
    service_ms: 4.0,
};

const TIME_BEFORE_FAULT: Duration = Duration::from_millis(1_500);
/// Shorter than the call timeout: callers keep retrying for the whole time.
const TIME_AFTER_FAULT: Duration = Duration::from_secs(5);
const BEFORE_JITTER_RANGE_MS: std::ops::Range<u64> = 0..500;
const FREEZE_DURATION: Duration = Duration::from_secs(2);
/// Slightly longer than a lease.
const PAUSE_DURATION: Duration = Duration::from_millis(900);
const OUTAGE_DURATION: Duration = Duration::from_secs(3);
const OUTAGE_BEFORE_FAULT: Duration = Duration::from_secs(1);

/// Instances that the fault affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scope {
    /// An instance that is not the coordinator.
    Member,
    Coordinator,
    CoordinatorAndMember,
    TwoMembers,
    /// All instances in the coordinator's zone.
    Zone,
}

/// Fault that is injected into the affected instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InjectedFault {
    Kill,
    /// Upstream and agent are suspended for a time.
    Freeze,
    /// The agent alone is suspended for longer than its lease.
    PauseAgent,
    Leave,
}

/// State of the platform around the fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PlatformState {
    Up,
    /// Goes down and recovers before the fault.
    OutageBefore,
    /// Is down before, during and after the fault.
    OutageDuring,
    /// Goes down immediately after the fault.
    OutageAfter,
    /// Updates take effect, but their responses are lost.
    LosesAnswers,
}

/// Combination of affected instances, fault and platform state.
#[derive(Debug, Clone, Copy)]
pub(super) struct Scenario {
    pub(super) name: &'static str,
    scope: Scope,
    fault: InjectedFault,
    platform: PlatformState,
}

const fn scenario(
    name: &'static str,
    scope: Scope,
    fault: InjectedFault,
    platform: PlatformState,
) -> Scenario {
    Scenario { name, scope, fault, platform }
}

pub(super) const SCENARIOS: &[Scenario] = &[
    scenario("member_killed", Scope::Member, InjectedFault::Kill, PlatformState::Up),
    scenario("coordinator_killed", Scope::Coordinator, InjectedFault::Kill, PlatformState::Up),
    scenario("both_killed", Scope::CoordinatorAndMember, InjectedFault::Kill, PlatformState::Up),
    scenario("two_killed", Scope::TwoMembers, InjectedFault::Kill, PlatformState::Up),
    scenario("zone_killed", Scope::Zone, InjectedFault::Kill, PlatformState::Up),
    scenario("member_frozen", Scope::Member, InjectedFault::Freeze, PlatformState::Up),
    scenario("coordinator_frozen", Scope::Coordinator, InjectedFault::Freeze, PlatformState::Up),
    scenario("two_frozen", Scope::CoordinatorAndMember, InjectedFault::Freeze, PlatformState::Up),
    scenario("member_paused", Scope::Member, InjectedFault::PauseAgent, PlatformState::Up),
    scenario(
        "coordinator_paused",
        Scope::Coordinator,
        InjectedFault::PauseAgent,
        PlatformState::Up,
    ),
    scenario("member_leaves", Scope::Member, InjectedFault::Leave, PlatformState::Up),
    scenario("coordinator_leaves", Scope::Coordinator, InjectedFault::Leave, PlatformState::Up),
    scenario("outage_before", Scope::Member, InjectedFault::Kill, PlatformState::OutageBefore),
    scenario("outage_during", Scope::Member, InjectedFault::Kill, PlatformState::OutageDuring),
    scenario("outage_after", Scope::Member, InjectedFault::Kill, PlatformState::OutageAfter),
    scenario("answers_lost", Scope::Coordinator, InjectedFault::Kill, PlatformState::LosesAnswers),
];

impl Scenario {
    /// Runs the scenario once on a new cluster.
    pub(super) async fn run(&self, binaries: &Binaries, seed: u64) -> anyhow::Result<Verdict> {
        let mut cluster = Cluster::start(&[SERVICE], binaries, seed).await?;
        let result = self.measure(&mut cluster, seed).await;
        result.with_context(|| format!("scenario {} with seed {seed}", self.name))
    }

    async fn measure(&self, cluster: &mut Cluster, seed: u64) -> anyhow::Result<Verdict> {
        cluster.wait_until_serving().await?;
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let before =
            TIME_BEFORE_FAULT + Duration::from_millis(rng.random_range(BEFORE_JITTER_RANGE_MS));
        let load = before + OUTAGE_BEFORE_FAULT + FREEZE_DURATION + TIME_AFTER_FAULT;
        let mut evidence = Evidence::default();
        let from_ns = wall_clock_ns();
        let load_ns = u64::try_from(load.as_nanos()).unwrap_or(u64::MAX);
        evidence.observed = Window { from_ns, until_ns: from_ns + load_ns };
        evidence.churn_window = evidence.observed;
        evidence.probed_keys = probed_keys().collect();
        evidence.fault_free =
            Window { from_ns, until_ns: from_ns + u64::try_from(TIME_BEFORE_FAULT.as_nanos())? };
        let callers = Callers::start(cluster, load, Instant::now(), seed);
        sleep(before).await;
        self.prepare_platform(cluster).await?;
        let affected = self.choose_instances(cluster, &mut rng).await?;
        self.inject(cluster, &affected, &mut evidence).await?;
        self.restore_platform(cluster).await?;
        evidence.calls = callers.finish().await?;
        evidence.upstreams = cluster.journals()?;
        Ok(Verdict::new(&evidence, None))
    }

    async fn prepare_platform(&self, cluster: &Cluster) -> anyhow::Result<()> {
        match self.platform {
            PlatformState::Up | PlatformState::OutageAfter => {}
            PlatformState::OutageBefore => {
                cluster.set_platform_faults(r#"{"down": true}"#).await?;
                sleep(OUTAGE_BEFORE_FAULT).await;
                cluster.set_platform_faults(r#"{"down": false}"#).await?;
            }
            PlatformState::OutageDuring => {
                cluster.set_platform_faults(r#"{"down": true}"#).await?;
                sleep(OUTAGE_BEFORE_FAULT).await;
            }
            PlatformState::LosesAnswers => {
                cluster.set_platform_faults(r#"{"lose_answers": 3}"#).await?;
            }
        }
        Ok(())
    }

    async fn restore_platform(&self, cluster: &Cluster) -> anyhow::Result<()> {
        match self.platform {
            PlatformState::OutageDuring | PlatformState::OutageAfter => {
                sleep(OUTAGE_DURATION).await;
                cluster.set_platform_faults(r#"{"down": false}"#).await
            }
            _ => Ok(()),
        }
    }

    async fn choose_instances(
        &self,
        cluster: &Cluster,
        rng: &mut Pcg64Mcg,
    ) -> anyhow::Result<Vec<usize>> {
        let coordinator = match self.platform {
            // The coordinator cannot be looked up while the platform is down; any instance will do.
            PlatformState::OutageDuring => 0,
            _ => coordinator(cluster).await?,
        };
        let count = cluster.instances.len();
        let member = (coordinator + rng.random_range(1..count)) % count;
        let zone = &cluster.instances[coordinator].zone;
        Ok(match self.scope {
            Scope::Member => vec![member],
            Scope::Coordinator => vec![coordinator],
            Scope::CoordinatorAndMember => vec![coordinator, member],
            Scope::TwoMembers => {
                let others = (0..count).filter(|it| *it != coordinator && *it != member);
                let others: Vec<usize> = others.collect();
                vec![member, others[rng.random_range(0..others.len())]]
            }
            Scope::Zone => (0..count).filter(|it| cluster.instances[*it].zone == *zone).collect(),
        })
    }

    async fn inject(
        &self,
        cluster: &mut Cluster,
        affected: &[usize],
        evidence: &mut Evidence,
    ) -> anyhow::Result<()> {
        let outage_after = self.platform == PlatformState::OutageAfter;
        match self.fault {
            InjectedFault::Kill => {
                for index in affected {
                    evidence.ingress_outages.push(cluster.instances[*index].kill().await?);
                }
                if outage_after {
                    cluster.set_platform_faults(r#"{"down": true}"#).await?;
                }
            }
            InjectedFault::Freeze => {
                let frozen = affected.iter().map(|it| cluster.instances[*it].freeze());
                let frozen_ns = frozen.collect::<anyhow::Result<Vec<u64>>>()?;
                sleep(FREEZE_DURATION).await;
                for (index, frozen_ns) in affected.iter().zip(frozen_ns) {
                    evidence.ingress_outages.push(cluster.instances[*index].resume(frozen_ns)?);
                }
            }
            InjectedFault::PauseAgent => {
                let paused = affected.iter().map(|it| cluster.instances[*it].pause_agent());
                let paused_ns = paused.collect::<anyhow::Result<Vec<u64>>>()?;
                sleep(PAUSE_DURATION).await;
                for (index, paused_ns) in affected.iter().zip(paused_ns) {
                    evidence
                        .ingress_outages
                        .push(cluster.instances[*index].resume_agent(paused_ns)?);
                }
            }
            InjectedFault::Leave => {
                for index in affected {
                    evidence.stops.push(cluster.instances[*index].leave().await?);
                }
            }
        }
        Ok(())
    }
}

/// Returns the index of the instance that holds the first group's term according to the platform.
async fn coordinator(cluster: &Cluster) -> anyhow::Result<usize> {
    let object = cluster.read_object("coordinators/standings/0").await?;
    let object: ownership::Coordinator =
        serde_json::from_str(&object).context("decoding the coordinator's object")?;
    let holder = object.holder.context("the coordinator's object has no holder")?;
    let found = cluster.instances.iter().position(|it| it.name == holder.name.as_str());
    found.with_context(|| format!("the holder {} is no instance of the cluster", holder.name))
}
