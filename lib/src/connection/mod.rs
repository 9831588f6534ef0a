//! What lives as long as the tie to one target or peer.

pub mod health;
pub mod heartbeat;
pub mod lease;
pub mod order;
pub mod pull_lease;
