//! The daemon: one small process beside each target.
//!
//! It takes calls from callers (the entry) and stands before the target beside
//! it (the guard). Its services are tasks of one thread that find each other
//! by name; `docs/DESIGN.md` shows the way of a call through them.
//!
//! ```
//! let args = ["--data-centre", "lahore-1", "--slots", "0"].map(std::ffi::OsString::from);
//! let findings = daemon::settings::read(args, |_| None).unwrap_err();
//! assert_eq!(
//!     findings.to_string(),
//!     "--slots: expected a number from 1 to 4096, found `0`"
//! );
//! ```

mod admin;
mod attempt;
mod call;
mod callers;
mod claims;
mod configuration;
pub mod edge;
mod entry;
mod guard;
mod headers;
mod journal;
mod logs;
mod membership;
mod names;
mod node;
mod peers;
mod router;
pub mod settings;
mod storage;
mod surroundings;
mod target;

pub use node::run;
