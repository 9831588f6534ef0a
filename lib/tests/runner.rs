//! Tests of the policy library.

mod test_key;
mod test_settings;
mod test_unit;
