//! The scenarios: what fails, together with what.

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

const BEFORE: Duration = Duration::from_millis(1_500);
/// Callers' patience ends after it.
const AFTER: Duration = Duration::from_secs(5);
const BEFORE_JITTER_MS: std::ops::Range<u64> = 0..500;
const FREEZE: Duration = Duration::from_secs(2);
/// Just longer than a lease.
const PAUSE: Duration = Duration::from_millis(900);
const OUTAGE: Duration = Duration::from_secs(3);
const OUTAGE_LEAD: Duration = Duration::from_secs(1);

/// What is struck.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Victims {
    /// An instance that does not coordinate.
    Member,
    Coordinator,
    CoordinatorAndMember,
    TwoMembers,
    /// All instances of the coordinator's zone.
    Zone,
}

/// What happens to the victims.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strike {
    Kill,
    /// The upstream and its agent are frozen and come back.
    Freeze,
    /// The agent alone is paused for longer than its lease.
    PauseAgent,
    Leave,
}

/// What the platform does meanwhile.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PlatformState {
    Up,
    /// Down from before the strike on, and up again before it.
    OutageBefore,
    OutageDuring,
    /// Goes down just after the strike.
    OutageAfter,
    /// Updates take effect, but their answers are lost.
    LosesAnswers,
}

/// One scenario.
#[derive(Debug, Clone, Copy)]
pub(super) struct Scenario {
    pub(super) name: &'static str,
    victims: Victims,
    strike: Strike,
    platform: PlatformState,
}

const fn scenario(
    name: &'static str,
    victims: Victims,
    strike: Strike,
    platform: PlatformState,
) -> Scenario {
    Scenario { name, victims, strike, platform }
}

pub(super) const SCENARIOS: &[Scenario] = &[
    scenario("member_killed", Victims::Member, Strike::Kill, PlatformState::Up),
    scenario("coordinator_killed", Victims::Coordinator, Strike::Kill, PlatformState::Up),
    scenario("both_killed", Victims::CoordinatorAndMember, Strike::Kill, PlatformState::Up),
    scenario("two_killed", Victims::TwoMembers, Strike::Kill, PlatformState::Up),
    scenario("zone_killed", Victims::Zone, Strike::Kill, PlatformState::Up),
    scenario("member_frozen", Victims::Member, Strike::Freeze, PlatformState::Up),
    scenario("coordinator_frozen", Victims::Coordinator, Strike::Freeze, PlatformState::Up),
    scenario("two_frozen", Victims::CoordinatorAndMember, Strike::Freeze, PlatformState::Up),
    scenario("member_paused", Victims::Member, Strike::PauseAgent, PlatformState::Up),
    scenario("coordinator_paused", Victims::Coordinator, Strike::PauseAgent, PlatformState::Up),
    scenario("member_leaves", Victims::Member, Strike::Leave, PlatformState::Up),
    scenario("coordinator_leaves", Victims::Coordinator, Strike::Leave, PlatformState::Up),
    scenario("outage_before", Victims::Member, Strike::Kill, PlatformState::OutageBefore),
    scenario("outage_during", Victims::Member, Strike::Kill, PlatformState::OutageDuring),
    scenario("outage_after", Victims::Member, Strike::Kill, PlatformState::OutageAfter),
    scenario("answers_lost", Victims::Coordinator, Strike::Kill, PlatformState::LosesAnswers),
];

impl Scenario {
    /// Runs the scenario once on a cluster of its own.
    pub(super) async fn run(&self, binaries: &Binaries, seed: u64) -> anyhow::Result<Verdict> {
        let mut cluster = Cluster::start(&[SERVICE], binaries, seed).await?;
        let played = self.play(&mut cluster, seed).await;
        played.with_context(|| format!("scenario {} with seed {seed}", self.name))
    }

    async fn play(&self, cluster: &mut Cluster, seed: u64) -> anyhow::Result<Verdict> {
        cluster.wait_until_serving().await?;
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let before = BEFORE + Duration::from_millis(rng.random_range(BEFORE_JITTER_MS));
        let load = before + OUTAGE_LEAD + FREEZE + AFTER;
        let mut evidence = Evidence::default();
        let from_ns = wall_clock_ns();
        let load_ns = u64::try_from(load.as_nanos()).unwrap_or(u64::MAX);
        evidence.observed = Window { from_ns, until_ns: from_ns + load_ns };
        evidence.churn_window = evidence.observed;
        evidence.probed_keys = probed_keys().collect();
        evidence.fault_free =
            Window { from_ns, until_ns: from_ns + u64::try_from(BEFORE.as_nanos())? };
        let callers = Callers::start(cluster, load, Instant::now(), seed);
        sleep(before).await;
        self.prepare_platform(cluster).await?;
        let victims = self.choose(cluster, &mut rng).await?;
        self.strike(cluster, &victims, &mut evidence).await?;
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
                sleep(OUTAGE_LEAD).await;
                cluster.set_platform_faults(r#"{"down": false}"#).await?;
            }
            PlatformState::OutageDuring => {
                cluster.set_platform_faults(r#"{"down": true}"#).await?;
                sleep(OUTAGE_LEAD).await;
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
                sleep(OUTAGE).await;
                cluster.set_platform_faults(r#"{"down": false}"#).await
            }
            _ => Ok(()),
        }
    }

    async fn choose(&self, cluster: &Cluster, rng: &mut Pcg64Mcg) -> anyhow::Result<Vec<usize>> {
        let coordinator = match self.platform {
            // Members are all alike where the coordinator cannot be looked up.
            PlatformState::OutageDuring => 0,
            _ => coordinator(cluster).await?,
        };
        let count = cluster.instances.len();
        let member = (coordinator + rng.random_range(1..count)) % count;
        let zone = &cluster.instances[coordinator].zone;
        Ok(match self.victims {
            Victims::Member => vec![member],
            Victims::Coordinator => vec![coordinator],
            Victims::CoordinatorAndMember => vec![coordinator, member],
            Victims::TwoMembers => {
                let others = (0..count).filter(|it| *it != coordinator && *it != member);
                let others: Vec<usize> = others.collect();
                vec![member, others[rng.random_range(0..others.len())]]
            }
            Victims::Zone => (0..count).filter(|it| cluster.instances[*it].zone == *zone).collect(),
        })
    }

    async fn strike(
        &self,
        cluster: &mut Cluster,
        victims: &[usize],
        evidence: &mut Evidence,
    ) -> anyhow::Result<()> {
        let outage_after = self.platform == PlatformState::OutageAfter;
        match self.strike {
            Strike::Kill => {
                for victim in victims {
                    evidence.ingress_outages.push(cluster.instances[*victim].kill().await?);
                }
                if outage_after {
                    cluster.set_platform_faults(r#"{"down": true}"#).await?;
                }
            }
            Strike::Freeze => {
                let frozen = victims.iter().map(|it| cluster.instances[*it].freeze());
                let frozen_ns = frozen.collect::<anyhow::Result<Vec<u64>>>()?;
                sleep(FREEZE).await;
                for (victim, frozen_ns) in victims.iter().zip(frozen_ns) {
                    evidence.ingress_outages.push(cluster.instances[*victim].resume(frozen_ns)?);
                }
            }
            Strike::PauseAgent => {
                let paused = victims.iter().map(|it| cluster.instances[*it].pause_agent());
                let paused_ns = paused.collect::<anyhow::Result<Vec<u64>>>()?;
                sleep(PAUSE).await;
                for (victim, paused_ns) in victims.iter().zip(paused_ns) {
                    evidence
                        .ingress_outages
                        .push(cluster.instances[*victim].resume_agent(paused_ns)?);
                }
            }
            Strike::Leave => {
                for victim in victims {
                    evidence.stops.push(cluster.instances[*victim].leave().await?);
                }
            }
        }
        Ok(())
    }
}

/// The index of the instance that holds the first group's term, as the platform has it.
async fn coordinator(cluster: &Cluster) -> anyhow::Result<usize> {
    let object = cluster.read_object("coordinators/standings/0").await?;
    let object: ownership::Coordinator =
        serde_json::from_str(&object).context("decoding the coordinator's object")?;
    let holder = object.holder.context("nobody holds the term")?;
    let found = cluster.instances.iter().position(|it| it.name == holder.name.as_str());
    found.with_context(|| format!("no instance {}", holder.name))
}
