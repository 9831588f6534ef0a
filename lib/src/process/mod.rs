//! What lives as long as the daemon.

pub mod event;
pub mod operator_api;
pub mod settings;
pub mod unit;
