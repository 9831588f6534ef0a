//! Checks of this entry's links to targets, while connections to several of them fail.

use super::Entry;
use crate::process::logging::EventLog;
use cornelrail_lib::{process::event::Event, request::balance::LinkCheck};
use futures_util::future::join_all;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};

/// Targets that one check tries.
const TARGETS: usize = 5;
/// Other entries that one check tries.
const PEERS: usize = 3;
/// Time for one connection, many times that of a round trip to any zone.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between the checks of a detached entry.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Checks for as long as the process runs.
pub(super) async fn run(entry: Arc<Entry>) {
    loop {
        let is_detached = entry.router().reach().is_detached();
        match is_detached {
            true => sleep(CHECK_INTERVAL).await,
            false => entry.link_failures.notified().await,
        }
        let now = entry.clock.now();
        let sample = {
            let mut router = entry.router();
            let is_due = router.reach().is_check_due(now);
            is_due.then(|| (router.sample_targets(TARGETS), router.sample_peers(PEERS)))
        };
        let Some((targets, peers)) = sample else {
            continue;
        };
        let (reached, peers_reached) = tokio::join!(count(&targets), count(&peers));
        let check = LinkCheck {
            targets: targets.len(),
            reached,
            has_peer: peers_reached > 0,
        };
        let now = entry.clock.now();
        if !entry.router().reach().record_check(now, check) {
            continue;
        }
        let event = match is_detached {
            true => Event::LinksBack,
            false => Event::LinksLost,
        };
        event.log(format_args!(
            "reached={reached} of={} entries={peers_reached}",
            targets.len()
        ));
        // What was open before may hang for good.
        entry.pool.clear();
        entry.notify_leader();
    }
}

/// Number of addresses to which a connection is made in time.
async fn count(addresses: &[SocketAddr]) -> usize {
    let connecting = addresses
        .iter()
        .map(|address| timeout(CONNECT_TIMEOUT, TcpStream::connect(address)));
    let connected = join_all(connecting).await;
    let reached = connected.iter().filter(|made| matches!(made, Ok(Ok(_))));
    reached.count()
}
