//! A small deployment at rest: core machines, entries, one keyed service and its workers.

use crate::{
    fleet::{Fleet, Role},
    operator::{Operator, press},
    record::Record,
    worker::{Framing, Settings, Worker},
};
use std::{net::SocketAddr, path::PathBuf, thread::sleep, time::Duration};

/// Zones of the core machines, in order; the first three of them are seeds.
const ZONES: [&str; 5] = ["a", "b", "c", "a", "b"];
/// Time for the workers to join and to fetch their keys.
const JOINING: Duration = Duration::from_secs(8);

/// The service of all routes.
pub const SERVICE: &str = r#""payroll":{"healthPath":"/health","maxConns":110,"protocol":"h1","tls":false,"coldStart":"0s","coldPerS":18,"useShards":true,"warmup":"2s","grants":"heartbeat","version":"00000001"}"#;
const LIMITS: &str = r#""limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms","version":"00000001"}"#;

/// A route to the service.
pub fn route(name: &str, prefix: &str, kind: &str, version: &str) -> String {
    format!(
        r#""{name}":{{"host":"a.example","pathPrefix":"{prefix}","kind":"{kind}","timeout":"900ms","targetLatency":"300ms","priority":1,"service":"payroll","maxAttempts":2,"version":"{version}"}}"#
    )
}

/// How large the deployment is, and how its workers answer.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Core machines, at most five.
    pub core: usize,
    /// Entries.
    pub entries: usize,
    /// Workers.
    pub workers: usize,
    /// How the workers write a success.
    pub framing: Framing,
}

/// A running deployment.
#[derive(Debug)]
pub struct Stage {
    /// The processes of the system.
    pub fleet: Fleet,
    /// Core hosts.
    pub core: Vec<usize>,
    /// Addresses for clients.
    pub fronts: Vec<SocketAddr>,
    /// The operator.
    pub operator: Operator,
    /// The workers.
    pub workers: Vec<Worker>,
}

impl Stage {
    /// Starts a deployment; `None` if it doesn't serve.
    pub fn start(program: PathBuf, plan: Plan, record: &Record) -> Option<Stage> {
        let mut fleet = Fleet::new(program, record.clone()).ok()?;
        let zones = &ZONES[..plan.core];
        let core: Vec<usize> = zones
            .iter()
            .map(|zone| fleet.add(Role::Core, zone))
            .collect();
        let entries = (0..plan.entries).map(|n| fleet.add(Role::Entry, ZONES[n % 3]));
        let entries: Vec<usize> = entries.collect();
        for n in core.iter().chain(&entries) {
            fleet.start(*n, true);
        }
        let control = fleet.addresses(Role::Core, fleet.ports.control);
        let fronts = fleet.addresses(Role::Entry, fleet.ports.front);
        let operator = Operator {
            control: control.clone(),
            record: record.clone(),
        };
        let first = format!(
            r#"{{"upsert":{{"routes":{{{}}},"services":{{{SERVICE}}},{LIMITS}}},"remove":{{"routes":[]}}}}"#,
            route("r-one", "/one/", "safe", "00000001")
        );
        let acked = operator.order("config.patch", &first, Duration::from_secs(15));
        if acked.is_none_or(|a| a.status() != 200) {
            record.say("the first desired state was not acknowledged");
            return None;
        }
        let worker = |n: usize| {
            let settings = Settings {
                id: format!("i-{n:08x}"),
                service: "payroll".to_owned(),
                ip: fleet.ip(100 + n as u8),
                zone: ZONES[n % 3],
                keyed: true,
                control: control.clone(),
                framing: plan.framing,
            };
            Worker::start(settings, record)
        };
        let workers = (0..plan.workers).map(worker).collect();
        sleep(JOINING);
        let before = press(&fronts, "GET /one/x", "b", Duration::from_secs(4), record);
        record.say(format_args!("before: {before:?}"));
        let serves = before.served * 4 >= before.sent * 3;
        serves.then_some(Stage {
            fleet,
            core,
            fronts,
            operator,
            workers,
        })
    }
}
