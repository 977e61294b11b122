//! HTTP/1.1 towards callers and targets.
//!
//! The server bounds the time and size of heads and bodies and the number of
//! connections, and drops the work of a request whose caller has gone. Requests
//! of one connection may run beside each other; their answers keep their order. The client tells for each failure whether the
//! request may have reached the other side.
//!
//! ```
//! use std::time::Duration;
//! use web::{Client, Fault, Reuse};
//!
//! let kernel = kernel::Kernel::new().expect("a runtime");
//! let client = Client::new(kernel.clone(), "127.0.0.1:1".parse().unwrap(), 4);
//! let request = hyper::Request::new(bytes::Bytes::new());
//! let result = kernel.run(client.send(request, Reuse::Allowed));
//! assert!(matches!(result, Err(Fault::NotSent)));
//! ```

mod answer;
mod client;
mod connection;
mod frame;
mod line;
mod server;

pub use client::{Client, Fault, Reuse};
pub use connection::{Arrival, Handler};
pub use frame::BodyError;
pub use line::Place;
pub use server::{Busy, Limits, Serving, serve};
