//! A zone is emptied while another writer sends status reports of its workers in which the lists of
//! keys are missing.

use crate::{
    Verdict,
    http::{Message, call},
    record::Record,
    stage::{Plan, Stage},
    worker::{self, Row, Settings, Worker},
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::PathBuf,
    thread::sleep,
    time::{Duration, Instant},
};

/// The zone that is emptied.
const ZONE: &str = "a";
/// Pause between two odd reports of one worker, and how long they are sent.
const PAUSE: Duration = Duration::from_millis(150);
const ODD_TIME: Duration = Duration::from_millis(1_000);
/// Time for which holds are watched.
const WATCH: Duration = Duration::from_secs(8);
/// Time for which two workers may hold the same keys.
const BOTH: Duration = Duration::from_millis(500);
/// Time for the answer to a report or an order.
const LIMIT: Duration = Duration::from_millis(1_000);

/// Sends a status report of a worker without the fields `holds` and `released`.
fn report(worker: &Worker, seq: u64, control: SocketAddr) -> Option<Message> {
    let Settings {
        id, service, zone, ..
    } = worker.settings();
    let body = format!(
        "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\
         \"version\":\"v1\",\"slots\":4,\"state\":\"ready\",\"coldRemaining\":\"0ms\",\
         \"seq\":{seq},\"born\":{}}}",
        worker.address, worker.born
    );
    let line = format!("POST /-/rpc?call=instances.heartbeat&of={id}");
    let fields = [("Host", "control"), ("Content-Type", "application/json")];
    call(control, &line, &fields, body.as_bytes(), LIMIT)
}

/// First keys that both hold.
fn common(one: &[Row], other: &[Row]) -> Option<(u64, u64)> {
    let pairs = one.iter().flat_map(|a| other.iter().map(move |b| (a, b)));
    let mut spans = pairs.map(|(a, b)| (a.0.max(b.0), a.1.min(b.1)));
    spans.find(|(first, last)| first <= last)
}

/// Longest time for which two workers held the same keys.
fn watch(workers: &[Worker], record: &Record) -> Duration {
    let until = Instant::now() + WATCH;
    let mut since: BTreeMap<(usize, usize), Instant> = BTreeMap::new();
    let mut longest = Duration::ZERO;
    while Instant::now() < until {
        let held: Vec<Vec<Row>> = workers.iter().map(Worker::held).collect();
        for a in 0..held.len() {
            for b in a + 1..held.len() {
                let Some((first, last)) = common(&held[a], &held[b]) else {
                    since.remove(&(a, b));
                    continue;
                };
                let begun = *since.entry((a, b)).or_insert_with(|| {
                    let ids = [a, b].map(|n| &workers[n].settings().id);
                    record.note(format_args!("{ids:?} both hold {first} to {last}"));
                    Instant::now()
                });
                longest = longest.max(begun.elapsed());
            }
        }
        sleep(Duration::from_millis(10));
    }
    longest
}

/// Plays the case.
pub fn run(program: PathBuf, trouble: bool, record: &Record) -> Verdict {
    let plan = Plan {
        core: 3,
        entries: 2,
        workers: 6,
        framing: worker::plain,
    };
    let Some(stage) = Stage::start(program, plan, record) else {
        return Verdict::Unplayed;
    };
    let operator = &stage.operator;
    let call = format!("evacuate.start&of={ZONE}");
    let answer = operator.order(&call, "", Duration::from_secs(5));
    if answer.is_none_or(|a| a.status() != 200) {
        return Verdict::Unplayed;
    }
    record.say(format_args!("zone {ZONE} is to be emptied"));
    let mut longest = Duration::ZERO;
    std::thread::scope(|scope| {
        let watching = scope.spawn(|| watch(&stage.workers, record));
        let odd = stage.workers.iter().filter(|w| w.settings().zone == ZONE);
        for worker in odd.filter(|_| trouble) {
            scope.spawn(|| {
                let until = Instant::now() + ODD_TIME;
                let mut seq = worker.seq();
                while Instant::now() < until {
                    seq = worker.seq().max(seq) + 1;
                    let control = operator.control[seq as usize % operator.control.len()];
                    let status = report(worker, seq, control).map(|a| a.status());
                    let id = &worker.settings().id;
                    record.note(format_args!("odd report {seq} of {id}: {status:?}"));
                    sleep(PAUSE);
                }
            });
        }
        longest = watching.join().unwrap_or_default();
    });
    record.say(format_args!(
        "longest time for which two workers held the same keys: {} ms",
        longest.as_millis()
    ));
    stage.fleet.note_logs(&["target-rejected", "move-"]);
    match longest > BOTH {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
