//! One connection, with a limit on what its peer sends before the head of a reply is complete.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::{
        TrySendError,
        http1::{Connection, SendRequest, handshake},
    },
};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Largest number of bytes up to the end of a reply's head. The HTTP client bounds a single head (to 400 KB), but
/// skips any number of informational replies before it.
const HEAD_BYTES_MAX: usize = 1 << 20;
const UNLIMITED: usize = usize::MAX;

/// The sending half of a connection.
#[derive(Debug)]
pub(crate) struct Sender {
    sender: SendRequest<Full<Bytes>>,
    /// Number of bytes that may still be read.
    bytes_left: Arc<AtomicUsize>,
}

/// A stream whose reads fail once more bytes were received than are left.
#[derive(Debug)]
pub(crate) struct LimitedStream {
    stream: TcpStream,
    bytes_left: Arc<AtomicUsize>,
}

/// Starts HTTP on a new connection. The returned future drives the connection.
pub(crate) async fn start(
    stream: TcpStream,
) -> hyper::Result<(Sender, Connection<TokioIo<LimitedStream>, Full<Bytes>>)> {
    let bytes_left = Arc::new(AtomicUsize::new(HEAD_BYTES_MAX));
    let stream = LimitedStream { stream, bytes_left: Arc::clone(&bytes_left) };
    let (sender, connection) = handshake(TokioIo::new(stream)).await?;
    Ok((Sender { sender, bytes_left }, connection))
}

impl Sender {
    /// Sends a request. Resolves when the head of the final reply has been received.
    pub(crate) async fn try_send_request(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.bytes_left.store(HEAD_BYTES_MAX, Ordering::Relaxed);
        let response = self.sender.try_send_request(request).await?;
        // The body has a limit of its own.
        self.bytes_left.store(UNLIMITED, Ordering::Relaxed);
        Ok(response)
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    pub(crate) async fn ready(&mut self) -> hyper::Result<()> {
        self.sender.ready().await
    }
}

impl LimitedStream {
    /// Counts bytes that were received.
    fn count(&self, received: usize) -> io::Result<()> {
        let take = |left: usize| match left {
            UNLIMITED => Some(UNLIMITED),
            left => left.checked_sub(received),
        };
        match self.bytes_left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take) {
            Ok(_) => Ok(()),
            Err(_) => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                format!("no reply within {HEAD_BYTES_MAX} bytes"),
            )),
        }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let len = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        match result {
            Poll::Ready(Ok(())) => Poll::Ready(self.count(buf.filled().len() - len)),
            other => other,
        }
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
}
