//! Which daemons a record in the store accounts for.

use super::record::{MAX_EARLIER, Record};

#[test]
fn a_daemon_is_accounted_for_once_it_has_reported_in_the_era() {
    let record = Record::default().next(1, 2);
    assert!(record.accounts_for(1, 2));
    assert!(!record.accounts_for(1, 3) && !record.accounts_for(9, 2));
    assert!(record.next(1, 3).accounts_for(1, 3));
}

/// Guards against taking the start of a successor as proof that its predecessor's rows are in
/// the store, although the successor started after the restore.
#[test]
fn a_successor_accounts_for_its_predecessor_only_from_the_copy() {
    let successor = Record::default().next(1, 1).next(2, 1);
    assert!(successor.accounts_for(1, 2), "the copy has the successor's start");
    let late = Record::default().next(1, 1).next(2, 2);
    assert!(!late.accounts_for(1, 2), "the successor started after the restore");
    assert!(late.accounts_for(2, 2));
    let reported = late.next(2, 3);
    assert!(!reported.accounts_for(1, 3), "what the first copy lacked is lost in later ones too");
}

#[test]
fn a_planned_stop_in_the_copy_accounts_for_the_daemon() {
    let stopped = Record { has_stopped: true, ..Record::default().next(1, 1) };
    assert!(stopped.accounts_for(1, 4));
    let successor = stopped.next(2, 4);
    assert!(successor.accounts_for(2, 4) && !successor.has_stopped);
}

#[test]
fn records_of_an_address_are_bounded() {
    let last = 2 * MAX_EARLIER as u64;
    let record = (1..=last).fold(Record::default(), |record, node| record.next(node, 1));
    assert_eq!(record.earlier.len(), MAX_EARLIER);
    assert!(record.accounts_for(last - 1, 2));
}
