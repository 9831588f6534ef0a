//! Parameters of the simulation of dispatchers and targets, and the statistics that it collects.

use cornelrail_lib::{
    moment::Moment,
    name::{Service, Target},
    request::dispatch::Importance,
    version::command::Fingerprint,
};
use std::{collections::BTreeMap, time::Duration};

/// Which entries send to a target.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Layout {
    /// Every entry.
    AllEntries,
    /// The entry in the target's zone, which is its home.
    PerZone,
    /// The first entry, which is the home of all targets.
    FirstEntry,
}

/// One-way delays of messages between entries and targets.
#[derive(Clone, Copy)]
pub struct Links {
    /// Delay within a zone.
    pub same_zone: Duration,
    /// Delay between two zones.
    pub cross_zone: Duration,
}

/// Poisson stream of requests to one service.
pub struct RequestStream {
    pub service: Service,
    /// Whether each request must go to one target, chosen at random.
    pub keyed: bool,
    /// Mean number of requests per second.
    pub rate: f64,
    /// Time from the creation of a request until its deadline.
    pub timeout: Duration,
    /// Time from which no more requests are created.
    pub end: Moment,
    /// Share of once-only requests, in tenths.
    pub once_tenths: u32,
    /// Importances, of which each request gets one at random.
    pub importance: Vec<Importance>,
}

/// Counts and latencies of the simulated requests.
#[derive(Default)]
pub struct Statistics {
    /// Requests submitted to an entry.
    pub arrived: u64,
    /// Latencies of the answered requests, in microseconds.
    pub latencies: Vec<u64>,
    /// Requests refused as not run.
    pub not_run: u64,
    /// Requests refused that may have run.
    pub unknown: u64,
    /// Attempts that reached a target whose capacity was in use.
    pub over_capacity: u64,
    /// Attempts sent to each target.
    pub sends: BTreeMap<Target, u64>,
    /// Refused requests by reason.
    pub refused: BTreeMap<&'static str, u64>,
    /// Requests submitted, by class: "once" or the importance.
    pub class_arrivals: BTreeMap<String, u64>,
    /// Requests answered, by class.
    pub class_answers: BTreeMap<String, u64>,
    /// Target crashes reported for each request content.
    pub crash_counts: BTreeMap<Fingerprint, u64>,
    /// Largest number of requests that were at each target at once.
    pub peak_loads: BTreeMap<Target, u32>,
}

impl Statistics {
    /// Latency in milliseconds below which this share of the answers lies.
    pub fn quantile(&self, share: f64) -> f64 {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        let last = sorted.len().saturating_sub(1);
        let index = (last as f64 * share).round() as usize;
        sorted.get(index).map_or(f64::NAN, |l| *l as f64 / 1000.0)
    }
}
