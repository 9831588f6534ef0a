//! Limits on requests that change while connections of callers are open.

use crate::test_seeded::{Fleet, PATIENCE, call, fleet, order, set_up};
use serde_json::{Value, json};
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

/// Time within which a change is in force at an entry on an idle machine.
const APPLIED: Duration = Duration::from_millis(500);
/// Bytes that make a head longer than 8 KiB.
const ADDED: usize = 12 << 10;

/// What a connection was used for before the change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Former {
    /// Nothing; it is opened after the change.
    New,
    /// Idempotent requests, which are read ahead.
    Safe,
    /// Requests with a body, which the HTTP library reads.
    Unsafe,
    /// Requests whose bodies come in chunks, so that only the library knows where they end.
    Chunked,
}

const KEPT: [Former; 2] = [Former::Safe, Former::Unsafe];

/// Connection of a caller.
struct Caller {
    stream: TcpStream,
    former: Former,
}

impl Caller {
    async fn connect(fleet: &Fleet, former: Former) -> Caller {
        let stream = TcpStream::connect(fleet.callers).await.expect("connected");
        Caller { stream, former }
    }

    /// Opens a connection, and uses it as its kind does.
    async fn start(fleet: &Fleet, former: Former) -> Caller {
        let mut caller = Caller::connect(fleet, former).await;
        if former != Former::New {
            assert_eq!(caller.ask(0).await, Some(200));
        }
        caller
    }

    /// Sends a request whose head is longer by so many bytes; gives the status, `None` if the
    /// connection ends without an answer.
    async fn ask(&mut self, added: usize) -> Option<u16> {
        let (head, body) = self.request(added);
        self.stream.write_all((head + body).as_bytes()).await.ok()?;
        self.answer().await
    }

    fn request(&self, added: usize) -> (String, &'static str) {
        let (line, framing, body) = match self.former {
            Former::New | Former::Safe => ("GET /r/a", "", ""),
            Former::Unsafe => ("POST /w/a", "Content-Length: 2\r\n", "hi"),
            Former::Chunked => (
                "POST /w/a",
                "Transfer-Encoding: chunked\r\n",
                "2\r\nhi\r\n0\r\n\r\n",
            ),
        };
        let cookie = "c".repeat(added);
        let head = format!(
            "{line} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id\r\nDeadline-Ms: 3000\r\n\
             Cookie: {cookie}\r\n{framing}\r\n"
        );
        (head, body)
    }

    /// Reads one answer with a length; gives its status.
    async fn answer(&mut self) -> Option<u16> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let reading = timeout(PATIENCE, self.stream.read_u8());
            head.push(reading.await.expect("in time").ok()?);
        }
        let head = String::from_utf8_lossy(&head).to_lowercase();
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let length = length.map_or(0, |length| length.trim().parse().expect("a length"));
        self.stream.read_exact(&mut vec![0; length]).await.ok()?;
        head.split(' ').nth(1)?.parse().ok()
    }

    /// Time until the entry closes the idle connection.
    async fn closed_after(&mut self) -> Duration {
        let begun = Instant::now();
        let end = timeout(PATIENCE, self.stream.read(&mut [0; 1])).await;
        assert_eq!(end.expect("in time").expect("an orderly end"), 0);
        begun.elapsed()
    }
}

/// Changes the limits; returns once the change is in force.
async fn limit(fleet: &Fleet, version: u32, changes: Value) {
    let mut limits = order(version, "2000ms")["upsert"]["limits"].take();
    for (name, value) in changes.as_object().expect("an object") {
        limits[name] = value.clone();
    }
    let body = json!({"upsert": {"limits": limits}, "remove": {}});
    let (status, _) = call(fleet.control, "config.patch", &body)
        .await
        .expect("an answer");
    assert_eq!(status, 200);
    sleep(APPLIED).await;
}

async fn limited_fleet(changes: Value) -> Fleet {
    let fleet = fleet().await;
    set_up(&fleet).await;
    limit(&fleet, 8, changes).await;
    fleet
}

/// Requests on connections from before the change are refused by the former limit.
#[tokio::test]
async fn a_raised_length_of_heads_does_not_hold_on_open_connections() {
    for former in KEPT {
        let fleet = limited_fleet(json!({"maxHeaderBytes": 8 << 10})).await;
        let mut caller = Caller::start(&fleet, former).await;

        limit(&fleet, 9, json!({"maxHeaderBytes": 32 << 10})).await;

        assert_eq!(caller.ask(ADDED).await, Some(200), "{former:?}");
        assert_eq!(caller.ask(ADDED).await, Some(200), "{former:?}");
    }
}

/// They are served by the former limit for as long as they are kept.
#[tokio::test]
async fn a_lowered_length_of_heads_does_not_hold_on_open_connections() {
    for former in KEPT {
        let fleet = limited_fleet(json!({"maxHeaderBytes": 32 << 10})).await;
        let mut caller = Caller::start(&fleet, former).await;

        limit(&fleet, 9, json!({"maxHeaderBytes": 8 << 10})).await;

        assert_eq!(caller.ask(ADDED).await, Some(431), "{former:?}");
    }
}

/// A head that comes in parts may take as long as a connection may be idle.
#[tokio::test]
async fn a_head_may_take_longer_than_the_limit() {
    for former in [Former::New, Former::Safe, Former::Unsafe] {
        let fleet = limited_fleet(json!({})).await;
        let mut caller = Caller::start(&fleet, former).await;
        limit(&fleet, 9, json!({"headerTimeout": "400ms"})).await;
        let (head, _) = caller.request(0);
        let (first, rest) = head.split_at(20);

        caller
            .stream
            .write_all(first.as_bytes())
            .await
            .expect("written");
        sleep(Duration::from_millis(1_200)).await;
        // The entry may have closed the connection already.
        let _ = caller.stream.write_all(rest.as_bytes()).await;

        assert_eq!(caller.answer().await, Some(408), "{former:?}");
    }
}

/// An idle connection is closed by the former limit.
#[tokio::test]
async fn a_changed_idle_time_does_not_hold_on_open_connections() {
    for former in KEPT {
        let fleet = limited_fleet(json!({"idleTimeout": "8000ms"})).await;
        let mut lowered = Caller::start(&fleet, former).await;

        limit(&fleet, 9, json!({"idleTimeout": "1500ms"})).await;
        let closed = lowered.closed_after().await;
        let mut raised = Caller::start(&fleet, former).await;
        limit(&fleet, 10, json!({"idleTimeout": "8000ms"})).await;
        sleep(Duration::from_millis(2_500)).await;

        assert!(closed < Duration::from_secs(3), "{former:?}: {closed:?}");
        assert_eq!(raised.ask(0).await, Some(200), "{former:?}");
    }
}

/// The change cuts off a request that is being served, or its answer.
#[tokio::test]
async fn a_request_under_way_is_answered_whatever_limits_change() {
    for former in [Former::Safe, Former::Unsafe, Former::Chunked] {
        let fleet = limited_fleet(json!({})).await;
        let mut caller = Caller::start(&fleet, former).await;
        let (head, body) = caller.request(0);
        let request = format!("{head}{body}").replace("/a ", "/slow ");

        caller
            .stream
            .write_all(request.as_bytes())
            .await
            .expect("written");
        for (version, bytes) in [(9, 8 << 10), (10, 32 << 10), (11, 16 << 10)] {
            limit(&fleet, version, json!({"maxHeaderBytes": bytes})).await;
        }

        assert_eq!(caller.answer().await, Some(200), "{former:?}");
    }
}

/// A connection whose requests the library alone can tell apart is served by the former limits.
#[tokio::test]
async fn former_limits_hold_on_a_connection_whose_bodies_came_in_chunks() {
    let fleet = limited_fleet(json!({"maxHeaderBytes": 8 << 10})).await;
    let mut caller = Caller::start(&fleet, Former::Chunked).await;

    limit(&fleet, 9, json!({"maxHeaderBytes": 32 << 10})).await;

    // It is closed while it is idle, so that its caller sends the request on another one.
    assert_eq!(caller.ask(ADDED).await, None);
    let mut next = Caller::connect(&fleet, Former::Chunked).await;
    assert_eq!(next.ask(ADDED).await, Some(200));
}
