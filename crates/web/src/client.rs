//! HTTP/1.1 client: a pool of connections to one address.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use kernel::Kernel;
use tokio::net::TcpStream;

use crate::budget::{BudgetedStream, HeadBudget};

/// Time limit for opening a connection, which includes the wait for a free permit.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest idle time after which a connection is still reused. It is below the 10 s
/// after which known targets close their idle connections.
const MAX_IDLE_TIME: Duration = Duration::from_secs(8);
/// Idle time below which [`Reuse::Recent`] permits reuse: the server is unlikely to have
/// closed the connection in the meantime.
const RECENT_IDLE_TIME: Duration = Duration::from_secs(1);
/// Margin by which an idle connection is dropped before the timeout that the server states
/// in `Keep-Alive`.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Largest answer body in bytes that is read, unless [`Client::with_max_answer`] sets another.
const DEFAULT_MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// Interval at which a request that waits for a permit checks whether a connection has
/// closed.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Time within which the listening port of a killed process closes after its connections.
/// The port stays open for a few milliseconds on a busy processor.
const PORT_CLOSE_DELAY: Duration = Duration::from_millis(10);
/// Time without a response from the peer's TCP stack after which a connection fails.
const DEAD_PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Most bytes that are read between a request and the end of the head of its answer. Interim
/// answers (1xx) count too, which may otherwise follow each other without end.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Statuses that a final answer may have. Interim answers (1xx) are skipped, except 101, which
/// is the answer to an upgrade that this client never requests.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// HTTP client for one address. Clones share its connections.
#[derive(Debug, Clone)]
pub struct Client {
    kernel: Kernel,
    address: SocketAddr,
    max_idle: usize,
    max_answer_bytes: usize,
    max_connections: Rc<Cell<usize>>,
    /// Number of connections that are open or being opened.
    connections: Rc<Cell<usize>>,
    idle: Rc<RefCell<Vec<IdleConnection>>>,
}

/// Whether a request may use a connection that has served an earlier request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Any idle connection may be used. The server may close it at the moment at which the
    /// request is sent; it is then unknown whether the server received the request.
    Allowed,
    /// Only a connection that served the earlier request less than 1 s ago may be used.
    Recent,
    /// A new connection is opened.
    Never,
}

/// Why a request has no complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientError {
    /// The request was not sent.
    NotSent,
    /// The connection failed before the answer was complete. The server may have received
    /// the request.
    ConnectionLost,
    /// The answer is larger than the limit.
    TooLarge,
    /// The answer belongs to another request, such as a duplicate answer to an earlier
    /// request on the same connection.
    MismatchedAnswer,
    /// The status of the answer is not valid for a final answer. Statuses that are not three
    /// digits, or are below 100, count as [`ClientError::ConnectionLost`].
    InvalidStatus,
}

#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    since: Instant,
    until: Instant,
}

/// The sending half of a connection.
#[derive(Debug)]
struct Sender {
    requests: SendRequest<Full<Bytes>>,
    head_budget: HeadBudget,
}

impl Sender {
    /// Sends a request and waits for the head of its answer.
    async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.head_budget.limit(MAX_HEAD_BYTES);
        let response = self.requests.try_send_request(request).await?;
        self.head_budget.lift();
        Ok(response)
    }
}

/// Counts one connection from before it is opened until it is dropped.
#[derive(Debug)]
struct ConnectionPermit {
    connections: Rc<Cell<usize>>,
}

impl ConnectionPermit {
    fn new(connections: &Rc<Cell<usize>>) -> Self {
        connections.set(connections.get() + 1);
        Self { connections: connections.clone() }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.connections.set(self.connections.get() - 1);
    }
}

impl Client {
    /// Creates a client that keeps up to `max_idle` idle connections for reuse.
    pub fn new(kernel: Kernel, address: SocketAddr, max_idle: usize) -> Self {
        Self {
            kernel,
            address,
            max_idle,
            max_answer_bytes: DEFAULT_MAX_ANSWER_BYTES,
            max_connections: Rc::new(Cell::new(usize::MAX)),
            connections: Rc::default(),
            idle: Rc::default(),
        }
    }

    /// Sets the largest number of simultaneous connections, for all clones. When a new
    /// connection would exceed it, the connection that has been idle longest is closed first.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
    }

    /// Sets the size in bytes of the largest answer body that is read.
    pub fn with_max_answer(self, max_answer_bytes: usize) -> Self {
        Self { max_answer_bytes, ..self }
    }

    /// Sends a request and reads the complete answer. Dropping the future closes the
    /// connection.
    pub async fn send(
        &self,
        request: Request<Bytes>,
        reuse: Reuse,
    ) -> Result<Response<Bytes>, ClientError> {
        self.send_checked(request, reuse, |_| true).await
    }

    /// Sends a request and reads the complete answer if `accepts_head` accepts its headers.
    /// Otherwise returns [`ClientError::MismatchedAnswer`] and does not reuse the connection.
    pub async fn send_checked(
        &self,
        request: Request<Bytes>,
        reuse: Reuse,
        accepts_head: impl Fn(&HeaderMap) -> bool,
    ) -> Result<Response<Bytes>, ClientError> {
        let mut request = request.map(Full::new);
        if reuse != Reuse::Never {
            while let Some(mut sender) = self.take_idle(reuse) {
                match sender.send(request).await {
                    Ok(response) => return self.read_answer(sender, response, accepts_head).await,
                    Err(mut error) => match error.take_message() {
                        Some(unsent) => request = unsent,
                        None => return Err(ClientError::ConnectionLost),
                    },
                }
            }
        }
        let mut sender = self.connect().await.ok_or(ClientError::NotSent)?;
        let response =
            sender.send(request).await.map_err(|mut error| match error.take_message() {
                Some(_) => ClientError::NotSent,
                None => ClientError::ConnectionLost,
            })?;
        self.read_answer(sender, response, accepts_head).await
    }

    /// Whether the address accepts connections.
    pub async fn is_reachable(&self) -> bool {
        self.open_stream().await.is_some()
    }

    /// Whether the process at the address is alive after one of its connections has failed.
    /// The port of a killed process may close a few milliseconds after its connections. A new
    /// connection is therefore watched for that time, and if it closes a second one is tried.
    pub async fn is_alive(&self) -> bool {
        let Some((stream, permit)) = self.open_stream().await else {
            return false;
        };
        let watching = self.kernel.clock().timeout(PORT_CLOSE_DELAY, stream.readable());
        if watching.await.is_err() {
            return true;
        }
        drop((stream, permit));
        self.is_reachable().await
    }

    /// Opens a connection and returns it with its permit.
    async fn open_stream(&self) -> Option<(TcpStream, ConnectionPermit)> {
        let opening = async {
            let permit = self.acquire_permit().await;
            Some((TcpStream::connect(self.address).await.ok()?, permit))
        };
        let (stream, permit) =
            self.kernel.clock().timeout(CONNECT_TIMEOUT, opening).await.ok()??;
        stream.set_nodelay(true).ok()?;
        kernel::set_dead_peer_timeout(&stream, DEAD_PEER_TIMEOUT).ok()?;
        Some((stream, permit))
    }

    /// Waits until one more connection is within the limit, and closes the connections that
    /// have been idle longest.
    async fn acquire_permit(&self) -> ConnectionPermit {
        while self.connections.get() >= self.max_connections.get() {
            let longest_idle = self.idle.borrow().iter().map(|idle| idle.since).min();
            self.idle.borrow_mut().retain(|idle| Some(idle.since) != longest_idle);
            self.kernel.clock().sleep(CLOSE_POLL_INTERVAL).await;
        }
        ConnectionPermit::new(&self.connections)
    }

    async fn connect(&self) -> Option<Sender> {
        let (stream, permit) = self.open_stream().await?;
        let head_budget = HeadBudget::default();
        let stream = BudgetedStream::new(stream, head_budget.clone());
        let (mut requests, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        self.kernel.start(async move {
            // The request in flight receives the error.
            let _ = connection.await;
            drop(permit);
        });
        requests.ready().await.ok()?;
        Some(Sender { requests, head_budget })
    }

    async fn read_answer(
        &self,
        sender: Sender,
        response: Response<Incoming>,
        accepts_head: impl Fn(&HeaderMap) -> bool,
    ) -> Result<Response<Bytes>, ClientError> {
        let (head, body) = response.into_parts();
        if !FINAL_STATUSES.contains(&head.status.as_u16()) {
            return Err(ClientError::InvalidStatus);
        }
        if !accepts_head(&head.headers) {
            return Err(ClientError::MismatchedAnswer);
        }
        let body = Limited::new(body, self.max_answer_bytes).collect().await.map_err(|error| {
            match error.is::<http_body_util::LengthLimitError>() {
                true => ClientError::TooLarge,
                false => ClientError::ConnectionLost,
            }
        })?;
        self.keep_idle(sender, idle_time(&head.headers));
        Ok(Response::from_parts(head, body.to_bytes()))
    }

    fn take_idle(&self, reuse: Reuse) -> Option<Sender> {
        let now = self.kernel.clock().now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|idle| !idle.sender.requests.is_closed() && now < idle.until);
        let is_allowed =
            |idle: &IdleConnection| reuse == Reuse::Allowed || now - idle.since < RECENT_IDLE_TIME;
        let usable =
            idle.iter().rposition(|idle| idle.sender.requests.is_ready() && is_allowed(idle))?;
        Some(idle.swap_remove(usable).sender)
    }

    fn keep_idle(&self, sender: Sender, idle_time: Duration) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < self.max_idle && !sender.requests.is_closed() {
            let since = self.kernel.clock().now();
            idle.push(IdleConnection { sender, since, until: since + idle_time });
        }
    }
}

/// Returns how long a connection may be idle: the timeout in the server's `Keep-Alive`
/// header less a margin, and at most `MAX_IDLE_TIME`.
fn idle_time(headers: &HeaderMap) -> Duration {
    let keep_alive = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = keep_alive.and_then(|text| {
        let mut fields = text.split(',').filter_map(|field| field.trim().split_once('='));
        fields.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?.1.trim().parse().ok()
    });
    let limit = seconds
        .map_or(MAX_IDLE_TIME, |seconds| Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN));
    limit.min(MAX_IDLE_TIME)
}
