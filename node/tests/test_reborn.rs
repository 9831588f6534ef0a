//! A target that crashes, starts again under its name and leaves while its former incarnation may
//! still be alive to the leader. What it was acknowledged holds: nothing new reaches it.

use crate::{
    seeded::{Hosts, send},
    test_seeded::{Fleet, PATIENCE, StandIn, ask, call, exchange, fleet, order, set_up},
};
use http::Method;
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};
use tokio::time::{Instant, sleep};

/// Time after which a target that leaves gets nothing new.
const DRAIN: Duration = Duration::from_secs(2);
/// Time for which requests are sent after that.
const WATCHED: Duration = Duration::from_secs(2);
const INTERVAL: Duration = Duration::from_millis(20);
/// Time in which the fleet gets over the loss of core hosts.
const LOSS_TIME: Duration = Duration::from_secs(5);

/// What the later incarnation says.
#[derive(Debug, Clone, Copy)]
enum Word {
    Ready,
    Draining,
    Leave,
}

impl Word {
    /// The call by which the incarnation at an address says it.
    fn call(self, address: SocketAddr, serial: u64) -> (&'static str, Value) {
        let report = |state: &str| {
            json!({
                "service": "pool", "address": address.to_string(), "zone": "a", "version": "v1",
                "slots": 4, "state": state, "coldRemaining": "0ms", "seq": serial, "born": 2000,
                "holds": [], "released": [],
            })
        };
        match self {
            Word::Ready => ("instances.heartbeat&of=t-1", report("ready")),
            Word::Draining => ("instances.heartbeat&of=t-1", report("draining")),
            Word::Leave => ("instances.leave&of=t-1", json!({"born": 2000})),
        }
    }
}

/// Says it as the later incarnation; returns once that is acknowledged.
async fn say(fleet: &Fleet, word: Word, serial: u64) {
    let (query, body) = word.call(fleet.target.address, serial);
    let (status, _) = call(fleet.control, query, &body).await.expect("an answer");
    assert_eq!(status, 200, "{word:?}");
}

/// Requests that the target runs later than the drain time after the first word by which it leaves.
async fn late_runs(words: &[Word]) -> usize {
    let fleet = fleet().await;
    set_up(&fleet).await;
    fleet.target.fall_silent();
    let mut left = None;
    for (place, word) in words.iter().enumerate() {
        say(&fleet, *word, place as u64 + 1).await;
        if !matches!(word, Word::Ready) {
            left.get_or_insert_with(Instant::now);
        }
    }
    let left = left.expect("a word by which it leaves");
    assert!(left.elapsed() < PATIENCE);

    sleep(DRAIN.saturating_sub(left.elapsed())).await;
    let mut runs = 0;
    let mut number = 0;
    while left.elapsed() < DRAIN + WATCHED {
        let id = format!("late-{number}");
        ask(&fleet, Method::GET, "/r/late", &id, 0).await;
        runs += fleet.target.runs(&id);
        number += 1;
        sleep(INTERVAL).await;
    }
    runs
}

/// The leave message of an incarnation that the leader does not know yet is acknowledged and dropped.
#[tokio::test]
async fn a_target_that_leaves_before_its_first_report_gets_requests() {
    assert_eq!(late_runs(&[Word::Leave]).await, 0);
}

/// The same behind a report that waits for the former incarnation to fall silent.
#[tokio::test]
async fn a_target_that_leaves_while_it_waits_to_join_gets_requests() {
    assert_eq!(late_runs(&[Word::Ready, Word::Leave]).await, 0);
}

/// A report of leaving is acknowledged and noted only once the former incarnation is silent.
#[tokio::test]
async fn a_target_that_drains_while_it_waits_to_join_gets_requests() {
    assert_eq!(late_runs(&[Word::Draining]).await, 0);
}

/// A report that was under way arrives behind the leave message and admits the target.
#[tokio::test]
async fn a_late_report_of_a_target_that_has_left_admits_it() {
    let reports = [Word::Ready; 8];

    let words = [&[Word::Leave], reports.as_slice()].concat();

    assert_eq!(late_runs(&words).await, 0);
}

/// Requests that run once the leader that acknowledged a departure is lost, while the incarnation goes on
/// reporting. The later they come, the less they have to do with the loss.
async fn runs_after_loss(departure: Word, is_lost: fn(usize, usize) -> bool) -> usize {
    let mut hosts = Hosts::start(1);
    let (status, _) = send(hosts.controls[0], "config.patch", &order(7, "2000ms")).await;
    assert_eq!(status, 200);
    let leader = hosts.leader().await;
    let places = 0..hosts.controls.len();
    let follower = hosts.controls[(leader + 1) % places.len()];
    let target = StandIn::start(&hosts.callers[0].ip().to_string(), follower).await;
    let request = |id: &str| {
        format!(
            "GET /r/late HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1000\r\n\
             Connection: close\r\n\r\n"
        )
    };
    let begun = Instant::now();
    while target.runs("up") == 0 {
        // A refusal is asked again.
        let _ = exchange(hosts.callers[0], request("up").as_bytes()).await;
        assert!(begun.elapsed() < PATIENCE, "no request is served");
    }
    target.fall_silent();
    for (serial, word) in [(1, Word::Ready), (2, departure)] {
        let (query, body) = word.call(target.address, serial);
        assert_eq!(send(follower, query, &body).await.0, 200);
    }
    for place in places.filter(|place| is_lost(*place, leader)) {
        hosts.kill(place);
        hosts.spawn(place);
    }
    let lost = Instant::now();

    let (mut runs, mut number) = (0, 0);
    while lost.elapsed() < LOSS_TIME + WATCHED {
        number += 1;
        let (query, body) = Word::Ready.call(target.address, number + 2);
        // A host without a leader refuses; the next report comes soon.
        let _ = call(follower, query, &body).await;
        let id = format!("late-{number}");
        let asked = lost.elapsed();
        // A refusal is as good as an answer here.
        let _ = exchange(hosts.callers[0], request(&id).as_bytes()).await;
        runs += usize::from(asked >= LOSS_TIME) * target.runs(&id);
        sleep(INTERVAL).await;
    }
    runs
}

/// The next leader admits an incarnation whose departure was noted by the former one alone.
#[tokio::test(flavor = "multi_thread")]
async fn a_departure_that_was_acknowledged_is_lost_with_its_leader() {
    let runs = runs_after_loss(Word::Leave, |place, leader| place == leader).await;

    assert_eq!(runs, 0);
}

/// The same for a report of leaving, when all core hosts are lost at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_that_was_acknowledged_is_lost_with_all_core_hosts() {
    let runs = runs_after_loss(Word::Draining, |_, _| true).await;

    assert_eq!(runs, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_departure_that_was_acknowledged_is_lost_with_all_core_hosts() {
    let runs = runs_after_loss(Word::Leave, |_, _| true).await;

    assert_eq!(runs, 0);
}
