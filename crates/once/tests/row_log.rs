//! Writing lost rows again, against a store that comes back from copies.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use once::{Created, RowLog};
use quickcheck::quickcheck;

const RETENTION: Duration = Duration::from_secs(600);

/// A store with the order in which it has created its rows.
#[derive(Clone, Default)]
struct Store {
    era: u64,
    version: u64,
    rows: BTreeMap<String, String>,
}

impl Store {
    /// Writes a row and returns its era and version.
    fn write(&mut self, key: &str, text: &str) -> Created {
        self.version += 1;
        self.write_in_transaction(key, text)
    }

    /// Writes a row in the transaction of the row before.
    fn write_in_transaction(&mut self, key: &str, text: &str) -> Created {
        self.rows.insert(key.into(), text.into());
        (self.era, self.version)
    }

    fn restore(&mut self, copy: &Store) {
        *self = Store { era: self.era + 1, ..copy.clone() };
    }
}

/// Writes lost rows again, as a daemon does, but at most `limit`. Returns whether it has come
/// to the end, and the number of rows that it looked at.
fn write_lost_rows(store: &mut Store, log: &mut RowLog, limit: usize) -> (bool, usize) {
    let mut looked_at = 0;
    while let Some(row) = log.take_unseen(store.era) {
        if looked_at == limit {
            // The write takes effect, but the daemon does not learn this.
            if !store.rows.contains_key(&*row.key) {
                store.write(&row.key, &row.text);
            }
            return (false, looked_at);
        }
        looked_at += 1;
        match store.rows.get(&*row.key) {
            Some(text) if **text == *row.text && !row.may_be_written => {
                log.set_found(&row.key, store.era);
                continue;
            }
            // Another daemon has written the row, perhaps since the restore.
            Some(_) => {
                log.set_unplaced(&row.key, store.era);
                continue;
            }
            None => {}
        }
        let created = store.write(&row.key, &row.text);
        match looked_at % 4 {
            // The response to the write is lost.
            3 => log.set_unplaced(&row.key, store.era),
            _ => log.set_created(&row.key, created),
        }
    }
    (true, looked_at)
}

quickcheck! {
    /// After any number of restores, some of which interrupt the daemons, the store has all
    /// rows of the daemons that have come to the end in the present era.
    fn all_rows_are_in_the_store_again(steps: Vec<(u8, u8, u8)>) -> bool {
        let now = Instant::now();
        let mut store = Store { era: 1, ..Store::default() };
        let mut copy = store.clone();
        let mut logs = [RowLog::new(RETENTION), RowLog::new(RETENTION)];
        let mut is_complete = [true; 2];
        let mut keys = [BTreeSet::new(), BTreeSet::new()];
        for (number, (action, daemon, argument)) in steps.into_iter().enumerate() {
            let daemon = usize::from(daemon) % logs.len();
            match action % 8 {
                // New rows are created, and rows are changed, only when all are complete.
                0..=3 if is_complete == [true; 2] => {
                    let key = match argument % 4 {
                        0 => format!("{daemon}/{}", argument % 16),
                        // Both daemons write these rows.
                        1 => format!("shared/{}", argument % 16),
                        _ => format!("{daemon}/new-{number}"),
                    };
                    let is_new = !store.rows.contains_key(&key);
                    let text = daemon.to_string();
                    let written = store.write(&key, &text);
                    logs[daemon].insert(now, written, is_new, &key, &text);
                    let second = format!("{key}-{number}");
                    if action % 8 == 3 {
                        let written = store.write_in_transaction(&second, &text);
                        logs[daemon].insert(now, written, true, &second, &text);
                        keys[daemon].insert(second);
                    }
                    keys[daemon].insert(key);
                }
                4 | 5 => copy = store.clone(),
                6 => {
                    store.restore(&copy);
                    is_complete = [false; 2];
                }
                _ if !is_complete[daemon] => {
                    let limit = usize::from(argument) % 12;
                    is_complete[daemon] = write_lost_rows(&mut store, &mut logs[daemon], limit).0;
                }
                _ => {}
            }
            let has_all = |(keys, complete): (&BTreeSet<String>, &bool)| {
                !complete || keys.iter().all(|key| store.rows.contains_key(key))
            };
            if !keys.iter().zip(&is_complete).all(has_all) {
                return false;
            }
        }
        true
    }
}

/// Guards against a settlement that takes as long as all requests of ten minutes need.
#[test]
fn rows_older_than_one_that_the_copy_has_are_not_looked_at() {
    let now = Instant::now();
    let mut store = Store { era: 1, ..Store::default() };
    let mut log = RowLog::new(RETENTION);
    let mut copy = store.clone();
    for number in 0..1000 {
        if number == 990 {
            copy = store.clone();
        }
        let key = format!("{number}");
        log.insert(now, store.write(&key, "claimed"), true, &key, "claimed");
    }
    // The end of a request does not make its row a new one.
    log.insert(now, store.write("5", "claimed"), false, "5", "claimed");
    store.restore(&copy);
    assert_eq!(write_lost_rows(&mut store, &mut log, usize::MAX), (true, 11));
    assert_eq!(store.rows.len(), 1000);
}

/// Guards against a daemon that forgets its last row, without which it cannot tell whether the
/// copy is older than all that it remembers.
#[test]
fn old_rows_are_dropped_but_not_the_newest() {
    let start = Instant::now();
    let mut log = RowLog::new(RETENTION);
    log.insert(start, (1, 1), true, "a", "text");
    log.insert(start + RETENTION * 2, (1, 2), true, "b", "text");
    assert!(!log.is_complete());
    log.insert(start + RETENTION * 9, (1, 3), false, "b", "changed");
    let row = log.take_unseen(2).expect("the newest row");
    assert_eq!((&*row.key, &*row.text), ("b", "changed"));
    assert!(log.set_found("b", 2), "the copy has what was created before");
    assert!(log.take_unseen(2).is_none());
}
