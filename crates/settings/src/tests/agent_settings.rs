//! Validation and comparison of agent settings.

use crate::{AgentSettings, parse_memory_mb};

const SETTINGS: &str = r#"{
  // One agent of the club.
  "instance": "standings-1", "zone": "pitlane", "team": "karerang", "service": "standings",
  "caller_address": "127.0.0.1:7001", "traffic_address": "127.0.0.1:7002",
  "control_address": "127.0.0.1:7003", "metrics_address": "127.0.0.1:7004",
  "platform_address": "127.0.0.1:7000",
  "link_key": "0123456789abcdef",
}"#;

fn check(edit: (&str, &str), expected: &[&str]) {
    let text = SETTINGS.replacen(edit.0, edit.1, 1);
    let problems = match AgentSettings::parse(&text) {
        Ok(_) => Vec::new(),
        Err(problems) => problems.iter().map(ToString::to_string).collect(),
    };
    assert_eq!(problems, expected, "{text}");
}

#[test]
fn invalid_fields_are_reported_with_their_positions() {
    check(("", ""), &[]);
    check(
        ("0123456789abcdef", "short"),
        &["line 7, column 3: link_key: 5 bytes are too few: expected at least 16."],
    );
    check(
        ("127.0.0.1:7003", "localhost:7003"),
        &[
            "line 5, column 3: control_address: expected IP:PORT, not \"localhost:7003\"; host names are not resolved.",
        ],
    );
    check(
        ("127.0.0.1:7003", "127.0.0.1:7002"),
        &["line 5, column 3: control_address: must differ from the address in traffic_address."],
    );
    check(
        ("\"link_key\"", "\"peers\": [\"127.0.0.1:0\"], \"link_key\""),
        &["line 7, column 13: peers[0]: expected a port from 1 to 65535."],
    );
    check(
        ("127.0.0.1:7001", "0.0.0.0:7001"),
        &[
            "line 4, column 3: caller_address: must not be an unspecified address, since other processes connect to it.",
        ],
    );
}

#[test]
fn the_link_key_is_not_printed() {
    let settings = AgentSettings::parse(SETTINGS).unwrap();
    assert!(!format!("{settings:?}").contains("0123456789abcdef"));
}

/// A change of any single field is reported under its name in the text.
#[test]
fn changed_fields_have_their_names_in_the_text() {
    let settings = AgentSettings::parse(SETTINGS).unwrap();
    assert!(settings.changed_fields(&settings).is_empty());
    for (from, to, name) in [
        ("standings-1", "standings-2", "instance"),
        ("pitlane", "drivers-stand", "zone"),
        ("karerang", "vasconcelos", "team"),
        ("\"service\": \"standings\"", "\"service\": \"lapboard\"", "service"),
        (":7001", ":7101", "caller_address"),
        (":7002", ":7102", "traffic_address"),
        (":7003", ":7103", "control_address"),
        (":7004", ":7104", "metrics_address"),
        (":7000", ":7100", "platform_address"),
        ("0123456789abcdef", "0123456789abcdeg", "link_key"),
        ("\"link_key\"", "\"peers\": [\"127.0.0.1:7203\"], \"link_key\"", "peers"),
        ("\"link_key\"", "\"ready_address\": \"127.0.0.1:7205\", \"link_key\"", "ready_address"),
        (
            "\"link_key\"",
            "\"announce_address\": \"127.0.0.1:7206\", \"link_key\"",
            "announce_address",
        ),
        (
            "\"link_key\"",
            "\"upstream_address\": \"127.0.0.1:7207\", \"link_key\"",
            "upstream_address",
        ),
        ("\"link_key\"", "\"traffic_threads\": 3, \"link_key\"", "traffic_threads"),
        ("\"link_key\"", "\"announced_every_ms\": 1500, \"link_key\"", "announced_every_ms"),
        ("\"link_key\"", "\"memory_mb\": 160, \"link_key\"", "memory_mb"),
        ("\"link_key\"", "\"stop_ms_max\": 5500, \"link_key\"", "stop_ms_max"),
        (
            "\"link_key\"",
            "\"document_defaults\": {\"slot_count\": 512}, \"link_key\"",
            "document_defaults",
        ),
        ("\"link_key\"", "\"log\": \"warn\", \"link_key\"", "log"),
    ] {
        let other = AgentSettings::parse(&SETTINGS.replacen(from, to, 1)).unwrap();
        assert_eq!(settings.changed_fields(&other), [name]);
    }
}

#[test]
fn memory_has_a_default_and_a_range() {
    let memory = |text: &str| {
        let settings = SETTINGS.replacen("\"link_key\"", &format!("{text} \"link_key\""), 1);
        AgentSettings::parse(&settings).map(|it| it.memory_bytes_max).ok()
    };
    assert_eq!(memory(""), Some(256 << 20));
    assert_eq!(memory("\"memory_mb\": 160,"), Some(160 << 20));
    assert_eq!(memory("\"memory_mb\": 31,"), None);
    assert_eq!(memory("\"memory_mb\": 2000000,"), None);
    assert_eq!(parse_memory_mb("160.5"), Ok(168_296_448));
    for invalid in ["", "31", "1e9", "many"] {
        assert!(parse_memory_mb(invalid).is_err(), "{invalid:?}");
    }
}
