//! Programs under test, built by cargo.

use std::{
    path::{Path, PathBuf},
    process::Command,
};

use anyhow::Context;

/// Cargo profile that the programs are built with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Profile {
    /// For correctness checks: shares its build with the tests, and keeps overflow checks and debug
    /// assertions enabled.
    Dev,
    /// For performance measurements.
    Release,
}

/// Paths of the built programs.
#[derive(Debug, Clone)]
pub(crate) struct Binaries {
    pub(crate) agent: PathBuf,
    pub(crate) platform: PathBuf,
    pub(crate) upstream: PathBuf,
    pub(crate) caller: PathBuf,
}

impl Binaries {
    /// Builds the programs and locates them in the target folder of the running xtask.
    pub(crate) fn build(profile: Profile) -> anyhow::Result<Binaries> {
        let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
        let mut command = Command::new(cargo);
        command.current_dir(repository()).args(["build", "--quiet", "--bins"]);
        command.args(["--package", "agent", "--package", "standins"]);
        if profile == Profile::Release {
            command.arg("--release");
        }
        let status = command.status().context("starting cargo build")?;
        anyhow::ensure!(status.success(), "cargo build failed with {status}");
        let own = std::env::current_exe().context("finding the path of the xtask executable")?;
        let target = own.parent().and_then(Path::parent).context("finding the target folder")?;
        let folder = target.join(match profile {
            Profile::Dev => "debug",
            Profile::Release => "release",
        });
        Ok(Binaries {
            agent: folder.join("pomelohilld"),
            platform: folder.join("standin-platform"),
            upstream: folder.join("standin-upstream"),
            caller: folder.join("standin-caller"),
        })
    }
}

/// Returns the root folder of the repository.
pub(crate) fn repository() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap_or(Path::new("."))
}
