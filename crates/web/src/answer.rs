//! Encoding of answers to callers.

use std::time::SystemTime;

use bytes::buf::Chain;
use bytes::{Buf, Bytes, BytesMut};
use hyper::header::{CONNECTION, CONTENT_LENGTH, DATE, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode, Version};

/// Interim answer to a request with `Expect: 100-continue`: the caller may send the body.
pub(crate) const INTERIM_CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Encoded head and body of an answer, of which a part may already have been written.
pub(crate) type EncodedAnswer = Chain<Bytes, Bytes>;

/// Properties of a request that determine how its answer is encoded.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AnswerFormat {
    /// Whether the method is HEAD, so that the answer has no body.
    pub(crate) is_head: bool,
    /// Whether the request uses HTTP/1.0, in which a connection closes after the answer
    /// unless the answer has `Connection: keep-alive`.
    pub(crate) is_http_10: bool,
}

impl AnswerFormat {
    pub(crate) fn of(parts: &Parts) -> Self {
        Self {
            is_head: parts.method == Method::HEAD,
            is_http_10: parts.version == Version::HTTP_10,
        }
    }
}

/// Wraps bytes that are sent exactly as they are.
pub(crate) fn encode_static(bytes: &'static [u8]) -> EncodedAnswer {
    Bytes::from_static(bytes).chain(Bytes::new())
}

/// Encodes an answer. The fields `Content-Length`, `Date`, `Connection` and
/// `Transfer-Encoding` of `answer` are ignored; the first three are generated here.
pub(crate) fn encode_answer(
    answer: Response<Bytes>,
    format: AnswerFormat,
    closes: bool,
) -> EncodedAnswer {
    let (parts, body) = answer.into_parts();
    let status = parts.status;
    let mut head = BytesMut::with_capacity(512);
    let mut put = |pieces: &[&[u8]]| pieces.iter().for_each(|piece| head.extend_from_slice(piece));
    let reason = status.canonical_reason().unwrap_or_default();
    put(&[b"HTTP/1.1 ", status.as_str().as_bytes(), b" ", reason.as_bytes(), b"\r\n"]);
    let is_generated = |name| [CONNECTION, CONTENT_LENGTH, DATE, TRANSFER_ENCODING].contains(name);
    for (name, value) in parts.headers.iter().filter(|(name, _)| !is_generated(name)) {
        put(&[name.as_str().as_bytes(), b": ", value.as_bytes(), b"\r\n"]);
    }
    let has_body = !status.is_informational()
        && ![StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&status);
    // If the answer to a HEAD request has no body, the length that GET would give is unknown.
    if has_body && !(format.is_head && body.is_empty()) {
        put(&[b"content-length: ", body.len().to_string().as_bytes(), b"\r\n"]);
    }
    put(&[b"date: ", httpdate::fmt_http_date(SystemTime::now()).as_bytes(), b"\r\n"]);
    match (closes, format.is_http_10) {
        (true, _) => put(&[b"connection: close\r\n"]),
        (false, true) => put(&[b"connection: keep-alive\r\n"]),
        (false, false) => {}
    }
    put(&[b"\r\n"]);
    let body = if has_body && !format.is_head { body } else { Bytes::new() };
    head.freeze().chain(body)
}
