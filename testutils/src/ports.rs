//! Loopback addresses that belong to one test process.
//!
//! A port that is found free and let go may be given to somebody else before it is used, also to the
//! next one who looks for a free port. A process therefore holds a loopback host for as long as it
//! runs and numbers the ports of that host itself.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU16, AtomicU32, Ordering},
    },
};

/// Port that is bound for as long as a process holds a host.
const HELD_PORT: u16 = 9_999;
/// First port of a host; the system gives connections ports from 32768 on.
const FIRST_PORT: u16 = 10_000;
/// Hosts from 127.16.0.0 on, which nothing else uses.
const FIRST_HOST: u32 = 0x7f10_0000;
/// Number of hosts to choose from.
const HOSTS: u32 = 0xc0_0000;

/// Listeners that hold the hosts of this process.
static HELD: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());

/// Returns a loopback host that no other caller and no other process gets while this one runs.
pub fn reserve_host() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    // Far apart for two processes, so that they seldom try the same one.
    let first = std::process::id().wrapping_mul(1_009);
    loop {
        let number = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let host = Ipv4Addr::from(FIRST_HOST + number % HOSTS);
        let is_usable = !matches!(host.octets()[3], 0 | 255);
        if let Ok(held) = TcpListener::bind((host, HELD_PORT))
            && is_usable
        {
            HELD.lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(held);
            return host;
        }
    }
}

/// Returns a port that no other caller in this process gets.
pub fn next_port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// Returns an address on a host of its own.
pub fn reserve_address() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(reserve_host()), next_port())
}
