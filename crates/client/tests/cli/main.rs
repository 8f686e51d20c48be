//! Tests that run the program against a small platform in the test process, over real sockets.

mod apply;
mod check;
mod explain_request;
mod fake_platform;
mod look;
mod zone;

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Output},
};

use crate::fake_platform::FakePlatform;

/// A valid document.
pub(crate) const DOCUMENT: &str = r#"{
  // Laps and penalties.
  "service": "standings",
  "team": "karerang",
  "keyed": true,
  "classes": [{ "name": "lap" }],
  "routes": [{ "path": "/*", "class": "lap", "idempotent": true }],
}
"#;

/// The exit code and output of a run of the program.
pub(crate) struct Run {
    pub(crate) code: i32,
    pub(crate) out: String,
    pub(crate) err: String,
}

/// Creates an empty folder for a test.
pub(crate) fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    folder
}

pub(crate) fn run(platform: Option<&FakePlatform>, folder: &Path, arguments: &[&str]) -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pomelohill"));
    command.current_dir(folder).env_remove("POMELOHILL_PLATFORM").args(arguments);
    if let Some(platform) = platform {
        command.env("POMELOHILL_PLATFORM", platform.address());
    }
    let Output { status, stdout, stderr } = command.output().unwrap();
    let text = |it: Vec<u8>| String::from_utf8(it).unwrap();
    Run { code: status.code().expect("an exit code"), out: text(stdout), err: text(stderr) }
}

#[track_caller]
pub(crate) fn assert_has(text: &str, parts: &[&str]) {
    for part in parts {
        assert!(text.contains(part), "{part:?} is missing in:\n{text}");
    }
    assert!(!text.contains('\x1b'), "colours without a terminal:\n{text}");
}
