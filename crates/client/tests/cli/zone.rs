//! `zone`.

use std::path::Path;

use crate::{assert_has, fake_platform::FakePlatform, run};

#[track_caller]
fn check(platform: &FakePlatform, arguments: &[&str], code: i32, expected: &[&str]) {
    let run = run(Some(platform), Path::new(env!("CARGO_TARGET_TMPDIR")), arguments);
    let text = if code == 0 { &run.out } else { &run.err };
    assert_has(text, expected);
    assert_eq!(run.code, code, "{}{}", run.out, run.err);
}

#[test]
fn a_zone_is_closed_shown_and_opened_again() {
    let platform = FakePlatform::start();
    check(&platform, &["zone"], 0, &["No zone is closed."]);
    check(&platform, &["zone", "--close", "pitlane"], 0, &["pitlane is closed."]);
    check(&platform, &["zone", "--close", "pitlane"], 0, &["closed already, nothing is written."]);
    check(&platform, &["zone"], 0, &["pitlane is closed."]);
    check(&platform, &["zone", "scoring-hall"], 0, &["scoring-hall is open."]);
    check(&platform, &["zone", "--open", "pitlane"], 0, &["pitlane is open."]);
    check(&platform, &["zone", "pitlane"], 0, &["pitlane is open."]);
}

#[test]
fn what_makes_no_sense_changes_nothing() {
    let platform = FakePlatform::start();
    check(&platform, &["zone", "--close"], 2, &["name the zone"]);
    check(&platform, &["zone", "--close", "--open", "pitlane"], 2, &["not both"]);
    check(&platform, &["zone", "--close", "a/b"], 2, &["is no name of a zone"]);
    check(&platform, &["zone"], 0, &["No zone is closed."]);
}
