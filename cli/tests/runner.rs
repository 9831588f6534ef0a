//! Tests of the package.

mod support;
mod test_check;
mod test_cli;
mod test_endless;
mod test_entry;
