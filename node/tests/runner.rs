//! Tests of the package.

mod test_store;
mod test_voter;
