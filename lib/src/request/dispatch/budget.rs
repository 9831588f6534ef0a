//! Budget of extra sendings as a share of fresh traffic.

/// Extra sendings that may be saved up, as allowance for a burst.
const BURST: f64 = 10.0;

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
            tokens: BURST * share,
        }
    }

    /// Counts a fresh request.
    pub(super) fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(BURST);
    }

    /// Takes one extra sending, if there is one.
    pub(super) fn spend(&mut self) -> bool {
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}
