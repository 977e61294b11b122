//! Calls to the store and what is known after them.

use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Request, StatusCode};
use kernel::Kernel;
use web::{Client, ClientError, Reuse};

use crate::circuit::Circuit;
use crate::row::{Dialect, Row, Rows, Version, Write};

/// Largest answer that is read, in bytes: a full page of a list.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// Connections kept open between calls.
const MAX_IDLE: usize = 2;
/// Time limit of a call: above the answers of a store that is 100 times slower
/// than usual.
const CALL_TIME: Duration = Duration::from_secs(1);
/// Time that the answer of a feed may take beyond the wait that was asked for.
const FEED_SLACK: Duration = Duration::from_secs(1);

/// Where the store is, how long a call may take, and how it is spoken to.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address of its HTTP endpoint.
    pub address: SocketAddr,
    /// Time limit of a call.
    pub timeout: Duration,
    /// The way that its protocol is spoken.
    pub dialect: Dialect,
}

/// Why a read brought nothing, or a write was not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The store does not answer, or its circuit is open.
    Down,
    /// The store asks for fewer calls.
    Throttled,
    /// The store has dropped the history that was asked for.
    Compacted,
    /// The answer makes no sense.
    Garbled,
}

/// What became of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Commit {
    /// All rows are written, with these tags.
    Done(Vec<Box<str>>),
    /// Nothing is written: the conditions at these places did not hold.
    Conflict(Vec<usize>),
    /// Nothing is written.
    NotSent(Failure),
    /// The answer was lost. The rows may be written, now or later: read back.
    Unknown,
}

/// A client of the table and the object store. Clones share it.
#[derive(Debug, Clone)]
pub struct Store {
    kernel: Kernel,
    client: Client,
    timeout: Duration,
    dialect: Dialect,
    circuit: Rc<RefCell<Circuit>>,
}

impl Settings {
    /// Settings with the usual time limit.
    pub fn at(address: SocketAddr, dialect: Dialect) -> Self {
        Self { address, timeout: CALL_TIME, dialect }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Down => "the store does not answer",
            Self::Throttled => "the store asks for fewer calls",
            Self::Compacted => "the store has dropped this part of its history",
            Self::Garbled => "the store's answer makes no sense",
        })
    }
}

impl std::error::Error for Failure {}

/// How a call ended that brought no usable answer.
enum Broken {
    /// It was never sent.
    NotSent,
    /// It may have taken effect.
    Lost,
}

impl Store {
    /// A client. No connection is made before the first call.
    pub fn new(kernel: &Kernel, settings: Settings) -> Self {
        let client = Client::new(kernel.clone(), settings.address, MAX_IDLE);
        Self {
            kernel: kernel.clone(),
            client: client.with_max_answer(MAX_ANSWER_BYTES),
            timeout: settings.timeout,
            dialect: settings.dialect,
            circuit: Rc::default(),
        }
    }

    /// Whether the store is taken to be down.
    pub fn is_down(&self) -> bool {
        self.circuit.borrow().is_open()
    }

    /// Reads a row; `None` when there is none.
    pub async fn read(&self, key: &str) -> Result<Option<Row>, Failure> {
        let rows = self.rows((self.dialect.list)(key, key, 1), self.timeout).await?;
        Ok(rows.rows.into_iter().find(|row| *row.key == *key))
    }

    /// Lists up to `limit` rows whose keys start with `prefix` and come after
    /// `after`, in the order of their keys.
    pub async fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, Failure> {
        let request = (self.dialect.list)(prefix, after, limit + 1);
        let rows = self.rows(request, self.timeout).await?.rows;
        Ok(rows.into_iter().filter(|row| *row.key > *after).take(limit).collect())
    }

    /// All rows of a small table, and the version at which they stood.
    pub async fn read_table(&self, table: &str, limit: usize) -> Result<Rows, Failure> {
        self.rows((self.dialect.list)(&format!("{table}/"), "", limit), self.timeout).await
    }

    /// Waits up to `wait` for changes of a table after a version.
    pub async fn feed(&self, table: &str, after: Version, wait: Duration) -> Result<Rows, Failure> {
        let request = (self.dialect.feed)(table, after, wait);
        self.rows(request, wait + FEED_SLACK.max(self.timeout)).await
    }

    /// Writes all rows or none.
    pub async fn commit(&self, writes: Vec<Write>) -> Commit {
        let (status, body) = match self.call((self.dialect.commit)(&writes), self.timeout).await {
            Ok(answer) => answer,
            Err(Broken::NotSent) => return Commit::NotSent(Failure::Down),
            Err(Broken::Lost) => return Commit::Unknown,
        };
        let commit = match status {
            StatusCode::OK => (self.dialect.done)(&body, &writes),
            StatusCode::PRECONDITION_FAILED => (self.dialect.conflict)(&body, &writes),
            status => failure_of(status).map(Commit::NotSent),
        };
        commit.unwrap_or_else(|| {
            log::warn!("a transaction was answered with {status}, which does not tell its fate");
            Commit::Unknown
        })
    }

    /// Reads an object; `None` when there is none.
    pub async fn read_object(&self, name: &str) -> Result<Option<Box<str>>, Failure> {
        match self.call((self.dialect.read_object)(name), self.timeout).await {
            Ok((StatusCode::OK, body)) => {
                let text = std::str::from_utf8(&body).map_err(|_| Failure::Garbled)?;
                Ok(Some(text.into()))
            }
            Ok((StatusCode::NOT_FOUND, _)) => Ok(None),
            Ok((status, _)) => Err(failure_of(status).unwrap_or(Failure::Garbled)),
            Err(_) => Err(Failure::Down),
        }
    }

    /// Writes an object. `false` when it is not known to be written.
    pub async fn write_object(&self, name: &str, text: &str) -> bool {
        let request = (self.dialect.write_object)(name, text);
        matches!(self.call(request, self.timeout).await, Ok((StatusCode::OK, _)))
    }

    async fn rows(&self, request: Request<Bytes>, limit: Duration) -> Result<Rows, Failure> {
        let (status, body) = self.call(request, limit).await.map_err(|_| Failure::Down)?;
        match status {
            StatusCode::OK => (self.dialect.rows)(&body).ok_or(Failure::Garbled),
            status => Err(failure_of(status).unwrap_or(Failure::Garbled)),
        }
    }

    async fn call(
        &self,
        request: Request<Bytes>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), Broken> {
        let now = self.kernel.clock().now();
        if !self.circuit.borrow_mut().allows(now) {
            return Err(Broken::NotSent);
        }
        // Dropping a call that is over its time closes the connection, which
        // would deliver nothing more.
        let sending = self.client.send(request, Reuse::Allowed);
        let result = match self.kernel.clock().timeout(limit, sending).await {
            Ok(Ok(response)) => Ok((response.status(), response.into_body())),
            Ok(Err(ClientError::NotSent)) => Err(Broken::NotSent),
            Ok(Err(
                ClientError::ConnectionLost | ClientError::TooLarge | ClientError::MismatchedAnswer,
            ))
            | Err(_) => Err(Broken::Lost),
        };
        let is_refused = matches!(result, Ok((StatusCode::SERVICE_UNAVAILABLE, _)));
        let was_down = self.is_down();
        match result.is_ok() && !is_refused {
            true => self.circuit.borrow_mut().observe_answer(),
            false => self.observe_failure(),
        }
        match (was_down, self.is_down()) {
            (false, true) => log::warn!("the store is lost: several calls in a row had no answer"),
            (true, false) => log::info!("the store is back"),
            _ => {}
        }
        result
    }

    fn observe_failure(&self) {
        let now = self.kernel.clock().now();
        self.circuit.borrow_mut().observe_failure(now, fastrand::f64());
    }
}

fn failure_of(status: StatusCode) -> Option<Failure> {
    match status {
        StatusCode::TOO_MANY_REQUESTS => Some(Failure::Throttled),
        StatusCode::SERVICE_UNAVAILABLE => Some(Failure::Down),
        StatusCode::GONE => Some(Failure::Compacted),
        _ => None,
    }
}
