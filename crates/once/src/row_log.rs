//! Log of the rows that one process has written, from which it writes again what a restored
//! store has lost.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Era and version in which the store created a row. Rows are created in this order; those of
/// one transaction have the same version.
pub type Created = (u64, u64);

/// Rows by the time of their creation, if it is known, each with its latest text.
///
/// A copy of the store that has one of these rows also has all rows created before it, so
/// that only a few have to be looked at after a restore. This holds among rows whose place in
/// the same era is known. A row that was not looked at before a second restore came is not
/// among them, and is looked at itself.
///
/// Rows are dropped by age, but never the newest one, since it may be needed to show that the
/// copy has those before it.
#[derive(Debug)]
pub struct RowLog {
    rows: BTreeMap<(Created, Box<str>), LoggedRow>,
    created: HashMap<Box<str>, Created>,
    max_age: Duration,
    has_dropped: bool,
}

/// A row with its latest text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoggedRow {
    /// Key of the row.
    pub key: Box<str>,
    /// Latest text of the row that was written here.
    pub text: Box<str>,
    written_at: Instant,
    /// Latest era in which the row is known to be at its place in the order of creation;
    /// `None` if the time of its creation is not known.
    placed_in: Option<u64>,
    /// Latest era in which the store is known to have the row.
    seen_in: u64,
    /// Whether the row may have been written again without a result. If the store has it, it
    /// may be because of this.
    pub may_be_written: bool,
}

impl RowLog {
    /// Creates an empty log that keeps rows for `max_age`.
    pub fn new(max_age: Duration) -> Self {
        Self { rows: BTreeMap::new(), created: HashMap::new(), max_age, has_dropped: false }
    }

    /// Adds a row that was written at `written`, or replaces the text of a row that is in the
    /// log. `is_new` states that the write has created the row. Otherwise another process has
    /// created it at some time before.
    pub fn insert(&mut self, now: Instant, written: Created, is_new: bool, key: &str, text: &str) {
        match self.row_mut(key) {
            Some(row) => (row.text, row.written_at) = (text.into(), now),
            None => self.add(
                written,
                LoggedRow {
                    key: key.into(),
                    text: text.into(),
                    written_at: now,
                    placed_in: is_new.then_some(written.0),
                    seen_in: written.0,
                    may_be_written: false,
                },
            ),
        }
        self.drop_old(now);
    }

    /// Returns the newest row that the store may lack in `era`, to be written again if it is
    /// lost. Until the result is recorded, the row counts as one that may be written.
    pub fn take_unseen(&mut self, era: u64) -> Option<LoggedRow> {
        let row = self.rows.values_mut().rev().find(|row| row.seen_in < era)?;
        let taken = row.clone();
        row.may_be_written = true;
        Some(taken)
    }

    /// Records that the store had lost a row and has created it again.
    pub fn set_created(&mut self, key: &str, created: Created) {
        let before = self.created.remove(key);
        if let Some(row) = before.and_then(|before| self.rows.remove(&(before, key.into()))) {
            let (placed_in, seen_in) = (Some(created.0), created.0);
            self.add(created, LoggedRow { placed_in, seen_in, may_be_written: false, ..row });
        }
    }

    /// Records that the store has a row in `era`, and with it the rows created before. Returns
    /// whether its place in the order of creation is known, so that it shows this.
    pub fn set_found(&mut self, key: &str, era: u64) -> bool {
        let Some(created) = self.created.get(key).copied() else {
            return false;
        };
        let placed_in = self.row_mut(key).and_then(|row| row.placed_in);
        if placed_in.is_none() {
            self.set_unplaced(key, era);
            return false;
        }
        let until = self.rows.iter_mut().take_while(|((other, _), _)| *other <= created);
        for (_, row) in until {
            if row.placed_in == placed_in {
                (row.placed_in, row.seen_in, row.may_be_written) = (Some(era), era, false);
            }
        }
        true
    }

    /// Records that the store has a row in `era`, but that the time of its creation is not
    /// known.
    pub fn set_unplaced(&mut self, key: &str, era: u64) {
        if let Some(row) = self.row_mut(key) {
            (row.placed_in, row.seen_in, row.may_be_written) = (None, era, false);
        }
    }

    /// Whether the log still has all rows that were ever added.
    pub fn is_complete(&self) -> bool {
        !self.has_dropped
    }

    fn add(&mut self, created: Created, row: LoggedRow) {
        self.created.insert(row.key.clone(), created);
        self.rows.insert((created, row.key.clone()), row);
    }

    fn row_mut(&mut self, key: &str) -> Option<&mut LoggedRow> {
        self.rows.get_mut(&(*self.created.get(key)?, key.into()))
    }

    fn drop_old(&mut self, now: Instant) {
        let newest_place = self.rows.values().next_back().and_then(|row| row.placed_in);
        while self.rows.len() > 1
            && let Some(oldest) = self.rows.first_entry()
            && oldest.get().placed_in == newest_place
            && now.duration_since(oldest.get().written_at) > self.max_age
        {
            let row = oldest.remove();
            self.created.remove(&row.key);
            self.has_dropped = true;
        }
    }
}
