//! Broken and hostile callers at the callers' address, in raw TCP, while others are served.

use crate::hosts::{Fleet, ask, fleet, view};
use bytes::Bytes;
use cornelrail_testutils::caller::Call;
use http::Method;
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

const DEADLINE: Duration = Duration::from_secs(5);
/// Time within which an entry has to end a connection that brings nothing good.
const BOUND: Duration = Duration::from_secs(15);
/// Idle connections held open at once.
const IDLE: usize = 1_000;

const HEAD: &str =
    "POST /payroll-core/view?nonce=1 HTTP/1.1\r\nhost: x\r\ncornelrail-key: family-1\r\n";

/// Sends bytes and reads all that comes until the entry closes; the status code, if there is one.
async fn exchange(address: SocketAddr, bytes: &[u8]) -> Option<u16> {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    // The entry may close before it has read everything.
    let _ = stream.write_all(bytes).await;
    status(&mut stream).await
}

async fn status(stream: &mut TcpStream) -> Option<u16> {
    let mut text = Vec::new();
    let read = timeout(BOUND, async {
        let mut part = [0; 4096];
        while let Ok(count) = stream.read(&mut part).await
            && count > 0
        {
            text.extend_from_slice(&part[..count]);
            if text.windows(4).any(|window| window == b"\r\n\r\n") {
                return;
            }
        }
    });
    read.await.expect("an answer or the end in bounded time");
    let text = String::from_utf8_lossy(&text);
    let code = text.strip_prefix("HTTP/1.1 ")?;
    code.get(..3)?.parse().ok()
}

/// Others are served.
async fn assert_served(fleet: &Fleet) {
    for (place, address) in fleet.hosts.callers().into_iter().enumerate() {
        let call = view(100 + place as u64);
        let start = Instant::now();
        loop {
            let reply = ask(address, &call, DEADLINE).await.expect("an answer");
            if reply.outcome == "answered" {
                break;
            }
            assert!(start.elapsed() < DEADLINE, "{reply:?}");
            sleep(Duration::from_millis(50)).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_messages_end_with_a_code_or_a_closed_connection() {
    let fleet = fleet(|_| {}).await;
    let address = fleet.hosts.callers()[0];
    let flood = format!("x-flood: {}\r\n", "f".repeat(100)).repeat(1_000);
    let many = (0..200)
        .map(|n| format!("x-{n}: 1\r\n"))
        .collect::<String>();
    let long = format!(
        "GET /payroll-core/{} HTTP/1.1\r\nhost: x\r\n\r\n",
        "p".repeat(64 << 10)
    );
    let cases: Vec<(&str, String, &[u16])> = vec![
        (
            "garbage",
            "\u{1}\u{2}\u{3}nothing of HTTP\r\n\r\n".to_owned(),
            &[400],
        ),
        (
            "tls",
            "\u{16}\u{3}\u{1}\u{0}\u{5}hello\r\n\r\n".to_owned(),
            &[400],
        ),
        (
            "two lengths",
            format!("{HEAD}content-length: 3\r\ncontent-length: 5\r\n\r\nabcde"),
            &[400],
        ),
        (
            "bad length",
            format!("{HEAD}content-length: -4\r\n\r\nabcd"),
            &[400],
        ),
        ("header flood", format!("{HEAD}{flood}\r\n"), &[431]),
        ("many headers", format!("{HEAD}{many}\r\n"), &[431]),
        ("long target", long, &[414, 431]),
        (
            "no key",
            "GET /payroll-core/view HTTP/1.1\r\nhost: x\r\n\r\n".to_owned(),
            &[400],
        ),
        (
            "no service",
            "GET / HTTP/1.1\r\nhost: x\r\n\r\n".to_owned(),
            &[400],
        ),
        (
            "other service",
            "GET /nothing/x HTTP/1.1\r\nhost: x\r\ncornelrail-key: a\r\n\r\n".to_owned(),
            &[404],
        ),
        (
            "bad deadline",
            format!("{HEAD}cornelrail-deadline-ms: soon\r\n\r\n"),
            &[400],
        ),
        (
            "bad chunk",
            format!("{HEAD}transfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n"),
            &[400, 503, 504],
        ),
    ];
    for (name, text, codes) in &cases {
        let code = exchange(address, text.as_bytes()).await;
        println!("{name}: {code:?}");
        assert!(
            code.is_none_or(|code| codes.contains(&code)),
            "{name}: {code:?}"
        );
    }
    assert_served(&fleet).await;
    assert_eq!(fleet.ledger.runs_of(1), 0, "none of them ran");
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_ways_to_frame_a_body_chunks_count_and_nothing_behind_them_runs() {
    let fleet = fleet(|_| {}).await;
    let address = fleet.hosts.callers()[0];
    let behind = "GET /payroll-core/view?nonce=2 HTTP/1.1\r\nhost: x\r\ncornelrail-key: b\r\n\r\n";
    let length = format!("content-length: {}\r\n", behind.len());
    let chunks = "transfer-encoding: chunked\r\n".to_owned();
    for fields in [length.clone() + &chunks, chunks + &length] {
        let text = format!("{HEAD}{fields}\r\n0\r\n\r\n{behind}");
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        stream.write_all(text.as_bytes()).await.expect("sent");
        let mut answers = Vec::new();
        let read = timeout(BOUND, stream.read_to_end(&mut answers)).await;
        assert!(read.is_ok(), "the connection closes behind the answer");
        let answers = String::from_utf8_lossy(&answers);
        assert_eq!(answers.matches("HTTP/1.1").count(), 1, "{answers}");
    }
    assert_eq!(fleet.ledger.runs_of(2), 0);
    assert_served(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_small_body_that_comes_slowly_ends_at_the_deadline() {
    let fleet = fleet(|_| {}).await;
    let address = fleet.hosts.callers()[0];
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let head = format!("{HEAD}cornelrail-deadline-ms: 500\r\ncontent-length: 100\r\n\r\nabc");
    stream.write_all(head.as_bytes()).await.expect("sent");
    let code = status(&mut stream).await;
    assert_eq!(code, Some(503), "refused at the deadline");
    assert_eq!(fleet.ledger.runs_of(1), 0);
    assert_served(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endless_body_is_cut_off_at_the_limit() {
    let fleet = fleet(|_| {}).await;
    let address = fleet.hosts.callers()[0];
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let head = format!("{HEAD}transfer-encoding: chunked\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("sent");
    let chunk = [b"10000\r\n".as_slice(), &[b'x'; 0x10000], b"\r\n"].concat();
    let sending = async {
        let mut sent = 0_u64;
        while stream.write_all(&chunk).await.is_ok() {
            sent += 0x10000;
        }
        sent
    };
    let sent = timeout(BOUND, sending).await;
    assert!(sent.is_ok(), "the entry reads no further");
    assert_eq!(fleet.ledger.runs_of(1), 0);
    assert_served(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_thousand_idle_connections_and_slow_heads_hold_nobody_back() {
    let fleet = fleet(|_| {}).await;
    let address = fleet.hosts.callers()[0];
    let mut idle = Vec::new();
    for _ in 0..IDLE {
        idle.push(TcpStream::connect(address).await.expect("a connection"));
    }
    let mut slow = TcpStream::connect(address).await.expect("a connection");
    slow.write_all(b"GET /payroll-core/vi").await.expect("sent");
    assert_served(&fleet).await;
    let start = Instant::now();
    let code = status(&mut slow).await;
    assert!(code.is_none_or(|code| code == 408), "{code:?}");
    assert!(start.elapsed() < BOUND);
    assert_served(&fleet).await;
}

/// A body that is too long to be held whole.
fn upload(number: u64) -> Call {
    Call {
        method: Method::POST,
        key: "family-1".to_owned(),
        upload: Bytes::from(vec![b'u'; 100_000]),
        ..view(number)
    }
}

/// Sends a request until it is answered.
async fn answered(fleet: &Fleet, call: &Call) {
    let address = fleet.hosts.callers()[0];
    let start = Instant::now();
    loop {
        let reply = ask(address, call, DEADLINE).await.expect("an answer");
        if reply.outcome == "answered" {
            return;
        }
        assert!(start.elapsed() < DEADLINE * 2, "{reply:?}");
        assert_ne!(reply.status, 422, "{reply:?}");
        sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_their_callers_break_off_count_as_nobodys_crash() {
    let fleet = fleet(|_| {}).await;
    let address = fleet.hosts.callers()[0];
    let head = HEAD.replace("nonce=1", "nonce=7&length=200");
    let text = format!("{head}transfer-encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n");
    for number in 0..2 {
        let code = exchange(address, text.as_bytes()).await;
        assert!(code.is_none_or(|code| code == 504), "{code:?}");
        fleet
            .owner_of("family-1")
            .await
            .restart()
            .await
            .expect("restarted");
        answered(&fleet, &upload(number)).await;
    }
    answered(&fleet, &upload(7)).await;
}
