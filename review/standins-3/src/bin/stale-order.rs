//! A core host passes an order on to the leader, is cut off from it, and tells the operator that
//! nobody answered. The operator goes on elsewhere.
//!
//! What was held up on the link is executed once the cut heals, behind later orders that were
//! acknowledged: a zone that is evacuated gets requests again.

use review_standins_3::{
    NOT_RUN, finish,
    fleet::{Fleet, Shape, until},
    has_trouble,
    link::Links,
    operator,
    record::Record,
    traffic::Traffic,
    worker::{Plan, Worker},
};
use std::{env, path::PathBuf, process::ExitCode, sync::Arc, thread, time::Duration};

/// Seconds after the acknowledged evacuation in which requests may still arrive.
const EVACUATE: f64 = 5.0;
/// Seconds after the last event of a core host or its links in which no machine is in touch.
const STABLE_WINDOW: f64 = 3.0;
/// Time for which the core host is cut off.
const CUT: Duration = Duration::from_millis(3_500);
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
        entries: 3,
        has_links: true,
    };
    let text = |e: std::io::Error| e.to_string();
    let mut fleet = Fleet::new(shape).map_err(text)?;
    let cores = shape.cores;
    let links = Links::start(&fleet).map_err(text)?;
    for place in 0..fleet.hosts.len() {
        fleet.spawn(place).map_err(text)?;
    }
    let controls = fleet.controls();
    let first = operator::first_state(false);
    operator::order(record, &controls, "config.patch", &first, LIMIT)?;
    fleet.until_ready(record)?;
    let plan = |number: u8, zone: &str| -> Result<Plan, String> {
        Ok(Plan {
            name: format!("i-{number}"),
            zone: zone.to_owned(),
            address: fleet.stand_in(number).map_err(text)?,
            nodes: controls.clone(),
            is_keyed: false,
            is_cold: false,
        })
    };
    let one = Worker::start(record, plan(1, "be-central-a")?).map_err(text)?;
    let two = Worker::start(record, plan(2, "be-central-b")?).map_err(text)?;
    let traffic = Traffic::start(record, &fleet.callers(), 0, false);
    let both_run = || !one.arrivals().is_empty() && !two.arrivals().is_empty();
    until("both workers run requests", LIMIT, both_run)?;
    let (start, end) = (
        "evacuate.start&of=be-central-b",
        "evacuate.end&of=be-central-b",
    );
    operator::order(record, &controls, start, "", LIMIT)?;
    thread::sleep(Duration::from_secs(4));
    let leader = fleet.leader().ok_or("no core host leads")?;
    record.note(&format!("core host {} leads", controls[leader]));
    let off = (leader + 1) % cores;
    let mut nodes = controls.clone();
    nodes.rotate_left(off);
    if has_trouble() {
        record.note(&format!(
            "core host {} is cut off from the others",
            controls[off]
        ));
        links.set_cut_off(off, true);
    }
    operator::order(record, &nodes, end, "", LIMIT)?;
    thread::sleep(Duration::from_millis(500));
    let began = operator::order(record, &nodes[1..], start, "", LIMIT)?;
    let spent = Duration::from_millis(1_600);
    thread::sleep(CUT.saturating_sub(spent));
    record.note("the cut heals");
    links.set_cut_off(off, false);
    let last_event = if has_trouble() { record.now() } else { 0.0 };
    thread::sleep(Duration::from_secs(8));
    let is_late = |at: f64| at > began + EVACUATE && at > last_event + STABLE_WINDOW;
    let late = two
        .arrivals()
        .into_iter()
        .filter(|a| a.runs && is_late(a.at));
    let late = late.count();
    let served = traffic.served();
    traffic.stop();
    record.note(&format!(
        "{served} requests were served; {late} reached the zone more than 5 s after its evacuation \
         was acknowledged, from machines in touch"
    ));
    if served == 0 {
        return Err("no request was served".to_owned());
    }
    Ok(late > 0)
}
