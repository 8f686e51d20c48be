//! HTTP pipelining: starts requests that a caller sends before its earlier ones are answered.
//!
//! Many callers send two or more reads at once. Served one after the other, the second waits for the first: of
//! 4,250 requests under low load, 1,015 had used over half of their objective before an upstream saw them. So
//! the bytes read from the caller are scanned for heads of further requests. Idempotent ones are started
//! early, and the server takes their responses when their turn comes.
//!
//! Invariants: the server sends responses in the order of the requests. Only idempotent requests are started
//! early, so that a caller can resend those that follow a response which closes the connection. The limits
//! below bound how much is read ahead and how many requests are started early.

use std::{
    collections::VecDeque,
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Buf, BytesMut};
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Uri,
    header::{CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING, UPGRADE},
    request::Parts,
};
use hyper::rt;
use tokio::{
    io::AsyncWrite,
    net::TcpStream,
    task::JoinHandle,
    time::{Instant, sleep_until},
};
use volo_http::{body::Body, response::Response};

use crate::ingress::{Ingress, stalls::is_readable};

/// Limit of bytes read before the server asks for them: some dozen heads, or a part of a body. The server's own buffer
/// grows with it, so that a connection on which a body is received takes several times as much.
const READ_AHEAD_BYTES_MAX: usize = 16 << 10;
/// Largest number of requests of one connection that are started early. Further ones are served in turn.
const EARLY_REQUESTS_MAX: usize = 8;
/// Largest head that is scanned, in bytes and by its number of headers. A request with a larger one, and those
/// that follow it, are served in turn.
const SCANNED_HEAD_BYTES_MAX: usize = 16 << 10;
const SCANNED_HEADERS_MAX: usize = 64;
/// Longest time from the first byte of a request to the end of its head. Callers may stay idle between requests.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval at which a connection with an overdue head is checked for further bytes.
const HEAD_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Whether the caller is still connected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PeerState {
    Connected,
    /// The caller has closed its connection before all of its requests were answered.
    Disconnected,
}

/// A caller's connection that is read ahead of the server. Clones share it.
#[derive(Clone)]
pub(super) struct ReadAheadStream {
    shared: Arc<Mutex<Shared>>,
    ingress: Arc<Ingress>,
}

struct Shared {
    stream: TcpStream,
    /// Number of stalls of the process after which the connection was last found empty.
    empty_after_stalls: u64,
    /// Longest time for which the bytes read last may have waited unread.
    longest_wait: Duration,
    /// Bytes read from the caller but not yet by the server.
    unread: BytesMut,
    is_at_end: bool,
    scanner: HeadScanner,
    /// Number of requests that the server has begun to serve.
    begun_count: u64,
    /// Number of requests that the server has answered.
    answered_count: u64,
    /// When the first bytes were read of a head that is not complete.
    head_since: Option<Instant>,
    /// Requests started early, with their numbers on the connection.
    early_requests: VecDeque<(u64, EarlyRequest)>,
    /// Number of the last request that is not idempotent. Later ones start only after it is answered, since
    /// they may depend on its effect.
    barrier: Option<u64>,
}

/// A request that was started before its turn. Dropping it cancels the request.
pub(super) struct EarlyRequest {
    head: Parts,
    task: JoinHandle<Response>,
}

impl Drop for EarlyRequest {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl EarlyRequest {
    /// Waits for the response. Returns `None` if the task failed, in which case the request has to be served
    /// again.
    pub(super) async fn answer(mut self) -> Option<Response> {
        match (&mut self.task).await {
            Ok(response) => Some(response),
            Err(error) => {
                log::warn!(target: "ingress", "The task of a request that was started early has failed; serving the request again: {error}.");
                None
            }
        }
    }

    /// Returns whether the request was started from the same head.
    fn is_for(&self, head: &Parts) -> bool {
        self.head.method == head.method
            && self.head.uri == head.uri
            && self.head.headers == head.headers
    }
}

impl ReadAheadStream {
    /// `empty_after_stalls` is the number of stalls of the process after which the connection had certainly not been
    /// opened yet.
    pub(super) fn new(
        stream: TcpStream,
        empty_after_stalls: u64,
        ingress: Arc<Ingress>,
    ) -> ReadAheadStream {
        let shared = Shared {
            stream,
            empty_after_stalls,
            longest_wait: Duration::ZERO,
            unread: BytesMut::new(),
            is_at_end: false,
            scanner: HeadScanner::default(),
            begun_count: 0,
            answered_count: 0,
            head_since: None,
            early_requests: VecDeque::new(),
            barrier: None,
        };
        ReadAheadStream { shared: Arc::new(Mutex::new(shared)), ingress }
    }

    fn shared(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the server begins to serve the next request, and returns that request if it was started
    /// early.
    pub(super) fn take_early(&self, head: &Parts) -> Option<EarlyRequest> {
        let mut shared = self.shared();
        let number = shared.begun_count;
        shared.begun_count += 1;
        let (_, early) = shared.early_requests.pop_front_if(|it| it.0 == number)?;
        let is_same = early.is_for(head);
        if !is_same {
            log::warn!(target: "ingress", "The head scanner and the server parsed a request differently; serving the request again.");
        }
        is_same.then_some(early)
    }

    /// Returns whether bytes of the caller, or the end of the connection, have not been passed to the server.
    pub(super) fn has_unread(&self) -> bool {
        let shared = self.shared();
        !shared.unread.is_empty() || is_readable(&shared.stream)
    }

    /// Returns the longest time for which the request that the server begins to serve may have waited unread.
    pub(super) fn longest_wait(&self) -> Duration {
        self.shared().longest_wait
    }

    /// Waits until the head of a request is overdue and no further bytes of it have arrived.
    pub(super) async fn wait_for_head_timeout(&self) {
        loop {
            let now = Instant::now();
            let head_since = self.shared().idle_head_since();
            let due_at = head_since.unwrap_or(now) + HEAD_TIMEOUT;
            // After a suspension of the process, the bytes that have arrived meanwhile are read first.
            if due_at <= now && !self.has_unread() {
                return;
            }
            sleep_until(due_at.max(now + HEAD_CHECK_INTERVAL)).await;
        }
    }

    /// Records that the server has the response to a request. Returns whether later requests have been started.
    pub(super) fn record_answer(&self) -> bool {
        let mut shared = self.shared();
        shared.answered_count += 1;
        !shared.early_requests.is_empty()
    }

    /// Reads ahead and starts the requests that may be started early.
    pub(super) fn poll_read_ahead(&self, cx: &mut Context<'_>) -> PeerState {
        let mut shared = self.shared();
        // The server sees the error when it reads.
        let _: Poll<io::Result<()>> = shared.poll_fill(cx, &self.ingress);
        match shared.is_at_end && shared.begun_count > shared.answered_count {
            true => PeerState::Disconnected,
            false => PeerState::Connected,
        }
    }
}

impl Shared {
    /// Returns since when a head is incomplete, if no request before it is unanswered.
    fn idle_head_since(&self) -> Option<Instant> {
        self.head_since.filter(|_| self.begun_count == self.answered_count)
    }

    /// Reads the available bytes, up to [`READ_AHEAD_BYTES_MAX`].
    fn poll_fill(&mut self, cx: &mut Context<'_>, ingress: &Arc<Ingress>) -> Poll<io::Result<()>> {
        while !self.is_at_end && self.unread.len() < READ_AHEAD_BYTES_MAX {
            // Taken before, since a stall may begin after the connection was found empty.
            let stall_count = ingress.stalls().count();
            let Poll::Ready(is_ready) = self.stream.poll_read_ready(cx) else {
                if self.empty_after_stalls != stall_count && !is_readable(&self.stream) {
                    self.empty_after_stalls = stall_count;
                }
                return Poll::Pending;
            };
            is_ready?;
            let scanned_len = self.unread.len();
            self.unread.reserve(4096);
            match self.stream.try_read_buf(&mut self.unread) {
                Ok(0) => self.is_at_end = true,
                Ok(_) => {
                    self.longest_wait = ingress.stalls().longest_wait(self.empty_after_stalls);
                    self.start_early_requests(scanned_len, ingress);
                    match self.scanner.is_inside_head() {
                        true => drop(self.head_since.get_or_insert_with(Instant::now)),
                        false => self.head_since = None,
                    }
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

    /// Scans the unread bytes from `scanned_len` on for heads, and starts the requests that may be started.
    fn start_early_requests(&mut self, scanned_len: usize, ingress: &Arc<Ingress>) {
        for (number, head) in self.scanner.scan(&self.unread[scanned_len..]) {
            let Some(head) = head.filter(|it| ingress.may_start_early(it)) else {
                self.barrier = Some(number);
                continue;
            };
            let is_past_barrier = self.barrier.is_none_or(|it| it < self.answered_count);
            // The server itself starts a request that has no unanswered one before it.
            let has_earlier = number > self.answered_count;
            if !has_earlier || !is_past_barrier || self.early_requests.len() >= EARLY_REQUESTS_MAX {
                continue;
            }
            let request = Request::from_parts(head.clone(), Body::empty());
            let ingress = Arc::clone(ingress);
            let task = tokio::spawn(async move { ingress.serve(request).await });
            self.early_requests.push_back((number, EarlyRequest { head, task }));
        }
    }
}

impl rt::Read for ReadAheadStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: rt::ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut shared = self.shared();
        if shared.unread.is_empty() && !shared.is_at_end {
            match shared.poll_fill(cx, &self.ingress) {
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending if shared.unread.is_empty() => return Poll::Pending,
                Poll::Ready(Ok(())) | Poll::Pending => {}
            }
        }
        let len = shared.unread.len().min(buf.remaining());
        buf.put_slice(&shared.unread[..len]);
        shared.unread.advance(len);
        Poll::Ready(Ok(()))
    }
}

impl rt::Write for ReadAheadStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.shared().stream).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.shared().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.shared().stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.shared().stream.is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.shared().stream).poll_write_vectored(cx, bufs)
    }
}

/// Finds the heads of requests in the bytes that a caller sends.
#[derive(Debug, Default)]
pub(super) struct HeadScanner {
    state: ScanState,
    /// Number of heads found.
    head_count: u64,
}

#[derive(Debug)]
enum ScanState {
    /// Inside a head, with its bytes so far.
    Head(BytesMut),
    /// Inside a body, with the number of bytes left.
    Body(u64),
    /// The start of the next request cannot be determined, so that no further heads are found.
    Unknown,
}

impl Default for ScanState {
    fn default() -> ScanState {
        ScanState::Head(BytesMut::new())
    }
}

impl HeadScanner {
    /// Returns whether a part of a head was scanned. Returns false if the start of the next request is unknown.
    fn is_inside_head(&self) -> bool {
        matches!(&self.state, ScanState::Head(partial) if !partial.is_empty())
    }

    /// Scans further bytes. Returns the requests whose heads end in them: their numbers on the connection,
    /// counted from 0, and their heads if they have no body.
    pub(super) fn scan(&mut self, mut bytes: &[u8]) -> Vec<(u64, Option<Parts>)> {
        let mut heads = Vec::new();
        while !bytes.is_empty() {
            match &mut self.state {
                ScanState::Unknown => return heads,
                ScanState::Body(left) => {
                    let skipped = usize::try_from(*left).unwrap_or(usize::MAX).min(bytes.len());
                    bytes = &bytes[skipped..];
                    *left -= skipped as u64;
                    if *left == 0 {
                        self.state = ScanState::default();
                    }
                }
                ScanState::Head(partial) => {
                    let before = partial.len();
                    partial.extend_from_slice(bytes);
                    let (len, head) = match parse(partial) {
                        Parsed::Partial if partial.len() < SCANNED_HEAD_BYTES_MAX => return heads,
                        Parsed::Partial | Parsed::Invalid => {
                            self.state = ScanState::Unknown;
                            return heads;
                        }
                        Parsed::Head(len, head) => (len, head),
                    };
                    bytes = &bytes[len - before..];
                    let number = self.head_count;
                    self.head_count += 1;
                    let len = body_len(&head.headers);
                    heads.push((number, Some(*head).filter(|_| len == Some(0))));
                    self.state = match len {
                        Some(0) => ScanState::default(),
                        Some(len) => ScanState::Body(len),
                        None => ScanState::Unknown,
                    };
                }
            }
        }
        heads
    }
}

enum Parsed {
    Partial,
    /// The head cannot be parsed here; the server decides whether it is an error.
    Invalid,
    /// The length of the head in bytes, and the head.
    Head(usize, Box<Parts>),
}

fn parse(bytes: &[u8]) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; SCANNED_HEADERS_MAX];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(len)) => match request_head(&request) {
            Some(head) => Parsed::Head(len, Box::new(head)),
            None => Parsed::Invalid,
        },
        Ok(httparse::Status::Partial) => Parsed::Partial,
        Err(_) => Parsed::Invalid,
    }
}

fn request_head(request: &httparse::Request<'_, '_>) -> Option<Parts> {
    let mut headers = HeaderMap::with_capacity(request.headers.len());
    for it in request.headers.iter() {
        let name = HeaderName::from_bytes(it.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(it.value).ok()?);
    }
    let (mut head, ()) = Request::new(()).into_parts();
    head.method = Method::from_bytes(request.method?.as_bytes()).ok()?;
    head.uri = request.path?.parse::<Uri>().ok()?;
    head.headers = headers;
    // HTTP/1.0 has no pipelining.
    (request.version == Some(1)).then_some(head)
}

/// Returns the length of the body in bytes, or `None` if it cannot be determined from the headers.
fn body_len(headers: &HeaderMap) -> Option<u64> {
    let special = [TRANSFER_ENCODING, EXPECT, UPGRADE];
    if special.iter().any(|it| headers.contains_key(it)) {
        return None;
    }
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    match (lengths.next(), lengths.next()) {
        (None, _) => Some(0),
        (Some(one), None) => one.to_str().ok()?.parse().ok(),
        (Some(_), Some(_)) => None,
    }
}
