//! Tests of settings files that change while the agent runs.

use settings::AgentSettings;

use crate::reload::{ReloadResult, SettingsFile};

const SETTINGS: &str = r#"{
  "instance": "standings-1", "zone": "pitlane", "team": "karerang", "service": "standings",
  "caller_address": "127.0.0.1:7001", "traffic_address": "127.0.0.1:7002",
  "control_address": "127.0.0.1:7003", "metrics_address": "127.0.0.1:7004",
  "platform_address": "127.0.0.1:7000",
  "link_key": "0123456789abcdef",
}"#;

fn file() -> SettingsFile {
    let settings = AgentSettings::parse(SETTINGS).unwrap();
    SettingsFile { path: "agent.jsonc".into(), settings }
}

#[test]
fn changed_comments_and_layout_are_ignored() {
    let text = SETTINGS.replace("{\n", "{ // another comment\n\n");
    assert_eq!(file().compare(&text), ReloadResult::Unchanged);
}

#[test]
fn changed_fields_are_listed() {
    let text = SETTINGS.replace("127.0.0.1:7000", "127.0.0.1:7100").replace("pitlane", "stand");
    assert_eq!(file().compare(&text), ReloadResult::Changed(vec!["zone", "platform_address"]));
}

#[test]
fn invalid_field_is_reported_with_line_and_name() {
    let text = SETTINGS.replace("127.0.0.1:7003", "nowhere");
    let ReloadResult::Invalid(problems) = file().compare(&text) else {
        panic!("an invalid settings file was accepted")
    };
    assert!(problems.to_string().contains("line 4, column 3: control_address"), "{problems}");
}
