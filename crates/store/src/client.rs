//! The store client and the results of its calls.

use std::cell::{self, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Request, StatusCode};
use kernel::Kernel;
use web::{Client, ClientError, Reuse};

use crate::circuit::CircuitBreaker;
use crate::row::{Cell, Condition, Era, Position, Row, Rows, StoreProtocol, Tag, Write};

/// Maximum size of a response, enough for a full page of a list.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of idle connections kept open.
const MAX_IDLE_CONNECTIONS: usize = 2;
/// Default time limit of a call. A store that is 100 times slower than usual still
/// responds within it.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that the response of a feed may take in addition to the requested wait.
const FEED_SLACK: Duration = Duration::from_secs(1);

/// Address, protocol and time limit of a store client.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address of the store's HTTP endpoint.
    pub address: SocketAddr,
    /// Time limit of a call.
    pub timeout: Duration,
    /// The store's protocol.
    pub protocol: StoreProtocol,
}

/// Why a read failed, or why a write was not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The store is not responding, or the circuit breaker blocks calls to it.
    Down,
    /// The store rejects calls because its rate limit is exceeded.
    Throttled,
    /// The store no longer has the requested part of its history, or has come back from an
    /// older copy since the requested position was read.
    Compacted,
    /// The response is malformed.
    Garbled,
}

/// Result of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitResult {
    /// All rows are written. The tags are in the order of the writes.
    Done(Vec<Tag>),
    /// Nothing is written. The conditions of the writes with these indices did not
    /// hold.
    Conflict(Vec<usize>),
    /// The store has come back from an older copy since a tag of the conditions was read.
    /// The rows are written, possibly over rows that nobody here has read.
    Restored,
    /// Nothing is written, for this reason.
    NotSent(Failure),
    /// The response was lost. The rows may have been written or may still be written
    /// later; the caller has to read them back.
    Unknown,
}

/// A client of the table store and its object store. Clones share its connections and
/// the circuit breaker.
#[derive(Debug, Clone)]
pub struct Store {
    kernel: Kernel,
    client: Client,
    timeout: Duration,
    protocol: StoreProtocol,
    circuit: Rc<RefCell<CircuitBreaker>>,
    /// The latest era of the responses; `None` before the first one.
    era: Rc<cell::Cell<Option<Era>>>,
}

/// A response and the era in which the store sent it.
struct Response {
    status: StatusCode,
    body: Bytes,
    era: Era,
}

impl Settings {
    /// Returns settings with the default time limit.
    pub fn at(address: SocketAddr, protocol: StoreProtocol) -> Self {
        Self { address, timeout: CALL_TIMEOUT, protocol }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Down => "the store is not responding",
            Self::Throttled => "the store is throttling calls",
            Self::Compacted => "the store has compacted this part of its history",
            Self::Garbled => "the store sent a malformed response",
        })
    }
}

impl std::error::Error for Failure {}

/// How a call failed.
enum CallError {
    /// The request was never sent.
    NotSent,
    /// The response was lost; the request may have taken effect.
    Lost,
}

impl Store {
    /// Returns a client. It connects when the first call is made.
    pub fn new(kernel: &Kernel, settings: Settings) -> Self {
        let client = Client::new(kernel.clone(), settings.address, MAX_IDLE_CONNECTIONS);
        Self {
            kernel: kernel.clone(),
            client: client.with_max_answer(MAX_RESPONSE_BYTES),
            timeout: settings.timeout,
            protocol: settings.protocol,
            circuit: Rc::default(),
            era: Rc::default(),
        }
    }

    /// Returns the latest era of the store's responses, or `None` before the first one.
    pub fn era(&self) -> Option<Era> {
        self.era.get()
    }

    /// Whether the store counts as down, because the circuit breaker is open.
    pub fn is_down(&self) -> bool {
        self.circuit.borrow().is_open()
    }

    /// Reads a row. Returns `None` if the row does not exist.
    pub async fn read(&self, key: &str) -> Result<Option<Row>, Failure> {
        let rows = self.readable_rows((self.protocol.list)(key, key, 1)).await?;
        Ok(rows.rows.into_iter().find(|row| *row.key == *key))
    }

    /// Reads a row, or its absence, with its tag.
    pub async fn read_cell(&self, key: &str) -> Result<Cell, Failure> {
        let rows = self.readable_rows((self.protocol.list)(key, key, 1)).await?;
        let absent = Cell { tag: Tag { era: rows.position.era, version: 0 }, value: None };
        let row = rows.rows.into_iter().find(|row| *row.key == *key);
        Ok(row.map_or(absent, |row| Cell { tag: row.tag, value: Some(row.value) }))
    }

    /// Lists up to `limit` rows whose keys start with `prefix` and are greater than
    /// `after`, in the order of their keys.
    pub async fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, Failure> {
        let request = (self.protocol.list)(prefix, after, limit + 1);
        let rows = self.readable_rows(request).await?.rows;
        Ok(rows.into_iter().filter(|row| *row.key > *after).take(limit).collect())
    }

    /// Reads up to `limit` rows of a small table, and the version at which they were read.
    /// Unreadable rows are left out.
    pub async fn read_table(&self, table: &str, limit: usize) -> Result<Rows, Failure> {
        self.rows((self.protocol.list)(&format!("{table}/"), "", limit), self.timeout).await
    }

    /// Waits up to `wait` for changes of a table after the position `after`. Fails with
    /// [`Failure::Compacted`] if the store is in another era, since its versions may have
    /// passed `after` again and hide changes.
    pub async fn feed(
        &self,
        table: &str,
        after: Position,
        wait: Duration,
    ) -> Result<Rows, Failure> {
        if self.era().is_some_and(|era| era != after.era) {
            return Err(Failure::Compacted);
        }
        let request = (self.protocol.feed)(table, after.version, wait);
        let rows = self.rows(request, wait + FEED_SLACK.max(self.timeout)).await?;
        match rows.position.era == after.era {
            true => Ok(rows),
            false => Err(Failure::Compacted),
        }
    }

    /// Writes either all rows or none, in one transaction.
    pub async fn commit(&self, writes: Vec<Write>) -> CommitResult {
        if let Some(era) = self.era() {
            let outdated = tags_outside(&writes, era);
            if !outdated.is_empty() {
                return CommitResult::Conflict(outdated);
            }
        }
        let Response { status, body, era } =
            match self.call((self.protocol.commit)(&writes), self.timeout).await {
                Ok(response) => response,
                Err(CallError::NotSent) => return CommitResult::NotSent(Failure::Down),
                Err(CallError::Lost) => return CommitResult::Unknown,
            };
        let result = match status {
            StatusCode::OK if !tags_outside(&writes, era).is_empty() => {
                Some(CommitResult::Restored)
            }
            StatusCode::OK => (self.protocol.parse_commit)(&body, &writes, era),
            StatusCode::PRECONDITION_FAILED => (self.protocol.parse_conflict)(&body, &writes),
            status => failure_of(status).map(CommitResult::NotSent),
        };
        result.unwrap_or_else(|| {
            log::warn!("store responded to a transaction with {status}; its result is unknown");
            CommitResult::Unknown
        })
    }

    /// Reads an object. Returns `None` if the object does not exist.
    pub async fn read_object(&self, name: &str) -> Result<Option<Box<str>>, Failure> {
        match self.call((self.protocol.read_object)(name), self.timeout).await {
            Ok(Response { status: StatusCode::OK, body, .. }) => {
                let text = std::str::from_utf8(&body).map_err(|_| Failure::Garbled)?;
                Ok(Some(text.into()))
            }
            Ok(Response { status: StatusCode::NOT_FOUND, .. }) => Ok(None),
            Ok(Response { status, .. }) => Err(failure_of(status).unwrap_or(Failure::Garbled)),
            Err(_) => Err(Failure::Down),
        }
    }

    /// Writes an object. Returns `false` if it was not written or if this is unknown.
    pub async fn write_object(&self, name: &str, text: &str) -> bool {
        let request = (self.protocol.write_object)(name, text);
        let response = self.call(request, self.timeout).await;
        matches!(response, Ok(Response { status: StatusCode::OK, .. }))
    }

    /// Reads rows all of which have to be readable: one that is left out would count as absent.
    async fn readable_rows(&self, request: Request<Bytes>) -> Result<Rows, Failure> {
        let rows = self.rows(request, self.timeout).await?;
        match rows.unreadable.is_empty() {
            true => Ok(rows),
            false => Err(Failure::Garbled),
        }
    }

    async fn rows(&self, request: Request<Bytes>, limit: Duration) -> Result<Rows, Failure> {
        let Response { status, body, era } =
            self.call(request, limit).await.map_err(|_| Failure::Down)?;
        match status {
            StatusCode::OK => {
                let rows = (self.protocol.parse_rows)(&body, era).ok_or(Failure::Garbled)?;
                if let Some(first) = rows.unreadable.first() {
                    let count = rows.unreadable.len();
                    log::warn!(
                        "{count} rows of the store cannot be read, the first is {first:.64}"
                    );
                }
                Ok(rows)
            }
            status => Err(failure_of(status).unwrap_or(Failure::Garbled)),
        }
    }

    async fn call(&self, request: Request<Bytes>, limit: Duration) -> Result<Response, CallError> {
        let now = self.kernel.clock().now();
        if !self.circuit.borrow_mut().allows(now) {
            return Err(CallError::NotSent);
        }
        // On a timeout the call is dropped, which closes its connection: a connection
        // with an outstanding response cannot be reused.
        let sending = self.client.send(request, Reuse::Allowed);
        let result = match self.kernel.clock().timeout(limit, sending).await {
            Ok(Ok(response)) => self.receive(response),
            Ok(Err(ClientError::NotSent)) => Err(CallError::NotSent),
            Ok(Err(
                ClientError::ConnectionLost
                | ClientError::TooLarge
                | ClientError::MismatchedAnswer
                | ClientError::InvalidStatus,
            ))
            | Err(_) => Err(CallError::Lost),
        };
        let is_unavailable =
            matches!(result, Ok(Response { status: StatusCode::SERVICE_UNAVAILABLE, .. }));
        let was_down = self.is_down();
        match result.is_ok() && !is_unavailable {
            true => self.circuit.borrow_mut().observe_success(),
            false => self.observe_failure(),
        }
        match (was_down, self.is_down()) {
            (false, true) => log::warn!("the store is lost: several consecutive calls failed"),
            (true, false) => log::info!("the store is back"),
            _ => {}
        }
        result
    }

    /// Takes note of the era of a response. A response of an earlier era than the latest one
    /// is no longer true and counts as lost.
    fn receive(&self, response: hyper::Response<Bytes>) -> Result<Response, CallError> {
        let known = self.era.get();
        let era = (self.protocol.read_era)(response.headers()).or(known).unwrap_or_default();
        match known {
            Some(known) if era < known => {
                log::warn!("a response of the store is from era {era}, before era {known}");
                return Err(CallError::Lost);
            }
            Some(known) if era > known => log::warn!(
                "the store has come back from an older copy: era {known} is followed by {era}, \
                 and writes that it has acknowledged may be missing"
            ),
            Some(_) => {}
            None => log::info!("the store is in era {era}"),
        }
        self.era.set(Some(era));
        Ok(Response { status: response.status(), body: response.into_body(), era })
    }

    fn observe_failure(&self) {
        let now = self.kernel.clock().now();
        self.circuit.borrow_mut().observe_failure(now, fastrand::f64());
    }
}

/// Returns the indices of the writes that are conditional on a tag of another era.
fn tags_outside(writes: &[Write], era: Era) -> Vec<usize> {
    let is_outside =
        |write: &Write| matches!(write.condition, Condition::Tag(tag) if tag.era != era);
    writes
        .iter()
        .enumerate()
        .filter(|(_, write)| is_outside(write))
        .map(|(index, _)| index)
        .collect()
}

/// Returns the failure that a status stands for, or `None` for other statuses.
fn failure_of(status: StatusCode) -> Option<Failure> {
    match status {
        StatusCode::TOO_MANY_REQUESTS => Some(Failure::Throttled),
        StatusCode::SERVICE_UNAVAILABLE => Some(Failure::Down),
        StatusCode::GONE => Some(Failure::Compacted),
        _ => None,
    }
}
