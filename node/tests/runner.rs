//! Tests of the package.

mod test_voter;
