//! Upstreams of unequal speed: the loads and capacities that their gates measure, and their use.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::{CapacityReport, Input, KeyLoad, KindTime, LoadReport, Message, SlotLoad};

use super::{Sim, TICK_INTERVAL};

/// Interval between two load reports of a host, as in the agent.
const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// Number of requests that an upstream runs at a time.
const SLOTS: u16 = 7;
/// Mean time of a request at an upstream of speed 1.
const REQUEST_US: f64 = 60_000.0;
/// Standard deviation of the time of a request, relative to its mean.
const REQUEST_DEVIATION: f64 = 0.5;
/// One in this many hosts is at times slowed down.
const SLOWED_HOSTS: usize = 5;
/// Probability that such a host is slowed down during a report.
const SLOWDOWN_PROBABILITY: f64 = 0.1;
/// Factor on the mean time of requests in such a report: three times slower for 0.4 s.
const SLOWDOWN: f64 = 1.8;
/// Weight of refused requests in a load report, as in the agent.
const REFUSED_WEIGHT: f64 = 0.5;
/// Factor on the time of a request of the measured kind in the changed document.
const CHANGED_KIND_FACTOR: f64 = 4.0;

impl Sim {
    /// Returns whether upstreams have speeds of their own.
    pub(super) fn has_speeds(&self) -> bool {
        !self.config.speeds.is_empty()
    }

    /// Returns whether the host is of an earlier version, which refuses a message with a field that it does not know.
    pub(super) fn is_refused_by_version(&self, host: usize, message: &Message) -> bool {
        let is_new = matches!(message, Message::Renew(it) if it.capacity.is_some());
        is_new && self.earlier_versions.contains(&host)
    }

    /// Passes the load report of a host to its node if one is due.
    pub(super) fn report_measured_load(&mut self, host: usize) {
        let ticks = REPORT_PERIOD.as_millis() / TICK_INTERVAL.as_millis();
        if self.request_rng.random_ratio(1, ticks as u32) {
            let report = self.measured_load(host);
            self.pass_input(host, Input::Load(report));
        }
    }

    /// Returns a load report with the random variation of a few requests per slot.
    fn measured_load(&mut self, host: usize) -> LoadReport {
        let without_speed = self.load_report(host);
        let period_ms = REPORT_PERIOD.as_millis() as u32;
        let periods = f64::from(period_ms) / f64::from(without_speed.period_ms);
        let key_factor = periods / self.config.speeds[host];
        let key =
            |it: &KeyLoad| KeyLoad { load_us: (it.load_us as f64 * key_factor) as u64, ..*it };
        let keys: Vec<KeyLoad> = without_speed.keys.iter().map(key).collect();
        let rng = &mut self.request_rng;
        let is_slow = host.is_multiple_of(SLOWED_HOSTS) && rng.random_bool(SLOWDOWN_PROBABILITY);
        let request_us =
            REQUEST_US / self.config.speeds[host] * if is_slow { SLOWDOWN } else { 1.0 };
        let (mut count, mut total_us, mut slots) = (0.0, 0.0, Vec::new());
        for slot in self.hosts[host].gate.slots.keys() {
            let mean = self.slot_loads[usize::from(slot.0)] as f64 / REQUEST_US;
            let requests = (mean + mean.sqrt() * normal(rng)).max(0.0).round();
            let time = requests * request_us
                + requests.sqrt() * request_us * REQUEST_DEVIATION * normal(rng);
            count += requests;
            total_us += time.max(0.0);
            slots.push(SlotLoad { slot: *slot, load_us: time.max(0.0) as u64, in_flight: 1 });
        }
        // An upstream runs no more than its slots allow; the rest is refused.
        let capacity_us = f64::from(SLOTS) * 1e6;
        let run_share = f64::min(1.0, capacity_us / f64::max(total_us, 1.0));
        let counted_share = run_share + (1.0 - run_share) * REFUSED_WEIGHT;
        slots.iter_mut().for_each(|it| it.load_us = (it.load_us as f64 * counted_share) as u64);
        let has_changed = self.changed_documents.contains(&host);
        let requests_share = if has_changed { run_share / CHANGED_KIND_FACTOR } else { run_share };
        let time = KindTime {
            kind: 3,
            count: (count * requests_share) as u32,
            total_us: (total_us * run_share) as u64,
        };
        let measured = CapacityReport { slots: SLOTS, kinds: vec![time] };
        LoadReport {
            period_ms,
            total_us: (total_us * counted_share) as u64
                + keys.iter().map(|it| it.load_us).sum::<u64>(),
            slots,
            keys,
            capacity: match self.false_capacities.get(&host) {
                Some(it) => Some(it.clone()),
                None => (time.count > 0).then_some(measured),
            },
        }
        .keep_heaviest()
    }
}

#[cfg(test)]
impl Sim {
    /// Returns the use of each host's upstream: the load of its slots over its capacity.
    pub(crate) fn uses(&self) -> Vec<f64> {
        let mut loads = vec![0.0; self.hosts.len()];
        for slot in self.config.slot_count.iter() {
            if let Some(owner) = self.owner(slot) {
                loads[owner] += self.slot_loads[usize::from(slot.0)] as f64 / 1e6;
            }
        }
        let speeds = &self.config.speeds;
        loads.iter().zip(speeds).map(|(load, it)| load / (it * f64::from(SLOTS))).collect()
    }

    /// Sets the loads of the slots to these multiples of each other, with a total of `share` of the capacity of all
    /// upstreams.
    pub(crate) fn set_loads(&mut self, share: f64, load: impl Fn(usize) -> f64) {
        let capacity = self.config.speeds.iter().sum::<f64>() * f64::from(SLOTS) * 1e6;
        let total: f64 = (0..self.slot_loads.len()).map(&load).sum();
        for (at, it) in self.slot_loads.iter_mut().enumerate() {
            *it = (load(at) * share * capacity / total) as u64;
        }
    }

    /// Gives a host a version of the document in which the measured kind is another one, with longer requests.
    pub(crate) fn change_document(&mut self, host: usize) {
        self.changed_documents.insert(host);
        self.pass_input(host, Input::Config(model::ConfigVersion(2)));
    }

    /// Returns the capacity that the coordinator plans with for a host, if it knows one.
    pub(crate) fn capacity(&self, host: usize) -> Option<crate::MemberCapacity> {
        let node = self.hosts[self.coordinator()?].node.as_ref()?;
        node.capacities().into_iter().find(|it| it.member == self.hosts[host].instance)
    }
}

/// Draws from about the standard normal distribution.
fn normal(rng: &mut impl Rng) -> f64 {
    (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0
}
