//! The services, upstreams and kinds of requests of the overload model.

use std::time::Duration;

/// Concurrent requests of each upstream.
pub(super) const SLOTS: usize = 7;
/// Relative speeds, assigned to the upstreams of a service in turn.
pub(super) const SPEEDS: [f64; 3] = [0.7, 1.0, 1.6];
/// Number of requests in flight above which each further one slows an upstream down, and by how much.
pub(super) const SLOWDOWN: (usize, f64) = (5, 0.15);
/// A fifth of the upstreams is slower by this factor, drawn anew in each period.
pub(super) const NOISE: (Duration, f64) = (Duration::from_millis(400), 3.0);
/// Objective up to which requests are express, as in the settings of the platform's deployments.
pub(super) const EXPRESS_OBJECTIVE_MAX: Duration = Duration::from_millis(150);
/// Latency between instances, one way.
pub(super) const HOP: Duration = Duration::from_millis(1);
/// Weights of the classes, the most urgent first, in the ratio that the adapter of the platform uses.
pub(super) const CLASS_WEIGHTS: [f64; 3] = [64.0, 16.0, 4.0];

/// A service of the model.
#[derive(Debug, Clone, Copy)]
pub(super) struct Service {
    pub(super) upstreams: usize,
    /// Whether each request has only one upstream that may run it.
    pub(super) is_keyed: bool,
}

pub(super) const SERVICES: [Service; 3] = [
    Service { upstreams: 20, is_keyed: false },
    Service { upstreams: 16, is_keyed: false },
    Service { upstreams: 24, is_keyed: true },
];

/// Calls that a run makes one after the other.
#[derive(Debug, Clone, Copy)]
pub(super) struct Calls {
    /// Index into [`KINDS`].
    pub(super) kind: usize,
    pub(super) count: usize,
    /// Share of the runs that make them.
    pub(super) share: f64,
}

/// A kind of request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Kind {
    pub(super) name: &'static str,
    /// Index into [`SERVICES`].
    pub(super) service: usize,
    pub(super) rank: usize,
    pub(super) service_ms: u64,
    pub(super) objective_ms: u64,
    pub(super) deadline_ms: u64,
    /// Requests of callers per second at a load of 1; 0 for kinds that only runs call.
    pub(super) per_s: f64,
    pub(super) calls: Option<Calls>,
}

const fn kind(
    (name, service, rank): (&'static str, usize, usize),
    (service_ms, objective_ms, deadline_ms): (u64, u64, u64),
    per_s: f64,
    calls: Option<Calls>,
) -> Kind {
    Kind { name, service, rank, service_ms, objective_ms, deadline_ms, per_s, calls }
}

const LIMIT_CHECK: usize = 4;
const DEBTOR_CHECK: usize = 5;

/// The kinds of requests. Runs of the second and third service call each other.
pub(super) const KINDS: [Kind; 6] = [
    kind(
        ("balance", 0, 1),
        (60, 200, 600),
        1144.0,
        Some(Calls { kind: LIMIT_CHECK, count: 1, share: 0.7 }),
    ),
    kind(
        ("advance", 1, 1),
        (78, 250, 600),
        449.0,
        Some(Calls { kind: DEBTOR_CHECK, count: 2, share: 0.7 }),
    ),
    kind(("statement", 2, 2), (150, 800, 1000), 561.0, None),
    kind(
        ("remittance", 2, 0),
        (48, 150, 500),
        146.0,
        Some(Calls { kind: LIMIT_CHECK, count: 1, share: 0.5 }),
    ),
    kind(("limit-check", 1, 1), (15, 60, 200), 0.0, None),
    kind(("debtor-check", 2, 1), (15, 60, 200), 0.0, None),
];

/// Returns the share of the offered work that the slots of each service can do at a multiple of the usual load, without
/// the time for which runs wait for their calls.
pub(super) fn served_shares(factor: f64) -> Vec<f64> {
    let mean_speed = SPEEDS.iter().sum::<f64>() / SPEEDS.len() as f64;
    let mut work_s = [0.0; SERVICES.len()];
    for kind in &KINDS {
        work_s[kind.service] += kind.per_s * kind.service_ms as f64 / 1000.0;
        if let Some(calls) = kind.calls {
            let called = &KINDS[calls.kind];
            let per_s = kind.per_s * calls.share * calls.count as f64;
            work_s[called.service] += per_s * called.service_ms as f64 / 1000.0;
        }
    }
    let share = |(service, work_s): (&Service, &f64)| {
        let capacity = (service.upstreams * SLOTS) as f64 * mean_speed;
        (capacity / (work_s * factor)).min(1.0)
    };
    SERVICES.iter().zip(&work_s).map(share).collect()
}
