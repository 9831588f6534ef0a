//! Policy and state machines of cornelrail, a router for servers that hold keys exclusively.
//!
//! Nothing in this library opens a socket, reads a clock or touches a disk. Every state machine
//! takes its inputs and the time as arguments and returns the actions that the caller carries out,
//! so a scenario, a property test or a bench can drive each rule alone.
//!
//! Modules are arranged by life span:
//!
//! - [`request`] holds what lives for one request,
//! - [`connection`] what lives as long as the tie to one target or peer,
//! - [`version`] what lives as long as one version of the fleet's state,
//! - [`process`] what lives as long as the daemon.

pub mod connection;
pub mod key;
pub mod moment;
pub mod name;
pub mod process;
pub mod request;
pub mod version;
