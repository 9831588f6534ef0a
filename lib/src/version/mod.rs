//! What lives as long as one version of the fleet's state.

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
