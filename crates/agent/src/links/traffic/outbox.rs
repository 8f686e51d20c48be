//! The queues of frames to be written on a traffic link.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::{
    sync::{Notify, mpsc},
    time::Instant,
};
use wire::traffic::{Frame, Request};

use crate::{
    links::socket::{OutboundMessage, Outbox},
    request::whole_us,
};

/// Largest number of queued frames of small messages.
const SMALL_QUEUE_MAX: usize = 1024;
/// Largest number of queued frames of large messages. It is small so that large messages are interleaved fairly.
const LARGE_QUEUE_MAX: usize = 4;
/// Number of small messages written for each queued frame of a large one.
const SMALL_FRAMES_PER_LARGE: u32 = 16;

/// Longest delay of a request that is not added to its age. Records allow for more than this.
const UNCOUNTED_DELAY_MAX: Duration = Duration::from_millis(20);

/// A frame to be written.
#[derive(Debug)]
pub(super) struct QueuedFrame {
    pub(super) content: QueuedContent,
    /// `None` if the sender can't take the frame back.
    pub(super) claim: Option<Arc<FrameClaim>>,
}

/// Content of a queued frame.
#[derive(Debug)]
pub(super) enum QueuedContent {
    Encoded(OutboundMessage),
    /// A request whose sender has waited since that time, for the link or in the queue. It is encoded when it is
    /// written, so that its times include the wait.
    Request(Box<Request>, Instant),
}

/// Ownership of a queued frame, which passes to the first one to claim it: to the writer, which sends the frame, or to
/// the sender, whose request has timed out or was cancelled. A frame that the sender has claimed is never written.
#[derive(Debug, Default)]
pub(super) struct FrameClaim(AtomicBool);

impl FrameClaim {
    /// Returns whether the frame had not been claimed before.
    pub(super) fn claim(&self) -> bool {
        !self.0.swap(true, Ordering::SeqCst)
    }
}

impl QueuedFrame {
    pub(super) fn new(frame: &Frame) -> QueuedFrame {
        QueuedFrame { content: QueuedContent::Encoded(encode(frame)), claim: None }
    }

    /// Creates the frame of a request that has waited since `since`.
    pub(super) fn request(
        head: Box<Request>,
        since: Instant,
        claim: Arc<FrameClaim>,
    ) -> QueuedFrame {
        QueuedFrame { content: QueuedContent::Request(head, since), claim: Some(claim) }
    }

    /// Claims the frame for writing and returns its message. `None` if the sender has claimed it. A claimed message may
    /// reach the peer.
    fn into_message(self) -> Option<OutboundMessage> {
        let is_claimed = self.claim.is_none_or(|it| it.claim());
        is_claimed.then(|| match self.content {
            QueuedContent::Encoded(message) => message,
            QueuedContent::Request(head, since) => {
                encode(&Frame::Request(delayed(head, since.elapsed())))
            }
        })
    }
}

/// Adds a delay to the times of a request.
fn delayed(mut head: Box<Request>, delay: Duration) -> Box<Request> {
    let delay_us = whole_us(delay);
    head.remaining_us = head.remaining_us.saturating_sub(delay_us);
    head.objective_us = head.objective_us.map(|it| it.saturating_sub(delay_us));
    if delay > UNCOUNTED_DELAY_MAX {
        head.held_us = head.held_us.saturating_add(delay_us);
    }
    head
}

fn encode(frame: &Frame) -> OutboundMessage {
    let bytes = frame.to_bytes();
    let head_len = bytes.len() - frame.body_part_len();
    OutboundMessage { bytes: bytes.into(), head_len }
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

impl TrafficOutbox {
    /// Takes the next frame without waiting. Its sender may have claimed it.
    fn try_next_queued(&mut self) -> Option<QueuedFrame> {
        if self.consecutive_small < SMALL_FRAMES_PER_LARGE
            && let Ok(queued) = self.small.try_recv()
        {
            self.consecutive_small += 1;
            return Some(queued);
        }
        self.consecutive_small = 0;
        self.large.try_recv().or_else(|_| self.small.try_recv()).ok()
    }
}

impl Outbox for TrafficOutbox {
    async fn next(&mut self) -> Option<OutboundMessage> {
        loop {
            if let Some(message) = self.try_next() {
                return Some(message);
            }
            let queued = tokio::select! {
                Some(queued) = self.small.recv() => queued,
                Some(queued) = self.large.recv() => queued,
                () = self.close_request.notified() => return None,
                else => return None,
            };
            if let Some(message) = queued.into_message() {
                return Some(message);
            }
        }
    }

    fn try_next(&mut self) -> Option<OutboundMessage> {
        loop {
            if let Some(message) = self.try_next_queued()?.into_message() {
                return Some(message);
            }
        }
    }
}
