//! `zone`: lists, closes and opens availability zones.

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
fn zones_can_be_closed_listed_and_opened() {
    let platform = FakePlatform::start();
    check(&platform, &["zone"], 0, &["No zone is closed."]);
    check(&platform, &["zone", "--close", "pitlane"], 0, &["pitlane is closed."]);
    check(&platform, &["zone", "--close", "pitlane"], 0, &["closed already; nothing was written."]);
    check(&platform, &["zone"], 0, &["pitlane is closed."]);
    check(&platform, &["zone", "scoring-hall"], 0, &["scoring-hall is open."]);
    check(&platform, &["zone", "--open", "pitlane"], 0, &["pitlane is open."]);
    check(&platform, &["zone", "pitlane"], 0, &["pitlane is open."]);
}

#[test]
fn invalid_arguments_change_nothing() {
    let platform = FakePlatform::start();
    check(&platform, &["zone", "--close"], 2, &["no zone is given"]);
    check(
        &platform,
        &["zone", "--close", "--open", "pitlane"],
        2,
        &["--close and --open exclude each other"],
    );
    check(&platform, &["zone", "--close", "a/b"], 2, &["invalid zone name \"a/b\": "]);
    check(&platform, &["zone"], 0, &["No zone is closed."]);
}
