//! Temporary folder with the settings, logs and journals of one run.

use std::path::{Path, PathBuf};

use anyhow::Context;

/// Folder that is removed when dropped, unless [`RunDir::keep`] was called.
#[derive(Debug)]
pub(crate) struct RunDir {
    path: PathBuf,
    keep: bool,
}

impl RunDir {
    pub(crate) fn new(seed: u64) -> anyhow::Result<RunDir> {
        let name = format!("pomelohill-{}-{seed}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)
            .with_context(|| format!("creating the folder {}", path.display()))?;
        Ok(RunDir { path, keep: false })
    }

    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    pub(crate) fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    pub(crate) fn keep(&mut self) {
        self.keep = true;
    }
}

impl Drop for RunDir {
    fn drop(&mut self) {
        if !self.keep {
            // On an error the folder stays in the system's folder for temporary files.
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}
