//! What lives for one request.

pub mod header;
pub mod outcome;
