//! Targets whose answers come twice, too late or cut short, and bytes that are no message at all.

use crate::test_seeded::{Fleet, PATIENCE, ask, call, exchange, fleet_with, order, set_up, split};
use bytes::Bytes;
use cornelrail_lib::request::header;
use cornelrail_node::connection::target::{ExchangeError, TargetLink};
use cornelrail_testutils::scripted::{self, Ask, Ending, Framing, Record, Reply};
use http::{Method, Request};
use http_body_util::{BodyExt, Empty};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Handle,
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

/// Time of a long request: longer than a lease.
const LONG_TIME: Duration = Duration::from_secs(6);

/// Answers with the identity, and a second time when the next request arrives on the connection.
fn answer_twice(ask: &Ask, named: bool) -> Reply {
    let answer = Reply::answer(ask, &ask.id);
    match (ask.path.ends_with("/twice"), named) {
        (true, true) => answer.copied(),
        (true, false) => {
            let copy = answer.clone().without_field(ask.id_field);
            answer.copied_as(copy)
        }
        (false, _) => answer,
    }
}

/// Breaks off as the path says.
fn answer_cut(ask: &Ask) -> Reply {
    let (short, long) = ("x".repeat(50), "x".repeat(200_000));
    let cut = |body: &str, framing| {
        // A body of twice the length, of which half arrives.
        let answer = Reply::answer(ask, &body.repeat(2)).framed(framing);
        let bytes = answer.head_length() + body.len();
        answer.cut_at(bytes).ending(Ending::Close)
    };
    match ask.path.trim_start_matches("/w/") {
        "length-short" => cut(&short, Framing::Length),
        "length-long" => cut(&long, Framing::Length),
        "chunk-short" => cut(&short, Framing::Chunked),
        "chunk-long" => cut(&long, Framing::Chunked),
        "reset-short" => cut(&short, Framing::Close).ending(Ending::Reset),
        "reset-long" => cut(&long, Framing::Close).ending(Ending::Reset),
        _ if ask.path.ends_with("/long") => Reply::answer(ask, "fine").after(LONG_TIME),
        _ => Reply::answer(ask, "fine"),
    }
}

/// Fleet with a target that answers by this script.
async fn fleet_of(script: impl Fn(&Ask) -> Reply + Send + Sync + 'static) -> (Fleet, Arc<Record>) {
    let record = Arc::<Record>::default();
    let served = record.clone();
    let fleet = fleet_with(|listener, _| scripted::serve(listener, served, script)).await;
    set_up(&fleet).await;
    (fleet, record)
}

#[tokio::test]
async fn a_second_copy_of_an_answer_reaches_no_other_caller() {
    for named in [true, false] {
        let (fleet, _) = fleet_of(move |ask| answer_twice(ask, named)).await;

        for number in 0..10 {
            let (first, next) = (format!("first-{number}"), format!("next-{number}"));
            let (status, reply, body) = ask(&fleet, Method::POST, "/w/twice", &first, 0).await;
            let is_own = status == 200 && body == first;
            assert!(is_own || status >= 500, "{reply}");
            let (status, reply, body) = ask(&fleet, Method::POST, "/w/once", &next, 0).await;

            let is_own = status == 200 && body == next;
            assert!(is_own || status >= 500, "named {named}: {reply}");
        }
    }
}

#[tokio::test]
async fn a_second_copy_of_an_answer_is_no_answer_at_a_home_either() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let link = TargetLink::start(&Handle::current(), listener.local_addr().expect("bound"));
    let script = |ask: &Ask| answer_twice(ask, true);
    let _serving = scripted::serve(listener, Arc::default(), script);
    let request = |path: &str, id: &str| {
        let body = Empty::<Bytes>::new().map_err(|never| match never {});
        let request = Request::builder().uri(path).header("host", "t");
        let request = request.header(header::REQUEST, id);
        request.body(body.boxed_unsync()).expect("a request")
    };

    let mut connection = link.borrow().await.expect("a connection");
    let first = connection.exchange(request("/twice", "1")).await;
    let first = first.expect("an answer").into_body().collect().await;
    let next = connection.exchange(request("/once", "2")).await;

    assert_eq!(first.expect("whole").to_bytes(), "1");
    assert_eq!(next.map(|_| ()), Err(ExchangeError::Broken));
}

#[tokio::test]
async fn an_answer_that_breaks_off_is_never_a_whole_success() {
    let (fleet, _) = fleet_of(answer_cut).await;
    let kinds = [
        "length-short",
        "length-long",
        "chunk-short",
        "chunk-long",
        "reset-short",
        "reset-long",
    ];
    for kind in kinds {
        // A target that failed is left alone for a while.
        let reply = loop {
            let reply = raw_ask(fleet.callers, kind).await;
            if !reply.starts_with("HTTP/1.1 503") {
                break reply;
            }
            sleep(Duration::from_millis(100)).await;
        };

        let status = split(&reply).map_or(0, |(status, _)| status);
        let is_whole = reply.ends_with("0\r\n\r\n") || reply.contains("content-length: 50\r\n");
        assert!(
            status == 502 || (status == 200 && !is_whole),
            "{kind}: {status}"
        );
    }
}

/// Sends a request and reads as much of the answer as comes.
async fn raw_ask(callers: SocketAddr, kind: &str) -> String {
    raw_exchange(callers, "1.1", &format!("w/{kind}"), 0)
        .await
        .0
}

/// Sends a request with a body of this length, and reads as much of the answer as comes; tells also
/// whether the connection ended in an orderly way.
async fn raw_exchange(
    callers: SocketAddr,
    version: &str,
    path: &str,
    length: usize,
) -> (String, bool) {
    let stream = TcpStream::connect(callers).await.expect("a connection");
    let id = path.rsplit('/').next().unwrap_or_default();
    let head = format!(
        "POST /{path} HTTP/{version}\r\nHost: h.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: 3000\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n"
    );
    let (mut reader, mut writer) = stream.into_split();
    let mut request = head.into_bytes();
    request.resize(request.len() + length, b'x');
    // An answer may come, and end the connection, before all is sent.
    let writing = async move {
        let _ = writer.write_all(&request).await;
        writer
    };
    let mut reply = Vec::new();
    // A reset after the first bytes is what the caller should see.
    let (_writer, ended) = timeout(PATIENCE, async {
        tokio::join!(writing, reader.read_to_end(&mut reply))
    })
    .await
    .expect("in time");
    (String::from_utf8_lossy(&reply).into_owned(), ended.is_ok())
}

/// Body of an answer that is cut in all places.
const CUT_BODY: &str = "the whole body";

/// Answer to a request whose path says how it is framed, how it ends and after how many bytes.
fn answer_cut_as_named(ask: &Ask) -> Reply {
    let answer = Reply::answer(ask, CUT_BODY);
    let mut words = ask.path.trim_start_matches("/w/").split('-');
    let framing = match words.next() {
        Some("length") => Framing::Length,
        Some("chunked") => Framing::Chunked,
        Some("close") => Framing::Close,
        _ => return answer,
    };
    let ending = match words.next() {
        Some("reset") => Ending::Reset,
        _ => Ending::Close,
    };
    let cut = words.next().and_then(|cut| cut.parse().ok());
    let answer = answer.framed(framing).ending(ending);
    match cut {
        Some(cut) => answer.cut_at(cut),
        None => answer,
    }
}

/// Whether a caller takes the reply for a whole success.
fn is_whole_success(reply: &str) -> bool {
    let Some((head, body)) = reply.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_lowercase();
    let length = head.split("content-length: ").nth(1);
    let length = length.and_then(|rest| rest.lines().next()?.trim().parse::<usize>().ok());
    let is_ended = match length {
        Some(length) => body.len() == length,
        None => !head.contains("transfer-encoding") || body.ends_with("0\r\n\r\n"),
    };
    head.starts_with("http/1.1 200") && is_ended
}

/// Reply to a request, asked again while the target is left alone because it failed.
async fn persistent_ask(callers: SocketAddr, kind: String) -> (String, String) {
    loop {
        let reply = raw_ask(callers, &kind).await;
        if !reply.starts_with("HTTP/1.1 503") {
            return (kind, reply);
        }
        sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn an_answer_that_is_cut_anywhere_is_framed_as_whole() {
    let (fleet, _) = fleet_of(answer_cut_as_named).await;
    let length_of = |id: &str, framing| {
        let ask = Ask {
            id: id.to_owned(),
            id_field: "request-id",
            path: String::new(),
            earlier: 0,
            position: 0,
        };
        Reply::answer(&ask, CUT_BODY).framed(framing).head_length()
    };
    let head = length_of("length-close-1", Framing::Length);
    let mut asking = JoinSet::new();
    let cuts = (0..head + CUT_BODY.len()).step_by(3);
    for cut in cuts {
        for kind in [
            "length-close",
            "length-reset",
            "chunked-close",
            "chunked-reset",
        ] {
            asking.spawn(persistent_ask(fleet.callers, format!("{kind}-{cut}")));
        }
    }
    // What ends with its connection is whole if that ends cleanly, but a part of a head is not.
    let head = length_of("close-close-1", Framing::Close);
    for cut in (0..head).step_by(3) {
        asking.spawn(persistent_ask(fleet.callers, format!("close-close-{cut}")));
    }
    for cut in 0..head + CUT_BODY.len() {
        asking.spawn(persistent_ask(fleet.callers, format!("close-reset-{cut}")));
    }

    let replies = timeout(PATIENCE * 3, asking.join_all())
        .await
        .expect("in time");

    let whole: Vec<_> = replies
        .iter()
        .filter(|(_, reply)| is_whole_success(reply))
        .collect();
    assert!(
        whole.is_empty(),
        "{} of {}: {:?}",
        whole.len(),
        replies.len(),
        whole[0]
    );
    let (_, reply) = persistent_ask(fleet.callers, "close-close".to_owned()).await;
    assert!(
        is_whole_success(&reply) && reply.ends_with(CUT_BODY),
        "{reply}"
    );
}

#[tokio::test]
async fn a_head_that_is_cut_anywhere_is_an_answer_at_a_home() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let link = TargetLink::start(&Handle::current(), listener.local_addr().expect("bound"));
    let _serving = scripted::serve(listener, Arc::default(), answer_cut_as_named);

    for cut in 0..100 {
        let request = Request::builder().uri(format!("/w/length-close-{cut}"));
        let request = request.header("host", "t").header(header::REQUEST, "1");
        let body = Empty::<Bytes>::new().map_err(|never| match never {});
        let request = request.body(body.boxed_unsync()).expect("a request");
        let mut connection = link.borrow().await.expect("a connection");
        let answered = connection.exchange(request).await;

        assert_eq!(answered.map(|_| ()), Err(ExchangeError::Broken), "{cut}");
    }
}

#[tokio::test]
async fn malformed_messages_take_no_process_down() {
    let (fleet, _) = fleet_of(answer_cut).await;
    let long = "x".repeat(100_000);
    let messages: Vec<Vec<u8>> = vec![
        vec![0xff; 5_000],
        vec![0; 5_000],
        b"\xff\xff\xff\xff\x01".to_vec(),
        format!("GET /{long} HTTP/1.1\r\n\r\n").into_bytes(),
        b"POST /-/rpc?call=instances.heartbeat&of=t-1 HTTP/1.1\r\nHost: c\r\nContent-Length: 3\r\n\r\n{\"a".to_vec(),
        b"POST /w/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: -1\r\n\r\n".to_vec(),
        b"POST /w/x HTTP/1.1\r\nHost: \xff\r\nRequest-Id: \xfe\r\nDeadline-Ms: 99999999999999999999\r\nShard-Key: 70000\r\nContent-Length: 0\r\n\r\n".to_vec(),
        b"GET /w/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n".to_vec(),
    ];
    for address in [fleet.control, fleet.callers, fleet.ready, fleet.peers] {
        for message in &messages {
            let Ok(mut stream) = TcpStream::connect(address).await else {
                panic!("{address} does not listen any more");
            };
            // The other side may close before it has read all.
            let _ = stream.write_all(message).await;
            let _ = stream.shutdown().await;
        }
    }
    sleep(Duration::from_millis(300)).await;

    let (status, reply, _) = ask(&fleet, Method::POST, "/w/fine", "after", 0).await;
    let ready = b"GET /-/ready HTTP/1.1\r\nHost: e\r\nConnection: close\r\n\r\n";
    let ready = exchange(fleet.ready, ready).await.expect("an answer");

    assert_eq!(status, 200, "{reply}");
    assert_eq!(split(&ready).map(|(status, _)| status), Some(200));
}

#[tokio::test]
async fn a_target_that_falls_silent_finishes_what_it_runs() {
    let (fleet, record) = fleet_of(answer_cut).await;
    let changed = call(fleet.control, "config.patch", &order(8, "20000ms")).await;
    assert_eq!(changed.map(|(status, _)| status), Some(200));
    sleep(Duration::from_millis(300)).await;
    let request = b"POST /r/long HTTP/1.1\r\nHost: h.example\r\nRequest-Id: long\r\n\
        Deadline-Ms: 15000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    let asking = tokio::spawn(exchange(fleet.callers, request));

    fleet.target.fall_silent();
    let reply = timeout(PATIENCE, asking).await.expect("in time");

    let reply = reply.expect("asked").expect("an answer");
    assert_eq!(split(&reply), Some((200, "fine".to_owned())), "{reply}");
    assert_eq!(record.runs("long"), 1, "it runs once");
}

/// Answers with the status that the path names, or with an interim one alone.
fn answer_with_status(ask: &Ask) -> Reply {
    let answer = Reply::answer(ask, "fine");
    let words: Vec<&str> = ask.path.trim_start_matches("/w/").split('-').collect();
    match (
        words[0],
        words.get(1).and_then(|status| status.parse().ok()),
    ) {
        ("status", Some(status)) => answer.with_status(status),
        ("interim", Some(status)) => {
            let answer = answer.with_status(status).ending(Ending::Close);
            let head = answer.head_length();
            answer.cut_at(head)
        }
        _ => answer,
    }
}

/// A status that has no class says nothing of the request, and an interim one is not the last word.
#[tokio::test]
async fn an_invalid_status_of_a_target_reaches_a_caller() {
    let (fleet, record) = fleet_of(answer_with_status).await;

    for kind in ["interim-101", "interim-199", "status-600", "status-999"] {
        let (_, reply) = persistent_ask(fleet.callers, kind.to_owned()).await;

        let is_broken = reply.starts_with("HTTP/1.1 502") && reply.ends_with("broken\n");
        assert!(is_broken, "{kind}: {reply}");
        assert_eq!(record.runs(kind), 1, "{kind} is not sent again");
    }
    let (_, reply) = persistent_ask(fleet.callers, "status-599".to_owned()).await;
    assert!(reply.starts_with("HTTP/1.1 599"), "{reply}");
}

#[tokio::test]
async fn an_invalid_status_is_an_answer_at_a_home() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let link = TargetLink::start(&Handle::current(), listener.local_addr().expect("bound"));
    let _serving = scripted::serve(listener, Arc::default(), answer_with_status);

    for kind in ["interim-101", "interim-199", "status-600", "status-999"] {
        let request = Request::builder().uri(format!("/w/{kind}"));
        let request = request.header("host", "t").header(header::REQUEST, "1");
        let body = Empty::<Bytes>::new().map_err(|never| match never {});
        let request = request.body(body.boxed_unsync()).expect("a request");
        let mut connection = link.borrow().await.expect("a connection");
        let answered = connection.exchange(request).await;

        assert_eq!(answered.map(|_| ()), Err(ExchangeError::Broken), "{kind}");
    }
}

/// Answers without a length that a caller of HTTP/1.0 gets until the connection ends.
fn answer_without_length(ask: &Ask) -> Reply {
    let body = "x".repeat(200_000);
    let answer = Reply::answer(ask, &body).framed(Framing::Chunked);
    let half = answer.head_length() + body.len() / 2;
    match ask.path.trim_start_matches("/w/") {
        "closed" => answer.cut_at(half).ending(Ending::Close),
        "reset" => answer.cut_at(half).ending(Ending::Reset),
        "late" => answer.cut_at(half).ending(Ending::Silent),
        _ => answer,
    }
}

/// Nothing but a reset tells a caller of HTTP/1.0 that a body without a length is not whole.
#[tokio::test]
async fn a_body_that_breaks_off_looks_whole_to_a_caller_of_http_1_0() {
    let (fleet, _) = fleet_of(answer_without_length).await;

    let (whole, is_orderly) = raw_exchange(fleet.callers, "1.0", "w/whole", 0).await;
    assert!(whole.starts_with("HTTP/1.0 200") && whole.ends_with(&"x".repeat(200_000)));
    assert!(is_orderly, "a whole body ends with a reset");
    for kind in ["closed", "reset", "late"] {
        let start = Instant::now();
        let (reply, is_orderly) = loop {
            let reply = raw_exchange(fleet.callers, "1.0", &format!("w/{kind}"), 0).await;
            if !reply.0.starts_with("HTTP/1.0 503") || start.elapsed() > PATIENCE {
                break reply;
            }
            sleep(Duration::from_millis(100)).await;
        };

        let first = reply.lines().next().unwrap_or_default();
        assert!(!is_orderly, "{kind}: {first}, {} bytes", reply.len());
    }
}

/// Answers uploads at once with a part of a body without a length, and resets the connection while
/// the upload is still being written.
async fn answer_uploads_in_part(mut stream: TcpStream) -> Option<()> {
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.ok()?);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let id = head.split("request-id: ").nth(1)?.lines().next()?;
        let fields = format!("request-id: {id}\r\nresponse-signature: good");
        let part = match id.split('-').next() {
            Some("short") => 50,
            Some("long") => 100_000,
            _ => {
                let answer = format!("HTTP/1.1 200 OK\r\n{fields}\r\ncontent-length: 0\r\n\r\n");
                stream.write_all(answer.as_bytes()).await.ok()?;
                continue;
            }
        };
        let answer = format!("HTTP/1.1 200 OK\r\n{fields}\r\nconnection: close\r\n\r\n");
        stream.write_all(answer.as_bytes()).await.ok()?;
        stream.write_all(&vec![b'x'; part]).await.ok()?;
        sleep(Duration::from_millis(50)).await;
        stream.set_zero_linger().ok()?;
        return None;
    }
}

#[tokio::test]
async fn a_part_of_an_early_answer_to_an_upload_looks_whole() {
    let fleet = fleet_with(|listener, _| {
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer_uploads_in_part(stream));
            }
        })
    })
    .await;
    set_up(&fleet).await;

    for kind in ["short", "long"] {
        for version in ["1.0", "1.1"] {
            for number in 0..5 {
                let path = format!("u/{kind}-{version}-{number}");
                let asked = raw_exchange(fleet.callers, version, &path, 3_000_000).await;

                let (reply, is_orderly) = asked;
                let is_success = reply.split(' ').nth(1) == Some("200");
                let is_whole = match version {
                    "1.0" => is_success && is_orderly,
                    _ => is_whole_success(&reply),
                };
                assert!(!is_whole, "{path}: {} bytes", reply.len());
                sleep(Duration::from_millis(100)).await;
            }
        }
    }
}
