//! A target that crashes, starts again under its name and leaves while its former incarnation may
//! still be alive to the leader. What it was acknowledged holds: nothing new reaches it.

use crate::test_seeded::{Fleet, PATIENCE, ask, call, fleet, set_up};
use http::Method;
use serde_json::json;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time after which a target that leaves gets nothing new.
const DRAIN: Duration = Duration::from_secs(2);
/// Time for which requests are sent after that.
const WATCHED: Duration = Duration::from_secs(2);
const INTERVAL: Duration = Duration::from_millis(20);

/// What the later incarnation says.
#[derive(Debug, Clone, Copy)]
enum Word {
    Ready,
    Draining,
    Leave,
}

/// Says it as the later incarnation; returns once that is acknowledged.
async fn say(fleet: &Fleet, word: Word, serial: u64) {
    let report = |state: &str| {
        json!({
            "service": "pool", "address": fleet.target.address.to_string(), "zone": "a",
            "version": "v1", "slots": 4, "state": state, "coldRemaining": "0ms", "seq": serial,
            "born": 2000, "holds": [], "released": [],
        })
    };
    let (query, body) = match word {
        Word::Ready => ("instances.heartbeat&of=t-1", report("ready")),
        Word::Draining => ("instances.heartbeat&of=t-1", report("draining")),
        Word::Leave => ("instances.leave&of=t-1", json!({"born": 2000})),
    };
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
