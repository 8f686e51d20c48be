//! Cost of the control of ownership, by one size of a group at a time.

use std::time::Duration;

use super::{
    Slope,
    fit::Point,
    group::{Group, GroupSize, NodeCost},
};

/// Virtual time until a group has settled, before it is measured.
const SETTLE_TIME: Duration = Duration::from_secs(60);
const MEASURE_WINDOW: Duration = Duration::from_secs(20);

const DEFAULT_SIZE: GroupSize = GroupSize { members: 8, slots: 96, hot_keys: 0 };

/// Groups that differ only in one size.
pub(super) struct Series {
    pub(super) against: &'static str,
    sizes: &'static [usize],
    group: fn(usize) -> GroupSize,
}

pub(super) const SERIES: &[Series] = &[
    Series {
        against: "members",
        sizes: &[4, 8, 12, 16, 24, 32],
        group: |members| GroupSize { members, ..DEFAULT_SIZE },
    },
    Series {
        against: "slots",
        sizes: &[64, 128, 256, 512, 1024],
        group: |slots| GroupSize { slots: slots as u16, ..DEFAULT_SIZE },
    },
    Series {
        against: "hot_keys",
        sizes: &[0, 4, 8, 16, 32],
        group: |hot_keys| GroupSize { hot_keys, ..DEFAULT_SIZE },
    },
];

/// Measured costs of a settled group.
struct IdleGroup {
    coordinator: NodeCost,
    /// Mean cost of all other members.
    member: NodeCost,
    plan_bytes: usize,
    hot_key_entries: usize,
}

type Quantity = (&'static str, fn(&IdleGroup) -> f64);

const QUANTITIES: &[Quantity] = &[
    ("coordinator_cpu_us_per_s", |it| cpu_us_per_s(&it.coordinator)),
    ("coordinator_messages_per_s", |it| messages_per_s(&it.coordinator)),
    ("coordinator_bytes_per_s", |it| bytes_per_s(&it.coordinator)),
    ("coordinator_codec_cpu_us_per_s", |it| codec_cpu_us_per_s(&it.coordinator)),
    ("coordinator_platform_calls_per_s", |it| per_s(it.coordinator.platform_calls)),
    ("member_cpu_us_per_s", |it| cpu_us_per_s(&it.member)),
    ("member_messages_per_s", |it| messages_per_s(&it.member)),
    ("member_bytes_per_s", |it| bytes_per_s(&it.member)),
    ("member_codec_cpu_us_per_s", |it| codec_cpu_us_per_s(&it.member)),
    ("member_platform_calls_per_s", |it| per_s(it.member.platform_calls)),
    ("plan_bytes", |it| it.plan_bytes as f64),
    ("hot_key_entries", |it| it.hot_key_entries as f64),
];

impl Series {
    pub(super) fn measure(&self, seed: u64) -> Vec<Slope> {
        let groups: Vec<(usize, IdleGroup)> = self
            .sizes
            .iter()
            .map(|it| (*it, measure_idle_group((self.group)(*it), seed)))
            .collect();
        QUANTITIES
            .iter()
            .map(|(quantity, value)| {
                let point =
                    |(size, group): &(usize, IdleGroup)| Point { x: *size as f64, y: value(group) };
                Slope::new(self.against, quantity, groups.iter().map(point).collect())
            })
            .collect()
    }
}

fn measure_idle_group(size: GroupSize, seed: u64) -> IdleGroup {
    let mut group = Group::new(size, seed);
    group.run(SETTLE_TIME);
    group.reset_costs();
    group.run(MEASURE_WINDOW);
    let coordinator = group.coordinator().unwrap_or(0);
    let members: Vec<NodeCost> =
        (0..size.members).filter(|it| *it != coordinator).map(|it| group.cost(it)).collect();
    IdleGroup {
        coordinator: group.cost(coordinator),
        member: mean(&members),
        plan_bytes: group.plan_bytes(),
        hot_key_entries: group.granted_keys(),
    }
}

fn mean(costs: &[NodeCost]) -> NodeCost {
    let count = costs.len().max(1) as u64;
    let sum = |value: fn(&NodeCost) -> u64| costs.iter().map(value).sum::<u64>() / count;
    NodeCost {
        cpu: costs.iter().map(|it| it.cpu).sum::<Duration>() / count as u32,
        codec_cpu: costs.iter().map(|it| it.codec_cpu).sum::<Duration>() / count as u32,
        sent: sum(|it| it.sent),
        sent_bytes: sum(|it| it.sent_bytes),
        received: sum(|it| it.received),
        received_bytes: sum(|it| it.received_bytes),
        platform_calls: sum(|it| it.platform_calls),
    }
}

fn per_s(count: u64) -> f64 {
    count as f64 / MEASURE_WINDOW.as_secs_f64()
}

fn cpu_us_per_s(cost: &NodeCost) -> f64 {
    cost.cpu.as_secs_f64() * 1e6 / MEASURE_WINDOW.as_secs_f64()
}

fn messages_per_s(cost: &NodeCost) -> f64 {
    per_s(cost.sent + cost.received)
}

fn bytes_per_s(cost: &NodeCost) -> f64 {
    per_s(cost.sent_bytes + cost.received_bytes)
}

fn codec_cpu_us_per_s(cost: &NodeCost) -> f64 {
    cost.codec_cpu.as_secs_f64() * 1e6 / MEASURE_WINDOW.as_secs_f64()
}
