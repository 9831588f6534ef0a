//! Requests that a caller sends on one connection without waiting for answers.

use crate::test_seeded::{Fleet, PATIENCE, call, fleet_with, order, set_up};
use cornelrail_node::{connection::caller_stream::ReadAhead, process::clock::Clock};
use cornelrail_testutils::scripted::{self, Ask, Ending, Record, Reply};
use rand_chacha::rand_core::RngCore;
use std::{future::poll_fn, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncBufReadExt, AsyncRead, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::{Instant, sleep, timeout},
};

/// Length of a body that is passed on as it comes.
const LONG: usize = 200_000;
/// Requests of one connection that run at once.
const REQUESTS_MAX: usize = 16;

/// Answer as the last part of the path says: after so many ms, in parts, or not at all.
fn script(ask: &Ask) -> Reply {
    let own = Reply::answer(ask, &ask.id).with_field("server-load", "0,0,64,20");
    match ask.path.rsplit('/').next().unwrap_or_default() {
        "silent" => Reply::silence(ask),
        "cut" => own.cut_at(0).ending(Ending::Close),
        "long" => Reply::answer(ask, &"x".repeat(LONG)),
        "long-cut" => Reply::answer(ask, &"x".repeat(LONG))
            .cut_at(LONG / 2)
            .ending(Ending::Close),
        work => own.after(Duration::from_millis(work.parse().unwrap_or(0))),
    }
}

async fn slow_fleet() -> (Fleet, Arc<Record>) {
    let record = Arc::new(Record::default());
    let served = record.clone();
    let fleet = fleet_with(|listener, _| scripted::serve(listener, served, script)).await;
    set_up(&fleet).await;
    let order = call(fleet.control, "config.patch", &order(8, "4000ms")).await;
    assert_eq!(order.map(|(status, _)| status), Some(200));
    sleep(Duration::from_millis(200)).await;
    (fleet, record)
}

fn get(path: &str, id: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\n\r\n"
    )
}

fn post(path: &str, id: &str, deadline: u64) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline}\r\n\
         Content-Length: 1\r\n\r\nx"
    )
}

/// A whole answer.
#[derive(Debug)]
struct Answer {
    status: u16,
    closes: bool,
    body: String,
}

/// Connection of a caller.
struct Caller<S = TcpStream>(BufReader<S>);

impl Caller {
    async fn connect(callers: SocketAddr) -> Caller {
        let stream = TcpStream::connect(callers).await.expect("connected");
        stream.set_nodelay(true).expect("a socket");
        Caller(BufReader::new(stream))
    }

    fn split(self) -> (Caller<OwnedReadHalf>, OwnedWriteHalf) {
        let (reading, writing) = self.0.into_inner().into_split();
        (Caller(BufReader::new(reading)), writing)
    }

    async fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.expect("sent");
    }
}

impl<S: AsyncRead + Unpin> Caller<S> {
    /// Reads one whole answer; `None` at the end of the connection, or if it ends within one.
    async fn answer(&mut self) -> Option<Answer> {
        let reading = async {
            let mut head = String::new();
            while !head.ends_with("\r\n\r\n") {
                self.0.read_line(&mut head).await.ok().filter(|n| *n > 0)?;
            }
            let head = head.to_lowercase();
            let length = head.split("content-length: ").nth(1);
            let length = length.and_then(|rest| rest.split("\r\n").next()?.parse().ok());
            let mut body = vec![0; length.expect("a length")];
            self.0.read_exact(&mut body).await.ok()?;
            Some(Answer {
                status: head.split(' ').nth(1)?.parse().ok()?,
                closes: head.contains("connection: close"),
                body: String::from_utf8(body).ok()?,
            })
        };
        timeout(PATIENCE, reading).await.expect("in time")
    }

    /// Reads answers until the connection ends.
    async fn answers(&mut self) -> Vec<Answer> {
        let mut answers = Vec::new();
        while let Some(answer) = self.answer().await {
            answers.push(answer);
        }
        answers
    }
}

/// Each took its time after the one before it.
#[tokio::test(flavor = "multi_thread")]
async fn eight_requests_of_one_connection_take_as_long_as_one() {
    let (fleet, record) = slow_fleet().await;
    let mut caller = Caller::connect(fleet.callers).await;
    let heads: String = (0..8)
        .map(|n| get("/r/300", &format!("eight-{n}")))
        .collect();
    let begun = Instant::now();

    caller.send(&heads).await;

    for number in 0..8 {
        let answer = caller.answer().await.expect("an answer");
        let id = format!("eight-{number}");
        assert_eq!((answer.status, &answer.body), (200, &id));
        assert!(!answer.closes);
        assert_eq!(record.runs(&id), 1);
    }
    let took = begun.elapsed();
    println!("took {took:?}");
    assert!(took < Duration::from_millis(500), "{took:?}");
    // The connection goes on.
    caller.send(&get("/r/0", "eight-more")).await;
    assert_eq!(caller.answer().await.map(|answer| answer.status), Some(200));
}

/// A later answer that is ready first would be taken for that of an earlier request.
#[tokio::test(flavor = "multi_thread")]
async fn answers_come_whole_and_in_the_order_of_their_requests() {
    let (fleet, _) = slow_fleet().await;
    let mut caller = Caller::connect(fleet.callers).await;
    let paths = ["400", "0", "long", "cut", "200", "long", "0", "none"];
    let heads = paths.iter().enumerate().map(|(n, path)| match *path {
        // Without a route it is refused at once.
        "none" => get("/none/", &format!("order-{n}")),
        path => get(&format!("/r/{path}"), &format!("order-{n}")),
    });

    caller.send(&heads.collect::<String>()).await;

    for (number, path) in paths.iter().enumerate() {
        let answer = caller.answer().await.expect("an answer");
        match *path {
            "long" => assert_eq!((answer.status, answer.body.len()), (200, LONG)),
            "cut" => assert_eq!(answer.status, 502, "it may have run"),
            "none" => assert_eq!(answer.status, 404),
            _ => assert_eq!(
                (answer.status, answer.body),
                (200, format!("order-{number}"))
            ),
        }
    }
}

/// One that runs beside an earlier one could overtake what it depends on.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_must_run_once_waits_until_all_before_it_are_answered() {
    let (fleet, record) = slow_fleet().await;
    let mut caller = Caller::connect(fleet.callers).await;
    let text = get("/r/300", "turn-0") + &post("/w/100", "turn-1", 3_000) + &get("/r/0", "turn-2");

    caller.send(&text).await;
    sleep(Duration::from_millis(200)).await;
    let early = ["turn-0", "turn-1", "turn-2"].map(|id| record.runs(id));

    for number in 0..3 {
        let answer = caller.answer().await.expect("an answer");
        assert_eq!(
            (answer.status, answer.body),
            (200, format!("turn-{number}"))
        );
    }
    assert_eq!(early, [1, 0, 0]);
    assert_eq!(
        ["turn-0", "turn-1", "turn-2"].map(|id| record.runs(id)),
        [1, 1, 1]
    );
}

/// Targets would work for nobody, and requests be sent that nobody waits for. The HTTP library sees no
/// end of a stream behind the bytes of a next request.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_ends_all_of_its_requests() {
    let (fleet, record) = slow_fleet().await;
    let chunked = "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n";
    for (case, count, is_chunked, drops) in [
        ("whole", 4, false, true),
        ("half", 4, false, false),
        ("once", 1, false, true),
        ("once-chunked", 1, true, true),
    ] {
        let ids: Vec<_> = (0..count).map(|n| format!("left-{case}-{n}")).collect();
        let first = ids.iter().map(|id| match case.starts_with("once") {
            true => post("/w/silent", id, 3_000),
            false => get("/r/silent", id),
        });
        let behind = post("/w/0", case, 3_000);
        let behind = match is_chunked {
            true => behind.replace("Content-Length: 1\r\n\r\nx", chunked),
            false => behind,
        };
        let mut caller = Caller::connect(fleet.callers).await;
        caller.send(&(first.collect::<String>() + &behind)).await;
        sleep(Duration::from_millis(300)).await;
        assert!(ids.iter().all(|id| record.runs(id) == 1), "{case}: begun");

        match drops {
            true => drop(caller),
            false => caller.0.shutdown().await.expect("closed"),
        }
        sleep(Duration::from_millis(400)).await;

        let closed = ids.iter().all(|id| record.closed(id).is_some());
        assert!(closed, "{case}: targets learn of it");
        assert_eq!(record.runs(case), 0, "{case}");
    }
}

/// Callers take what they sent behind an answer that closes as unread, and send it again.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_behind_an_answer_that_closes_reaches_a_target() {
    let (fleet, record) = slow_fleet().await;
    let mut caller = Caller::connect(fleet.callers).await;
    caller
        .send(&(get("/r/700", "stop-0") + &get("/r/900", "stop-1")))
        .await;
    sleep(Duration::from_millis(100)).await;

    let stopping = tokio::spawn(fleet.entry.stop());
    sleep(Duration::from_millis(200)).await;
    caller
        .send(&(get("/r/0", "stop-2") + &post("/w/0", "stop-3", 3_000)))
        .await;
    let answers = caller.answers().await;

    let told: Vec<_> = answers
        .iter()
        .map(|one| (one.body.as_str(), one.closes))
        .collect();
    assert_eq!(told, [("stop-0", false), ("stop-1", true)]);
    stopping.await.expect("it ends");
    let ran = ["stop-0", "stop-1", "stop-2", "stop-3"].map(|id| record.runs(id));
    assert_eq!(ran, [1, 1, 0, 0]);
}

/// A target would get more time than its caller has left.
#[tokio::test(flavor = "multi_thread")]
async fn the_time_of_a_request_counts_while_it_waits_for_its_turn() {
    let (fleet, _) = slow_fleet().await;
    let first = [get("/r/700", "time-0"), post("/w/700", "time-1", 3_000)];
    for (number, first) in first.into_iter().enumerate() {
        let mut caller = Caller::connect(fleet.callers).await;
        let begun = Instant::now();
        let second = post("/w/500", &format!("time-behind-{number}"), 1_000);

        caller.send(&(first + &second)).await;
        let statuses = [caller.answer().await, caller.answer().await];
        let statuses = statuses.map(|answer| answer.expect("an answer").status);

        let took = begun.elapsed();
        println!("{statuses:?} after {took:?}");
        assert_eq!(statuses[0], 200);
        assert!(matches!(statuses[1], 503 | 504), "{statuses:?}");
        assert!(took < Duration::from_millis(1_100), "{took:?}");
    }
}

/// One caller could fill the memory of an entry and the slots of all targets.
#[tokio::test(flavor = "multi_thread")]
async fn a_burst_of_a_thousand_requests_runs_a_few_at_a_time() {
    let (fleet, record) = slow_fleet().await;
    let mut held = Caller::connect(fleet.callers).await;
    let heads: String = (0..1_000)
        .map(|n| get("/r/silent", &format!("held-{n}")))
        .collect();
    let from = Instant::now();
    held.send(&heads).await;
    sleep(Duration::from_millis(500)).await;
    let arrived = record.arrivals(from, Instant::now());
    drop(held);
    println!("{arrived} of the first burst at once");
    assert!((4..=REQUESTS_MAX).contains(&arrived), "{arrived} at once");

    let (mut caller, mut writing) = Caller::connect(fleet.callers).await.split();
    let heads: String = (0..1_000)
        .map(|n| get("/r/0", &format!("burst-{n}")))
        .collect();
    let sending = tokio::spawn(async move {
        writing.write_all(heads.as_bytes()).await.expect("sent");
        writing
    });
    for number in 0..1_000 {
        let answer = caller.answer().await.expect("an answer");
        let wanted = (200, format!("burst-{number}"));
        assert_eq!((answer.status, answer.body), wanted);
    }
    drop(sending.await.expect("sent"));
}

/// A head that comes slowly holds up neither the answers before it nor its own request.
#[tokio::test(flavor = "multi_thread")]
async fn a_head_in_many_parts_is_read_while_others_run() {
    let (fleet, record) = slow_fleet().await;
    let mut caller = Caller::connect(fleet.callers).await;
    caller.send(&get("/r/300", "parts-0")).await;

    for byte in get("/r/0", "parts-1").chars() {
        caller.send(&byte.to_string()).await;
        sleep(Duration::from_millis(1)).await;
    }
    sleep(Duration::from_millis(20)).await;
    let beside = record.runs("parts-1");

    for number in 0..2 {
        let answer = caller.answer().await.expect("an answer");
        assert_eq!(
            (answer.status, answer.body),
            (200, format!("parts-{number}"))
        );
    }
    assert_eq!(beside, 1, "it ran beside the one before it");
}

/// What cannot be read, and an answer that breaks off, end the connection, but not the answers before.
/// The bytes of a next answer would complete one that broke off.
#[tokio::test(flavor = "multi_thread")]
async fn what_ends_a_connection_ends_it_behind_the_answers_before() {
    let (fleet, _) = slow_fleet().await;
    let bad = |field: &str| get("/r/0", "bad").replace("Host:", &format!("{field}\r\nHost:"));
    let long = format!("x: {}", "f".repeat(20_000));
    for (text, last) in [
        ("\u{1}\u{2}nothing of HTTP\r\n\r\n".to_owned(), Some(400)),
        (bad("Content-Length: -4"), Some(400)),
        (bad(&long), Some(431)),
        (get("/r/long-cut", "cut") + &get("/r/0", "behind"), None),
    ] {
        let mut caller = Caller::connect(fleet.callers).await;
        let good = get("/r/200", "good-0") + &get("/r/0", "good-1");
        caller.send(&(good + &text)).await;

        let answers = caller.answers().await;

        let statuses: Vec<_> = answers.iter().map(|answer| answer.status).collect();
        let wanted: Vec<_> = [200, 200].into_iter().chain(last).collect();
        assert_eq!(statuses, wanted, "{text}");
    }
}

/// Answers one request without naming the length of the answer.
async fn answer_openly(stream: TcpStream) -> Option<()> {
    let mut stream = BufReader::new(stream);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        stream.read_line(&mut head).await.ok().filter(|n| *n > 0)?;
    }
    let id = head.split("request-id: ").nth(1)?.split("\r\n").next()?;
    let body = "x".repeat(if id == "up" { 0 } else { LONG });
    let fields = format!("request-id: {id}\r\nresponse-signature: good");
    let reply = format!("HTTP/1.0 200 OK\r\n{fields}\r\n\r\n{body}");
    stream.write_all(reply.as_bytes()).await.ok()
}

/// An answer that is framed by the end of the connection would cut off those behind it.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_a_length_ends_no_connection() {
    let serve = |listener: TcpListener, _| {
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer_openly(stream));
            }
        })
    };
    let fleet = fleet_with(serve).await;
    set_up(&fleet).await;
    let mut caller = Caller::connect(fleet.callers).await;

    caller
        .send(&(get("/r/0", "open-0") + &get("/r/0", "open-1")))
        .await;

    let mut text = String::new();
    while text.matches("\r\n0\r\n\r\n").count() < 2 {
        let read = timeout(PATIENCE, caller.0.read_line(&mut text)).await;
        assert!(matches!(read, Ok(Ok(1..))), "{} bytes", text.len());
    }
    assert_eq!(text.matches("HTTP/1.1 200").count(), 2);
}

/// Bytes of one request must not be lost or taken for another, wherever reads end.
#[tokio::test(flavor = "multi_thread")]
async fn any_mix_of_requests_in_any_parts_gets_each_request_its_answer() {
    let (fleet, record) = slow_fleet().await;
    for seed in 0..24_u64 {
        let mut rng = scripted::rng_of(seed, "mix", 0);
        let mut below = |bound: u32| rng.next_u32() % bound;
        let idempotent = below(20);
        let kinds: Vec<_> = (0..30)
            .map(|n| if n < idempotent { 0 } else { below(4) })
            .collect();
        let requests = kinds.iter().enumerate().map(|(n, kind)| {
            let id = format!("mix-{seed}-{n}");
            let work = below(20);
            let body = "x".repeat(below(20_000) as usize);
            let length = format!("Content-Length: {}", body.len());
            match kind {
                0 | 1 => get(&format!("/r/{work}"), &id),
                2 => get("/none/", &id),
                _ => post(&format!("/w/{work}"), &id, 3_000)
                    .replace("Content-Length: 1", &length)
                    .replace("\r\n\r\nx", &format!("\r\n\r\n{body}")),
            }
        });
        let text = requests.collect::<String>().into_bytes();
        let (mut caller, mut writing) = Caller::connect(fleet.callers).await.split();
        let sending = tokio::spawn(async move {
            let mut rest = &text[..];
            while !rest.is_empty() {
                let length = (rng.next_u32() as usize % 3_000 + 1).min(rest.len());
                writing.write_all(&rest[..length]).await.expect("sent");
                rest = &rest[length..];
                sleep(Duration::from_micros(u64::from(rng.next_u32() % 2_000))).await;
            }
            writing
        });

        for (number, kind) in kinds.iter().enumerate() {
            let answer = caller.answer().await.expect("an answer");
            let id = format!("mix-{seed}-{number}");
            match kind {
                2 => assert_eq!(answer.status, 404, "{id}"),
                _ => assert_eq!(
                    (answer.status, &answer.body, record.runs(&id)),
                    (200, &id, 1)
                ),
            }
        }
        drop(sending.await.expect("sent"));
    }
}

/// Time between requests counts from the last one, not from the first.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_ends_once_it_was_idle_for_its_time() {
    let (fleet, _) = slow_fleet().await;
    let mut limits = order(9, "4000ms");
    limits["upsert"]["limits"]["idleTimeout"] = "600ms".into();
    limits["upsert"]["limits"]["headerTimeout"] = "600ms".into();
    let order = call(fleet.control, "config.patch", &limits).await;
    assert_eq!(order.map(|(status, _)| status), Some(200));
    sleep(Duration::from_millis(200)).await;
    for path in ["/none/", "/r/0", "/r/700"] {
        let mut caller = Caller::connect(fleet.callers).await;
        for _ in 0..3 {
            sleep(Duration::from_millis(400)).await;
            caller.send(&get(path, "idle")).await;
            assert!(caller.answer().await.is_some(), "{path}");
        }
        let begun = Instant::now();
        assert!(caller.answer().await.is_none(), "{path}");
        let idle = begun.elapsed();
        let mut caller = Caller::connect(fleet.callers).await;
        caller.send(&get(path, "late")).await;
        assert!(caller.answer().await.is_some(), "{path}");
        let begun = Instant::now();
        // A head that never ends keeps it open no longer.
        caller.send("GET /r/0 HTTP/1.1\r\n").await;
        let late = caller.answer().await.expect("an answer");
        let took = begun.elapsed();
        assert_eq!(late.status, 408, "{path}");
        assert!(caller.answer().await.is_none(), "{path}");
        for time in [idle, took] {
            assert!((500..900).contains(&time.as_millis()), "{path}: {time:?}");
        }
    }
}

/// Guards against a deadline that is counted from a read behind the end of the head.
#[tokio::test]
async fn a_head_counts_from_the_read_that_ended_it() {
    let clock = Clock::start();
    let mut ahead = ReadAhead::default();
    let whole = get("/r/x", "a");
    let (first, rest) = whole.split_at(20);
    let mut ended = None;

    for part in [first, rest, "GET /r/y"] {
        let mut part = part.as_bytes();
        let read = poll_fn(|cx| ahead.poll_read(cx, &mut part, clock)).await;
        assert!(read.expect("read"));
        if ahead.bytes.len() == first.len() {
            assert!(ahead.parse_head(|_| ()).is_none());
        } else {
            ended.get_or_insert(clock.now());
        }
        sleep(Duration::from_millis(20)).await;
    }

    assert!(ahead.times.time_of(whole.len()) <= ended);
}
