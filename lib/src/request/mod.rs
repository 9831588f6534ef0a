//! What lives for one request.

pub mod balance;
pub mod dispatch;
pub mod header;
pub mod once;
pub mod outcome;
pub mod plan;
pub mod quarantine;
