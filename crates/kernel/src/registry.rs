//! The registry of a process's services: their names and mailboxes.

use std::any::Any;
use std::collections::BTreeMap;

use crate::mailbox::Mailbox;

/// The mailboxes of the services of one process, by service name.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    services: BTreeMap<&'static str, Box<dyn Any>>,
}

impl Registry {
    pub(crate) fn insert<M: 'static>(&mut self, name: &'static str, mailbox: Mailbox<M>) {
        let previous = self.services.insert(name, Box::new(mailbox));
        assert!(previous.is_none(), "service {name} is registered twice");
    }

    pub(crate) fn find<M: 'static>(&self, name: &str) -> Option<Mailbox<M>> {
        let mailbox = self.services.get(name)?;
        mailbox.downcast_ref::<Mailbox<M>>().cloned()
    }
}
