//! Service times relative to the reference of their kind, so that requests of unlike kinds can be compared.

use std::time::Duration;

use crate::RouteIndex;

/// The fewest measurements of a period that are compared.
const MEASUREMENTS_MIN: u32 = 20;
/// The relative standard error at which a mean is precise enough.
const STANDARD_ERROR_MAX: f64 = 0.05;
/// The number of measurements after which a mean is used even if it is less precise, and over which the mean of a longer
/// period is smoothed. An exponentially distributed service time has a standard error of 0.11 then.
const MEASUREMENTS_MAX: u32 = 80;
/// The ratios that are counted. Longer times come from a suspended process rather than from the load; the lower bound
/// keeps rates finite.
const RATIOS: std::ops::RangeInclusive<f64> = 0.001..=20.0;
/// The least standard error of a trial, so that one with equal service times has a finite weight.
const ERROR_MIN: f64 = 0.01;
/// The largest logarithm of a relative rate that a trial counts with, so that a short slowdown from another cause within
/// one trial does not outweigh the others.
const LOG_RATE_MAX: f64 = 0.35;
/// The weight that earlier evidence keeps when the next trial is not immediate.
const AGED_WEIGHT: f64 = 0.5;
/// The difference of the service times before and after a trial, beyond their errors, from which the trial is discarded:
/// something else than the trial changed the upstream's speed.
const DRIFT_MAX: f64 = 0.15;
/// The number of kinds with their own reference. Requests of further kinds are not measured.
const KINDS_MAX: usize = 64;
/// The number of measurements from which a reference is used.
const REFERENCE_MEASUREMENTS_MIN: u32 = 8;
/// The number of measurements over which a reference is smoothed.
const REFERENCE_MEASUREMENTS_MAX: u32 = 32;
/// The shortest reference, so that ratios stay finite.
const REFERENCE_MIN_S: f64 = 1e-6;

/// A smoothed mean and variance of ratios.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct MeanRatio {
    count: u32,
    mean: f64,
    variance: f64,
}

impl MeanRatio {
    pub(super) fn add(&mut self, ratio: f64) {
        self.add_smoothed(ratio, MEASUREMENTS_MAX);
    }

    fn add_smoothed(&mut self, value: f64, count_max: u32) {
        self.count = self.count.saturating_add(1);
        let weight = 1.0 / f64::from(self.count.min(count_max));
        let error = value - self.mean;
        self.mean += weight * error;
        self.variance = (1.0 - weight) * (self.variance + weight * error * error);
    }

    /// Returns whether two means that are to be equal differ by more than their errors explain.
    pub(super) fn has_drifted(self, other: MeanRatio) -> bool {
        let errors = self.standard_error() + other.standard_error();
        (self.mean / other.mean).ln().abs() > DRIFT_MAX + errors
    }

    /// Returns the average of two means. Their errors are taken as independent.
    pub(super) fn average(self, other: MeanRatio) -> MeanRatio {
        MeanRatio {
            count: self.count.saturating_add(other.count),
            mean: (self.mean + other.mean) / 2.0,
            variance: (self.variance + other.variance) / 2.0,
        }
    }

    /// Returns the standard error of the mean, relative to the mean.
    pub(super) fn standard_error(&self) -> f64 {
        let count = f64::from(self.count.clamp(1, 2 * MEASUREMENTS_MAX));
        (self.variance / count).sqrt() / self.mean
    }

    /// Returns whether there are enough measurements to compare this mean with another one.
    pub(super) fn is_conclusive(&self) -> bool {
        let is_precise = self.standard_error() <= STANDARD_ERROR_MAX;
        self.count >= MEASUREMENTS_MAX || self.count >= MEASUREMENTS_MIN && is_precise
    }
}

/// The completion rate of one number in flight relative to that of a lower one, pooled over trials.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Evidence {
    trials: u32,
    /// The logarithms of the relative rates, each weighted by its precision.
    weighted_sum: f64,
    /// The precision: the sum of the inverse variances.
    precision: f64,
}

impl Evidence {
    /// Adds a trial that measured two numbers in flight, the lower one first.
    pub(super) fn add(&mut self, slots: [usize; 2], measured: [MeanRatio; 2]) {
        // With n in flight, each taking `ratio` times its reference, the completion rate is proportional to n / ratio.
        let rate = |slots: usize, it: MeanRatio| slots as f64 / it.mean;
        let [lower, higher] = measured;
        let relative_rate = rate(slots[1], higher) / rate(slots[0], lower);
        let error = lower.standard_error().hypot(higher.standard_error()).max(ERROR_MIN);
        let precision = error.powi(-2);
        self.trials += 1;
        self.weighted_sum += precision * relative_rate.ln().clamp(-LOG_RATE_MAX, LOG_RATE_MAX);
        self.precision += precision;
    }

    /// Returns the evidence with less weight, for later trials.
    pub(super) fn aged(self) -> Evidence {
        Evidence {
            weighted_sum: self.weighted_sum * AGED_WEIGHT,
            precision: self.precision * AGED_WEIGHT,
            ..self
        }
    }

    pub(super) fn trials(&self) -> u32 {
        self.trials
    }

    pub(super) fn relative_rate(&self) -> f64 {
        (self.weighted_sum / self.precision).exp()
    }

    /// Returns the standard error of the relative rate, relative to it.
    pub(super) fn standard_error(&self) -> f64 {
        self.precision.sqrt().recip()
    }
}

/// A service time relative to the reference of its kind.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Measured {
    pub(super) ratio: f64,
    /// Whether the reference was replaced, so that the ratio can't be compared with earlier ones.
    pub(super) is_rescaled: bool,
}

/// The reference service times by kind.
#[derive(Debug, Clone, Default)]
pub(super) struct References {
    kinds: Vec<KindReference>,
    /// The smoothed ratio of the latest requests of all kinds.
    recent: MeanRatio,
}

#[derive(Debug, Clone)]
struct KindReference {
    route: Option<RouteIndex>,
    /// The service time in seconds at low concurrency.
    low: MeanRatio,
    /// The service time in seconds at any concurrency, divided by the ratio of the other kinds at that time. A kind that
    /// is first seen while the upstream is full has no other reference.
    provisional: MeanRatio,
}

impl KindReference {
    fn new(route: Option<RouteIndex>) -> KindReference {
        KindReference { route, low: MeanRatio::default(), provisional: MeanRatio::default() }
    }

    fn seconds(&self) -> Option<f64> {
        let references = [&self.low, &self.provisional];
        let usable = references.into_iter().find(|it| it.count >= REFERENCE_MEASUREMENTS_MIN)?;
        Some(usable.mean.max(REFERENCE_MIN_S))
    }
}

impl References {
    /// Returns a service time relative to the reference of its kind, and updates the reference if it `is_low`, that is,
    /// measured at low concurrency. `None` if the kind has no reference yet.
    pub(super) fn measure(
        &mut self,
        route: Option<RouteIndex>,
        elapsed: Duration,
        is_low: bool,
    ) -> Option<Measured> {
        let elapsed_s = elapsed.as_secs_f64();
        let recent = if self.recent.count > 0 { self.recent.mean } else { 1.0 };
        let kind = self.kind_mut(route)?;
        let had_reference = kind.seconds().is_some();
        if is_low {
            kind.low.add_smoothed(elapsed_s, REFERENCE_MEASUREMENTS_MAX);
        }
        let is_rescaled = is_low && had_reference && kind.low.count == REFERENCE_MEASUREMENTS_MIN;
        if kind.provisional.count < REFERENCE_MEASUREMENTS_MIN {
            kind.provisional.add_smoothed(elapsed_s / recent, REFERENCE_MEASUREMENTS_MIN);
        }
        let ratio = (elapsed_s / kind.seconds()?).clamp(*RATIOS.start(), *RATIOS.end());
        self.recent.add_smoothed(ratio, REFERENCE_MEASUREMENTS_MAX);
        Some(Measured { ratio, is_rescaled })
    }

    fn kind_mut(&mut self, route: Option<RouteIndex>) -> Option<&mut KindReference> {
        if let Some(index) = self.kinds.iter().position(|it| it.route == route) {
            return self.kinds.get_mut(index);
        }
        if self.kinds.len() == KINDS_MAX {
            return None;
        }
        self.kinds.push(KindReference::new(route));
        self.kinds.last_mut()
    }
}
