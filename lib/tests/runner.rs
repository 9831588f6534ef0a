//! Tests of the policy library.

mod model;
mod test_dispatch;
mod test_health;
mod test_key;
mod test_once;
mod test_quarantine;
