//! Tests of the policy library.

mod model;
mod test_assigner;
mod test_controller;
mod test_fleet;
mod test_key;
mod test_lease;
mod test_note;
mod test_owner;
mod test_unit;
