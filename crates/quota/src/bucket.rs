//! The bucket of one organisation at a coordinator.

use std::time::{Duration, Instant};

use config::Quota;

use crate::recent::Recent;

/// Part of the burst that the buckets of a fleet hold together. The rest of the burst allows for
/// credit and tokens on their way.
const STOCK_OF_BURST: f64 = 0.9;
/// Number of tokens that the buckets of a fleet hold together on top of this. It is part of the
/// number of requests by which a quota may be exceeded in a window. Without it, the buckets of
/// small quotas hold a token or two each, and unevenly spread requests within the quota are
/// refused.
const EXTRA_STOCK: f64 = 8.0;
/// Time whose credit a bucket holds however small the burst is. Tokens that are borrowed at
/// [`crate::coordinator::BORROW_INTERVAL`] would overflow otherwise.
const MIN_STOCK_SECONDS: f64 = 0.5;
/// Time whose recent demand a bucket keeps when it lends.
const RESERVE_SECONDS: f64 = 0.5;
/// Time whose recent demand a bucket covers when it is not to borrow, and the time that it covers
/// after it has borrowed. Both are above the interval between two rounds, and demand varies.
const BORROW_BELOW_SECONDS: f64 = 0.75;
const BORROW_UP_TO_SECONDS: f64 = 1.25;
/// Number of tokens added to both.
const BORROW_MARGIN: f64 = 1.0;
/// Time for which borrowed tokens may exceed the cap of the level. They come on top of what the
/// lenders accrue meanwhile.
const BORROWED_LIFETIME: Duration = Duration::from_secs(1);
/// Time for which nothing is borrowed for an organisation after lenders had nothing.
const BARREN: Duration = Duration::from_millis(500);
/// Spans over which demand is measured: for borrowing and lending, and for Retry-After.
const DEMAND_SPAN: Duration = Duration::from_secs(1);
const USUAL_SPAN: Duration = Duration::from_secs(10);
/// Part of the spare rate that refused requests are told to wait for. The rest makes up for
/// credit that comes late and for tokens that expire at entries.
const RETURN_SHARE: f64 = 0.9;
/// Smallest part of the accruing rate that refused requests are told to wait for, when other
/// demand takes the rest.
const MIN_RETURN_SHARE: f64 = 0.25;
/// Time added to Retry-After. What accrues in it goes to other requests of the same burst, or is
/// there for those who return.
const RETURN_MARGIN: Duration = Duration::from_millis(250);
/// Upper bound of Retry-After.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Retry-After while the coordinator receives no credit.
const UNFUNDED_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Tolerance of rounding errors, in tokens.
const ROUNDING: f64 = 1e-9;

#[derive(Debug)]
pub(crate) struct Bucket {
    quota: Quota,
    level: f64,
    /// Sum of all credit received by the coordinator when the level was last updated.
    credited: f64,
    borrowed: f64,
    borrowed_at: Instant,
    barren_since: Option<Instant>,
    demand: Recent,
    usual: Recent,
    /// Tokens for the refused requests that were told to return, and when this was updated.
    owed: f64,
    owed_at: Instant,
}

/// What a coordinator knows when it updates a bucket.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Funds {
    /// Sum of all credit received, in seconds.
    pub(crate) credit: f64,
    /// Part of the fleet's credit that this coordinator receives, in seconds per second.
    pub(crate) share: f64,
}

/// What a bucket lacks.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Shortfall {
    /// Number of tokens to borrow.
    pub(crate) tokens: f64,
    pub(crate) urgency: Urgency,
}

/// Whether to borrow for a bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Urgency {
    /// Nothing is to be borrowed.
    None,
    /// Tokens are borrowed if lenders are asked for other organisations anyway.
    WithOthers,
    /// The bucket will soon be empty.
    Low,
    /// Requests wait for tokens that the bucket does not hold.
    Waiting,
}

impl Bucket {
    pub(crate) fn new(now: Instant, quota: Quota, credit: f64) -> Self {
        Self {
            quota,
            level: 0.0,
            credited: credit,
            borrowed: 0.0,
            borrowed_at: now,
            barren_since: None,
            demand: Recent::new(DEMAND_SPAN),
            usual: Recent::new(USUAL_SPAN),
            owed: 0.0,
            owed_at: now,
        }
    }

    pub(crate) fn set_quota(&mut self, now: Instant, quota: Quota, funds: Funds) {
        self.update(now, funds);
        self.quota = quota;
        self.update(now, funds);
    }

    /// Adds the credit received since the last update and applies the limits of what is held.
    fn update(&mut self, now: Instant, funds: Funds) {
        let stock = self.quota.burst * STOCK_OF_BURST + EXTRA_STOCK;
        let cap = stock.max(self.quota.per_second * MIN_STOCK_SECONDS) * funds.share;
        let gained = (funds.credit - self.credited) * self.quota.per_second;
        self.credited = funds.credit;
        self.level = (self.level + gained).min(cap);
        self.borrowed = self.borrowed.min(stock);
        if now.saturating_duration_since(self.borrowed_at) >= BORROWED_LIFETIME {
            self.level = (self.level + std::mem::take(&mut self.borrowed)).min(cap);
        }
    }

    /// Returns the number of tokens held.
    pub(crate) fn available(&mut self, now: Instant, funds: Funds) -> f64 {
        self.update(now, funds);
        self.level + self.borrowed
    }

    /// Counts tokens that an entry asks for.
    pub(crate) fn note_demand(&mut self, now: Instant, tokens: f64) {
        self.demand.add(now, tokens);
        self.usual.add(now, tokens);
    }

    /// Grants as many whole tokens as there are, at most `tokens`.
    pub(crate) fn grant(&mut self, now: Instant, tokens: f64, funds: Funds) -> (f64, Duration) {
        let available = self.available(now, funds);
        let granted = tokens.min((available + ROUNDING).floor().max(0.0));
        self.spend(granted);
        let missing = tokens - granted;
        let retry_after = match missing > 0.0 {
            true => self.schedule_return(now, missing, available - granted, funds),
            false => Duration::ZERO,
        };
        (granted, retry_after)
    }

    /// Removes tokens that this bucket does not need itself, at most `tokens`.
    pub(crate) fn lend(&mut self, now: Instant, tokens: f64, funds: Funds) -> f64 {
        self.update(now, funds);
        let reserve = self.demand.per_second(now) * RESERVE_SECONDS;
        let lent = (self.level - reserve).clamp(0.0, tokens.max(0.0));
        self.level -= lent;
        lent
    }

    /// Returns what to borrow when `wanted` tokens are asked for now. It is nothing for a while
    /// after lenders had nothing.
    pub(crate) fn shortfall(&mut self, now: Instant, wanted: f64, funds: Funds) -> Shortfall {
        let is_recent = |since: Instant| now.saturating_duration_since(since) < BARREN;
        if self.barren_since.is_some_and(is_recent) {
            return Shortfall { tokens: 0.0, urgency: Urgency::None };
        }
        let available = self.available(now, funds);
        let demand = self.demand.per_second(now).min(self.quota.per_second);
        // Without demand nothing is kept ready.
        let margin = BORROW_MARGIN.min(demand);
        let lower = demand * BORROW_BELOW_SECONDS + margin;
        let upper = wanted.max(margin) + demand * BORROW_UP_TO_SECONDS + margin;
        let urgency = match available {
            available if available < wanted => Urgency::Waiting,
            available if available < lower => Urgency::Low,
            available if available < upper => Urgency::WithOthers,
            _ => Urgency::None,
        };
        Shortfall { tokens: (upper - available).max(0.0), urgency }
    }

    /// Adds borrowed tokens.
    pub(crate) fn receive(&mut self, now: Instant, tokens: f64, funds: Funds) {
        self.update(now, funds);
        self.borrowed += tokens;
        self.borrowed_at = now;
    }

    /// No lender had tokens.
    pub(crate) fn set_barren(&mut self, now: Instant) {
        self.barren_since = Some(now);
    }

    /// Spends borrowed tokens first, since they expire.
    fn spend(&mut self, tokens: f64) {
        let from_borrowed = tokens.min(self.borrowed);
        self.borrowed -= from_borrowed;
        self.level = (self.level - (tokens - from_borrowed)).max(0.0);
    }

    /// Returns the time after which there are tokens for `missing` more requests and for those
    /// refused before.
    fn schedule_return(
        &mut self,
        now: Instant,
        missing: f64,
        available: f64,
        funds: Funds,
    ) -> Duration {
        let rate = self.quota.per_second * funds.share;
        let spare = rate - self.usual.per_second(now);
        let rate = (spare * RETURN_SHARE).max(rate * MIN_RETURN_SHARE);
        if rate <= 0.0 {
            return UNFUNDED_RETRY_AFTER;
        }
        let elapsed = now.saturating_duration_since(self.owed_at).as_secs_f64();
        self.owed = (self.owed - elapsed * rate).max(0.0) + missing;
        self.owed = self.owed.min(rate * MAX_RETRY_AFTER.as_secs_f64());
        self.owed_at = now;
        let wait = (self.owed - available).max(0.0) / rate;
        let wait = wait.min(MAX_RETRY_AFTER.as_secs_f64());
        (Duration::from_secs_f64(wait) + RETURN_MARGIN).min(MAX_RETRY_AFTER)
    }
}
