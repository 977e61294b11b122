//! The organisations on whose behalf requests are sent.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::rc::Rc;

use sha2::{Digest, Sha256};

/// An organisation, as the operators configure it.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// Name, unique in its table.
    pub name: Box<str>,
    /// Priority of the organisation's requests, which goes before the rank of their path rule;
    /// 0 is the most urgent.
    pub priority: u8,
    /// Limit on the organisation's requests; `None` if there is none.
    pub quota: Option<Quota>,
}

/// Limit on the requests of an organisation, summed over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Requests per second.
    pub per_second: f64,
    /// Number of requests that may come at once after a time without any.
    pub burst: f64,
}

/// Why a name or a key cannot be added to the organisations.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// It is empty.
    Empty,
    /// It has already been added.
    Duplicate,
}

/// SHA-256 digest of a key.
type KeyDigest = [u8; 32];

/// The organisations of a configuration, and the digests of their keys.
///
/// Keys are kept and looked up by digest only, so that the duration of a lookup says nothing
/// about a key. `Debug` shows neither keys nor digests.
///
/// ```
/// use config::{Organisation, Organisations};
///
/// let mut organisations = Organisations::default();
/// let north = Organisation { name: "north".into(), priority: 0, quota: None };
/// let north = organisations.add(north).unwrap();
/// organisations.add_key(b"k-1", &north).unwrap();
/// assert_eq!(&*organisations.find(b"k-1").unwrap().name, "north");
/// assert!(organisations.find(b"k-2").is_none());
/// ```
#[derive(Clone, Default, PartialEq)]
pub struct Organisations {
    by_name: BTreeMap<Box<str>, Rc<Organisation>>,
    by_digest: HashMap<KeyDigest, Rc<Organisation>>,
}

impl Organisations {
    /// Adds an organisation that has no keys yet.
    pub fn add(&mut self, organisation: Organisation) -> Result<Rc<Organisation>, Rejection> {
        let name = organisation.name.clone();
        if name.is_empty() {
            return Err(Rejection::Empty);
        }
        if self.by_name.contains_key(&name) {
            return Err(Rejection::Duplicate);
        }
        let organisation = Rc::new(organisation);
        self.by_name.insert(name, organisation.clone());
        Ok(organisation)
    }

    /// Adds a key of an organisation. No two organisations have the same key.
    pub fn add_key(&mut self, key: &[u8], owner: &Rc<Organisation>) -> Result<(), Rejection> {
        if key.is_empty() {
            return Err(Rejection::Empty);
        }
        let digest = digest_of(key);
        if self.by_digest.contains_key(&digest) {
            return Err(Rejection::Duplicate);
        }
        self.by_digest.insert(digest, owner.clone());
        Ok(())
    }

    /// Returns the organisation that a key belongs to.
    pub fn find(&self, key: &[u8]) -> Option<&Rc<Organisation>> {
        self.by_digest.get(&digest_of(key))
    }

    /// Returns all organisations in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Organisation>> {
        self.by_name.values()
    }
}

impl fmt::Debug for Organisations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let keys = self.by_digest.len();
        f.debug_struct("Organisations").field("list", &self.by_name).field("keys", &keys).finish()
    }
}

fn digest_of(key: &[u8]) -> KeyDigest {
    Sha256::digest(key).into()
}
