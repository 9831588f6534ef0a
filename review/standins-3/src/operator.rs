//! An operator: sends each order to one node after the other until it is acknowledged.

use crate::{http, record::Record};
use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

/// Time without an answer after which the next node is asked.
const ANSWER_TIME: Duration = Duration::from_secs(1);
/// First pause before the next node, which grows.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// What an order that got a final refusal is said to be.
pub const REFUSED: &str = "refused";

/// Sends an order, first to the first of the nodes. Returns when it was acknowledged.
pub fn order(
    record: &Record,
    nodes: &[SocketAddr],
    call: &str,
    body: &str,
    limit: Duration,
) -> Result<f64, String> {
    let begun = Instant::now();
    let mut pause = FIRST_PAUSE;
    for node in nodes.iter().cycle() {
        if begun.elapsed() > limit {
            break;
        }
        record.note(&format!("operator: sends {call} to {node}"));
        let line = format!("POST /-/rpc?call={call}");
        let fields = [("Content-Type", "application/json".to_owned())];
        let answer = http::call(*node, &line, &fields, body, ANSWER_TIME);
        let status = answer.map_or(0, |answer| answer.status());
        record.note(&format!("operator: {call} answered {status} by {node}"));
        match status {
            200 => return Ok(record.now()),
            400 | 409 | 412 | 413 | 422 => return Err(format!("{call} was {REFUSED}")),
            _ => {}
        }
        thread::sleep(pause);
        pause = (pause * 2).min(ANSWER_TIME);
    }
    Err(format!("{call} was not acknowledged"))
}

/// Desired state with one service and one route to it.
pub fn first_state(is_keyed: bool) -> String {
    let keyed = match is_keyed {
        true => r#""useShards":true,"warmup":"2s","grants":"heartbeat","#,
        false => "",
    };
    format!(
        r#"{{"upsert":{{"routes":{{"r-1":{{"host":"case.example","pathPrefix":"/a/","kind":"safe","timeout":"1500ms","targetLatency":"200ms","priority":1,"service":"payroll-core","maxAttempts":2,"version":"00000001"}}}},"services":{{"payroll-core":{{"healthPath":"/health","maxConns":110,"protocol":"h1","tls":false,"coldStart":"3s","coldPerS":3.4,{keyed}"version":"00000001"}}}},"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms","version":"00000001"}}}},"remove":{{"routes":[]}}}}"#
    )
}

/// Order that sets one route.
pub fn route(name: &str, prefix: &str, service: &str, version: u32) -> String {
    format!(
        r#"{{"upsert":{{"routes":{{"{name}":{{"host":"case.example","pathPrefix":"{prefix}","kind":"safe","timeout":"1500ms","targetLatency":"200ms","priority":1,"service":"{service}","maxAttempts":2,"version":"{version:08x}"}}}}}},"remove":{{"routes":[]}}}}"#
    )
}

/// Order that sets one service.
pub fn service(name: &str, version: u32) -> String {
    format!(
        r#"{{"upsert":{{"services":{{"{name}":{{"healthPath":"/health","maxConns":110,"protocol":"h1","tls":false,"coldStart":"3s","coldPerS":3.4,"version":"{version:08x}"}}}}}},"remove":{{"routes":[]}}}}"#
    )
}

/// Reads the desired state back from the first node that returns it.
pub fn read_back(record: &Record, nodes: &[SocketAddr], limit: Duration) -> Result<String, String> {
    let begun = Instant::now();
    for node in nodes.iter().cycle() {
        if begun.elapsed() > limit {
            break;
        }
        let line = "POST /-/rpc?call=config.get";
        match http::call(*node, line, &[], "", ANSWER_TIME) {
            Ok(answer) if answer.status() == 200 => {
                record.note(&format!(
                    "operator: read back from {node}: {}",
                    answer.text()
                ));
                return Ok(answer.text());
            }
            _ => thread::sleep(FIRST_PAUSE),
        }
    }
    Err("the desired state was not read back".to_owned())
}
