//! The configuration in force on one daemon.

use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

use crate::finding::Findings;
use crate::parse::Source;
use crate::route_table::RouteTable;
use crate::service::Service;

/// Number of an accepted configuration. Revisions only grow.
pub type Revision = u64;

/// The newest version of a service file and the revision that introduced it. `Debug` does not
/// show the text, because a route table has the keys of organisations.
#[derive(Clone, PartialEq, Eq)]
pub struct Change {
    /// Revision by which the file became part of the configuration.
    pub revision: Revision,
    /// Revision at which an operator published the file. It is lower than `revision` if a
    /// daemon has written the file again after the store had lost it.
    pub published: Revision,
    /// Name of the service; empty for the route table.
    pub service: Box<str>,
    /// Text of the file; empty when the service was removed.
    pub body: Box<str>,
}

/// Parses the text of a route table.
pub type ReadTable = fn(&str) -> Result<RouteTable, Findings>;

/// Result of installing a set of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstallResult {
    /// The changes were installed; this is now the revision in force.
    Installed(Revision),
    /// This revision or a newer one is already in force; nothing was installed.
    Stale {
        /// The revision that was not installed.
        revision: Revision,
    },
    /// A change is not valid; nothing was installed.
    Invalid,
}

/// Key of the route table among the service names. No service has an empty name.
const ROUTE_TABLE_KEY: &str = "";

/// All services in force, each with the revision of its newest change.
///
/// A configuration at revision R contains every change up to R. The result of
/// [`ActiveConfig::changes_since`] is therefore complete, and a daemon that
/// installs it has every change up to the revision returned with it.
#[derive(Debug, Default)]
pub struct ActiveConfig {
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
    RouteTable(Rc<RouteTable>),
}

impl ActiveConfig {
    /// Returns an empty configuration that also accepts a route table.
    pub fn with_route_table(read_table: ReadTable) -> Self {
        Self { read_table: Some(read_table), ..Self::default() }
    }

    /// Returns the route table in force.
    pub fn route_table(&self) -> Option<&Rc<RouteTable>> {
        match &self.entries.get(ROUTE_TABLE_KEY)?.content {
            Content::RouteTable(table) => Some(table),
            Content::Removed | Content::Service(_) => None,
        }
    }

    /// Returns the revision in force, or 0 before the first installation.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the service `name`, if it exists.
    pub fn service(&self, name: &str) -> Option<&Rc<Service>> {
        self.entries.get(name).and_then(Entry::service)
    }

    /// Returns all services in force.
    pub fn services(&self) -> impl Iterator<Item = &Rc<Service>> {
        self.entries.values().filter_map(Entry::service)
    }

    /// Returns the newest change of every service.
    pub fn service_changes(&self) -> impl Iterator<Item = &Change> {
        let changes = self.entries.values().map(|entry| &entry.change);
        changes.filter(|change| *change.service != *ROUTE_TABLE_KEY)
    }

    /// Returns the newest change of every service that changed after revision
    /// `after`, and the revision that installing these changes leads to.
    ///
    /// The total size of the file texts is limited to `max_bytes`, but all
    /// changes of at least one revision are returned. The changes are complete
    /// up to the returned revision. If that revision is lower than the one in
    /// force, more changes remain and the caller has to call again.
    pub fn changes_since(&self, after: Revision, max_bytes: usize) -> (Revision, Vec<Change>) {
        let changes = self.entries.values().map(|entry| &entry.change);
        let mut newer: Vec<&Change> = changes.filter(|change| change.revision > after).collect();
        newer.sort_by_key(|change| change.revision);
        let mut bytes = 0;
        let mut page: Vec<Change> = Vec::new();
        for change in newer {
            bytes += change.body.len();
            let last = page.last().map(|last| last.revision);
            if let Some(last) = last.filter(|last| bytes > max_bytes && *last < change.revision) {
                return (last, page);
            }
            page.push(change.clone());
        }
        (self.revision, page)
    }

    /// Installs either all changes, and with them revision `to`, or none.
    ///
    /// The caller has to make sure that `changes` contains all changes between
    /// the revision in force and `to`.
    pub fn install(&mut self, to: Revision, changes: Vec<Change>) -> InstallResult {
        if to <= self.revision {
            return InstallResult::Stale { revision: to };
        }
        let mut entries = Vec::with_capacity(changes.len());
        for change in changes {
            match self.parse(&change) {
                Ok(content) => entries.push(Entry { change, content }),
                Err(()) => return InstallResult::Invalid,
            }
        }
        for entry in entries {
            self.insert_if_newer(entry);
        }
        self.revision = to;
        InstallResult::Installed(to)
    }

    /// Parses and installs a route table. Its revision is part of its text.
    pub fn install_route_table(&mut self, body: Box<str>) -> Result<InstallResult, Findings> {
        let Some(read) = self.read_table else {
            return Ok(InstallResult::Invalid);
        };
        let table = read(&body)?;
        let revision = table.revision;
        if revision <= self.revision {
            return Ok(InstallResult::Stale { revision });
        }
        let change =
            Change { revision, published: revision, service: ROUTE_TABLE_KEY.into(), body };
        self.insert_if_newer(Entry { change, content: Content::RouteTable(Rc::new(table)) });
        self.revision = revision;
        Ok(InstallResult::Installed(revision))
    }

    fn insert_if_newer(&mut self, entry: Entry) {
        let age = |change: &Change| (change.published, change.revision);
        let name = &entry.change.service;
        let current = self.entries.get(name).map_or((0, 0), |entry| age(&entry.change));
        if age(&entry.change) > current {
            self.entries.insert(name.clone(), entry);
        }
    }

    fn parse(&self, change: &Change) -> Result<Content, ()> {
        if change.body.is_empty() {
            return Ok(Content::Removed);
        }
        if *change.service == *ROUTE_TABLE_KEY {
            let table = self.read_table.and_then(|read| read(&change.body).ok()).ok_or(())?;
            return Ok(Content::RouteTable(Rc::new(table)));
        }
        let service =
            Service::try_from(Source::new(&change.service, &change.body)).map_err(drop)?;
        if service.name != change.service {
            return Err(());
        }
        Ok(Content::Service(Rc::new(service)))
    }
}

impl fmt::Debug for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Change")
            .field("revision", &self.revision)
            .field("published", &self.published)
            .field("service", &self.service)
            .field("body_bytes", &self.body.len())
            .finish()
    }
}

impl Entry {
    fn service(&self) -> Option<&Rc<Service>> {
        match &self.content {
            Content::Service(service) => Some(service),
            Content::Removed | Content::RouteTable(_) => None,
        }
    }
}
