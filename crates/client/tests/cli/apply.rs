//! `get` and `apply`: edits, conflicts, lost answers, and the wait until a version is in force.

use std::{fs, path::PathBuf};

use serde_json::json;

use crate::{
    DOCUMENT, Run, assert_has,
    fake_platform::{FakePlatform, Fault},
    folder, run,
};

const SERVICE: &str = "services/standings";

/// A platform, and a folder with the operator's file.
struct Fixture {
    platform: FakePlatform,
    folder: PathBuf,
}

impl Fixture {
    fn new(name: &str) -> Fixture {
        Fixture { platform: FakePlatform::start(), folder: folder(name) }
    }

    fn write(&self, text: &str) {
        fs::write(self.folder.join("file.jsonc"), text).unwrap();
    }

    fn text(&self) -> String {
        fs::read_to_string(self.folder.join("file.jsonc")).unwrap()
    }

    fn run(&self, arguments: &[&str]) -> Run {
        run(Some(&self.platform), &self.folder, arguments)
    }

    #[track_caller]
    fn check(&self, arguments: &[&str], expected: (i32, &[&str], &[&str])) {
        let run = self.run(arguments);
        assert_has(&run.out, expected.1);
        assert_has(&run.err, expected.2);
        assert_eq!(run.code, expected.0, "{}{}", run.out, run.err);
    }
}

/// Returns the status that a coordinator writes when the version is in force on `instances` of 4 instances.
pub(crate) fn status(accepted: u64, instances: u32, refused: Option<(u64, &str)>) -> String {
    let refused = refused.map(|(version, it)| json!({ "version": version, "reasons": [it] }));
    json!({
        "service": "standings", "group": 0, "written_at_unix_ms": 1_000, "accepted": accepted,
        "in_force": { "instances": instances, "of": 4, "since_unix_ms": null },
        "refused": refused,
        "coordinator": { "instance": "s-1", "zone": "pitlane", "term": 3, "settled": true },
        "owners": [{ "instance": "s-1", "zone": "pitlane", "slots": 24, "load_us_per_s": 1_500_000, "config": accepted }],
        "upstreams": [
            { "instance": "s-1", "zone": "pitlane", "state": "ready" },
            { "instance": "s-2", "zone": "scoring-hall", "state": "lost" },
        ],
        "grants": [[0, 3, 101], [0, 3, 102], [null, 0, 0], [0, 3, 104], [0, 3, 105], [0, 3, 118]],
        "hot_keys": [{ "key_hash": 7, "owner": "s-1" }],
        "measures": { "imbalance": 1.25, "churn_per_minute": 0.02, "unavailable_ms_max": 812 },
        "moves": [{ "slot": 5, "token": { "term": 3, "sequence": 118 }, "to": "s-1", "reason": "loss", "at_unix_ms": 1_000 }],
    })
    .to_string()
}

fn status_object(accepted: u64, instances: u32) -> (String, String) {
    ("status/standings/0".to_owned(), status(accepted, instances, None))
}

#[test]
fn apply_writes_a_new_service_and_waits_until_it_is_in_force() {
    let fixture = Fixture::new("new-service");
    fixture.write(DOCUMENT);
    fixture.platform.write_after_next_update(|version| vec![status_object(version, 4)]);
    fixture.check(
        &["apply", "file.jsonc"],
        (
            0,
            &[
                "+  \"service\": \"standings\"",
                "standings: version 1 was written.",
                "version 1 is in force on 4 of 4 instances",
            ],
            &[],
        ),
    );
    assert_eq!(fixture.platform.body(SERVICE).as_deref(), Some(DOCUMENT));
    assert_eq!(fixture.text(), format!("{DOCUMENT}// pomelohill: standings version 1\n"));
}

#[test]
fn apply_accepts_an_edited_output_of_get() {
    let fixture = Fixture::new("edit");
    fixture.platform.put(SERVICE, DOCUMENT);
    let got = fixture.run(&["get", "standings"]).out;
    assert_eq!(got, format!("{DOCUMENT}// pomelohill: standings version 1\n"));
    let edited = DOCUMENT.replace("\"keyed\": true", "\"keyed\": true, \"slot_count\": 12");
    fixture.write(&got.replace(DOCUMENT, &edited));
    let expected = ["-  \"keyed\": true,", "+  \"keyed\": true, \"slot_count\": 12,"];
    fixture.check(&["apply", "--dry-run", "file.jsonc"], (0, &expected, &[]));
    assert_eq!(
        fixture.platform.body(SERVICE).as_deref(),
        Some(DOCUMENT),
        "a dry run writes nothing"
    );
    fixture.check(&["apply", "--no-wait", "file.jsonc"], (0, &["version 2 was written"], &[]));
    assert_eq!(fixture.platform.body(SERVICE), Some(edited));
    fixture
        .check(&["apply", "--no-wait", "file.jsonc"], (0, &["version 2 has the same text"], &[]));
}

#[test]
fn a_conflict_shows_both_versions_and_both_diffs() {
    let fixture = Fixture::new("conflict");
    fixture.platform.put(SERVICE, DOCUMENT);
    let accepted = json!({ "service": "standings", "version": 1, "document": DOCUMENT });
    fixture.platform.put("accepted/standings", &accepted.to_string());
    let mine = DOCUMENT.replace("karerang", "mine");
    fixture.write(&format!("{mine}// pomelohill: standings version 1\n"));
    let theirs = DOCUMENT.replace("Laps and penalties", "Theirs");
    fixture.platform.put(SERVICE, &theirs);
    fixture.check(
        &["apply", "--no-wait", "file.jsonc"],
        (
            3,
            &[],
            &[
                "your file is based on version 1, but the current version is 3. Nothing was written.",
                "Changes since the base version of your file:",
                "-  // Laps and penalties.\n+  // Theirs.",
                "Changes from the current version to your file:",
                "+  \"team\": \"mine\",",
                "pomelohill get standings > standings-3.jsonc",
            ],
        ),
    );
    assert_eq!(fixture.platform.body(SERVICE), Some(theirs));
}

#[test]
fn a_change_just_before_the_write_is_a_conflict() {
    let fixture = Fixture::new("overtaken");
    fixture.platform.put(SERVICE, DOCUMENT);
    let mine = DOCUMENT.replace("karerang", "mine");
    fixture.write(&mine);
    let theirs = DOCUMENT.replace("Laps", "Theirs");
    fixture.platform.fail_next(Fault::ConcurrentWrite(theirs.clone()));
    let expected = ["based on version 1, but the current version is 2", "+  \"team\": \"mine\","];
    fixture.check(&["apply", "--base", "1", "--no-wait", "file.jsonc"], (3, &[], &expected));
    assert_eq!(fixture.platform.body(SERVICE), Some(theirs));
    assert_eq!(fixture.text(), mine, "the file stays as it was");
}

#[test]
fn a_write_whose_answer_was_lost_counts_as_written() {
    let fixture = Fixture::new("lost-answer");
    fixture.write(DOCUMENT);
    fixture.platform.fail_next(Fault::LostAnswer);
    fixture.check(&["apply", "--no-wait", "file.jsonc"], (0, &["version 1 was written"], &[]));
    assert_eq!(fixture.text(), format!("{DOCUMENT}// pomelohill: standings version 1\n"));
}

#[test]
fn an_unavailable_platform_leaves_the_outcome_of_the_write_unknown() {
    let fixture = Fixture::new("unsure");
    fixture.write(DOCUMENT);
    fixture.platform.fail_next(Fault::Down);
    let expected = [
        "update services/standings: no answer from platform",
        "the document may or may not have been written: run apply again to find out",
    ];
    fixture.check(&["apply", "--no-wait", "file.jsonc"], (4, &[], &expected));
    assert_eq!(fixture.text(), DOCUMENT, "the file stays as it was");
}

#[test]
fn a_file_without_its_own_base_line_is_refused() {
    let fixture = Fixture::new("no-base");
    fixture.platform.put(SERVICE, &DOCUMENT.replace("Laps", "Theirs"));
    fixture.write(DOCUMENT);
    let expected = [
        "has no base line, so the version of standings that it is based on is unknown",
        "--base 1 file.jsonc",
    ];
    fixture.check(&["apply", "--no-wait", "file.jsonc"], (3, &[], &expected));
    fixture.write(&format!("{DOCUMENT}// pomelohill: lapboard version 1\n"));
    fixture.check(&["apply", "file.jsonc"], (2, &[], &["the base line names service lapboard"]));
}

#[test]
fn a_change_of_a_fixed_field_is_refused_before_the_write() {
    let fixture = Fixture::new("no-change");
    fixture.platform.put(SERVICE, DOCUMENT);
    let accepted = json!({ "service": "standings", "version": 1, "document": DOCUMENT });
    fixture.platform.put("accepted/standings", &accepted.to_string());
    fixture.write(&DOCUMENT.replace("\"keyed\": true", "\"keyed\": false"));
    let expected =
        "file.jsonc:5:3: keyed: cannot change while the service runs; the current value is true.";
    fixture.check(&["apply", "--base", "1", "file.jsonc"], (1, &[], &[expected]));
}

#[test]
fn apply_prints_the_reasons_of_a_refused_version() {
    let fixture = Fixture::new("refused");
    fixture.write(DOCUMENT);
    fixture.platform.write_after_next_update(|version| {
        let refused = Some((version, "line 5, column 3: keyed: may not change."));
        vec![("status/standings/0".to_owned(), status(0, 4, refused))]
    });
    let expected =
        ["version 1 was refused, the previous version stays in force:\nline 5, column 3: keyed"];
    fixture.check(&["apply", "file.jsonc"], (1, &["version 1 was written"], &expected));
}

#[test]
fn a_version_not_in_force_within_the_timeout_is_an_error() {
    let fixture = Fixture::new("not-in-force");
    fixture.write(DOCUMENT);
    fixture.platform.write_after_next_update(|version| vec![status_object(version, 3)]);
    let expected = [
        "standings: version 1: in force on 3 of 4 instances",
        "version 1 was written, but is not in force on all instances after 0 s: in force on 3 of 4 instances",
    ];
    fixture.check(&["apply", "--timeout-s", "0", "file.jsonc"], (5, &[], &expected));
}
