//! The daemon: one small process beside each target.
//!
//! The entry accepts calls from callers and routes them. The guard controls the admission of
//! requests to the target beside the daemon. The services of a daemon are tasks of one
//! thread that look each other up by name. `docs/DESIGN.md` shows how a call passes through
//! them.
//!
//! ```
//! let args = ["--data-centre", "lahore-1", "--slots", "0"].map(std::ffi::OsString::from);
//! let findings = daemon::settings::read(args, |_| None).unwrap_err();
//! assert_eq!(
//!     findings.to_string(),
//!     "--slots: expected a number from 1 to 4096, found `0`"
//! );
//! ```

pub mod adapter;
mod admin;
mod attempt;
mod aux_listeners;
mod call;
mod callers;
mod claims;
mod configuration;
mod credentials;
mod entry;
mod guard;
mod headers;
mod journal;
mod logs;
mod membership;
mod names;
mod node;
mod peers;
mod quota;
mod router;
pub mod settings;
mod settlement;
mod storage;
mod target;

pub use node::run;
