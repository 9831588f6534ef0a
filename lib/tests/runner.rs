//! Tests of `cornelrail-lib`, all in one binary.

#[allow(dead_code, reason = "the example `dispatch` uses the rest")]
mod dispatch_model;
mod model;
mod property;
mod raft_cluster;
mod test_assigner;
mod test_controller;
mod test_desired;
mod test_dispatch;
mod test_dispatch_scenarios;
mod test_fleet;
mod test_freshness;
mod test_health;
mod test_key;
mod test_leader;
mod test_lease;
mod test_membership;
mod test_note;
mod test_once;
mod test_operator_api;
mod test_owner;
mod test_owner_lease;
mod test_permits;
mod test_pull_lease;
mod test_quarantine;
mod test_raft_rules;
mod test_raft_scenarios;
mod test_raft_schedules;
mod test_reach;
mod test_releases;
mod test_router;
mod test_settings;
mod test_sharding;
mod test_status_pace;
mod test_suspects;
mod test_unit;
