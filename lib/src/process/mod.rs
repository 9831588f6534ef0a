//! What lives as long as the daemon.

pub mod settings;
pub mod unit;
