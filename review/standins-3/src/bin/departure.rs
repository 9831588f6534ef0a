//! A worker that started again under its id leaves before it has joined, and the leader that
//! acknowledged this is killed.
//!
//! The leader keeps such a departure in its memory alone. The next one takes the worker, which still
//! serves and reports, for one that stays.

use review_standins_3::{
    NOT_RUN, finish,
    fleet::{Fleet, Shape, until},
    has_trouble, operator,
    record::Record,
    traffic::Traffic,
    worker::{Plan, Worker},
};
use std::{env, path::PathBuf, process::ExitCode, sync::Arc, thread, time::Duration};

/// Seconds after the acknowledged departure in which requests may still arrive.
const DRAIN: f64 = 2.0;
/// Seconds after the last event of a core host in which no machine is in touch.
const STABLE_WINDOW: f64 = 3.0;
/// Time for which the worker serves after its departure was acknowledged.
const SERVES: Duration = Duration::from_secs(10);
/// Workers of the service, of which one crashes.
const WORKERS: u8 = 8;
/// Time for which the worker that crashes is down.
const DOWN: Duration = Duration::from_millis(800);
/// Time after which a process that was killed is started again.
const RESTART: Duration = Duration::from_millis(500);
/// Time after which callers come to one more entry.
const LATER: Duration = Duration::from_secs(6);
const LIMIT: Duration = Duration::from_secs(20);

fn main() -> ExitCode {
    let folder = PathBuf::from(env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
    match Record::create(&folder) {
        Ok(record) => {
            let record = Arc::new(record);
            let outcome = run(&record);
            finish(&record, outcome)
        }
        Err(_) => ExitCode::from(NOT_RUN),
    }
}

fn run(record: &Arc<Record>) -> Result<bool, String> {
    let shape = Shape {
        cores: 5,
        entries: 8,
        has_links: false,
    };
    let text = |e: std::io::Error| e.to_string();
    let mut fleet = Fleet::new(shape).map_err(text)?;
    for place in 0..fleet.hosts.len() {
        fleet.spawn(place).map_err(text)?;
    }
    let controls = fleet.controls();
    let first = operator::first_state(false);
    operator::order(record, &controls, "config.patch", &first, LIMIT)?;
    fleet.until_ready(record)?;
    let leader = fleet.leader().ok_or("no core host leads")?;
    record.note(&format!("core host {} leads", controls[leader]));
    let mut nodes = controls.clone();
    // The workers call other nodes than the one that is killed first.
    nodes.rotate_left((leader + 1) % controls.len());
    // The worker that crashes is the only one of its zone.
    let zone_of = |number: u8| match number {
        1 => "be-central-b",
        n if n % 2 == 0 => "be-central-a",
        _ => "be-central-c",
    };
    let plan = |number: u8| -> Result<Plan, String> {
        Ok(Plan {
            name: format!("i-{number}"),
            zone: zone_of(number).to_owned(),
            address: fleet.stand_in(number).map_err(text)?,
            nodes: nodes.clone(),
            is_keyed: false,
            is_cold: false,
        })
    };
    let former = plan(1)?;
    let again = Plan {
        is_cold: true,
        ..former.clone()
    };
    let former = Worker::start(record, former).map_err(text)?;
    let others = (2..=WORKERS).map(|n| Worker::start(record, plan(n)?).map_err(text));
    let others = others.collect::<Result<Vec<_>, _>>()?;
    // The callers of one entry in the zone of the worker that crashes come later than the others.
    let (callers, zone) = (fleet.callers(), "be-central-b");
    let near: Vec<_> = (0..callers.len())
        .filter(|e| fleet.zone_of(*e) == zone)
        .collect();
    let late_entry = *near.last().ok_or("no entry in the zone")?;
    let (mut early, late) = (callers.clone(), callers[late_entry]);
    early.remove(late_entry);
    let traffic = Traffic::start(record, &early, 0, false);
    let workers = || others.iter().chain([&former]);
    let all_run = || workers().all(|worker| !worker.arrivals().is_empty());
    until("all workers run requests", LIMIT, all_run)?;
    thread::sleep(Duration::from_secs(1));
    let acks = former.acks();
    until("the next report", LIMIT, || former.acks() > acks)?;
    let leaver = if has_trouble() {
        former.crash();
        thread::sleep(DOWN);
        let again = Worker::start(record, again).map_err(text)?;
        until("its first report", LIMIT, || again.acks() > 0)?;
        again
    } else {
        former
    };
    let left = leaver.leave()?;
    let mut last_event = 0.0;
    if has_trouble() {
        record.note(&format!("the leader {} is killed", controls[leader]));
        fleet.kill(leader);
        thread::sleep(RESTART);
        record.note("it is started again");
        fleet.restart(leader).map_err(text)?;
        last_event = record.now();
    }
    thread::sleep(LATER);
    let more = Traffic::start(record, &[late], 1 << 32, false);
    thread::sleep(SERVES.saturating_sub(RESTART + LATER));
    let is_late = |at: f64| at > left + DRAIN && at > last_event + STABLE_WINDOW;
    let late = leaver
        .arrivals()
        .into_iter()
        .filter(|a| a.runs && is_late(a.at));
    let late: Vec<_> = late.collect();
    leaver.crash();
    let served = traffic.served();
    traffic.stop();
    more.stop();
    record.note(&format!(
        "{served} requests were served; {} reached the worker more than 2 s after its departure was \
         acknowledged, from machines in touch",
        late.len()
    ));
    for arrival in &late {
        let after = arrival.at - left;
        record.note(&format!(
            "{} reached it {after:.3} s after that",
            arrival.id
        ));
    }
    if served == 0 {
        return Err("no request was served".to_owned());
    }
    Ok(!late.is_empty())
}
