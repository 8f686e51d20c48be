//! Allocation of free loopback ports, below the range that the system uses for outgoing connections.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

const FIRST_PORT: u16 = 12_000;
const LAST_PORT: u16 = 31_000;
/// Distance between the ports at which processes start searching, so that concurrent runs seldom
/// try the same ports.
const START_STRIDE: u32 = 100;

pub(crate) struct PortAllocator {
    next: u16,
}

impl PortAllocator {
    pub(crate) fn new() -> PortAllocator {
        let start_count = u32::from(LAST_PORT - FIRST_PORT) / START_STRIDE;
        let start_index = std::process::id() % start_count;
        PortAllocator { next: FIRST_PORT + (start_index * START_STRIDE) as u16 }
    }

    /// Returns the address of the next port that no process listens on.
    pub(crate) fn next(&mut self) -> anyhow::Result<SocketAddr> {
        for _ in FIRST_PORT..LAST_PORT {
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, self.next));
            self.next = if self.next + 1 < LAST_PORT { self.next + 1 } else { FIRST_PORT };
            if TcpListener::bind(address).is_ok() {
                return Ok(address);
            }
        }
        anyhow::bail!("no free loopback port between {FIRST_PORT} and {LAST_PORT}")
    }
}
