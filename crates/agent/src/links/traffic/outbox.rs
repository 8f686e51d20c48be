//! What waits to be written on a traffic link.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use tokio::sync::mpsc;
use wire::traffic::Frame;

use crate::links::socket::{Outbound, Outbox};

/// How many small messages wait.
const SMALL_MAX: usize = 1024;
/// How many parts of large messages wait: little, so that they mix fairly.
const LARGE_MAX: usize = 4;
/// How many small messages are written for each waiting part of a large one.
const SMALL_PER_LARGE: u32 = 16;

/// One frame to be written.
#[derive(Debug)]
pub(super) struct Outgoing {
    pub(super) message: Outbound,
    /// Set when the frame is taken to be written: from then on it may have reached the peer.
    pub(super) written: Option<Arc<AtomicBool>>,
}

impl Outgoing {
    pub(super) fn new(frame: &Frame, written: Option<Arc<AtomicBool>>) -> Outgoing {
        let bytes = frame.to_bytes();
        let head_len = bytes.len() - frame.body_part_len();
        Outgoing { message: Outbound { bytes: bytes.into(), head_len }, written }
    }
}

/// The sending ends. Messages in one frame and those in many go apart, each in order.
#[derive(Debug)]
pub(super) struct Senders {
    pub(super) small: mpsc::Sender<Outgoing>,
    pub(super) large: mpsc::Sender<Outgoing>,
}

/// The receiving end of a link's writer.
#[derive(Debug)]
pub(crate) struct TrafficOutbox {
    small: mpsc::Receiver<Outgoing>,
    large: mpsc::Receiver<Outgoing>,
    small_in_row: u32,
}

pub(super) fn channel() -> (Senders, TrafficOutbox) {
    let (small, small_receiver) = mpsc::channel(SMALL_MAX);
    let (large, large_receiver) = mpsc::channel(LARGE_MAX);
    let outbox = TrafficOutbox { small: small_receiver, large: large_receiver, small_in_row: 0 };
    (Senders { small, large }, outbox)
}

fn take(outgoing: Outgoing) -> Outbound {
    if let Some(written) = outgoing.written {
        written.store(true, Ordering::SeqCst);
    }
    outgoing.message
}

impl Outbox for TrafficOutbox {
    async fn next(&mut self) -> Option<Outbound> {
        if let Some(bytes) = self.try_next() {
            return Some(bytes);
        }
        tokio::select! {
            Some(outgoing) = self.small.recv() => Some(take(outgoing)),
            Some(outgoing) = self.large.recv() => Some(take(outgoing)),
            else => None,
        }
    }

    fn try_next(&mut self) -> Option<Outbound> {
        if self.small_in_row < SMALL_PER_LARGE
            && let Ok(outgoing) = self.small.try_recv()
        {
            self.small_in_row += 1;
            return Some(take(outgoing));
        }
        self.small_in_row = 0;
        let outgoing = self.large.try_recv().or_else(|_| self.small.try_recv()).ok()?;
        Some(take(outgoing))
    }
}
