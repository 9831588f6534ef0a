//! State and formats that last as long as the daemon: the replicated log, settings, records of the
//! data folder, events, and the calls of operators and targets.

pub mod control_call;
pub mod event;
pub mod operator_api;
pub mod raft;
pub mod record;
pub mod seeded_settings;
pub mod settings;
pub mod unit;
