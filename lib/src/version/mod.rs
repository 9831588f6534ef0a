//! Replicated state of a fleet, the commands that change it and the decisions of its leader.
//!
//! A configured fleet keeps a [`fleet::Fleet`] and plans with [`controller`]; a seeded fleet keeps a
//! [`catalog::Catalog`] and plans with [`leader`].

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
mod moves;
pub mod note;
pub mod note_error;
mod placement;
mod range_table;
pub mod report;
pub mod sharding;
