//! Stand-ins for the system's environment (platform, targets, callers), a
//! fault-injecting proxy, and load generation and measurements based on them.
//!
//! Every process that the lab starts is its own executable under another
//! subcommand, and exits when its parent does.
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
