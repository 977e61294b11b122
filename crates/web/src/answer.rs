//! Answers to callers as bytes.

use std::time::SystemTime;

use bytes::buf::Chain;
use bytes::{Buf, Bytes, BytesMut};
use hyper::header::{CONNECTION, CONTENT_LENGTH, DATE, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode, Version};

/// Tells a caller to send the body that it holds back.
pub(crate) const GO_AHEAD: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Head and body of an answer while they are written.
pub(crate) type Written = Chain<Bytes, Bytes>;

/// What of a request its answer depends on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Asked {
    /// It asks for the head of an answer only.
    pub(crate) is_head: bool,
    /// It is of HTTP/1.0, where connections close unless something else is said.
    pub(crate) is_old: bool,
}

impl Asked {
    pub(crate) fn of(parts: &Parts) -> Self {
        Self { is_head: parts.method == Method::HEAD, is_old: parts.version == Version::HTTP_10 }
    }
}

/// Bytes without a body around them.
pub(crate) fn write_plain(bytes: &'static [u8]) -> Written {
    Bytes::from_static(bytes).chain(Bytes::new())
}

/// Writes an answer. Its length, its date and what concerns the connection are set here.
pub(crate) fn write_answer(answer: Response<Bytes>, asked: Asked, closes: bool) -> Written {
    let (parts, body) = answer.into_parts();
    let status = parts.status;
    let mut head = BytesMut::with_capacity(512);
    let mut put = |pieces: &[&[u8]]| pieces.iter().for_each(|piece| head.extend_from_slice(piece));
    let reason = status.canonical_reason().unwrap_or_default();
    put(&[b"HTTP/1.1 ", status.as_str().as_bytes(), b" ", reason.as_bytes(), b"\r\n"]);
    let is_own = |name| [CONNECTION, CONTENT_LENGTH, DATE, TRANSFER_ENCODING].contains(name);
    for (name, value) in parts.headers.iter().filter(|(name, _)| !is_own(name)) {
        put(&[name.as_str().as_bytes(), b": ", value.as_bytes(), b"\r\n"]);
    }
    let has_body = !status.is_informational()
        && ![StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&status);
    // The length of what a request for the head alone would have got is not known here.
    if has_body && !(asked.is_head && body.is_empty()) {
        put(&[b"content-length: ", body.len().to_string().as_bytes(), b"\r\n"]);
    }
    put(&[b"date: ", httpdate::fmt_http_date(SystemTime::now()).as_bytes(), b"\r\n"]);
    match (closes, asked.is_old) {
        (true, _) => put(&[b"connection: close\r\n"]),
        (false, true) => put(&[b"connection: keep-alive\r\n"]),
        (false, false) => {}
    }
    put(&[b"\r\n"]);
    let body = if has_body && !asked.is_head { body } else { Bytes::new() };
    head.freeze().chain(body)
}
