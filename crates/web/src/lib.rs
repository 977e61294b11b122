//! HTTP/1.1 server and client.
//!
//! The server limits the time and size of request heads and bodies and the number of
//! connections, and cancels the handler of a request when its caller disconnects.
//! Pipelined requests of one connection may run concurrently; their answers are sent in
//! the order of the requests. The client reports for each failure whether the request
//! may have reached the server.
//!
//! ```
//! use std::time::Duration;
//! use web::{Client, ClientError, Reuse};
//!
//! let kernel = kernel::Kernel::new().expect("a runtime");
//! let client = Client::new(kernel.clone(), "127.0.0.1:1".parse().unwrap(), 4);
//! let request = hyper::Request::new(bytes::Bytes::new());
//! let result = kernel.run(client.send(request, Reuse::Allowed));
//! assert!(matches!(result, Err(ClientError::NotSent)));
//! ```

mod answer;
mod budget;
mod client;
mod connection;
mod frame;
mod pipeline;
mod server;

pub use client::{Client, ClientError, Reuse};
pub use connection::{Handler, IncomingRequest};
pub use frame::BodyError;
pub use pipeline::PipelinePosition;
pub use server::{BusyConnections, Limits, ServerHandle, serve};
