//! The table of paths in a book.

use std::cell::Cell;
use std::time::Duration;

use config::{Book, Bounds, Finding, Findings, Install, Table};

thread_local! {
    static READS: Cell<usize> = const { Cell::new(0) };
}

/// Reads a text that is the revision alone, and counts the calls.
fn read_table(text: &str) -> Result<Table, Findings> {
    READS.set(READS.get() + 1);
    let bounds = Bounds {
        head_bytes: 1,
        body_bytes: 1,
        head_time: Duration::ZERO,
        idle_time: Duration::ZERO,
    };
    match text.parse() {
        Ok(revision) => Ok(Table::new(revision, [], [], bounds)),
        Err(_) => {
            let finding =
                Finding { file: "t".into(), line: 1, column: 1, text: "no number".into() };
            Err(Findings { list: vec![finding] })
        }
    }
}

#[test]
fn a_table_is_read_once_and_replaces_older_ones_only() {
    let mut book = Book::with_table(read_table);
    assert_eq!(book.install_table("7".into()).ok(), Some(Install::Installed(7)));
    assert_eq!(READS.get(), 1);
    assert_eq!(book.install_table("5".into()).ok(), Some(Install::Stale));
    assert!(book.install_table("x".into()).is_err());
    assert_eq!(book.table().map(|table| table.revision), Some(7));
    let (revision, changes) = book.changes_since(0, usize::MAX);
    assert_eq!((revision, changes.len(), &*changes[0].body), (7, 1, "7"));
}
