//! A request crashes each worker that runs it, and comes again after all processes were killed.
//!
//! BUDGET: it reaches workers in more than three retries, sent by machines in touch later than
//! `stableWindow` after it has crashed the third.

use cornelrail_review_2::{
    exit,
    fleet::{Fleet, Size},
    has_trouble, http, operator,
    record::Record,
    unix_ms,
    worker::{Kind, Run, Worker},
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
const WORKERS: u8 = 5;
/// Path of the request.
const DEADLY: &str = "/pool/deadly";
/// Time after which a worker that crashed is back, as another one.
const BACK: Duration = Duration::from_millis(3_000);
/// Pause between two copies of the request at one entry.
const PAUSE: Duration = Duration::from_millis(200);
/// Time for which it comes: at first, and after each kill.
const COMES: Duration = Duration::from_secs(14);
/// Times for which all processes are killed, and for which they are down.
const KILLS: usize = 2;
const DOWN: Duration = Duration::from_millis(800);
/// `stableWindow`, and half a second more.
const STABLE: Duration = Duration::from_millis(3_500);
/// Time after a start until the request comes: twice `stableWindow`, and half a second more.
const CALM: Duration = Duration::from_millis(6_500);
/// Retries that the rule gives.
const RETRIES: usize = 3;

/// Keeps one worker running until the end; returns what its boots have run.
fn keep(
    number: u8,
    address: SocketAddr,
    hosts: Vec<SocketAddr>,
    record: Record,
    ends: Arc<AtomicBool>,
) -> JoinHandle<Vec<Run>> {
    thread::spawn(move || {
        let mut runs = Vec::new();
        let mut boot = 0;
        while !ends.load(Ordering::Relaxed) {
            boot += 1;
            let kind = Kind {
                id: format!("i-{number}{boot:07}"),
                service: "pool".to_owned(),
                address,
                born: unix_ms(),
                work: Duration::from_millis(20),
                deadly: Some(DEADLY),
            };
            let Ok(worker) = Worker::start(kind, hosts.clone(), &record) else {
                thread::sleep(PAUSE);
                continue;
            };
            worker.keep_reporting(HEARTBEAT);
            while worker.is_up() && !ends.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(10));
            }
            runs.extend(worker.runs());
            if !worker.is_up() {
                thread::sleep(BACK);
            }
        }
        runs
    })
}

/// Sends copies of the request, and of a harmless one, to all entries for a while.
fn send(fleet: &Fleet, round: usize, record: &Record) {
    let begun = Instant::now();
    let mut count = 0;
    while begun.elapsed() < COMES {
        for entry in 0..ENTRIES {
            for (name, path) in [("d", DEADLY), ("h", "/pool/a")] {
                let id = format!("{name}-{round}-{count}-{entry}");
                let head = format!(
                    "GET {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\n\
                     Deadline-Ms: 800\r\n\r\n"
                );
                let (front, record) = (fleet.front(entry), record.clone());
                thread::spawn(move || {
                    record.write(format_args!("sent {id} to entry {entry}"));
                    let line = match http::ask(front, Duration::from_secs(1), &head, b"") {
                        Ok(answer) => answer.line,
                        Err(error) => error.to_string(),
                    };
                    record.write(format_args!("answer of {id}: {line}"));
                });
            }
            thread::sleep(PAUSE / u32::from(ENTRIES));
        }
        count += 1;
    }
    // The last ones end.
    thread::sleep(Duration::from_secs(1));
}

fn run(root: &Path, folder: &Path) -> Result<bool, String> {
    let record = Record::begin(folder)?;
    let size = Size {
        cores: 3,
        entries: ENTRIES,
        heartbeat: HEARTBEAT,
    };
    let mut fleet = Fleet::start(root, size)?;
    let hosts = fleet.controls();
    let (route, service) = (
        operator::route("pool", "/pool/", "safe"),
        operator::service("0s", "18"),
    );
    let upsert = format!("{{\"routes\":{{\"r\":{route}}},\"services\":{{\"pool\":{service}}}}}");
    operator::change(&hosts, &upsert)?;
    let ends = Arc::new(AtomicBool::new(false));
    let workers: Vec<_> = (0..WORKERS)
        .map(|n| {
            keep(
                n,
                fleet.worker(n),
                hosts.clone(),
                record.clone(),
                ends.clone(),
            )
        })
        .collect();
    fleet.wait_ready()?;
    thread::sleep(CALM);
    send(&fleet, 0, &record);
    for round in 1..=KILLS {
        if has_trouble() {
            record.write(format_args!("all processes are killed"));
            fleet.kill_all();
            thread::sleep(DOWN);
            fleet.restart()?;
            fleet.wait_ready()?;
            record.write(format_args!("all entries are ready"));
        }
        thread::sleep(CALM);
        send(&fleet, round, &record);
    }
    ends.store(true, Ordering::Relaxed);
    let mut runs = Vec::new();
    for worker in workers {
        runs.extend(worker.join().map_err(|_| "a worker panicked")?);
    }
    runs.retain(|run| run.line.contains(DEADLY));
    runs.sort_by_key(|run| run.at);
    let Some(third) = runs.get(2).map(|run| run.at) else {
        return Err("the request has not crashed three workers".to_owned());
    };
    let later = runs.iter().filter(|run| run.at > third + STABLE).count();
    record.write(format_args!(
        "{} runs, {later} of them later than the stable window after the third; {RETRIES} allowed",
        runs.len()
    ));
    Ok(later > RETRIES)
}

fn main() -> ExitCode {
    let mut words = env::args().skip(1);
    let (Some(root), Some(folder)) = (words.next(), words.next()) else {
        return exit(Err("usage: deadly-after-kills ROOT FOLDER".to_owned()));
    };
    exit(run(Path::new(&root), Path::new(&folder)))
}
