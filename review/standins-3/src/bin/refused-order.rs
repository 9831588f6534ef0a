//! A core host passes an order on to the leader, is cut off from it, and tells the operator that
//! nobody answered. Elsewhere the operator is told that the order is invalid.
//!
//! What was held up on the link is judged once more when the cut heals. By then a later order has made
//! the refused one valid, and it comes into force.

use review_standins_3::{
    NOT_RUN, finish,
    fleet::{Fleet, Shape, until},
    has_trouble,
    http::{self, Message},
    link::Links,
    operator::{self, REFUSED},
    record::Record,
    traffic::Traffic,
    worker::{Plan, Worker},
};
use std::{env, path::PathBuf, process::ExitCode, sync::Arc, thread, time::Duration};

/// Time for which the core host is cut off.
const CUT: Duration = Duration::from_millis(3_500);
/// Time after the cut until the desired state is read back: `stableWindow` and a bit.
const CALM: Duration = Duration::from_millis(3_500);
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
        entries: 2,
        has_links: true,
    };
    let text = |e: std::io::Error| e.to_string();
    let mut fleet = Fleet::new(shape).map_err(text)?;
    let links = Links::start(&fleet).map_err(text)?;
    for place in 0..fleet.hosts.len() {
        fleet.spawn(place).map_err(text)?;
    }
    let controls = fleet.controls();
    let first = operator::first_state(false);
    operator::order(record, &controls, "config.patch", &first, LIMIT)?;
    fleet.until_ready(record)?;
    let plan = Plan {
        name: "i-1".to_owned(),
        zone: "be-central-a".to_owned(),
        address: fleet.stand_in(1).map_err(text)?,
        nodes: controls.clone(),
        is_keyed: false,
        is_cold: false,
    };
    let worker = Worker::start(record, plan).map_err(text)?;
    let callers = fleet.callers();
    let traffic = Traffic::start(record, &callers, 0, false);
    until("the worker runs requests", LIMIT, || {
        !worker.arrivals().is_empty()
    })?;
    thread::sleep(Duration::from_secs(4));
    let leader = fleet.leader().ok_or("no core host leads")?;
    record.note(&format!("core host {} leads", controls[leader]));
    let off = (leader + 1) % shape.cores;
    let mut nodes = controls.clone();
    nodes.rotate_left(off);
    if has_trouble() {
        record.note(&format!(
            "core host {} is cut off from the others",
            controls[off]
        ));
        links.set_cut_off(off, true);
    }
    // A route that names a service which is not there.
    let route = operator::route("r-2", "/b/", "doc-intake", 9);
    match operator::order(record, &nodes, "config.patch", &route, LIMIT) {
        Err(why) if why.contains(REFUSED) => {}
        outcome => return Err(format!("the invalid order ended with {outcome:?}")),
    }
    thread::sleep(Duration::from_millis(500));
    let service = operator::service("doc-intake", 10);
    operator::order(record, &nodes[1..], "config.patch", &service, LIMIT)?;
    // The refused order went to two hosts, one of which waited for an answer of the leader.
    thread::sleep(CUT.saturating_sub(Duration::from_millis(1_600)));
    record.note("the cut heals");
    links.set_cut_off(off, false);
    thread::sleep(CALM);
    let desired = operator::read_back(record, &controls, LIMIT)?;
    let fields = [
        ("Host", "case.example".to_owned()),
        ("Request-Id", "00000000000000b1".to_owned()),
        ("Deadline-Ms", "800".to_owned()),
    ];
    let asked = http::call(callers[0], "GET /b/1", &fields, "", Duration::from_secs(1));
    let status = asked.as_ref().map_or(0, Message::status);
    record.note(&format!(
        "caller: a request on the refused route answered {status}"
    ));
    let served = traffic.served();
    traffic.stop();
    record.note(&format!("{served} requests were served"));
    if served == 0 {
        return Err("no request was served".to_owned());
    }
    Ok(desired.contains("\"r-2\""))
}
