//! Names under which the daemon's services are registered in the kernel.

pub(crate) const CONFIGURATION: &str = "configuration";
pub(crate) const GUARD: &str = "guard";
pub(crate) const JOURNAL: &str = "journal";
pub(crate) const MEMBERSHIP: &str = "membership";
pub(crate) const PEERS: &str = "peers";
pub(crate) const QUOTA: &str = "quota";
pub(crate) const ROUTER: &str = "router";
pub(crate) const SETTLEMENT: &str = "settlement";
pub(crate) const STORE: &str = "store";
