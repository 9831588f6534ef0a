//! HTTP headers that callers, entries and targets exchange.

/// Key of the customer or family that the request is about. Caller to entry to target.
pub const KEY: &str = "cornelrail-key";
/// Identity of a once-only request; a resend carries the same. Caller to entry to target.
pub const IDENTITY: &str = "idempotency-key";
/// Time left for the request, in milliseconds. Caller to entry to target, less at each hop.
pub const DEADLINE_MS: &str = "cornelrail-deadline-ms";
/// Number of the request, unique in the fleet. Entry to target.
pub const REQUEST: &str = "cornelrail-request";
/// Fence of the grant under which the request is sent. Entry to target.
pub const FENCE: &str = "cornelrail-fence";
/// Epoch of the home that sends the request. Entry to target.
pub const EPOCH: &str = "cornelrail-epoch";
/// What became of the request, one of `answered`, `not-run`, `unknown`. Entry to caller. A target
/// that refuses work without running it answers with `not-run` too.
pub const OUTCOME: &str = "cornelrail-outcome";
/// Why the request was refused: the name of a refusal's reason. Entry to caller.
pub const REASON: &str = "cornelrail-reason";
/// Pause after which the caller may come back, in milliseconds. Entry to caller.
pub const RETRY_MS: &str = "cornelrail-retry-ms";
/// Zone of the sender. Entry to target.
pub const ZONE: &str = "cornelrail-zone";
