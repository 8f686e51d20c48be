//! A child process that is signalled by its process id and always reaped.

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

const POLL_INTERVAL: Duration = Duration::from_millis(5);
const LISTEN_TIMEOUT: Duration = Duration::from_secs(10);

/// Child process, killed and reaped when dropped.
#[derive(Debug)]
pub(crate) struct Process {
    name: String,
    pid: Pid,
    child: Mutex<Child>,
}

impl Process {
    /// Starts a program and redirects its output to a log file in the run's folder.
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
            .stdout(log.try_clone().context("duplicating the handle of the log file")?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("starting {name}, {}", program.display()))?;
        let pid = Pid::from_raw(i32::try_from(child.id()).context("process id out of range")?);
        Ok(Process { name: name.to_owned(), pid, child: Mutex::new(child) })
    }

    pub(crate) fn pid(&self) -> i32 {
        self.pid.as_raw()
    }

    /// Sends a signal, unless the process has been reaped: the system may have reused its id.
    pub(crate) fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        if self.exit_status()?.is_some() {
            return Ok(());
        }
        kill(self.pid, signal).with_context(|| format!("sending {signal} to {}", self.name))
    }

    /// Returns the exit status and reaps the process if it has exited.
    pub(crate) fn exit_status(&self) -> anyhow::Result<Option<ExitStatus>> {
        let mut child = self.child.lock().unwrap_or_else(PoisonError::into_inner);
        child.try_wait().with_context(|| format!("checking whether {} has exited", self.name))
    }

    /// Waits until the process exits; fails after `timeout`.
    pub(crate) async fn wait(&self, timeout: Duration) -> anyhow::Result<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.exit_status()? {
                return Ok(status);
            }
            anyhow::ensure!(
                Instant::now() < deadline,
                "{} did not exit within {timeout:?}",
                self.name
            );
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the process accepts connections at the address.
    pub(crate) async fn wait_until_listening(&self, address: SocketAddr) -> anyhow::Result<()> {
        match self.wait_until_listening_or_exited(address).await? {
            None => Ok(()),
            Some(status) => {
                anyhow::bail!("{} exited with {status} before it accepted connections", self.name)
            }
        }
    }

    /// Waits until the process accepts connections at the address, or has exited; then the result is its status.
    pub(crate) async fn wait_until_listening_or_exited(
        &self,
        address: SocketAddr,
    ) -> anyhow::Result<Option<ExitStatus>> {
        let deadline = Instant::now() + LISTEN_TIMEOUT;
        while TcpStream::connect(address).await.is_err() {
            if let Some(status) = self.exit_status()? {
                return Ok(Some(status));
            }
            anyhow::ensure!(
                Instant::now() < deadline,
                "{} did not accept connections in time",
                self.name
            );
            sleep(POLL_INTERVAL).await;
        }
        Ok(None)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let child = self.child.get_mut().unwrap_or_else(PoisonError::into_inner);
        // Both fail only if the process has been reaped already.
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
        .with_context(|| format!("opening the log file {}", path.display()))
}
