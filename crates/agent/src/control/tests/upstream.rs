//! The classification of announcements by incarnation, and the announcement timeout.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use model::{ServiceName, Term, Timestamp, Token};
use ownership::UpstreamState;
use settings::KeyGrants;

use crate::{
    control::{
        tests::{
            agent::{Agent, wait_until},
            documents::DOCUMENT,
            platform::FakeStore,
        },
        upstream::{AnnouncementKind, UpstreamMonitor, announcement_timeout},
    },
    report::Announcement,
};

const INTERVAL: Duration = Duration::from_secs(1);

fn announcement(id: &str, incarnation_start_ms: Option<u64>, sequence: u64) -> Announcement {
    Announcement {
        service: ServiceName::new("standings").unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 5)),
        state: UpstreamState::Ready,
        slots: 12,
        checks_fence: true,
        upstream_id: Some(id.into()),
        incarnation_start_ms,
        sequence,
        cold_for: Duration::ZERO,
    }
}

/// Returns a monitor whose upstream started at 5,000 ms and announced itself at 10 s.
fn monitor() -> UpstreamMonitor {
    let mut monitor = UpstreamMonitor::in_open_zone();
    monitor.announcement = Some(announcement("i-1", Some(5_000), 7));
    monitor.announced_at = Timestamp::from_ms(10_000);
    monitor
}

fn kind_at(now_ms: u64, announcement: &Announcement) -> AnnouncementKind {
    monitor().classify(Timestamp::from_ms(now_ms), INTERVAL, announcement)
}

#[test]
fn a_restarted_upstream_with_the_same_name_is_a_new_incarnation() {
    assert_eq!(
        kind_at(10_100, &announcement("i-1", Some(5_000), 8)),
        AnnouncementKind::SameIncarnation
    );
    assert_eq!(
        kind_at(10_100, &announcement("i-1", Some(9_900), 1)),
        AnnouncementKind::NewIncarnation
    );
}

#[test]
fn announcements_out_of_order_or_of_earlier_incarnations_are_stale() {
    assert_eq!(kind_at(10_100, &announcement("i-1", Some(5_000), 7)), AnnouncementKind::Stale);
    assert_eq!(
        kind_at(10_100, &announcement("i-1", Some(1_000), 90)),
        AnnouncementKind::Stale,
        "an earlier incarnation"
    );
    assert_eq!(kind_at(10_100, &announcement("i-0", Some(1_000), 90)), AnnouncementKind::Stale);
}

/// An upstream's wall clock may have been set back between two incarnations.
#[test]
fn an_earlier_start_time_is_a_new_incarnation_once_announcements_stop() {
    assert_eq!(
        kind_at(12_000, &announcement("i-2", Some(1_000), 1)),
        AnnouncementKind::NewIncarnation
    );
}

#[test]
fn an_announcement_without_a_start_time_is_stale() {
    assert_eq!(kind_at(12_000, &announcement("i-1", None, 8)), AnnouncementKind::Stale);
    assert_eq!(kind_at(12_000, &announcement("i-2", None, 1)), AnnouncementKind::Stale);
}

/// Its grants expire without announcements, so the timeout need not be longer than that.
#[test]
fn an_upstream_granted_keys_by_announcements_times_out_sooner() {
    let interval = Duration::from_millis(1_500);
    assert_eq!(announcement_timeout(KeyGrants::Calls, interval), Duration::from_secs(4));
    assert_eq!(
        announcement_timeout(KeyGrants::Announcements, interval),
        Duration::from_millis(2_250)
    );
    assert_eq!(
        announcement_timeout(KeyGrants::Announcements, interval * 10),
        Duration::from_secs(4)
    );
}

/// Guards against the end of a session by the outcome of a grant that was sent in an earlier one. A grant may wait for its
/// connection and its answer for over a second.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_outdated_token_of_an_earlier_session_does_not_end_the_current_one() {
    let platform = Arc::new(FakeStore::new());
    platform.put("services/standings", DOCUMENT);
    let agent = Agent::start("standings-1", &platform, &[]).await;
    wait_until("keys", || agent.owns_slots()).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let ended = agent.ended_sessions();
    agent.report_outdated(Token { term: Term(0), sequence: 1 });
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(agent.ended_sessions(), ended, "the session has ended");
    agent.kill();
}
