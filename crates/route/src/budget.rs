//! Budgets stated as a share of calls.
//!
//! Each daemon earns from the calls that enter through it. The sum over all
//! daemons is therefore bounded by the share of all calls, without a message
//! between them.

/// Tokens that calls earn and that probes, retries or hedges spend.
#[derive(Debug, Clone)]
pub struct Budget {
    share: f64,
    burst: f64,
    tokens: f64,
}

/// What a service may spend, as shares of its calls in parts of 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shares {
    /// Probes of guards whose load is not known well.
    pub probes: f64,
    /// Attempts after one that failed.
    pub retries: f64,
    /// Second attempts beside one that is late.
    pub hedges: f64,
    /// Most tokens of a kind that are saved up.
    pub burst: f64,
}

/// The budgets of one service.
#[derive(Debug, Clone)]
pub struct Budgets {
    /// Probes of guards whose load is not known well.
    pub probes: Budget,
    /// Attempts after one that failed.
    pub retries: Budget,
    /// Second attempts beside one that is late.
    pub hedges: Budget,
}

impl Budget {
    /// Most tokens that are saved up unless the shares say otherwise.
    pub const MAX_TOKENS: f64 = 10.0;

    /// A budget of `share` (parts of 1) of the calls. It starts empty, so that
    /// the share holds for a fleet that has just started, too.
    pub fn new(share: f64) -> Self {
        Self { share, burst: Self::MAX_TOKENS, tokens: 0.0 }
    }

    /// Notes a call.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.burst);
    }

    /// Takes a token if there is one.
    pub fn spend(&mut self) -> bool {
        // Shares such as 0.1 have no exact binary form.
        let has_token = self.tokens >= 1.0 - 1e-9;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Changes the share and keeps the tokens.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Bounds the tokens that are saved up.
    pub fn set_burst(&mut self, burst: f64) {
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }
}

impl Budgets {
    /// Budgets by their shares of calls.
    pub fn new(shares: Shares) -> Self {
        let mut budgets = Self {
            probes: Budget::new(shares.probes),
            retries: Budget::new(shares.retries),
            hedges: Budget::new(shares.hedges),
        };
        budgets.set_shares(shares);
        budgets
    }

    /// Changes the shares and keeps the tokens.
    pub fn set_shares(&mut self, shares: Shares) {
        self.probes.set_share(shares.probes);
        self.retries.set_share(shares.retries);
        self.hedges.set_share(shares.hedges);
        for budget in [&mut self.probes, &mut self.retries, &mut self.hedges] {
            budget.set_burst(shares.burst);
        }
    }

    /// Notes a call in each budget.
    pub fn earn(&mut self) {
        self.probes.earn();
        self.retries.earn();
        self.hedges.earn();
    }
}

impl Default for Budgets {
    fn default() -> Self {
        Self::new(Shares { probes: 0.01, retries: 0.10, hedges: 0.02, burst: Budget::MAX_TOKENS })
    }
}
