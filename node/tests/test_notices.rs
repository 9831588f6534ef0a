//! What a target says of itself in its answers: that it wants nothing for a while, or that it leaves.

use crate::test_seeded::{Fleet, ask, fleet_with, set_up};
use cornelrail_testutils::scripted::{self, Ask, Record, Reply};
use http::Method;
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// Pause that the target asks for.
const PAUSE: Duration = Duration::from_millis(1_500);
/// Time after its answer in which the target may still get requests.
const SLACK: Duration = Duration::from_millis(500);
/// Requests that the target may get in the rest of the pause.
const ALLOWED: usize = 2;
/// Drain time of the fleet's settings.
const DRAIN: Duration = Duration::from_secs(2);
/// Time within which a caller hears that its request cannot be served.
const AT_ONCE: Duration = Duration::from_millis(200);

/// How the target answers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
enum Mode {
    #[default]
    Ready,
    Pausing,
    Leaving,
}

/// Mode of the target, which the test sets.
type Switch = Arc<Mutex<Mode>>;

fn set_mode(switch: &Switch, mode: Mode) {
    *switch.lock().expect("whole") = mode;
}

fn answer(ask: &Ask, switch: &Switch) -> Reply {
    match *switch.lock().expect("whole") {
        Mode::Ready => Reply::answer(ask, ""),
        Mode::Pausing => Reply::refusal(ask).with_pause(PAUSE),
        Mode::Leaving => Reply::answer(ask, "").with_field("server-leaving", "1"),
    }
}

async fn fleet() -> (Fleet, Arc<Record>, Switch) {
    let (record, switch) = (Arc::<Record>::default(), Switch::default());
    let (served, asked) = (record.clone(), switch.clone());
    let serve = |listener, _| scripted::serve(listener, served, move |ask| answer(ask, &asked));
    let fleet = fleet_with(serve).await;
    set_up(&fleet).await;
    (fleet, record, switch)
}

#[tokio::test]
async fn a_target_that_asks_for_a_pause_gets_nothing_meanwhile() {
    let (fleet, record, switch) = fleet().await;
    set_mode(&switch, Mode::Pausing);
    ask(&fleet, Method::GET, "/r/first", "first", 0).await;
    let answered = Instant::now();

    let mut slowest = Duration::ZERO;
    while answered.elapsed() < PAUSE - Duration::from_millis(100) {
        let asked = Instant::now();
        let (status, ..) = ask(&fleet, Method::GET, "/r/next", "next", 0).await;
        slowest = slowest.max(asked.elapsed());
        assert_eq!(status, 503);
        sleep(Duration::from_millis(20)).await;
    }
    let arrived = record.arrivals(answered + SLACK, answered + PAUSE);
    set_mode(&switch, Mode::Ready);
    sleep(PAUSE).await;
    let (after, ..) = ask(&fleet, Method::GET, "/r/after", "after", 0).await;

    assert!(arrived <= ALLOWED, "{arrived} requests arrived");
    assert!(slowest <= AT_ONCE, "a caller waited for {slowest:?}");
    assert_eq!(after, 200);
}

#[tokio::test]
async fn a_target_that_says_that_it_leaves_gets_nothing_after_its_drain() {
    let (fleet, record, switch) = fleet().await;
    set_mode(&switch, Mode::Leaving);
    let (status, ..) = ask(&fleet, Method::GET, "/r/first", "first", 0).await;
    let answered = Instant::now();

    while answered.elapsed() < DRAIN * 3 / 2 {
        ask(&fleet, Method::GET, "/r/next", "next", 0).await;
        sleep(Duration::from_millis(20)).await;
    }

    assert_eq!(status, 200);
    assert_eq!(record.arrivals(answered + DRAIN, Instant::now()), 0);
}
