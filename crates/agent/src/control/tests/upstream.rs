//! Which life of the upstream an announcement comes from.

use std::{net::SocketAddr, time::Duration};

use model::{ServiceName, Timestamp};
use ownership::UpstreamState;
use settings::KeyGrants;

use crate::{
    control::upstream::{AnnouncementKind, UpstreamMonitor, announcement_timeout},
    report::Announcement,
};

const EVERY: Duration = Duration::from_secs(1);

fn announcement(id: &str, born_ms: Option<u64>, sequence: u64) -> Announcement {
    Announcement {
        service: ServiceName::new("standings").unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 5)),
        state: UpstreamState::Ready,
        slots: 12,
        checks_fence: true,
        upstream_id: Some(id.into()),
        born_ms,
        sequence,
        cold_for: Duration::ZERO,
    }
}

/// One that was heard at 10 s, and said that it began at 5,000.
fn known() -> UpstreamMonitor {
    let mut state = UpstreamMonitor::default();
    state.announcement = Some(announcement("i-1", Some(5_000), 7));
    state.announced_at = Timestamp::from_ms(10_000);
    state
}

fn kind_at(now_ms: u64, announcement: &Announcement) -> AnnouncementKind {
    known().classify(Timestamp::from_ms(now_ms), EVERY, announcement)
}

#[test]
fn an_upstream_that_starts_again_under_its_name_is_another_life() {
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
fn late_announcements_change_nothing() {
    assert_eq!(kind_at(10_100, &announcement("i-1", Some(5_000), 7)), AnnouncementKind::Stale);
    assert_eq!(
        kind_at(10_100, &announcement("i-1", Some(1_000), 90)),
        AnnouncementKind::Stale,
        "earlier life"
    );
    assert_eq!(kind_at(10_100, &announcement("i-0", Some(1_000), 90)), AnnouncementKind::Stale);
}

/// Its time of day may have been put back between two lives.
#[test]
fn after_silence_whoever_announces_itself_is_there() {
    assert_eq!(
        kind_at(12_000, &announcement("i-2", Some(1_000), 1)),
        AnnouncementKind::NewIncarnation
    );
}

#[test]
fn one_that_does_not_say_when_it_began_is_of_another_writer() {
    assert_eq!(kind_at(12_000, &announcement("i-1", None, 8)), AnnouncementKind::Stale);
    assert_eq!(kind_at(12_000, &announcement("i-2", None, 1)), AnnouncementKind::Stale);
}

/// Its keys run out without announcements, so nobody waits for it longer than for them.
#[test]
fn an_upstream_that_is_granted_keys_by_announcements_is_lost_sooner() {
    let every = Duration::from_millis(1_500);
    assert_eq!(announcement_timeout(KeyGrants::Calls, every), Duration::from_secs(4));
    assert_eq!(announcement_timeout(KeyGrants::Announcements, every), Duration::from_millis(2_250));
    assert_eq!(announcement_timeout(KeyGrants::Announcements, every * 10), Duration::from_secs(4));
}
