//! Policies and state machines of cornelrail, a router for servers that hold keys exclusively.
//!
//! Callers send requests to an *entry*, one of the daemons of a fleet. The entry sends each request
//! to a *target*, the back end that owns the request's key. A fleet is either *configured* (each
//! entry has the list of its peers in its settings, and each target has one *home* entry that sends
//! to it) or *seeded* (processes learn the members from seeds, and every entry sends to targets
//! itself).
//!
//! Nothing in this library opens a socket, reads a clock or accesses a disk. Every state machine
//! takes its inputs and the time as arguments and returns the actions for the caller to carry out,
//! so that scenarios, property tests and benchmarks can drive it in isolation.
//!
//! # Where to start
//!
//! Requests:
//!
//! - [`request::balance`] admits and routes requests at an entry of a seeded fleet.
//! - [`request::dispatch`] queues requests at the home of their targets in a configured fleet, and
//!   sends, retries or refuses them.
//! - [`request::once`] is the register that makes once-only requests run at most once.
//!
//! Ownership of keys:
//!
//! - [`version::sharding`] plans which target of a seeded fleet owns which keys, and moves keys to
//!   even out the load.
//! - [`version::catalog`] is the replicated state of a seeded fleet: its targets and their keys.
//! - [`version::controller`] turns the reports of a configured fleet's entries into the commands
//!   that move key ranges and homes.
//! - [`process::raft`] is the replicated log that carries the changes of either state.
//!
//! Leases and health:
//!
//! - [`connection::lease`] keeps the leases of an entry and of the targets that it is the home of.
//! - [`connection::pull_lease`] keeps, at the leader of a seeded fleet, the leases that targets
//!   renew by heartbeat.
//! - [`connection::health`] detects and ejects targets that are much slower than their peers.
//!
//! # Modules
//!
//! Modules are grouped by the lifetime of the state that they hold:
//!
//! - [`request`]: a single request,
//! - [`connection`]: the connection to one target or peer,
//! - [`version`]: one version of the fleet's state,
//! - [`process`]: the daemon.
//!
//! [`key`], [`name`] and [`moment`] define the types that they share.

pub mod connection;
pub mod key;
pub mod moment;
pub mod name;
pub mod process;
pub mod request;
pub mod version;
