//! A client's connection, as the HTTP server reads and writes it.
//!
//! The server gets only complete heads, and the bodies that follow them. What is not complete is kept here within the
//! connection's room and the time that clients may take.

use std::{
    collections::VecDeque,
    future::poll_fn,
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use http::request::Parts;
use hyper::rt;
use tokio::{
    io::AsyncWrite,
    net::TcpStream,
    time::{Instant, Sleep, sleep, timeout},
};

use crate::{
    connections::{
        budget::{ConnectionPermit, Phase},
        framing::{Frame, FramingError, RequestFramer},
    },
    ingress::is_readable,
    snapshot::SnapshotCell,
};

/// Number of bytes read at a time.
const READ_BYTES: usize = 4 << 10;
/// Limit of bytes read before the server asks for them: some dozen heads, or a part of a body. The server's own buffer
/// grows with it, so that a connection on which a body is received takes several times as much.
const READ_AHEAD_BYTES_MAX: usize = 16 << 10;
/// Room of a request that is sent ahead of its turn, as buffered bytes: it may be started before its turn, with a task and
/// parsed headers of its own.
const AHEAD_REQUEST_BYTES: usize = 5 << 10;
/// Interval at which a connection that is overdue, but has bytes to read, is checked again.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Deadline of a timer that has not been set.
const NEVER: Duration = Duration::from_secs(365 * 24 * 3600);
/// Bytes that are read and discarded after a refusal, and the time for it. Closing a connection with unread bytes resets
/// it, and the client could lose the refusal.
const DISCARDED_BYTES_MAX: usize = 256 << 10;
const DISCARD_TIME_MAX: Duration = Duration::from_secs(1);

/// Whether the client is still connected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PeerState {
    Connected,
    /// The client has closed its connection before all of its requests were answered.
    Disconnected,
}

/// Takes part in the reading of a connection.
pub(crate) trait ConnectionObserver: Send + 'static {
    /// Called before the connection is asked for bytes.
    fn before_read(&mut self) {}
    /// Called when the connection was asked and had no bytes.
    fn found_empty(&mut self, _stream: &TcpStream) {}
    /// Called when bytes were read, before their heads are handled.
    fn after_read(&mut self) {}
    /// Handles a complete head, before the server gets it. The head is `None` if the request must not be started before
    /// its turn: it has a body, or there is no room.
    fn handle_head(&mut self, _turn: Turn, _head: Option<Box<Parts>>) {}
}

impl ConnectionObserver for () {}

/// The place of a request on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Turn {
    /// Number of the request, from 0.
    pub(crate) number: u64,
    /// Number of requests that were answered.
    pub(crate) answered_count: u64,
}

/// A client's connection. Clones share it.
pub(crate) struct ClientStream<O> {
    shared: Arc<Mutex<Shared<O>>>,
}

impl<O> Clone for ClientStream<O> {
    fn clone(&self) -> ClientStream<O> {
        ClientStream { shared: Arc::clone(&self.shared) }
    }
}

struct Shared<O> {
    stream: TcpStream,
    permit: ConnectionPermit,
    phase: Phase,
    snapshots: Arc<SnapshotCell>,
    observer: O,
    /// Bytes that the server has not read: `framed_len` ones that it may read, and the begin of the next frame.
    buffer: BytesMut,
    framed_len: usize,
    framer: RequestFramer,
    is_at_end: bool,
    /// Number of complete heads.
    head_count: u64,
    /// Number of requests that the server has begun to serve.
    begun_count: u64,
    /// Number of requests that the server has an answer to.
    answered_count: u64,
    /// Lengths of the heads of the requests that are not answered.
    unanswered_heads: VecDeque<usize>,
    /// Whether all answers have been passed to the socket.
    is_flushed: bool,
    /// When the first bytes were read of a head that is not complete.
    head_since: Option<Instant>,
    /// When bytes were read or written last.
    active_at: Instant,
    /// Since when the client has taken none of the bytes that are to be written.
    write_blocked_since: Option<Instant>,
    /// Set if the client's next request is refused unread. The connection ends once the earlier ones are answered.
    refusal: Option<Bytes>,
    timer: Pin<Box<Sleep>>,
}

impl<O: ConnectionObserver> ClientStream<O> {
    pub(crate) fn new(
        stream: TcpStream,
        permit: ConnectionPermit,
        snapshots: Arc<SnapshotCell>,
        observer: O,
    ) -> ClientStream<O> {
        let shared = Shared {
            stream,
            permit,
            phase: Phase::Incomplete,
            snapshots,
            observer,
            buffer: BytesMut::new(),
            framed_len: 0,
            framer: RequestFramer::default(),
            is_at_end: false,
            head_count: 0,
            begun_count: 0,
            answered_count: 0,
            unanswered_heads: VecDeque::new(),
            is_flushed: true,
            head_since: None,
            active_at: Instant::now(),
            write_blocked_since: None,
            refusal: None,
            timer: Box::pin(sleep(NEVER)),
        };
        ClientStream { shared: Arc::new(Mutex::new(shared)) }
    }

    fn shared(&self) -> MutexGuard<'_, Shared<O>> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn with_observer<T>(&self, use_observer: impl FnOnce(&mut O) -> T) -> T {
        use_observer(&mut self.shared().observer)
    }

    /// Records that the server begins to serve the next request, and returns its number.
    pub(crate) fn begin_request(&self) -> u64 {
        let mut shared = self.shared();
        shared.begun_count += 1;
        shared.update_phase();
        shared.begun_count - 1
    }

    /// Records that the server has the answer to a request.
    pub(crate) fn record_answer(&self) {
        let mut shared = self.shared();
        shared.answered_count += 1;
        shared.is_flushed = false;
        shared.unanswered_heads.pop_front();
        shared.update_phase();
    }

    /// Returns whether bytes of the client, or the end of the connection, are ready for the server.
    pub(crate) fn has_unread(&self) -> bool {
        let shared = self.shared();
        shared.framed_len > 0 || is_readable(&shared.stream)
    }

    /// Reads ahead of the server.
    pub(crate) fn poll_read_ahead(&self, cx: &mut Context<'_>) -> PeerState {
        let mut shared = self.shared();
        // The server sees the error when it reads.
        let _: Poll<io::Result<()>> = shared.poll_fill(cx);
        match shared.is_at_end && shared.begun_count > shared.answered_count {
            true => PeerState::Disconnected,
            false => PeerState::Connected,
        }
    }

    /// Returns whether the server must not read any further request of the connection.
    pub(crate) fn must_end(&self) -> bool {
        let shared = self.shared();
        let is_unframed = shared.framer.is_unframed() && shared.begun_count > 0;
        let has_answered_all = shared.request_count() == shared.answered_count;
        has_answered_all && (is_unframed || (shared.refusal.is_some() && shared.framed_len == 0))
    }

    /// Resolves when the connection has to be closed: the client is overdue, or others need its room.
    pub(crate) async fn must_close(&self) {
        let eviction = self.shared().permit.eviction();
        tokio::select! {
            () = poll_fn(|cx| self.shared().poll_overdue(cx)) => {}
            () = eviction => {}
        }
    }

    /// Reads what the client still sends after a refusal, so that it gets the refusal.
    pub(crate) async fn discard_rest(&self) {
        if self.shared().refusal.is_none() {
            return;
        }
        let discarding = async {
            let mut left = DISCARDED_BYTES_MAX;
            while let Some(left_then) = left.checked_sub(READ_BYTES) {
                left = left_then;
                match poll_fn(|cx| self.shared().poll_discard(cx)).await {
                    Ok(1..) => {}
                    Ok(0) | Err(_) => return,
                }
            }
        };
        // After a timeout, the connection is closed.
        _ = timeout(DISCARD_TIME_MAX, discarding).await;
    }
}

impl<O: ConnectionObserver> Shared<O> {
    /// Returns whether a part of the next head has been read.
    fn is_head_partial(&self) -> bool {
        self.framer.is_at_head() && self.buffer.len() > self.framed_len
    }

    /// Returns whether the server waits for a request, of which at most a part of the head has been read.
    fn is_head_awaited(&self) -> bool {
        self.framed_len == 0 && self.begun_count == self.answered_count && self.framer.is_at_head()
    }

    /// Returns the number of requests whose heads are complete, also of one that only the server could parse.
    fn request_count(&self) -> u64 {
        self.head_count.max(self.begun_count)
    }

    /// Returns the number of requests that have been received whole.
    fn complete_count(&self) -> u64 {
        self.request_count() - u64::from(self.framer.is_inside_body())
    }

    /// Returns the number of buffered bytes that the connection needs room for.
    fn buffered_bytes(&self) -> usize {
        let mut heads = self.unanswered_heads.iter();
        let first = heads.next().copied().unwrap_or(0);
        let ahead: usize = heads.map(|it| (*it).max(AHEAD_REQUEST_BYTES)).sum();
        self.buffer.len() + first + ahead
    }

    fn update_phase(&mut self) {
        let phase = match () {
            () if self.write_blocked_since.is_some() => Phase::Unread,
            () if self.complete_count() > self.answered_count || !self.is_flushed => Phase::Busy,
            () if self.request_count() == 0 || self.is_head_partial() => Phase::Incomplete,
            () if self.framer.is_inside_body() => Phase::Incomplete,
            () => Phase::Idle,
        };
        if self.phase != phase {
            self.phase = phase;
            self.permit.set_phase(phase);
        }
    }

    fn wants_bytes(&self) -> bool {
        !self.is_at_end
            && self.refusal.is_none()
            && (self.buffer.len() < READ_AHEAD_BYTES_MAX || self.is_head_awaited())
    }

    /// Reserves room for the bytes that are read next. Returns false if there is none.
    fn reserve(&mut self) -> bool {
        let bytes = self.buffered_bytes() + READ_BYTES;
        match self.is_head_awaited() {
            true if self.permit.reserve(bytes) => true,
            true => {
                self.refuse(&no_room_refusal());
                false
            }
            false if self.permit.try_reserve(bytes) => true,
            // Without room for more, a body is read in small parts.
            false => {
                self.buffer.is_empty() || (self.framed_len == 0 && self.framer.is_inside_body())
            }
        }
    }

    /// Reads the available bytes, up to [`READ_AHEAD_BYTES_MAX`] or the end of the head that the server waits for.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.wants_bytes() {
            self.observer.before_read();
            let Poll::Ready(is_ready) = self.stream.poll_read_ready(cx) else {
                self.observer.found_empty(&self.stream);
                return Poll::Pending;
            };
            is_ready?;
            if !self.reserve() {
                return Poll::Ready(Ok(()));
            }
            self.buffer.reserve(READ_BYTES);
            match self.stream.try_read_buf(&mut (&mut self.buffer).limit(READ_BYTES)) {
                Ok(0) => self.is_at_end = true,
                Ok(_) => {
                    self.active_at = Instant::now();
                    self.observer.after_read();
                    self.find_frames();
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => {
                    self.is_at_end = true;
                    return Poll::Ready(Err(error));
                }
            }
        }
        Poll::Ready(Ok(()))
    }

    /// Finds the complete frames in the bytes that were read.
    fn find_frames(&mut self) {
        let head_bytes_max = self.snapshots.client_limits().head_bytes_max;
        loop {
            let frame = self.framer.next_frame(&self.buffer[self.framed_len..], head_bytes_max);
            match frame {
                Frame::EmptyLines(len) if self.framed_len == 0 => self.buffer.advance(len),
                Frame::EmptyLines(len) | Frame::Body(len) => self.framed_len += len,
                Frame::Head(head) => {
                    self.framed_len += head.len;
                    self.unanswered_heads.push_back(head.len);
                    let (number, answered_count) = (self.head_count, self.answered_count);
                    self.head_count += 1;
                    let is_ahead = number > answered_count;
                    let has_room = !is_ahead || self.permit.try_reserve(self.buffered_bytes());
                    let bodiless = head.bodiless.filter(|_| has_room);
                    self.observer.handle_head(Turn { number, answered_count }, bodiless);
                }
                Frame::Unframed => {
                    self.framed_len = self.buffer.len();
                    break;
                }
                Frame::Rejected(error) => {
                    self.refuse(&framing_refusal(error));
                    break;
                }
                Frame::Incomplete => break,
            }
        }
        match self.is_head_partial() {
            true => drop(self.head_since.get_or_insert_with(Instant::now)),
            false => self.head_since = None,
        }
        self.update_phase();
    }

    fn refuse(&mut self, refusal: &str) {
        self.buffer.truncate(self.framed_len);
        self.refusal = Some(Bytes::copy_from_slice(refusal.as_bytes()));
    }

    /// Returns when the client is overdue, if it is the one to act.
    fn overdue_at(&self) -> Option<Instant> {
        let limits = self.snapshots.client_limits();
        if let Some(since) = self.write_blocked_since {
            return Some(since + limits.idle_time_max);
        }
        match self.head_since {
            _ if self.begun_count > self.answered_count || self.framed_len > 0 => None,
            Some(since) => Some(since + limits.head_time_max),
            None => Some(self.active_at + limits.idle_time_max),
        }
    }

    fn poll_overdue(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            let now = Instant::now();
            let overdue_at = self.overdue_at();
            if overdue_at.is_some_and(|it| it <= now) {
                let is_unread = self.write_blocked_since.is_none() && is_readable(&self.stream);
                // After a suspension of the process, the bytes that have arrived meanwhile are read first.
                if !is_unread {
                    log::debug!(target: "connections", "A client sent no complete head, sent no request or took no answer in time; closing its connection.");
                    return Poll::Ready(());
                }
            }
            let check_at = match overdue_at {
                Some(at) if at > now => at,
                Some(_) => now + OVERDUE_CHECK_INTERVAL,
                None => now + self.snapshots.client_limits().idle_time_max,
            };
            // A timer that fires early is set again; this saves setting it with each request.
            if check_at < self.timer.deadline() || self.timer.is_elapsed() {
                self.timer.as_mut().reset(check_at);
            }
            ready!(self.timer.as_mut().poll(cx));
        }
    }

    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut bytes = [0; READ_BYTES];
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(&mut bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn poll_write_with(
        &mut self,
        cx: &mut Context<'_>,
        write: impl FnOnce(Pin<&mut TcpStream>, &mut Context<'_>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let result = write(Pin::new(&mut self.stream), cx);
        match &result {
            Poll::Pending => drop(self.write_blocked_since.get_or_insert_with(Instant::now)),
            Poll::Ready(_) => {
                self.write_blocked_since = None;
                self.active_at = Instant::now();
            }
        }
        self.update_phase();
        result
    }
}

fn framing_refusal(error: FramingError) -> String {
    let status = match error {
        FramingError::HeadTooLarge { .. } => "431 Request Header Fields Too Large",
        FramingError::TooManyEmptyLines => "400 Bad Request",
    };
    refusal(status, "", &error.to_string())
}

/// Returns the refusal of a request that was not read, since all room is taken.
pub(super) fn no_room_refusal() -> String {
    refusal("503 Service Unavailable", "retry-after: 1\r\n", "too many connections")
}

fn refusal(status: &str, headers: &str, reason: &str) -> String {
    let len = reason.len() + 1;
    format!(
        "HTTP/1.1 {status}\r\n{headers}content-length: {len}\r\nconnection: close\r\n\r\n{reason}\n"
    )
}

impl<O: ConnectionObserver> rt::Read for ClientStream<O> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: rt::ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut shared = self.shared();
        if shared.framed_len == 0 && !shared.is_at_end {
            if let Poll::Ready(Err(error)) = shared.poll_fill(cx) {
                return Poll::Ready(Err(error));
            }
            if shared.framed_len == 0 && !shared.is_at_end {
                return Poll::Pending;
            }
        }
        let len = shared.framed_len.min(buf.remaining());
        buf.put_slice(&shared.buffer[..len]);
        shared.buffer.advance(len);
        shared.framed_len -= len;
        if shared.buffer.is_empty() {
            shared.buffer = BytesMut::new();
        }
        Poll::Ready(Ok(()))
    }
}

impl<O: ConnectionObserver> rt::Write for ClientStream<O> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.shared().poll_write_with(cx, |stream, cx| stream.poll_write(cx, buf))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut shared = self.shared();
        ready!(Pin::new(&mut shared.stream).poll_flush(cx))?;
        // The server flushes once it has written each answer whole, since all bodies are in memory.
        shared.is_flushed = true;
        shared.update_phase();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut shared = self.shared();
        while let Some(mut refusal) = shared.refusal.clone().filter(Buf::has_remaining) {
            let written =
                ready!(shared.poll_write_with(cx, |stream, cx| stream.poll_write(cx, &refusal)))?;
            refusal.advance(written);
            shared.refusal = Some(refusal);
        }
        Pin::new(&mut shared.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.shared().stream.is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.shared().poll_write_with(cx, |stream, cx| stream.poll_write_vectored(cx, bufs))
    }
}
