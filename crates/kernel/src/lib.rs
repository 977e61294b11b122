//! The micro-kernel: tasks, mailboxes, services found by name, the clock and
//! the orderly stop.
//!
//! A task owns its sockets and its state. Other tasks reach it only through
//! the [`Mailbox`] that it registers under a name. All tasks of a process run
//! on one thread, so that a call costs no hand-over between threads.
//!
//! ```
//! use kernel::Kernel;
//!
//! let kernel = Kernel::new().expect("a runtime");
//! let answer = kernel.run({
//!     let kernel = kernel.clone();
//!     async move {
//!         let inbox = kernel.register::<u32>("doubler");
//!         let mailbox = kernel.find::<u32>("doubler").expect("registered above");
//!         mailbox.send(21);
//!         inbox.receive().await.map(|n| n * 2)
//!     }
//! });
//! assert_eq!(answer, Some(42));
//! ```

mod clock;
mod mailbox;
mod registry;
mod socket;
mod stop;
mod tasks;

pub use clock::{Clock, Expired};
pub use mailbox::{Inbox, Mailbox, Reply, Waiter, mailbox, reply};
pub use socket::detect_silence;
pub use stop::{Asked, Signals};
pub use tasks::{Kernel, Task};
