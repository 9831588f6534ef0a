//! Stand-ins for targets, callers and links, shared by the tests and the demo.
//!
//! - [`target`] stands in for the users' servers and reports every run to the [`ledger`],
//! - [`scripted`] stands in for targets of a seeded fleet that fail as a script says,
//! - [`caller`] stands in for parents, sellers and clerks and checks every answer,
//! - [`link`] delays, cuts and thins the traffic between two processes,
//! - [`ports`] gives tests addresses that nobody else uses,
//! - [`workload`] holds the users' sizes and the mix of their requests,
//! - [`tls`] makes the keys of a fleet, and [`http`] the connections that all of them share.

pub mod answer;
pub mod caller;
pub mod http;
pub mod ledger;
pub mod link;
pub mod ports;
pub mod scripted;
pub mod target;
pub mod timer;
pub mod tls;
pub mod workload;
