//! Bodies that pass through a forwarding entry as they come.

use crate::hosts::{Fleet, ask, fleet, view};
use bytes::Bytes;
use cornelrail_testutils::caller::Call;
use http::Method;
use std::{fs, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

const DEADLINE: Duration = Duration::from_secs(20);
const BODY_BYTES: usize = 8 << 20;
/// Streams that run at once.
const STREAMS: u64 = 20;
/// What an entry may grow by while it passes them on, in KiB.
const GROWTH_KIB: u64 = 64 << 10;

/// Largest memory that a process has used, in KiB.
pub fn peak_kib(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).expect("a running process");
    let line = status.lines().find(|line| line.starts_with("VmHWM"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.expect("a number").parse().expect("a number")
}

fn upload(number: u64) -> Bytes {
    let bytes: Vec<u8> = (0..BODY_BYTES)
        .map(|place| (place as u64 ^ (place as u64 >> 9) ^ number) as u8)
        .collect();
    bytes.into()
}

fn echo(number: u64, key: &str) -> Call {
    Call {
        method: Method::POST,
        path: "/payroll-core/echo".to_owned(),
        key: key.to_owned(),
        upload: upload(number),
        ..view(number)
    }
}

/// Place of an entry that is not the home of the key.
async fn other_than_home(fleet: &Fleet, key: &str) -> usize {
    (fleet.home_of(key).await + 1) % 3
}

#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_pass_whole_both_ways_in_bounded_memory() {
    let fleet = fleet(|_| {}).await;
    let key = "family-9";
    let via = other_than_home(&fleet, key).await;
    let address = fleet.hosts.callers()[via];
    let processes: Vec<u32> = (0..3).map(|place| fleet.hosts.process(place)).collect();
    let before: Vec<u64> = processes.iter().map(|process| peak_kib(*process)).collect();
    let mut running = JoinSet::new();
    for number in 0..STREAMS {
        running.spawn(async move {
            let call = echo(number, key);
            let start = Instant::now();
            loop {
                let reply = ask(address, &call, DEADLINE).await.expect("an answer");
                if reply.outcome == "answered" {
                    assert!(reply.body == call.upload, "{} bytes", reply.body.len());
                    return;
                }
                assert_eq!(reply.outcome, "not-run", "{}", reply.reason);
                assert!(start.elapsed() < DEADLINE, "{}", reply.reason);
                sleep(Duration::from_millis(50)).await;
            }
        });
    }
    running.join_all().await;
    for (process, before) in processes.iter().zip(before) {
        let growth = peak_kib(*process) - before;
        println!("process {process} has grown by {growth} KiB");
        assert!(growth < GROWTH_KIB, "grown by {growth} KiB");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_answer_is_never_a_shorter_success() {
    let fleet = fleet(|_| {}).await;
    for length in [400, 300_000] {
        for (place, address) in fleet.hosts.callers().into_iter().enumerate() {
            for target in &fleet.targets {
                target.truncate_next(8);
            }
            let call = Call {
                length,
                ..view(place as u64)
            };
            match ask(address, &call, DEADLINE / 10).await {
                Err(_broken) => {}
                Ok(reply) => assert_eq!(reply.outcome, "unknown", "{reply:?}"),
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_in_mid_upload_cancels_at_the_target() {
    let fleet = fleet(|_| {}).await;
    let key = "family-4";
    let via = other_than_home(&fleet, key).await;
    let address = fleet.hosts.callers()[via];
    let cancelled = || -> u64 {
        let counts = fleet.ledger.counts();
        counts.values().map(|counts| counts.cancelled).sum()
    };
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let head = format!(
        "POST /payroll-core/view?nonce=1 HTTP/1.1\r\nhost: x\r\ncornelrail-key: {key}\r\n\
         cornelrail-deadline-ms: 20000\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    stream.write_all(&[7; 100_000]).await.expect("sent");
    sleep(Duration::from_millis(300)).await;
    assert_eq!(cancelled(), 0, "it runs while the caller is there");
    drop(stream);
    let start = Instant::now();
    while cancelled() == 0 {
        assert!(start.elapsed() < DEADLINE / 2, "never cancelled");
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(fleet.ledger.runs_of(1), 0);
    let mut after = TcpStream::connect(address).await.expect("a connection");
    let head = format!(
        "GET /payroll-core/view?nonce=2 HTTP/1.1\r\nhost: x\r\ncornelrail-key: {key}\r\nconnection: close\r\n\r\n"
    );
    after.write_all(head.as_bytes()).await.expect("sent");
    let mut answer = String::new();
    after.read_to_string(&mut answer).await.expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Sends a look-up of a caller of HTTP/1.0 to a path whose answer never ends, after the targets were
/// told how they answer there.
async fn ask_endless(fleet: &Fleet, start: &str, again: &str, left_ms: u64) -> TcpStream {
    for target in &fleet.targets {
        target.set_endless(start, again);
    }
    let address = fleet.hosts.callers()[0];
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let head = format!(
        "GET /payroll-core/endless?nonce=1 HTTP/1.0\r\nhost: x\r\ncornelrail-key: family-9\r\n\
         cornelrail-deadline-ms: {left_ms}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    stream
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Nothing but a reset tells a caller of HTTP/1.0 that a body without a length is not whole.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_breaks_off_is_whole_to_an_old_caller() {
    let mut fleet = fleet(|_| {}).await;

    // The target breaks the framing, the deadline passes, or the entry ends.
    for (again, is_killed) in [
        ("4\r\nfour", false),
        ("4\r\nfour\r\n", false),
        ("4\r\nfour\r\n", true),
    ] {
        let mut stream = ask_endless(&fleet, CHUNKED, again, 1_000).await;
        let mut reply = vec![0; 8];
        stream.read_exact(&mut reply).await.expect("a head");
        if is_killed {
            fleet.hosts.kill(0);
        }
        let ended = timeout(DEADLINE, stream.read_to_end(&mut reply)).await;

        let ended = ended.expect("in time");
        assert!(reply.starts_with(b"HTTP/1.0 200"), "{} bytes", reply.len());
        assert!(
            ended.is_err(),
            "{again:?}: {} bytes look whole",
            reply.len()
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_status_without_a_class_is_an_answer() {
    let fleet = fleet(|_| {}).await;

    for status in ["600", "999"] {
        let start = format!("HTTP/1.1 {status} Odd\r\ncontent-length: 2\r\n\r\nok");
        let mut stream = ask_endless(&fleet, &start, "x", 3_000).await;
        let mut reply = String::new();
        let ended = timeout(DEADLINE, stream.read_to_string(&mut reply)).await;

        ended.expect("in time").expect("an answer");
        assert!(reply.contains("cornelrail-outcome: unknown"), "{reply}");
    }
}
