//! The asking side: connections to one address.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use kernel::Kernel;
use tokio::net::TcpStream;

/// Time limit of connecting.
const CONNECT_TIME: Duration = Duration::from_secs(1);
/// An idle connection older than this is closed rather than used again: below
/// the 10 s after which the targets in hand close theirs.
const IDLE_TIME: Duration = Duration::from_secs(8);
/// Idle time up to which a connection is taken to be sound.
const RECENT: Duration = Duration::from_secs(1);
/// Time before the other side's own limit at which an idle connection is given up.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Largest answer that is read unless the user of a client states another, in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// Time between two looks whether a connection that is being closed is gone.
const CLOSE_POLL: Duration = Duration::from_millis(1);
/// Time in which a process that dies closes its port after its connections: some
/// milliseconds where the processor is busy.
const PORT_CLOSE_TIME: Duration = Duration::from_millis(10);
/// Silence of the other side after which a connection counts as broken.
const SILENCE: Duration = Duration::from_secs(3);

/// Connections to one address. Clones share them.
#[derive(Debug, Clone)]
pub struct Client {
    kernel: Kernel,
    address: SocketAddr,
    max_idle: usize,
    max_answer: usize,
    max_open: Rc<Cell<usize>>,
    /// Connections that are open or being opened.
    open: Rc<Cell<usize>>,
    idle: Rc<RefCell<Vec<Idle>>>,
}

/// Whether a connection that served an earlier request may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// It may. The other side may close it just then, so that nobody knows
    /// whether the request was seen.
    Allowed,
    /// It may, if it served the earlier request a moment ago.
    Recent,
    /// A new connection is made.
    Never,
}

/// Why there is no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No byte of the request was sent.
    NotSent,
    /// The connection broke before a whole answer came.
    Lost,
    /// The answer is larger than allowed.
    TooLarge,
    /// An answer came that belongs to another request.
    Foreign,
}

#[derive(Debug)]
struct Idle {
    sender: SendRequest<Full<Bytes>>,
    since: Instant,
    until: Instant,
}

/// Counts one connection while it lives.
#[derive(Debug)]
struct Place {
    open: Rc<Cell<usize>>,
}

impl Place {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self { open: open.clone() }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}

impl Client {
    /// A client that keeps up to `max_idle` connections open for reuse.
    pub fn new(kernel: Kernel, address: SocketAddr, max_idle: usize) -> Self {
        Self {
            kernel,
            address,
            max_idle,
            max_answer: MAX_ANSWER_BYTES,
            max_open: Rc::new(Cell::new(usize::MAX)),
            open: Rc::default(),
            idle: Rc::default(),
        }
    }

    /// Sets how many connections are open at a time, for all clones. An idle one is
    /// closed where a new one would exceed it.
    pub fn set_max_open(&self, max_open: usize) {
        self.max_open.set(max_open);
    }

    /// Sets the size in bytes of the largest answer that is read.
    pub fn with_max_answer(self, max_answer: usize) -> Self {
        Self { max_answer, ..self }
    }

    /// Sends a request and reads the whole answer. Dropping the future closes
    /// the connection.
    pub async fn send(
        &self,
        request: Request<Bytes>,
        reuse: Reuse,
    ) -> Result<Response<Bytes>, Fault> {
        self.send_checked(request, reuse, |_| true).await
    }

    /// Sends a request and reads the whole answer, if its head passes the check.
    /// A connection with an answer that does not pass is never used again.
    pub async fn send_checked(
        &self,
        request: Request<Bytes>,
        reuse: Reuse,
        is_own: impl Fn(&HeaderMap) -> bool,
    ) -> Result<Response<Bytes>, Fault> {
        let mut request = request.map(Full::new);
        if reuse != Reuse::Never {
            while let Some(mut sender) = self.take_idle(reuse) {
                match sender.try_send_request(request).await {
                    Ok(response) => return self.finish(sender, response, is_own).await,
                    Err(mut error) => match error.take_message() {
                        Some(unsent) => request = unsent,
                        None => return Err(Fault::Lost),
                    },
                }
            }
        }
        let mut sender = self.connect().await.ok_or(Fault::NotSent)?;
        let response = sender.try_send_request(request).await.map_err(|mut error| {
            match error.take_message() {
                Some(_) => Fault::NotSent,
                None => Fault::Lost,
            }
        })?;
        self.finish(sender, response, is_own).await
    }

    /// Whether the address takes connections.
    pub async fn is_reachable(&self) -> bool {
        self.open().await.is_some()
    }

    /// Whether the process at the address lives, asked when one of its connections has
    /// broken. A process that dies may close its port a moment after its connections, so
    /// that a new connection is watched for that time.
    pub async fn is_alive(&self) -> bool {
        let Some((stream, open)) = self.open().await else {
            return false;
        };
        let watching = self.kernel.clock().timeout(PORT_CLOSE_TIME, stream.readable());
        if watching.await.is_err() {
            return true;
        }
        drop((stream, open));
        self.is_reachable().await
    }

    /// A new connection, with what counts it as open.
    async fn open(&self) -> Option<(TcpStream, Place)> {
        let opening = async {
            let open = self.take_place().await;
            Some((TcpStream::connect(self.address).await.ok()?, open))
        };
        let (stream, open) = self.kernel.clock().timeout(CONNECT_TIME, opening).await.ok()??;
        stream.set_nodelay(true).ok()?;
        kernel::detect_silence(&stream, SILENCE).ok()?;
        Some((stream, open))
    }

    /// Waits until one more connection is within the bound.
    async fn take_place(&self) -> Place {
        while self.open.get() >= self.max_open.get() {
            let longest_idle = self.idle.borrow().iter().map(|idle| idle.since).min();
            self.idle.borrow_mut().retain(|idle| Some(idle.since) != longest_idle);
            self.kernel.clock().sleep(CLOSE_POLL).await;
        }
        Place::new(&self.open)
    }

    async fn connect(&self) -> Option<SendRequest<Full<Bytes>>> {
        let (stream, open) = self.open().await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        self.kernel.start(async move {
            // The error reaches the request that was under way.
            let _ = connection.await;
            drop(open);
        });
        sender.ready().await.ok()?;
        Some(sender)
    }

    async fn finish(
        &self,
        sender: SendRequest<Full<Bytes>>,
        response: Response<hyper::body::Incoming>,
        is_own: impl Fn(&HeaderMap) -> bool,
    ) -> Result<Response<Bytes>, Fault> {
        let (head, body) = response.into_parts();
        if !is_own(&head.headers) {
            return Err(Fault::Foreign);
        }
        let body = Limited::new(body, self.max_answer).collect().await.map_err(|error| {
            match error.is::<http_body_util::LengthLimitError>() {
                true => Fault::TooLarge,
                false => Fault::Lost,
            }
        })?;
        self.keep(sender, idle_time(&head.headers));
        Ok(Response::from_parts(head, body.to_bytes()))
    }

    fn take_idle(&self, reuse: Reuse) -> Option<SendRequest<Full<Bytes>>> {
        let now = self.kernel.clock().now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|idle| !idle.sender.is_closed() && now < idle.until);
        let is_allowed = |idle: &Idle| reuse == Reuse::Allowed || now - idle.since < RECENT;
        let usable = idle.iter().rposition(|idle| idle.sender.is_ready() && is_allowed(idle))?;
        Some(idle.swap_remove(usable).sender)
    }

    fn keep(&self, sender: SendRequest<Full<Bytes>>, idle_time: Duration) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < self.max_idle && !sender.is_closed() {
            let since = self.kernel.clock().now();
            idle.push(Idle { sender, since, until: since + idle_time });
        }
    }
}

/// How long a connection may be idle, by what the other side says in `Keep-Alive`.
fn idle_time(headers: &HeaderMap) -> Duration {
    let stated = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = stated.and_then(|text| {
        let mut fields = text.split(',').filter_map(|field| field.trim().split_once('='));
        fields.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?.1.trim().parse().ok()
    });
    let limit = seconds
        .map_or(IDLE_TIME, |seconds| Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN));
    limit.min(IDLE_TIME)
}
