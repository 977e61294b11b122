//! The `callers` interface: the headers that callers and targets use, as described in
//! `docs/CALLERS.md`.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HOST, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Method, Request as HttpRequest, Response, StatusCode};
use wire::{Outcome, Reason, Request};

use crate::adapter::{
    Destination, ExecutionStatus, FinalAnswer, Refused, RequestHead, TargetAnswer, TargetIdentity,
    append_headers, end_to_end_headers, rate,
};
use crate::call::refused;
use crate::{headers, journal};

/// Maximum length in bytes of a request id chosen by the caller.
const MAX_ID_BYTES: usize = 128;
/// Maximum deadline that a caller may request.
const MAX_DEADLINE: Duration = Duration::from_secs(3600);

/// Parses the head of a caller's request.
pub(crate) fn read_head(parts: &Parts) -> Result<RequestHead, Refused> {
    let headers = &parts.headers;
    let bad_request = |text: String| refused(Reason::BadRequest, text);
    let service = match header_text(headers, headers::SERVICE).map_err(bad_request)? {
        Some(service) => service,
        None => service_from_host(headers).ok_or_else(|| {
            bad_request(format!(
                "the request names no service; set the header {}",
                headers::SERVICE
            ))
        })?,
    };
    let key = header_text(headers, headers::IDEMPOTENCY_KEY).map_err(bad_request)?;
    let id = match key {
        Some(key) => Some(key),
        None => header_text(headers, headers::REQUEST_ID).map_err(bad_request)?,
    };
    if id.as_ref().is_some_and(|id| !is_valid_id(id)) {
        return Err(bad_request(format!(
            "the request id must have 1 to {MAX_ID_BYTES} visible ASCII characters"
        )));
    }
    let deadline = header_number(headers, headers::DEADLINE_MS).map_err(bad_request)?;
    let depth = header_number(headers, headers::DEPTH).map_err(bad_request)?.unwrap_or(0);
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    Ok(RequestHead {
        destination: Destination::Service { name: service.into() },
        id: id.map(Box::from),
        deadline: deadline.map(|millis| Duration::from_millis(millis).min(MAX_DEADLINE)),
        depth: u8::try_from(depth).unwrap_or(u8::MAX),
        method: parts.method.as_str().into(),
        path: path.into(),
        headers: end_to_end_headers(headers),
    })
}

/// Converts the final answer into the response to the caller.
pub(crate) fn write_response(final_answer: &FinalAnswer) -> Response<Bytes> {
    let answer = &final_answer.answer;
    let is_from_target = answer.is_from_target();
    let body = match is_from_target {
        true => answer.body.clone(),
        false => Bytes::copy_from_slice(final_answer.text.as_bytes()),
    };
    let mut response = Response::new(body);
    *response.status_mut() = match is_from_target {
        true => StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY),
        false => refusal_status(answer.outcome, answer.reason),
    };
    let headers = response.headers_mut();
    if is_from_target {
        append_headers(&answer.headers, headers);
    } else {
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    }
    // These headers replace any that the target passes on from a deeper layer of the chain,
    // because those are about another request.
    set_header(headers, headers::OUTCOME, journal::outcome_text(answer.outcome));
    set_header(headers, headers::REASON, journal::reason_text(answer.reason));
    set_header(headers, headers::ENTRY, &format!("{:016x}", final_answer.entry));
    set_header(headers, headers::NODE, &format!("{:016x}", answer.node));
    if let Some(id) = &final_answer.id {
        set_header(headers, headers::REQUEST_ID, id);
    }
    if !answer.retry_after.is_zero() && !headers.contains_key(RETRY_AFTER) {
        set_retry_after(headers, answer.retry_after);
    }
    response
}

/// Returns the HTTP status of an answer that does not come from a target.
fn refusal_status(outcome: Outcome, reason: Reason) -> StatusCode {
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
        Reason::UnknownKey => StatusCode::UNAUTHORIZED,
        Reason::OverQuota => StatusCode::TOO_MANY_REQUESTS,
        Reason::Unreachable if outcome == Outcome::Unknown => StatusCode::BAD_GATEWAY,
        Reason::None if outcome != Outcome::NotRun => StatusCode::BAD_GATEWAY,
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
        | Reason::Slow
        | Reason::Evacuated
        | Reason::StoreRestored => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Converts a request into the HTTP request to the target.
pub(crate) fn write_request(
    request: &Request,
    remaining: Duration,
    target: &TargetIdentity,
) -> Option<HttpRequest<Bytes>> {
    let method = Method::from_bytes(request.method.as_bytes()).ok()?;
    let mut message = HttpRequest::builder()
        .method(method)
        .uri(&*request.path)
        .body(request.body.clone())
        .ok()?;
    let depth = u32::from(request.depth) + 1;
    let generated = [
        (HOST.as_str(), target.address.to_string()),
        (headers::REQUEST_ID, request.id.to_string()),
        (headers::DEADLINE_MS, remaining.as_millis().to_string()),
        (headers::DEPTH, depth.to_string()),
    ];
    let headers = message.headers_mut();
    append_headers(&request.headers, headers);
    for (name, value) in generated {
        headers.insert(HeaderName::from_static(name), HeaderValue::try_from(value).ok()?);
    }
    Some(message)
}

/// Parses a target's answer. A target sheds load by answering 503 with `Retry-After`. Such
/// an answer does not count if the target passes it on from a deeper layer of the chain.
pub(crate) fn read_answer(response: Response<Bytes>) -> TargetAnswer {
    let seconds = response.headers().get(RETRY_AFTER);
    let seconds = seconds.and_then(|value| value.to_str().ok()?.parse().ok());
    let status = response.status().as_u16();
    let target_headers = end_to_end_headers(response.headers());
    let is_shed =
        status == 503 && seconds.is_some() && !headers::is_from_deeper_layer(&target_headers);
    TargetAnswer {
        status,
        execution: match is_shed {
            true => ExecutionStatus::Shed,
            false => ExecutionStatus::Ran,
        },
        retry_after: seconds.map(Duration::from_secs),
        report: None,
        rate: rate::Statement::Unlimited,
        is_leaving: false,
        instance: None,
        headers: target_headers,
        body: response.into_body(),
    }
}

fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::try_from(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Sets `Retry-After`, which has a resolution of one second, and a second header with the
/// time in milliseconds.
fn set_retry_after(headers: &mut HeaderMap, after: Duration) {
    let seconds = after.as_millis().div_ceil(1000);
    set_header(headers, "retry-after", &seconds.to_string());
    set_header(headers, headers::RETRY_AFTER_MS, &after.as_millis().to_string());
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, String> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) => Ok(Some(text)),
        Err(_) => Err(format!("the header {name} is not visible ASCII")),
    }
}

fn header_number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, String> {
    let Some(text) = header_text(headers, name)? else {
        return Ok(None);
    };
    let number = text.trim().parse();
    number.map(Some).map_err(|_| format!("the header {name} is not a whole number"))
}

fn is_valid_id(id: &str) -> bool {
    (1..=MAX_ID_BYTES).contains(&id.len()) && id.bytes().all(|b| b.is_ascii_graphic())
}

/// Returns the first label of the host name as the service, unless it is an IP address or
/// `localhost`.
fn service_from_host(headers: &HeaderMap) -> Option<&str> {
    let host = headers.get(hyper::header::HOST)?.to_str().ok()?;
    let label = host.split(['.', ':']).next()?;
    let is_name = label.bytes().next()?.is_ascii_lowercase() && label != "localhost";
    is_name.then_some(label)
}
