//! Tests of the policy library.

mod model;
mod test_controller;
mod test_key;
mod test_settings;
mod test_unit;
