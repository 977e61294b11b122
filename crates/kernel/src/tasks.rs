//! The executor, which runs all tasks of a process on one thread.

use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::runtime::{Builder, Runtime};
use tokio::task::{JoinHandle, LocalSet};

use crate::clock::Clock;
use crate::mailbox::{Inbox, Mailbox, mailbox};
use crate::registry::Registry;

/// A handle to the tasks, services and clock of a process. All clones share them.
#[derive(Debug, Clone)]
pub struct Kernel {
    runtime: Rc<Runtime>,
    tasks: Rc<LocalSet>,
    registry: Rc<RefCell<Registry>>,
    clock: Clock,
}

/// A handle to a task. Dropping the handle cancels the task.
#[derive(Debug)]
pub struct Task<T>(JoinHandle<T>);

impl Kernel {
    /// Returns a kernel without tasks that uses the system's monotonic clock.
    pub fn new() -> std::io::Result<Self> {
        Self::build(Builder::new_current_thread().enable_all())
    }

    /// Returns a kernel without tasks whose clock is paused. The clock only moves
    /// when [`Clock::advance`] is called, or to the next timer when all tasks sleep.
    pub fn paused() -> std::io::Result<Self> {
        Self::build(Builder::new_current_thread().enable_all().start_paused(true))
    }

    fn build(builder: &mut Builder) -> std::io::Result<Self> {
        Ok(Self {
            runtime: Rc::new(builder.build()?),
            tasks: Rc::new(LocalSet::new()),
            registry: Rc::default(),
            clock: Clock(()),
        })
    }

    /// Returns the clock that all tasks share.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Runs `main` and all other tasks until `main` completes.
    pub fn run<T>(&self, main: impl Future<Output = T>) -> T {
        self.tasks.block_on(&self.runtime, main)
    }

    /// Starts a detached task, whose result cannot be awaited.
    pub fn start(&self, task: impl Future<Output = ()> + 'static) {
        self.tasks.spawn_local(task);
    }

    /// Starts a task that is cancelled when the handle is dropped.
    pub fn spawn<T: 'static>(&self, task: impl Future<Output = T> + 'static) -> Task<T> {
        Task(self.tasks.spawn_local(task))
    }

    /// Registers a service under `name` and returns the inbox for its task.
    ///
    /// # Panics
    ///
    /// Panics if `name` is already registered.
    pub fn register<M: 'static>(&self, name: &'static str) -> Inbox<M> {
        let (sender, inbox) = mailbox();
        self.registry.borrow_mut().insert(name, sender);
        inbox
    }

    /// Returns the mailbox of the service `name`. Returns `None` if there is no such
    /// service or if it receives messages of another type.
    pub fn find<M: 'static>(&self, name: &str) -> Option<Mailbox<M>> {
        self.registry.borrow().find(name)
    }

    /// Returns the mailbox of a service that the program always registers.
    ///
    /// # Panics
    ///
    /// Panics if no such service is registered, which means that the program starts
    /// its services incompletely or in the wrong order.
    pub fn service<M: 'static>(&self, name: &'static str) -> Mailbox<M> {
        self.find(name).unwrap_or_else(|| panic!("service {name} is not registered"))
    }
}

impl<T> Future for Task<T> {
    type Output = T;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<T> {
        match Pin::new(&mut self.0).poll(context) {
            Poll::Ready(Ok(value)) => Poll::Ready(value),
            Poll::Ready(Err(error)) if error.is_panic() => {
                std::panic::resume_unwind(error.into_panic())
            }
            // A cancelled task is never polled: only dropping this handle cancels it.
            Poll::Ready(Err(_)) | Poll::Pending => Poll::Pending,
        }
    }
}

impl<T> Drop for Task<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}
