//! A loopback proxy that imitates network faults: delay, dropped bytes in one or both directions,
//! closed connections.

use std::{net::SocketAddr, time::Duration};

use anyhow::Context;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::JoinSet,
    time::sleep,
};

const CHUNK_BYTES: usize = 16 * 1024;

/// State of all connections of a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LinkState {
    Forwarding,
    /// Each chunk is delayed by this duration.
    Slow(Duration),
    /// Bytes to the server are dropped.
    CutToServer,
    /// Bytes to the client are dropped.
    CutToClient,
    /// Bytes in both directions are dropped while connections stay open.
    Silent,
    /// Open connections are closed, and new ones are closed at once.
    Closed,
}

#[derive(Debug, Clone, Copy)]
enum Direction {
    ToServer,
    ToClient,
}

impl LinkState {
    fn is_dropping(self, direction: Direction) -> bool {
        match direction {
            Direction::ToServer => matches!(self, LinkState::CutToServer | LinkState::Silent),
            Direction::ToClient => matches!(self, LinkState::CutToClient | LinkState::Silent),
        }
    }
}

/// Proxy in front of one server. Dropping it closes its connections.
pub(super) struct Proxy {
    pub(super) address: SocketAddr,
    state: watch::Sender<LinkState>,
    _connections: JoinSet<()>,
}

impl Proxy {
    pub(super) async fn start(listen: SocketAddr, server: SocketAddr) -> anyhow::Result<Proxy> {
        let listener =
            TcpListener::bind(listen).await.context("binding the listener of a proxy")?;
        let (state, state_receiver) = watch::channel(LinkState::Forwarding);
        let mut connections = JoinSet::new();
        connections.spawn(accept(listener, server, state_receiver));
        Ok(Proxy { address: listen, state, _connections: connections })
    }

    pub(super) fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

async fn accept(listener: TcpListener, server: SocketAddr, state: watch::Receiver<LinkState>) {
    let mut connections = JoinSet::new();
    loop {
        let client = match listener.accept().await {
            Ok((client, _)) => client,
            Err(error) => {
                log::warn!(target: "soak", "Proxy failed to accept a connection; accepting the next one: {error}.");
                continue;
            }
        };
        while connections.try_join_next().is_some() {}
        if *state.borrow() != LinkState::Closed {
            connections.spawn(connect(client, server, state.clone()));
        }
    }
}

async fn connect(client: TcpStream, server: SocketAddr, mut state: watch::Receiver<LinkState>) {
    // If the server is unreachable, the client sees its connection close.
    let Ok(server) = TcpStream::connect(server).await else { return };
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    let to_server = forward(client_reader, server_writer, state.clone(), Direction::ToServer);
    let to_client = forward(server_reader, client_writer, state.clone(), Direction::ToClient);
    tokio::select! {
        // An error on one side closes the connection to the other side, as a regular end does.
        _ = to_server => {}
        _ = to_client => {}
        // The proxy was dropped, or its state is now `Closed`.
        _ = state.wait_for(|it| *it == LinkState::Closed) => {}
    }
}

/// Forwards bytes until one side closes. Dropped bytes leave a gap in the stream, so the connection
/// is closed at the first bytes after the drops have stopped.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    state: watch::Receiver<LinkState>,
    direction: Direction,
) -> std::io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
    let mut has_gap = false;
    loop {
        let length = from.read(&mut chunk).await?;
        if length == 0 {
            return Ok(());
        }
        let now = *state.borrow();
        if let LinkState::Slow(delay) = now {
            sleep(delay).await;
        }
        match now.is_dropping(direction) {
            true => has_gap = true,
            false if has_gap => return Ok(()),
            false => to.write_all(&chunk[..length]).await?,
        }
    }
}
