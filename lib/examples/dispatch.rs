//! Bench of the dispatch rules in model time, at both users' sizes.
//!
//! Compares entries that each send with a share of the slots (direct), with the choice of the less
//! loaded of two (two-choices), and one home for each target (home). Run it with
//! `cargo run --release -p cornelrail-lib --example dispatch [SERVICE]`.

#[allow(dead_code, reason = "the scenarios use the rest")]
#[path = "../tests/dispatch_model/mod.rs"]
mod model;

use cornelrail_lib::{
    moment::Moment,
    name::{Service, Target, Zone},
    process::settings::Sending,
    request::dispatch::{DispatchConfig, Importance, PoolRule},
};
use model::{Layout, Links, Model, Stream};
use std::time::Duration;

const ENTRIES: usize = 10;
const SEEDS: [u64; 3] = [1, 2, 3];
const WARM_UP: Duration = Duration::from_secs(5);
const MEASURED: Duration = Duration::from_secs(15);
const WITHIN_ZONE: Duration = Duration::from_micros(50);
const SERVICE_TIME: Duration = Duration::from_millis(20);
const DEADLINE: Duration = Duration::from_secs(1);

#[derive(Clone, Copy)]
struct Site {
    name: &'static str,
    service: &'static str,
    keyed: bool,
    targets: u32,
    slots: u32,
    zones: u32,
    zone_hop: Duration,
}

const SITES: [Site; 4] = [
    Site {
        name: "kindloon",
        service: "payroll-core",
        keyed: true,
        targets: 20,
        slots: 4,
        zones: 3,
        zone_hop: Duration::from_micros(1500),
    },
    Site {
        name: "kindloon",
        service: "doc-intake",
        keyed: false,
        targets: 6,
        slots: 4,
        zones: 3,
        zone_hop: Duration::from_micros(1500),
    },
    Site {
        name: "nilebay",
        service: "valuation",
        keyed: true,
        targets: 30,
        slots: 2,
        zones: 4,
        zone_hop: Duration::from_micros(500),
    },
    Site {
        name: "nilebay",
        service: "media-intake",
        keyed: false,
        targets: 8,
        slots: 2,
        zones: 4,
        zone_hop: Duration::from_micros(500),
    },
];

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
        let (sending, share, rule) = match self {
            Way::Direct => (Sending::Direct, 1.0 / ENTRIES as f64, PoolRule::Weighted),
            Way::TwoChoices => (Sending::Direct, 1.0 / ENTRIES as f64, PoolRule::TwoChoices),
            Way::Home => (Sending::Home, 1.0, PoolRule::Weighted),
        };
        DispatchConfig {
            sending,
            share,
            rule,
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
fn run(site: &Site, way: Way, slowed: bool, load: f64, seed: u64) {
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
    for i in 0..if slowed { slowed_targets(site) } else { 0 } {
        let name = Target::from(format!("{}-{:02}", site.service, i * 5).as_str());
        if let Some(server) = model.servers.get_mut(&name) {
            server.slowdown = 10.0;
        }
    }
    model.stream(stream(capacity * load, end));
    model.run_until(end + DEADLINE);
    report(site, way, slowed, load, seed, &model, capacity);
}

/// A fifth of the targets, rounded.
fn slowed_targets(site: &Site) -> u32 {
    (f64::from(site.targets) / 5.0).round() as u32
}

fn report(site: &Site, way: Way, slowed: bool, load: f64, seed: u64, model: &Model, capacity: f64) {
    let figures = &model.figures;
    let goodput = figures.latencies.len() as f64 / MEASURED.as_secs_f64() / capacity;
    println!(
        "{:9} {:13} {:12} {:5} {:4.0} {seed} {:8.1} {:8.1} {:8.1} {:7.3} {:7} {:7} {:7}",
        site.name,
        site.service,
        way.name(),
        if slowed { "fifth" } else { "none" },
        load * 100.0,
        figures.quantile(0.5),
        figures.quantile(0.99),
        figures.quantile(0.999),
        goodput,
        figures.over,
        figures.not_run,
        figures.unknown,
    );
}

fn main() {
    println!(
        "site      service       way          slow  load s   p50 ms   p99 ms p99.9 ms goodput \
         over-bearable not-run unknown"
    );
    let only = std::env::args().nth(1);
    let wanted = |s: &&Site| only.as_ref().is_none_or(|o| o == s.service);
    for site in SITES.iter().filter(wanted) {
        for slowed in [false, true] {
            for load in [0.7, 1.0, 1.5] {
                for way in [Way::Direct, Way::TwoChoices, Way::Home] {
                    for seed in SEEDS {
                        run(site, way, slowed, load, seed);
                    }
                }
            }
        }
    }
}
