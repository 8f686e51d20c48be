//! The group's status object, which the coordinator writes to the platform.

use std::{
    collections::VecDeque,
    time::{Duration, SystemTime},
};

use model::{Instance, ObjectVersion, Timestamp};
use object_store::StoreError;
use ownership::{MemberCapacity, MemberView, NodeView, OwnerView, UpstreamState};
use rand::RngExt;
use settings::{
    CapacityStatus, CoordinatorStatus, GrantStatus, GroupStatus, HotKeyStatus, InForceStatus,
    Measures, OwnerStatus, STATUS_GRANTS_MAX, UpstreamStateName, UpstreamStatus,
};

use crate::control::{state::Control, status_schedule::StatusSchedule};

/// The period that the measures of the status cover.
const MEASURE_WINDOW: Duration = Duration::from_secs(60);

/// The state of writing the status object.
#[derive(Debug, Default)]
pub(crate) struct StatusWriter {
    /// The object's version, or `None` if it must be read before the next write.
    object_version: Option<ObjectVersion>,
    /// Whether a read or write of the object is in flight.
    is_in_flight: bool,
    schedule: StatusSchedule,
    /// When the accepted version was first in force on all members, in milliseconds since 1970.
    in_force_since_unix_ms: Option<u64>,
    /// When the coordinator last sent all versions to its members.
    versions_sent_at: Option<Timestamp>,
    unowned: UnownedPeriods,
}

/// The periods within [`MEASURE_WINDOW`] in which some slot had no owner. The time before all slots
/// were first owned does not count.
#[derive(Debug, Default)]
struct UnownedPeriods {
    /// Whether all slots have been owned at some time.
    was_owned: bool,
    /// The start of the current period.
    started_at: Option<Timestamp>,
    /// The end and the duration of each past period.
    ended: VecDeque<(Timestamp, Duration)>,
}

impl UnownedPeriods {
    fn record(&mut self, now: Timestamp, has_unowned: bool) {
        self.ended.retain(|(at, _)| now.since(*at) <= MEASURE_WINDOW);
        match self.started_at {
            None if has_unowned && self.was_owned => self.started_at = Some(now),
            Some(started_at) if !has_unowned => {
                self.ended.push_back((now, now.since(started_at)));
                self.started_at = None;
            }
            _ => {}
        }
        self.was_owned |= !has_unowned;
    }

    fn longest_duration(&self, now: Timestamp) -> Duration {
        let running = self.started_at.map(|it| now.since(it));
        self.ended.iter().map(|(_, it)| *it).chain(running).max().unwrap_or_default()
    }
}

impl StatusWriter {
    /// Returns whether all versions are due to be sent to the members again, and records that they
    /// are sent.
    pub(super) fn take_versions_due(&mut self, now: Timestamp, every: Duration) -> bool {
        let due = self.versions_sent_at.is_none_or(|it| now.since(it) >= every);
        if due {
            self.versions_sent_at = Some(now);
        }
        due
    }
}

/// Returns the wall-clock time in milliseconds since 1970, for use in the status.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |it| it.as_millis() as u64)
}

impl Control {
    /// Writes the status if this instance is the coordinator and a write is due.
    pub(super) fn write_status(&mut self, now: Timestamp) {
        let Some(group) = &self.group else { return };
        let has_unowned = group.view.owners.iter().any(|it| it.owner.is_none());
        self.status.unowned.record(now, has_unowned);
        if !group.view.is_coordinator {
            // Another coordinator may write the object, so read its version before the next write.
            self.status.object_version = None;
            self.status.schedule = StatusSchedule::default();
            return;
        }
        if self.status.is_in_flight {
            return;
        }
        let status = self.build_status();
        if !self.status.schedule.is_due(now, &status) {
            return;
        }
        self.status.is_in_flight = true;
        match self.status.object_version {
            None => self.parts.calls.read_status(&status.service, status.group),
            Some(version) => {
                self.parts.calls.write_status(version, &status);
                let jitter = self.rng.random();
                self.status.schedule.record_write(now, status, jitter);
            }
        }
    }

    /// Handles a read of the status object's version.
    pub(super) fn on_status_read(&mut self, result: Result<Option<ObjectVersion>, StoreError>) {
        self.status.is_in_flight = false;
        match result {
            Ok(version) => self.status.object_version = Some(version.unwrap_or_default()),
            Err(error) => self.on_status_failure(&error),
        }
    }

    /// Handles the result of a write of the status.
    pub(super) fn on_status_written(&mut self, result: Result<ObjectVersion, StoreError>) {
        self.status.is_in_flight = false;
        match result {
            Ok(version) => self.status.object_version = Some(version),
            Err(error) => self.on_status_failure(&error),
        }
    }

    fn on_status_failure(&mut self, error: &StoreError) {
        log::debug!(target: "status", "Reading or writing the status failed and is retried: {error}.");
        self.status.object_version = None;
        let now = self.now();
        self.status.schedule.record_failure(now);
    }

    fn build_status(&mut self) -> GroupStatus {
        let in_force = self.count_in_force();
        let Some(group) = &self.group else {
            unreachable!("only a member of a group is its coordinator")
        };
        let view = &group.view;
        let capacities = group.capacities();
        let accepted = self.documents.version(self.service());
        GroupStatus {
            service: self.service().clone(),
            group: group.id,
            written_at_unix_ms: unix_ms(),
            accepted: (accepted.0 > 0).then_some(accepted),
            in_force,
            refused: self.acceptor.refused.clone(),
            coordinator: CoordinatorStatus {
                instance: self.parts.own.name.clone(),
                zone: self.parts.own.zone.clone(),
                term: view.term,
                settled: view.settled,
            },
            owners: view
                .members
                .iter()
                .map(|it| owner_status(it, &view.owners, &capacities))
                .collect(),
            upstreams: view.members.iter().map(upstream_status).collect(),
            grants: grant_statuses(view),
            hot_keys: view.owners.iter().filter_map(hot_key_status).collect(),
            measures: self.compute_measures(),
            moves: group.moves.iter().cloned().collect(),
        }
    }

    /// Counts the members on which the accepted version is in force, and keeps the time since when
    /// it is in force on all.
    fn count_in_force(&mut self) -> InForceStatus {
        let accepted = self.documents.version(self.service());
        let members = self.group.as_ref().map_or(&[][..], |it| &it.view.members);
        let instances = members.iter().filter(|it| it.config >= accepted).count() as u32;
        let of = members.len() as u32;
        let since = &mut self.status.in_force_since_unix_ms;
        if instances < of {
            *since = None;
        } else if since.is_none() {
            *since = Some(unix_ms());
        }
        InForceStatus { instances, of, since_unix_ms: *since }
    }

    /// Computes imbalance, churn and unavailability over [`MEASURE_WINDOW`].
    fn compute_measures(&self) -> Measures {
        let Some(group) = &self.group else { return Measures::default() };
        let loads: Vec<u64> = group.view.members.iter().map(|it| it.load_us_per_s).collect();
        let mean = loads.iter().sum::<u64>() as f64 / loads.len().max(1) as f64;
        let busiest = loads.iter().max().copied().unwrap_or_default() as f64;
        let oldest_ms = unix_ms().saturating_sub(MEASURE_WINDOW.as_millis() as u64);
        let moved = group
            .moves
            .iter()
            .filter(|it| it.at_unix_ms >= oldest_ms && it.reason != "first")
            .count();
        let slots = group.view.owners.iter().filter(|it| it.key_hash.is_none()).count();
        Measures {
            imbalance: if mean > 0.0 { busiest / mean } else { 1.0 },
            churn_per_minute: moved as f64 / slots.max(1) as f64,
            unavailable_ms_max: self.status.unowned.longest_duration(self.now()).as_millis() as u64,
        }
    }
}

fn owner_status(
    member: &MemberView,
    owners: &[OwnerView],
    capacities: &[MemberCapacity],
) -> OwnerStatus {
    let slots = owners
        .iter()
        .filter(|it| it.key_hash.is_none() && it.owner.as_ref() == Some(&member.instance));
    OwnerStatus {
        instance: member.instance.name.clone(),
        zone: member.instance.zone.clone(),
        slots: slots.count() as u32,
        load_us_per_s: member.load_us_per_s,
        config: member.config,
        capacity: capacities.iter().find(|it| it.member == member.instance).map(capacity_status),
    }
}

fn capacity_status(it: &MemberCapacity) -> CapacityStatus {
    let percent = |it: f64| (it * 100.0).round() as u32;
    CapacityStatus {
        slots: it.slots.round() as u32,
        speed_percent: percent(it.speed),
        weight_percent: percent(it.weight),
    }
}

fn upstream_status(member: &MemberView) -> UpstreamStatus {
    let state = match member.state {
        UpstreamState::Starting => UpstreamStateName::Starting,
        UpstreamState::Ready => UpstreamStateName::Ready,
        UpstreamState::Draining => UpstreamStateName::Draining,
        UpstreamState::Lost => UpstreamStateName::Lost,
    };
    UpstreamStatus {
        instance: member.instance.name.clone(),
        zone: member.instance.zone.clone(),
        state,
    }
}

fn hot_key_status(owner: &OwnerView) -> Option<HotKeyStatus> {
    let key_hash = owner.key_hash?;
    let name = owner.owner.as_ref().map(|it| it.name.clone());
    Some(HotKeyStatus { key_hash, owner: name })
}

/// Returns the grants of all slots in order, or an empty list if there are more than
/// [`STATUS_GRANTS_MAX`].
fn grant_statuses(view: &NodeView) -> Vec<GrantStatus> {
    let slots = || view.owners.iter().filter(|it| it.key_hash.is_none());
    if slots().count() > STATUS_GRANTS_MAX {
        return Vec::new();
    }
    let index = |owner: &Instance| view.members.iter().position(|it| it.instance == *owner);
    let grant = |it: &OwnerView| GrantStatus {
        owner: it.owner.as_ref().and_then(index).map(|it| it as u16),
        token: it.token.unwrap_or_default(),
    };
    slots().map(grant).collect()
}
