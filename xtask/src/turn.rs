//! One run at a time: two on one machine would measure each other.

use std::fs::{File, TryLockError};

use anyhow::Context;

use crate::demo::line;

/// Held as long as a run goes on; the lock ends with it, however it ends.
pub(crate) struct Turn {
    _lock: File,
}

/// Waits until no other demo or measurement runs on this machine.
pub(crate) async fn wait() -> anyhow::Result<Turn> {
    let path = std::env::temp_dir().join("pomelohill-run.lock");
    let file = File::options()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&path)
        .with_context(|| format!("opening {}", path.display()))?;
    match file.try_lock() {
        Ok(()) => return Ok(Turn { _lock: file }),
        Err(TryLockError::WouldBlock) => line("another run is under way; waiting for its end")?,
        Err(TryLockError::Error(error)) => return Err(error).context("locking"),
    }
    let locked = tokio::task::spawn_blocking(move || file.lock().map(|()| file));
    let file = locked.await.context("the waiting task")?.context("locking")?;
    Ok(Turn { _lock: file })
}
