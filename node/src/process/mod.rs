//! What lives as long as the daemon.

pub mod store;
pub mod voter;
