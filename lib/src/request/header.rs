//! HTTP headers that callers, entries and targets exchange.

/// Key of the customer or family that the request concerns. Sent by callers, passed on to targets.
pub const KEY: &str = "cornelrail-key";
/// Identity of a once-only request; a resend carries the same one. Sent by callers, passed on to
/// targets.
pub const IDENTITY: &str = "idempotency-key";
/// Time left for the request, in milliseconds. Sent by callers; each hop lowers it on the way to
/// the target.
pub const DEADLINE_MS: &str = "cornelrail-deadline-ms";
/// Number of the request, unique in the fleet. Sent by entries to targets.
pub const REQUEST: &str = "cornelrail-request";
/// Fencing token of the grant under which the request is sent. Sent by entries to targets.
pub const FENCE: &str = "cornelrail-fence";
/// Epoch of the home that sends the request. Sent by entries to targets.
pub const EPOCH: &str = "cornelrail-epoch";
/// Outcome of the request: `answered`, `not-run` or `unknown`. Sent by entries to callers. A target
/// also answers `not-run` if it rejects a request without running it.
pub const OUTCOME: &str = "cornelrail-outcome";
/// Name of the [refusal reason](super::outcome::RefusalReason). Sent by entries to callers.
pub const REASON: &str = "cornelrail-reason";
/// Delay after which the caller may resend, in milliseconds. Sent by entries to callers.
pub const RETRY_MS: &str = "cornelrail-retry-ms";
/// Marks a request that an entry has another one send, as it reaches no target itself. Sent by
/// entries to entries, and passed on to nobody.
pub const DETOUR: &str = "cornelrail-detour";
/// Availability zone of the entry that sends the request. Sent by entries to targets.
pub const ZONE: &str = "cornelrail-zone";
