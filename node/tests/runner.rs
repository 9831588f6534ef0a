//! Tests of the package.

mod test_docs;
mod test_logging;
mod test_operator;
mod test_program;
mod test_store;
mod test_voter;
