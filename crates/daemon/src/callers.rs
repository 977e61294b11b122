//! The project's own interface: headers of callers and targets, described in
//! `docs/CALLERS.md`.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HOST, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Method, Request as HttpRequest, Response, StatusCode};
use wire::{Outcome, Reason, Request};

use crate::call::refused;
use crate::edge::{
    Destination, Fate, Final, Head, Identity, Refused, TargetAnswer, copy_headers, end_to_end,
};
use crate::{headers, journal};

/// Longest id that a caller may choose, in bytes.
const MAX_ID_BYTES: usize = 128;
/// Longest deadline that a caller may ask for.
const MAX_DEADLINE: Duration = Duration::from_secs(3600);

/// Reads the head of a caller's request.
pub(crate) fn read_head(parts: &Parts) -> Result<Head, Refused> {
    let headers = &parts.headers;
    let bad = |text: String| refused(Reason::BadRequest, text);
    let service = match text_of(headers, headers::SERVICE).map_err(bad)? {
        Some(service) => service,
        None => service_of_host(headers).ok_or_else(|| {
            bad(format!("the request names no service; set the header {}", headers::SERVICE))
        })?,
    };
    let key = text_of(headers, headers::IDEMPOTENCY_KEY).map_err(bad)?;
    let id = match key {
        Some(key) => Some(key),
        None => text_of(headers, headers::REQUEST_ID).map_err(bad)?,
    };
    if id.as_ref().is_some_and(|id| !is_id(id)) {
        return Err(bad(format!(
            "the request id must have 1 to {MAX_ID_BYTES} visible ASCII characters"
        )));
    }
    let deadline = number_of(headers, headers::DEADLINE_MS).map_err(bad)?;
    let depth = number_of(headers, headers::DEPTH).map_err(bad)?.unwrap_or(0);
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    Ok(Head {
        destination: Destination::Service { name: service.into() },
        id: id.map(Box::from),
        deadline: deadline.map(|millis| Duration::from_millis(millis).min(MAX_DEADLINE)),
        depth: u8::try_from(depth).unwrap_or(u8::MAX),
        method: parts.method.as_str().into(),
        path: path.into(),
        headers: end_to_end(headers),
    })
}

/// Writes the final answer to a caller.
pub(crate) fn write_response(last: &Final) -> Response<Bytes> {
    let answer = &last.answer;
    let is_from_target = answer.status != 0;
    let body = match is_from_target {
        true => answer.body.clone(),
        false => Bytes::copy_from_slice(last.text.as_bytes()),
    };
    let mut response = Response::new(body);
    *response.status_mut() = match is_from_target {
        true => StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY),
        false => status_of(answer.outcome, answer.reason),
    };
    let headers = response.headers_mut();
    if is_from_target {
        copy_headers(&answer.headers, headers);
    } else {
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    }
    // What a target passes on from a deeper layer is about another request.
    put(headers, headers::OUTCOME, journal::outcome_text(answer.outcome));
    put(headers, headers::REASON, journal::reason_text(answer.reason));
    put(headers, headers::ENTRY, &format!("{:016x}", last.entry));
    put(headers, headers::NODE, &format!("{:016x}", answer.node));
    if let Some(id) = &last.id {
        put(headers, headers::REQUEST_ID, id);
    }
    if !answer.retry_after.is_zero() && !headers.contains_key(RETRY_AFTER) {
        put_retry_after(headers, answer.retry_after);
    }
    response
}

/// The status of an answer that no target gave.
fn status_of(outcome: Outcome, reason: Reason) -> StatusCode {
    match reason {
        Reason::BadRequest => StatusCode::BAD_REQUEST,
        Reason::UnknownService | Reason::UnknownPath => StatusCode::NOT_FOUND,
        Reason::UnknownMethod => StatusCode::METHOD_NOT_ALLOWED,
        Reason::TooLarge if outcome == Outcome::NotRun => StatusCode::PAYLOAD_TOO_LARGE,
        Reason::TooLarge | Reason::Cut | Reason::Crashed => StatusCode::BAD_GATEWAY,
        Reason::TooDeep => StatusCode::LOOP_DETECTED,
        Reason::Conflict => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::InProgress | Reason::AlreadyRan | Reason::RefusedBefore => StatusCode::CONFLICT,
        Reason::Expired => StatusCode::GATEWAY_TIMEOUT,
        Reason::Unreachable if outcome == Outcome::Unknown => StatusCode::BAD_GATEWAY,
        Reason::None
        | Reason::Busy
        | Reason::Late
        | Reason::Leaving
        | Reason::Held
        | Reason::NoTarget
        | Reason::NotReady
        | Reason::Unreachable
        | Reason::StoreDown
        | Reason::TargetShed
        | Reason::TargetFailing
        | Reason::Slow => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Writes a request to the target.
pub(crate) fn write_request(
    request: &Request,
    remaining: Duration,
    target: &Identity,
) -> Option<HttpRequest<Bytes>> {
    let method = Method::from_bytes(request.method.as_bytes()).ok()?;
    let mut message = HttpRequest::builder()
        .method(method)
        .uri(&*request.path)
        .body(request.body.clone())
        .ok()?;
    let depth = u32::from(request.depth) + 1;
    let own = [
        (HOST.as_str(), target.address.to_string()),
        (headers::REQUEST_ID, request.id.to_string()),
        (headers::DEADLINE_MS, remaining.as_millis().to_string()),
        (headers::DEPTH, depth.to_string()),
    ];
    let headers = message.headers_mut();
    copy_headers(&request.headers, headers);
    for (name, value) in own {
        headers.insert(HeaderName::from_static(name), HeaderValue::try_from(value).ok()?);
    }
    Some(message)
}

/// Reads a target's answer. A target that asks for less load answers 503 with
/// `Retry-After`; one that came from further down the chain says nothing of it.
pub(crate) fn read_answer(response: Response<Bytes>) -> TargetAnswer {
    let seconds = response.headers().get(RETRY_AFTER);
    let seconds = seconds.and_then(|value| value.to_str().ok()?.parse().ok());
    let status = response.status().as_u16();
    let passed_on = end_to_end(response.headers());
    let is_shed = status == 503 && seconds.is_some() && !headers::is_from_below(&passed_on);
    TargetAnswer {
        status,
        fate: match is_shed {
            true => Fate::Shed,
            false => Fate::Ran,
        },
        retry_after: seconds.map(Duration::from_secs),
        report: None,
        instance: None,
        headers: passed_on,
        body: response.into_body(),
    }
}

fn put(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::try_from(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// `Retry-After` counts whole seconds; the second header is exact.
fn put_retry_after(headers: &mut HeaderMap, after: Duration) {
    let seconds = after.as_millis().div_ceil(1000);
    put(headers, "retry-after", &seconds.to_string());
    put(headers, headers::RETRY_AFTER_MS, &after.as_millis().to_string());
}

fn text_of<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, String> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) => Ok(Some(text)),
        Err(_) => Err(format!("the header {name} is not visible ASCII")),
    }
}

fn number_of(headers: &HeaderMap, name: &str) -> Result<Option<u64>, String> {
    let Some(text) = text_of(headers, name)? else {
        return Ok(None);
    };
    let number = text.trim().parse();
    number.map(Some).map_err(|_| format!("the header {name} is not a whole number"))
}

fn is_id(id: &str) -> bool {
    (1..=MAX_ID_BYTES).contains(&id.len()) && id.bytes().all(|b| b.is_ascii_graphic())
}

/// The first label of the host, when it is not an address.
fn service_of_host(headers: &HeaderMap) -> Option<&str> {
    let host = headers.get(hyper::header::HOST)?.to_str().ok()?;
    let label = host.split(['.', ':']).next()?;
    let is_name = label.bytes().next()?.is_ascii_lowercase() && label != "localhost";
    is_name.then_some(label)
}
