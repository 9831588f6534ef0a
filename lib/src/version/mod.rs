//! Replicated state of a fleet, the commands that change it and the decisions of its leader.
//!
//! In a configured fleet the state is a [`fleet::Fleet`] and [`controller`] proposes its commands;
//! in a seeded fleet it is a [`catalog::Catalog`] and [`leader`] proposes its updates.

pub mod admission;
mod apply;
pub mod assigner;
pub mod catalog;
pub mod command;
mod command_batch;
pub mod controller;
pub mod desired;
pub mod effect;
pub mod explain;
pub mod feed;
pub mod fleet;
mod homes;
pub mod leader;
pub mod leader_search;
mod moves;
pub mod note;
pub mod note_error;
pub mod permits;
mod placement;
mod range_table;
pub mod report;
pub mod sharding;
pub mod status_pace;
pub mod suspect_records;
pub mod suspects;
pub mod wire_level;
