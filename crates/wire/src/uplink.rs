//! The order of bytes on the host's own link: short messages go before the rest of
//! long ones.
//!
//! A long answer that is handed to the system at once fills the queue of a slow link,
//! and each short one that comes after it, to whichever daemon, waits behind it. So
//! long messages are written in parts, one message after the other, no faster than the
//! link carries them.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use futures::io::AsyncWrite;

/// Largest message in bytes that is written at once, and the largest part of a longer
/// one: 5 ms of a link of 12 Mbit/s, the slowest but one of the deployments in hand.
pub const PART_BYTES: usize = 8 * 1024;
/// Share of the link that is planned: the rest carries the headers of packets.
const PACED_SHARE: f64 = 0.9;
/// Time of the link that may be written ahead: timers count whole milliseconds.
const AHEAD: Duration = Duration::from_millis(4);

const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// The host's own link, as far as its speed is known. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct Uplink {
    /// Bytes a second that messages may take; `None` where nothing is known.
    rate: Option<f64>,
    /// When all that was written or has its turn is likely to have left the host.
    idle_at: Rc<Cell<Option<Instant>>>,
}

/// What to do with the rest of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// Write so many bytes of it.
    Write(usize),
    /// Ask again after this time.
    Wait(Duration),
}

/// The turn of one message.
#[derive(Debug)]
pub struct Passage {
    /// Bytes a second; `None` if it is written at once.
    rate: Option<f64>,
    /// When the next part has its turn.
    next_at: Instant,
    left: usize,
}

impl Uplink {
    /// A link that carries so many Mbit/s; 0 if that is not known.
    pub fn new(speed: f64) -> Self {
        let rate = speed * BYTES_PER_MEGABIT * PACED_SHARE;
        Self { rate: (rate > 0.0).then_some(rate), idle_at: Rc::default() }
    }

    /// Plans a message of `len` bytes. A long one comes after those that were planned
    /// before it: if they shared the link each would be as late as the last.
    pub fn plan(&self, now: Instant, len: usize) -> Passage {
        let start = self.idle_at.get().unwrap_or(now).max(now);
        if let Some(rate) = self.rate {
            self.idle_at.set(Some(start + time_of(len, rate)));
        }
        let rate = self.rate.filter(|_| len > PART_BYTES);
        Passage { rate, next_at: start, left: len }
    }
}

impl Passage {
    /// Bytes that are still to be written.
    pub fn left(&self) -> usize {
        self.left
    }

    /// Decides how many bytes are written now.
    pub fn take(&mut self, now: Instant) -> Turn {
        let latest = now + AHEAD;
        let part = match self.rate {
            None => self.left,
            Some(_) if self.next_at > latest => return Turn::Wait(self.next_at - latest),
            Some(rate) => {
                let part = self.left.min(PART_BYTES);
                self.next_at = self.next_at.max(now) + time_of(part, rate);
                part
            }
        };
        self.left -= part;
        Turn::Write(part)
    }
}

fn time_of(bytes: usize, rate: f64) -> Duration {
    Duration::from_secs_f64(bytes as f64 / rate)
}

/// A writer that takes its turns on the host's link. What is written to it in one
/// piece counts as one message.
pub(crate) struct Paced<W> {
    inner: W,
    uplink: Uplink,
    passage: Option<Passage>,
    wait: Option<Pin<Box<tokio::time::Sleep>>>,
    /// Bytes that may be written now.
    granted: usize,
}

impl<W> Paced<W> {
    pub(crate) fn new(inner: W, uplink: Uplink) -> Self {
        Self { inner, uplink, passage: None, wait: None, granted: 0 }
    }

    fn begin(&self, now: Instant, len: usize) -> Passage {
        let passage = self.uplink.plan(now, len);
        if passage.rate.is_some() {
            let wait = passage.next_at.saturating_duration_since(now);
            metrics::histogram!("bronzeport_uplink_wait_seconds").record(wait.as_secs_f64());
        }
        passage
    }

    /// Waits until bytes may be written, of `len` that are left of the message.
    fn poll_turn(&mut self, context: &mut Context<'_>, len: usize) -> Poll<()> {
        while self.granted == 0 {
            if let Some(wait) = &mut self.wait {
                ready!(wait.as_mut().poll(context));
                self.wait = None;
            }
            let now = tokio::time::Instant::now().into_std();
            let planned = self.passage.take().filter(|passage| passage.left() > 0);
            let mut passage = planned.unwrap_or_else(|| self.begin(now, len));
            match passage.take(now) {
                Turn::Write(part) => self.granted = part,
                Turn::Wait(time) => self.wait = Some(Box::pin(tokio::time::sleep(time))),
            }
            self.passage = Some(passage);
        }
        Poll::Ready(())
    }
}

impl<W: AsyncWrite + Unpin> AsyncWrite for Paced<W> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if !bytes.is_empty() {
            ready!(self.poll_turn(context, bytes.len()));
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
