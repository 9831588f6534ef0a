//! Tests of the policy library.

mod model;
mod raft_cluster;
mod test_controller;
mod test_key;
mod test_operator_api;
mod test_raft_scenarios;
mod test_raft_schedules;
mod test_settings;
mod test_unit;
