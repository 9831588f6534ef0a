//! Limits that a target names: what all entries of a seeded fleet send it together, and which part
//! of the limit their callers get.

use crate::test_seeded::{PATIENCE, call, exchange, host, settings, split};
use cornelrail_node::process::{
    core::{self, CoreHandle},
    entry::{self, EntryHandle},
};
use cornelrail_testutils::{
    ports,
    scripted::{self, Ask, Record, Reply},
};
use serde_json::{Value, json};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tempfile::TempDir;
use tokio::{
    net::TcpListener,
    task::JoinSet,
    time::{Instant, interval, sleep},
};

/// Limit of the target, in requests a second.
const LIMIT: f64 = 8.0;
/// Requests of callers a second, over all entries.
const DEMAND: u32 = 40;
/// Window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests that the target may get in a window.
const ALLOWED: f64 = 1.5 * LIMIT * 4.0 + 5.0;
/// Time that entries have to learn of the limit.
const LEARNING: Duration = Duration::from_millis(500);
/// Part of the limit that callers get while they ask for more.
const SERVED_SHARE: f64 = 0.8;

/// One core host, entries and one target.
struct Fleet {
    _folder: TempDir,
    control: SocketAddr,
    callers: Vec<SocketAddr>,
    record: Arc<Record>,
    /// Limit that the target names, in requests a second.
    limit: Arc<Mutex<Option<f64>>>,
    _core: CoreHandle,
    _entries: Vec<EntryHandle>,
}

/// Largest number of requests in a window that begins at `from` or later.
fn worst_window(record: &Record, from: Instant) -> usize {
    let late = record.times().into_iter().filter(|at| *at >= from);
    let counts = late.map(|first| record.arrivals(first, first + WINDOW));
    counts.max().unwrap_or_default()
}

fn answer(ask: &Ask, limit: Option<f64>) -> Reply {
    let reply = Reply::answer(ask, "done")
        .with_field("server-load", "1,0,40,100")
        .after(Duration::from_millis(20));
    match limit {
        Some(limit) => reply.with_field("server-limit", &limit.to_string()),
        None => reply,
    }
}

async fn beat(control: SocketAddr, address: SocketAddr) {
    for serial in 1_u64.. {
        let body = json!({
            "service": "pool", "address": address.to_string(), "zone": "a", "version": "v1",
            "slots": 40, "state": "ready", "coldRemaining": "0ms", "seq": serial, "born": 1000,
        });
        // The core may not listen yet; the next heartbeat comes soon.
        let _ = call(control, "instances.heartbeat&of=t-1", &body).await;
        sleep(Duration::from_millis(100)).await;
    }
}

async fn fleet(entries: usize) -> Fleet {
    let folder = TempDir::new().expect("a folder");
    let host = host();
    let port = ports::next_port();
    let address = || SocketAddr::new(host.parse().expect("an address"), ports::next_port());
    let control = address();
    let listen = format!("control: \"{control}\"");
    let core = settings("core", &host, port, &listen, &folder.path().join("core"));
    let core = core::start(core).await.expect("a core host");
    let mut fleet = Fleet {
        _folder: folder,
        control,
        callers: Vec::new(),
        record: Arc::default(),
        limit: Arc::default(),
        _core: core,
        _entries: Vec::new(),
    };
    for number in 0..entries {
        let callers = address();
        let listen = format!("callers: \"{callers}\", ready: \"{}\"", address());
        let none = fleet._folder.path().join("none");
        let mut entry = settings("entry", &host, port, &listen, &none);
        entry.name = format!("entry-{number}");
        fleet.callers.push(callers);
        fleet
            ._entries
            .push(entry::start(entry).await.expect("an entry"));
    }
    let listener = TcpListener::bind((host.as_str(), 0)).await.expect("bound");
    let address = listener.local_addr().expect("bound");
    let limit = fleet.limit.clone();
    let script = move |ask: &Ask| answer(ask, *limit.lock().expect("whole"));
    scripted::serve(listener, fleet.record.clone(), script);
    tokio::spawn(beat(control, address));
    fleet
}

fn order() -> Value {
    json!({"upsert": {
        "routes": {"r": {"host": "h.example", "pathPrefix": "/r/", "kind": "unsafe",
            "timeout": "2000ms", "targetLatency": "500ms", "priority": 1, "service": "pool",
            "maxAttempts": 2, "version": "00000001"}},
        "services": {"pool": {"healthPath": "/health", "maxConns": 2000, "protocol": "h1",
            "tls": false, "version": "00000001"}},
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4_000_000, "headerTimeout": "3000ms",
            "idleTimeout": "15000ms", "version": "00000001"},
    }, "remove": {"routes": []}})
}

/// Sends a request of a caller; gives the status and the whole reply.
async fn ask(entry: SocketAddr) -> (u16, String) {
    let request = b"POST /r/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: one\r\n\
        Deadline-Ms: 1000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    let reply = exchange(entry, request).await.unwrap_or_default();
    let status = split(&reply).map_or(0, |(status, _)| status);
    (status, reply)
}

/// Waits until every entry serves.
async fn set_up(fleet: &Fleet) {
    let start = Instant::now();
    while call(fleet.control, "config.patch", &order())
        .await
        .map(|(status, _)| status)
        != Some(200)
    {
        assert!(start.elapsed() < PATIENCE, "no order is acknowledged");
        sleep(Duration::from_millis(50)).await;
    }
    for entry in &fleet.callers {
        while ask(*entry).await.0 != 200 {
            assert!(start.elapsed() < PATIENCE, "{entry} serves nothing");
            sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Asks for `time`, each time the entry that `pick` names; gives the answers.
async fn demand(
    fleet: &Fleet,
    time: Duration,
    pick: impl Fn(usize) -> usize,
) -> Vec<(u16, String)> {
    let end = Instant::now() + time;
    let mut pace = interval(Duration::from_secs(1) / DEMAND);
    let mut asking = JoinSet::new();
    for number in 0.. {
        pace.tick().await;
        if Instant::now() >= end {
            break;
        }
        asking.spawn(ask(fleet.callers[pick(number)]));
    }
    asking.join_all().await
}

/// Plays a target that names a limit while callers ask for five times as much. What it gets and what
/// the callers get are checked.
async fn check_limit(entries: usize, pick: impl Fn(usize) -> usize) {
    let fleet = fleet(entries).await;
    set_up(&fleet).await;
    demand(&fleet, Duration::from_secs(1), &pick).await;
    *fleet.limit.lock().expect("whole") = Some(LIMIT);
    demand(&fleet, LEARNING, &pick).await;
    let told = Instant::now();

    let answers = demand(&fleet, WINDOW * 2, &pick).await;

    let worst = worst_window(&fleet.record, told);
    assert!(
        worst as f64 <= ALLOWED,
        "{worst} requests in 4 s, {ALLOWED} allowed"
    );
    let served = fleet.record.arrivals(told, told + WINDOW * 2) as f64;
    let due = LIMIT * (WINDOW * 2).as_secs_f64();
    println!("{entries} entries: {worst} in the worst 4 s, {served} of {due} in 8 s");
    assert!(served >= due * SERVED_SHARE, "{served} served of {due}");
    for (status, reply) in answers {
        assert!(matches!(status, 200 | 503), "{reply}");
        let says_when = reply.to_lowercase().contains("retry-after: ");
        assert!(status == 200 || says_when, "{reply}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn eight_entries_exceed_the_limit_of_a_target_together() {
    check_limit(8, |number| number % 8).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn eighty_entries_exceed_the_limit_of_a_target_together() {
    check_limit(80, |number| number % 80).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_busy_entry_of_eight_exceeds_the_limit_or_serves_its_own_part_alone() {
    check_limit(8, |_| 3).await;
}
