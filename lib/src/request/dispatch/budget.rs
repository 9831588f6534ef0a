//! Token bucket that limits retries and hedges to a share of the new requests.
//!
//! Under overload, when many attempts fail, it keeps retries from multiplying the load.

/// Capacity of the bucket: the extra attempts that may follow each other in a burst.
const MAX_TOKENS: f64 = 10.0;

/// Tokens that new requests deposit and that retries or hedges withdraw.
#[derive(Debug)]
pub(super) struct Budget {
    share: f64,
    tokens: f64,
}

impl Budget {
    /// Budget of `share` extra attempts for each new request, with an initial balance of the
    /// share of ten requests.
    pub(super) fn new(share: f64) -> Self {
        Budget {
            share,
            tokens: MAX_TOKENS * share,
        }
    }

    /// Adds the share that a new request contributes.
    pub(super) fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(MAX_TOKENS);
    }

    /// Takes the token for one extra attempt; `false` if less than one is left.
    pub(super) fn try_withdraw(&mut self) -> bool {
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }
}
