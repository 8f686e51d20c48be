//! `status`, `watch` and `explain`.

use std::path::Path;

use serde_json::{Value, json};

use crate::{DOCUMENT, apply::status, assert_has, fake_platform::FakePlatform, run};

fn platform() -> FakePlatform {
    let platform = FakePlatform::start();
    platform.put("status/standings/0", &status(12, 3, Some((14, "line 5, column 3: keyed: no."))));
    platform
}

#[track_caller]
fn check(platform: &FakePlatform, arguments: &[&str], code: i32, expected: &[&str]) -> String {
    let run = run(Some(platform), Path::new(env!("CARGO_TARGET_TMPDIR")), arguments);
    let text = if code == 0 { &run.out } else { &run.err };
    assert_has(text, expected);
    assert_eq!(run.code, code, "{}{}", run.out, run.err);
    run.out
}

#[test]
fn status_prints_the_status_of_each_group() {
    let platform = platform();
    check(
        &platform,
        &["status"],
        0,
        &["SERVICE", "standings  0      12        3 of 4", "1.25", "2.0 %", "812 ms"],
    );
    check(
        &platform,
        &["status", "standings"],
        0,
        &[
            "group 0: coordinator s-1 (pitlane), term 3, settled",
            "version 14 was refused:\n  line 5, column 3: keyed: no.",
            "s-1       pitlane       ready     24     1.50  12",
            "s-2       scoring-hall  lost      -      -     -",
            "0000000000000007  s-1",
            "5     s-1  3.118  loss",
        ],
    );
    check(
        &platform,
        &["status", "lapboard"],
        6,
        &["no coordinator has written a status for service lapboard"],
    );
}

#[test]
fn status_with_json_flag_prints_one_json_object() {
    let out = check(&platform(), &["status", "--json"], 0, &[]);
    let report: Value = serde_json::from_str(&out).unwrap();
    assert_eq!(report["groups"][0]["coordinator"]["term"], 3);
    assert_eq!(report["groups"][0]["refused"]["version"], 14);
}

#[test]
fn watch_prints_a_line_for_each_status() {
    let expected =
        "standings/0: accepted 12 on 3 of 4, refused 14, coordinator s-1 term 3, imbalance 1.25";
    check(&platform(), &["watch", "standings", "--count", "1"], 0, &[expected]);
}

#[test]
fn explain_combines_plan_status_and_document() {
    let platform = platform();
    let member = |name: &str, zone: &str, port: u16| {
        let address = |port: u16| format!("127.0.0.1:{port}");
        json!({ "name": name, "incarnation": 1, "zone": zone, "control": address(port), "traffic": address(port + 1) })
    };
    let slots: Vec<Value> =
        (0..12).map(|it| json!({ "slot": it, "owner": 0, "successors": [1] })).collect();
    let plan = json!({
        "service": "standings", "group": 0, "version": 9, "term": 3, "nonce": 1, "slot_count": 12,
        "members": [member("s-1", "pitlane", 1), member("s-2", "scoring-hall", 3)],
        "slots": slots, "hot_keys": [], "token_floor": { "term": 3, "sequence": 100 },
    });
    check(
        &platform,
        &["explain", "standings", "car-7"],
        6,
        &["no coordinator has written a plan for service standings"],
    );
    platform.put("plans/standings/0", &plan.to_string());
    let accepted = json!({ "service": "standings", "version": 12, "document": DOCUMENT });
    platform.put("accepted/standings", &accepted.to_string());
    // car-7 is in slot 3 of 12; the status lists a move of slot 5 only.
    check(
        &platform,
        &["explain", "standings", "car-7"],
        0,
        &[
            "slot         3 of 12 of standings, group 0",
            "owner        s-1 (pitlane)\n",
            "planned      s-1 (pitlane), in plan 9 of term 3",
            "successors   s-2 (scoring-hall)",
            "lease        750 ms, renewed every 250 ms, from version 12 of the document",
            "token        3.104 from the grant of the slot",
            "why          slot 3 is not among the last 1 moves",
            "coordinator  none",
        ],
    );
}

#[test]
fn explain_of_an_unsharded_service_names_no_owner() {
    let platform = platform();
    let text = DOCUMENT.replace("\"keyed\": true", "\"keyed\": false");
    let accepted = json!({ "service": "standings", "version": 12, "document": text });
    platform.put("accepted/standings", &accepted.to_string());
    let expected = "standings is not sharded by key: any ready instance can serve \"car-7\".";
    check(&platform, &["explain", "standings", "car-7"], 0, &[expected]);
}
