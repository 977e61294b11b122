//! Allocates loopback ports for child processes.
//!
//! Several programs may start fleets on one machine at the same time. Each one claims blocks
//! of ports: it listens on the first port of a block for as long as it uses the others, and
//! skips blocks whose first port is taken.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::process::{Child, Command};
use std::sync::{Mutex, PoisonError};

/// Range of allocated ports. It lies below the ephemeral ports of the operating system.
const FIRST_PORT: u16 = 10_000;
const LAST_PORT: u16 = 29_999;
/// Number of ports in a block; the first one serves as the claim.
const BLOCK_SIZE: u16 = 100;

/// Allocator of this process. Its lock is also held while a process is started.
static PROCESS_PORTS: Mutex<PortAllocator> = Mutex::new(PortAllocator::new());

/// Allocates ports from blocks that no other process takes during the allocator's lifetime.
#[derive(Debug)]
pub struct PortAllocator {
    blocks: Vec<TcpListener>,
    /// Next port to try.
    next: u16,
}

impl Default for PortAllocator {
    fn default() -> Self {
        Self::new()
    }
}

impl PortAllocator {
    /// Returns an allocator without a block.
    pub const fn new() -> Self {
        Self { blocks: Vec::new(), next: FIRST_PORT }
    }

    /// Returns an address on which nothing listens, or `None` when no block is left.
    pub fn next_free(&mut self) -> Option<SocketAddr> {
        loop {
            if self.blocks.is_empty() || self.next.is_multiple_of(BLOCK_SIZE) {
                self.next = self.claim()?;
            }
            let address = address_of(self.next);
            self.next += 1;
            if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
                return Some(address);
            }
        }
    }

    /// Claims the first free block and returns its first usable port.
    fn claim(&mut self) -> Option<u16> {
        let mut block_starts = (FIRST_PORT..=LAST_PORT).step_by(usize::from(BLOCK_SIZE));
        let (port, claim) = block_starts.find_map(|port| {
            let claim = TcpListener::bind(address_of(port)).ok()?;
            Some((port, claim))
        })?;
        self.blocks.push(claim);
        Some(port + 1)
    }
}

/// Starts a process while no thread is trying a port.
///
/// A child holds copies of all sockets of this process until it has replaced its program. A
/// port that is tried meanwhile would stay taken after it is tried.
pub fn spawn(command: &mut Command) -> std::io::Result<Child> {
    let _no_trial = PROCESS_PORTS.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}

/// Returns an address on which nothing listens.
pub fn free_address() -> Result<SocketAddr, Box<str>> {
    let address = PROCESS_PORTS.lock().unwrap_or_else(PoisonError::into_inner).next_free();
    address.ok_or_else(|| "no port is left".into())
}

/// Returns distinct addresses on which nothing listens.
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
