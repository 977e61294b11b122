//! Installing route tables into the active configuration.

use std::cell::Cell;
use std::time::Duration;

use config::{ActiveConfig, Finding, Findings, InstallResult, RequestLimits, RouteTable};

thread_local! {
    static READS: Cell<usize> = const { Cell::new(0) };
}

/// Parses a route table whose text is only its revision, and counts the calls.
fn read_table(text: &str) -> Result<RouteTable, Findings> {
    READS.set(READS.get() + 1);
    let limits = RequestLimits {
        max_header_bytes: 1,
        max_body_bytes: 1,
        header_timeout: Duration::ZERO,
        idle_timeout: Duration::ZERO,
    };
    match text.parse() {
        Ok(revision) => Ok(RouteTable::new(revision, [], [], limits)),
        Err(_) => {
            let finding =
                Finding { file: "t".into(), line: 1, column: 1, text: "not a number".into() };
            Err(Findings { list: vec![finding] })
        }
    }
}

#[test]
fn a_route_table_is_parsed_once_and_replaces_only_older_revisions() {
    let mut config = ActiveConfig::with_route_table(read_table);
    assert_eq!(config.install_route_table("7".into()).ok(), Some(InstallResult::Installed(7)));
    assert_eq!(READS.get(), 1);
    assert_eq!(
        config.install_route_table("5".into()).ok(),
        Some(InstallResult::Stale { revision: 5 })
    );
    assert!(config.install_route_table("x".into()).is_err());
    assert_eq!(config.route_table().map(|table| table.revision), Some(7));
    let (revision, changes) = config.changes_since(0, usize::MAX);
    assert_eq!((revision, changes.len(), &*changes[0].body), (7, 1, "7"));
}
