//! The request rate that the target accepts, and the rate at which it gets requests.

use std::time::{Duration, Instant};

use admit::rate;
use route::Node;

use super::Message;
use super::task::Task;

/// Maximum number of entries named in a log line.
const MAX_LOGGED_ENTRIES: usize = 8;

/// Longest interval between health checks of a target that limits the rate of requests.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The rate that the target accepts, compared with what it gets.
#[derive(Debug, Default)]
pub(super) struct RateObserver {
    statements: rate::Statements,
    /// Whether the target has stopped limiting the rate and the load is not yet published.
    pub(super) has_limit_ended: bool,
    meter: rate::Meter,
    /// When an excess was last logged.
    excess_logged_at: Option<Instant>,
    /// Sends [`Message::StartDue`] when the target accepts another request.
    pub(super) start_timer: Option<StartTimer>,
}

/// The time at which [`Message::StartDue`] is sent, and the task that sends it.
#[derive(Debug)]
pub(super) struct StartTimer {
    due: Instant,
    _task: kernel::Task<()>,
}

impl RateObserver {
    /// The limit in force; `None` if the target accepts any rate.
    pub(super) fn limit(&self) -> Option<rate::Limit> {
        self.statements.limit()
    }

    /// Interval between health checks of a reachable target: it gets no more of them than it
    /// accepts requests, but enough of them to notice that its limit has ended.
    pub(super) fn check_interval(&self) -> Duration {
        let interval = |limit: rate::Limit| Duration::try_from_secs_f64(1.0 / limit.per_second());
        let interval = self.limit().map(|limit| interval(limit).unwrap_or(Duration::MAX));
        interval.map_or(Duration::ZERO, |interval| interval.min(MAX_CHECK_INTERVAL))
    }
}

impl Task {
    /// Applies what an answer of the target states about the rate that it accepts.
    pub(super) fn observe_rate(&mut self, source: rate::Source, stated: rate::Statement) {
        if stated == rate::Statement::Unreadable {
            metrics::counter!("bronzeport_unreadable_rate_limits_total").increment(1);
        }
        let previous = self.rate_observer.limit();
        self.rate_observer.statements.observe(source, stated);
        let limit = self.rate_observer.limit();
        if limit == previous {
            return;
        }
        // Requests sent under the earlier limit are not compared with the new one.
        self.rate_observer = RateObserver {
            statements: std::mem::take(&mut self.rate_observer.statements),
            has_limit_ended: limit.is_none(),
            ..RateObserver::default()
        };
        self.controller.set_rate_limit(self.now(), limit);
        match limit {
            Some(limit) => log::info!(
                target: "daemon::guard::belief",
                "the target accepts {} requests a second",
                limit.per_second()
            ),
            None => log::info!(
                target: "daemon::guard::belief",
                "the target accepts any number of requests"
            ),
        }
    }

    /// Sends [`Message::StartDue`] after `delay`, unless that is already scheduled for then or
    /// earlier.
    pub(super) fn wake_after(&mut self, delay: Duration) {
        let due = self.now() + delay;
        if self.rate_observer.start_timer.as_ref().is_some_and(|timer| timer.due <= due) {
            return;
        }
        let (clock, mailbox) = (*self.kernel.clock(), self.mailbox.clone());
        let task = self.kernel.spawn(async move {
            clock.sleep(delay).await;
            mailbox.send(Message::StartDue);
        });
        self.rate_observer.start_timer = Some(StartTimer { due, _task: task });
    }

    /// Records a request of `entry` that is sent to the target, and logs if the target gets
    /// more requests than it accepts.
    pub(super) fn record_start(&mut self, now: Instant, entry: Node) {
        metrics::counter!("bronzeport_guard_started_total").increment(1);
        let observer = &mut self.rate_observer;
        observer.meter.record(now, entry);
        let Some(limit) = observer.limit() else {
            return;
        };
        let count = observer.meter.count(now);
        let was_logged = observer
            .excess_logged_at
            .is_some_and(|at| now.saturating_duration_since(at) < rate::WINDOW);
        if count as f64 <= limit.per_window() || was_logged {
            return;
        }
        observer.excess_logged_at = Some(now);
        metrics::counter!("bronzeport_rate_excess_total").increment(1);
        let by_entry = observer.meter.by_entry();
        let entries = by_entry.iter().take(MAX_LOGGED_ENTRIES);
        let entries: Vec<String> =
            entries.map(|(entry, count)| format!("{entry:016x}: {count}")).collect();
        log::warn!(
            target: "daemon::guard::belief",
            "the target got {count} requests in {:?} and accepts {}; {} entries sent them, {}",
            rate::WINDOW,
            limit.per_window(),
            by_entry.len(),
            entries.join(", ")
        );
    }
}
