//! Addresses for fixtures that start processes.

use cornelrail_testutils::ports;
use std::{collections::HashSet, net::TcpListener};

/// Two fixtures that look for a free port after each other get the same one now and then.
#[test]
fn a_port_is_never_given_to_two_listeners_of_a_host() {
    let host = ports::reserve_host();

    let given: Vec<u16> = (0..5_000).map(|_| ports::next_port()).collect();

    let distinct: HashSet<u16> = given.iter().copied().collect();
    assert_eq!(distinct.len(), given.len());
    for port in given.iter().step_by(100) {
        TcpListener::bind((host, *port)).expect("a port that nobody holds");
    }
}

/// Another process that looks for a host passes over one that is held.
#[test]
fn a_host_is_held_until_its_process_ends() {
    let host = ports::reserve_host();
    let other = ports::reserve_host();

    assert_ne!(host, other);
    TcpListener::bind((host, 9_999)).expect_err("held by this process");
}
