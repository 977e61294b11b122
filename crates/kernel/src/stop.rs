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
    /// Stop in an orderly way.
    Stop,
    /// A person at a terminal asks to stop.
    Interrupt,
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
            self.terminate.recv().await;
            Asked::Stop
        };
        let interrupt = async {
            self.interrupt.recv().await;
            Asked::Interrupt
        };
        let reload = async {
            self.hangup.recv().await;
            Asked::Reload
        };
        stop.or(interrupt).or(reload).await
    }

    /// Completes at the next signal for which `is_awaited` holds. `reload` is
    /// called for each signal that asks for another look at the settings.
    pub async fn wait_for(&mut self, is_awaited: impl Fn(Asked) -> bool, reload: impl Fn()) {
        loop {
            match self.next().await {
                asked if is_awaited(asked) => return,
                Asked::Reload => reload(),
                Asked::Stop | Asked::Interrupt => {}
            }
        }
    }
}
