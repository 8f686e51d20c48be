//! Journals that contain given violations: the verdict has to report each of them and nothing else.

use model::RequestId;
use standins::journal::{
    Attempt, AttemptResult, CallRecord, FinalOutcome, RefusedReason, RunEnd, RunEntry,
};

use super::{ConfigProbe, Verdict};
use crate::demo::evidence::{Evidence, IngressOutage, PlannedStop, UpstreamJournal, Window};

const GOOD_CONFIG: ConfigProbe = ConfigProbe { in_force_ms: Some(300), reverted: 0 };
const MS: u64 = 1_000_000;

/// Builder of journals; times are in milliseconds.
#[derive(Default)]
struct EvidenceBuilder {
    evidence: Evidence,
}

impl EvidenceBuilder {
    fn new() -> EvidenceBuilder {
        let full_window = Window { from_ns: 0, until_ns: 10_000 * MS };
        let mut builder = EvidenceBuilder::default();
        builder.evidence.fault_free = full_window;
        builder.evidence.churn_window = full_window;
        builder.evidence.probed_keys.insert("k".to_owned());
        for instance in ["a", "b"] {
            builder.evidence.upstreams.push(UpstreamJournal {
                instance: instance.to_owned(),
                service: "s".to_owned(),
                keyed: true,
                entries: Vec::new(),
                exited_ns: 20_000 * MS,
                frozen: Vec::new(),
            });
        }
        builder
    }

    /// Includes the unavailability of keys in the verdict.
    fn check_availability(mut self) -> EvidenceBuilder {
        self.evidence.observed = self.evidence.fault_free;
        self
    }

    fn entries(&mut self, instance: &str) -> &mut Vec<RunEntry> {
        let mut upstreams = self.evidence.upstreams.iter_mut();
        &mut upstreams.find(|it| it.instance == instance).unwrap().entries
    }

    fn run(
        mut self,
        instance: &str,
        id: u128,
        token: &str,
        times: std::ops::Range<u64>,
        end: Option<RunEnd>,
    ) -> EvidenceBuilder {
        let entries = self.entries(instance);
        let run = entries.len() as u64;
        entries.push(RunEntry::Started {
            at_ns: times.start * MS,
            run,
            id: RequestId(id),
            key: "k".to_owned(),
            class: "c".to_owned(),
            token: Some(token.to_owned()),
        });
        if let Some(end) = end {
            entries.push(RunEntry::Ended { at_ns: times.end * MS, run, end });
        }
        self
    }

    fn ran(
        self,
        instance: &str,
        id: u128,
        token: &str,
        times: std::ops::Range<u64>,
    ) -> EvidenceBuilder {
        self.run(instance, id, token, times, Some(RunEnd::Ran))
    }

    /// Adds a request that is not idempotent.
    fn call(
        mut self,
        id: u128,
        outcome: FinalOutcome,
        attempts: &[(std::ops::Range<u64>, AttemptResult)],
    ) -> EvidenceBuilder {
        let attempts = attempts.iter().map(|(times, result)| Attempt {
            target: "127.0.0.1:1".parse().unwrap(),
            sent_ns: times.start * MS,
            ended_ns: times.end * MS,
            result: result.clone(),
        });
        self.evidence.calls.push(CallRecord {
            id: RequestId(id),
            service: "s".to_owned(),
            key: "k".to_owned(),
            class: "c".to_owned(),
            idempotent: false,
            outcome,
            attempts: attempts.collect(),
        });
        self
    }

    fn answered(self, id: u128, times: std::ops::Range<u64>) -> EvidenceBuilder {
        self.call(id, FinalOutcome::Answered, &[(times, AttemptResult::Answered)])
    }

    fn states(mut self, at: u64, limit_per_s: Option<f64>, is_leaving: bool) -> EvidenceBuilder {
        let states = RunEntry::States { at_ns: at * MS, limit_per_s, is_leaving };
        self.entries("a").push(states);
        self
    }

    /// Adds a request that ran on upstream `a`.
    fn served(self, id: u128, at: u64) -> EvidenceBuilder {
        self.ran("a", id, "1.1", at..at + 5).answered(id, at..at + 10)
    }

    fn stop(mut self, instance: &str, times: std::ops::Range<u64>) -> EvidenceBuilder {
        self.evidence.stops.push(PlannedStop {
            instance: instance.to_owned(),
            caller_address: "127.0.0.1:1".parse().unwrap(),
            window: Window { from_ns: times.start * MS, until_ns: times.end * MS },
        });
        self
    }

    fn outage(mut self, times: std::ops::Range<u64>) -> EvidenceBuilder {
        self.evidence.ingress_outages.push(IngressOutage {
            caller_address: "127.0.0.1:1".parse().unwrap(),
            window: Window { from_ns: times.start * MS, until_ns: times.end * MS },
        });
        self
    }

    /// Asserts the violated invariants, each listed once per finding.
    fn check(self, expected: &[&str]) -> Verdict {
        let verdict = Verdict::new(&self.evidence, Some(GOOD_CONFIG));
        let found: Vec<&str> = verdict.findings.iter().map(|it| it.invariant).collect();
        assert_eq!(found, expected, "{:#?}", verdict.findings);
        verdict
    }
}

fn not_run(reason: &str) -> AttemptResult {
    AttemptResult::NotRun { reason: reason.to_owned() }
}

#[test]
fn a_run_without_violations_holds() {
    let builder = EvidenceBuilder::new().ran("a", 1, "1.1", 10..20).ran("b", 2, "1.2", 20..30);
    let verdict = builder.check_availability().answered(1, 5..25).answered(2, 15..35).check(&[]);
    assert_eq!((verdict.requests, verdict.answered, verdict.unavailable_ms_max), (2, 2, 0));
    assert_eq!((verdict.imbalance, verdict.churn), (1.0, 1.0));
}

#[test]
fn overlapping_runs_on_two_upstreams_are_reported() {
    EvidenceBuilder::new()
        .ran("a", 1, "1.1", 10..20)
        .ran("b", 2, "1.2", 19..30)
        .check(&["double_owned"]);
    // The overlapping run started before a shorter one on the same upstream.
    let builder = EvidenceBuilder::new().ran("a", 1, "1.1", 0..100).ran("a", 2, "1.1", 10..20);
    builder.ran("b", 3, "1.2", 50..60).check(&["double_owned"]);
    // A run without an end lasts until its process exits.
    let builder = EvidenceBuilder::new().run("a", 1, "1.1", 10..10, None);
    builder.ran("b", 2, "1.2", 30..40).check(&["double_owned"]);
    // Concurrent runs on one upstream are allowed.
    EvidenceBuilder::new().ran("a", 1, "1.1", 10..30).ran("a", 2, "1.1", 11..20).check(&[]);
}

#[test]
fn a_run_whose_deadline_passes_during_a_freeze_ends_when_the_freeze_starts() {
    let check = |end, until_ms, expected: &[&str]| {
        let mut builder = EvidenceBuilder::new().run("a", 1, "1.1", 10..until_ms, Some(end));
        let frozen = Window { from_ns: 20 * MS, until_ns: 500 * MS };
        builder.evidence.upstreams[0].frozen.push(frozen);
        builder.ran("b", 2, "1.2", 300..310).check(expected);
    };
    // The deadline passed during the freeze, and the run stopped as soon as the process resumed.
    check(RunEnd::DeadlineExceeded, 400, &[]);
    // The run continued after the process resumed.
    check(RunEnd::DeadlineExceeded, 600, &["double_owned"]);
    check(RunEnd::Ran, 501, &["double_owned"]);
}

#[test]
fn a_decreasing_token_is_reported() {
    EvidenceBuilder::new()
        .ran("a", 1, "1.2", 10..20)
        .ran("b", 2, "1.1", 30..40)
        .check(&["double_owned"]);
    EvidenceBuilder::new().ran("a", 1, "1.2", 10..20).ran("b", 2, "2.1", 30..40).check(&[]);
}

#[test]
fn a_non_idempotent_request_that_ran_twice_is_reported() {
    let builder = EvidenceBuilder::new().ran("a", 1, "1.1", 10..20).ran("b", 1, "1.2", 30..40);
    builder.answered(1, 5..45).check(&["ran_twice"]);
    let builder = EvidenceBuilder::new().run("a", 1, "1.1", 10..20, Some(RunEnd::Cancelled));
    builder.ran("a", 1, "1.1", 30..40).answered(1, 5..45).check(&["ran_twice"]);
}

#[test]
fn a_false_not_run_is_reported() {
    let refused = [(5..15, not_run("no-owner"))];
    let builder = EvidenceBuilder::new().ran("a", 1, "1.1", 10..20);
    builder.call(1, FinalOutcome::NotRun, &refused).check(&["not_run_but_ran"]);
    // The request ran after the refusal, without a second attempt.
    let builder = EvidenceBuilder::new().ran("a", 1, "1.1", 20..30);
    builder.call(1, FinalOutcome::NotRun, &refused).check(&["not_run_but_ran"]);
    // The request ran in the second attempt.
    let again = [(5..15, not_run("no-owner")), (40..60, AttemptResult::Answered)];
    let builder = EvidenceBuilder::new().ran("a", 1, "1.1", 45..50);
    builder.call(1, FinalOutcome::Answered, &again).check(&[]);
}

#[test]
fn a_lost_request_is_reported() {
    let cut = [(5..15, AttemptResult::ConnectionLost)];
    EvidenceBuilder::new().call(1, FinalOutcome::Lost, &cut).check(&["lost"]);
    // The request was answered but has no run that ended.
    EvidenceBuilder::new().answered(1, 5..15).check(&["lost"]);
}

#[test]
fn crossed_and_incomplete_responses_are_reported() {
    let check = |result, expected| {
        let builder = EvidenceBuilder::new().ran("a", 1, "1.1", 6..9);
        builder.call(1, FinalOutcome::Answered, &[(5..15, result)]).check(&[expected]);
    };
    check(AttemptResult::Crossed, "crossed_answers");
    check(AttemptResult::Broken, "broken_answers");
}

#[test]
fn requests_aborted_by_a_planned_stop_are_reported() {
    let builder = EvidenceBuilder::new().run("a", 1, "1.1", 10..20, Some(RunEnd::Cancelled));
    builder.stop("a", 15..30).check(&["cut_off"]);
    EvidenceBuilder::new().run("a", 1, "1.1", 10..10, None).stop("a", 15..30).check(&["cut_off"]);
    let lost = [(20..25, AttemptResult::ConnectionLost), (26..50, AttemptResult::Answered)];
    let builder = EvidenceBuilder::new().ran("b", 1, "1.1", 30..40).stop("a", 15..30);
    builder.call(1, FinalOutcome::Answered, &lost).check(&["cut_off"]);
    // The run ended before the stop.
    let builder = EvidenceBuilder::new().run("a", 1, "1.1", 10..12, Some(RunEnd::Cancelled));
    builder.stop("a", 15..30).check(&[]);
}

#[test]
fn late_requests_to_a_draining_upstream_are_reported() {
    let mut builder = EvidenceBuilder::new();
    builder.entries("a").push(RunEntry::Refused {
        at_ns: 20 * MS,
        id: RequestId(1),
        key: "k".to_owned(),
        reason: RefusedReason::Draining,
    });
    builder.check(&["late_work"]);
}

#[test]
fn the_longest_gap_of_a_key_is_reported() {
    let failed = |from: u64, until: u64| {
        let ends = [(from..until, not_run("no-owner"))];
        EvidenceBuilder::new()
            .check_availability()
            .ran("a", 1, "1.1", 6..9)
            .answered(1, 5..10)
            .call(2, FinalOutcome::NotRun, &ends)
    };
    let with_later_answer =
        |builder: EvidenceBuilder| builder.ran("a", 3, "1.1", 2990..2995).answered(3, 2900..3000);
    let verdict = with_later_answer(failed(500, 510)).check(&["unavailable_ms_max"]);
    assert_eq!(verdict.unavailable_ms_max, 2500);
    // The key is never served again.
    let verdict = failed(500, 510).check(&["unavailable_ms_max"]);
    assert_eq!(verdict.unavailable_ms_max, 9500);
    // The called agent was killed or suspended itself.
    let verdict = with_later_answer(failed(500, 510)).outage(400..600).check(&[]);
    assert_eq!(verdict.unavailable_ms_max, 0);
}

#[test]
fn the_gap_of_a_hanging_attempt_starts_with_the_attempt() {
    let hung = [(100..1100, AttemptResult::TimedOut)];
    let builder = EvidenceBuilder::new().check_availability().call(2, FinalOutcome::Unknown, &hung);
    let builder = builder.ran("a", 1, "1.1", 80..85).answered(1, 75..90);
    let builder = builder.ran("b", 3, "1.2", 890..895).answered(3, 850..900);
    let builder = builder.ran("b", 4, "1.2", 990..995).answered(4, 950..1000);
    let builder = builder.ran("b", 5, "1.2", 1190..1195).answered(5, 1150..1200);
    assert_eq!(builder.check(&[]).unavailable_ms_max, 800);
}

#[test]
fn an_unsharded_service_is_available_if_any_upstream_answers() {
    let failed = [(500..510, not_run("draining"))];
    let mut builder =
        EvidenceBuilder::new().check_availability().call(2, FinalOutcome::NotRun, &failed);
    builder.evidence.upstreams.iter_mut().for_each(|it| it.keyed = false);
    let mut builder = builder.ran("a", 1, "1.1", 520..525).answered(1, 515..530);
    builder.evidence.calls[1].key = "another".to_owned();
    assert_eq!(builder.check(&[]).unavailable_ms_max, 30);
}

#[test]
fn a_slow_or_reverted_change_is_reported() {
    let check = |config, expected: &[&str]| {
        let verdict = Verdict::new(&EvidenceBuilder::new().evidence, Some(config));
        let found: Vec<&str> = verdict.findings.iter().map(|it| it.invariant).collect();
        assert_eq!(found, expected);
    };
    check(ConfigProbe { in_force_ms: Some(5001), reverted: 0 }, &["config_in_force_ms"]);
    check(ConfigProbe { in_force_ms: None, reverted: 0 }, &["config_in_force_ms"]);
    check(ConfigProbe { in_force_ms: Some(10), reverted: 2 }, &["config_reverted"]);
}

/// Returns evidence of an upstream that states a limit of 2 requests per second for 10 s, and gets a request each
/// `spacing_ms`.
fn limited_upstream(spacing_ms: u64) -> EvidenceBuilder {
    let builder = EvidenceBuilder::new().states(0, Some(2.0), false);
    let times = (0..10_000).step_by(usize::try_from(spacing_ms).unwrap());
    let builder =
        times.enumerate().fold(builder, |builder, (id, at)| builder.served(id as u128, at as u64));
    builder.states(10_000, None, false)
}

#[test]
fn upstream_that_gets_more_than_its_limit_allows_is_reported() {
    // 17 requests are allowed in 4 s.
    limited_upstream(240).check(&[]);
    limited_upstream(220).check(&["limit_exceeded"]);
    // All requests came from an agent that was just restarted.
    limited_upstream(220).outage(0..10_000).check(&[]);
}

#[test]
fn requests_before_a_limit_binds_or_after_it_has_ended_are_not_counted() {
    let burst = |at: u64| {
        let builder = EvidenceBuilder::new().states(0, Some(2.0), false);
        let builder = (0..30).fold(builder, |it, id| it.served(id, at + id as u64));
        builder.states(5_000, None, false)
    };
    burst(2_000).check(&[]);
    burst(5_500).check(&[]);
    burst(3_500).check(&["limit_exceeded"]);
}

#[test]
fn request_through_an_agent_that_knew_that_the_upstream_is_leaving_is_reported() {
    let leaving = || EvidenceBuilder::new().states(0, None, true).served(1, 100);
    leaving().served(2, 2_000).check(&[]);
    leaving().served(2, 2_200).check(&["work_after_leaving"]);
    leaving().served(2, 2_200).outage(500..600).check(&[]);
}
