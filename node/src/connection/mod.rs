//! What lives as long as the tie to one target or peer.

pub mod peer;
pub mod target;
pub mod wire;
