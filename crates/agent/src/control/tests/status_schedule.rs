//! The times at which a status is written.

use model::{ConfigVersion, GroupId, InstanceName, ServiceName, Term, Timestamp, Zone};
use settings::{CoordinatorStatus, GroupStatus, InForceStatus, Measures, MoveStatus};

use crate::control::status_schedule::StatusSchedule;

const TICK_MS: u64 = 25;

/// Returns a status of a group of 25 members, whose version `accepted` is in force on `instances`.
fn status(accepted: u64, instances: u32, last_move: u64) -> GroupStatus {
    let name = |it: &str| InstanceName::new(it).unwrap();
    let moved = MoveStatus {
        slot: model::Slot(0),
        token: model::Token { term: Term(1), sequence: last_move },
        to: name("s-1"),
        reason: "loss".to_owned(),
        at_unix_ms: 0,
    };
    GroupStatus {
        service: ServiceName::new("standings").unwrap(),
        group: GroupId(0),
        written_at_unix_ms: 0,
        accepted: Some(ConfigVersion(accepted)),
        in_force: InForceStatus { instances, of: 25, since_unix_ms: None },
        refused: None,
        coordinator: CoordinatorStatus {
            instance: name("s-1"),
            zone: Zone::new("pitlane").unwrap(),
            term: Term(1),
            settled: true,
        },
        owners: Vec::new(),
        upstreams: Vec::new(),
        grants: Vec::new(),
        hot_keys: Vec::new(),
        measures: Measures::default(),
        moves: vec![moved],
    }
}

/// Checks the times in milliseconds at which the status is written. `status_at` returns the status
/// of each tick.
fn check(end_ms: u64, jitter: f64, status_at: impl Fn(u64) -> GroupStatus, expected: &[u64]) {
    let mut schedule = StatusSchedule::default();
    let mut writes = Vec::new();
    for at_ms in (0..end_ms).step_by(TICK_MS as usize) {
        let (now, status) = (Timestamp::from_ms(at_ms), status_at(at_ms));
        if schedule.is_due(now, &status) {
            schedule.record_write(now, status, jitter);
            writes.push(at_ms);
        }
    }
    assert_eq!(writes, expected);
}

#[test]
fn an_unchanged_status_is_written_every_30_s() {
    check(70_000, 0.5, |_| status(1, 25, 0), &[0, 30_000, 60_000]);
}

#[test]
fn a_document_is_written_once_it_is_in_force_on_all_members() {
    let rollout = |at_ms: u64| match at_ms {
        0..2_000 => status(1, 25, 0),
        2_000..2_300 => status(2, 8, 0),
        _ => status(2, 25, 0),
    };
    check(4_000, 0.5, rollout, &[0, 2_300]);
}

#[test]
fn an_incomplete_rollout_is_written_after_the_longest_wait() {
    let rollout = |at_ms: u64| if at_ms < 2_000 { status(1, 25, 0) } else { status(2, 24, 0) };
    check(4_000, 0.5, rollout, &[0, 2_500]);
}

#[test]
fn continuous_moves_are_written_at_increasing_intervals() {
    let moves = |at_ms: u64| status(1, 25, at_ms);
    check(45_000, 0.0, moves, &[0, 1_000, 3_000, 7_000, 15_000, 23_000, 31_000, 39_000]);
}

#[test]
fn document_changes_do_not_delay_a_write_about_a_loss() {
    let edits = |at_ms: u64| match at_ms {
        0..8_000 => status(at_ms / 1_000, 25, 0),
        _ => status(7, 25, 1),
    };
    let expected = [0, 1_000, 2_000, 3_000, 4_000, 5_000, 6_000, 7_000, 8_000];
    check(10_000, 0.0, edits, &expected);
}

#[test]
fn a_loss_is_written_after_a_random_delay() {
    let loss = |at_ms: u64| status(1, 25, u64::from(at_ms >= 10_000));
    check(20_000, 0.0, loss, &[0, 10_000]);
    check(20_000, 0.8, loss, &[0, 11_600]);
}

#[test]
fn a_failed_write_is_retried_after_a_pause() {
    let mut schedule = StatusSchedule::default();
    schedule.record_write(Timestamp::from_ms(0), status(1, 25, 0), 0.0);
    schedule.record_failure(Timestamp::from_ms(10));
    assert!(!schedule.is_due(Timestamp::from_ms(1_000), &status(1, 25, 0)));
    assert!(schedule.is_due(Timestamp::from_ms(1_010), &status(1, 25, 0)));
}
