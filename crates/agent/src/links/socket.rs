//! Drives one established link: reads, writes and detects a peer that stopped responding.

use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt, stream::SplitSink, stream::SplitStream};
use tokio::{
    sync::Notify,
    time::{Instant, MissedTickBehavior, interval, timeout},
};
use tokio_tungstenite::tungstenite::{self, Message};
use wire::{HeadDecoder, HeadEncoder};

use crate::links::handshake::Socket;

/// Interval at which a link checks that its peer responds.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time within which a peer must respond to a ping.
const PING_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time within which a batch must be written.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest number of messages written before a flush.
const BATCH_MESSAGES_MAX: usize = 64;

/// A message to be written: a head, which is compressed, and a body, which is not.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct OutboundMessage {
    pub(crate) bytes: Bytes,
    pub(crate) head_len: usize,
}

impl OutboundMessage {
    /// A message without a body.
    pub(crate) fn head(bytes: Bytes) -> OutboundMessage {
        OutboundMessage { head_len: bytes.len(), bytes }
    }
}

/// The source of the messages that a link writes.
pub(crate) trait Outbox: Send {
    /// Waits for a message. Returns `None` if the link is to be closed.
    fn next(&mut self) -> impl Future<Output = Option<OutboundMessage>> + Send;
    /// Returns a message if one is available without waiting.
    fn try_next(&mut self) -> Option<OutboundMessage>;
}

/// The consumer of the messages that a link reads.
pub(crate) trait Inbox: Send {
    /// Handles one message. An error closes the link.
    fn handle(&mut self, message: Bytes) -> impl Future<Output = Result<(), anyhow::Error>> + Send;
}

/// The reason for which a link was closed.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum LinkError {
    #[error("{0}")]
    Socket(#[from] Box<tungstenite::Error>),
    #[error("received a WebSocket message that is not binary")]
    UnexpectedMessage,
    #[error("the peer stopped responding")]
    PeerUnresponsive,
    #[error("{0:#}")]
    Message(anyhow::Error),
}

/// Runs a link until either side closes it or it fails. Notifying `ping_request` sends a ping even if there is
/// nothing to write, so that a peer that stopped responding is detected.
pub(crate) async fn run(
    socket: Socket,
    mut outbox: impl Outbox,
    mut inbox: impl Inbox,
    ping_request: &Notify,
) -> Result<(), LinkError> {
    let (mut sink, mut stream) = socket.split();
    let last_received = std::sync::Mutex::new(Instant::now());
    tokio::select! {
        result = read(&mut stream, &mut inbox, &last_received) => result,
        result = write(&mut sink, &mut outbox, &last_received, ping_request) => result,
    }
}

/// The time at which the last message was received.
type LastReceived = std::sync::Mutex<Instant>;

fn boxed(error: tungstenite::Error) -> LinkError {
    LinkError::Socket(Box::new(error))
}

async fn read(
    stream: &mut SplitStream<Socket>,
    inbox: &mut impl Inbox,
    last_received: &LastReceived,
) -> Result<(), LinkError> {
    let mut decoder = HeadDecoder::default();
    while let Some(message) = stream.next().await {
        *last_received.lock().expect("no panic while held") = Instant::now();
        match message.map_err(boxed)? {
            Message::Binary(bytes) => {
                let message = decoder.decode(&bytes).map_err(anyhow::Error::from);
                let message = message.map_err(LinkError::Message)?;
                inbox.handle(message.into()).await.map_err(LinkError::Message)?;
            }
            Message::Ping(_) | Message::Pong(_) => {}
            Message::Close(_) => return Ok(()),
            Message::Text(_) | Message::Frame(_) => return Err(LinkError::UnexpectedMessage),
        }
    }
    Ok(())
}

async fn write(
    sink: &mut SplitSink<Socket, Message>,
    outbox: &mut impl Outbox,
    last_received: &LastReceived,
    ping_request: &Notify,
) -> Result<(), LinkError> {
    let mut check = interval(CHECK_INTERVAL);
    check.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut encoder = HeadEncoder::default();
    let mut pinged_at: Option<Instant> = None;
    let mut written_at: Option<Instant> = None;
    loop {
        tokio::select! {
            message = outbox.next() => {
                let Some(message) = message else {
                    return sink.close().await.map_err(boxed);
                };
                written_at = written_at.or_else(|| Some(Instant::now()));
                timeout(WRITE_TIMEOUT, feed_batch(sink, &mut encoder, message, outbox))
                    .await
                    .unwrap_or(Err(LinkError::PeerUnresponsive))?;
            }
            () = ping_request.notified(), if pinged_at.is_none() => {
                pinged_at = Some(Instant::now());
                sink.send(Message::Ping(Bytes::new())).await.map_err(boxed)?;
            }
            _ = check.tick() => {
                let last_received_at = *last_received.lock().expect("no panic while held");
                written_at = written_at.filter(|at| *at > last_received_at);
                pinged_at = pinged_at.filter(|at| *at > last_received_at);
                match (pinged_at, written_at) {
                    (Some(at), _) if at.elapsed() > PING_TIMEOUT => return Err(LinkError::PeerUnresponsive),
                    (None, Some(at)) if at.elapsed() > CHECK_INTERVAL => {
                        pinged_at = Some(Instant::now());
                        sink.send(Message::Ping(Bytes::new())).await.map_err(boxed)?;
                    }
                    _ => {}
                }
            }
        }
    }
}

async fn feed_batch(
    sink: &mut SplitSink<Socket, Message>,
    encoder: &mut HeadEncoder,
    first: OutboundMessage,
    outbox: &mut impl Outbox,
) -> Result<(), LinkError> {
    let mut encoded =
        |it: OutboundMessage| Message::Binary(encoder.encode(&it.bytes, it.head_len).into());
    sink.feed(encoded(first)).await.map_err(boxed)?;
    for _ in 1..BATCH_MESSAGES_MAX {
        let Some(message) = outbox.try_next() else { break };
        sink.feed(encoded(message)).await.map_err(boxed)?;
    }
    sink.flush().await.map_err(boxed)
}
