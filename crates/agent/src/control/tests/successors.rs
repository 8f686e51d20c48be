//! Upstreams that are started in place of ended ones, and state no start time.

use std::{sync::Arc, time::Duration};

use model::Timestamp;
use ownership::UpstreamState;
use upstream::Presence;

use crate::{
    control::{
        tests::{
            agent::{Agent, announcement, wait_until},
            documents::DOCUMENT,
            platform::FakeStore,
        },
        upstream::{AnnouncementKind, UpstreamMonitor},
    },
    report::Announcement,
};

const INTERVAL: Duration = Duration::from_secs(1);

fn upstream(id: &str, sequence: u64) -> Announcement {
    let upstream_id = Some(id.into());
    Announcement { upstream_id, incarnation_start_ms: None, sequence, ..announcement() }
}

/// Returns a monitor of an upstream that announced itself at 10 s and was confirmed.
fn confirmed() -> UpstreamMonitor {
    let mut monitor = UpstreamMonitor::in_open_zone();
    monitor.receive(Timestamp::from_ms(10_000), INTERVAL, &upstream("i-1", 7));
    assert!(monitor.record_presence(Some(&"i-1".into()), None, Presence::Present));
    assert_eq!(monitor.state(), UpstreamState::Ready);
    monitor
}

#[test]
fn a_confirmed_upstream_that_another_one_answers_for_is_lost() {
    let mut monitor = confirmed();
    assert!(monitor.record_presence(Some(&"i-1".into()), None, Presence::Replaced));
    assert_eq!(monitor.state(), UpstreamState::Lost);
    let kind = monitor.receive(Timestamp::from_ms(10_100), INTERVAL, &upstream("i-2", 1));
    assert_eq!(kind, AnnouncementKind::NewIncarnation);
    assert_eq!(monitor.state(), UpstreamState::Starting, "each incarnation is probed");
}

#[test]
fn an_upstream_that_was_falsely_found_replaced_is_ready_again_once_it_answers() {
    let mut monitor = confirmed();
    monitor.record_presence(Some(&"i-1".into()), None, Presence::Replaced);
    assert!(monitor.record_presence(Some(&"i-1".into()), None, Presence::Present));
    assert_eq!(monitor.state(), UpstreamState::Ready);
}

#[test]
fn an_announcement_of_another_incarnation_does_not_replace_a_live_one() {
    let mut monitor = confirmed();
    let kind = monitor.receive(Timestamp::from_ms(10_100), INTERVAL, &upstream("i-2", 1));
    assert_eq!(kind, AnnouncementKind::Rival);
    assert_eq!(monitor.state(), UpstreamState::Ready);
}

/// Guards against keys that stay with an ended upstream until it has been silent for long enough.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_announcement_is_taken_once_a_probe_shows_that_its_predecessor_has_ended() {
    let platform = Arc::new(FakeStore::new());
    platform.put("services/standings", DOCUMENT);
    let agent = Agent::start_unannounced("standings-1", &platform).await;
    agent.wait_version(model::ConfigVersion(1)).await;
    let (first, second) = (upstream("i-1", 1), upstream("i-2", 1));
    agent.announce_unprobed(first.clone());
    wait_until("the first upstream", || agent.upstream_id() == first.upstream_id).await;
    agent.answer_probe(&first, Presence::Present);
    wait_until("keys", || agent.owns_slots()).await;
    agent.announce_unprobed(second.clone());
    agent.answer_probe(&first, Presence::Replaced);
    wait_until("the second upstream", || agent.upstream_id() == second.upstream_id).await;
    wait_until("no keys", || !agent.owns_slots()).await;
    agent.answer_probe(&second, Presence::Present);
    wait_until("keys", || agent.owns_slots()).await;
    agent.kill();
}

/// Guards against leases of an ended upstream that its agent goes on to extend.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_session_ends_once_a_probe_shows_that_the_upstream_has_ended() {
    let platform = Arc::new(FakeStore::new());
    platform.put("services/standings", DOCUMENT);
    let agent = Agent::start("standings-1", &platform, &[]).await;
    wait_until("keys", || agent.owns_slots()).await;
    let ended = agent.ended_sessions();
    agent.answer_probe(&announcement(), Presence::Replaced);
    wait_until("the end of the session", || agent.ended_sessions() > ended).await;
    agent.kill();
}
