//! Framing of callers' requests (RFC 9112). What could be framed in two ways is
//! refused, because another program on the way may take the other one.

use bytes::{Buf, Bytes, BytesMut};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use hyper::http::request::Parts;
use hyper::{Method, Request, StatusCode, Uri, Version};

/// Most bytes of the line that gives a chunk's size, its extensions included.
const MAX_CHUNK_LINE: usize = 1024;
/// Most bytes of the fields behind the last chunk.
const MAX_TRAILER_BYTES: usize = 8 * 1024;
/// Most bytes of a body that are read and dropped, in multiples of its limit.
const DROPPED_FACTOR: usize = 16;

/// Bytes that end a line.
const LINE_END: &[u8] = b"\r\n";

/// Why bytes are not a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// They break the rules of the protocol.
    Malformed,
    /// The head is larger than allowed.
    TooLarge,
    /// A coding of the body that is not known here.
    UnknownCoding,
    /// A version other than 1.0 and 1.1.
    UnknownVersion,
}

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than allowed.
    TooLarge,
    /// It is malformed.
    Broken,
    /// It did not come in time.
    Slow,
}

/// The head of a request.
#[derive(Debug)]
pub(crate) struct Head {
    pub(crate) parts: Parts,
    pub(crate) length: Length,
    /// Whether the caller wants the connection closed behind the answer.
    pub(crate) is_last: bool,
    /// Whether the caller waits for a go-ahead before it sends the body.
    pub(crate) expects_continue: bool,
}

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Length {
    /// After this many bytes.
    Known(u64),
    /// After the last chunk.
    Chunked,
}

/// A body while it is read.
#[derive(Debug)]
pub(crate) struct Body {
    at: At,
    max_bytes: usize,
    whole: BytesMut,
    dropped: usize,
}

/// What comes next of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum At {
    /// This many bytes, then the end.
    Plain(u64),
    /// The line with a chunk's size.
    Size,
    /// This many bytes of a chunk.
    Chunk(u64),
    /// The line end behind a chunk.
    ChunkEnd,
    /// The fields behind the last chunk.
    Trailer,
    End,
}

/// How far a body is.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// More is to come.
    Partial,
    /// It has ended.
    Whole(Bytes),
    /// It cannot be used; what follows it can.
    Skipped(BodyError),
    /// It cannot be used, and where it ends is not known.
    Lost(BodyError),
}

impl Fault {
    /// The status that tells it.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::UnknownCoding => StatusCode::NOT_IMPLEMENTED,
            Self::UnknownVersion => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
        }
    }
}

/// Reads the head at the start of `bytes` and tells its length in bytes; `None` while
/// it is not whole.
pub(crate) fn read_head(
    bytes: &[u8],
    max_bytes: usize,
    max_headers: usize,
) -> Result<Option<(Head, usize)>, Fault> {
    let Some(length) = find_head_end(&bytes[..bytes.len().min(max_bytes)])? else {
        return if bytes.len() >= max_bytes { Err(Fault::TooLarge) } else { Ok(None) };
    };
    let mut fields = vec![httparse::EMPTY_HEADER; max_headers];
    let mut request = httparse::Request::new(&mut fields);
    match request.parse(&bytes[..length]) {
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) => return Err(Fault::Malformed),
        Err(httparse::Error::TooManyHeaders) => return Err(Fault::TooLarge),
        Err(httparse::Error::Version) => return Err(Fault::UnknownVersion),
        Err(_) => return Err(Fault::Malformed),
    }
    let parts = read_parts(&request).ok_or(Fault::Malformed)?;
    let head = Head {
        length: read_length(&parts)?,
        is_last: is_last(&parts),
        expects_continue: has_token(&parts.headers, EXPECT, "100-continue"),
        parts,
    };
    Ok(Some((head, length)))
}

/// Length of the head at the start of `bytes`, its empty line and empty lines before it
/// included. A line feed alone ends no line.
fn find_head_end(bytes: &[u8]) -> Result<Option<usize>, Fault> {
    let (mut start, mut has_line) = (0, false);
    while let Some(length) = bytes[start..].iter().position(|byte| *byte == b'\n') {
        let end = start + length + 1;
        if !bytes[start..end].ends_with(LINE_END) {
            return Err(Fault::Malformed);
        }
        let is_empty = end - start == LINE_END.len();
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

/// How the body's end is found (RFC 9112, section 6.3), where only one way is given.
fn read_length(parts: &Parts) -> Result<Length, Fault> {
    let headers = &parts.headers;
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    match (codings.next(), lengths.next()) {
        (None, None) => Ok(Length::Known(0)),
        (Some(_), Some(_)) => Err(Fault::Malformed),
        (Some(_), None) if parts.version == Version::HTTP_10 => Err(Fault::Malformed),
        (Some(coding), None) if codings.next().is_none() => {
            match coding.as_bytes().eq_ignore_ascii_case(b"chunked") {
                true => Ok(Length::Chunked),
                false => Err(Fault::UnknownCoding),
            }
        }
        (None, Some(length)) if lengths.next().is_none() => {
            read_decimal(length.as_bytes()).map(Length::Known).ok_or(Fault::Malformed)
        }
        _ => Err(Fault::Malformed),
    }
}

fn read_decimal(bytes: &[u8]) -> Option<u64> {
    let is_decimal = !bytes.is_empty() && bytes.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(bytes).ok().filter(|_| is_decimal)?.parse().ok()
}

fn is_last(parts: &Parts) -> bool {
    let asks = |token| has_token(&parts.headers, CONNECTION, token);
    asks("close") || (parts.version == Version::HTTP_10 && !asks("keep-alive"))
}

fn has_token(headers: &HeaderMap, name: HeaderName, token: &str) -> bool {
    let values = headers.get_all(name);
    let lists = values.iter().filter_map(|value| value.to_str().ok());
    lists.flat_map(|list| list.split(',')).any(|known| known.trim().eq_ignore_ascii_case(token))
}

impl Body {
    /// A body of which nothing has been read.
    pub(crate) fn new(length: Length, max_bytes: usize) -> Self {
        let at = match length {
            Length::Known(0) => At::End,
            Length::Known(bytes) => At::Plain(bytes),
            Length::Chunked => At::Size,
        };
        Self { at, max_bytes, whole: BytesMut::new(), dropped: 0 }
    }

    /// Takes what `buffer` holds of the body.
    pub(crate) fn take(&mut self, buffer: &mut BytesMut) -> Progress {
        loop {
            if self.dropped > self.max_bytes.saturating_mul(DROPPED_FACTOR) {
                return Progress::Lost(BodyError::TooLarge);
            }
            let next = match self.at {
                At::Plain(left) => self.take_data(buffer, left).map(|left| match left {
                    0 => At::End,
                    left => At::Plain(left),
                }),
                At::Chunk(left) => self.take_data(buffer, left).map(|left| match left {
                    0 => At::ChunkEnd,
                    left => At::Chunk(left),
                }),
                At::Size => match take_chunk_size(buffer) {
                    Ok(size) => size.map(|size| match size {
                        0 => At::Trailer,
                        size => At::Chunk(size),
                    }),
                    Err(error) => return Progress::Lost(error),
                },
                At::ChunkEnd if buffer.len() < LINE_END.len() => None,
                At::ChunkEnd if buffer.starts_with(LINE_END) => {
                    buffer.advance(LINE_END.len());
                    Some(At::Size)
                }
                At::ChunkEnd => return Progress::Lost(BodyError::Broken),
                At::Trailer => match take_trailer(buffer) {
                    Ok(is_over) => is_over.then_some(At::End),
                    Err(error) => return Progress::Lost(error),
                },
                At::End if self.dropped > 0 => return Progress::Skipped(BodyError::TooLarge),
                At::End => return Progress::Whole(std::mem::take(&mut self.whole).freeze()),
            };
            match next {
                Some(next) => self.at = next,
                None => return Progress::Partial,
            }
        }
    }

    /// Takes up to `left` bytes and tells how many are still to come; `None` when
    /// `buffer` is empty. The rest of a body that is too large is read and dropped: a
    /// caller that still writes would not see the refusal otherwise.
    fn take_data(&mut self, buffer: &mut BytesMut, left: u64) -> Option<u64> {
        let count = usize::try_from(left).unwrap_or(usize::MAX).min(buffer.len());
        if count == 0 {
            return None;
        }
        let data = buffer.split_to(count);
        if self.dropped == 0 && self.whole.len() + count <= self.max_bytes {
            self.whole.extend_from_slice(&data);
        } else {
            self.dropped += count;
            self.whole = BytesMut::new();
        }
        Some(left - count as u64)
    }
}

fn take_chunk_size(buffer: &mut BytesMut) -> Result<Option<u64>, BodyError> {
    match httparse::parse_chunk_size(buffer) {
        Ok(httparse::Status::Complete((length, size))) => {
            let line = buffer.split_to(length);
            let has_line_feed = line[..length - LINE_END.len()].contains(&b'\n');
            if has_line_feed { Err(BodyError::Broken) } else { Ok(Some(size)) }
        }
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_CHUNK_LINE => Ok(None),
        _ => Err(BodyError::Broken),
    }
}

/// Drops the fields behind the last chunk; `false` while they are not whole.
fn take_trailer(buffer: &mut BytesMut) -> Result<bool, BodyError> {
    if buffer.starts_with(LINE_END) {
        buffer.advance(LINE_END.len());
        return Ok(true);
    }
    match find_head_end(buffer) {
        Ok(Some(length)) => {
            buffer.advance(length);
            Ok(true)
        }
        Ok(None) if buffer.len() <= MAX_TRAILER_BYTES => Ok(false),
        _ => Err(BodyError::Broken),
    }
}
