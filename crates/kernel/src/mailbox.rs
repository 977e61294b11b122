//! Typed mailboxes for messages between tasks, and one-shot channels for replies.

use async_channel::{Receiver, Sender};
use tokio::sync::oneshot;

/// The sending half of a task's mailbox.
#[derive(Debug)]
pub struct Mailbox<M>(Sender<M>);

/// The receiving half of a task's mailbox.
#[derive(Debug)]
pub struct Inbox<M>(Receiver<M>);

/// The sending half of a one-shot channel: sends the reply to one request.
#[derive(Debug)]
pub struct Reply<T>(oneshot::Sender<T>);

/// The receiving half of a one-shot channel: receives the reply to one request.
#[derive(Debug)]
pub struct ReplyReceiver<T>(oneshot::Receiver<T>);

/// Returns both halves of a new mailbox that is not registered under a name.
pub fn mailbox<M>() -> (Mailbox<M>, Inbox<M>) {
    let (sender, receiver) = async_channel::unbounded();
    (Mailbox(sender), Inbox(receiver))
}

/// Returns both halves of a new one-shot channel for a reply.
pub fn reply<T>() -> (Reply<T>, ReplyReceiver<T>) {
    let (sender, receiver) = oneshot::channel();
    (Reply(sender), ReplyReceiver(receiver))
}

impl<M> Clone for Mailbox<M> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<M> Mailbox<M> {
    /// Sends `message` without waiting. It is dropped if the receiving task has ended.
    pub fn send(&self, message: M) {
        let _ = self.0.try_send(message);
    }

    /// Sends the message that `message` makes from a [`Reply`] and waits for the
    /// reply. Returns `None` if the receiving task has ended or drops the message
    /// without a reply.
    pub async fn request<T>(&self, message: impl FnOnce(Reply<T>) -> M) -> Option<T> {
        let (reply, receiver) = reply();
        self.send(message(reply));
        receiver.wait().await
    }
}

impl<M> Inbox<M> {
    /// Waits for the next message. Returns `None` once all senders have been dropped.
    pub async fn receive(&self) -> Option<M> {
        self.0.recv().await.ok()
    }
}

impl<T> Reply<T> {
    /// Sends the reply. Returns `false` if the receiver has been dropped.
    pub fn send(self, value: T) -> bool {
        self.0.send(value).is_ok()
    }

    /// Whether the receiver has been dropped.
    pub fn is_abandoned(&self) -> bool {
        self.0.is_closed()
    }
}

impl<T> ReplyReceiver<T> {
    /// Waits for the reply. Returns `None` if the sender was dropped without a reply.
    pub async fn wait(self) -> Option<T> {
        self.0.await.ok()
    }
}
