//! State that lasts as long as the connection to one target or peer: leases, their messages and
//! the observed health of targets.

pub mod arrival;
mod departures;
pub mod health;
pub mod heartbeat;
pub mod lease;
pub mod link_budget;
mod link_forecast;
pub mod order;
pub mod pipeline;
pub mod pull_lease;
mod rivals;
