//! What lives as long as the daemon.

pub mod control_call;
pub mod event;
pub mod operator_api;
pub mod raft;
pub mod record;
pub mod seeded_settings;
pub mod settings;
pub mod unit;
