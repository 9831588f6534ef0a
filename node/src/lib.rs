//! The daemon of an entry host.
//!
//! The policy is in `cornelrail_lib`; this package gives it sockets, a disk and a clock. Each task
//! owns its sockets and its state, and tasks talk by messages. Modules are arranged by life span, as
//! in the library.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;
