//! Stand-ins for what the system meets (platform, targets, callers), a proxy
//! that injects faults, and the load and measurements made with them.
//!
//! Every process that it starts is itself again under another subcommand and
//! ends when its parent does.
//!
//! ```
//! use std::time::Duration;
//! use lab::service_time::ServiceTime;
//!
//! let mut times = ServiceTime::new(Duration::from_millis(20), 7);
//! assert!(times.next() >= Duration::from_millis(14));
//! ```

pub mod deployment;
pub mod fleet;
pub mod latency;
pub mod load;
pub mod measure;
pub mod ports;
pub mod process;
pub mod proxy;
pub mod relay;
pub mod scenario;
pub mod service_time;
pub mod sidecar;
pub mod slopes;
pub mod soak;
pub mod standin;
pub mod target;
pub mod tour;
