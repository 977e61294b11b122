//! Limits how many bytes a connection reads before the head of an answer is complete.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What a connection may still read; shared by the stream and its user.
#[derive(Debug, Clone)]
pub(crate) struct HeadBudget(Rc<Cell<Allowance>>);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Allowance {
    /// Any number of bytes.
    Unlimited,
    /// At most this number of bytes, exceeded by one read at most.
    Bytes(usize),
    /// Nothing. The user has had a turn to lift the limit, in case the head is complete and the
    /// bytes were those of the body.
    Exhausted,
}

/// A stream whose reads fail when the budget is used up.
#[derive(Debug)]
pub(crate) struct BudgetedStream {
    stream: TcpStream,
    budget: HeadBudget,
}

impl Default for HeadBudget {
    fn default() -> Self {
        Self(Rc::new(Cell::new(Allowance::Unlimited)))
    }
}

impl HeadBudget {
    /// Permits `bytes` more bytes.
    pub(crate) fn limit(&self, bytes: usize) {
        self.0.set(Allowance::Bytes(bytes));
    }

    /// Permits any number of bytes.
    pub(crate) fn lift(&self) {
        self.0.set(Allowance::Unlimited);
    }
}

impl BudgetedStream {
    pub(crate) fn new(stream: TcpStream, budget: HeadBudget) -> Self {
        Self { stream, budget }
    }
}

impl AsyncRead for BudgetedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let allowance = self.budget.0.get();
        match allowance {
            Allowance::Bytes(0) => {
                self.budget.0.set(Allowance::Exhausted);
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
            Allowance::Exhausted => {
                return Poll::Ready(Err(io::Error::other("the head of the answer is too long")));
            }
            Allowance::Unlimited | Allowance::Bytes(_) => {}
        }
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Allowance::Bytes(bytes) = allowance {
            self.budget.limit(bytes.saturating_sub(buffer.filled().len() - before));
        }
        result
    }
}

impl AsyncWrite for BudgetedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
