//! Tests of the schedule of faults and of the evaluation of a changed document.

use std::{net::SocketAddr, time::Duration};

use super::{
    config_probe::{ConfigChange, Sample, evaluate_change},
    evidence::{Evidence, IngressOutage, Window},
    faults::{Candidate, Fault, plan},
    verdict::ConfigProbe,
};

#[test]
fn each_schedule_has_all_faults_and_affects_no_instance_twice() {
    let candidates: Vec<Candidate<'_>> = (0..21)
        .map(|it| match it {
            0..9 => Candidate { service: "standings", keyed: true },
            _ => Candidate { service: "lapboard", keyed: false },
        })
        .collect();
    for seed in 0..50 {
        let faults = plan(&candidates, Duration::from_secs(4), seed);
        assert_eq!(faults, plan(&candidates, Duration::from_secs(4), seed));
        assert!(faults.windows(2).all(|it| it[0].after < it[1].after));
        let mut affected = Vec::new();
        let mut others = Vec::new();
        for planned in &faults {
            match &planned.fault {
                Fault::Kill(index) | Fault::Freeze(index, _) => {
                    assert!(candidates[*index].keyed);
                    affected.push(*index);
                }
                Fault::Leave(index) => affected.push(*index),
                Fault::PlatformOutage(_) => others.push("outage"),
                Fault::ChangeDocument(_) => others.push("change"),
            }
        }
        affected.sort_unstable();
        affected.dedup();
        others.sort_unstable();
        assert_eq!((affected.len(), others.as_slice()), (3, &["change", "outage"][..]));
    }
}

const MS: u64 = 1_000_000;

fn agent(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

/// Evaluates samples given as (agent, time in ms, whether the changed document applied).
fn assert_evaluation(
    samples: &[(u16, u64, bool)],
    faulty_agent: Option<u16>,
    expected: ConfigProbe,
) {
    let samples = samples.iter().map(|(number, at_ms, changed)| Sample {
        agent: agent(*number),
        sent_ns: at_ms * MS,
        ended_ns: at_ms * MS,
        changed: Some(*changed),
    });
    let mut evidence = Evidence::default();
    evidence.ingress_outages.extend(faulty_agent.map(|it| IngressOutage {
        caller_address: agent(it),
        window: Window { from_ns: 0, until_ns: 2_000 * MS },
    }));
    let change = ConfigChange { service: "s".to_owned(), acknowledged_ns: 1_000 * MS };
    let samples: Vec<Sample> = samples.collect();
    assert_eq!(evaluate_change(Some(&change), &samples, &evidence), expected);
}

#[test]
fn a_change_is_in_force_when_the_last_agent_applies_it() {
    let samples = [(1, 900, false), (2, 900, false), (1, 1100, true), (2, 1400, true)];
    assert_evaluation(&samples, None, ConfigProbe { in_force_ms: Some(400), reverted: 0 });
}

#[test]
fn an_agent_that_never_applies_the_change_fails_the_probe_unless_it_was_faulty() {
    let samples = [(1, 1100, true), (2, 1400, false)];
    assert_evaluation(&samples, None, ConfigProbe { in_force_ms: None, reverted: 0 });
    assert_evaluation(&samples, Some(2), ConfigProbe { in_force_ms: Some(100), reverted: 0 });
}

#[test]
fn a_return_to_the_previous_document_is_counted() {
    let samples = [(1, 1100, true), (1, 1200, false), (1, 1300, true)];
    assert_evaluation(&samples, None, ConfigProbe { in_force_ms: Some(100), reverted: 1 });
}
