//! One connection of a caller.
//!
//! Pipelined requests are read ahead and run concurrently where their handlers allow it.
//! Answers are sent in the order of the requests (RFC 9112, section 9.3.2).

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

use crate::answer::{AnswerFormat, EncodedAnswer, INTERIM_CONTINUE, encode_answer, encode_static};
use crate::frame::{BodyError, BodyProgress, BodyReader, Head, read_head};
use crate::pipeline::{Pipeline, PipelinePosition};
use crate::server::{BusyToken, Limits};

/// Free space in bytes that the buffer has before each read.
const READ_BUFFER_BYTES: usize = 4 * 1024;
/// Time within which a caller has to read the last answer and close the connection. A
/// server that closes while bytes from the caller are unread resets the connection, and
/// the answer is lost.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// A request of a caller.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Head of the request.
    pub head: Parts,
    /// Complete body, or the reason why it could not be read.
    pub body: Result<Bytes, BodyError>,
    /// Position among the pipelined requests of the connection.
    pub position: PipelinePosition,
}

/// Answers requests. The future is dropped when the caller disconnects. An answer with
/// `Connection: close` closes the connection after the answer to the last request in flight.
pub type Handler = Rc<dyn Fn(IncomingRequest) -> Pin<Box<dyn Future<Output = Response<Bytes>>>>>;

/// What a connection does after a step.
enum NextStep {
    /// Continue to read and write.
    Continue,
    /// Close the connection, since all answers have been sent.
    Close,
    /// Drop the connection at once, since the caller is gone or does not read.
    Abort,
}

/// Which part of a request the connection reads.
enum ReadState {
    Head,
    Body {
        head: Box<Head>,
        body: BodyReader,
    },
    /// A request that has been read and waits until it may start.
    Complete {
        head: Box<Head>,
        body: Result<Bytes, BodyError>,
        received_at: Instant,
    },
    /// No further request is read. The connection closes after the requests in flight.
    Finished,
}

struct Connection {
    kernel: Kernel,
    limits: Limits,
    handler: Handler,
    read_state: ReadState,
    /// Received bytes that have not been parsed.
    buffer: BytesMut,
    pipeline: Pipeline,
    outgoing: EncodedAnswer,
    /// Start of the time limit within which the caller has to send or read something.
    timer_start: Instant,
    busy_token: BusyToken,
}

/// Serves a connection until it closes.
pub(crate) async fn serve(
    kernel: Kernel,
    stream: TcpStream,
    limits: Limits,
    handler: Handler,
    busy_token: BusyToken,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let timer_start = kernel.clock().now();
    let connection = Connection {
        kernel,
        limits,
        handler,
        read_state: ReadState::Head,
        buffer: BytesMut::new(),
        pipeline: Pipeline::default(),
        outgoing: encode_static(b""),
        timer_start,
        busy_token,
    };
    connection.run(stream).await;
}

impl Connection {
    async fn run(mut self, mut stream: TcpStream) {
        loop {
            self.read_requests();
            match self.step(&mut stream).await {
                NextStep::Continue => {}
                NextStep::Abort => return,
                NextStep::Close => {
                    let closing = self.kernel.clock().timeout(CLOSE_TIMEOUT, close(stream));
                    // An expired time limit needs no handling: the connection is dropped.
                    let _ = closing.await;
                    return;
                }
            }
        }
    }

    /// Waits for the next event of the connection and handles it.
    async fn step(&mut self, stream: &mut TcpStream) -> NextStep {
        let is_sent = !self.outgoing.has_remaining();
        self.busy_token.set(!is_sent || !self.pipeline.is_empty());
        if is_sent {
            self.pipeline.mark_answers_sent();
            if self.pipeline.is_empty() && matches!(self.read_state, ReadState::Finished) {
                return NextStep::Close;
            }
        }
        let clock = *self.kernel.clock();
        let time_left =
            (self.timer_start + self.time_limit()).saturating_duration_since(clock.now());
        let has_time_limit = !is_sent || self.pipeline.is_empty();
        let may_read = self.buffer.len() < self.limits.max_header_bytes;
        let is_waiting_for_room = matches!(self.read_state, ReadState::Complete { .. });
        let (mut reader, mut writer) = stream.split();
        let begins_request = self.buffer.is_empty() && matches!(self.read_state, ReadState::Head);
        if may_read {
            self.buffer.reserve(READ_BUFFER_BYTES);
        }
        let changed = self.pipeline.changed();
        tokio::select! {
            wrote = writer.write_buf(&mut self.outgoing), if !is_sent => {
                self.timer_start = clock.now();
                if wrote.is_ok() { NextStep::Continue } else { NextStep::Abort }
            }
            (format, answer) = self.pipeline.next(clock), if is_sent && !self.pipeline.is_empty() => {
                self.send_answer(format, answer);
                NextStep::Continue
            }
            read = reader.read_buf(&mut self.buffer), if may_read => match read {
                Ok(1..) => {
                    if begins_request {
                        self.timer_start = clock.now();
                    }
                    NextStep::Continue
                }
                // A caller that has closed its sending side may still read, so the rest of
                // an interim answer is sent.
                Ok(0) if self.pipeline.is_empty() && !is_sent => {
                    self.flush(&mut writer).await;
                    NextStep::Abort
                }
                Ok(_) | Err(_) => NextStep::Abort,
            },
            () = changed, if is_waiting_for_room => NextStep::Continue,
            () = clock.sleep(time_left), if has_time_limit => self.handle_timeout(),
        }
    }

    /// Time limit for the present part of a request, and for a write.
    fn time_limit(&self) -> Duration {
        match self.read_state {
            ReadState::Body { .. } => self.limits.body_timeout,
            _ => self.limits.header_timeout,
        }
    }

    async fn flush(&mut self, writer: &mut (impl AsyncWriteExt + Unpin)) {
        let outgoing = writer.write_all_buf(&mut self.outgoing);
        // An error needs no handling, since the connection is dropped in any case.
        let _ = self.kernel.clock().timeout(CLOSE_TIMEOUT, outgoing).await;
    }

    /// Handles a caller that has not sent or read anything within the time limit.
    fn handle_timeout(&mut self) -> NextStep {
        if self.outgoing.has_remaining() {
            return NextStep::Abort;
        }
        match std::mem::replace(&mut self.read_state, ReadState::Finished) {
            ReadState::Head if self.buffer.is_empty() => return NextStep::Abort,
            ReadState::Head => self.reject(StatusCode::REQUEST_TIMEOUT),
            ReadState::Body { head, .. } => self.fail_body(head, BodyError::TimedOut),
            other => self.read_state = other,
        }
        self.timer_start = self.kernel.clock().now();
        NextStep::Continue
    }

    /// Parses the received bytes and starts the complete requests as far as the pipeline has
    /// room.
    fn read_requests(&mut self) {
        while self.advance_reading() {}
        if matches!(self.read_state, ReadState::Finished) {
            self.buffer.clear();
        }
    }

    /// Takes one step in reading a request. Returns `false` if the next step needs more
    /// bytes or room in the pipeline.
    fn advance_reading(&mut self) -> bool {
        match std::mem::replace(&mut self.read_state, ReadState::Finished) {
            ReadState::Finished => false,
            ReadState::Head => self.read_head(),
            ReadState::Body { head, body } => self.read_body(head, body),
            ReadState::Complete { head, body, received_at } => {
                if !self.pipeline.has_room() {
                    self.read_state = ReadState::Complete { head, body, received_at };
                    return false;
                }
                self.start_request(*head, body, received_at);
                true
            }
        }
    }

    fn read_head(&mut self) -> bool {
        let Limits { max_header_bytes, max_headers, max_body_bytes, .. } = self.limits;
        match read_head(&self.buffer, max_header_bytes, max_headers) {
            Ok(None) => {
                self.read_state = ReadState::Head;
                false
            }
            Ok(Some((head, length))) => {
                self.buffer.advance(length);
                let body = BodyReader::new(head.length, max_body_bytes);
                self.timer_start = self.kernel.clock().now();
                self.read_state = ReadState::Body { head: Box::new(head), body };
                true
            }
            Err(error) => {
                self.reject(error.status());
                false
            }
        }
    }

    fn read_body(&mut self, mut head: Box<Head>, mut body: BodyReader) -> bool {
        let received_at = self.kernel.clock().now();
        match body.consume(&mut self.buffer) {
            BodyProgress::Partial => {
                let is_idle = self.pipeline.is_empty() && !self.outgoing.has_remaining();
                if is_idle && std::mem::take(&mut head.expects_continue) {
                    self.outgoing = encode_static(INTERIM_CONTINUE);
                }
                self.read_state = ReadState::Body { head, body };
                return false;
            }
            BodyProgress::Complete(body) => {
                self.read_state = ReadState::Complete { head, body: Ok(body), received_at }
            }
            BodyProgress::Discarded(error) => {
                self.read_state = ReadState::Complete { head, body: Err(error), received_at };
            }
            BodyProgress::Unrecoverable(error) => self.fail_body(head, error),
        }
        true
    }

    /// Passes `error` to the handler in place of a body whose end is unknown, and closes the
    /// connection after the answer.
    fn fail_body(&mut self, mut head: Box<Head>, error: BodyError) {
        head.closes_connection = true;
        let received_at = self.kernel.clock().now();
        self.read_state = ReadState::Complete { head, body: Err(error), received_at };
    }

    fn start_request(&mut self, head: Head, body: Result<Bytes, BodyError>, received_at: Instant) {
        let format = AnswerFormat::of(&head.parts);
        self.read_state =
            if head.closes_connection { ReadState::Finished } else { ReadState::Head };
        let position = self.pipeline.next_position(received_at);
        let answer = (self.handler)(IncomingRequest { head: head.parts, body, position });
        self.pipeline.push(format, &self.kernel, answer);
    }

    /// Answers an invalid request with `status` and closes the connection after the answer.
    fn reject(&mut self, status: StatusCode) {
        let mut answer = Response::new(Bytes::new());
        *answer.status_mut() = status;
        self.read_state = ReadState::Finished;
        self.pipeline.push_answer(AnswerFormat { is_head: false, is_http_10: false }, answer);
    }

    /// Starts to send an answer. If the answer closes the connection, requests that have not
    /// been started are ignored; those in flight still get their answers.
    fn send_answer(&mut self, format: AnswerFormat, answer: Response<Bytes>) {
        let closes = answer.headers().get(CONNECTION).is_some_and(|value| value == "close");
        if closes {
            self.read_state = ReadState::Finished;
        }
        let is_last = matches!(self.read_state, ReadState::Finished) && self.pipeline.is_empty();
        self.outgoing = encode_answer(answer, format, is_last);
        self.timer_start = self.kernel.clock().now();
    }
}

/// Closes the sending side of the connection and reads until the caller closes its own.
async fn close(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut discarded = [0; READ_BUFFER_BYTES];
    while let Ok(1..) = stream.read(&mut discarded).await {}
}
