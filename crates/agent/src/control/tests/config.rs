//! Acceptance and spreading of documents, through the failures that they are meant for.

use std::sync::{Arc, atomic::Ordering};

use model::ConfigVersion;
use settings::{Accepted, Status};

use crate::control::tests::{
    documents::DOCUMENT,
    fleet::{Agent, wait},
    platform::FakeStore,
};

const SLOTS: usize = 8;

/// A document that differs from others by its weight.
fn document(weight: u32) -> String {
    let weight = format!("\"weight\": {weight}");
    let slots = format!("\"keyed\": true, \"slot_count\": {SLOTS},");
    DOCUMENT.replace("\"weight\": 1", &weight).replace("\"keyed\": true,", &slots)
}

struct Fleet {
    platform: Arc<FakeStore>,
    agents: Vec<Agent>,
}

impl Fleet {
    /// Three agents with the first document in force and all slots owned.
    async fn start() -> Fleet {
        let platform = Arc::new(FakeStore::new());
        let version = platform.put("services/standings", &document(1));
        let mut agents = Vec::new();
        for name in ["standings-1", "standings-2", "standings-3"] {
            agents.push(Agent::start(name, &platform, &[]).await);
        }
        let fleet = Fleet { platform, agents };
        fleet.wait_version(ConfigVersion(version.0)).await;
        for agent in &fleet.agents {
            agent.wait_owned(SLOTS).await;
        }
        fleet
    }

    async fn wait_version(&self, version: ConfigVersion) {
        for agent in &self.agents {
            agent.wait_version(version).await;
        }
    }

    /// Writes a document and waits until it is in force on all.
    async fn change(&self, weight: u32) -> ConfigVersion {
        let version = self.platform.put("services/standings", &document(weight));
        let version = ConfigVersion(version.0);
        self.wait_version(version).await;
        version
    }

    fn accepted(&self) -> Accepted {
        serde_json::from_str(&self.platform.text("accepted/standings").unwrap()).unwrap()
    }

    /// The index of the agent that coordinates.
    async fn coordinator(&self) -> usize {
        let name = || self.status().map(|it| it.coordinator.instance);
        wait("a status with the coordinator", || name().is_some()).await;
        let name = name().unwrap();
        self.agents.iter().position(|it| it.own.name == name).unwrap()
    }

    fn status(&self) -> Option<Status> {
        let text = self.platform.text("status/standings/0")?;
        Some(serde_json::from_str(&text).unwrap())
    }
}

#[tokio::test]
async fn a_change_is_in_force_on_all() {
    let fleet = Fleet::start().await;
    let version = fleet.change(2).await;
    assert_eq!(fleet.accepted().version, version);
    wait("a status that says so", || {
        fleet.status().is_some_and(|it| {
            it.accepted == Some(version) && it.in_force.instances == 3 && it.in_force.of == 3
        })
    })
    .await;
}

#[tokio::test]
async fn a_bad_document_leaves_the_former_in_force() {
    let fleet = Fleet::start().await;
    let good = fleet.change(2).await;
    let bad = fleet.platform.put("services/standings", &document(2).replace("weight", "wait"));
    wait("a status with the reasons", || {
        fleet.status().and_then(|it| it.refused).is_some_and(|it| {
            it.version == ConfigVersion(bad.0) && it.reasons.iter().any(|it| it.contains("weight"))
        })
    })
    .await;
    assert_eq!(fleet.accepted().version, good);
    assert!(fleet.agents.iter().all(|it| it.version() == good));
    let better = fleet.change(3).await;
    assert_eq!(fleet.accepted().version, better);
}

#[tokio::test]
async fn a_lost_answer_of_the_acceptance_is_settled_by_reading() {
    let fleet = Fleet::start().await;
    fleet.platform.lost_answers.store(2, Ordering::SeqCst);
    let version = fleet.change(2).await;
    assert_eq!(fleet.accepted().version, version);
    let version = fleet.change(3).await;
    assert_eq!(fleet.accepted().version, version);
    assert_eq!(fleet.platform.lost_answers.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn versions_survive_the_loss_of_the_coordinator() {
    let mut fleet = Fleet::start().await;
    let before = fleet.change(2).await;
    let coordinator = fleet.coordinator().await;
    fleet.agents.remove(coordinator).kill();
    let after = fleet.change(3).await;
    assert!(after > before);
    for agent in &fleet.agents {
        agent.wait_owned(SLOTS).await;
    }
}

#[tokio::test]
async fn a_restart_during_an_outage_gets_the_highest_version_from_peers() {
    let mut fleet = Fleet::start().await;
    let version = fleet.change(2).await;
    let peers: Vec<_> = fleet.agents.iter().map(|it| it.own.control).collect();
    // Not the coordinator: no term begins without the platform.
    let member = (fleet.coordinator().await + 1) % fleet.agents.len();
    fleet.platform.is_down.store(true, Ordering::SeqCst);
    let former = fleet.agents.remove(member);
    let name = former.own.name.clone();
    former.kill();
    let restarted = Agent::start(name.as_str(), &fleet.platform, &peers).await;
    restarted.wait_version(version).await;
    assert_eq!(restarted.version(), version);
    // It has joined too: it sees the owners that the coordinator tells its members of.
    restarted.wait_owned(SLOTS).await;
    fleet.platform.is_down.store(false, Ordering::SeqCst);
    fleet.agents.push(restarted);
    let later = fleet.change(3).await;
    assert!(later > version);
}

#[tokio::test]
async fn all_may_stop_one_after_another_and_two_at_once() {
    let fleet = Fleet::start().await;
    let [first, second, third] = <[Agent; 3]>::try_from(fleet.agents).ok().unwrap();
    first.stop().await;
    second.wait_owned(SLOTS).await;
    tokio::join!(second.stop(), third.stop());
}

#[tokio::test]
async fn a_change_after_the_store_came_back_from_an_older_copy_is_in_force_on_all() {
    let fleet = Fleet::start().await;
    fleet.platform.take_snapshot();
    for weight in 2..5 {
        fleet.change(weight).await;
    }
    fleet.platform.roll_back();
    let version = fleet.change(9).await;
    assert_eq!(fleet.accepted().version, version);
}
