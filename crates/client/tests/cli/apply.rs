//! `get` and `apply`: edits, conflicts, lost answers, and the way until a version is in force.

use std::{fs, path::PathBuf};

use serde_json::json;

use crate::{
    DOCUMENT, Run, assert_has,
    fake_platform::{FakePlatform, Fault},
    folder, run,
};

const SERVICE: &str = "services/standings";

/// An operator's folder and the platform.
struct Desk {
    platform: FakePlatform,
    folder: PathBuf,
}

impl Desk {
    fn new(name: &str) -> Desk {
        Desk { platform: FakePlatform::start(), folder: folder(name) }
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

/// The status that a coordinator writes when this version is in force on `instances` of 4.
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
fn a_new_service_is_written_and_waited_for() {
    let desk = Desk::new("new-service");
    desk.write(DOCUMENT);
    desk.platform.answer_next(|version| vec![status_object(version, 4)]);
    desk.check(
        &["apply", "file.jsonc"],
        (
            0,
            &[
                "+  \"service\": \"standings\"",
                "standings: version 1 is written.",
                "version 1 is in force on 4 of 4 instances",
            ],
            &[],
        ),
    );
    assert_eq!(desk.platform.body(SERVICE).as_deref(), Some(DOCUMENT));
    assert_eq!(desk.text(), format!("{DOCUMENT}// pomelohill: standings version 1\n"));
}

#[test]
fn an_edit_begins_from_what_get_prints() {
    let desk = Desk::new("edit");
    desk.platform.put(SERVICE, DOCUMENT);
    let got = desk.run(&["get", "standings"]).out;
    assert_eq!(got, format!("{DOCUMENT}// pomelohill: standings version 1\n"));
    let edited = DOCUMENT.replace("\"keyed\": true", "\"keyed\": true, \"slot_count\": 12");
    desk.write(&got.replace(DOCUMENT, &edited));
    let expected = ["-  \"keyed\": true,", "+  \"keyed\": true, \"slot_count\": 12,"];
    desk.check(&["apply", "--dry-run", "file.jsonc"], (0, &expected, &[]));
    assert_eq!(desk.platform.body(SERVICE).as_deref(), Some(DOCUMENT), "a dry run writes nothing");
    desk.check(&["apply", "--no-wait", "file.jsonc"], (0, &["version 2 is written"], &[]));
    assert_eq!(desk.platform.body(SERVICE), Some(edited));
    desk.check(&["apply", "--no-wait", "file.jsonc"], (0, &["version 2 is the same"], &[]));
}

#[test]
fn the_second_of_two_editors_is_told_everything() {
    let desk = Desk::new("conflict");
    desk.platform.put(SERVICE, DOCUMENT);
    let accepted = json!({ "service": "standings", "version": 1, "document": DOCUMENT });
    desk.platform.put("accepted/standings", &accepted.to_string());
    let mine = DOCUMENT.replace("karerang", "mine");
    desk.write(&format!("{mine}// pomelohill: standings version 1\n"));
    let theirs = DOCUMENT.replace("Laps and penalties", "Theirs");
    desk.platform.put(SERVICE, &theirs);
    desk.check(
        &["apply", "--no-wait", "file.jsonc"],
        (
            3,
            &[],
            &[
                "your file is based on version 1, the service has version 3. Nothing was written.",
                "What they changed:",
                "-  // Laps and penalties.\n+  // Theirs.",
                "How your file differs from theirs:",
                "+  \"team\": \"mine\",",
                "pomelohill get standings > standings-3.jsonc",
            ],
        ),
    );
    assert_eq!(desk.platform.body(SERVICE), Some(theirs));
}

#[test]
fn an_editor_who_is_overtaken_at_the_last_moment_is_told_too() {
    let desk = Desk::new("overtaken");
    desk.platform.put(SERVICE, DOCUMENT);
    let mine = DOCUMENT.replace("karerang", "mine");
    desk.write(&mine);
    let theirs = DOCUMENT.replace("Laps", "Theirs");
    desk.platform.fail_next(Fault::Overtaken(theirs.clone()));
    let expected = ["based on version 1, the service has version 2", "+  \"team\": \"mine\","];
    desk.check(&["apply", "--base", "1", "--no-wait", "file.jsonc"], (3, &[], &expected));
    assert_eq!(desk.platform.body(SERVICE), Some(theirs));
    assert_eq!(desk.text(), mine, "the file stays as it was");
}

#[test]
fn an_answer_lost_after_the_write_is_settled_by_reading() {
    let desk = Desk::new("lost-answer");
    desk.write(DOCUMENT);
    desk.platform.fail_next(Fault::LostAnswer);
    desk.check(&["apply", "--no-wait", "file.jsonc"], (0, &["version 1 is written"], &[]));
    assert_eq!(desk.text(), format!("{DOCUMENT}// pomelohill: standings version 1\n"));
}

#[test]
fn an_effect_that_stays_unknown_is_said_so() {
    let desk = Desk::new("unsure");
    desk.write(DOCUMENT);
    desk.platform.fail_next(Fault::Down);
    let expected = [
        "update services/standings: no answer from platform",
        "the document may or may not be written: apply it again to find out",
    ];
    desk.check(&["apply", "--no-wait", "file.jsonc"], (4, &[], &expected));
    assert_eq!(desk.text(), DOCUMENT, "the file stays as it was");
}

#[test]
fn a_file_without_a_base_overwrites_nothing() {
    let desk = Desk::new("no-base");
    desk.platform.put(SERVICE, &DOCUMENT.replace("Laps", "Theirs"));
    desk.write(DOCUMENT);
    let expected =
        ["does not say on which version of standings it is based", "--base 1 file.jsonc"];
    desk.check(&["apply", "--no-wait", "file.jsonc"], (3, &[], &expected));
    desk.write(&format!("{DOCUMENT}// pomelohill: lapboard version 1\n"));
    desk.check(&["apply", "file.jsonc"], (2, &[], &["is based on lapboard"]));
}

#[test]
fn what_may_not_change_is_found_before_the_write() {
    let desk = Desk::new("no-change");
    desk.platform.put(SERVICE, DOCUMENT);
    let accepted = json!({ "service": "standings", "version": 1, "document": DOCUMENT });
    desk.platform.put("accepted/standings", &accepted.to_string());
    desk.write(&DOCUMENT.replace("\"keyed\": true", "\"keyed\": false"));
    let expected =
        "file.jsonc:5:3: keyed: cannot change while the service runs; the current value is true.";
    desk.check(&["apply", "--base", "1", "file.jsonc"], (1, &[], &[expected]));
}

#[test]
fn a_refusal_names_its_reasons() {
    let desk = Desk::new("refused");
    desk.write(DOCUMENT);
    desk.platform.answer_next(|version| {
        let refused = Some((version, "line 5, column 3: keyed: may not change."));
        vec![("status/standings/0".to_owned(), status(0, 4, refused))]
    });
    let expected =
        ["version 1 was refused, the former one stays in force:\nline 5, column 3: keyed"];
    desk.check(&["apply", "file.jsonc"], (1, &["version 1 is written"], &expected));
}

#[test]
fn a_version_that_is_not_in_force_in_time_is_no_success() {
    let desk = Desk::new("not-in-force");
    desk.write(DOCUMENT);
    desk.platform.answer_next(|version| vec![status_object(version, 3)]);
    let expected = [
        "standings: version 1: in force on 3 of 4 instances",
        "version 1 is written, but not in force after 0 s: in force on 3 of 4 instances",
    ];
    desk.check(&["apply", "--timeout-s", "0", "file.jsonc"], (5, &[], &expected));
}
