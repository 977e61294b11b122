//! Framing of callers' requests (RFC 9112). A request whose end can be determined in two
//! ways is rejected: a proxy in front of this server could choose the other way, which
//! permits request smuggling.

use bytes::{Buf, Bytes, BytesMut};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use hyper::http::request::Parts;
use hyper::{Method, Request, StatusCode, Uri, Version};

/// Largest size in bytes of the line with a chunk's size and extensions.
const MAX_CHUNK_LINE_BYTES: usize = 1024;
/// Largest size in bytes of the trailer fields after the last chunk.
const MAX_TRAILER_BYTES: usize = 8 * 1024;
/// Largest number of bytes of a body that are discarded, as a multiple of the body's limit.
const MAX_DISCARD_FACTOR: usize = 16;

/// Line terminator.
const CRLF: &[u8] = b"\r\n";

/// Why the head of a request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HeadError {
    /// The head violates the protocol.
    Malformed,
    /// The head has too many bytes or headers.
    TooLarge,
    /// The transfer coding is not `chunked`.
    UnsupportedCoding,
    /// The HTTP version is neither 1.0 nor 1.1.
    UnsupportedVersion,
}

/// Why the body of a request could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than the limit.
    TooLarge,
    /// The chunked coding of the body is malformed.
    Malformed,
    /// The body did not arrive within the time limit.
    TimedOut,
}

/// The head of a request.
#[derive(Debug)]
pub(crate) struct Head {
    pub(crate) parts: Parts,
    pub(crate) length: BodyLength,
    /// Whether the connection closes after the answer.
    pub(crate) closes_connection: bool,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub(crate) expects_continue: bool,
}

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyLength {
    /// The body has this many bytes.
    Known(u64),
    /// The body ends after the last chunk and its trailer fields.
    Chunked,
}

/// Incremental reader of a body.
#[derive(Debug)]
pub(crate) struct BodyReader {
    state: BodyState,
    max_bytes: usize,
    data: BytesMut,
    discarded: usize,
}

/// Which part of a body comes next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyState {
    /// This many bytes up to the end of a body without chunks.
    Fixed(u64),
    /// The line with the size of a chunk.
    ChunkSize,
    /// This many bytes up to the end of a chunk.
    ChunkData(u64),
    /// The line terminator after a chunk.
    ChunkEnd,
    /// The trailer fields after the last chunk.
    Trailer,
    End,
}

/// Progress in reading a body.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum BodyProgress {
    /// More bytes are needed.
    Partial,
    /// The body is complete.
    Complete(Bytes),
    /// The body has been read to its end and discarded; a further request may follow it.
    Discarded(BodyError),
    /// The body cannot be used and its end is unknown, so no further request can be read.
    Unrecoverable(BodyError),
}

impl HeadError {
    /// Returns the HTTP status for the error.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::UnsupportedCoding => StatusCode::NOT_IMPLEMENTED,
            Self::UnsupportedVersion => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
        }
    }
}

/// Parses the head at the start of `bytes` and returns it with its length in bytes.
/// Returns `None` if the head is incomplete.
pub(crate) fn read_head(
    bytes: &[u8],
    max_bytes: usize,
    max_headers: usize,
) -> Result<Option<(Head, usize)>, HeadError> {
    let Some(length) = find_head_end(&bytes[..bytes.len().min(max_bytes)])? else {
        return if bytes.len() >= max_bytes { Err(HeadError::TooLarge) } else { Ok(None) };
    };
    let mut fields = vec![httparse::EMPTY_HEADER; max_headers];
    let mut request = httparse::Request::new(&mut fields);
    match request.parse(&bytes[..length]) {
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) => return Err(HeadError::Malformed),
        Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooLarge),
        Err(httparse::Error::Version) => return Err(HeadError::UnsupportedVersion),
        Err(_) => return Err(HeadError::Malformed),
    }
    let parts = read_parts(&request).ok_or(HeadError::Malformed)?;
    let head = Head {
        length: read_length(&parts)?,
        closes_connection: closes_connection(&parts),
        expects_continue: has_token(&parts.headers, EXPECT, "100-continue"),
        parts,
    };
    Ok(Some((head, length)))
}

/// Returns the length in bytes of the head at the start of `bytes`, or `None` if the head is
/// incomplete. The length includes the final empty line and any empty lines before the
/// head. A line feed without a carriage return is an error.
fn find_head_end(bytes: &[u8]) -> Result<Option<usize>, HeadError> {
    let (mut start, mut has_line) = (0, false);
    while let Some(length) = bytes[start..].iter().position(|byte| *byte == b'\n') {
        let end = start + length + 1;
        if !bytes[start..end].ends_with(CRLF) {
            return Err(HeadError::Malformed);
        }
        let is_empty = end - start == CRLF.len();
        if is_empty && has_line {
            return Ok(Some(end));
        }
        has_line |= !is_empty;
        start = end;
    }
    Ok(None)
}

fn read_parts(request: &httparse::Request<'_, '_>) -> Option<Parts> {
    let (mut parts, ()) = Request::new(()).into_parts();
    parts.method = Method::from_bytes(request.method?.as_bytes()).ok()?;
    parts.uri = Uri::try_from(request.path?).ok()?;
    parts.version = match request.version? {
        0 => Version::HTTP_10,
        _ => Version::HTTP_11,
    };
    for field in request.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        parts.headers.append(name, HeaderValue::from_bytes(field.value).ok()?);
    }
    (parts.headers.get_all(HOST).iter().count() <= 1).then_some(parts)
}

/// Determines how the body ends (RFC 9112, section 6.3). It is an error if the headers
/// give more than one way.
fn read_length(parts: &Parts) -> Result<BodyLength, HeadError> {
    let headers = &parts.headers;
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    match (codings.next(), lengths.next()) {
        (None, None) => Ok(BodyLength::Known(0)),
        (Some(_), Some(_)) => Err(HeadError::Malformed),
        (Some(_), None) if parts.version == Version::HTTP_10 => Err(HeadError::Malformed),
        (Some(coding), None) if codings.next().is_none() => {
            match coding.as_bytes().eq_ignore_ascii_case(b"chunked") {
                true => Ok(BodyLength::Chunked),
                false => Err(HeadError::UnsupportedCoding),
            }
        }
        (None, Some(length)) if lengths.next().is_none() => {
            read_decimal(length.as_bytes()).map(BodyLength::Known).ok_or(HeadError::Malformed)
        }
        _ => Err(HeadError::Malformed),
    }
}

fn read_decimal(bytes: &[u8]) -> Option<u64> {
    let is_decimal = !bytes.is_empty() && bytes.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(bytes).ok().filter(|_| is_decimal)?.parse().ok()
}

fn closes_connection(parts: &Parts) -> bool {
    let has_option = |token| has_token(&parts.headers, CONNECTION, token);
    has_option("close") || (parts.version == Version::HTTP_10 && !has_option("keep-alive"))
}

fn has_token(headers: &HeaderMap, name: HeaderName, token: &str) -> bool {
    let values = headers.get_all(name);
    let lists = values.iter().filter_map(|value| value.to_str().ok());
    lists.flat_map(|list| list.split(',')).any(|item| item.trim().eq_ignore_ascii_case(token))
}

impl BodyReader {
    /// Creates a reader that accepts a body of up to `max_bytes`.
    pub(crate) fn new(length: BodyLength, max_bytes: usize) -> Self {
        let state = match length {
            BodyLength::Known(0) => BodyState::End,
            BodyLength::Known(bytes) => BodyState::Fixed(bytes),
            BodyLength::Chunked => BodyState::ChunkSize,
        };
        Self { state, max_bytes, data: BytesMut::new(), discarded: 0 }
    }

    /// Removes from `buffer` the bytes that belong to the body.
    pub(crate) fn consume(&mut self, buffer: &mut BytesMut) -> BodyProgress {
        loop {
            if self.discarded > self.max_bytes.saturating_mul(MAX_DISCARD_FACTOR) {
                return BodyProgress::Unrecoverable(BodyError::TooLarge);
            }
            let next = match self.state {
                BodyState::Fixed(left) => self.consume_data(buffer, left).map(|left| match left {
                    0 => BodyState::End,
                    left => BodyState::Fixed(left),
                }),
                BodyState::ChunkData(left) => {
                    self.consume_data(buffer, left).map(|left| match left {
                        0 => BodyState::ChunkEnd,
                        left => BodyState::ChunkData(left),
                    })
                }
                BodyState::ChunkSize => match consume_chunk_size(buffer) {
                    Ok(size) => size.map(|size| match size {
                        0 => BodyState::Trailer,
                        size => BodyState::ChunkData(size),
                    }),
                    Err(error) => return BodyProgress::Unrecoverable(error),
                },
                BodyState::ChunkEnd if buffer.len() < CRLF.len() => None,
                BodyState::ChunkEnd if buffer.starts_with(CRLF) => {
                    buffer.advance(CRLF.len());
                    Some(BodyState::ChunkSize)
                }
                BodyState::ChunkEnd => return BodyProgress::Unrecoverable(BodyError::Malformed),
                BodyState::Trailer => match consume_trailer(buffer) {
                    Ok(is_complete) => is_complete.then_some(BodyState::End),
                    Err(error) => return BodyProgress::Unrecoverable(error),
                },
                BodyState::End if self.discarded > 0 => {
                    return BodyProgress::Discarded(BodyError::TooLarge);
                }
                BodyState::End => {
                    return BodyProgress::Complete(std::mem::take(&mut self.data).freeze());
                }
            };
            match next {
                Some(next) => self.state = next,
                None => return BodyProgress::Partial,
            }
        }
    }

    /// Consumes up to `left` bytes and returns how many remain, or `None` if `buffer` is
    /// empty. The rest of a body that is too large is read and discarded, because a caller
    /// that is still sending would not read the error answer otherwise.
    fn consume_data(&mut self, buffer: &mut BytesMut, left: u64) -> Option<u64> {
        let count = usize::try_from(left).unwrap_or(usize::MAX).min(buffer.len());
        if count == 0 {
            return None;
        }
        let data = buffer.split_to(count);
        if self.discarded == 0 && self.data.len() + count <= self.max_bytes {
            self.data.extend_from_slice(&data);
        } else {
            self.discarded += count;
            self.data = BytesMut::new();
        }
        Some(left - count as u64)
    }
}

fn consume_chunk_size(buffer: &mut BytesMut) -> Result<Option<u64>, BodyError> {
    match httparse::parse_chunk_size(buffer) {
        Ok(httparse::Status::Complete((length, size))) => {
            let line = buffer.split_to(length);
            let has_line_feed = line[..length - CRLF.len()].contains(&b'\n');
            if has_line_feed { Err(BodyError::Malformed) } else { Ok(Some(size)) }
        }
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_CHUNK_LINE_BYTES => Ok(None),
        _ => Err(BodyError::Malformed),
    }
}

/// Discards the trailer fields after the last chunk. Returns `false` if they are incomplete.
fn consume_trailer(buffer: &mut BytesMut) -> Result<bool, BodyError> {
    if buffer.starts_with(CRLF) {
        buffer.advance(CRLF.len());
        return Ok(true);
    }
    match find_head_end(buffer) {
        Ok(Some(length)) => {
            buffer.advance(length);
            Ok(true)
        }
        Ok(None) if buffer.len() <= MAX_TRAILER_BYTES => Ok(false),
        _ => Err(BodyError::Malformed),
    }
}
