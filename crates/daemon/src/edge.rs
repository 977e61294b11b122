//! How the daemon speaks with callers, with the target beside it, and with the
//! store: plain functions that an adapter supplies.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use config::ReadTable;
use hyper::header::{CONNECTION, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request as HttpRequest, Response};
use store::StoreProtocol;

pub use admit::{Announcement, Notice};
pub use wire::{Answer, Header, Outcome, Reason, Request};

use crate::callers;

/// Headers that belong to one connection (RFC 9110, section 7.6.1).
const HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Reads a notice of a target from the method, path and body of its request.
pub type ReadNotice = fn(&Method, &str, &[u8]) -> Result<Notice, Box<str>>;

/// How the daemon speaks with its surroundings.
#[derive(Debug, Clone, Copy)]
pub struct Edge {
    /// Reads the head of a caller's request.
    pub read_head: fn(&Parts) -> Result<Head, Refused>,
    /// Writes the final answer to a caller.
    pub write_response: fn(&Final) -> Response<Bytes>,
    /// Writes a request to the target; `None` when it cannot be written.
    pub write_request: fn(&Request, Duration, &Identity) -> Option<HttpRequest<Bytes>>,
    /// Writes a request for a target's health page.
    pub write_look: fn(&str) -> Option<HttpRequest<Bytes>>,
    /// Reads a target's answer.
    pub read_answer: fn(Response<Bytes>) -> TargetAnswer,
    /// Whether a target's answer belongs to the request with this id.
    pub is_own: fn(&HeaderMap, &str) -> bool,
    /// Reads what a target says of itself; `None` where the settings say it.
    pub read_notice: Option<ReadNotice>,
    /// Reads the table of paths; `None` where service files say what is in force.
    pub read_table: Option<ReadTable>,
    /// Key of the row that holds the table of paths.
    pub table_row: &'static str,
    /// The protocol of the store.
    pub store: StoreProtocol,
}

/// The head of a caller's request.
#[derive(Debug)]
pub struct Head {
    /// What the request is for.
    pub destination: Destination,
    /// Id that the caller chose.
    pub id: Option<Box<str>>,
    /// Time that the caller waits.
    pub deadline: Option<Duration>,
    /// Calls above this one in the chain.
    pub depth: u8,
    /// HTTP method.
    pub method: Box<str>,
    /// Path with its query.
    pub path: Box<str>,
    /// Headers for the target.
    pub headers: Vec<Header>,
}

/// What a request is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Destination {
    /// A service by its name.
    Service {
        /// Name of the service.
        name: Box<str>,
    },
    /// Whatever the table of paths says for this host name and the path.
    Address {
        /// Host name that the request gives.
        hostname: Box<str>,
    },
}

/// Why a request is refused before it is sent anywhere.
#[derive(Debug, PartialEq, Eq)]
pub struct Refused {
    /// Why, for programs.
    pub reason: Reason,
    /// Why, for people.
    pub text: Box<str>,
}

/// The final answer to a caller, before it becomes an HTTP response.
#[derive(Debug)]
pub struct Final {
    /// Id of the request, if it has one.
    pub id: Option<Box<str>>,
    /// Node that took the request.
    pub entry: u64,
    /// The answer.
    pub answer: Answer,
    /// One line for people, where no target answered.
    pub text: Box<str>,
    /// Whether the answer comes too late to be of full use.
    pub is_late: bool,
}

/// Which target a request is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Id of the target's present start; empty where targets have none.
    pub instance: Box<str>,
    /// Its address.
    pub address: SocketAddr,
}

/// A target's answer.
#[derive(Debug)]
pub struct TargetAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers for the caller.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
    /// What the answer says of the request.
    pub fate: Fate,
    /// When the target wants to be asked again.
    pub retry_after: Option<Duration>,
    /// What the target says of its load.
    pub report: Option<Report>,
    /// Id of the target that answered, if it tells.
    pub instance: Option<Box<str>>,
}

/// What a target's answer says of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It ran.
    Ran,
    /// The target asks for less load; the request may have run.
    Shed,
    /// It has not run.
    NotRun,
    /// It has not run: another target has the address.
    Moved,
}

/// What a target says of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Requests that run.
    pub running: u16,
    /// Requests that wait in the target.
    pub waiting: u16,
    /// Requests that it runs at a time.
    pub slots: u16,
    /// Time that work takes now, in percent of the usual.
    pub pace: Option<u16>,
}

impl Edge {
    /// The project's own interface, described in `docs/CALLERS.md`.
    pub fn of_callers(store: StoreProtocol) -> Self {
        Self {
            read_head: callers::read_head,
            write_response: callers::write_response,
            write_request: callers::write_request,
            write_look: |_| None,
            read_answer: callers::read_answer,
            is_own: |_, _| true,
            read_notice: None,
            read_table: None,
            table_row: "",
            store,
        }
    }
}

/// The headers that go on to the next connection, without the host name.
pub fn end_to_end(headers: &HeaderMap) -> Vec<Header> {
    let named = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let named: Vec<String> =
        named.flat_map(|list| list.split(',')).map(|name| name.trim().to_lowercase()).collect();
    let goes_on = |name: &str| {
        !HOP_HEADERS.contains(&name)
            && !named.iter().any(|named| named == name)
            && name != "content-length"
            && name != "host"
    };
    let headers = headers.iter().filter(|(name, _)| goes_on(name.as_str()));
    let headers = headers
        .map(|(name, value)| Header { name: name.as_str().into(), value: value.as_bytes().into() });
    headers.collect()
}

/// Adds headers to those of a message.
pub fn copy_headers(from: &[Header], to: &mut HeaderMap) {
    for header in from {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            to.append(name, value);
        }
    }
}
