//! What a model is asked to do and what came of it.

use cornelrail_lib::{
    moment::Moment,
    name::{Service, Target},
    request::dispatch::Importance,
    version::command::Fingerprint,
};
use std::{collections::BTreeMap, time::Duration};

/// Which entries command a target.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Layout {
    /// Every entry.
    AllEntries,
    /// The entry in the target's zone, which is its home.
    PerZone,
    /// The first entry, which is the home of all targets.
    FirstEntry,
}

/// One-way delays of the links.
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
    pub keyed: bool,
    pub rate: f64,
    /// Time from the creation of a request until its deadline.
    pub timeout: Duration,
    /// Time from which no more requests are created.
    pub end: Moment,
    /// Share of once-only requests, in tenths.
    pub once_tenths: u32,
    /// Importance by turns.
    pub importance: Vec<Importance>,
}

#[derive(Default)]
pub struct Statistics {
    /// Requests submitted to an entry.
    pub arrived: u64,
    pub latencies: Vec<u64>,
    pub not_run: u64,
    pub unknown: u64,
    /// Attempts that reached a target whose capacity was in use.
    pub over_capacity: u64,
    /// Attempts sent to each target.
    pub sends: BTreeMap<Target, u64>,
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
