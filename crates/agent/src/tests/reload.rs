//! A settings file that changes under a running agent.

use settings::AgentSettings;

use crate::reload::{Reread, SettingsFile};

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
fn comments_and_layout_are_no_change() {
    let text = SETTINGS.replace("{\n", "{ // another comment\n\n");
    assert_eq!(file().reread(&text), Reread::Same);
}

#[test]
fn changed_fields_are_named() {
    let text = SETTINGS.replace("127.0.0.1:7000", "127.0.0.1:7100").replace("pitlane", "stand");
    assert_eq!(file().reread(&text), Reread::Differs(vec!["zone", "platform_address"]));
}

#[test]
fn a_fault_is_told_by_line_and_field() {
    let text = SETTINGS.replace("127.0.0.1:7003", "nowhere");
    let Reread::Faulty(problems) = file().reread(&text) else { panic!("it was taken") };
    assert!(problems.to_string().contains("line 4, column 3: control_address"), "{problems}");
}
