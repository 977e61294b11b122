//! The answering side.

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

/// Bounds of what callers may take up.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Time for the head of a request, and for an idle connection.
    pub head_time: Duration,
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Headers of a request.
    pub headers: usize,
    /// Time for the body of a request.
    pub body_time: Duration,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Connections at a time.
    pub connections: usize,
}

/// A running server. Dropping it stops new connections and lets the present
/// ones finish their current request.
#[derive(Debug)]
pub struct Serving {
    address: SocketAddr,
    busy: Busy,
    _stop: kernel::Mailbox<()>,
}

/// Counts connections with a request that has no written answer.
#[derive(Debug, Clone, Default)]
pub struct Busy(Rc<Cell<usize>>);

impl Busy {
    /// Connections that are busy now.
    pub fn count(&self) -> usize {
        self.0.get()
    }
}

/// Counts a connection while it is busy.
#[derive(Debug)]
pub(crate) struct Counted {
    busy: Busy,
    is_busy: bool,
}

impl Counted {
    pub(crate) fn new(busy: Busy) -> Self {
        Self { busy, is_busy: false }
    }

    pub(crate) fn set(&mut self, is_busy: bool) {
        let count = self.busy.count() - usize::from(self.is_busy) + usize::from(is_busy);
        self.busy.0.set(count);
        self.is_busy = is_busy;
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.set(false);
    }
}

impl Serving {
    /// The address that is listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Counts busy connections, also after this is dropped.
    pub fn busy(&self) -> Busy {
        self.busy.clone()
    }
}

/// Serves HTTP/1.1 on `listener`.
pub fn serve(
    kernel: &Kernel,
    listener: std::net::TcpListener,
    limits: Limits,
    handler: Handler,
) -> std::io::Result<Serving> {
    let address = listener.local_addr()?;
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let (stop, stopped) = kernel::mailbox();
    let busy = Busy::default();
    let acceptor = accept(kernel.clone(), listener, limits, handler, busy.clone());
    kernel.start(async move {
        let until_stopped = async {
            let _ = stopped.receive().await;
        };
        acceptor.or(until_stopped).await;
    });
    Ok(Serving { address, busy, _stop: stop })
}

async fn accept(
    kernel: Kernel,
    listener: TcpListener,
    limits: Limits,
    handler: Handler,
    busy: Busy,
) {
    let open = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            kernel.clock().sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if open.get() >= limits.connections {
            continue;
        }
        let guard = Opened::new(&open);
        let counted = Counted::new(busy.clone());
        let serving = connection::serve(kernel.clone(), stream, limits, handler.clone(), counted);
        kernel.start(async move {
            serving.await;
            drop(guard);
        });
    }
}

struct Opened(Rc<Cell<usize>>);

impl Opened {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(open.clone())
    }
}

impl Drop for Opened {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
