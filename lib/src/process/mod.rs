//! What lives as long as the daemon.

pub mod event;
pub mod operator_api;
pub mod raft;
pub mod record;
pub mod settings;
pub mod unit;
