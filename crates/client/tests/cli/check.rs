//! `check` and the command line itself, without a platform.

use std::fs;

use crate::{DOCUMENT, assert_has, folder, run};

/// Runs a command without a platform. `expected` holds the exit code and parts of standard output and error.
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
fn a_valid_document_is_summarized() {
    let expected =
        "file.jsonc: service standings of team karerang, sharded by key, 1 routes: no problems.";
    check("valid", DOCUMENT, &["check", "file.jsonc"], (0, &[expected], &[]));
}

#[test]
fn all_problems_are_listed_with_line_and_column() {
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
fn check_with_agent_flag_checks_settings_of_an_agent() {
    let expected = "instance: this required field is missing.";
    check("agent", "{}", &["check", "--agent", "file.jsonc"], (1, &[], &[expected]));
}

#[test]
fn each_command_line_error_has_its_message() {
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
        "no platform address is given: use --platform IP:PORT or set POMELOHILL_PLATFORM",
    );
    wrong(
        &["--platform", "localhost:1", "get", "standings"],
        2,
        "\"localhost:1\" is not IP:PORT; host names are not supported",
    );
    wrong(
        &["--platform", "127.0.0.1:1", "get", "Standings"],
        2,
        "invalid service name \"Standings\": ",
    );
}

#[test]
fn help_shows_examples_and_exit_codes() {
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
fn an_unreachable_platform_is_an_error() {
    let expected = "read services/standings: no answer from platform 127.0.0.1:1";
    let arguments = ["--platform", "127.0.0.1:1", "get", "standings"];
    check("unreachable", DOCUMENT, &arguments, (4, &[], &[expected]));
}
