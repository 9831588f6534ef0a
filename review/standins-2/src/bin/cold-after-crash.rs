//! A worker crashes under steady traffic and starts again under its id, cold.
//!
//! FAILBACK: a cold worker gets more requests in one second than `coldPerS` x `coldRateFactor` +
//! `coldSlack`, summed over all machines.

use cornelrail_review_2::{
    exit,
    fleet::{Fleet, Size},
    has_trouble, http, operator,
    record::Record,
    unix_ms,
    worker::{Kind, Worker},
};
use std::{
    env,
    net::SocketAddr,
    path::Path,
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

const HEARTBEAT: Duration = Duration::from_millis(870);
const ENTRIES: u8 = 2;
const CLIENTS: u8 = 16;
/// Time between two requests of a client.
const PAUSE: Duration = Duration::from_millis(100);
const WORK: Duration = Duration::from_millis(40);
/// Time for which the worker is down.
const DOWN: Duration = Duration::from_millis(800);
/// `coldStart`, and the requests that a cold worker may get in one second: `coldPerS` 18 x 1.5 + 5.
const COLD: Duration = Duration::from_secs(3);
const ALLOWED: usize = 32;
const SECOND: Duration = Duration::from_secs(1);

/// Sends requests to one entry until the end.
fn send(front: SocketAddr, number: u8, record: Record, ends: Arc<AtomicBool>) -> JoinHandle<()> {
    thread::spawn(move || {
        thread::sleep(PAUSE / u32::from(CLIENTS) * u32::from(number));
        let mut count = 0;
        while !ends.load(Ordering::Relaxed) {
            let begun = Instant::now();
            let id = format!("r-{number}-{count}");
            count += 1;
            let head = format!(
                "GET /pool/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\n\
                 Deadline-Ms: 1000\r\n\r\n"
            );
            record.write(format_args!("sent {id}"));
            let line = match http::ask(front, SECOND, &head, b"") {
                Ok(answer) => answer.line,
                Err(error) => error.to_string(),
            };
            record.write(format_args!("answer of {id}: {line}"));
            thread::sleep(PAUSE.saturating_sub(begun.elapsed()));
        }
    })
}

fn run(root: &Path, folder: &Path) -> Result<bool, String> {
    let record = Record::begin(folder)?;
    let size = Size {
        cores: 3,
        entries: ENTRIES,
        heartbeat: HEARTBEAT,
    };
    let fleet = Fleet::start(root, size)?;
    let hosts = fleet.controls();
    let (route, service) = (
        operator::route("pool", "/pool/", "safe"),
        operator::service("3s", "18"),
    );
    let upsert = format!("{{\"routes\":{{\"r\":{route}}},\"services\":{{\"pool\":{service}}}}}");
    operator::change(&hosts, &upsert)?;
    let kind = |number: u8| Kind {
        id: format!("i-7f3a91c{number}"),
        service: "pool".to_owned(),
        address: fleet.worker(number),
        born: unix_ms(),
        work: WORK,
        deadly: None,
        cold: COLD,
    };
    let mut worker = Worker::start(kind(0), hosts.clone(), &record)?;
    let other = Worker::start(kind(1), hosts.clone(), &record)?;
    for one in [&worker, &other] {
        one.report()?;
        one.keep_reporting(HEARTBEAT);
    }
    fleet.wait_ready()?;
    thread::sleep(COLD * 2);
    let ends = Arc::new(AtomicBool::new(false));
    let front = |client: u8| fleet.front(client % ENTRIES);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| send(front(client), client, record.clone(), ends.clone()))
        .collect();
    thread::sleep(Duration::from_secs(4));
    let mut cold_from = None;
    if has_trouble() {
        worker.crash();
        thread::sleep(DOWN);
        cold_from = Some(Instant::now());
        worker = Worker::start(kind(0), hosts, &record)?;
        worker.keep_reporting(HEARTBEAT);
    }
    thread::sleep(COLD + SECOND);
    ends.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| "a client panicked")?;
    }
    let Some(from) = cold_from else {
        return Ok(false);
    };
    let runs: Vec<Instant> = worker.runs().iter().map(|run| run.at).collect();
    let in_second = |first: &Instant| {
        let seconds = *first..*first + SECOND;
        let is_cold = first.saturating_duration_since(from) + SECOND <= COLD;
        let count = runs.iter().filter(|at| seconds.contains(at)).count();
        if is_cold { count } else { 0 }
    };
    let most = runs.iter().map(in_second).max().unwrap_or(0);
    record.write(format_args!(
        "{most} requests in one second, {ALLOWED} allowed"
    ));
    Ok(most > ALLOWED)
}

fn main() -> ExitCode {
    let mut words = env::args().skip(1);
    let (Some(root), Some(folder)) = (words.next(), words.next()) else {
        return exit(Err("usage: cold-after-crash ROOT FOLDER".to_owned()));
    };
    exit(run(Path::new(&root), Path::new(&folder)))
}
