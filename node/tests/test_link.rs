//! Entries and streams on a narrow link. The sockets are loopback, so what takes time is the budget.

use crate::test_seeded::{ask, fleet_on_link, set_up};
use cornelrail_lib::connection::link_budget::{Direction, Upload};
use cornelrail_node::{
    connection::{link::Link, paced_stream::PacedStream},
    process::clock::Clock,
};
use http::Method;
use std::{io::ErrorKind, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{Instant, sleep, timeout},
};

const BODY: usize = 60_000;

fn link(mbps: f64) -> Option<Arc<Link>> {
    Link::new(Some(mbps), Clock::start())
}

/// A caller's stream at the entry, and the caller's end of it.
async fn caller(link: Option<Arc<Link>>) -> (PacedStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("bound");
    let (near, far) = tokio::join!(listener.accept(), TcpStream::connect(address));
    let near = PacedStream::caller(near.expect("accepted").0, link);
    (near, far.expect("connected"))
}

/// Guards against uploads that are not paced, short requests that are, and a budget without the
/// setting.
#[tokio::test]
async fn an_upload_is_paced_beside_short_requests_where_the_link_is_set() {
    for (link, least, most) in [
        (Some(2.0), 400, 1_500),
        (None, 0, 400),
        (Some(101.0), 0, 400),
    ] {
        let fleet = fleet_on_link(link).await;
        set_up(&fleet).await;
        let begun = Instant::now();
        let upload = async {
            let reply = ask(&fleet, Method::POST, "/u/x", "upload", BODY).await;
            (reply.0, begun.elapsed())
        };
        let short = async {
            let mut longest = Duration::ZERO;
            for number in 0..8 {
                let start = Instant::now();
                let id = format!("short-{number}");
                assert_eq!(ask(&fleet, Method::GET, "/r/x", &id, 0).await.0, 200);
                longest = longest.max(start.elapsed());
                sleep(Duration::from_millis(20)).await;
            }
            longest
        };

        let ((status, took), longest) = tokio::join!(upload, short);

        assert_eq!(status, 200);
        let bounds = Duration::from_millis(least)..Duration::from_millis(most);
        assert!(bounds.contains(&took), "{link:?}: {took:?}");
        assert!(
            longest < Duration::from_millis(200),
            "{link:?}: {longest:?}"
        );
    }
}

/// Guards against uploads that reach a target too late, and against a refusal that its caller cannot
/// read.
#[tokio::test]
async fn an_upload_that_cannot_pass_in_time_is_refused_before_it_is_read() {
    let fleet = fleet_on_link(Some(0.5)).await;
    set_up(&fleet).await;

    for (length, closes) in [(BODY, false), (360_000, true)] {
        let head = format!(
            "POST /u/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: long\r\nDeadline-Ms: 3000\r\n\
             Content-Length: {length}\r\n\r\n"
        );
        let mut stream = TcpStream::connect(fleet.callers).await.expect("connected");
        stream.write_all(head.as_bytes()).await.expect("sent");
        stream.write_all(&[b'x'; BODY]).await.expect("sent");
        let begun = Instant::now();
        let mut reply = vec![0; 4_096];
        let read = stream.read(&mut reply).await.expect("an answer");
        let reply = String::from_utf8_lossy(&reply[..read]).to_lowercase();

        assert!(
            begun.elapsed() < Duration::from_millis(500),
            "{:?}",
            begun.elapsed()
        );
        assert!(
            reply.starts_with("http/1.1 503") && reply.ends_with("link-full\n"),
            "{reply}"
        );
        assert!(reply.contains("retry-after: "), "{reply}");
        assert_eq!(reply.contains("connection: close"), closes, "{reply}");
    }
    let (status, reply, body) = ask(&fleet, Method::POST, "/u/x", "whole", BODY).await;
    assert_eq!((status, body.as_str()), (503, "link-full\n"), "{reply}");
    assert_eq!(fleet.target.runs("long") + fleet.target.runs("whole"), 0);
    assert_eq!(
        ask(&fleet, Method::POST, "/u/x", "short", 8_000).await.0,
        200
    );
}

/// Guards against admitted bytes that stay on the books, where they would refuse later uploads.
#[tokio::test]
async fn admitted_bytes_are_given_back_as_they_pass_and_at_the_end() {
    let link = link(20.0).expect("a budget");
    let upload = Upload {
        bytes: BODY as u64,
        is_held: true,
    };
    let (mut near, mut far) = caller(Some(link.clone())).await;
    let admission = link.admit(upload, Duration::from_secs(3)).expect("room");
    near.handle().carry(&admission);

    far.write_all(&[b'x'; BODY]).await.expect("sent");
    let mut body = vec![0; BODY / 2];
    near.read_exact(&mut body).await.expect("read");
    let half = link.admitted(Direction::In);
    near.read_exact(&mut body).await.expect("read");

    assert!(half.abs_diff(BODY as u64 / 2) <= 4_096, "{half}");
    assert_eq!(link.admitted(Direction::In), 0);
    assert_eq!(link.admitted(Direction::Out), BODY as u64);
    drop(admission);
    assert_eq!(link.admitted(Direction::Out), 0);
}

/// Guards against responses that stay in memory for a caller that takes nothing of them, and against
/// an end that makes a part of one look whole.
#[tokio::test]
async fn a_caller_that_takes_nothing_is_reset_and_others_go_on() {
    let link = link(100.0);
    let (mut near, mut far) = caller(link.clone()).await;
    let (mut other, mut reader) = caller(link).await;
    let begun = Instant::now();

    let stalled = tokio::spawn(async move {
        let error = near.write_all(&vec![b'x'; 32 << 20]).await.err();
        error.map(|error| (error.kind(), begun.elapsed()))
    });
    let writing = tokio::spawn(async move { other.write_all(&[b'y'; 200_000]).await.is_ok() });
    let mut body = vec![0; 200_000];
    let read = timeout(Duration::from_secs(3), reader.read_exact(&mut body)).await;
    let (kind, took) = stalled.await.expect("it ends").expect("an error");
    let end = far.read_to_end(&mut Vec::new()).await;

    assert!(matches!(read, Ok(Ok(_))) && writing.await.expect("it ends"));
    assert_eq!(kind, ErrorKind::TimedOut);
    assert!((5..9).contains(&took.as_secs()), "{took:?}");
    assert_eq!(end.expect_err("a reset").kind(), ErrorKind::ConnectionReset);
}

/// Guards against an aborted connection whose end looks orderly, with and without a budget.
#[tokio::test]
async fn an_aborted_stream_ends_by_a_reset() {
    for (mbps, aborts) in [(3.7, true), (3.7, false), (1_000.0, true)] {
        let (mut near, mut far) = caller(link(mbps)).await;
        near.write_all(b"part").await.expect("sent");
        if aborts {
            near.handle().abort();
        }

        near.shutdown().await.expect("shut down");
        drop(near);
        let end = far.read_to_end(&mut Vec::new()).await;

        assert_eq!(end.is_err(), aborts, "{end:?}");
    }
}

/// Guards against a caller that leaves behind its upload and is noticed only in its turn: its request
/// would run on meanwhile.
#[tokio::test]
async fn the_end_of_a_connection_waits_for_no_turn() {
    let link = link(0.5);
    let (mut near, mut far) = caller(link.clone()).await;
    let mut body = vec![b'x'; 12 << 10];
    far.write_all(&body).await.expect("sent");
    near.read_exact(&mut body).await.expect("read");
    let mut others = Vec::new();
    for _ in 0..20 {
        let (mut other, mut sender) = caller(link.clone()).await;
        sender.write_all(&[b'y'; BODY]).await.expect("sent");
        let reading = async move { other.read_exact(&mut [0; BODY]).await };
        others.push((tokio::spawn(reading), sender));
    }
    sleep(Duration::from_millis(200)).await;

    drop(far);
    let read = timeout(Duration::from_millis(400), near.read(&mut body)).await;

    assert!(matches!(read, Ok(Ok(0))), "{read:?}");
}
