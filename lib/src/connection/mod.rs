//! What lives as long as the tie to one target or peer.

pub mod health;
pub mod lease;
pub mod order;
