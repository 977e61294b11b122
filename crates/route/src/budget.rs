//! Budgets for extra requests, expressed as a share of calls.
//!
//! Each daemon deposits tokens only for the calls that enter through it. The sum
//! over all daemons is therefore bounded by the share of all calls, without any
//! coordination between daemons.

/// Token bucket that is filled by calls and drained by probes, retries or hedges.
#[derive(Debug, Clone)]
pub struct Budget {
    share: f64,
    burst: f64,
    tokens: f64,
}

/// Limits on the extra requests of a service, as fractions of its calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetShares {
    /// Load probes of guards whose last report is stale or missing.
    pub probes: f64,
    /// Attempts that follow a failed attempt.
    pub retries: f64,
    /// Second attempts that run beside a late first attempt.
    pub hedges: f64,
    /// Maximum number of tokens that each budget accumulates.
    pub burst: f64,
}

/// The budgets of one service.
#[derive(Debug, Clone)]
pub struct Budgets {
    /// Load probes of guards whose last report is stale or missing.
    pub probes: Budget,
    /// Attempts that follow a failed attempt.
    pub retries: Budget,
    /// Second attempts that run beside a late first attempt.
    pub hedges: Budget,
    /// Retries and hedges together, if they have a common limit. Retries are counted but not
    /// limited by it, so that it may be in debt.
    total: Option<Budget>,
}

impl Budget {
    /// Default maximum number of accumulated tokens.
    pub const MAX_TOKENS: f64 = 10.0;

    /// Creates a budget of `share` (a fraction) of the calls. The budget starts
    /// empty, so that the share also holds for a fleet that has just started.
    pub fn new(share: f64) -> Self {
        Self { share, burst: Self::MAX_TOKENS, tokens: 0.0 }
    }

    /// Deposits the share of one call.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.burst);
    }

    /// Withdraws a token and returns whether one was available.
    pub fn try_withdraw(&mut self) -> bool {
        // Shares such as 0.1 have no exact binary representation, so ten deposits
        // of 0.1 can add up to slightly less than 1.
        let has_token = self.tokens >= 1.0 - 1e-9;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Changes the share and keeps the accumulated tokens.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Sets the maximum number of accumulated tokens and discards any excess.
    pub fn set_burst(&mut self, burst: f64) {
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }
}

impl Budgets {
    /// Creates empty budgets with these shares.
    pub fn new(shares: BudgetShares) -> Self {
        let mut budgets = Self {
            probes: Budget::new(shares.probes),
            retries: Budget::new(shares.retries),
            hedges: Budget::new(shares.hedges),
            total: None,
        };
        budgets.set_shares(shares);
        budgets
    }

    /// Changes the shares and keeps the accumulated tokens, up to the new burst.
    pub fn set_shares(&mut self, shares: BudgetShares) {
        self.probes.set_share(shares.probes);
        self.retries.set_share(shares.retries);
        self.hedges.set_share(shares.hedges);
        for budget in [&mut self.probes, &mut self.retries, &mut self.hedges] {
            budget.set_burst(shares.burst);
        }
        if let Some(total) = &mut self.total {
            total.set_burst(2.0 * shares.burst);
        }
    }

    /// Limits retries and hedges together to a share of the calls. Retries take precedence.
    pub fn set_total(&mut self, share: f64) {
        let burst = self.retries.burst + self.hedges.burst;
        let total = self.total.get_or_insert_with(|| Budget { burst, ..Budget::new(share) });
        total.set_share(share);
    }

    /// Withdraws a token for a hedge and returns whether one was available. The common limit
    /// keeps one token for the next retry.
    pub fn try_withdraw_hedge(&mut self) -> bool {
        let Some(total) = &mut self.total else {
            return self.hedges.try_withdraw();
        };
        let is_allowed = total.tokens >= 2.0 - 1e-9 && self.hedges.try_withdraw();
        if is_allowed {
            total.tokens -= 1.0;
        }
        is_allowed
    }

    /// Counts a retry against the common limit.
    pub fn charge_retry(&mut self) {
        if let Some(total) = &mut self.total {
            total.tokens = (total.tokens - 1.0).max(-total.burst);
        }
    }

    /// Deposits the share of one call in each budget.
    pub fn deposit(&mut self) {
        self.probes.deposit();
        self.retries.deposit();
        self.hedges.deposit();
        if let Some(total) = &mut self.total {
            total.deposit();
        }
    }
}

impl Default for Budgets {
    fn default() -> Self {
        Self::new(BudgetShares {
            probes: 0.01,
            retries: 0.10,
            hedges: 0.02,
            burst: Budget::MAX_TOKENS,
        })
    }
}
