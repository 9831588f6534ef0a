//! A worker crashes, starts again under its id, and is taken away: it says that it is gone first.
//!
//! DRAIN: a request reaches a worker later than `drain` after it was acknowledged that it is gone.

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
const ENTRIES: u8 = 10;
/// Workers of the service; the crash of one is a share of 0.125.
const WORKERS: u8 = 8;
/// Each entry gets a burst of requests once in this time, the entries in turn.
const TURN: Duration = Duration::from_millis(3_000);
/// Requests of a burst, as many as the workers have slots.
const BURST: usize = 32;
const WORK: Duration = Duration::from_millis(100);
/// Time for which the worker is down.
const DOWN: Duration = Duration::from_millis(800);
/// Time from its report to its leave message.
const UP: Duration = Duration::from_millis(300);
/// Time that the rule gives, and what the clocks of one machine may be apart.
const DRAIN: Duration = Duration::from_millis(2_000);
const MARGIN: Duration = Duration::from_millis(50);
/// Time for which it serves on.
const SERVING: Duration = Duration::from_secs(6);

/// Sends bursts of requests to one entry until the end.
fn send(front: SocketAddr, number: u8, record: Record, ends: Arc<AtomicBool>) -> JoinHandle<()> {
    thread::spawn(move || {
        thread::sleep(TURN / u32::from(ENTRIES) * u32::from(number));
        let mut count = 0;
        while !ends.load(Ordering::Relaxed) {
            let begun = Instant::now();
            let ask = |place: usize| {
                let (id, record) = (format!("r-{number}-{count}-{place}"), record.clone());
                thread::spawn(move || ask(front, number, &id, &record))
            };
            let asked: Vec<_> = (0..BURST).map(ask).collect();
            for one in asked {
                // One that panics has left no answer in the record.
                let _ = one.join();
            }
            count += 1;
            thread::sleep(TURN.saturating_sub(begun.elapsed()));
        }
    })
}

fn ask(front: SocketAddr, number: u8, id: &str, record: &Record) {
    let head = format!(
        "GET /pool/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1000\r\n\r\n"
    );
    record.write(format_args!("sent {id} to entry {number}"));
    let line = match http::ask(front, Duration::from_secs(1), &head, b"") {
        Ok(answer) => answer.line,
        Err(error) => error.to_string(),
    };
    record.write(format_args!("answer of {id}: {line}"));
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
        operator::service("0s", "18"),
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
    };
    let mut others = Vec::new();
    for number in 1..WORKERS {
        let other = Worker::start(kind(number), hosts.clone(), &record)?;
        other.report()?;
        other.keep_reporting(HEARTBEAT);
        others.push(other);
    }
    let mut worker = Worker::start(kind(0), hosts.clone(), &record)?;
    worker.report()?;
    fleet.wait_ready()?;
    worker.keep_reporting(HEARTBEAT);
    let ends = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..ENTRIES)
        .map(|entry| send(fleet.front(entry), entry, record.clone(), ends.clone()))
        .collect();
    thread::sleep(Duration::from_secs(6));
    worker.report()?;
    if has_trouble() {
        worker.crash();
        thread::sleep(DOWN);
        worker = Worker::start(kind(0), hosts, &record)?;
        worker.report()?;
    } else {
        thread::sleep(DOWN);
    }
    thread::sleep(UP);
    let left = worker.leave()?;
    thread::sleep(SERVING);
    worker.crash();
    ends.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| "a client panicked")?;
    }
    let runs = worker.runs();
    let late = runs.iter().filter(|run| run.at > left + DRAIN + MARGIN);
    let late: Vec<_> = late.collect();
    for run in &late {
        let after = (run.at - left).as_secs_f64();
        record.write(format_args!(
            "late: {} ran {after:.3} s after the ack",
            run.request
        ));
    }
    record.write(format_args!(
        "{} requests came later than the drain time",
        late.len()
    ));
    Ok(!late.is_empty())
}

fn main() -> ExitCode {
    let mut words = env::args().skip(1);
    let (Some(root), Some(folder)) = (words.next(), words.next()) else {
        return exit(Err("usage: left-after-crash ROOT FOLDER".to_owned()));
    };
    exit(run(Path::new(&root), Path::new(&folder)))
}
