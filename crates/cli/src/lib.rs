//! The commands that operators run with `bronzeport`.
//!
//! ```
//! let args = ["publish"].map(std::ffi::OsString::from);
//! let error = cli::args::parse(args).unwrap_err();
//! assert!(error.to_string().contains("--platform"));
//! ```

pub mod admin;
pub mod args;
pub mod commands;
pub mod files;
pub mod history;
pub mod logs;
pub mod publish;
pub mod table;
