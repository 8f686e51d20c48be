//! The pool.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{
    HeaderMap, Request, Response, Version,
    header::{CONNECTION, HeaderName},
    response::Parts,
};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{
    body::Incoming,
    client::conn::{TrySendError, http1::SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::TcpStream,
    time::{Instant, timeout},
};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// A connection is let go of this much before its peer would close it: whatever is sent at that very
/// moment is lost. A peer names whole seconds.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_000);
/// Probes without an answer after which a connection is given up.
const PROBES: u32 = 2;
/// How long a connection that has just given its answer may take to be ready for the next request.
const READY_MAX: Duration = Duration::from_millis(5);

/// How connections are kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolConfig {
    pub connect_timeout: Duration,
    /// How long a connection is kept unused, if its peer does not name a shorter time.
    pub idle_timeout: Duration,
    /// How many connections are kept unused.
    pub idle_max: usize,
    /// A connection whose peer shows no sign of life for three times this long is given up, also while
    /// it waits for an answer.
    pub probe_interval: Option<Duration>,
}

type Sender = SendRequest<Full<Bytes>>;

/// Connections to one address.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    config: PoolConfig,
    unused: Mutex<Vec<Unused>>,
    connections_opened: AtomicU64,
}

/// Calls whose answers can't be told apart. A peer may send an answer twice, the second one in place of the
/// next answer, so a call of a kind does not directly follow another one on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallKind(pub &'static str);

#[derive(Debug)]
struct Unused {
    sender: Sender,
    until: Instant,
    /// What its last answer was to.
    last: Option<CallKind>,
}

/// A whole answer.
#[derive(Debug)]
pub struct Reply {
    pub parts: Parts,
    pub body: Bytes,
}

/// Why there is no whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum ExchangeError {
    /// No connection could be made, so no byte of the request has left this process.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The peer took a new connection and closed it before any byte of the request was written.
    #[error("closed before the request was sent: {0}")]
    Closed(String),
    /// The request may have arrived.
    #[error("no answer: {0}")]
    Lost(String),
    /// The answer began, and broke off or is too large.
    #[error("broken answer: {0}")]
    Broken(String),
}

impl Pool {
    /// Connects with the first request.
    pub fn new(address: SocketAddr, config: PoolConfig) -> Pool {
        Pool { address, config, unused: Mutex::default(), connections_opened: AtomicU64::new(0) }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections opened since the start.
    pub fn connections_opened(&self) -> u64 {
        self.connections_opened.load(Ordering::Relaxed)
    }

    /// Whether nobody listens at the address. A connection that is made for this is kept for the next request.
    pub async fn refuses_connections(&self) -> bool {
        match self.open().await {
            Ok(stream) => {
                if let Ok(sender) = self.prepared(stream).await {
                    let until = Instant::now() + self.config.idle_timeout;
                    self.keep_until(until, sender, None);
                }
                false
            }
            Err(error) => error.is_some_and(|it| it.kind() == io::ErrorKind::ConnectionRefused),
        }
    }

    /// Sends a request and reads the whole answer. The connection is used again only if `is_reusable`
    /// says so of the answer. Dropping the future closes the connection.
    pub async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        bytes_max: usize,
        is_reusable: impl FnOnce(&Parts) -> bool,
    ) -> Result<Reply, ExchangeError> {
        self.carry(None, request, bytes_max, is_reusable).await
    }

    /// As [`Pool::exchange`], for a call of a kind.
    pub async fn exchange_of_kind(
        &self,
        kind: CallKind,
        request: Request<Full<Bytes>>,
        bytes_max: usize,
        is_reusable: impl FnOnce(&Parts) -> bool,
    ) -> Result<Reply, ExchangeError> {
        self.carry(Some(kind), request, bytes_max, is_reusable).await
    }

    async fn carry(
        &self,
        kind: Option<CallKind>,
        request: Request<Full<Bytes>>,
        bytes_max: usize,
        is_reusable: impl FnOnce(&Parts) -> bool,
    ) -> Result<Reply, ExchangeError> {
        let (sender, response) = self.send(kind, request).await?;
        let (parts, body) = response.into_parts();
        let body = read(body, bytes_max).await?;
        if is_reusable(&parts) {
            self.keep(sender, kind, &parts);
        }
        Ok(Reply { parts, body })
    }

    /// The answer's head, and the connection it came on. What was never written goes on with the next kept
    /// connection, and at last with a new one.
    async fn send(
        &self,
        kind: Option<CallKind>,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Sender, Response<Incoming>), ExchangeError> {
        while let Some(mut sender) = self.take(kind).await {
            match sender.try_send_request(request).await {
                Ok(response) => return Ok((sender, response)),
                Err(mut error) => match unwritten(&mut error) {
                    Some(unwritten) => request = unwritten,
                    None => return Err(ExchangeError::Lost(error.into_error().to_string())),
                },
            }
        }
        let mut sender = self.connect().await?;
        match sender.try_send_request(request).await {
            Ok(response) => Ok((sender, response)),
            Err(mut error) => {
                let is_unwritten = unwritten(&mut error).is_some();
                let reason = error.into_error().to_string();
                Err(match is_unwritten {
                    true => ExchangeError::Closed(reason),
                    false => ExchangeError::Lost(reason),
                })
            }
        }
    }

    fn unused(&self) -> MutexGuard<'_, Vec<Unused>> {
        self.unused.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The connection that was used last of those that are open and may carry the call.
    async fn take(&self, kind: Option<CallKind>) -> Option<Sender> {
        loop {
            let Unused { mut sender, until, .. } = self.pop(kind)?;
            if sender.is_closed() || until <= Instant::now() {
                continue;
            }
            if sender.is_ready() || matches!(timeout(READY_MAX, sender.ready()).await, Ok(Ok(()))) {
                return Some(sender);
            }
        }
    }

    fn pop(&self, kind: Option<CallKind>) -> Option<Unused> {
        let mut unused = self.unused();
        let may_carry = |it: &Unused| kind.is_none() || it.last != kind;
        let place = unused.iter().rposition(may_carry)?;
        Some(unused.remove(place))
    }

    fn keep(&self, sender: Sender, last: Option<CallKind>, parts: &Parts) {
        let kept_for = match keep_alive(&parts.headers) {
            Some(named) => named.saturating_sub(KEEP_ALIVE_MARGIN).min(self.config.idle_timeout),
            None => self.config.idle_timeout,
        };
        if closes(parts) || sender.is_closed() || kept_for.is_zero() {
            return;
        }
        self.keep_until(Instant::now() + kept_for, sender, last);
    }

    fn keep_until(&self, until: Instant, sender: Sender, last: Option<CallKind>) {
        let now = Instant::now();
        let mut unused = self.unused();
        unused.retain(|it| now < it.until && !it.sender.is_closed());
        if unused.len() < self.config.idle_max {
            unused.push(Unused { sender, until, last });
        }
    }

    fn prepare(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let Some(every) = self.config.probe_interval else { return Ok(()) };
        let probes = TcpKeepalive::new().with_time(every).with_interval(every).with_retries(PROBES);
        let socket = SockRef::from(stream);
        socket.set_tcp_keepalive(&probes)?;
        socket.set_tcp_user_timeout(Some(every * (PROBES + 1)))
    }

    async fn connect(&self) -> Result<Sender, ExchangeError> {
        let stream = self.open().await.map_err(|error| match error {
            Some(error) => not_connected(&error),
            None => {
                let limit = self.config.connect_timeout;
                ExchangeError::NotSent(format!("no connection in {limit:?}"))
            }
        })?;
        self.prepared(stream).await
    }

    /// A new connection; an error of none: it took too long.
    async fn open(&self) -> Result<TcpStream, Option<io::Error>> {
        match timeout(self.config.connect_timeout, TcpStream::connect(self.address)).await {
            Ok(result) => result.map_err(Some),
            Err(_) => Err(None),
        }
    }

    async fn prepared(&self, stream: TcpStream) -> Result<Sender, ExchangeError> {
        let closed = |reason: String| ExchangeError::Closed(reason);
        self.connections_opened.fetch_add(1, Ordering::Relaxed);
        self.prepare(&stream).map_err(|error| closed(error.to_string()))?;
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| closed(error.to_string()))?;
        let address = self.address;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(target: "http", "A connection to {address} ended: {error}.");
            }
        });
        Ok(sender)
    }
}

async fn read(body: Incoming, bytes_max: usize) -> Result<Bytes, ExchangeError> {
    match Limited::new(body, bytes_max).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            Err(ExchangeError::Broken(format!("it has more than {bytes_max} bytes")))
        }
        Err(error) => Err(ExchangeError::Broken(error.to_string())),
    }
}

/// The request, if hyper never began to write it.
fn unwritten(error: &mut TrySendError<Request<Full<Bytes>>>) -> Option<Request<Full<Bytes>>> {
    if !error.error().is_canceled() {
        return None;
    }
    error.take_message()
}

fn not_connected(error: &io::Error) -> ExchangeError {
    match error.kind() {
        // It is refused where nobody listens, and reset once it has been taken.
        io::ErrorKind::ConnectionReset => ExchangeError::Closed(error.to_string()),
        _ => ExchangeError::NotSent(error.to_string()),
    }
}

/// Whether the peer closes the connection behind this answer.
fn closes(parts: &Parts) -> bool {
    let named = parts.headers.get_all(CONNECTION).iter().filter_map(|it| it.to_str().ok());
    let close =
        named.flat_map(|it| it.split(',')).any(|it| it.trim().eq_ignore_ascii_case("close"));
    close || parts.version != Version::HTTP_11
}

/// How long the peer keeps an unused connection open, if it says so.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let named = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let timeout = named.split(',').find_map(|it| it.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(timeout.trim().parse().ok()?))
}

impl From<Reply> for Response<Bytes> {
    fn from(reply: Reply) -> Response<Bytes> {
        Response::from_parts(reply.parts, reply.body)
    }
}
