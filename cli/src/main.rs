//! Entry point of the operator's command.

fn main() {}
