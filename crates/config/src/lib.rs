//! The configuration that operators publish: service files, which state how the
//! requests of a service may be treated, and the route table.
//!
//! Validation of a file reports all problems together, each with its line and
//! column. [`ActiveConfig`] holds the configuration in force and its revision, and
//! [`stored`] has the rows that keep it in the store.
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
//! assert!(findings.to_string().contains("x.toml:1:11: service: expected a string"));
//! ```

mod active;
mod finding;
mod organisation;
mod parse;
mod route_table;
mod scanners;
mod service;
pub mod stored;
mod table_check;

pub use active::{ActiveConfig, Change, InstallResult, ReadTable, Revision};
pub use finding::{Finding, Findings};
pub use organisation::{Organisation, Organisations, Quota, Rejection};
pub use parse::Source;
pub use route_table::{
    ColdLimit, PathRule, RequestLimits, RouteTable, TargetSettings, WeightedService,
};
pub use service::{Match, Pattern, Repeat, Rule, Service, Share};
pub use table_check::{Contradiction, describe_differences, find_contradictions};
