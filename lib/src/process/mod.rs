//! What lives as long as the daemon.

pub mod raft;
pub mod record;
pub mod settings;
