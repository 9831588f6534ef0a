//! A planned stop of an entry while callers keep sending: what was accepted is answered.

use crate::{
    seeded::{CORES, Hosts},
    test_seeded::{Fleet, PATIENCE, call, fleet, fleet_with, order, set_up, split},
};
use cornelrail_testutils::scripted::{self, Ask, Record, Reply};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

/// Time for which callers keep connecting; beyond the grace of the entry.
const LOAD_TIME: Duration = Duration::from_secs(5);
/// Grace of the entry, in ms.
const GRACE_MS: u64 = 4_000;
/// Stops of one process that are tried, and callers during each.
const STOPS: usize = 4;
const CALLERS: usize = 4;
/// Place of the entry among the processes.
const ENTRY: usize = CORES;
/// Pause between two callers.
const PAUSE: Duration = Duration::from_millis(2);

/// How the request of one caller ended.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Ended {
    Answered,
    /// The connection was not made.
    Refused,
    /// The connection was made and ended without a whole answer.
    Cut(String),
}

/// Connects, sends a request after a pause and reads the answer.
async fn ask_once(callers: SocketAddr, id: String, pause: Duration) -> Ended {
    let Ok(mut stream) = TcpStream::connect(callers).await else {
        return Ended::Refused;
    };
    sleep(pause).await;
    let head = format!(
        "POST /w/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\n\
         Content-Length: 0\r\n\r\n"
    );
    let mut reply = Vec::new();
    let sent = stream.write_all(head.as_bytes()).await;
    let reading = async {
        let mut buffer = [0; 4_096];
        while let Ok(count @ 1..) = stream.read(&mut buffer).await {
            reply.extend_from_slice(&buffer[..count]);
            if is_whole(&reply) {
                break;
            }
        }
    };
    let read = timeout(PATIENCE, reading).await;
    match (sent, read, is_whole(&reply)) {
        (Ok(()), Ok(()), true) => Ended::Answered,
        outcome => Ended::Cut(format!("{id}: {outcome:?}")),
    }
}

fn is_whole(reply: &[u8]) -> bool {
    let text = String::from_utf8_lossy(reply).to_lowercase();
    let Some((_, body)) = split(&text) else {
        return false;
    };
    let length = text.split("content-length: ").nth(1);
    let length = length.and_then(|rest| rest.split("\r\n").next()?.parse::<usize>().ok());
    length == Some(body.len())
}

/// Stops the entry under load; gives how the requests ended.
async fn stop_under_load(fleet: Fleet, pause: Duration) -> Vec<Ended> {
    let callers = fleet.callers;
    let stopping = tokio::spawn(fleet.entry.stop());
    let start = Instant::now();
    let mut asking = JoinSet::new();
    for number in 0.. {
        if start.elapsed() > LOAD_TIME {
            break;
        }
        asking.spawn(ask_once(callers, format!("stop-{number}"), pause));
        sleep(PAUSE).await;
    }
    stopping.await.expect("it ends");
    asking.join_all().await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_off_no_request_on_a_new_connection() {
    for pause in [Duration::ZERO, Duration::from_millis(50)] {
        let fleet = fleet().await;
        set_up(&fleet).await;

        let ended = stop_under_load(fleet, pause).await;

        let count = |kind: fn(&Ended) -> bool| ended.iter().filter(|one| kind(one)).count();
        let answered = count(|one| *one == Ended::Answered);
        let cut: Vec<_> = ended
            .iter()
            .filter(|one| matches!(one, Ended::Cut(_)))
            .collect();
        println!("{answered} answered, {} cut: {:?}", cut.len(), cut.first());
        assert!(answered > 100, "{answered} answered");
        assert!(
            cut.is_empty(),
            "{} cut off, such as {:?}",
            cut.len(),
            cut.first()
        );
    }
}

/// Fleet with a route whose timeout is as long as the grace, and a target that takes as long as the
/// last part of the path says, in ms.
async fn slow_fleet() -> (Fleet, Arc<Record>) {
    let record = Arc::new(Record::default());
    let served = record.clone();
    let script = |ask: &Ask| {
        let work = ask.path.rsplit('/').next();
        let work = work.and_then(|text| text.parse().ok()).unwrap_or(0);
        Reply::answer(ask, &ask.id).after(Duration::from_millis(work))
    };
    let fleet = fleet_with(|listener, _| scripted::serve(listener, served, script)).await;
    set_up(&fleet).await;
    let order = call(fleet.control, "config.patch", &order(8, "4000ms")).await;
    assert_eq!(order.map(|(status, _)| status), Some(200));
    sleep(Duration::from_millis(200)).await;
    (fleet, record)
}

/// A request that is sent at some time after the signal.
#[derive(Debug, Clone, Copy)]
struct LateRequest {
    /// Whether its connection carried a request before the signal.
    is_kept: bool,
    /// When its head is sent, in ms after the signal.
    head_at: u64,
    /// How much later its body is sent, in ms.
    body_after: u64,
    /// Time for which its target works, in ms.
    work: u64,
    /// Time for which its caller waits, in ms.
    deadline: u64,
}

impl LateRequest {
    /// Whether its caller waits no longer than the target works, or the target is still at work in the
    /// last sixth of the grace on a request that was sent early in it.
    fn may_end_unanswered(&self) -> bool {
        let sent_at = self.head_at + self.body_after;
        let works_too_long = sent_at + self.work > GRACE_MS * 5 / 6;
        self.deadline < self.body_after + self.work || (sent_at <= 3_000 && works_too_long)
    }

    fn id(&self) -> String {
        let LateRequest {
            is_kept,
            head_at,
            body_after,
            work,
            deadline,
        } = self;
        format!("late-{is_kept}-{head_at}-{body_after}-{work}-{deadline}")
    }

    /// Sends it; gives the status of its answer, if one comes.
    async fn send(self, callers: SocketAddr, signal: Instant) -> Option<u16> {
        let connect_at = signal + Duration::from_millis(self.head_at.min(1_900));
        if !self.is_kept {
            tokio::time::sleep_until(connect_at).await;
        }
        let mut stream = TcpStream::connect(callers).await.ok()?;
        if self.is_kept {
            exchange_one(
                &mut stream,
                &self.id().replace("late", "kept"),
                "/w/0",
                9_000,
                0,
            )
            .await?;
            tokio::time::sleep_until(signal + Duration::from_millis(self.head_at)).await;
        } else {
            tokio::time::sleep_until(signal + Duration::from_millis(self.head_at)).await;
        }
        let path = format!("/w/{}", self.work);
        exchange_one(
            &mut stream,
            &self.id(),
            &path,
            self.deadline,
            self.body_after,
        )
        .await
    }
}

/// Sends a request with a short body; gives the status of its answer.
async fn exchange_one(
    stream: &mut TcpStream,
    id: &str,
    path: &str,
    deadline: u64,
    body_after: u64,
) -> Option<u16> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline}\r\n\
         Content-Length: 1\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    sleep(Duration::from_millis(body_after)).await;
    stream.write_all(b"x").await.ok()?;
    let mut reply = Vec::new();
    let mut buffer = [0; 4_096];
    while !is_whole(&reply) {
        match stream.read(&mut buffer).await {
            Ok(count @ 1..) => reply.extend_from_slice(&buffer[..count]),
            _ => return None,
        }
    }
    Some(split(&String::from_utf8_lossy(&reply))?.0)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_requests_that_came_late_in_the_grace() {
    let (fleet, record) = slow_fleet().await;
    let mut late = Vec::new();
    for is_kept in [false, true] {
        for head_at in [100, 1_000, 1_900, 2_300, 2_800] {
            for (body_after, work) in [(0, 300), (0, 1_500), (0, 3_500), (400, 1_000), (900, 1_500)]
            {
                late.extend([1_200, 5_000].map(|deadline| LateRequest {
                    is_kept,
                    head_at,
                    body_after,
                    work,
                    deadline,
                }));
            }
        }
    }
    // Kept connections carry their first request before the signal.
    let signal = Instant::now() + Duration::from_secs(1);
    let mut sending = JoinSet::new();
    for request in late.iter().copied() {
        let callers = fleet.callers;
        sending.spawn(async move { (request, request.send(callers, signal).await) });
    }
    tokio::time::sleep_until(signal).await;

    fleet.entry.stop().await;
    let ended = sending.join_all().await;

    let mut served = 0;
    for (request, status) in ended {
        let runs = record.runs(&request.id());
        match status {
            Some(200) => served += 1,
            Some(504) => assert!(request.may_end_unanswered(), "{request:?}"),
            Some(503 | 408) => assert_eq!(runs, 0, "{request:?} ran and got {status:?}"),
            // A connection that is closed before its request was read.
            None => assert_eq!(runs, 0, "{request:?} was cut"),
            Some(other) => panic!("{request:?} got {other}"),
        }
    }
    assert!(served >= 8, "{served} served of those that end in time");
}

/// Callers that ask one request after the other until the entry refuses them; gives what was cut.
async fn ask_until_refused(callers: SocketAddr, name: String) -> Vec<Ended> {
    let mut cut = Vec::new();
    for number in 0.. {
        match ask_once(callers, format!("{name}-{number}"), Duration::ZERO).await {
            Ended::Answered => {}
            Ended::Refused => break,
            ended @ Ended::Cut(_) => cut.push(ended),
        }
        sleep(PAUSE).await;
    }
    cut
}

/// With few callers, there is often no open connection as the entry closes.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_that_stops_accepts_what_is_connected() {
    let mut hosts = Hosts::start(1);
    let callers = hosts.callers[0];
    let mut cut = Vec::new();

    for stop in 0..STOPS {
        while ask_once(callers, "ready".to_owned(), Duration::ZERO).await != Ended::Answered {
            sleep(Duration::from_millis(20)).await;
        }
        let mut asking = JoinSet::new();
        for caller in 0..CALLERS {
            asking.spawn(ask_until_refused(callers, format!("stop-{stop}-{caller}")));
        }
        hosts.signal(ENTRY, "TERM");
        cut.extend(asking.join_all().await.concat());
        while !hosts.has_ended(ENTRY) {
            sleep(Duration::from_millis(20)).await;
        }
        hosts.spawn(ENTRY);
    }

    assert_eq!(cut, [], "cut off in {STOPS} stops");
}
