//! What lives as long as the daemon.

pub mod clock;
pub mod control;
pub mod core;
pub mod daemon;
pub mod entry;
pub mod logging;
pub mod operator;
pub mod protocol;
pub mod register;
pub mod seeded;
mod server;
pub mod settings_file;
pub mod store;
pub mod telemetry;
pub mod transport;
pub mod voter;
mod voter_handle;
