//! Two status reports of a worker arrive seconds late, after the leader was killed.
//!
//! The worker sent them before it held any key. The new leader takes them for the present state and
//! gives the keys of the worker to another one, while the worker holds them.

use review_standins_3::{
    NOT_RUN, finish,
    fleet::{Fleet, Shape, until},
    has_trouble,
    keys::longest_overlap,
    link::SlowLink,
    operator,
    record::Record,
    traffic::Traffic,
    worker::{Plan, Worker},
};
use std::{
    env,
    path::PathBuf,
    process::ExitCode,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Time for which two workers may hold one key together.
const OVERLAP_MAX: Duration = Duration::from_millis(500);
/// Time for which the leader is down.
const DOWN: Duration = Duration::from_millis(3_500);
/// Least time by which what is sent on the slow links is late.
const DELAY: Duration = Duration::from_secs(3);
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
        cores: 3,
        entries: 2,
        has_links: false,
    };
    let text = |e: std::io::Error| e.to_string();
    let mut fleet = Fleet::new(shape).map_err(text)?;
    for place in 0..fleet.hosts.len() {
        fleet.spawn(place).map_err(text)?;
    }
    let controls = fleet.controls();
    let first = operator::first_state(true);
    operator::order(record, &controls, "config.patch", &first, LIMIT)?;
    fleet.until_ready(record)?;
    let leader = fleet.leader().ok_or("no core host leads")?;
    record.note(&format!("core host {} leads", controls[leader]));
    // The way of the first worker to the other core hosts is slow.
    let (mut nodes, mut links) = (Vec::new(), Vec::new());
    for (place, control) in controls.iter().enumerate() {
        if place == leader {
            continue;
        }
        let link = SlowLink::new(DELAY);
        let listen = fleet.stand_in(10 + place as u8).map_err(text)?;
        link.start(listen, *control).map_err(text)?;
        record.note(&format!("slow link from {listen} to {control}"));
        nodes.push(if has_trouble() { listen } else { *control });
        links.push(link);
    }
    nodes.push(controls[leader]);
    let plan = |number: u8, zone: &str, nodes| -> Result<Plan, String> {
        Ok(Plan {
            name: format!("i-{number}"),
            zone: zone.to_owned(),
            address: fleet.stand_in(number).map_err(text)?,
            nodes,
            is_keyed: true,
            is_cold: false,
        })
    };
    let traffic = Traffic::start(record, &fleet.callers(), 0, true);
    let one = Worker::start(record, plan(1, "be-central-a", nodes)?).map_err(text)?;
    if has_trouble() {
        until("the second report of the first worker", LIMIT, || {
            one.reports() > 1
        })?;
    }
    let mut others = controls.clone();
    others.rotate_left(leader);
    let two = Worker::start(record, plan(2, "be-central-b", others)?).map_err(text)?;
    until("both workers hold keys", LIMIT, || {
        !one.rows().is_empty() && !two.rows().is_empty()
    })?;
    let killed = Instant::now();
    if has_trouble() {
        record.note(&format!("the leader {} is killed", controls[leader]));
        fleet.kill(leader);
    }
    let mut rest = controls.clone();
    if has_trouble() {
        rest.remove(leader);
    }
    operator::order(record, &rest, "evacuate.start&of=be-central-a", "", LIMIT)?;
    // The moves off the zone are committed within a few tens of milliseconds.
    thread::sleep(Duration::from_millis(300));
    for link in &links {
        record.note("what was held up on a slow link arrives");
        link.open();
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(DOWN.saturating_sub(killed.elapsed()));
    if has_trouble() {
        record.note("the killed core host is started again");
        fleet.restart(leader).map_err(text)?;
    }
    thread::sleep(Duration::from_secs(4));
    let served = traffic.served();
    traffic.stop();
    let (spans, others) = (one.spans(), two.spans());
    let overlap = longest_overlap(&spans, &others);
    let (time, a, b) = overlap.unwrap_or_default();
    let lates = links.iter().map(SlowLink::first_delay).collect::<Vec<_>>();
    record.note(&format!("{served} requests were served"));
    record.note(&format!(
        "first reports on the slow links were late by {lates:?}"
    ));
    record.note(&format!(
        "held together for {} ms: {}-{} by i-1 with number {} and {}-{} by i-2 with number {}",
        time.as_millis(),
        a.first,
        a.last,
        a.fence,
        b.first,
        b.last,
        b.fence
    ));
    if served == 0 {
        return Err("no request was served".to_owned());
    }
    Ok(time > OVERLAP_MAX)
}
