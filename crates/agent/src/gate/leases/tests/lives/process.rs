//! A process with a runtime and a paused clock of its own, which can be stopped and killed.

use std::time::Duration;

use tokio::{
    runtime::{Builder, Runtime},
    task::yield_now,
    time::advance,
};

/// Rounds in which all tasks of a process do what they can without a delay.
const SETTLE_ROUNDS: usize = 8;

/// A process with its state. Dropping it ends its tasks and closes its connections.
pub(super) struct Process<T> {
    runtime: Runtime,
    state: T,
    /// Time that has passed while it was stopped.
    behind: Duration,
}

impl<T> Process<T> {
    pub(super) fn start(create: impl Future<Output = T>) -> Process<T> {
        let runtime =
            Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
        let state = runtime.block_on(create);
        Process { runtime, state, behind: Duration::ZERO }
    }

    /// Lets time pass, and the tasks do what they can, unless the process is stopped.
    pub(super) fn proceed(&mut self, duration: Duration, is_stopped: bool) {
        self.behind += duration;
        if is_stopped {
            return;
        }
        let behind = std::mem::take(&mut self.behind);
        self.runtime.block_on(async {
            advance(behind).await;
            for _ in 0..SETTLE_ROUNDS {
                yield_now().await;
            }
        });
    }

    /// Calls a function with the state, on the clock of the process.
    pub(super) fn with<R>(&self, function: impl FnOnce(&T) -> R) -> R {
        let _guard = self.runtime.enter();
        function(&self.state)
    }
}
