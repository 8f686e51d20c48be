//! Acceptance and distribution of documents, also after lost answers, outages and restarts.

use std::sync::{Arc, atomic::Ordering};

use model::ConfigVersion;
use settings::{AcceptedDocument, GroupStatus};

use crate::control::tests::{
    agent::{Agent, wait_until},
    documents::DOCUMENT,
    platform::FakeStore,
};

const SLOTS: usize = 8;

/// Returns a document with the given weight of its class.
fn document(weight: u32) -> String {
    let weight = format!("\"weight\": {weight}");
    let slots = format!("\"keyed\": true, \"slot_count\": {SLOTS},");
    DOCUMENT.replace("\"weight\": 1", &weight).replace("\"keyed\": true,", &slots)
}

struct Cluster {
    platform: Arc<FakeStore>,
    agents: Vec<Agent>,
}

impl Cluster {
    /// Starts three agents and waits until the first document is in force and all slots are owned.
    async fn start() -> Cluster {
        let platform = Arc::new(FakeStore::new());
        let version = platform.put("services/standings", &document(1));
        let mut agents = Vec::new();
        for name in ["standings-1", "standings-2", "standings-3"] {
            agents.push(Agent::start(name, &platform, &[]).await);
        }
        let cluster = Cluster { platform, agents };
        cluster.wait_version(ConfigVersion(version.0)).await;
        for agent in &cluster.agents {
            agent.wait_owned(SLOTS).await;
        }
        cluster
    }

    async fn wait_version(&self, version: ConfigVersion) {
        for agent in &self.agents {
            agent.wait_version(version).await;
        }
    }

    /// Writes a document with the given weight and waits until it is in force on all agents.
    async fn change_document(&self, weight: u32) -> ConfigVersion {
        let version = self.platform.put("services/standings", &document(weight));
        let version = ConfigVersion(version.0);
        self.wait_version(version).await;
        version
    }

    fn accepted(&self) -> AcceptedDocument {
        serde_json::from_str(&self.platform.text("accepted/standings").unwrap()).unwrap()
    }

    /// Waits for a status and returns the index of the agent that it names as the coordinator.
    async fn coordinator(&self) -> usize {
        let name = || self.status().map(|it| it.coordinator.instance);
        wait_until("a status with the coordinator", || name().is_some()).await;
        let name = name().unwrap();
        self.agents.iter().position(|it| it.own.name == name).unwrap()
    }

    fn status(&self) -> Option<GroupStatus> {
        let text = self.platform.text("status/standings/0")?;
        Some(serde_json::from_str(&text).unwrap())
    }
}

#[tokio::test]
async fn a_changed_document_comes_into_force_on_all_agents() {
    let cluster = Cluster::start().await;
    let version = cluster.change_document(2).await;
    assert_eq!(cluster.accepted().version, version);
    wait_until("a status with the version in force on 3 of 3 instances", || {
        cluster.status().is_some_and(|it| {
            it.accepted == Some(version) && it.in_force.instances == 3 && it.in_force.of == 3
        })
    })
    .await;
}

#[tokio::test]
async fn an_invalid_document_is_refused_and_the_former_one_stays_in_force() {
    let cluster = Cluster::start().await;
    let good = cluster.change_document(2).await;
    let bad = cluster.platform.put("services/standings", &document(2).replace("weight", "wait"));
    wait_until("a status with the refused version and the reasons", || {
        cluster.status().and_then(|it| it.refused).is_some_and(|it| {
            it.version == ConfigVersion(bad.0) && it.reasons.iter().any(|it| it.contains("weight"))
        })
    })
    .await;
    assert_eq!(cluster.accepted().version, good);
    assert!(cluster.agents.iter().all(|it| it.version() == good));
    let better = cluster.change_document(3).await;
    assert_eq!(cluster.accepted().version, better);
}

#[tokio::test]
async fn a_lost_answer_to_an_acceptance_is_resolved_by_rereading() {
    let cluster = Cluster::start().await;
    cluster.platform.lost_answers.store(2, Ordering::SeqCst);
    let version = cluster.change_document(2).await;
    assert_eq!(cluster.accepted().version, version);
    let version = cluster.change_document(3).await;
    assert_eq!(cluster.accepted().version, version);
    assert_eq!(cluster.platform.lost_answers.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn versions_keep_increasing_after_the_loss_of_the_coordinator() {
    let mut cluster = Cluster::start().await;
    let before = cluster.change_document(2).await;
    let coordinator = cluster.coordinator().await;
    cluster.agents.remove(coordinator).kill();
    let after = cluster.change_document(3).await;
    assert!(after > before);
    for agent in &cluster.agents {
        agent.wait_owned(SLOTS).await;
    }
}

#[tokio::test]
async fn an_agent_restarted_during_a_platform_outage_gets_the_highest_version_from_peers() {
    let mut cluster = Cluster::start().await;
    let version = cluster.change_document(2).await;
    let peers: Vec<_> = cluster.agents.iter().map(|it| it.own.control).collect();
    // The restarted agent must not be the coordinator, since no new term can begin without the
    // platform.
    let member = (cluster.coordinator().await + 1) % cluster.agents.len();
    cluster.platform.is_down.store(true, Ordering::SeqCst);
    let former = cluster.agents.remove(member);
    let name = former.own.name.clone();
    former.kill();
    let restarted = Agent::start(name.as_str(), &cluster.platform, &peers).await;
    restarted.wait_version(version).await;
    assert_eq!(restarted.version(), version);
    // The agent has also joined the group: it receives the owners from the coordinator.
    restarted.wait_owned(SLOTS).await;
    cluster.platform.is_down.store(false, Ordering::SeqCst);
    cluster.agents.push(restarted);
    let later = cluster.change_document(3).await;
    assert!(later > version);
}

#[tokio::test]
async fn agents_stop_gracefully_one_by_one_and_two_at_once() {
    let cluster = Cluster::start().await;
    let [first, second, third] = <[Agent; 3]>::try_from(cluster.agents).ok().unwrap();
    first.stop().await;
    second.wait_owned(SLOTS).await;
    tokio::join!(second.stop(), third.stop());
}

#[tokio::test]
async fn a_change_after_a_rollback_of_the_store_comes_into_force_on_all_agents() {
    let cluster = Cluster::start().await;
    cluster.platform.take_snapshot();
    for weight in 2..5 {
        cluster.change_document(weight).await;
    }
    cluster.platform.roll_back();
    let version = cluster.change_document(9).await;
    assert_eq!(cluster.accepted().version, version);
}
