//! Refusal of requests while the guard's data centre is evacuated.

use std::time::{Duration, Instant};

use wire::Reason;

use super::Message;
use super::task::Task;

/// Time from hearing of the evacuation to the first refusal. By then the entries have heard of
/// it too, and need not look for a target by being refused.
const GRACE: Duration = Duration::from_millis(750);

impl Task {
    /// Records whether the data centre of this guard is evacuated.
    pub(super) fn set_evacuated(&mut self, is_evacuated: bool) {
        if is_evacuated == self.evacuated_since.is_some() {
            return;
        }
        self.evacuated_since = is_evacuated.then(|| self.now());
        log::info!(
            target: "daemon::guard::belief",
            "the data centre of the target {}",
            if is_evacuated { "is evacuated" } else { "is no longer evacuated" }
        );
        if is_evacuated {
            let (clock, mailbox) = (*self.kernel.clock(), self.mailbox.clone());
            self.kernel.start(async move {
                clock.sleep(GRACE).await;
                mailbox.send(Message::EvacuationDue);
            });
        }
    }

    /// Refuses the waiting requests if the evacuation is in force, so that other data centres
    /// run them.
    pub(super) fn refuse_evacuated(&mut self) {
        if self.is_evacuated(self.now()) {
            self.refuse_waiting(Reason::Evacuated);
        }
    }

    /// Whether requests are refused because the data centre is evacuated.
    pub(super) fn is_evacuated(&self, now: Instant) -> bool {
        self.evacuated_since.is_some_and(|since| now.saturating_duration_since(since) >= GRACE)
    }
}
