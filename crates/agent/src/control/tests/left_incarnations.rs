//! Announcements beside a leaving of the upstream: the table of docs/design/announcements.md.

use std::{net::SocketAddr, time::Duration};

use model::{ServiceName, Timestamp};
use ownership::UpstreamState;
use upstream::Presence;

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

/// Receives an announcement, and the confirmation of the incarnation if it is the known one from then on.
fn receive(monitor: &mut UpstreamMonitor, at_ms: u64, it: &Announcement) -> AnnouncementKind {
    let kind = receive_unprobed(monitor, at_ms, it);
    answer(monitor, it, Presence::Present);
    kind
}

fn receive_unprobed(
    monitor: &mut UpstreamMonitor,
    at_ms: u64,
    it: &Announcement,
) -> AnnouncementKind {
    monitor.receive(Timestamp::from_ms(at_ms), INTERVAL, it)
}

/// Passes on the answer of the incarnation of the announcement to a probe.
fn answer(monitor: &mut UpstreamMonitor, it: &Announcement, presence: Presence) -> bool {
    monitor.record_presence(it.upstream_id.as_ref(), it.incarnation_start_ms, presence)
}

fn leave(monitor: &mut UpstreamMonitor, at_ms: u64, start_ms: Option<u64>) -> LeavingKind {
    monitor.leave(Timestamp::from_ms(at_ms), Some(&UpstreamId::from("i-1")), start_ms)
}

/// Returns an agent that has heard the upstream and then its leaving.
fn known_left() -> UpstreamMonitor {
    let mut monitor = UpstreamMonitor::in_open_zone();
    receive(&mut monitor, LEFT_MS - 500, &announcement(START_MS, SEQUENCE));
    assert_eq!(leave(&mut monitor, LEFT_MS, Some(START_MS)), LeavingKind::Known);
    monitor
}

/// Returns an agent that was started again and has heard nothing but the leaving.
fn unknown_left() -> UpstreamMonitor {
    let mut monitor = UpstreamMonitor::in_open_zone();
    assert_eq!(leave(&mut monitor, LEFT_MS, Some(START_MS)), LeavingKind::Unknown);
    monitor
}

/// Returns an agent that knew an earlier incarnation when the upstream left.
fn earlier_known() -> UpstreamMonitor {
    let mut monitor = UpstreamMonitor::in_open_zone();
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

/// An agent that was started again after the leaving must not wait for anything but the answer to its probe before it
/// serves a new incarnation.
#[test]
fn a_process_that_heard_of_no_leaving_takes_the_first_announcement() {
    let mut monitor = UpstreamMonitor::in_open_zone();
    let next = announcement(START_MS + 1, 1);
    receive_unprobed(&mut monitor, LEFT_MS + 500, &next);
    assert_eq!((monitor.state(), monitor.leaving()), (UpstreamState::Starting, None));
    assert!(answer(&mut monitor, &next, Presence::Present));
    assert_eq!((monitor.state(), monitor.leaving()), (UpstreamState::Ready, None));
}

/// The agent was started again after it had acknowledged the leaving, and the first announcement that it receives was
/// sent before that.
#[test]
fn a_process_that_heard_of_no_leaving_gives_no_work_to_an_upstream_that_states_it() {
    let mut monitor = UpstreamMonitor::in_open_zone();
    let late = announcement(START_MS, SEQUENCE);
    receive_unprobed(&mut monitor, LEFT_MS + 3_400, &late);
    assert!(answer(&mut monitor, &late, Presence::Leaving));
    leave(&mut monitor, LEFT_MS + 3_400, Some(START_MS));
    assert_leaving(&monitor);
    receive(&mut monitor, LEFT_MS + 3_500, &announcement(START_MS, SEQUENCE + 1));
    assert_leaving(&monitor);
    assert!(!monitor.is_confirmed(), "its drain time is over, so it gets no request");
}

/// An upstream whose health check fails may be leaving without stating it.
#[test]
fn an_unhealthy_upstream_is_starting_until_it_is_confirmed() {
    let mut monitor = UpstreamMonitor::in_open_zone();
    let first = announcement(START_MS, 1);
    receive_unprobed(&mut monitor, LEFT_MS, &first);
    answer(&mut monitor, &first, Presence::Unhealthy);
    assert_eq!((monitor.state(), monitor.leaving()), (UpstreamState::Starting, None));
    answer(&mut monitor, &first, Presence::Present);
    assert_eq!(monitor.state(), UpstreamState::Ready);
    assert!(!answer(&mut monitor, &first, Presence::Unhealthy), "an answer that was overtaken");
    assert_eq!(monitor.state(), UpstreamState::Ready);
}

/// Its drain time began with an earlier process of the agent, and must not begin anew.
#[test]
fn an_incarnation_first_heard_as_draining_is_not_confirmed() {
    let mut monitor = UpstreamMonitor::in_open_zone();
    let first = Announcement { state: UpstreamState::Draining, ..announcement(START_MS, SEQUENCE) };
    receive_unprobed(&mut monitor, LEFT_MS + 500, &first);
    assert_leaving(&monitor);
    assert!(!monitor.can_get_requests());
}

/// The answer may arrive after another incarnation has announced itself.
#[test]
fn a_confirmation_binds_only_the_incarnation_that_gave_it() {
    let mut monitor = UpstreamMonitor::in_open_zone();
    let (first, next) = (announcement(START_MS, SEQUENCE), announcement(START_MS + 1, 1));
    receive_unprobed(&mut monitor, LEFT_MS, &first);
    receive_unprobed(&mut monitor, LEFT_MS + 100, &next);
    assert!(!answer(&mut monitor, &first, Presence::Present));
    assert_eq!(monitor.state(), UpstreamState::Starting);
    receive(&mut monitor, LEFT_MS + 1_000, &announcement(START_MS + 1, 2));
    assert_eq!(monitor.state(), UpstreamState::Ready);
    receive_unprobed(&mut monitor, LEFT_MS + 2_000, &announcement(START_MS + 2, 1));
    assert_eq!(monitor.state(), UpstreamState::Starting, "each incarnation is probed");
}

/// A late announcement of an incarnation that has crashed must not keep out its successor, whose wall clock was set back.
#[test]
fn an_incarnation_that_was_replaced_gives_way_to_an_earlier_start_time() {
    let mut monitor = UpstreamMonitor::in_open_zone();
    let late = announcement(START_MS, SEQUENCE);
    receive_unprobed(&mut monitor, LEFT_MS, &late);
    let successor = announcement(START_MS - 1, 1);
    assert_eq!(receive(&mut monitor, LEFT_MS + 10, &successor), AnnouncementKind::Stale);
    answer(&mut monitor, &late, Presence::Replaced);
    let kind = receive(&mut monitor, LEFT_MS + 20, &successor);
    assert_eq!(kind, AnnouncementKind::NewIncarnation);
    assert_eq!(monitor.state(), UpstreamState::Ready);
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
    let mut monitor = UpstreamMonitor::in_open_zone();
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
    let mut monitor = UpstreamMonitor::in_open_zone();
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
    let mut monitor = UpstreamMonitor::in_open_zone();
    leave(&mut monitor, LEFT_MS, None);
    receive(&mut monitor, LEFT_MS + 10_100, &announcement(START_MS, 1));
    assert_eq!((monitor.state(), monitor.leaving()), (UpstreamState::Ready, None));
}

/// The known incarnation is replaced and heard again after its successor has been silent.
#[test]
fn announced_draining_outlasts_another_incarnation() {
    let mut monitor = UpstreamMonitor::in_open_zone();
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
    let mut monitor = UpstreamMonitor::in_open_zone();
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
