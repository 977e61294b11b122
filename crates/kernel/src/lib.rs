//! A small actor runtime: tasks, mailboxes, a registry that finds the mailbox of
//! a task by its service name, the clock and Unix signals.
//!
//! A task owns its sockets and its state. Other tasks reach it only through
//! the [`Mailbox`] that it registers under a service name. All tasks of a process
//! run on one thread, so that a request between tasks needs no switch of threads.
//!
//! ```
//! use kernel::Kernel;
//!
//! let kernel = Kernel::new().expect("a runtime");
//! let doubled = kernel.run({
//!     let kernel = kernel.clone();
//!     async move {
//!         let inbox = kernel.register::<u32>("doubler");
//!         let mailbox = kernel.find::<u32>("doubler").expect("registered above");
//!         mailbox.send(21);
//!         inbox.receive().await.map(|n| n * 2)
//!     }
//! });
//! assert_eq!(doubled, Some(42));
//! ```

mod clock;
mod mailbox;
mod registry;
mod signals;
mod socket;
mod tasks;

pub use clock::{Clock, Expired};
pub use mailbox::{Inbox, Mailbox, Reply, ReplyReceiver, mailbox, reply};
pub use signals::{SignalAction, Signals};
pub use socket::set_dead_peer_timeout;
pub use tasks::{Kernel, Task};
