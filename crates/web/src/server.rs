//! HTTP/1.1 server: accepts connections and limits their number.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use kernel::Kernel;
use tokio::net::TcpListener;

use crate::connection::{self, Handler};

/// Pause after an error of `accept`, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Limits on the resources that callers may use.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Time within which the head of a request has to arrive, and after which an idle
    /// connection is closed.
    pub header_timeout: Duration,
    /// Largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Largest number of headers of a request.
    pub max_headers: usize,
    /// Time within which the body of a request has to arrive.
    pub body_timeout: Duration,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Largest number of simultaneous connections.
    pub max_connections: usize,
}

/// A running server. Dropping the handle stops the server from accepting connections;
/// the open ones are still served.
#[derive(Debug)]
pub struct ServerHandle {
    address: SocketAddr,
    busy: BusyConnections,
    _stop: kernel::Mailbox<()>,
}

/// Number of connections with a request whose answer has not been sent completely.
#[derive(Debug, Clone, Default)]
pub struct BusyConnections(Rc<Cell<usize>>);

impl BusyConnections {
    /// Current number of busy connections.
    pub fn count(&self) -> usize {
        self.0.get()
    }
}

/// Counts a connection in [`BusyConnections`] while it is busy.
#[derive(Debug)]
pub(crate) struct BusyToken {
    busy: BusyConnections,
    is_busy: bool,
}

impl BusyToken {
    pub(crate) fn new(busy: BusyConnections) -> Self {
        Self { busy, is_busy: false }
    }

    pub(crate) fn set(&mut self, is_busy: bool) {
        let count = self.busy.count() - usize::from(self.is_busy) + usize::from(is_busy);
        self.busy.0.set(count);
        self.is_busy = is_busy;
    }
}

impl Drop for BusyToken {
    fn drop(&mut self) {
        self.set(false);
    }
}

impl ServerHandle {
    /// Address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counter of busy connections, which stays valid after the handle is dropped.
    pub fn busy_connections(&self) -> BusyConnections {
        self.busy.clone()
    }
}

/// Serves HTTP/1.1 on `listener` until the returned handle is dropped.
pub fn serve(
    kernel: &Kernel,
    listener: std::net::TcpListener,
    limits: Limits,
    handler: Handler,
) -> std::io::Result<ServerHandle> {
    let address = listener.local_addr()?;
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let (stop, stopped) = kernel::mailbox();
    let busy = BusyConnections::default();
    let acceptor = accept(kernel.clone(), listener, limits, handler, busy.clone());
    kernel.start(async move {
        let until_stopped = async {
            let _ = stopped.receive().await;
        };
        acceptor.or(until_stopped).await;
    });
    Ok(ServerHandle { address, busy, _stop: stop })
}

async fn accept(
    kernel: Kernel,
    listener: TcpListener,
    limits: Limits,
    handler: Handler,
    busy: BusyConnections,
) {
    let connections = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            kernel.clock().sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if connections.get() >= limits.max_connections {
            continue;
        }
        let permit = ConnectionPermit::new(&connections);
        let busy_token = BusyToken::new(busy.clone());
        let serving =
            connection::serve(kernel.clone(), stream, limits, handler.clone(), busy_token);
        kernel.start(async move {
            serving.await;
            drop(permit);
        });
    }
}

/// Counts one open connection until it is dropped.
struct ConnectionPermit(Rc<Cell<usize>>);

impl ConnectionPermit {
    fn new(connections: &Rc<Cell<usize>>) -> Self {
        connections.set(connections.get() + 1);
        Self(connections.clone())
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
