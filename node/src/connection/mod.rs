//! What lives as long as the tie to one target or peer.

pub mod announce;
pub mod incoming;
pub mod peer;
pub mod target;
pub mod wire;
