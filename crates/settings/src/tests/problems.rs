//! Syntax errors and violations of the schema: all problems are reported, each with its position.

use super::document::{MINIMAL, check};
use crate::ServiceDocument;

#[test]
fn unknown_fields_are_reported_with_the_most_similar_name() {
    check(
        (r#""keyed""#, r#""keyd""#),
        &[
            r#"keyed: this required field is missing."#,
            r#"keyd: unknown field, did you mean "keyed"?"#,
        ],
    );
    check(
        (r#""keyed": true,"#, r#""keyed": true, "limits": { "queue_ms": 5, "qqq": 1 },"#),
        &[
            r#"limits.queue_ms: unknown field, did you mean "queue_ms_max"?"#,
            "limits.qqq: unknown field.",
        ],
    );
}

#[test]
fn values_of_wrong_type_or_range_are_reported() {
    check(
        (r#""keyed": true,"#, r#""keyed": "yes", "slot_count": 0, "upstream": { "slots": 1.5 },"#),
        &[
            r#"keyed: expected true or false, not "yes"."#,
            "slot_count: 0 is too small: expected at least 1.",
            "upstream.slots: expected a whole number, not 1.5.",
        ],
    );
    check(
        (r#""class": "lap""#, r#""class": "lap", "method": "post", "deadline_ms": 60001"#),
        &[
            r#"routes[0].method: expected one of "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", not "post"."#,
            "routes[0].deadline_ms: 60001 ms is too large: expected at most 60000.",
        ],
    );
    check(
        (r#"[{ "name": "lap" }]"#, "[]"),
        &["classes: 0 entries are too few: expected at least 1."],
    );
}

#[test]
fn problems_contain_line_and_column() {
    let text = MINIMAL.replace(r#""idempotent": false"#, r#""idempotent": false, "deadline": 5"#);
    let problems = ServiceDocument::parse(&text).unwrap_err();
    assert_eq!(
        problems.to_string(),
        "line 6, column 76: routes[0].deadline: unknown field, did you mean \"deadline_ms\"?"
    );
}

#[test]
fn syntax_errors_contain_line_and_column() {
    let check = |text: &str, expected: &str| {
        assert_eq!(ServiceDocument::parse(text).unwrap_err().to_string(), expected);
    };
    check("", "line 1, column 1: the text contains no value: expected an object.");
    check(
        "{\n  \"service\" \"x\"}",
        "line 2, column 13: Expected colon after the string or word in object property.",
    );
    check("[]", "line 1, column 1: expected an object, not an array.");
}

#[test]
fn duplicate_fields_are_reported() {
    check((r#""keyed": true,"#, r#""keyed": true, "keyed": false,"#), &["keyed: duplicate field."]);
}
