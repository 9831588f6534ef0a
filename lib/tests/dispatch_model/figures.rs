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
    /// All of them.
    Everywhere,
    /// The one in its zone.
    PerZone,
    /// The first one commands all targets.
    Single,
}

/// One-way delays of the links.
#[derive(Clone, Copy)]
pub struct Links {
    pub within: Duration,
    pub across: Duration,
}

/// Poisson stream of requests to one service.
pub struct Stream {
    pub service: Service,
    pub keyed: bool,
    pub rate: f64,
    pub deadline: Duration,
    pub until: Moment,
    /// Share of requests that must run at most once, in tenths.
    pub once_tenths: u32,
    /// Importance by turns.
    pub importance: Vec<Importance>,
}

#[derive(Default)]
pub struct Figures {
    pub arrived: u64,
    pub latencies: Vec<u64>,
    pub not_run: u64,
    pub unknown: u64,
    /// Starts of a request at a target that bore no more.
    pub over: u64,
    pub sends: BTreeMap<Target, u64>,
    pub refused: BTreeMap<&'static str, u64>,
    pub arrived_of: BTreeMap<String, u64>,
    pub answered_of: BTreeMap<String, u64>,
    /// Crashes by the requests that ran then.
    pub suspects: BTreeMap<Fingerprint, u64>,
    pub peak: BTreeMap<Target, u32>,
}

impl Figures {
    /// Latency in milliseconds below which the share of answers lies.
    pub fn quantile(&self, share: f64) -> f64 {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        let last = sorted.len().saturating_sub(1);
        let index = (last as f64 * share).round() as usize;
        sorted.get(index).map_or(f64::NAN, |l| *l as f64 / 1000.0)
    }
}
