//! The configuration in force on one daemon.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::finding::Findings;
use crate::parse::Source;
use crate::service::Service;
use crate::table::Table;

/// Number of an accepted configuration. Revisions only grow.
pub type Revision = u64;

/// The newest file of a service and the revision that brought it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Revision at which the file was accepted.
    pub revision: Revision,
    /// Name of the service; empty for the table of paths.
    pub service: Box<str>,
    /// Text of the file; empty when the service was removed.
    pub body: Box<str>,
}

/// Reads the text of a table of paths.
pub type ReadTable = fn(&str) -> Result<Table, Findings>;

/// What became of a set of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Install {
    /// The book moved to this revision.
    Installed(Revision),
    /// The book holds this revision or a newer one already.
    Stale,
    /// A change does not pass the check; nothing was installed.
    Invalid,
}

/// Where the table of paths stands among the services.
const TABLE: &str = "";

/// All services in force, by revision.
///
/// A book at revision R holds every change up to R. [`Book::changes_since`]
/// is therefore complete, and a book that installs its result holds every
/// change up to the giver's revision.
#[derive(Debug, Default)]
pub struct Book {
    revision: Revision,
    entries: BTreeMap<Box<str>, Entry>,
    read_table: Option<ReadTable>,
}

#[derive(Debug)]
struct Entry {
    change: Change,
    content: Content,
}

#[derive(Debug)]
enum Content {
    Removed,
    Service(Rc<Service>),
    Table(Rc<Table>),
}

impl Book {
    /// An empty book that holds a table of paths, too.
    pub fn with_table(read_table: ReadTable) -> Self {
        Self { read_table: Some(read_table), ..Self::default() }
    }

    /// The table of paths in force.
    pub fn table(&self) -> Option<&Rc<Table>> {
        match &self.entries.get(TABLE)?.content {
            Content::Table(table) => Some(table),
            Content::Removed | Content::Service(_) => None,
        }
    }

    /// The revision in force; 0 before the first.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The service `name`, if it exists.
    pub fn service(&self, name: &str) -> Option<&Rc<Service>> {
        self.entries.get(name).and_then(Entry::service)
    }

    /// All services in force.
    pub fn services(&self) -> impl Iterator<Item = &Rc<Service>> {
        self.entries.values().filter_map(Entry::service)
    }

    /// The newest change of every service that changed after `after`, and the
    /// revision that they lead to.
    ///
    /// At most `max_bytes` of files are given, but one revision at least. The
    /// result is complete up to its revision, which is below this book's when
    /// more is to be asked for.
    pub fn changes_since(&self, after: Revision, max_bytes: usize) -> (Revision, Vec<Change>) {
        let changes = self.entries.values().map(|entry| &entry.change);
        let mut newer: Vec<&Change> = changes.filter(|change| change.revision > after).collect();
        newer.sort_by_key(|change| change.revision);
        let mut bytes = 0;
        let mut given: Vec<Change> = Vec::new();
        for change in newer {
            bytes += change.body.len();
            let last = given.last().map(|last| last.revision);
            if let Some(last) = last.filter(|last| bytes > max_bytes && *last < change.revision) {
                return (last, given);
            }
            given.push(change.clone());
        }
        (self.revision, given)
    }

    /// Installs changes that lead to revision `to`, all or none.
    ///
    /// The caller vouches that `changes` holds all changes between this book's
    /// revision and `to`.
    pub fn install(&mut self, to: Revision, changes: Vec<Change>) -> Install {
        if to <= self.revision {
            return Install::Stale;
        }
        let mut entries = Vec::with_capacity(changes.len());
        for change in changes {
            match self.check(&change) {
                Ok(content) => entries.push(Entry { change, content }),
                Err(()) => return Install::Invalid,
            }
        }
        for entry in entries {
            self.put(entry);
        }
        self.revision = to;
        Install::Installed(to)
    }

    /// Reads and installs a table of paths, whose text tells its revision.
    pub fn install_table(&mut self, body: Box<str>) -> Result<Install, Findings> {
        let Some(read) = self.read_table else {
            return Ok(Install::Invalid);
        };
        let table = read(&body)?;
        let revision = table.revision;
        if revision <= self.revision {
            return Ok(Install::Stale);
        }
        let change = Change { revision, service: TABLE.into(), body };
        self.put(Entry { change, content: Content::Table(Rc::new(table)) });
        self.revision = revision;
        Ok(Install::Installed(revision))
    }

    fn put(&mut self, entry: Entry) {
        let name = &entry.change.service;
        let known = self.entries.get(name).map_or(0, |entry| entry.change.revision);
        if entry.change.revision > known {
            self.entries.insert(name.clone(), entry);
        }
    }

    fn check(&self, change: &Change) -> Result<Content, ()> {
        if change.body.is_empty() {
            return Ok(Content::Removed);
        }
        if *change.service == *TABLE {
            let table = self.read_table.and_then(|read| read(&change.body).ok()).ok_or(())?;
            return Ok(Content::Table(Rc::new(table)));
        }
        let service =
            Service::try_from(Source::new(&change.service, &change.body)).map_err(drop)?;
        if service.name != change.service {
            return Err(());
        }
        Ok(Content::Service(Rc::new(service)))
    }
}

impl Entry {
    fn service(&self) -> Option<&Rc<Service>> {
        match &self.content {
            Content::Service(service) => Some(service),
            Content::Removed | Content::Table(_) => None,
        }
    }
}
