//! Unix signals as a stream of requested actions.

use std::io;

use futures_lite::FutureExt;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that the process receives after [`Signals::subscribe`].
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

/// The action that a signal requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignalAction {
    /// SIGTERM: shut down gracefully.
    Stop,
    /// SIGINT: shut down, requested at a terminal.
    Interrupt,
    /// SIGHUP: reload the settings.
    Reload,
}

impl Signals {
    /// Replaces the default handling of SIGTERM, SIGINT and SIGHUP.
    pub fn subscribe() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal and returns its action.
    pub async fn next(&mut self) -> SignalAction {
        let stop = async {
            self.terminate.recv().await;
            SignalAction::Stop
        };
        let interrupt = async {
            self.interrupt.recv().await;
            SignalAction::Interrupt
        };
        let reload = async {
            self.hangup.recv().await;
            SignalAction::Reload
        };
        stop.or(interrupt).or(reload).await
    }

    /// Waits for the next signal whose action satisfies `is_awaited`. Every other
    /// [`SignalAction::Reload`] calls `reload`; other signals are ignored.
    pub async fn wait_for(&mut self, is_awaited: impl Fn(SignalAction) -> bool, reload: impl Fn()) {
        loop {
            match self.next().await {
                action if is_awaited(action) => return,
                SignalAction::Reload => reload(),
                SignalAction::Stop | SignalAction::Interrupt => {}
            }
        }
    }
}
