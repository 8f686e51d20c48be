//! The counts of calls to the platform as a metric.

use std::sync::Arc;

use object_store::{CallCounts, CallKind};
use prometheus::{
    IntCounterVec, Opts,
    core::{Collector, Desc},
    proto::MetricFamily,
};

/// A collector that reads the counts at each scrape.
pub(super) struct PlatformCalls {
    counts: Arc<CallCounts>,
    descriptions: IntCounterVec,
}

impl PlatformCalls {
    pub(super) fn new(counts: Arc<CallCounts>) -> Result<PlatformCalls, prometheus::Error> {
        Ok(PlatformCalls { counts, descriptions: counters()? })
    }
}

fn counters() -> Result<IntCounterVec, prometheus::Error> {
    let help = "Calls to the platform; a waiting watch is one.";
    IntCounterVec::new(Opts::new("pomelohill_platform_calls_total", help), &["kind"])
}

impl Collector for PlatformCalls {
    fn desc(&self) -> Vec<&Desc> {
        self.descriptions.desc()
    }

    fn collect(&self) -> Vec<MetricFamily> {
        let Ok(counters) = counters() else { return Vec::new() };
        for kind in CallKind::ALL {
            counters.with_label_values(&[kind.as_str()]).inc_by(self.counts.of(kind));
        }
        counters.collect()
    }
}
