//! Free ports on loopback, below the range from which the system takes those of connections.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

const FIRST: u16 = 12_000;
const LAST: u16 = 31_000;
/// Runs that go on at the same time start looking in different places.
const STRIDE: u32 = 100;

pub(crate) struct Ports {
    next: u16,
}

impl Ports {
    pub(crate) fn new() -> Ports {
        let places = u32::from(LAST - FIRST) / STRIDE;
        let place = std::process::id() % places;
        Ports { next: FIRST + (place * STRIDE) as u16 }
    }

    /// The next port that nobody listens at.
    pub(crate) fn next(&mut self) -> anyhow::Result<SocketAddr> {
        for _ in FIRST..LAST {
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, self.next));
            self.next = if self.next + 1 < LAST { self.next + 1 } else { FIRST };
            if TcpListener::bind(address).is_ok() {
                return Ok(address);
            }
        }
        anyhow::bail!("no free port between {FIRST} and {LAST}")
    }
}
