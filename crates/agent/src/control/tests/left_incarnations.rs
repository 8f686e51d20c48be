//! Announcements beside a leaving of the upstream: the table of docs/design/announcements.md.

use std::{net::SocketAddr, time::Duration};

use model::{ServiceName, Timestamp};
use ownership::UpstreamState;

use crate::{
    control::upstream::{AnnouncementKind, LeavingKind, UpstreamMonitor},
    report::{Announcement, UpstreamId},
    snapshot::LeaveReason,
};

const INTERVAL: Duration = Duration::from_secs(1);
/// Start time of the upstream that leaves.
const START_MS: u64 = 5_000;
/// Time of the leaving.
const LEFT_MS: u64 = 10_000;
/// The sequence of the last announcement before the leaving, if it was received.
const SEQUENCE: u64 = 7;

fn announcement(start_ms: u64, sequence: u64) -> Announcement {
    Announcement {
        service: ServiceName::new("standings").unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 5)),
        state: UpstreamState::Ready,
        slots: 12,
        checks_fence: true,
        upstream_id: Some("i-1".into()),
        incarnation_start_ms: Some(start_ms),
        sequence,
        cold_for: Duration::ZERO,
    }
}

fn receive(monitor: &mut UpstreamMonitor, at_ms: u64, it: &Announcement) -> AnnouncementKind {
    monitor.receive(Timestamp::from_ms(at_ms), INTERVAL, it)
}

fn leave(monitor: &mut UpstreamMonitor, at_ms: u64, start_ms: Option<u64>) -> LeavingKind {
    monitor.leave(Timestamp::from_ms(at_ms), Some(&UpstreamId::from("i-1")), start_ms)
}

/// Returns an agent that has heard the upstream and then its leaving.
fn known_left() -> UpstreamMonitor {
    let mut monitor = UpstreamMonitor::default();
    receive(&mut monitor, LEFT_MS - 500, &announcement(START_MS, SEQUENCE));
    assert_eq!(leave(&mut monitor, LEFT_MS, Some(START_MS)), LeavingKind::Known);
    monitor
}

/// Returns an agent that was started again and has heard nothing but the leaving.
fn unknown_left() -> UpstreamMonitor {
    let mut monitor = UpstreamMonitor::default();
    assert_eq!(leave(&mut monitor, LEFT_MS, Some(START_MS)), LeavingKind::Unknown);
    monitor
}

/// Returns an agent that knew an earlier incarnation when the upstream left.
fn earlier_known() -> UpstreamMonitor {
    let mut monitor = UpstreamMonitor::default();
    receive(&mut monitor, LEFT_MS - 500, &announcement(START_MS - 1, SEQUENCE));
    assert_eq!(leave(&mut monitor, LEFT_MS, Some(START_MS)), LeavingKind::Known);
    monitor
}

fn assert_leaving(monitor: &UpstreamMonitor) {
    assert_eq!(monitor.state(), UpstreamState::Draining);
    assert_eq!(monitor.leaving(), Some(LeaveReason::Stopping));
}

#[test]
fn known_leaving_and_an_earlier_announcement_leave_the_upstream_draining() {
    let mut monitor = known_left();
    let kind = receive(&mut monitor, LEFT_MS + 100, &announcement(START_MS, SEQUENCE - 1));
    assert_eq!(kind, AnnouncementKind::Stale);
    assert_leaving(&monitor);
}

#[test]
fn known_leaving_and_a_later_announcement_leave_the_upstream_draining() {
    let mut monitor = known_left();
    let kind = receive(&mut monitor, LEFT_MS + 3_000, &announcement(START_MS, SEQUENCE + 1));
    assert_eq!(kind, AnnouncementKind::SameIncarnation);
    assert_leaving(&monitor);
}

#[test]
fn known_leaving_does_not_bind_a_later_incarnation() {
    let mut monitor = known_left();
    let kind = receive(&mut monitor, LEFT_MS + 100, &announcement(START_MS + 1, 1));
    assert_eq!(kind, AnnouncementKind::NewIncarnation);
    assert_eq!((monitor.state(), monitor.leaving()), (UpstreamState::Ready, None));
}

#[test]
fn unknown_leaving_and_any_announcement_of_the_incarnation_leave_no_upstream() {
    for mut monitor in [unknown_left(), earlier_known()] {
        let published = monitor.announcement.clone();
        for (at_ms, sequence) in [(LEFT_MS + 100, 1), (LEFT_MS + 3_200, 2), (LEFT_MS + 60_000, 3)] {
            let kind = receive(&mut monitor, at_ms, &announcement(START_MS, sequence));
            assert_eq!(kind, AnnouncementKind::Stale);
            assert_eq!(monitor.announcement, published);
        }
    }
}

#[test]
fn unknown_leaving_does_not_bind_a_later_incarnation() {
    for mut monitor in [unknown_left(), earlier_known()] {
        let kind = receive(&mut monitor, LEFT_MS + 100, &announcement(START_MS + 1, 1));
        assert_ne!(kind, AnnouncementKind::Stale);
        assert_eq!((monitor.state(), monitor.leaving()), (UpstreamState::Ready, None));
        let late = receive(&mut monitor, LEFT_MS + 200, &announcement(START_MS, SEQUENCE));
        assert_eq!(late, AnnouncementKind::Stale);
        assert_eq!(monitor.state(), UpstreamState::Ready);
    }
}

/// An agent that was started again after the leaving must not wait for anything before it serves a new incarnation.
#[test]
fn a_process_that_heard_of_no_leaving_takes_the_first_announcement() {
    let mut monitor = UpstreamMonitor::default();
    receive(&mut monitor, LEFT_MS + 500, &announcement(START_MS + 1, 1));
    assert_eq!((monitor.state(), monitor.leaving()), (UpstreamState::Ready, None));
}

/// The later incarnation of the same id has taken the place of the known one before it left.
#[test]
fn leaving_of_a_later_incarnation_ends_work_for_the_known_one() {
    let mut monitor = earlier_known();
    assert_leaving(&monitor);
    let kind = receive(&mut monitor, LEFT_MS + 100, &announcement(START_MS - 1, SEQUENCE + 1));
    assert_eq!(kind, AnnouncementKind::Stale);
    assert_leaving(&monitor);
}

#[test]
fn leaving_of_an_earlier_incarnation_does_not_bind_the_known_one() {
    let mut monitor = UpstreamMonitor::default();
    receive(&mut monitor, LEFT_MS - 500, &announcement(START_MS, SEQUENCE));
    assert_eq!(leave(&mut monitor, LEFT_MS, Some(START_MS - 1)), LeavingKind::Unknown);
    assert_eq!((monitor.state(), monitor.leaving()), (UpstreamState::Ready, None));
}

/// The wall clock may be set back before an upstream starts again under its id.
#[test]
fn an_earlier_start_time_is_accepted_once_announcements_cannot_be_that_late() {
    let mut monitor = unknown_left();
    let next = |sequence| announcement(START_MS - 1, sequence);
    assert_eq!(receive(&mut monitor, LEFT_MS + 9_900, &next(1)), AnnouncementKind::Stale);
    assert_ne!(receive(&mut monitor, LEFT_MS + 10_100, &next(2)), AnnouncementKind::Stale);
    assert_eq!(monitor.state(), UpstreamState::Ready);
}

#[test]
fn leaving_without_a_start_time_binds_the_first_incarnation_that_is_announced() {
    let mut monitor = UpstreamMonitor::default();
    assert_eq!(leave(&mut monitor, LEFT_MS, None), LeavingKind::Unknown);
    for sequence in [1, 2] {
        let kind = receive(&mut monitor, LEFT_MS + 100, &announcement(START_MS, sequence));
        assert_eq!(kind, AnnouncementKind::Stale);
    }
    assert_eq!(monitor.state(), UpstreamState::Starting);
    receive(&mut monitor, LEFT_MS + 200, &announcement(START_MS + 1, 1));
    assert_eq!((monitor.state(), monitor.leaving()), (UpstreamState::Ready, None));
}

/// The upstream may have started again under its id, and its announcements would be ignored for good.
#[test]
fn leaving_without_a_start_time_does_not_bind_an_incarnation_announced_much_later() {
    let mut monitor = UpstreamMonitor::default();
    leave(&mut monitor, LEFT_MS, None);
    receive(&mut monitor, LEFT_MS + 10_100, &announcement(START_MS, 1));
    assert_eq!((monitor.state(), monitor.leaving()), (UpstreamState::Ready, None));
}

/// The known incarnation is replaced and heard again after its successor has been silent.
#[test]
fn announced_draining_outlasts_another_incarnation() {
    let mut monitor = UpstreamMonitor::default();
    let draining =
        Announcement { state: UpstreamState::Draining, ..announcement(START_MS, SEQUENCE) };
    receive(&mut monitor, LEFT_MS, &draining);
    receive(&mut monitor, LEFT_MS + 100, &announcement(START_MS + 1, 1));
    let late = receive(&mut monitor, LEFT_MS + 60_000, &announcement(START_MS, SEQUENCE - 1));
    assert_eq!(late, AnnouncementKind::Stale);
}

/// An ignored announcement is acknowledged all the same, so its draining state has to be kept.
#[test]
fn announced_draining_of_an_unknown_incarnation_is_kept() {
    let mut monitor = UpstreamMonitor::default();
    receive(&mut monitor, LEFT_MS - 500, &announcement(START_MS, SEQUENCE));
    let earlier = announcement(START_MS - 1, 90);
    let draining = Announcement { state: UpstreamState::Draining, ..earlier.clone() };
    assert_eq!(receive(&mut monitor, LEFT_MS, &draining), AnnouncementKind::Stale);
    assert_eq!(receive(&mut monitor, LEFT_MS + 60_000, &earlier), AnnouncementKind::Stale);
    assert_eq!(monitor.leaving(), None);
}

/// The gate counts the drain time from the first snapshot in which the upstream is leaving. If it were not leaving
/// while it counts as lost, a late announcement would begin a second drain time, in which it gets requests.
#[test]
fn a_draining_upstream_is_leaving_also_while_it_counts_as_lost() {
    let mut monitor = known_left();
    monitor.announcement.as_mut().unwrap().state = UpstreamState::Lost;
    assert_eq!(monitor.leaving(), Some(LeaveReason::Stopping));
    receive(&mut monitor, LEFT_MS + 6_000, &announcement(START_MS, SEQUENCE + 1));
    assert_leaving(&monitor);
}
