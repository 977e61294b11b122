//! One connection of a caller.
//!
//! Requests are read ahead and run beside each other where their handlers allow it;
//! answers go out in the order of the requests (RFC 9112, section 9.3.2).

use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use hyper::header::CONNECTION;
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use kernel::Kernel;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::answer::{Asked, GO_AHEAD, Written, write_answer, write_plain};
use crate::frame::{Body, BodyError, Head, Progress, read_head};
use crate::line::{Line, Place};
use crate::server::{Counted, Limits};

/// Bytes for which room is made before a read.
const READ_BYTES: usize = 4 * 1024;
/// Longest wait for a caller to take in the last answer and close. Closing earlier,
/// with bytes of it unread, would reset the connection and lose the answer.
const CLOSE_TIME: Duration = Duration::from_secs(1);

/// A request of a caller.
#[derive(Debug)]
pub struct Arrival {
    /// Its head.
    pub head: Parts,
    /// Its whole body, or why there is none.
    pub body: Result<Bytes, BodyError>,
    /// Its place among the requests of its connection.
    pub place: Place,
}

/// Answers requests. The future is dropped when the caller has gone. An answer with
/// `Connection: close` closes the connection behind the last request under way.
pub type Handler = Rc<dyn Fn(Arrival) -> Pin<Box<dyn Future<Output = Response<Bytes>>>>>;

/// What a connection does next.
enum Next {
    /// Read, run and write.
    Go,
    /// All is written: close it.
    Close,
    /// The caller has gone.
    Drop,
}

/// What is read at present.
enum Reading {
    Head,
    Body {
        head: Box<Head>,
        body: Body,
    },
    /// A request that waits for room among those under way.
    Whole {
        head: Box<Head>,
        body: Result<Bytes, BodyError>,
        came: Instant,
    },
    /// Nothing that comes is a request: the connection closes behind those under way.
    Over,
}

struct Connection {
    kernel: Kernel,
    limits: Limits,
    handler: Handler,
    reading: Reading,
    /// Read and not yet part of a request.
    buffer: BytesMut,
    line: Line,
    writing: Written,
    /// Start of the time in which the caller must send or take in something.
    since: Instant,
    counted: Counted,
}

/// Serves a connection until it closes.
pub(crate) async fn serve(
    kernel: Kernel,
    stream: TcpStream,
    limits: Limits,
    handler: Handler,
    counted: Counted,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let since = kernel.clock().now();
    let connection = Connection {
        kernel,
        limits,
        handler,
        reading: Reading::Head,
        buffer: BytesMut::new(),
        line: Line::default(),
        writing: write_plain(b""),
        since,
        counted,
    };
    connection.run(stream).await;
}

impl Connection {
    async fn run(mut self, mut stream: TcpStream) {
        loop {
            self.read_requests();
            match self.step(&mut stream).await {
                Next::Go => {}
                Next::Drop => return,
                Next::Close => {
                    let limit = self.kernel.clock().timeout(CLOSE_TIME, close(stream));
                    // The caller has had its time; what it still sends is of no use.
                    let _ = limit.await;
                    return;
                }
            }
        }
    }

    /// Waits for the first thing that happens on the connection and takes it in.
    async fn step(&mut self, stream: &mut TcpStream) -> Next {
        let is_written = !self.writing.has_remaining();
        self.counted.set(!is_written || !self.line.is_empty());
        if is_written {
            self.line.note_written();
            if self.line.is_empty() && matches!(self.reading, Reading::Over) {
                return Next::Close;
            }
        }
        let clock = *self.kernel.clock();
        let left = (self.since + self.time_limit()).saturating_duration_since(clock.now());
        let is_timed = !is_written || self.line.is_empty();
        let may_read = self.buffer.len() < self.limits.head_bytes;
        let is_blocked = matches!(self.reading, Reading::Whole { .. });
        let (mut reader, mut writer) = stream.split();
        let begins_request = self.buffer.is_empty() && matches!(self.reading, Reading::Head);
        if may_read {
            self.buffer.reserve(READ_BYTES);
        }
        let changed = self.line.changed();
        tokio::select! {
            wrote = writer.write_buf(&mut self.writing), if !is_written => {
                self.since = clock.now();
                if wrote.is_ok() { Next::Go } else { Next::Drop }
            }
            (asked, answer) = self.line.next(clock), if is_written && !self.line.is_empty() => {
                self.answer(asked, answer);
                Next::Go
            }
            read = reader.read_buf(&mut self.buffer), if may_read => match read {
                Ok(1..) => {
                    if begins_request {
                        self.since = clock.now();
                    }
                    Next::Go
                }
                // A caller that has sent all may still wait for the bytes on their way.
                Ok(0) if self.line.is_empty() && !is_written => {
                    self.flush(&mut writer).await;
                    Next::Drop
                }
                Ok(_) | Err(_) => Next::Drop,
            },
            () = changed, if is_blocked => Next::Go,
            () = clock.sleep(left), if is_timed => self.expire(),
        }
    }

    /// Time that the caller has for what is under way.
    fn time_limit(&self) -> Duration {
        match self.reading {
            Reading::Body { .. } => self.limits.body_time,
            _ => self.limits.head_time,
        }
    }

    async fn flush(&mut self, writer: &mut (impl AsyncWriteExt + Unpin)) {
        let writing = writer.write_all_buf(&mut self.writing);
        // Nobody is told: the caller has closed its side already.
        let _ = self.kernel.clock().timeout(CLOSE_TIME, writing).await;
    }

    /// The caller has not sent or taken anything for too long.
    fn expire(&mut self) -> Next {
        if self.writing.has_remaining() {
            return Next::Drop;
        }
        match std::mem::replace(&mut self.reading, Reading::Over) {
            Reading::Head if self.buffer.is_empty() => return Next::Drop,
            Reading::Head => self.refuse(StatusCode::REQUEST_TIMEOUT),
            Reading::Body { head, .. } => self.end_with(head, BodyError::Slow),
            other => self.reading = other,
        }
        self.since = self.kernel.clock().now();
        Next::Go
    }

    /// Starts the requests that have come whole, as far as there is room.
    fn read_requests(&mut self) {
        while self.read_further() {}
        if matches!(self.reading, Reading::Over) {
            self.buffer.clear();
        }
    }

    /// `false` when more has to come first.
    fn read_further(&mut self) -> bool {
        match std::mem::replace(&mut self.reading, Reading::Over) {
            Reading::Over => false,
            Reading::Head => self.read_head(),
            Reading::Body { head, body } => self.read_body(head, body),
            Reading::Whole { head, body, came } => {
                if !self.line.has_room() {
                    self.reading = Reading::Whole { head, body, came };
                    return false;
                }
                self.start(*head, body, came);
                true
            }
        }
    }

    fn read_head(&mut self) -> bool {
        let Limits { head_bytes, headers, body_bytes, .. } = self.limits;
        match read_head(&self.buffer, head_bytes, headers) {
            Ok(None) => {
                self.reading = Reading::Head;
                false
            }
            Ok(Some((head, length))) => {
                self.buffer.advance(length);
                let body = Body::new(head.length, body_bytes);
                self.since = self.kernel.clock().now();
                self.reading = Reading::Body { head: Box::new(head), body };
                true
            }
            Err(fault) => {
                self.refuse(fault.status());
                false
            }
        }
    }

    fn read_body(&mut self, mut head: Box<Head>, mut body: Body) -> bool {
        let came = self.kernel.clock().now();
        match body.take(&mut self.buffer) {
            Progress::Partial => {
                let has_turn = self.line.is_empty() && !self.writing.has_remaining();
                if has_turn && std::mem::take(&mut head.expects_continue) {
                    self.writing = write_plain(GO_AHEAD);
                }
                self.reading = Reading::Body { head, body };
                return false;
            }
            Progress::Whole(body) => self.reading = Reading::Whole { head, body: Ok(body), came },
            Progress::Skipped(error) => {
                self.reading = Reading::Whole { head, body: Err(error), came };
            }
            Progress::Lost(error) => self.end_with(head, error),
        }
        true
    }

    /// Has a request answered whose end cannot be found, and closes behind it.
    fn end_with(&mut self, mut head: Box<Head>, error: BodyError) {
        head.is_last = true;
        let came = self.kernel.clock().now();
        self.reading = Reading::Whole { head, body: Err(error), came };
    }

    fn start(&mut self, head: Head, body: Result<Bytes, BodyError>, came: Instant) {
        let asked = Asked::of(&head.parts);
        self.reading = if head.is_last { Reading::Over } else { Reading::Head };
        let place = self.line.next_place(came);
        let answer = (self.handler)(Arrival { head: head.parts, body, place });
        self.line.push(asked, &self.kernel, answer);
    }

    /// Answers what is no request, and closes behind it.
    fn refuse(&mut self, status: StatusCode) {
        let mut answer = Response::new(Bytes::new());
        *answer.status_mut() = status;
        self.reading = Reading::Over;
        self.line.push_answer(Asked { is_head: false, is_old: false }, answer);
    }

    /// Writes the answer that is due. Requests that have not been started count as not
    /// read once the connection closes; those under way still get their answers.
    fn answer(&mut self, asked: Asked, answer: Response<Bytes>) {
        let closes = answer.headers().get(CONNECTION).is_some_and(|value| value == "close");
        if closes {
            self.reading = Reading::Over;
        }
        let is_last = matches!(self.reading, Reading::Over) && self.line.is_empty();
        self.writing = write_answer(answer, asked, is_last);
        self.since = self.kernel.clock().now();
    }
}

/// Closes the writing side and reads until the caller has closed its own.
async fn close(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut dropped = [0; READ_BYTES];
    while let Ok(1..) = stream.read(&mut dropped).await {}
}
