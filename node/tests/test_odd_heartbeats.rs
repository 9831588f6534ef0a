//! Heartbeats of another writer under a target's name, while the target itself goes on as before.

use crate::{
    test_seeded::{Fleet, PATIENCE, ask, call, exchange, fleet, granted_rows, set_up, split},
    test_targets_end::add_keyed,
};
use http::Method;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time for which service is watched: longer than a lease.
const WATCHED: Duration = Duration::from_secs(7);
/// Longest time for which the target's requests may be refused.
const LONGEST_GAP: Duration = Duration::from_secs(1);

/// A heartbeat that differs in one field from those of the target.
fn beat_with(fleet: &Fleet, field: &str, value: Value) -> Value {
    let mut beat = json!({
        "service": "pool", "address": fleet.target.address, "zone": "a", "version": "v1",
        "slots": 4, "state": "ready", "coldRemaining": "0ms", "seq": 10_000, "born": 1000,
    });
    beat[field] = value;
    beat
}

/// Longest time without a served request after the call.
async fn longest_gap(fleet: &Fleet) -> Duration {
    let begun = Instant::now();
    let (mut served, mut longest) = (begun, Duration::ZERO);
    while begun.elapsed() < WATCHED {
        let (status, ..) = ask(fleet, Method::GET, "/r/watch", "watch", 0).await;
        longest = longest.max(served.elapsed());
        if status == 200 {
            served = Instant::now();
        }
        sleep(Duration::from_millis(50)).await;
    }
    longest
}

async fn gap_after(field: &str, value: Value) -> Duration {
    let fleet = fleet().await;
    set_up(&fleet).await;
    let odd = beat_with(&fleet, field, value);
    call(fleet.control, "instances.heartbeat&of=t-1", &odd).await;
    longest_gap(&fleet).await
}

#[tokio::test]
async fn a_heartbeat_born_in_the_far_future_shuts_its_target_out() {
    let gap = gap_after("born", json!(u64::MAX)).await;

    assert!(gap <= LONGEST_GAP, "not served for {gap:?}");
}

#[tokio::test]
async fn a_heartbeat_born_an_hour_later_shuts_its_target_out() {
    let gap = gap_after("born", json!(3_601_000)).await;

    assert!(gap <= LONGEST_GAP, "not served for {gap:?}");
}

#[tokio::test]
async fn a_heartbeat_with_the_last_serial_number_shuts_its_target_out() {
    let gap = gap_after("seq", json!(u64::MAX)).await;

    assert!(gap <= LONGEST_GAP, "not served for {gap:?}");
}

#[tokio::test]
async fn a_heartbeat_with_port_zero_shuts_its_target_out() {
    let gap = gap_after("address", json!("127.0.0.1:0")).await;

    assert!(gap <= LONGEST_GAP, "not served for {gap:?}");
}

#[tokio::test]
async fn heartbeats_of_targets_that_cannot_be_reached_are_accepted() {
    let fleet = fleet().await;
    set_up(&fleet).await;
    let odd = [
        ("address", json!("127.0.0.1:0")),
        ("address", json!("0.0.0.0:80")),
        ("address", json!("224.0.0.1:80")),
        ("address", json!("127.0.0.1:70000")),
        ("slots", json!(u64::MAX)),
        ("slots", json!(0)),
        ("born", json!(u64::MAX)),
        ("coldRemaining", json!("999999999999999s")),
    ];

    for (field, value) in odd {
        let odd = beat_with(&fleet, field, value.clone());
        let answer = call(fleet.control, "instances.heartbeat&of=t-2", &odd).await;

        let (status, body) = answer.expect("an answer");
        assert_eq!(status, 400, "{field} {value}");
        assert!(body["error"].as_str().unwrap().contains(field), "{body}");
    }
}

#[tokio::test]
async fn bodies_that_nest_deeply_or_hold_large_numbers_end_core_hosts() {
    let fleet = fleet().await;
    set_up(&fleet).await;
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let deep_object = format!("{{\"a\":{}", "{\"a\":".repeat(100_000));
    let bodies = [
        deep.clone(),
        format!("{{\"holds\":{deep}}}"),
        deep_object,
        "{\"seq\":1e400}".to_owned(),
        format!("{{\"seq\":{}}}", "9".repeat(10_000)),
    ];
    let calls = [
        "instances.heartbeat&of=t-1",
        "instances.leave&of=t-1",
        "config.patch",
    ];

    for query in calls {
        for body in &bodies {
            let request = format!(
                "POST /-/rpc?call={query} HTTP/1.1\r\nHost: c\r\nContent-Length: {}\r\n\
                 Connection: close\r\n\r\n{body}",
                body.len()
            );
            let reply = exchange(fleet.control, request.as_bytes()).await;
            let status = split(&reply.expect("an answer")).map(|(status, _)| status);
            assert_eq!(status, Some(400), "{query}: {:.40}", body);
        }
    }
    let (status, ..) = ask(&fleet, Method::GET, "/r/after", "after", 0).await;

    assert_eq!(status, 200);
}

/// A target of a keyed service as its heartbeats show it; it serves nothing.
struct Holder {
    name: &'static str,
    port: u16,
    serial: u64,
    held: Vec<Value>,
}

impl Holder {
    fn new(name: &'static str, port: u16) -> Holder {
        Holder {
            name,
            port,
            serial: 0,
            held: Vec::new(),
        }
    }

    /// Next heartbeat; the zone of the target is its name.
    fn next_beat(&mut self, released: &[Value]) -> Value {
        self.serial += 1;
        json!({
            "service": "keyed", "address": format!("127.0.0.1:{}", self.port), "zone": self.name,
            "version": "v1", "slots": 4, "state": "ready", "coldRemaining": "0ms",
            "seq": self.serial, "born": 1000, "holds": self.held, "released": released,
        })
    }

    async fn send(&self, fleet: &Fleet, beat: &Value) -> Option<(u16, Value)> {
        let query = format!("instances.heartbeat&of={}", self.name);
        call(fleet.control, &query, beat).await
    }

    /// Sends a heartbeat and takes over what the answer grants.
    async fn beat(&mut self, fleet: &Fleet) {
        let beat = self.next_beat(&[]);
        let answer = self.send(fleet, &beat).await;
        if let Some(rows) = answer.and_then(|(_, body)| granted_rows(&body)) {
            self.held = rows;
        }
    }

    fn keys(&self) -> u64 {
        let bound = |row: &Value, at: usize| row[at].as_u64().expect("a key");
        let sizes = self
            .held
            .iter()
            .map(|row| bound(row, 1) + 1 - bound(row, 0));
        sizes.sum()
    }
}

const ALL_KEYS: u64 = 1 << 16;

#[tokio::test]
async fn heartbeats_that_are_not_whole_make_two_targets_hold_the_same_keys() {
    let fleet = fleet().await;
    set_up(&fleet).await;
    add_keyed(&fleet).await;
    let (mut holder, mut other) = (Holder::new("x", 701), Holder::new("y", 702));
    let start = Instant::now();
    while holder.keys() + other.keys() < ALL_KEYS || other.keys() == 0 || holder.keys() == 0 {
        holder.beat(&fleet).await;
        other.beat(&fleet).await;
        assert!(start.elapsed() < PATIENCE, "the keys are not dealt");
        sleep(Duration::from_millis(100)).await;
    }
    let kept = other.keys();
    call(fleet.control, "evacuate.start&of=x", &Value::Null).await;
    // The target does not hear that it shall release its keys.
    let last = loop {
        let whole = holder.next_beat(&[]);
        let told = holder.send(&fleet, &whole).await;
        if told.is_some_and(|(_, body)| body["holds"] == json!([])) {
            break holder.serial;
        }
        assert!(start.elapsed() < PATIENCE, "the keys do not move");
        sleep(Duration::from_millis(50)).await;
    };

    for field in [
        "holds",
        "released",
        "seq",
        "service",
        "address",
        "zone",
        "version",
        "slots",
        "state",
        "coldRemaining",
    ] {
        for value in [None, Some(Value::Null), Some(json!({}))] {
            let mut odd = holder.next_beat(&[]);
            odd["holds"] = json!([]);
            match &value {
                None => drop(odd.as_object_mut().expect("an object").remove(field)),
                Some(value) => odd[field] = value.clone(),
            }
            let (status, body) = holder.send(&fleet, &odd).await.expect("an answer");
            assert_eq!(status, 400, "{field} {value:?}");
            assert!(
                body["error"].as_str().expect("text").contains(field),
                "{body}"
            );
        }
    }
    let mut without = holder.next_beat(&[]);
    let fields = without.as_object_mut().expect("an object");
    fields.remove("holds");
    fields.remove("released");
    let neither = holder
        .send(&fleet, &without)
        .await
        .map(|(status, _)| status);
    other.beat(&fleet).await;
    let while_held = other.keys();
    let rows = std::mem::take(&mut holder.held);
    let released: Vec<Value> = rows
        .iter()
        .map(|row| json!([row[0], row[1], "5c0e"]))
        .collect();
    // The numbers of the other writer were not taken for the target's own.
    holder.serial = last;
    let release = holder.next_beat(&released);
    let own = holder
        .send(&fleet, &release)
        .await
        .map(|(status, _)| status);
    while other.keys() < ALL_KEYS {
        other.beat(&fleet).await;
        assert!(start.elapsed() < PATIENCE, "released keys are not granted");
        sleep(Duration::from_millis(50)).await;
    }

    assert_eq!((neither, while_held), (Some(400), kept));
    assert_eq!(own, Some(200));
}
