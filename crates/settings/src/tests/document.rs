//! Defaults of documents, and rules across fields.

use std::time::Duration;

use crate::{OwnershipLimits, ServiceDocument};

/// Valid document with only the required fields.
pub(super) const MINIMAL: &str = r#"{
  "service": "standings",
  "team": "karerang",
  "keyed": true,
  "classes": [{ "name": "lap" }],
  "routes": [{ "path": "/laps/{car}", "class": "lap", "idempotent": false }],
}"#;

/// Applies an edit to [`MINIMAL`] and compares the problems, without their positions.
pub(super) fn check(edit: (&str, &str), expected: &[&str]) {
    let text = MINIMAL.replacen(edit.0, edit.1, 1);
    assert_ne!(text, MINIMAL, "the edit {edit:?} did not change the document");
    let problems = match ServiceDocument::parse(&text) {
        Ok(_) => Vec::new(),
        Err(problems) => {
            problems.iter().map(|it| format!("{}: {}", it.field, it.message)).collect()
        }
    };
    assert_eq!(problems, expected, "{text}");
}

/// Adds a section to [`MINIMAL`] and compares the problems.
fn check_section(section: &str, expected: &[&str]) {
    check((r#""keyed": true,"#, &format!(r#""keyed": true, {section},"#)), expected);
}

#[test]
fn defaults_match_those_of_the_ownership_crate() {
    let document = ServiceDocument::parse(MINIMAL).unwrap();
    let expected = ownership::Limits::default();
    let actual = &document.ownership;
    assert_eq!(*actual, OwnershipLimits::default());
    let durations = |it: [Duration; 9]| it;
    assert_eq!(
        durations([
            actual.lease,
            actual.renew_every,
            actual.drift_margin,
            actual.confirmation,
            actual.platform_confirmation,
            actual.takeover_after,
            actual.platform_absence_max,
            actual.pause_max,
            actual.handover_max,
        ]),
        [
            expected.lease,
            expected.renew_every,
            expected.drift_margin,
            expected.confirmation,
            expected.platform_confirmation,
            expected.takeover_after,
            expected.platform_absence_max,
            expected.pause_max,
            expected.handover_max,
        ]
    );
    assert_eq!(actual.imbalance_target, expected.imbalance_target);
    assert_eq!(actual.churn_per_minute_max, expected.churn_per_minute_max);
    assert_eq!(actual.availability_weight, expected.availability_weight);
    assert_eq!(actual.weighs_capacity, expected.weighs_capacity);
    assert!(!document.upstream.checks_fence && expected.fence == ownership::FenceCheck::Unchecked);
}

#[test]
fn ownership_times_are_checked_against_each_other() {
    check_section(
        r#""ownership": { "renew_every_ms": 375 }"#,
        &[
            "ownership.renew_every_ms: must be less than 375 ms, half of lease_ms, so that two renewals fit into a lease.",
        ],
    );
    check_section(
        r#""ownership": { "confirmation_ms": 750, "pause_max_ms": 800, "takeover_after_ms": 250, "drift_margin_ms": 250, "platform_confirmation_ms": 749 }"#,
        &[
            "ownership.confirmation_ms: must be less than lease_ms, 750 ms.",
            "ownership.pause_max_ms: must be less than lease_ms, 750 ms.",
            "ownership.takeover_after_ms: must be more than renew_every_ms, 250 ms.",
            "ownership.drift_margin_ms: must be less than renew_every_ms, 250 ms.",
            "ownership.platform_confirmation_ms: must be at least confirmation_ms, 750 ms.",
        ],
    );
    check_section(
        r#""ownership": { "lease_ms": 60000, "platform_absence_max_s": 60 }"#,
        &["ownership.platform_absence_max_s: must be more than two leases of 60000 ms."],
    );
    check_section(
        r#""ownership": { "lease_ms": 1500, "renew_every_ms": 500, "takeover_after_ms": 700 }"#,
        &[],
    );
}

#[test]
fn traffic_times_are_checked_against_deadlines() {
    check_section(
        r#""limits": { "queue_ms_max": 1001, "records_ms": 1999 }, "drain": { "in_flight_ms_max": 999 }"#,
        &[
            "limits.queue_ms_max: must not exceed the longest deadline of a route, 1000 ms.",
            "limits.records_ms: must be at least twice the longest deadline of a non-idempotent route, 1000 ms.",
            "drain.in_flight_ms_max: must be at least the longest deadline of a route, 1000 ms, so that requests in flight can finish.",
        ],
    );
    check_section(
        r#""upstream": { "slots": 100 }"#,
        &[
            "upstream.connections_max: 85 connections are too few for 100 slots: expected at least one per slot.",
        ],
    );
}

#[test]
fn duplicate_and_undefined_classes_are_reported() {
    check(
        (r#"{ "name": "lap" }"#, r#"{ "name": "lap" }, { "name": "lap" }, { "name": "Lap" }"#),
        &[
            "classes[1].name: duplicate name: already used by classes[0].",
            "classes[2].name: a name holds a-z, 0-9, '-', '_' and '.', not 'L'.",
        ],
    );
    check(
        (r#""class": "lap""#, r#""class": "laps""#),
        &[r#"routes[0].class: "laps" is not defined in classes, did you mean "lap"?"#],
    );
}

#[test]
fn a_key_has_exactly_one_valid_location() {
    let key =
        |key: &str| (r#""class": "lap""#.to_owned(), format!(r#""class": "lap", "key": {key}"#));
    let check_key = |text: &str, expected: &[&str]| {
        let (from, to) = key(text);
        check((&from, &to), expected);
    };
    check_key(r#"{ "segment": "car" }"#, &[]);
    check_key(r#"{ "header": "X-Car" }"#, &[]);
    check_key(
        r#"{ "segment": "cars" }"#,
        &[r#"routes[0].key.segment: the path has no segment {cars}, did you mean "car"?"#],
    );
    check_key(
        r#"{ "segment": "car", "header": "x-key" }"#,
        &["routes[0].key: expected exactly one of header and segment."],
    );
    check_key("{}", &["routes[0].key: expected exactly one of header and segment."]);
    check_key(
        r#"{ "header": "x key" }"#,
        &[
            r#"routes[0].key.header: "x key" is not a valid header name: expected letters, digits, '-' and '_'."#,
        ],
    );
}

#[test]
fn fixed_fields_cannot_change() {
    let previous = ServiceDocument::parse(MINIMAL).unwrap();
    let text = MINIMAL.replace(r#""keyed": true"#, r#""keyed": false, "slot_count": 12"#);
    let text = text.replace("standings", "lapboard");
    let problems = ServiceDocument::parse_change(&text, &previous).unwrap_err();
    let fields: Vec<&str> = problems.iter().map(|it| it.field.as_str()).collect();
    assert_eq!(fields, ["service", "keyed", "slot_count"]);
    assert!(ServiceDocument::parse_change(MINIMAL, &previous).is_ok());
}
