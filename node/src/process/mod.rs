//! What lives as long as the daemon.

pub mod logging;
pub mod operator;
pub mod settings_file;
pub mod telemetry;
