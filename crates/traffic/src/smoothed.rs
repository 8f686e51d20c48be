//! An exponentially weighted mean and deviation, as TCP computes them for round-trip times.

use std::time::Duration;

/// The weight of a new sample in the mean.
const MEAN_GAIN: f64 = 1.0 / 8.0;
/// The weight of a new sample in the deviation.
const DEVIATION_GAIN: f64 = 1.0 / 4.0;

/// The exponentially weighted mean and mean absolute deviation of a duration.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SmoothedDuration {
    mean_s: f64,
    deviation_s: f64,
    samples: u64,
}

impl SmoothedDuration {
    /// Starts from an initial value, which the first sample replaces.
    pub fn new(initial: Duration) -> SmoothedDuration {
        let mean_s = initial.as_secs_f64();
        SmoothedDuration { mean_s, deviation_s: mean_s / 2.0, samples: 0 }
    }

    pub fn add(&mut self, sample: Duration) {
        let sample_s = sample.as_secs_f64();
        if self.samples == 0 {
            self.mean_s = sample_s;
            self.deviation_s = sample_s / 2.0;
        } else {
            let error_s = sample_s - self.mean_s;
            self.mean_s += MEAN_GAIN * error_s;
            self.deviation_s += DEVIATION_GAIN * (error_s.abs() - self.deviation_s);
        }
        self.samples += 1;
    }

    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s)
    }

    pub fn deviation(&self) -> Duration {
        Duration::from_secs_f64(self.deviation_s)
    }

    /// Returns the mean plus `deviations` times the mean deviation: a value that few samples exceed.
    pub fn upper_bound(&self, deviations: f64) -> Duration {
        Duration::from_secs_f64(self.mean_s + deviations * self.deviation_s)
    }

    /// Returns the number of samples.
    pub fn samples(&self) -> u64 {
        self.samples
    }
}
