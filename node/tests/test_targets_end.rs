//! All targets of a service that are killed together, and come back as new incarnations.

use crate::test_seeded::{
    Fleet, PATIENCE, call, exchange, fleet, granted_rows, order, set_up, split,
};
use cornelrail_testutils::scripted::{self, Ask, Reply};
use serde_json::json;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::TcpListener,
    runtime::{Builder, Runtime},
    time::{Instant, sleep},
};

/// Targets of the service.
const TARGETS: usize = 6;
/// Time without any target, within and beyond the lease of 4 s.
const DOWN_TIMES: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(6)];
/// Time after which the service is served again once its targets are back.
const RECOVERY: Duration = Duration::from_secs(15);
/// Requests with different keys of one look at the service.
const LOOK: u16 = 40;

/// Targets on a runtime of their own, so that dropping it ends them as a kill does: nothing is said,
/// and all their connections break.
struct Targets {
    runtime: Option<Runtime>,
}

impl Targets {
    /// Starts incarnation `born` of all targets at `addresses`, or at new ones.
    fn start(control: SocketAddr, addresses: &mut Vec<SocketAddr>, born: u64) -> Targets {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build();
        let runtime = runtime.expect("a runtime");
        let _entered = runtime.enter();
        for number in 0..TARGETS {
            let any = SocketAddr::new(control.ip(), 0);
            let address = addresses.get(number).copied().unwrap_or(any);
            let socket = std::net::TcpListener::bind(address).expect("bound");
            socket.set_nonblocking(true).expect("set");
            let address = socket.local_addr().expect("bound");
            if number == addresses.len() {
                addresses.push(address);
            }
            let listener = TcpListener::from_std(socket).expect("a listener");
            scripted::serve(listener, Arc::default(), |ask: &Ask| {
                Reply::answer(ask, &ask.id)
            });
            runtime.spawn(beat(control, address, number, born));
        }
        drop(_entered);
        Targets {
            runtime: Some(runtime),
        }
    }
}

impl Drop for Targets {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

async fn beat(control: SocketAddr, address: SocketAddr, number: usize, born: u64) {
    let mut held = Vec::new();
    for serial in 1_u64.. {
        let body = json!({
            "service": "keyed", "address": address, "zone": "a", "version": "v1", "slots": 8,
            "state": "ready", "coldRemaining": "0ms", "seq": serial, "born": born,
            "holds": held, "released": [],
        });
        let query = format!("instances.heartbeat&of=k-{number}-{born}");
        // The core answers or not, and the next heartbeat comes soon.
        let answer = call(control, &query, &body).await;
        if let Some(rows) = answer.and_then(|(_, body)| granted_rows(&body)) {
            held = rows;
        }
        sleep(Duration::from_millis(100)).await;
    }
}

/// Adds a keyed service with a route of its own.
pub(crate) async fn add_keyed(fleet: &Fleet) {
    let mut order = order(9, "2000ms");
    let mut service = order["upsert"]["services"]["pool"].clone();
    service["useShards"] = json!(true);
    let mut route = order["upsert"]["routes"]["r"].clone();
    route["pathPrefix"] = json!("/k/");
    route["service"] = json!("keyed");
    order["upsert"]["services"]["keyed"] = service;
    order["upsert"]["routes"]["k"] = route;
    let added = call(fleet.control, "config.patch", &order).await;
    assert_eq!(added.map(|(status, _)| status), Some(200));
}

/// Requests that are served, of some with keys all over the space.
async fn served(fleet: &Fleet) -> u16 {
    let mut served = 0;
    for number in 0..LOOK {
        let key = number * (u16::MAX / LOOK);
        let request = format!(
            "GET /k/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: k-{number}\r\n\
             Deadline-Ms: 200\r\nShard-Key: {key}\r\nConnection: close\r\n\r\n"
        );
        let reply = exchange(fleet.callers, request.as_bytes()).await;
        let status = reply.ok().and_then(|reply| Some(split(&reply)?.0));
        served += u16::from(status == Some(200));
    }
    served
}

/// Time until nine tenths of the requests are served.
async fn time_until_served(fleet: &Fleet) -> Duration {
    let begun = Instant::now();
    while served(fleet).await < LOOK * 9 / 10 {
        assert!(begun.elapsed() < RECOVERY + PATIENCE, "never served again");
        sleep(Duration::from_millis(100)).await;
    }
    begun.elapsed()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn targets_that_are_killed_together_are_not_served_once_they_are_back() {
    for keeps_addresses in [true, false] {
        let fleet = fleet().await;
        set_up(&fleet).await;
        add_keyed(&fleet).await;
        let mut addresses = Vec::new();
        let mut targets = Targets::start(fleet.control, &mut addresses, 1_000);
        time_until_served(&fleet).await;

        for (number, down) in DOWN_TIMES.into_iter().enumerate() {
            drop(targets);
            sleep(down).await;
            if !keeps_addresses {
                addresses.clear();
            }
            let born = 2_000 + number as u64;
            targets = Targets::start(fleet.control, &mut addresses, born);

            let time = time_until_served(&fleet).await;

            println!("down for {down:?}, same addresses {keeps_addresses}: {time:?}");
            assert!(time <= RECOVERY, "served after {time:?}");
        }
        drop(targets);
    }
}
