//! Tests of the package.

mod test_link;
mod test_ports;
mod test_stand_in;
