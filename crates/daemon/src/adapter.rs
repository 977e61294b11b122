//! The protocols that the daemon uses with callers, with the target beside it and with
//! the store. An adapter supplies them as plain functions.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use config::ReadTable;
use hyper::header::{CONNECTION, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request as HttpRequest, Response};
use store::StoreProtocol;

pub use admit::{Announcement, Notice, cold, rate};
pub use wire::{Answer, Header, Outcome, Reason, Request};

use crate::callers;
pub use crate::credentials::{BearerKey, Credentials};

/// Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
const HOP_BY_HOP_HEADERS: [&str; 8] = [
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

/// The functions and constants of one set of protocols.
#[derive(Debug, Clone, Copy)]
pub struct ProtocolAdapter {
    /// Reads the head of a caller's request.
    pub read_head: fn(&Parts) -> Result<RequestHead, Refused>,
    /// Writes the final answer to a caller.
    pub write_response: fn(&FinalAnswer) -> Response<Bytes>,
    /// Writes a request to the target; `None` if it cannot be written.
    pub write_request: fn(&Request, Duration, &TargetIdentity) -> Option<HttpRequest<Bytes>>,
    /// Writes a request for a target's health page at the given path; `None` if the
    /// protocol has no health page.
    pub write_health_check: fn(&str) -> Option<HttpRequest<Bytes>>,
    /// Reads a target's answer.
    pub read_answer: fn(Response<Bytes>) -> TargetAnswer,
    /// Whether the headers of a target's answer belong to the exchange in which it arrived: the
    /// request with this id, or a health check if there is no id.
    pub answers_request: fn(&HeaderMap, Option<&str>) -> bool,
    /// Reads a notice of a target; `None` if targets send no notices and the settings of
    /// the daemon describe the target.
    pub read_notice: Option<ReadNotice>,
    /// Reads the route table; `None` if service files are used instead.
    pub read_route_table: Option<ReadTable>,
    /// Key of the store row that holds the route table.
    pub route_table_key: &'static str,
    /// Prefix of the keys of the rows in the same table that request the evacuation of a data
    /// centre, whose name is the rest of the key.
    pub evacuation_prefix: &'static str,
    /// The protocol of the store.
    pub store: StoreProtocol,
}

/// The head of a caller's request.
#[derive(Debug)]
pub struct RequestHead {
    /// Where the request is to be routed.
    pub destination: Destination,
    /// Id that the caller chose, if any.
    pub id: Option<Box<str>>,
    /// Time that the caller waits, if it sets one.
    pub deadline: Option<Duration>,
    /// Number of calls above this one in a chain of nested calls.
    pub depth: u8,
    /// HTTP method.
    pub method: Box<str>,
    /// Path and query.
    pub path: Box<str>,
    /// Headers for the target, without those in `credentials`.
    pub headers: Vec<Header>,
    /// The caller's credentials, if the protocol knows keys of organisations.
    pub credentials: Credentials,
}

/// Where a request is to be routed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Destination {
    /// To a service.
    Service {
        /// Name of the service.
        name: Box<str>,
    },
    /// To a service that the route table selects by host name and path.
    Hostname {
        /// Host name in the request.
        hostname: Box<str>,
    },
}

/// Why a request is refused before it is sent to any target.
#[derive(Debug, PartialEq, Eq)]
pub struct Refused {
    /// Reason code.
    pub reason: Reason,
    /// Error message for the caller.
    pub text: Box<str>,
}

/// The final answer to a caller, before it becomes an HTTP response.
#[derive(Debug)]
pub struct FinalAnswer {
    /// Id of the request, if it has one.
    pub id: Option<Box<str>>,
    /// Node that received the request from the caller.
    pub entry: u64,
    /// The answer.
    pub answer: Answer,
    /// One line of text, used as the body if no target answered.
    pub text: Box<str>,
    /// Whether the answer comes after the target latency of the request.
    pub is_late: bool,
}

/// The target process that a request is sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetIdentity {
    /// Instance id of the target process; empty if the protocol has no instance ids.
    pub instance: Box<str>,
    /// Address of the target.
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
    /// Whether the request ran, according to the answer.
    pub execution: ExecutionStatus,
    /// Time after which the target accepts requests again, if it sets one.
    pub retry_after: Option<Duration>,
    /// Load of the target, if it reports one.
    pub report: Option<LoadReport>,
    /// The request rate that the target accepts.
    pub rate: rate::Statement,
    /// Whether the target states that it is cold.
    pub cold: cold::Statement,
    /// Whether the target states that it is leaving.
    pub is_leaving: bool,
    /// Instance id of the process that answered, if it gives one.
    pub instance: Option<Box<str>>,
}

/// Whether a request ran, according to the target's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// The request ran.
    Ran,
    /// The target sheds load; the request may have run.
    Shed,
    /// The request did not run.
    NotRun,
    /// The request did not run, because the address belongs to another target.
    Misdirected,
}

/// The load that a target reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u16,
    /// Number of requests that wait inside the target.
    pub waiting: u16,
    /// Number of requests that the target runs at a time.
    pub slots: u16,
    /// Current service times in percent of the nominal ones, if the target reports them.
    pub pace: Option<u16>,
}

impl ProtocolAdapter {
    /// The adapter of the project's own HTTP interface, described in `docs/CALLERS.md`.
    pub fn for_callers(store: StoreProtocol) -> Self {
        Self {
            read_head: callers::read_head,
            write_response: callers::write_response,
            write_request: callers::write_request,
            write_health_check: |_| None,
            read_answer: callers::read_answer,
            answers_request: |_, _| true,
            read_notice: None,
            read_route_table: None,
            route_table_key: "",
            evacuation_prefix: "",
            store,
        }
    }
}

/// Returns the headers to be forwarded: all but the hop-by-hop headers, those listed in
/// `Connection`, the content length and the host name.
pub fn end_to_end_headers(headers: &HeaderMap) -> Vec<Header> {
    let connection_values =
        headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let connection_headers: Vec<String> = connection_values
        .flat_map(|list| list.split(','))
        .map(|name| name.trim().to_lowercase())
        .collect();
    let is_end_to_end = |name: &str| {
        !HOP_BY_HOP_HEADERS.contains(&name)
            && !connection_headers.iter().any(|listed| listed == name)
            && name != "content-length"
            && name != "host"
    };
    let headers = headers.iter().filter(|(name, _)| is_end_to_end(name.as_str()));
    let headers = headers
        .map(|(name, value)| Header { name: name.as_str().into(), value: value.as_bytes().into() });
    headers.collect()
}

/// Appends headers to those of an HTTP message. Invalid headers are skipped.
pub fn append_headers(from: &[Header], to: &mut HeaderMap) {
    for header in from {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            to.append(name, value);
        }
    }
}
