//! Targets of one service that differ in speed, before any request reaches them.

use crate::{
    test_seeded::{Fleet, PATIENCE, call, fleet, granted_rows, set_up},
    test_targets_end::add_keyed,
};
use cornelrail_testutils::scripted::{self, Ask, Record, Reply};
use serde_json::{Value, json};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::TcpListener,
    time::{Instant, sleep},
};

const ALL_KEYS: u64 = 1 << 16;

/// Target that serves its health path alone.
struct Probed {
    name: &'static str,
    address: SocketAddr,
    held: Vec<Value>,
}

impl Probed {
    async fn start(name: &'static str, load: &'static str) -> Probed {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        scripted::serve(listener, Arc::<Record>::default(), move |ask: &Ask| {
            assert_eq!(ask.path, "/health");
            Reply::answer(ask, "")
                .with_field("instance-id", name)
                .with_field("server-load", load)
        });
        Probed {
            name,
            address,
            held: Vec::new(),
        }
    }

    async fn beat(&mut self, fleet: &Fleet, serial: u64) {
        let beat = json!({
            "service": "keyed", "address": self.address, "zone": "a", "version": "v1", "slots": 4,
            "state": "ready", "coldRemaining": "0ms", "seq": serial, "born": 1000,
            "holds": self.held, "released": [],
        });
        let query = format!("instances.heartbeat&of={}", self.name);
        let answer = call(fleet.control, &query, &beat).await;
        if let Some(rows) = answer.and_then(|(_, body)| granted_rows(&body)) {
            self.held = rows;
        }
    }

    fn keys(&self) -> u64 {
        let bound = |row: &Value, at: usize| row[at].as_u64().expect("a key");
        let rows = self.held.iter();
        rows.map(|row| bound(row, 1) + 1 - bound(row, 0)).sum()
    }
}

#[tokio::test]
async fn fast_and_slow_targets_get_as_many_keys() {
    let fleet = fleet().await;
    set_up(&fleet).await;
    add_keyed(&fleet).await;
    let mut fast = Probed::start("t-fast", "0,0,4,60").await;
    let mut slow = Probed::start("t-slow", "0,0,4,180").await;
    let begun = Instant::now();

    for serial in 1.. {
        fast.beat(&fleet, serial).await;
        slow.beat(&fleet, serial).await;
        if fast.keys() + slow.keys() == ALL_KEYS {
            break;
        }
        assert!(begun.elapsed() < PATIENCE, "the keys are not dealt");
        sleep(Duration::from_millis(100)).await;
    }

    let ratio = fast.keys() as f64 / slow.keys() as f64;
    assert!((2.5..3.5).contains(&ratio), "{ratio}");
}
