//! Entry point of the daemon.

fn main() {}
