//! The slots that new requests need, by class: their arrivals per second times their service time.

use std::time::Duration;

use model::Timestamp;

use crate::ClassIndex;

/// The time constant of the smoothing.
const SMOOTHING: Duration = Duration::from_secs(1);
/// The least time since the first measurement that the mean is taken over. Over less, the first arrival alone would
/// look like a full upstream.
const MEASURED_MIN: Duration = Duration::from_millis(200);

#[derive(Debug)]
pub(super) struct Demand {
    classes: Vec<ClassDemand>,
    /// Since when arrivals have been measured.
    since: Timestamp,
}

#[derive(Debug)]
struct ClassDemand {
    weight: f64,
    /// The service time of the arrivals, in seconds, each weighted by its age at `updated_at`.
    service_s: f64,
    updated_at: Timestamp,
}

impl Demand {
    pub(super) fn new(now: Timestamp, weights: impl IntoIterator<Item = f64>) -> Demand {
        let class = |weight| ClassDemand { weight, service_s: 0.0, updated_at: now };
        Demand { classes: weights.into_iter().map(class).collect(), since: now }
    }

    pub(super) fn add(&mut self, now: Timestamp, class: ClassIndex, service_time: Duration) {
        let class = &mut self.classes[class.0];
        class.service_s = class.service_s_at(now) + service_time.as_secs_f64();
        class.updated_at = class.updated_at.max(now);
    }

    /// Returns the slots that a class and the more urgent ones, which have a greater weight, need.
    pub(super) fn slots(&self, now: Timestamp, class: ClassIndex) -> f64 {
        let weight = self.classes[class.0].weight;
        let urgent = self.classes.iter().filter(|it| it.weight >= weight);
        let service_s: f64 = urgent.map(|it| it.service_s_at(now)).sum();
        let measured_s = now.since(self.since).max(MEASURED_MIN).as_secs_f64();
        // The sum of the weights of all times since the start of the measurement.
        let window_s = SMOOTHING.as_secs_f64() * (1.0 - decay(measured_s));
        service_s / window_s
    }
}

impl ClassDemand {
    fn service_s_at(&self, now: Timestamp) -> f64 {
        self.service_s * decay(now.since(self.updated_at).as_secs_f64())
    }
}

fn decay(passed_s: f64) -> f64 {
    (-passed_s / SMOOTHING.as_secs_f64()).exp()
}
