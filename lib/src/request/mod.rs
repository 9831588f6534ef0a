//! Decisions on a single request: where it goes, whether it is admitted, retried, run once only,
//! quarantined or refused, and the headers that carry its state.

pub mod balance;
pub mod dispatch;
pub mod header;
pub mod once;
pub mod outcome;
pub mod plan;
pub mod quarantine;
