//! Metrics of quotas.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use ::quota::{Admission, Grant, Host};

/// Most organisations that metrics name: those that were refused a request first. The others are
/// counted together.
const MAX_NAMED: usize = 32;
/// Label of all other organisations.
const OTHERS: &str = "other";
/// Interval at which the levels of buckets are reported.
const LEVEL_INTERVAL: Duration = Duration::from_secs(1);

/// What metrics show of quotas.
#[derive(Debug, Default)]
pub(super) struct Report {
    named: BTreeSet<Box<str>>,
    levels_at: Option<Instant>,
    /// Tokens since the start. Parts of a token are borrowed too.
    borrowed: f64,
    lent: f64,
}

impl Report {
    /// Counts a decision about a request.
    pub(super) fn decision(&mut self, organisation: &str, admission: Admission) {
        let is_refused = matches!(admission, Admission::Refused { .. });
        if is_refused && self.named.len() < MAX_NAMED {
            self.named.insert(organisation.into());
        }
        let name = if self.named.contains(organisation) { organisation } else { OTHERS };
        let decision = if is_refused { "refused" } else { "granted" };
        metrics::counter!(
            "bronzeport_quota_decisions_total",
            "organisation" => name.to_owned(),
            "decision" => decision
        )
        .increment(1);
    }

    /// Counts tokens that other coordinators have lent to this one.
    pub(super) fn borrowed(&mut self, grants: &[Grant]) {
        self.borrowed += tokens(grants);
        metrics::counter!("bronzeport_quota_borrowed_tokens_total").absolute(self.borrowed as u64);
    }

    /// Counts tokens that this coordinator has lent to others.
    pub(super) fn lent(&mut self, grants: &[Grant]) {
        self.lent += tokens(grants);
        metrics::counter!("bronzeport_quota_lent_tokens_total").absolute(self.lent as u64);
    }

    /// Reports the number of hosts among which quotas are divided.
    pub(super) fn hosts(&self, hosts: Option<u32>) {
        metrics::gauge!("bronzeport_quota_hosts").set(f64::from(hosts.unwrap_or(0)));
    }

    /// Reports the buckets that this host keeps as a coordinator.
    pub(super) fn levels(&mut self, now: Instant, host: &mut Host) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LEVEL_INTERVAL;
        if self.levels_at.is_some_and(is_recent) {
            return;
        }
        self.levels_at = Some(now);
        let coordinator = host.coordinator();
        metrics::gauge!("bronzeport_quota_share").set(coordinator.share(now));
        for organisation in &self.named {
            let level = coordinator.level(now, organisation).unwrap_or(0.0);
            metrics::gauge!("bronzeport_quota_level", "organisation" => organisation.to_string())
                .set(level);
        }
    }
}

fn tokens(grants: &[Grant]) -> f64 {
    grants.iter().map(|grant| grant.tokens).sum()
}
