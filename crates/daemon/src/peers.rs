//! The service that keeps connections to other daemons.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::FutureExt;
use kernel::{Inbox, Kernel, Mailbox, Reply};
use wire::{PeerClient, Uplink};

use crate::names;

/// Time limit of connecting, the hello included.
const CONNECT_TIME: Duration = Duration::from_millis(500);

/// What the service is asked and told.
pub(crate) enum Ask {
    /// Give a connection; `None` when the daemon cannot be reached.
    Link { address: Box<str>, reply: Reply<Option<PeerClient>> },
    /// A connection is open, or could not be opened.
    Connected { address: Box<str>, opened: Option<(PeerClient, Mailbox<()>)> },
    /// A connection has ended.
    Closed { address: Box<str> },
    /// The daemon at this address has gone: close the connection, if any.
    Forget { address: Box<str> },
}

enum State {
    Connecting(Vec<Reply<Option<PeerClient>>>),
    Open {
        link: PeerClient,
        /// Its end stops the task that drives the connection.
        _stop: Mailbox<()>,
    },
}

/// Starts the service.
/// Long messages take their turns on `uplink`.
pub(crate) fn start(kernel: &Kernel, uplink: Uplink) {
    let inbox = kernel.register::<Ask>(names::PEERS);
    let task = Task {
        kernel: kernel.clone(),
        mailbox: kernel.service(names::PEERS),
        uplink,
        links: HashMap::new(),
    };
    kernel.start(task.run(inbox));
}

struct Task {
    kernel: Kernel,
    mailbox: Mailbox<Ask>,
    uplink: Uplink,
    links: HashMap<Box<str>, State>,
}

impl Task {
    async fn run(mut self, inbox: Inbox<Ask>) {
        while let Some(ask) = inbox.receive().await {
            match ask {
                Ask::Link { address, reply } => self.give(address, reply),
                Ask::Connected { address, opened } => self.connected(address, opened),
                Ask::Closed { address } | Ask::Forget { address } => self.close(&address),
            }
        }
    }

    fn give(&mut self, address: Box<str>, reply: Reply<Option<PeerClient>>) {
        match self.links.get_mut(&address) {
            Some(State::Open { link, .. }) => {
                reply.send(Some(link.clone()));
            }
            Some(State::Connecting(waiting)) => waiting.push(reply),
            None => {
                self.links.insert(address.clone(), State::Connecting(vec![reply]));
                self.connect(address);
            }
        }
    }

    fn connect(&self, address: Box<str>) {
        let (kernel, mailbox) = (self.kernel.clone(), self.mailbox.clone());
        let uplink = self.uplink.clone();
        self.kernel.start(async move {
            let opened = open(&kernel, &address, uplink).await;
            let Some((link, driver)) = opened else {
                mailbox.send(Ask::Connected { address, opened: None });
                return;
            };
            let (stop, stopped) = kernel::mailbox();
            let opened = Some((link, stop));
            mailbox.send(Ask::Connected { address: address.clone(), opened });
            // The error reaches each call that is under way.
            let driven = async {
                let _ = driver.await;
            };
            let until_stopped = async {
                let _ = stopped.receive().await;
            };
            driven.or(until_stopped).await;
            mailbox.send(Ask::Closed { address });
        });
    }

    fn connected(&mut self, address: Box<str>, opened: Option<(PeerClient, Mailbox<()>)>) {
        let waiting = match self.links.remove(&address) {
            Some(State::Connecting(waiting)) => waiting,
            _ => Vec::new(),
        };
        let link = opened.as_ref().map(|(link, _)| link.clone());
        if let Some((link, _stop)) = opened {
            self.links.insert(address, State::Open { link, _stop });
        }
        for reply in waiting {
            reply.send(link.clone());
        }
    }

    fn close(&mut self, address: &str) {
        if matches!(self.links.get(address), Some(State::Open { .. })) {
            self.links.remove(address);
        }
    }
}

async fn open(
    kernel: &Kernel,
    address: &str,
    uplink: Uplink,
) -> Option<(PeerClient, impl Future<Output = Result<(), wire::Error>> + use<>)> {
    let address: SocketAddr = address.parse().ok()?;
    let connecting = kernel.clock().timeout(CONNECT_TIME, wire::connect(address, uplink));
    match connecting.await.ok()? {
        Ok(opened) => Some(opened),
        Err(error) => {
            log::debug!("no connection to the daemon at {address}: {error}");
            None
        }
    }
}
