//! Fewer requests for a target that is cold.

use std::time::{Duration, Instant};

use admit::{cold, rate};

use super::task::Task;
use crate::adapter::TargetAnswer;

/// Longest interval between health checks of a target that is cold.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(200);

impl Task {
    /// Applies the configured limit on the requests that the target gets while it is cold.
    /// Before the configuration is known, a limit applies that holds under any configuration.
    pub(super) fn limit_cold_starts(&mut self) {
        if !self.has_settings {
            return;
        }
        let cold = self.find_target_settings().and_then(|settings| settings.cold);
        let limit = cold.and_then(|cold| {
            let rate = rate::Limit::try_from(cold.per_second).ok()?;
            Some(cold::Limit::new(rate, cold.cold_start))
        });
        self.controller.set_cold_limit(self.now(), limit);
    }

    /// Applies what an answer to a request states about the target being cold.
    pub(super) fn observe_cold_answer(&mut self, now: Instant, answer: &TargetAnswer) {
        self.controller.observe_coldness(now, cold::Source::Answer, answer.cold);
    }

    /// Applies what the health page states about the target being cold, in an answer to the
    /// latest check. That a page states nothing counts only if it is in order and names the
    /// process.
    pub(super) fn observe_cold_page(&mut self, now: Instant, answer: &TargetAnswer) {
        let is_own = |instance: &str| self.is_current_process(instance);
        let is_in_order = answer.status == 200 && answer.instance.as_deref().is_some_and(is_own);
        if is_in_order || answer.cold.remaining() > Duration::ZERO {
            let source = cold::Source::HealthPage { sent_at: self.last_health_check };
            self.controller.observe_coldness(now, source, answer.cold);
        }
    }

    /// Shortest interval between health checks because the target may be cold; `None` if its
    /// health need not be checked while answers report its load.
    ///
    /// The health page is the first to state that a target has become cold again. A target that
    /// is cold gets no more checks than requests, but some, as it may be ready earlier.
    pub(super) fn cold_check_interval(&self) -> Option<Duration> {
        let settings = self.find_target_settings().filter(|_| self.controller.has_cold_limit())?;
        let per_second = settings.cold?.per_second;
        match self.controller.is_cold(self.now()) && self.is_checked {
            true => {
                Some(Duration::from_secs_f64(1.0 / per_second.max(1.0)).min(MAX_CHECK_INTERVAL))
            }
            false => Some(Duration::ZERO),
        }
    }

    /// Logs whether the target has become cold or ready since the last call, and returns it;
    /// `None` if neither.
    pub(super) fn take_cold_change(&mut self) -> Option<bool> {
        let is_cold = self.has_settings && self.controller.is_cold(self.now());
        if is_cold == self.was_cold {
            return None;
        }
        self.was_cold = is_cold;
        metrics::gauge!("bronzeport_target_cold").set(f64::from(u8::from(is_cold)));
        match is_cold {
            true => {
                metrics::counter!("bronzeport_target_cold_periods_total").increment(1);
                log::info!(
                    target: "daemon::guard::belief",
                    "the target is cold and gets fewer requests"
                );
            }
            false => log::info!(target: "daemon::guard::belief", "the target is not cold"),
        }
        Some(is_cold)
    }
}
