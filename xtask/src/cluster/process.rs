//! A child process, ended by its id and always reaped.

use std::{
    fs::{File, OpenOptions},
    net::SocketAddr,
    path::Path,
    process::{Child, Command, ExitStatus, Stdio},
    sync::{Mutex, PoisonError},
    time::Duration,
};

use anyhow::Context;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use tokio::{
    net::TcpStream,
    time::{Instant, sleep},
};

use super::RunDir;

const POLL: Duration = Duration::from_millis(5);
const LISTEN_TIMEOUT: Duration = Duration::from_secs(10);

/// Killed and reaped when dropped.
#[derive(Debug)]
pub(crate) struct Process {
    name: String,
    pid: Pid,
    child: Mutex<Child>,
}

impl Process {
    /// Starts a program whose output goes to a log in the run's folder.
    pub(crate) fn spawn(
        name: &str,
        program: &Path,
        arguments: &[String],
        dir: &RunDir,
    ) -> anyhow::Result<Process> {
        let log = log_file(dir, name)?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone().context("sharing a log")?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("starting {name}, {}", program.display()))?;
        let pid = Pid::from_raw(i32::try_from(child.id()).context("a process id out of range")?);
        Ok(Process { name: name.to_owned(), pid, child: Mutex::new(child) })
    }

    pub(crate) fn pid(&self) -> i32 {
        self.pid.as_raw()
    }

    /// Sends a signal, unless the process has been reaped: its id may be another's by then.
    pub(crate) fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        if self.exit_status()?.is_some() {
            return Ok(());
        }
        kill(self.pid, signal).with_context(|| format!("sending {signal} to {}", self.name))
    }

    /// Reaps the process if it has ended.
    pub(crate) fn exit_status(&self) -> anyhow::Result<Option<ExitStatus>> {
        let mut child = self.child.lock().unwrap_or_else(PoisonError::into_inner);
        child.try_wait().with_context(|| format!("waiting for {}", self.name))
    }

    /// Waits for its end; an error after the limit.
    pub(crate) async fn wait(&self, limit: Duration) -> anyhow::Result<ExitStatus> {
        let deadline = Instant::now() + limit;
        loop {
            if let Some(status) = self.exit_status()? {
                return Ok(status);
            }
            anyhow::ensure!(Instant::now() < deadline, "{} still runs after {limit:?}", self.name);
            sleep(POLL).await;
        }
    }

    /// Waits until it takes connections.
    pub(crate) async fn wait_listening(&self, address: SocketAddr) -> anyhow::Result<()> {
        let deadline = Instant::now() + LISTEN_TIMEOUT;
        while TcpStream::connect(address).await.is_err() {
            if let Some(status) = self.exit_status()? {
                anyhow::bail!("{} ended with {status} before it took connections", self.name);
            }
            anyhow::ensure!(Instant::now() < deadline, "{} does not listen", self.name);
            sleep(POLL).await;
        }
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let child = self.child.get_mut().unwrap_or_else(PoisonError::into_inner);
        // Both fail only where the process has been reaped already.
        let _ = child.kill();
        let _ = child.wait();
    }
}

fn log_file(dir: &RunDir, name: &str) -> anyhow::Result<File> {
    let path = dir.file(&format!("{name}.log"));
    OpenOptions::new()
        .create(true)
        .append(true)
        .open(&path)
        .with_context(|| format!("opening the log {}", path.display()))
}
