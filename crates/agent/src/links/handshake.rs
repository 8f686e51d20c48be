//! The handshake of a link, for the dialling and the listening side.

use std::{net::SocketAddr, time::Duration};

use futures_util::{SinkExt, StreamExt};
use model::Instance;
use tokio::{net::TcpStream, time::timeout};
use tokio_tungstenite::{
    WebSocketStream, accept_async_with_config, client_async_with_config,
    tungstenite::{self, Message, protocol::WebSocketConfig},
};
use wire::{
    CodecError,
    link::{
        HANDSHAKE_BYTES_MAX, Hello, LinkKind, PROTOCOL_VERSION, Proof, Side, Transcript, Welcome,
    },
};

use crate::{connections::ConnectionPermit, links::LinkKey};

/// Time limit of a whole handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for connecting, after which the attempt fails and may be repeated.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Size limit of a message on a link.
pub(crate) const MESSAGE_BYTES_MAX: usize = 2 << 20;
/// Size of the buffers of a link, which grow for larger messages. Most messages are smaller, and a process in a large
/// deployment has hundreds of links.
const BUFFER_BYTES: usize = 4 << 10;

pub(crate) type Socket = WebSocketStream<TcpStream>;

/// The identity of this process on links of one kind, and the key that proves it.
#[derive(Debug, Clone)]
pub(crate) struct LinkIdentity {
    pub(crate) own: Instance,
    pub(crate) kind: LinkKind,
    pub(crate) key: LinkKey,
}

/// An authenticated link.
#[derive(Debug)]
pub(crate) struct EstablishedLink {
    pub(crate) peer: Instance,
    pub(crate) socket: Socket,
}

/// The reason for which a link could not be established.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum HandshakeError {
    #[error("cannot connect to {peer}: {source}")]
    Connect { peer: SocketAddr, source: std::io::Error },
    #[error("handshake with {peer} failed: {source}")]
    Socket { peer: SocketAddr, source: Box<tungstenite::Error> },
    #[error("handshake with {peer} failed, undecodable message: {source}")]
    Codec { peer: SocketAddr, source: CodecError },
    #[error("handshake with {peer} failed: {reason}")]
    Refused { peer: SocketAddr, reason: &'static str },
}

fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(MESSAGE_BYTES_MAX))
        .max_frame_size(Some(MESSAGE_BYTES_MAX))
}

impl LinkIdentity {
    /// Connects to a peer and performs the mutual authentication.
    pub(crate) async fn dial(&self, peer: SocketAddr) -> Result<EstablishedLink, HandshakeError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(peer))
            .await
            .unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
            .map_err(|source| HandshakeError::Connect { peer, source })?;
        with_timeout(peer, self.handshake_as_dialer(peer, stream)).await
    }

    /// Performs the mutual authentication on an accepted connection.
    pub(crate) async fn accept(
        &self,
        peer: SocketAddr,
        stream: TcpStream,
    ) -> Result<EstablishedLink, HandshakeError> {
        with_timeout(peer, self.handshake_as_listener(peer, stream)).await
    }

    /// The same for a connection that gives way to others meanwhile. An established link does not, and has no permit.
    pub(crate) async fn accept_with_permit(
        &self,
        peer: SocketAddr,
        stream: TcpStream,
        permit: ConnectionPermit,
    ) -> Result<EstablishedLink, HandshakeError> {
        tokio::select! {
            result = self.accept(peer, stream) => result,
            () = permit.eviction() => {
                Err(HandshakeError::Refused { peer, reason: "others need the room of its connection" })
            }
        }
    }

    async fn handshake_as_dialer(
        &self,
        peer: SocketAddr,
        stream: TcpStream,
    ) -> Result<EstablishedLink, HandshakeError> {
        let socket_error = |source| HandshakeError::Socket { peer, source: Box::new(source) };
        stream.set_nodelay(true).map_err(|source| HandshakeError::Connect { peer, source })?;
        let url = format!("ws://{peer}/");
        let (mut socket, _) = client_async_with_config(url, stream, Some(websocket_config()))
            .await
            .map_err(socket_error)?;
        let hello = Hello {
            version: PROTOCOL_VERSION,
            kind: self.kind,
            from: self.own.clone(),
            nonce: rand::random(),
        };
        send(&mut socket, &hello).await.map_err(socket_error)?;
        let welcome: Welcome = receive(peer, &mut socket).await?;
        let mut transcript = Transcript {
            side: Side::Listening,
            hello: &hello,
            listening: &welcome.from,
            listening_nonce: welcome.nonce,
        };
        if !self.key.verify(&transcript, &welcome.proof) {
            return Err(HandshakeError::Refused {
                peer,
                reason: "the proof of the peer does not match the link key",
            });
        }
        transcript.side = Side::Dialling;
        let proof = Proof { proof: self.key.proof(&transcript) };
        send(&mut socket, &proof).await.map_err(socket_error)?;
        Ok(EstablishedLink { peer: welcome.from, socket })
    }

    async fn handshake_as_listener(
        &self,
        peer: SocketAddr,
        stream: TcpStream,
    ) -> Result<EstablishedLink, HandshakeError> {
        let socket_error = |source| HandshakeError::Socket { peer, source: Box::new(source) };
        let refused = |reason| HandshakeError::Refused { peer, reason };
        stream.set_nodelay(true).map_err(|source| HandshakeError::Connect { peer, source })?;
        let mut socket = accept_async_with_config(stream, Some(websocket_config()))
            .await
            .map_err(socket_error)?;
        let hello: Hello = receive(peer, &mut socket).await?;
        if hello.version != PROTOCOL_VERSION {
            return Err(refused("the peer uses another protocol version"));
        }
        if hello.kind != self.kind {
            return Err(refused("the peer requested a link of another kind"));
        }
        let nonce = rand::random();
        let mut transcript = Transcript {
            side: Side::Listening,
            hello: &hello,
            listening: &self.own,
            listening_nonce: nonce,
        };
        let proof = self.key.proof(&transcript);
        let welcome = Welcome { from: self.own.clone(), nonce, proof };
        send(&mut socket, &welcome).await.map_err(socket_error)?;
        let proof: Proof = receive(peer, &mut socket).await?;
        transcript.side = Side::Dialling;
        if !self.key.verify(&transcript, &proof.proof) {
            return Err(refused("the proof of the peer does not match the link key"));
        }
        Ok(EstablishedLink { peer: hello.from, socket })
    }
}

async fn with_timeout(
    peer: SocketAddr,
    handshake: impl Future<Output = Result<EstablishedLink, HandshakeError>>,
) -> Result<EstablishedLink, HandshakeError> {
    timeout(HANDSHAKE_TIMEOUT, handshake)
        .await
        .unwrap_or(Err(HandshakeError::Refused { peer, reason: "the handshake timed out" }))
}

async fn send(
    socket: &mut Socket,
    message: &impl serde::Serialize,
) -> Result<(), tungstenite::Error> {
    socket.send(Message::Binary(wire::encode(message).into())).await
}

async fn receive<T: serde::de::DeserializeOwned>(
    peer: SocketAddr,
    socket: &mut Socket,
) -> Result<T, HandshakeError> {
    let refused = |reason| Err(HandshakeError::Refused { peer, reason });
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) if bytes.len() > HANDSHAKE_BYTES_MAX => {
            refused("a handshake message is too large")
        }
        Some(Ok(Message::Binary(bytes))) => {
            wire::decode(&bytes).map_err(|source| HandshakeError::Codec { peer, source })
        }
        Some(Ok(_)) => refused("received a WebSocket message that is not binary"),
        Some(Err(source)) => Err(HandshakeError::Socket { peer, source: Box::new(source) }),
        None => refused("the peer closed the connection"),
    }
}
