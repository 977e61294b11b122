//! A TCP proxy that injects faults between two processes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_lite::FutureExt;
use kernel::Kernel;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// Fault that the proxy applies to forwarded bytes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Forwards all bytes.
    None,
    /// Closes new connections at once.
    Refuse,
    /// Holds back bytes in both directions.
    Freeze,
    /// Delays each chunk of bytes by this time.
    Delay(Duration),
    /// Cuts connections after this many bytes towards the server.
    CutRequest(usize),
    /// Cuts connections after this many bytes towards the client.
    CutAnswer(usize),
    /// Sends the second answer of each connection once more, in place of the third one, which
    /// follows it. Answers are told apart by the reads that they arrive in.
    RepeatAnswer,
}

/// A running proxy. Clones share the same proxy.
#[derive(Debug, Clone)]
pub struct Proxy {
    address: SocketAddr,
    /// Server for new connections.
    upstream: Arc<Mutex<SocketAddr>>,
    fault: SharedFault,
}

/// The active fault, shared between the proxy's thread and its owner.
#[derive(Debug, Clone)]
struct SharedFault(Arc<Mutex<Fault>>);

const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of the read with the answer that [`Fault::RepeatAnswer`] sends once more.
const REPEATED_ANSWER: usize = 2;
/// Time by which a repeated answer precedes the one in whose place it arrives.
const REPEAT_LEAD: Duration = Duration::from_millis(6);

impl Proxy {
    /// Starts a proxy for the server at `upstream` on a separate thread.
    pub fn spawn(upstream: SocketAddr) -> std::io::Result<Self> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        let (sender, receiver) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let Ok(kernel) = Kernel::new() else {
                return;
            };
            kernel.run(async {
                let _ = sender.send(Self::start(&kernel, listener, upstream));
                std::future::pending::<()>().await
            });
        });
        receiver.recv().map_err(std::io::Error::other)?
    }

    /// Starts a proxy that also forwards datagrams, at the same address. Datagrams are
    /// dropped while bytes are held back or connections are refused.
    pub fn spawn_with_datagrams(upstream: SocketAddr) -> std::io::Result<Self> {
        let proxy = Self::spawn(upstream)?;
        let socket = std::net::UdpSocket::bind(proxy.address)?;
        let fault = proxy.fault.clone();
        std::thread::spawn(move || forward_datagrams(&socket, upstream, &fault));
        Ok(proxy)
    }

    /// Starts a proxy on `listener` for the server at `upstream`.
    pub fn start(
        kernel: &Kernel,
        listener: std::net::TcpListener,
        upstream: SocketAddr,
    ) -> std::io::Result<Self> {
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let fault = SharedFault(Arc::new(Mutex::new(Fault::None)));
        let shared_upstream = Arc::new(Mutex::new(upstream));
        let (accepting, current_fault) = (kernel.clone(), fault.clone());
        let current_upstream = shared_upstream.clone();
        kernel.start(async move {
            while let Ok((client, _)) = listener.accept().await {
                if current_fault.get() == Fault::Refuse {
                    continue;
                }
                let upstream = *current_upstream.lock().unwrap_or_else(PoisonError::into_inner);
                let forwarding =
                    forward_connection(accepting.clone(), client, upstream, current_fault.clone());
                accepting.start(forwarding);
            }
        });
        Ok(Self { address, upstream: shared_upstream, fault })
    }

    /// Address of the proxy for clients.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Forwards new connections to another server.
    pub fn redirect(&self, upstream: SocketAddr) {
        *self.upstream.lock().unwrap_or_else(PoisonError::into_inner) = upstream;
    }

    /// Sets the fault for open and new connections.
    pub fn set(&self, fault: Fault) {
        self.fault.set(fault);
    }
}

impl SharedFault {
    fn get(&self) -> Fault {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, fault: Fault) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }
}

fn forward_datagrams(socket: &std::net::UdpSocket, upstream: SocketAddr, fault: &SharedFault) {
    let mut buffer = [0; 64 * 1024];
    while let Ok(length) = socket.recv(&mut buffer) {
        match fault.get() {
            Fault::Freeze | Fault::Refuse => continue,
            Fault::Delay(time) => std::thread::sleep(time),
            Fault::None | Fault::CutRequest(_) | Fault::CutAnswer(_) | Fault::RepeatAnswer => {}
        }
        // A failed send counts as a lost datagram, which the receiver has to tolerate anyway.
        let _ = socket.send_to(&buffer[..length], upstream);
    }
}

async fn forward_connection(
    kernel: Kernel,
    client: TcpStream,
    upstream: SocketAddr,
    fault: SharedFault,
) {
    let Ok(server) = TcpStream::connect(upstream).await else {
        return;
    };
    let cut_after = |fault: Fault, is_request: bool| match (fault, is_request) {
        (Fault::CutRequest(bytes), true) | (Fault::CutAnswer(bytes), false) => Some(bytes),
        _ => None,
    };
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let request = forward(&kernel, from_client, to_server, &fault, true, cut_after);
    let answer = forward(&kernel, from_server, to_client, &fault, false, cut_after);
    // When one direction ends, both are closed.
    request.or(answer).await;
}

async fn forward(
    kernel: &Kernel,
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    fault: &SharedFault,
    is_request: bool,
    cut_after: impl Fn(Fault, bool) -> Option<usize>,
) {
    let mut buffer = [0; 16 * 1024];
    let (mut forwarded, mut reads) = (0, 0);
    let mut repeated = Vec::new();
    loop {
        let Ok(length @ 1..) = from.read(&mut buffer).await else {
            return;
        };
        while fault.get() == Fault::Freeze {
            kernel.clock().sleep(FREEZE_POLL_INTERVAL).await;
        }
        if let Fault::Delay(time) = fault.get() {
            kernel.clock().sleep(time).await;
        }
        reads += 1;
        if fault.get() == Fault::RepeatAnswer && !is_request {
            if reads == REPEATED_ANSWER {
                repeated = buffer[..length].to_vec();
            } else if !repeated.is_empty() {
                if to.write_all(&std::mem::take(&mut repeated)).await.is_err() {
                    return;
                }
                kernel.clock().sleep(REPEAT_LEAD).await;
            }
        }
        let allowed = cut_after(fault.get(), is_request)
            .map_or(length, |limit| limit.saturating_sub(forwarded).min(length));
        if to.write_all(&buffer[..allowed]).await.is_err() || allowed < length {
            return;
        }
        forwarded += length;
    }
}
