//! Budget of extra sendings as a share of fresh traffic.

/// Extra sendings that may be saved up, as allowance for a burst.
const MAX_TOKENS: f64 = 10.0;

/// Tokens earned by fresh requests and spent by retries or hedges.
#[derive(Debug)]
pub(super) struct Budget {
    share: f64,
    tokens: f64,
}

impl Budget {
    /// Budget of `share` extra sendings for each fresh request.
    pub(super) fn new(share: f64) -> Self {
        Budget {
            share,
            tokens: MAX_TOKENS * share,
        }
    }

    /// Counts a fresh request.
    pub(super) fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(MAX_TOKENS);
    }

    /// Takes one extra sending, if there is one.
    pub(super) fn try_withdraw(&mut self) -> bool {
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }
}
