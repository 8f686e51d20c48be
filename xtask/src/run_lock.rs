//! A lock per machine that allows one run at a time: two concurrent runs would distort each
//! other's measurements.

use std::fs::{File, TryLockError};

use anyhow::Context;

use crate::demo::print_line;

/// Lock that one run holds; the system releases it when the process ends, also after a crash.
pub(crate) struct RunLock {
    _lock: File,
}

/// Waits until no other demo, soak or measurement runs on this machine, and takes the lock.
pub(crate) async fn acquire() -> anyhow::Result<RunLock> {
    let path = std::env::temp_dir().join("pomelohill-run.lock");
    let file = File::options()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&path)
        .with_context(|| format!("opening {}", path.display()))?;
    match file.try_lock() {
        Ok(()) => return Ok(RunLock { _lock: file }),
        Err(TryLockError::WouldBlock) => print_line("another run is active; waiting for its end")?,
        Err(TryLockError::Error(error)) => return Err(error).context("locking"),
    }
    let locked = tokio::task::spawn_blocking(move || file.lock().map(|()| file));
    let file = locked.await.context("waiting for the run lock")?.context("locking")?;
    Ok(RunLock { _lock: file })
}
