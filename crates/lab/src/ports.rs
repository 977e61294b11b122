//! Ports on loopback for processes that are started.
//!
//! Several programs may start fleets on one machine at a time. Each claims blocks
//! of ports: it listens on the first port of a block for as long as it uses the
//! others, and passes over blocks whose first port is taken.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::{Mutex, PoisonError};

/// Ports that are used: below those that the system takes for outgoing connections.
const FIRST: u16 = 10_000;
const LAST: u16 = 29_999;
/// Ports of a block, the first of which claims it.
const BLOCK: u16 = 100;

/// Ports of this program.
static OWN: Mutex<Ports> = Mutex::new(Ports::new());

/// Blocks of ports that nobody else takes while this lives.
#[derive(Debug)]
pub struct Ports {
    blocks: Vec<TcpListener>,
    /// The next port to look at.
    next: u16,
}

impl Default for Ports {
    fn default() -> Self {
        Self::new()
    }
}

impl Ports {
    /// No block yet.
    pub const fn new() -> Self {
        Self { blocks: Vec::new(), next: FIRST }
    }

    /// An address that nothing listens on. `None` when no block is left.
    pub fn next_free(&mut self) -> Option<SocketAddr> {
        loop {
            if self.blocks.is_empty() || self.next.is_multiple_of(BLOCK) {
                self.next = self.claim()?;
            }
            let address = address_of(self.next);
            self.next += 1;
            if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
                return Some(address);
            }
        }
    }

    /// Claims the first block that is free and returns its first port for use.
    fn claim(&mut self) -> Option<u16> {
        let mut firsts = (FIRST..=LAST).step_by(usize::from(BLOCK));
        let (port, claim) = firsts.find_map(|port| {
            let claim = TcpListener::bind(address_of(port)).ok()?;
            Some((port, claim))
        })?;
        self.blocks.push(claim);
        Some(port + 1)
    }
}

/// An address that nothing listens on.
pub fn free_address() -> Result<SocketAddr, Box<str>> {
    let address = OWN.lock().unwrap_or_else(PoisonError::into_inner).next_free();
    address.ok_or_else(|| "no port is left".into())
}

/// Different addresses that nothing listens on.
pub fn free_addresses<const N: usize>() -> Result<[SocketAddr; N], Box<str>> {
    let mut addresses = [address_of(0); N];
    for address in &mut addresses {
        *address = free_address()?;
    }
    Ok(addresses)
}

fn address_of(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}
