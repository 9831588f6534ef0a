//! Tests of the policy library.

mod raft_cluster;
mod test_key;
mod test_raft_rules;
mod test_raft_scenarios;
mod test_raft_schedules;
