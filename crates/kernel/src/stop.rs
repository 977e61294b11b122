//! Signals as a stream.

use std::io;

use futures_lite::FutureExt;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that this process gets from now on.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Asked {
    /// Stop.
    Stop,
    /// Look at the settings again.
    Reload,
}

impl Signals {
    /// Takes over SIGTERM, SIGINT and SIGHUP.
    pub fn subscribe() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Completes at the next signal.
    pub async fn next(&mut self) -> Asked {
        let stop = async {
            self.terminate.recv().or(self.interrupt.recv()).await;
            Asked::Stop
        };
        let reload = async {
            self.hangup.recv().await;
            Asked::Reload
        };
        stop.or(reload).await
    }

    /// Completes at the next signal that asks for a stop. `reload` is called for
    /// each signal that asks for another look at the settings.
    pub async fn stop(&mut self, mut reload: impl FnMut()) {
        while self.next().await == Asked::Reload {
            reload();
        }
    }
}
