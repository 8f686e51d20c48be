//! `explain-request`: finds the cause of a request's outcome in log files.

use std::{fs, path::PathBuf};

use crate::{assert_has, run};

/// Writes a log file for each instance and returns the paths.
fn logs(test: &str, logs: &[(&str, &str)]) -> Vec<String> {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
    fs::create_dir_all(&folder).unwrap();
    let write = |(instance, text): &(&str, &str)| {
        let path = folder.join(format!("{instance}.log"));
        fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    };
    logs.iter().map(write).collect()
}

#[track_caller]
fn check(id: &str, files: &[String], code: i32, expected: &[&str]) -> String {
    let mut arguments = vec!["explain-request", id];
    arguments.extend(files.iter().map(String::as_str));
    let run = run(None, env!("CARGO_TARGET_TMPDIR").as_ref(), &arguments);
    let text = if code == 0 { &run.out } else { &run.err };
    assert_has(text, expected);
    assert_eq!(run.code, code, "{}{}", run.out, run.err);
    run.out
}

/// Lines are ordered by time: the log of the ingress is given first, but its line is later than the gate's.
#[test]
fn the_cause_of_an_overload_refusal_is_the_gate_queue() {
    let files = logs(
        "explain-refused",
        &[
            (
                "sidecar-a-1",
                r#"{"time":"2026-09-05T16:09:44.036086Z","level":"INFO","target":"requests","message":"Ended.","id":"a28de7bb21e91d88","service":"svc","outcome":"not-run; reason=overloaded","sent_to":"sidecar-b-3#bc75a949","tries":1,"weighed":3,"expected_ms":240,"load_age_ms":"12","next_best":"sidecar-a-2#01 in 260 ms","spent_ms":270,"is_late":false,"come_back_ms":372}
"#,
            ),
            (
                "sidecar-b-3",
                r#"{"time":"2026-09-05T16:09:44.034793Z","level":"INFO","target":"requests","message":"The gate replied.","id":"a28de7bb21e91d88","outcome":"not-run; reason=overloaded","spent_ms":267,"running":12,"queued":42}
{"time":"2026-09-05T16:09:43.500000Z","level":"INFO","target":"ownership","message":"Granted slots 1-9 to sidecar-b-3#bc75a949, token 1.7, reason: rebalance."}
{"time":"2026-09-05T16:09:31.000000Z","level":"INFO","target":"ownership","message":"Wrote version 2 of the plan to the platform."}
"#,
            ),
            (
                "sidecar-c-1",
                r#"{"time":"2026-09-05T16:09:44.000000Z","level":"INFO","target":"control","message":"Elsewhere."}
"#,
            ),
        ],
    );
    let out = check(
        "A28DE7BB21E91D88",
        &files,
        0,
        &[
            "16:09:44.034  sidecar-b-3",
            "weighed=3 expected_ms=240 load_age_ms=12 next_best=sidecar-a-2#01 in 260 ms",
            "Cause: not run: sidecar-b-3#bc75a949 was overloaded and could not run it in time; 12 requests ran and 42 were queued there. \
             The caller was asked to retry after 372 ms.",
            "Granted slots 1-9 to sidecar-b-3",
        ],
    );
    assert!(out.find("The gate replied.") < out.find("Ended."), "{out}");
    assert!(!out.contains("version 2 of the plan") && !out.contains("Elsewhere"), "{out}");
}

const LOST: &str = r#"{"time":"2026-09-05T16:10:00.182146Z","level":"INFO","target":"requests","message":"Ended.","id":"abe8d8bf3f9b5ff8","outcome":"unknown; reason=connection-lost","sent_to":"sidecar-b-4#09","tries":1,"spent_ms":469,"is_late":false}
"#;

#[test]
fn a_lost_connection_without_a_gate_line_is_a_lost_link_or_process() {
    let files = logs("explain-lost-link", &[("sidecar-a-1", LOST)]);
    let cause =
        "Cause: unknown whether it ran: the link to sidecar-b-4#09 broke, or its process ended";
    check("abe8d8bf3f9b5ff8", &files, 0, &[cause]);
}

#[test]
fn a_lost_connection_with_a_gate_line_is_a_lost_upstream() {
    let gate = LOST.replace("Ended.", "The gate replied.").replace("182146", "181416");
    let files = logs("explain-lost-upstream", &[("sidecar-a-1", LOST), ("sidecar-b-4", &gate)]);
    let cause = "the connection between the gate of sidecar-b-4#09 and its upstream broke";
    check("abe8d8bf3f9b5ff8", &files, 0, &[cause]);
}

#[test]
fn the_cause_of_a_late_answer_is_the_gate_queue() {
    let ended = r#"{"time":"2026-09-05T16:11:40.314737Z","level":"INFO","target":"requests","message":"Ended.","id":"c8283d37f384fb3e","outcome":"answered","status":"200","sent_to":"sidecar-b-2#f3","tries":1,"spent_ms":602,"is_late":true}
not a line of an agent
"#;
    let gate = r#"{"time":"2026-09-05T16:11:40.312000Z","level":"DEBUG","target":"requests","message":"The gate replied.","id":"c8283d37f384fb3e","outcome":"answered","spent_ms":598,"running":12,"queued":7}
"#;
    let files = logs("explain-late", &[("sidecar-a-1", ended), ("sidecar-b-2", gate)]);
    let cause = "Cause: answered late: 598 of its 602 ms were spent at sidecar-b-2#f3, with 7 requests queued \
                 and 12 running there.";
    check("c8283d37f384fb3e", &files, 0, &[cause]);
}

#[test]
fn missing_lines_and_invalid_arguments_are_errors() {
    let files = logs("explain-none", &[("sidecar-a-1", LOST)]);
    check("1", &files, 6, &["no log line about request 0000000000000001", "requests=debug"]);
    check("car-7", &files, 2, &["invalid request id \"car-7\": not hexadecimal"]);
    check("1", &[], 2, &["no log file is given"]);
    check("1", &["no-such.log".to_owned()], 7, &["no-such.log: "]);
}
