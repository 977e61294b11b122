//! Budgets stated as a share of calls.
//!
//! Each daemon earns from the calls that enter through it. The sum over all
//! daemons is therefore bounded by the share of all calls, without a message
//! between them.

/// Tokens that calls earn and that probes, retries or hedges spend.
#[derive(Debug, Clone)]
pub struct Budget {
    share: f64,
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
    /// Most tokens that are saved up.
    const MAX_TOKENS: f64 = 10.0;

    /// A budget of `share` (parts of 1) of the calls. It starts empty, so that
    /// the share holds for a fleet that has just started, too.
    pub fn new(share: f64) -> Self {
        Self { share, tokens: 0.0 }
    }

    /// Notes a call.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(Self::MAX_TOKENS);
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
}

impl Budgets {
    /// Budgets by their shares of calls.
    pub fn new(shares: Shares) -> Self {
        Self {
            probes: Budget::new(shares.probes),
            retries: Budget::new(shares.retries),
            hedges: Budget::new(shares.hedges),
        }
    }

    /// Changes the shares and keeps the tokens.
    pub fn set_shares(&mut self, shares: Shares) {
        self.probes.set_share(shares.probes);
        self.retries.set_share(shares.retries);
        self.hedges.set_share(shares.hedges);
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
        Self::new(Shares { probes: 0.01, retries: 0.10, hedges: 0.02 })
    }
}
