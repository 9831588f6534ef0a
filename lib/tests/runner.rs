//! Tests of the policy library.

mod test_key;
mod test_unit;
