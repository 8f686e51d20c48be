//! The queues of frames to be written on a traffic link.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use tokio::sync::{Notify, mpsc};
use wire::traffic::Frame;

use crate::links::socket::{OutboundMessage, Outbox};

/// Largest number of queued frames of small messages.
const SMALL_QUEUE_MAX: usize = 1024;
/// Largest number of queued frames of large messages. It is small so that large messages are interleaved fairly.
const LARGE_QUEUE_MAX: usize = 4;
/// Number of small messages written for each queued frame of a large one.
const SMALL_FRAMES_PER_LARGE: u32 = 16;

/// A frame to be written.
#[derive(Debug)]
pub(super) struct QueuedFrame {
    pub(super) message: OutboundMessage,
    /// Set when the frame is dequeued for writing. From then on it may have reached the peer.
    pub(super) written: Option<Arc<AtomicBool>>,
}

impl QueuedFrame {
    pub(super) fn new(frame: &Frame, written: Option<Arc<AtomicBool>>) -> QueuedFrame {
        let bytes = frame.to_bytes();
        let head_len = bytes.len() - frame.body_part_len();
        QueuedFrame { message: OutboundMessage { bytes: bytes.into(), head_len }, written }
    }
}

/// The sending ends of the queues. Messages of one frame and those of several are queued separately, each in
/// order.
#[derive(Debug)]
pub(super) struct Senders {
    pub(super) small: mpsc::Sender<QueuedFrame>,
    pub(super) large: mpsc::Sender<QueuedFrame>,
    /// Makes the link's writer close the link.
    pub(super) close_request: Arc<Notify>,
}

/// The receiving ends of the queues, from which a link's writer takes frames.
#[derive(Debug)]
pub(crate) struct TrafficOutbox {
    small: mpsc::Receiver<QueuedFrame>,
    large: mpsc::Receiver<QueuedFrame>,
    close_request: Arc<Notify>,
    consecutive_small: u32,
}

pub(super) fn channel() -> (Senders, TrafficOutbox) {
    let (small, small_receiver) = mpsc::channel(SMALL_QUEUE_MAX);
    let (large, large_receiver) = mpsc::channel(LARGE_QUEUE_MAX);
    let close_request = Arc::new(Notify::new());
    let outbox = TrafficOutbox {
        small: small_receiver,
        large: large_receiver,
        close_request: Arc::clone(&close_request),
        consecutive_small: 0,
    };
    (Senders { small, large, close_request }, outbox)
}

/// Marks a frame as written and returns its message.
fn mark_written(queued: QueuedFrame) -> OutboundMessage {
    if let Some(written) = queued.written {
        written.store(true, Ordering::SeqCst);
    }
    queued.message
}

impl Outbox for TrafficOutbox {
    async fn next(&mut self) -> Option<OutboundMessage> {
        if let Some(bytes) = self.try_next() {
            return Some(bytes);
        }
        tokio::select! {
            Some(queued) = self.small.recv() => Some(mark_written(queued)),
            Some(queued) = self.large.recv() => Some(mark_written(queued)),
            () = self.close_request.notified() => None,
            else => None,
        }
    }

    fn try_next(&mut self) -> Option<OutboundMessage> {
        if self.consecutive_small < SMALL_FRAMES_PER_LARGE
            && let Ok(queued) = self.small.try_recv()
        {
            self.consecutive_small += 1;
            return Some(mark_written(queued));
        }
        self.consecutive_small = 0;
        let queued = self.large.try_recv().or_else(|_| self.small.try_recv()).ok()?;
        Some(mark_written(queued))
    }
}
