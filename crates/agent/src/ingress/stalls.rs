//! Detects that the process was stalled, and for how long requests may have waited unread meanwhile.
//!
//! A request that arrives while the process is frozen is read when it resumes. Its caller may have given it up and sent
//! it again elsewhere, so it must not be taken for one that was sent just now. Bytes that are read after a stall may have
//! arrived at any time during the stall, unless their connection was found empty since. The end of each stall wakes all
//! connections, so that each is found empty soon.

use std::{
    collections::VecDeque,
    os::fd::AsFd,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use model::Timestamp;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use tokio::{
    sync::watch,
    time::{MissedTickBehavior, interval},
};

use crate::clock::Clock;

/// Interval at which the process shows that it runs.
const TICK: Duration = Duration::from_millis(25);
/// Shortest gap between two ticks that counts as a stall. Within a shorter one, no lease can be lost and granted anew.
const STALL_MIN: Duration = Duration::from_millis(100);
/// Number of stalls whose starts are kept.
const STALLS_MAX: usize = 64;

/// The stalls of the process, once any request needs to know of them.
#[derive(Debug)]
pub(crate) struct StallDetector {
    clock: Clock,
    /// Time of the last tick on the process's clock, in nanoseconds; 0 before the first.
    last_tick_ns: AtomicU64,
    /// Starts of the last stalls.
    starts: Mutex<VecDeque<Timestamp>>,
    /// Number of stalls so far.
    count: watch::Sender<u64>,
}

impl StallDetector {
    pub(crate) fn new(clock: Clock) -> StallDetector {
        StallDetector {
            clock,
            last_tick_ns: AtomicU64::new(0),
            starts: Mutex::default(),
            count: watch::Sender::new(0),
        }
    }

    /// Detects stalls of the current runtime from now on.
    pub(super) fn enable(self: &Arc<StallDetector>) {
        let now = self.clock.now();
        let enabled =
            self.last_tick_ns.compare_exchange(0, now.ns, Ordering::SeqCst, Ordering::SeqCst);
        if enabled.is_ok() {
            tokio::spawn(tick(Arc::downgrade(self)));
        }
    }

    /// Returns a receiver that is notified of the end of each stall.
    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.count.subscribe()
    }

    /// Returns the number of stalls so far.
    pub(super) fn count(&self) -> u64 {
        *self.count.borrow()
    }

    /// Returns the longest time for which bytes that are read now may have waited, on a connection that was last found
    /// empty after this number of stalls. Zero if there was none since.
    pub(super) fn longest_wait(&self, empty_after: u64) -> Duration {
        let last_tick = Timestamp { ns: self.last_tick_ns.load(Ordering::SeqCst) };
        if last_tick == Timestamp::ZERO {
            return Duration::ZERO;
        }
        let now = self.clock.now();
        let starts = self.starts();
        let stalls_since = usize::try_from(self.count() - empty_after).unwrap_or(usize::MAX);
        let first_since = starts.len().checked_sub(stalls_since);
        let started = match (stalls_since, first_since) {
            // A stall that has just ended is recorded by the next tick only.
            (0, _) if now.since(last_tick) >= STALL_MIN => last_tick,
            (0, _) => now,
            (_, Some(index)) => starts[index],
            (_, None) => Timestamp::ZERO,
        };
        now.since(started)
    }

    fn starts(&self) -> MutexGuard<'_, VecDeque<Timestamp>> {
        self.starts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_tick(&self) {
        let now = self.clock.now();
        let last_tick = Timestamp { ns: self.last_tick_ns.load(Ordering::SeqCst) };
        if now.since(last_tick) >= STALL_MIN {
            let mut starts = self.starts();
            starts.push_back(last_tick);
            if starts.len() > STALLS_MAX {
                starts.pop_front();
            }
            // Under the lock, so that the number matches the starts.
            self.count.send_modify(|it| *it += 1);
        }
        self.last_tick_ns.store(now.ns, Ordering::SeqCst);
    }
}

/// Returns whether a socket has bytes to read, or connections to accept. Asks the system, since the runtime has not
/// been notified yet of what arrived during a stall.
pub(crate) fn is_readable(socket: impl AsFd) -> bool {
    let mut polled = [PollFd::new(socket.as_fd(), PollFlags::POLLIN)];
    // After an error, the socket counts as readable, so that requests read from it count as old.
    poll(&mut polled, PollTimeout::ZERO) != Ok(0)
}

async fn tick(detector: Weak<StallDetector>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Some(detector) = detector.upgrade() else { return };
        detector.record_tick();
    }
}
