//! Requests that a caller sends before its earlier ones on the connection are answered.
//!
//! The load that this answers: callers that send two or more reads at once. Served one after the other, the
//! second waits for the first: of 4,250 requests of a calm day 1,015 had used over half of their objective before
//! an upstream saw them. What is read is looked through for heads of further requests; those that may be
//! repeated are started at once, and their answers are taken when it is their turn.
//!
//! Invariants: answers go out in the order of the requests, which is the server's doing; only what may be
//! repeated is started ahead, so that a request behind an answer that closes the connection can be sent
//! again by its caller; no more is read or started than the bounds say.

use std::{
    collections::VecDeque,
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, ready},
};

use bytes::{Buf, BytesMut};
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Uri,
    header::{CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING, UPGRADE},
    request::Parts,
};
use hyper::rt;
use tokio::{io::AsyncWrite, net::TcpStream, task::JoinHandle};
use volo_http::{body::Body, response::Response};

use crate::ingress::Ingress;

/// How much is read that the server has not asked for yet, in bytes: some hundred heads, or a body's part.
const READ_AHEAD_MAX: usize = 64 << 10;
/// How many requests of one connection are started ahead. Callers that send more at once have the rest
/// served in turn.
const STARTED_MAX: usize = 8;
/// The longest head that is looked through, in bytes, and its most headers; a request with a longer one
/// and those behind it are served in turn.
const HEAD_BYTES_MAX: usize = 16 << 10;
const HEADERS_MAX: usize = 64;

/// Whether the caller is still there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PeerState {
    Connected,
    /// It has hung up while something that it asked is unanswered.
    HungUp,
}

/// One connection, read ahead of the server. Clones share it.
#[derive(Clone)]
pub(super) struct Ahead {
    shared: Arc<Mutex<Shared>>,
    ingress: Arc<Ingress>,
}

struct Shared {
    stream: TcpStream,
    /// Read from the caller, and not yet by the server.
    unread: BytesMut,
    is_at_end: bool,
    scan: Scan,
    /// Requests that the server has begun to serve, and those that it has answered.
    begun: u64,
    answered: u64,
    started: VecDeque<(u64, Started)>,
    /// The last request that may not be repeated. Those behind it wait for its answer: they may be meant to
    /// see what it does.
    barrier: Option<u64>,
}

/// A request that was started ahead. Dropping it cancels it.
pub(super) struct Started {
    head: Parts,
    task: JoinHandle<Response>,
}

impl Drop for Started {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Started {
    /// None: it has ended without an answer, so it has to be served anew.
    pub(super) async fn answer(mut self) -> Option<Response> {
        match (&mut self.task).await {
            Ok(response) => Some(response),
            Err(error) => {
                log::warn!(target: "ingress", "A request that was started ahead has failed: {error}.");
                None
            }
        }
    }

    fn is_of(&self, head: &Parts) -> bool {
        self.head.method == head.method
            && self.head.uri == head.uri
            && self.head.headers == head.headers
    }
}

impl Ahead {
    pub(super) fn new(stream: TcpStream, ingress: Arc<Ingress>) -> Ahead {
        let shared = Shared {
            stream,
            unread: BytesMut::new(),
            is_at_end: false,
            scan: Scan::default(),
            begun: 0,
            answered: 0,
            started: VecDeque::new(),
            barrier: None,
        };
        Ahead { shared: Arc::new(Mutex::new(shared)), ingress }
    }

    fn shared(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The server begins to serve the next request; this is what was started of it, if so.
    pub(super) fn take_started(&self, head: &Parts) -> Option<Started> {
        let mut shared = self.shared();
        let number = shared.begun;
        shared.begun += 1;
        let (_, started) = shared.started.pop_front_if(|it| it.0 == number)?;
        let is_same = started.is_of(head);
        if !is_same {
            log::warn!(target: "ingress", "A request was read in two ways; it is served anew.");
        }
        is_same.then_some(started)
    }

    /// The server has the answer of a request. Says whether others behind it have been started.
    pub(super) fn answered(&self) -> bool {
        let mut shared = self.shared();
        shared.answered += 1;
        !shared.started.is_empty()
    }

    /// Reads on, and starts what may be started.
    pub(super) fn poll_read_on(&self, cx: &mut Context<'_>) -> PeerState {
        let mut shared = self.shared();
        // An error shows when the server reads.
        let _: Poll<io::Result<()>> = shared.poll_fill(cx, &self.ingress);
        match shared.is_at_end && shared.begun > shared.answered {
            true => PeerState::HungUp,
            false => PeerState::Connected,
        }
    }
}

impl Shared {
    /// Reads what is there, up to the bound.
    fn poll_fill(&mut self, cx: &mut Context<'_>, ingress: &Arc<Ingress>) -> Poll<io::Result<()>> {
        while !self.is_at_end && self.unread.len() < READ_AHEAD_MAX {
            ready!(self.stream.poll_read_ready(cx))?;
            let known = self.unread.len();
            self.unread.reserve(4096);
            match self.stream.try_read_buf(&mut self.unread) {
                Ok(0) => self.is_at_end = true,
                Ok(_) => self.look_through(known, ingress),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => {
                    self.is_at_end = true;
                    return Poll::Ready(Err(error));
                }
            }
        }
        Poll::Ready(Ok(()))
    }

    /// Looks for heads in what was read from `known` on.
    fn look_through(&mut self, known: usize, ingress: &Arc<Ingress>) {
        for (number, head) in self.scan.take(&self.unread[known..]) {
            let Some(head) = head.filter(|it| ingress.may_start_ahead(it)) else {
                self.barrier = Some(number);
                continue;
            };
            let is_free = self.barrier.is_none_or(|it| it < self.answered);
            // The server takes one that nothing is before by itself.
            let is_behind = number > self.answered;
            if !is_behind || !is_free || self.started.len() >= STARTED_MAX {
                continue;
            }
            let request = Request::from_parts(head.clone(), Body::empty());
            let ingress = Arc::clone(ingress);
            let task = tokio::spawn(async move { ingress.call(request).await });
            self.started.push_back((number, Started { head, task }));
        }
    }
}

impl rt::Read for Ahead {
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

impl rt::Write for Ahead {
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

/// Finds the heads of requests in what a caller sends.
#[derive(Debug, Default)]
pub(super) struct Scan {
    place: Place,
    /// Requests whose head has been found.
    found: u64,
}

#[derive(Debug)]
enum Place {
    /// In a head, of which this is known.
    Head(BytesMut),
    /// In a body with so many bytes to come.
    Body(u64),
    /// Where the next request begins is not known, nor for those behind it.
    Lost,
}

impl Default for Place {
    fn default() -> Place {
        Place::Head(BytesMut::new())
    }
}

impl Scan {
    /// Goes on through the bytes. Returns the requests whose heads end there by their numbers on the
    /// connection, from 0, with their heads if they have no body.
    pub(super) fn take(&mut self, mut bytes: &[u8]) -> Vec<(u64, Option<Parts>)> {
        let mut heads = Vec::new();
        while !bytes.is_empty() {
            match &mut self.place {
                Place::Lost => return heads,
                Place::Body(left) => {
                    let skipped = usize::try_from(*left).unwrap_or(usize::MAX).min(bytes.len());
                    bytes = &bytes[skipped..];
                    *left -= skipped as u64;
                    if *left == 0 {
                        self.place = Place::default();
                    }
                }
                Place::Head(known) => {
                    let before = known.len();
                    known.extend_from_slice(bytes);
                    let (len, head) = match parse(known) {
                        Parsed::Partial if known.len() < HEAD_BYTES_MAX => return heads,
                        Parsed::Partial | Parsed::Unclear => {
                            self.place = Place::Lost;
                            return heads;
                        }
                        Parsed::Head(len, head) => (len, head),
                    };
                    bytes = &bytes[len - before..];
                    let number = self.found;
                    self.found += 1;
                    let len = body_len(&head.headers);
                    heads.push((number, Some(*head).filter(|_| len == Some(0))));
                    self.place = match len {
                        Some(0) => Place::default(),
                        Some(len) => Place::Body(len),
                        None => Place::Lost,
                    };
                }
            }
        }
        heads
    }
}

enum Parsed {
    Partial,
    /// It is for the server to say what is wrong with it, if anything.
    Unclear,
    /// A head of so many bytes.
    Head(usize, Box<Parts>),
}

fn parse(bytes: &[u8]) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(len)) => match parts(&request) {
            Some(head) => Parsed::Head(len, Box::new(head)),
            None => Parsed::Unclear,
        },
        Ok(httparse::Status::Partial) => Parsed::Partial,
        Err(_) => Parsed::Unclear,
    }
}

fn parts(request: &httparse::Request<'_, '_>) -> Option<Parts> {
    let mut headers = HeaderMap::with_capacity(request.headers.len());
    for it in request.headers.iter() {
        let name = HeaderName::from_bytes(it.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(it.value).ok()?);
    }
    let (mut head, ()) = Request::new(()).into_parts();
    head.method = Method::from_bytes(request.method?.as_bytes()).ok()?;
    head.uri = request.path?.parse::<Uri>().ok()?;
    head.headers = headers;
    // A caller of HTTP/1.0 waits for each answer.
    (request.version == Some(1)).then_some(head)
}

/// None: it is not known where the body ends.
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
