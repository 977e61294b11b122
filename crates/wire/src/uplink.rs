//! Pacing of messages on the host's uplink, so that short messages overtake long ones.
//!
//! A long answer that is passed to the operating system at once fills the send queue of a
//! slow link, and every later short answer to any daemon waits behind it. Long messages are
//! therefore written in parts, one message after the other, at the rate of the link.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use futures::io::AsyncWrite;

/// Largest message in bytes that is written at once, and the largest part of a longer
/// message. A part occupies a link of 12 Mbit/s, the second slowest of the known
/// deployments, for 5 ms.
pub const PART_BYTES: usize = 8 * 1024;
/// Share of the link's speed at which messages are paced. Packet headers use the rest.
const PACED_SHARE: f64 = 0.9;
/// Time by which a part may be written before its scheduled time. It makes up for timers
/// with a resolution of whole milliseconds.
const MAX_WRITE_AHEAD: Duration = Duration::from_millis(4);

const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// Schedule of the messages on the host's link to the network. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct Uplink {
    /// Rate of messages in bytes per second; `None` if the speed of the link is unknown.
    rate: Option<f64>,
    /// Estimated time at which the link has sent all messages that have been scheduled.
    idle_at: Rc<Cell<Option<Instant>>>,
}

/// How to continue with the rest of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendDecision {
    /// Write this number of bytes.
    Write(usize),
    /// Call [`PacedMessage::decide`] again after this time.
    Wait(Duration),
}

/// Schedule of one message.
#[derive(Debug)]
pub struct PacedMessage {
    /// Rate in bytes per second; `None` if the message is written at once.
    rate: Option<f64>,
    /// Scheduled time of the next part.
    next_at: Instant,
    left: usize,
}

impl Uplink {
    /// Creates the schedule of a link with this speed in Mbit/s; 0 if the speed is unknown.
    pub fn new(speed: f64) -> Self {
        let rate = speed * BYTES_PER_MEGABIT * PACED_SHARE;
        Self { rate: (rate > 0.0).then_some(rate), idle_at: Rc::default() }
    }

    /// Schedules a message of `len` bytes. A long message starts after the messages that
    /// were scheduled earlier: if they shared the link, each would be as late as the last.
    pub fn plan(&self, now: Instant, len: usize) -> PacedMessage {
        let start = self.idle_at.get().unwrap_or(now).max(now);
        if let Some(rate) = self.rate {
            self.idle_at.set(Some(start + transmission_time(len, rate)));
        }
        let rate = self.rate.filter(|_| len > PART_BYTES);
        PacedMessage { rate, next_at: start, left: len }
    }
}

impl PacedMessage {
    /// Number of bytes that are still to be written.
    pub fn left(&self) -> usize {
        self.left
    }

    /// Decides how many bytes are written now, and counts them as written.
    pub fn decide(&mut self, now: Instant) -> SendDecision {
        let latest = now + MAX_WRITE_AHEAD;
        let part = match self.rate {
            None => self.left,
            Some(_) if self.next_at > latest => return SendDecision::Wait(self.next_at - latest),
            Some(rate) => {
                let part = self.left.min(PART_BYTES);
                self.next_at = self.next_at.max(now) + transmission_time(part, rate);
                part
            }
        };
        self.left -= part;
        SendDecision::Write(part)
    }
}

fn transmission_time(bytes: usize, rate: f64) -> Duration {
    Duration::from_secs_f64(bytes as f64 / rate)
}

/// A writer that paces messages by the schedule of the host's link. The bytes of one call of
/// `poll_write` count as one message.
pub(crate) struct PacedWriter<W> {
    inner: W,
    uplink: Uplink,
    message: Option<PacedMessage>,
    wait: Option<Pin<Box<tokio::time::Sleep>>>,
    /// Number of bytes that may be written now.
    granted: usize,
}

impl<W> PacedWriter<W> {
    pub(crate) fn new(inner: W, uplink: Uplink) -> Self {
        Self { inner, uplink, message: None, wait: None, granted: 0 }
    }

    fn begin_message(&self, now: Instant, len: usize) -> PacedMessage {
        let message = self.uplink.plan(now, len);
        if message.rate.is_some() {
            let wait = message.next_at.saturating_duration_since(now);
            metrics::histogram!("bronzeport_uplink_wait_seconds").record(wait.as_secs_f64());
        }
        message
    }

    /// Waits until bytes may be written. `len` is the number of bytes that are left of the
    /// message, and the size of a new message if none has been scheduled.
    fn poll_grant(&mut self, context: &mut Context<'_>, len: usize) -> Poll<()> {
        while self.granted == 0 {
            if let Some(wait) = &mut self.wait {
                ready!(wait.as_mut().poll(context));
                self.wait = None;
            }
            let now = tokio::time::Instant::now().into_std();
            let planned = self.message.take().filter(|message| message.left() > 0);
            let mut message = planned.unwrap_or_else(|| self.begin_message(now, len));
            match message.decide(now) {
                SendDecision::Write(part) => self.granted = part,
                SendDecision::Wait(time) => self.wait = Some(Box::pin(tokio::time::sleep(time))),
            }
            self.message = Some(message);
        }
        Poll::Ready(())
    }
}

impl<W: AsyncWrite + Unpin> AsyncWrite for PacedWriter<W> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if !bytes.is_empty() {
            ready!(self.poll_grant(context, bytes.len()));
        }
        let part = self.granted.min(bytes.len());
        let written = ready!(Pin::new(&mut self.inner).poll_write(context, &bytes[..part]))?;
        self.granted -= written;
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(context)
    }
}
