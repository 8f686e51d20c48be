//! `check` and the command line itself, without a platform.

use std::fs;

use crate::{DOCUMENT, assert_has, folder, run};

/// Runs without a platform; `expected` is the exit code and parts of standard output and error.
#[track_caller]
fn check(name: &str, text: &str, arguments: &[&str], expected: (i32, &[&str], &[&str])) {
    let folder = folder(name);
    fs::write(folder.join("file.jsonc"), text).unwrap();
    let run = run(None, &folder, arguments);
    assert_has(&run.out, expected.1);
    assert_has(&run.err, expected.2);
    assert_eq!(run.code, expected.0, "{}{}", run.out, run.err);
}

#[test]
fn a_sound_document_is_named() {
    let expected =
        "file.jsonc: service standings of team karerang, divided by key, 1 routes: no problems.";
    check("sound", DOCUMENT, &["check", "file.jsonc"], (0, &[expected], &[]));
}

#[test]
fn all_problems_come_at_once_with_their_places() {
    let text = DOCUMENT.replace("\"keyed\": true", "\"keyd\": 1, \"slot_count\": 0");
    let expected = [
        "pomelohill: file.jsonc:1:1: keyed: this required field is missing.",
        "file.jsonc:5:3: keyd: unknown field, did you mean \"keyed\"?",
        "file.jsonc:5:14: slot_count: 0 is too small: expected at least 1.",
        "file.jsonc: 3 problems.",
    ];
    check("problems", &text, &["check", "file.jsonc"], (1, &[], &expected));
}

#[test]
fn settings_of_an_agent_are_checked_too() {
    let expected = "instance: this required field is missing.";
    check("agent", "{}", &["check", "--agent", "file.jsonc"], (1, &[], &[expected]));
}

#[test]
fn mistakes_on_the_command_line_have_a_sentence_each() {
    let wrong = |arguments: &[&str], code: i32, expected: &str| {
        check("wrong", DOCUMENT, arguments, (code, &[], &[expected]));
    };
    wrong(&[], 2, "pomelohill: no command is given; see pomelohill --help");
    wrong(&["aply", "file.jsonc"], 2, "unrecognized command `aply`");
    wrong(&["check"], 2, "see pomelohill --help");
    wrong(&["check", "none.jsonc"], 7, "pomelohill: none.jsonc: ");
    wrong(
        &["get", "standings"],
        2,
        "no platform is named: use --platform IP:PORT or POMELOHILL_PLATFORM",
    );
    wrong(&["--platform", "localhost:1", "get", "standings"], 2, "\"localhost:1\" is no IP:PORT");
    wrong(
        &["--platform", "127.0.0.1:1", "get", "Standings"],
        2,
        "\"Standings\" is no name of a service",
    );
}

#[test]
fn help_has_examples_and_exit_codes() {
    let expected =
        ["Usage: pomelohill", "pomelohill apply standings.jsonc", "Exit codes:", "explain"];
    check("help", DOCUMENT, &["--help"], (0, &expected, &[]));
    check(
        "help-apply",
        DOCUMENT,
        &["apply", "--help"],
        (0, &["pomelohill apply", "--no-wait"], &[]),
    );
}

#[test]
fn nobody_at_the_platforms_address_is_told() {
    let expected = "read services/standings: no answer from platform 127.0.0.1:1";
    let arguments = ["--platform", "127.0.0.1:1", "get", "standings"];
    check("nobody", DOCUMENT, &arguments, (4, &[], &[expected]));
}
