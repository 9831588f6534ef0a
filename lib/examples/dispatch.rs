//! Benchmark of the dispatcher in simulated time, with the fleet sizes of both users.
//!
//! A fifth of the targets becomes ten times slower or restarts cold when the measurement starts.
//! The last column is the processor time per request of the simulation and the dispatchers.
//!
//! Compares three strategies: each entry sends with a share of the slots (direct), the same with
//! the choice of the less loaded of two targets (two-choices), and one home for each target (home).
//! Run it with `cargo run --release -p cornelrail-lib --example dispatch [SERVICE]`.

#[allow(dead_code, reason = "only the scenarios use the rest")]
#[path = "../tests/dispatch_model/mod.rs"]
mod model;

use cornelrail_lib::{
    connection::order::Warmth,
    moment::Moment,
    name::{Service, Target, Zone},
    process::settings::Sending,
    request::dispatch::{DispatchConfig, Importance, PoolPolicy},
};
use model::{Layout, Links, Model, RequestStream};
use std::time::{Duration, Instant};

const ENTRIES: usize = 10;
const SEEDS: [u64; 3] = [1, 2, 3];
const WARM_UP_TIME: Duration = Duration::from_secs(5);
const MEASURED_TIME: Duration = Duration::from_secs(15);
const SAME_ZONE_DELAY: Duration = Duration::from_micros(50);
const SERVICE_TIME: Duration = Duration::from_millis(20);
const TIMEOUT: Duration = Duration::from_secs(1);

/// Service with the fleet that runs it.
#[derive(Clone, Copy)]
struct Deployment {
    service: &'static str,
    keyed: bool,
    targets: u32,
    slots: u32,
    zones: u32,
    /// Round-trip time between two zones.
    zone_rtt: Duration,
}

const DEPLOYMENTS: [Deployment; 4] = [
    Deployment {
        service: "payroll-core",
        keyed: true,
        targets: 20,
        slots: 4,
        zones: 3,
        zone_rtt: Duration::from_micros(1500),
    },
    Deployment {
        service: "doc-intake",
        keyed: false,
        targets: 6,
        slots: 4,
        zones: 3,
        zone_rtt: Duration::from_micros(1500),
    },
    Deployment {
        service: "valuation",
        keyed: true,
        targets: 30,
        slots: 2,
        zones: 4,
        zone_rtt: Duration::from_micros(500),
    },
    Deployment {
        service: "media-intake",
        keyed: false,
        targets: 8,
        slots: 2,
        zones: 4,
        zone_rtt: Duration::from_micros(500),
    },
];

/// Fault of a fifth of the targets.
#[derive(Clone, Copy)]
enum Fault {
    None,
    Slow,
    Cold,
}

impl Fault {
    fn name(self) -> &'static str {
        match self {
            Fault::None => "none",
            Fault::Slow => "slow",
            Fault::Cold => "cold",
        }
    }
}

/// Which entries send to a target, and how a target of a pool is chosen.
#[derive(Clone, Copy)]
enum Strategy {
    Direct,
    TwoChoices,
    Home,
}

impl Strategy {
    fn name(self) -> &'static str {
        match self {
            Strategy::Direct => "direct",
            Strategy::TwoChoices => "two-choices",
            Strategy::Home => "home",
        }
    }

    fn config(self, seed: u64) -> DispatchConfig {
        let (sending, share, policy) = match self {
            Strategy::Direct => (Sending::Direct, 1.0 / ENTRIES as f64, PoolPolicy::Weighted),
            Strategy::TwoChoices => (
                Sending::Direct,
                1.0 / ENTRIES as f64,
                PoolPolicy::TwoChoices,
            ),
            Strategy::Home => (Sending::Home, 1.0, PoolPolicy::Weighted),
        };
        DispatchConfig {
            sending,
            share,
            policy,
            seed,
            ..DispatchConfig::default()
        }
    }

    /// The home of a keyed target is an entry in its zone; a pool has one home for all zones.
    fn layout(self, keyed: bool) -> Layout {
        match (self, keyed) {
            (Strategy::Home, true) => Layout::PerZone,
            (Strategy::Home, false) => Layout::FirstEntry,
            _ => Layout::AllEntries,
        }
    }
}

/// Runs one case and prints its row of the table.
fn run(deployment: &Deployment, strategy: Strategy, fault: Fault, load: f64, seed: u64) {
    let links = Links {
        same_zone: SAME_ZONE_DELAY,
        cross_zone: deployment.zone_rtt / 2,
    };
    let zone = |i: usize| Zone(format!("zone-{}", i % deployment.zones as usize));
    let zones: Vec<Zone> = (0..ENTRIES).map(zone).collect();
    let mut model = Model::new(
        &zones,
        &strategy.config(seed),
        strategy.layout(deployment.keyed),
        links,
    );
    for i in 0..deployment.targets {
        let name = format!("{}-{i:02}", deployment.service);
        let zone = format!("zone-{}", i % deployment.zones);
        model.add_target(
            &name,
            deployment.service,
            &zone,
            deployment.slots,
            SERVICE_TIME,
        );
    }
    let capacity = f64::from(deployment.targets * deployment.slots) / SERVICE_TIME.as_secs_f64();
    let start = Moment::ZERO + WARM_UP_TIME;
    let end = start + MEASURED_TIME;
    let stream = |rate: f64, end: Moment| RequestStream {
        service: Service::from(deployment.service),
        keyed: deployment.keyed,
        rate,
        timeout: TIMEOUT,
        end,
        once_tenths: 1,
        importance: vec![Importance::Normal],
    };
    model.add_stream(stream(capacity * 0.5, start));
    model.run_until(start);
    model.stats = model::Statistics::default();
    inject_fault(&mut model, deployment, fault);
    let started = Instant::now();
    model.add_stream(stream(capacity * load, end));
    model.run_until(end + TIMEOUT);
    let processor_time = started.elapsed() / model.stats.arrived.max(1) as u32;
    let row = Row {
        deployment,
        strategy,
        fault,
        load,
        seed,
        capacity,
        processor_time,
    };
    print_row(&row, &model);
}

/// Injects the fault into a fifth of the targets, rounded.
fn inject_fault(model: &mut Model, deployment: &Deployment, fault: Fault) {
    let count = (f64::from(deployment.targets) / 5.0).round() as u32;
    for i in 0..count {
        let name = Target::from(format!("{}-{:02}", deployment.service, i * 5).as_str());
        match fault {
            Fault::None => (),
            Fault::Slow => {
                if let Some(server) = model.servers.get_mut(&name) {
                    server.slowdown = 10.0;
                }
            }
            Fault::Cold => model.restart(&name, Warmth::Warm),
        }
    }
}

/// Case to which a row of the table belongs, and its cost.
struct Row<'a> {
    deployment: &'a Deployment,
    strategy: Strategy,
    fault: Fault,
    load: f64,
    seed: u64,
    /// Requests per second that the targets can serve.
    capacity: f64,
    /// Processor time per request.
    processor_time: Duration,
}

fn print_row(row: &Row<'_>, model: &Model) {
    let stats = &model.stats;
    let goodput = stats.latencies.len() as f64 / MEASURED_TIME.as_secs_f64() / row.capacity;
    println!(
        "{:13} {:12} {:5} {:4.0} {} {:8.1} {:8.1} {:8.1} {:7.3} {:7} {:7} {:7} {:5.1}",
        row.deployment.service,
        row.strategy.name(),
        row.fault.name(),
        row.load * 100.0,
        row.seed,
        stats.quantile(0.5),
        stats.quantile(0.99),
        stats.quantile(0.999),
        goodput,
        stats.over_capacity,
        stats.not_run,
        stats.unknown,
        row.processor_time.as_nanos() as f64 / 1000.0,
    );
}

fn main() {
    println!(
        "service       strategy     fault load s   p50 ms   p99 ms p99.9 ms goodput over \
         not-run unknown model-us"
    );
    let service = std::env::args().nth(1);
    let is_selected = |s: &&Deployment| service.as_ref().is_none_or(|name| name == s.service);
    for deployment in DEPLOYMENTS.iter().filter(is_selected) {
        for fault in [Fault::None, Fault::Slow, Fault::Cold] {
            for load in [0.7, 1.0, 1.5] {
                for strategy in [Strategy::Direct, Strategy::TwoChoices, Strategy::Home] {
                    for seed in SEEDS {
                        run(deployment, strategy, fault, load, seed);
                    }
                }
            }
        }
    }
}
