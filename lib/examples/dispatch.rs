//! Bench of the dispatch rules in model time, at both users' sizes.
//!
//! A fifth of the targets is slowed ten-fold or comes back cold as the measured span begins. The
//! last column is the processor time of model and dispatch together for each request.
//!
//! Compares entries that each send with a share of the slots (direct), with the choice of the less
//! loaded of two (two-choices), and one home for each target (home). Run it with
//! `cargo run --release -p cornelrail-lib --example dispatch [SERVICE]`.

#[allow(dead_code, reason = "the scenarios use the rest")]
#[path = "../tests/dispatch_model/mod.rs"]
mod model;

use cornelrail_lib::{
    connection::order::Warmth,
    moment::Moment,
    name::{Service, Target, Zone},
    process::settings::Sending,
    request::dispatch::{DispatchConfig, Importance, PoolPolicy},
};
use model::{Layout, Links, Model, Stream};
use std::time::{Duration, Instant};

const ENTRIES: usize = 10;
const SEEDS: [u64; 3] = [1, 2, 3];
const WARM_UP: Duration = Duration::from_secs(5);
const MEASURED: Duration = Duration::from_secs(15);
const WITHIN_ZONE: Duration = Duration::from_micros(50);
const SERVICE_TIME: Duration = Duration::from_millis(20);
const DEADLINE: Duration = Duration::from_secs(1);

#[derive(Clone, Copy)]
struct Site {
    service: &'static str,
    keyed: bool,
    targets: u32,
    slots: u32,
    zones: u32,
    zone_hop: Duration,
}

const SITES: [Site; 4] = [
    Site {
        service: "payroll-core",
        keyed: true,
        targets: 20,
        slots: 4,
        zones: 3,
        zone_hop: Duration::from_micros(1500),
    },
    Site {
        service: "doc-intake",
        keyed: false,
        targets: 6,
        slots: 4,
        zones: 3,
        zone_hop: Duration::from_micros(1500),
    },
    Site {
        service: "valuation",
        keyed: true,
        targets: 30,
        slots: 2,
        zones: 4,
        zone_hop: Duration::from_micros(500),
    },
    Site {
        service: "media-intake",
        keyed: false,
        targets: 8,
        slots: 2,
        zones: 4,
        zone_hop: Duration::from_micros(500),
    },
];

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

#[derive(Clone, Copy)]
enum Way {
    Direct,
    TwoChoices,
    Home,
}

impl Way {
    fn name(self) -> &'static str {
        match self {
            Way::Direct => "direct",
            Way::TwoChoices => "two-choices",
            Way::Home => "home",
        }
    }

    fn config(self, seed: u64) -> DispatchConfig {
        let (sending, share, policy) = match self {
            Way::Direct => (Sending::Direct, 1.0 / ENTRIES as f64, PoolPolicy::Weighted),
            Way::TwoChoices => (
                Sending::Direct,
                1.0 / ENTRIES as f64,
                PoolPolicy::TwoChoices,
            ),
            Way::Home => (Sending::Home, 1.0, PoolPolicy::Weighted),
        };
        DispatchConfig {
            sending,
            share,
            policy,
            seed,
            ..DispatchConfig::default()
        }
    }

    /// A keyed target's home stands in its zone; a pool has one home for all its zones.
    fn layout(self, keyed: bool) -> Layout {
        match (self, keyed) {
            (Way::Home, true) => Layout::PerZone,
            (Way::Home, false) => Layout::Single,
            _ => Layout::Everywhere,
        }
    }
}

/// Runs one case and prints its line.
fn run(site: &Site, way: Way, fault: Fault, load: f64, seed: u64) {
    let links = Links {
        within: WITHIN_ZONE,
        across: site.zone_hop / 2,
    };
    let zone = |i: usize| Zone(format!("zone-{}", i % site.zones as usize));
    let zones: Vec<Zone> = (0..ENTRIES).map(zone).collect();
    let mut model = Model::new(&zones, &way.config(seed), way.layout(site.keyed), links);
    for i in 0..site.targets {
        let name = format!("{}-{i:02}", site.service);
        let zone = format!("zone-{}", i % site.zones);
        model.add_target(&name, site.service, &zone, site.slots, SERVICE_TIME);
    }
    let capacity = f64::from(site.targets * site.slots) / SERVICE_TIME.as_secs_f64();
    let start = Moment::ZERO + WARM_UP;
    let end = start + MEASURED;
    let stream = |rate: f64, until: Moment| Stream {
        service: Service::from(site.service),
        keyed: site.keyed,
        rate,
        deadline: DEADLINE,
        until,
        once_tenths: 1,
        importance: vec![Importance::Normal],
    };
    model.stream(stream(capacity * 0.5, start));
    model.run_until(start);
    model.figures = model::Figures::default();
    strike(&mut model, site, fault);
    let begun = Instant::now();
    model.stream(stream(capacity * load, end));
    model.run_until(end + DEADLINE);
    let spent = begun.elapsed() / model.figures.arrived.max(1) as u32;
    let row = Row {
        site,
        way,
        fault,
        load,
        seed,
        capacity,
        spent,
    };
    report(&row, &model);
}

/// Brings the fault about at a fifth of the targets, rounded.
fn strike(model: &mut Model, site: &Site, fault: Fault) {
    let count = (f64::from(site.targets) / 5.0).round() as u32;
    for i in 0..count {
        let name = Target::from(format!("{}-{:02}", site.service, i * 5).as_str());
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

struct Row<'a> {
    site: &'a Site,
    way: Way,
    fault: Fault,
    load: f64,
    seed: u64,
    capacity: f64,
    spent: Duration,
}

fn report(row: &Row<'_>, model: &Model) {
    let figures = &model.figures;
    let goodput = figures.latencies.len() as f64 / MEASURED.as_secs_f64() / row.capacity;
    println!(
        "{:13} {:12} {:5} {:4.0} {} {:8.1} {:8.1} {:8.1} {:7.3} {:7} {:7} {:7} {:5.1}",
        row.site.service,
        row.way.name(),
        row.fault.name(),
        row.load * 100.0,
        row.seed,
        figures.quantile(0.5),
        figures.quantile(0.99),
        figures.quantile(0.999),
        goodput,
        figures.over,
        figures.not_run,
        figures.unknown,
        row.spent.as_nanos() as f64 / 1000.0,
    );
}

fn main() {
    println!(
        "service       way          fault load s   p50 ms   p99 ms p99.9 ms goodput over \
         not-run unknown model-us"
    );
    let only = std::env::args().nth(1);
    let wanted = |s: &&Site| only.as_ref().is_none_or(|o| o == s.service);
    for site in SITES.iter().filter(wanted) {
        for fault in [Fault::None, Fault::Slow, Fault::Cold] {
            for load in [0.7, 1.0, 1.5] {
                for way in [Way::Direct, Way::TwoChoices, Way::Home] {
                    for seed in SEEDS {
                        run(site, way, fault, load, seed);
                    }
                }
            }
        }
    }
}
