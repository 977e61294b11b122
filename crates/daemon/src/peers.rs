//! The service that manages connections to other daemons.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::FutureExt;
use kernel::{Inbox, Kernel, Mailbox, Reply};
use wire::{PeerClient, Uplink};

use crate::names;

/// Time limit of opening a connection, including the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Messages to the service.
pub(crate) enum Message {
    /// Return a client of the daemon at this address and connect first if necessary; `None`
    /// if the daemon cannot be reached.
    Connect { address: Box<str>, reply: Reply<Option<PeerClient>> },
    /// A connection was opened, or could not be opened. The mailbox closes the connection
    /// when it is dropped.
    Connected { address: Box<str>, opened: Option<(PeerClient, Mailbox<()>)> },
    /// A connection was closed.
    Closed { address: Box<str> },
    /// The daemon at this address has departed: close the connection, if there is one.
    Close { address: Box<str> },
}

enum ConnectionState {
    Connecting(Vec<Reply<Option<PeerClient>>>),
    Open {
        client: PeerClient,
        /// Stops the task that drives the connection when it is dropped.
        _stop: Mailbox<()>,
    },
}

/// Starts the service. `uplink` paces long messages.
pub(crate) fn start(kernel: &Kernel, uplink: Uplink) {
    let inbox = kernel.register::<Message>(names::PEERS);
    let task = Task {
        kernel: kernel.clone(),
        mailbox: kernel.service(names::PEERS),
        uplink,
        connections: HashMap::new(),
    };
    kernel.start(task.run(inbox));
}

struct Task {
    kernel: Kernel,
    mailbox: Mailbox<Message>,
    uplink: Uplink,
    connections: HashMap<Box<str>, ConnectionState>,
}

impl Task {
    async fn run(mut self, inbox: Inbox<Message>) {
        while let Some(message) = inbox.receive().await {
            match message {
                Message::Connect { address, reply } => self.provide_client(address, reply),
                Message::Connected { address, opened } => self.connection_opened(address, opened),
                Message::Closed { address } | Message::Close { address } => self.close(&address),
            }
        }
    }

    fn provide_client(&mut self, address: Box<str>, reply: Reply<Option<PeerClient>>) {
        match self.connections.get_mut(&address) {
            Some(ConnectionState::Open { client, .. }) => {
                reply.send(Some(client.clone()));
            }
            Some(ConnectionState::Connecting(waiting)) => waiting.push(reply),
            None => {
                self.connections.insert(address.clone(), ConnectionState::Connecting(vec![reply]));
                self.connect(address);
            }
        }
    }

    fn connect(&self, address: Box<str>) {
        let (kernel, mailbox) = (self.kernel.clone(), self.mailbox.clone());
        let uplink = self.uplink.clone();
        self.kernel.start(async move {
            let opened = open_connection(&kernel, &address, uplink).await;
            let Some((client, driver)) = opened else {
                mailbox.send(Message::Connected { address, opened: None });
                return;
            };
            let (stop, stopped) = kernel::mailbox();
            let opened = Some((client, stop));
            mailbox.send(Message::Connected { address: address.clone(), opened });
            // Each call in flight fails with the error of the connection.
            let drive = async {
                let _ = driver.await;
            };
            let until_stopped = async {
                let _ = stopped.receive().await;
            };
            drive.or(until_stopped).await;
            mailbox.send(Message::Closed { address });
        });
    }

    fn connection_opened(&mut self, address: Box<str>, opened: Option<(PeerClient, Mailbox<()>)>) {
        let waiting = match self.connections.remove(&address) {
            Some(ConnectionState::Connecting(waiting)) => waiting,
            _ => Vec::new(),
        };
        let client = opened.as_ref().map(|(client, _)| client.clone());
        if let Some((client, _stop)) = opened {
            self.connections.insert(address, ConnectionState::Open { client, _stop });
        }
        for reply in waiting {
            reply.send(client.clone());
        }
    }

    fn close(&mut self, address: &str) {
        if matches!(self.connections.get(address), Some(ConnectionState::Open { .. })) {
            self.connections.remove(address);
        }
    }
}

async fn open_connection(
    kernel: &Kernel,
    address: &str,
    uplink: Uplink,
) -> Option<(PeerClient, impl Future<Output = Result<(), wire::Error>> + use<>)> {
    let address: SocketAddr = address.parse().ok()?;
    let connecting = kernel.clock().timeout(CONNECT_TIMEOUT, wire::connect(address, uplink));
    match connecting.await.ok()? {
        Ok(opened) => Some(opened),
        Err(error) => {
            log::debug!("cannot connect to the daemon at {address}: {error}");
            None
        }
    }
}
