//! Tests of the package.

mod test_stand_in;
