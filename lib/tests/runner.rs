//! Tests of the policy library.

#[allow(dead_code, reason = "the dispatch bench uses the rest")]
mod model;
mod test_dispatch;
mod test_health;
mod test_key;
mod test_once;
mod test_quarantine;
