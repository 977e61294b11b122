//! Service files: how the requests of a service may be treated.
//!
//! A file is checked as a whole; every finding carries its line and column.
//! [`Book`] holds what is in force, by revision.
//!
//! ```
//! use config::{Service, Source};
//!
//! let text = r#"
//! service = "ward-desk"
//! answer_within = "300ms"
//!
//! [[request]]
//! name = "current-notice"
//! method = "GET"
//! path = "/notices/*"
//! repeat = "safe"
//! "#;
//! let service = Service::try_from(Source::new("ward-desk.toml", text)).unwrap();
//! assert_eq!(&*service.name, "ward-desk");
//!
//! let findings = Service::try_from(Source::new("x.toml", "service = 7")).unwrap_err();
//! assert!(findings.to_string().contains("x.toml:1:11: service: expected a text"));
//! ```

mod book;
mod finding;
mod parse;
mod scanners;
mod service;
mod table;

pub use book::{Book, Change, Install, ReadTable, Revision};
pub use finding::{Finding, Findings};
pub use parse::Source;
pub use service::{Match, Pattern, Repeat, Rule, Service, Share};
pub use table::{Bounds, Endpoint, Part, Path, Table};
