//! What a target says in an answer that comes after its caller has left, or that it wrote before on the
//! same connection.

use crate::test_seeded::{Fleet, PATIENCE, ask, call, exchange, fleet_with, order, set_up, split};
use cornelrail_testutils::scripted::{self, Ask, Record, Reply};
use http::Method;
use serde_json::{Value, json};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::{Instant, interval, sleep, timeout},
};

/// Pause that the target asks for.
const PAUSE: Duration = Duration::from_secs(3);
/// Time after which the target answers.
const ANSWER_TIME: Duration = Duration::from_millis(400);
/// Interval between two callers.
const CALLER_INTERVAL: Duration = Duration::from_millis(25);
/// Requests that a target may get in the rest of a pause.
const ALLOWED: usize = 2;

/// Time within which a target hears that its caller has left.
const GONE_TIME: Duration = Duration::from_millis(500);

/// How long callers wait for an answer.
#[derive(Debug, Clone, Copy)]
struct Patience {
    deadline: u32,
    leaves_after: Duration,
}

async fn fleet_of(script: impl Fn(&Ask) -> Reply + Send + Sync + 'static) -> (Fleet, Arc<Record>) {
    let record = Arc::<Record>::default();
    let served = record.clone();
    let fleet = fleet_with(|listener, _| scripted::serve(listener, served, script)).await;
    set_up(&fleet).await;
    (fleet, record)
}

/// Target that is overloaded from the first request for `/r/load` on.
fn overloaded(ask: &Ask) -> Reply {
    match ask.path.starts_with("/r/load") {
        true => Reply::refusal(ask).with_pause(PAUSE).after(ANSWER_TIME),
        false => Reply::answer(ask, "fine"),
    }
}

/// Sends a request of a caller that leaves after a while.
async fn ask_briefly(callers: SocketAddr, number: u32, patience: Patience) {
    let request = format!(
        "GET /r/load HTTP/1.1\r\nHost: h.example\r\nRequest-Id: load-{number}\r\n\
         Deadline-Ms: {}\r\n\r\n",
        patience.deadline
    );
    let Ok(mut stream) = TcpStream::connect(callers).await else {
        return;
    };
    let talking = async {
        stream.write_all(request.as_bytes()).await?;
        stream.read(&mut [0; 1_024]).await
    };
    // A caller that leaves closes its connection.
    let _ = timeout(patience.leaves_after, talking).await;
}

/// Most requests that reach an overloaded target in the rest of a pause.
async fn most_in_pause(patience: Patience) -> usize {
    let (fleet, record) = fleet_of(overloaded).await;
    let mut callers = JoinSet::new();
    let mut ticks = interval(CALLER_INTERVAL);
    let begun = Instant::now();
    let mut number = 0;
    while begun.elapsed() < ANSWER_TIME + PAUSE {
        ticks.tick().await;
        number += 1;
        callers.spawn(ask_briefly(fleet.callers, number, patience));
    }
    callers.join_all().await;
    assert!(record.first_pause().is_some(), "the target asked for none");
    record.most_in_pause()
}

#[tokio::test]
async fn a_pause_in_an_answer_after_the_deadline_is_not_heard() {
    let patience = Patience {
        deadline: 300,
        leaves_after: PATIENCE,
    };

    let arrived = most_in_pause(patience).await;

    assert!(arrived <= ALLOWED, "{arrived} requests in a pause");
}

#[tokio::test]
async fn a_pause_in_an_answer_whose_caller_has_left_is_not_heard() {
    let patience = Patience {
        deadline: 2_000,
        leaves_after: Duration::from_millis(200),
    };

    let arrived = most_in_pause(patience).await;

    assert!(arrived <= ALLOWED, "{arrived} requests in a pause");
}

#[tokio::test]
async fn a_target_works_on_for_a_caller_that_has_left() {
    let script = |ask: &Ask| match ask.path.starts_with("/r/load") {
        true => Reply::silence(ask),
        false => Reply::answer(ask, "fine"),
    };
    let (fleet, record) = fleet_of(script).await;
    let patience = Patience {
        deadline: 2_000,
        leaves_after: Duration::from_millis(200),
    };

    ask_briefly(fleet.callers, 1, patience).await;
    let left = Instant::now();
    sleep(GONE_TIME).await;

    let closed = record.closed("load-1").expect("the connection is closed");
    assert!(closed - left <= GONE_TIME, "after {:?}", closed - left);
}

/// Writes the answer of the first request once more, and then asks for a pause only once.
fn pausing_behind_a_copy(ask: &Ask) -> Reply {
    match ask.path.as_str() {
        "/r/first" => Reply::answer(ask, "fine").copied(),
        "/r/second" => Reply::refusal(ask).with_pause(PAUSE),
        _ => Reply::answer(ask, "fine"),
    }
}

#[tokio::test]
async fn a_pause_behind_a_copy_of_an_earlier_answer_is_not_heard() {
    let (fleet, record) = fleet_of(pausing_behind_a_copy).await;
    ask(&fleet, Method::GET, "/r/first", "first", 0).await;
    ask(&fleet, Method::GET, "/r/second", "second", 0).await;
    let begun = Instant::now();

    while begun.elapsed() < PAUSE {
        ask(&fleet, Method::GET, "/r/next", "next", 0).await;
        sleep(CALLER_INTERVAL).await;
    }

    let arrived = record.most_in_pause();
    assert!(record.first_pause().is_some(), "the target asked for none");
    assert!(arrived <= ALLOWED, "{arrived} requests in a pause");
}

/// The copy comes once the caller of the second request has left.
fn pausing_behind_a_late_copy(ask: &Ask) -> Reply {
    let fine = Reply::answer(ask, "fine");
    match ask.path.as_str() {
        "/r/first" => fine.clone().copied_as(fine.after(ANSWER_TIME)),
        "/r/load" => Reply::refusal(ask).with_pause(PAUSE),
        _ => fine,
    }
}

#[tokio::test]
async fn a_pause_behind_a_copy_is_not_heard_once_its_caller_has_left() {
    let (fleet, record) = fleet_of(pausing_behind_a_late_copy).await;
    ask(&fleet, Method::GET, "/r/first", "first", 0).await;
    let patience = Patience {
        deadline: 2_000,
        leaves_after: Duration::from_millis(200),
    };
    ask_briefly(fleet.callers, 1, patience).await;
    while record.first_pause().is_none() {
        sleep(CALLER_INTERVAL).await;
    }
    let begun = Instant::now();

    while begun.elapsed() < PAUSE {
        ask(&fleet, Method::GET, "/r/next", "next", 0).await;
        sleep(CALLER_INTERVAL).await;
    }

    let arrived = record.most_in_pause();
    assert!(arrived <= ALLOWED, "{arrived} requests in a pause");
}

/// Order by which each key of the service has one owner.
fn keyed_order() -> Value {
    let mut order = order(8, "2000ms");
    order["upsert"]["services"]["pool"]["useShards"] = json!(true);
    order
}

/// Refuses the first sending of a request, runs the next ones, and writes each refusal twice.
fn refusing_twice(ask: &Ask) -> Reply {
    match ask.path.starts_with("/w/twice") && ask.earlier == 0 {
        true => Reply::refusal(ask).copied(),
        false => Reply::answer(ask, &ask.id),
    }
}

async fn ask_keyed(fleet: &Fleet, path: &str, id: &str) -> (u16, String) {
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 2000\r\n\
         Shard-Key: 7\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    );
    let reply = exchange(fleet.callers, request.as_bytes()).await;
    split(&reply.expect("the answer reaches the caller")).expect("an answer")
}

#[tokio::test]
async fn a_refusal_that_is_written_twice_is_believed_for_the_run_that_follows() {
    let (fleet, record) = fleet_of(refusing_twice).await;
    let keyed = call(fleet.control, "config.patch", &keyed_order()).await;
    assert_eq!(keyed.map(|(status, _)| status), Some(200));
    let begun = Instant::now();
    // Only a keyed service rejects a request without a key.
    while ask(&fleet, Method::POST, "/w/up", "keyless", 0).await.0 == 200 {
        assert!(begun.elapsed() < PATIENCE, "the service is not keyed");
        sleep(Duration::from_millis(50)).await;
    }
    while ask_keyed(&fleet, "/w/up", "up").await.0 != 200 {
        assert!(begun.elapsed() < PATIENCE, "no request is served");
        sleep(Duration::from_millis(50)).await;
    }
    let mut served = 0;

    for number in 0..10 {
        let id = format!("twice-{number}");
        let (status, body) = ask_keyed(&fleet, "/w/twice", &id).await;

        let runs = record.runs(&id);
        assert!(runs <= 1, "{id} ran {runs} times");
        assert!(status != 503 || runs == 0, "{id} ran and is told not run");
        assert!(status != 200 || body == id, "{id} got {body}");
        served += usize::from(status == 200);
    }
    assert!(served > 0, "no request is sent once more");
}

#[tokio::test]
async fn a_caller_that_repeats_an_identity_is_told_not_run_by_a_copy() {
    let (fleet, record) = fleet_of(refusing_twice).await;
    let request = |id: &str| {
        format!(
            "POST /w/twice HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: 2000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        )
    };

    for number in 0..10 {
        let id = format!("repeat-{number}");
        let request = request(&id);
        exchange(fleet.callers, request.as_bytes())
            .await
            .expect("an answer");
        let reply = exchange(fleet.callers, request.as_bytes()).await;

        let status = split(&reply.expect("an answer")).map(|(status, _)| status);
        let runs = record.runs(&id);
        assert!(
            status != Some(503) || runs == 0,
            "{id} ran and is told not run"
        );
    }
}
