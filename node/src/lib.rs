//! The daemon of an entry host.

pub mod process;
