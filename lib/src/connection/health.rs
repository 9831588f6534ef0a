//! Straggler detection among the targets of one service.
//!
//! A target is judged by what its home sees itself: latencies of its latest requests and the age of
//! those in flight, both against its peers. An age speaks before any answer does. A target's own
//! report of its load comes late and may mislead, so it only adds a discounted share to the load
//! that the home counts itself, and only while it is fresh.
//!
//! At most a bounded share of the targets is ejected at a time, the slowest first. An ejected target
//! gets probes and returns after a few prompt answers.

use crate::{moment::Moment, name::Target};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

/// Latencies kept of each target.
const SAMPLES: usize = 32;
/// Latest latencies that decide whether a target is slow now.
const RECENT: usize = 5;
/// Age after which a latency no longer counts.
const SAMPLE_LIFE: Duration = Duration::from_secs(20);
/// Latencies of all peers below which nobody is judged.
const ENOUGH_SAMPLES: usize = 20;
/// Recent latency, as a multiple of the peers' median, from which a target is a straggler.
const STRAGGLER_RATIO: f64 = 3.0;
/// Age of two requests in flight, as a multiple of the peers' 95th percentile, that marks a
/// straggler.
const PAIR_AGE_RATIO: f64 = 2.0;
/// Age of one request in flight, as a multiple of the peers' 95th percentile, that marks one.
const SINGLE_AGE_RATIO: f64 = 4.0;
/// Latency of a probe, as a multiple of the peers' median, that counts as prompt.
const PROMPT_RATIO: f64 = 2.5;
/// Prompt answers in a row after which an ejected target returns.
const PROMPT_ANSWERS: u32 = 3;
/// Longest pause between probes of a target that stays slow.
const LONGEST_PROBE_PAUSE: Duration = Duration::from_secs(2);
/// Least time between two judgements.
const JUDGE_PAUSE: Duration = Duration::from_millis(5);
/// Age after which a target's report of its load is ignored.
const REPORT_LIFE: Duration = Duration::from_secs(1);
/// Share of the load that a report states beyond the home's own count which is believed.
const REPORT_SHARE: f64 = 0.25;

/// Settings of the detection.
#[derive(Debug, Clone)]
pub struct HealthConfig {
    /// Largest share of the targets that is ejected at a time.
    pub eject_share: f64,
    /// Pause between probes of an ejected target.
    pub probe_pause: Duration,
}

impl Default for HealthConfig {
    fn default() -> Self {
        HealthConfig {
            eject_share: 0.34,
            probe_pause: Duration::from_millis(200),
        }
    }
}

/// Whether a target keeps up with its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// It does.
    Steady,
    /// It is slow, but as many as may be are ejected already.
    Straggler,
    /// It is slow and gets probes only.
    Ejected,
}

#[derive(Debug)]
struct Sample {
    at: Moment,
    latency: Duration,
}

#[derive(Debug)]
struct Report {
    at: Moment,
    running: u32,
}

#[derive(Debug)]
struct Peer {
    condition: Condition,
    samples: VecDeque<Sample>,
    flights: BTreeSet<(Moment, u64)>,
    prompt: u32,
    next_probe: Moment,
    pause: Duration,
    ratio: f64,
    report: Option<Report>,
}

/// Observations of all targets of one service.
#[derive(Debug)]
pub struct Health {
    config: HealthConfig,
    peers: BTreeMap<Target, Peer>,
    judged: Option<Moment>,
    median: Option<Duration>,
    tail: Option<Duration>,
}

impl Health {
    /// Health of a service without targets.
    pub fn new(config: HealthConfig) -> Self {
        Health {
            config,
            peers: BTreeMap::new(),
            judged: None,
            median: None,
            tail: None,
        }
    }

    /// Begins to observe a target, from nothing.
    pub fn add(&mut self, now: Moment, target: &Target) {
        let peer = Peer {
            condition: Condition::Steady,
            samples: VecDeque::new(),
            flights: BTreeSet::new(),
            prompt: 0,
            next_probe: now,
            pause: self.config.probe_pause,
            ratio: 1.0,
            report: None,
        };
        self.peers.insert(target.clone(), peer);
    }

    /// Forgets a target.
    pub fn remove(&mut self, target: &Target) {
        self.peers.remove(target);
    }

    /// A request, told apart by `flight`, went to the target.
    pub fn sent(&mut self, now: Moment, target: &Target, flight: u64) {
        let Some(peer) = self.peers.get_mut(target) else {
            return;
        };
        peer.flights.insert((now, flight));
        if peer.condition == Condition::Ejected {
            peer.next_probe = now + peer.pause;
            peer.pause = (peer.pause * 2).min(LONGEST_PROBE_PAUSE);
        }
    }

    /// The request sent at `sent` ended; `served` if with an answer. One that was given up late tells
    /// that the target is at least that slow.
    pub fn ended(&mut self, now: Moment, target: &Target, sent: Moment, flight: u64, served: bool) {
        let prompt = self.median.map(|m| m.mul_f64(PROMPT_RATIO));
        let Some(peer) = self.peers.get_mut(target) else {
            return;
        };
        peer.flights.remove(&(sent, flight));
        let latency = now.since(sent);
        let telling = self.tail.is_some_and(|t| latency > t);
        if !served && !telling {
            return;
        }
        if prompt.is_some_and(|limit| latency <= limit) {
            peer.pause = self.config.probe_pause;
            peer.next_probe = peer.next_probe.min(now + peer.pause);
        }
        peer.prompt = match prompt {
            Some(limit) if latency > limit => 0,
            _ => peer.prompt + 1,
        };
        peer.samples.push_back(Sample { at: now, latency });
        if peer.samples.len() > SAMPLES {
            peer.samples.pop_front();
        }
    }

    /// Takes in the target's own account of how many requests it runs.
    pub fn report(&mut self, now: Moment, target: &Target, running: u32) {
        if let Some(peer) = self.peers.get_mut(target) {
            peer.report = Some(Report { at: now, running });
        }
    }

    /// Load of the target in requests: the home's own count and a discounted part of the report.
    pub fn load(&self, now: Moment, target: &Target) -> f64 {
        let Some(peer) = self.peers.get(target) else {
            return 0.0;
        };
        let own = peer.flights.len() as f64;
        match &peer.report {
            Some(report) if now.since(report.at) < REPORT_LIFE => {
                own + (f64::from(report.running) - own).max(0.0) * REPORT_SHARE
            }
            _ => own,
        }
    }

    /// Condition of a target as of the last judgement.
    pub fn condition(&self, target: &Target) -> Condition {
        self.peers
            .get(target)
            .map_or(Condition::Steady, |p| p.condition)
    }

    /// How many times slower than its peers the target is; at least 1.
    pub fn slowness(&self, target: &Target) -> f64 {
        self.peers.get(target).map_or(1.0, |p| p.ratio)
    }

    /// Whether an ejected target is due for a probe.
    pub fn probe_due(&self, now: Moment, target: &Target) -> bool {
        self.peers.get(target).is_some_and(|p| {
            p.condition == Condition::Ejected && p.flights.is_empty() && now >= p.next_probe
        })
    }

    /// Median latency of the service, once enough was seen.
    pub fn median(&self) -> Option<Duration> {
        self.median
    }

    /// 95th percentile of the latency of the targets that keep up, once enough was seen.
    pub fn tail(&self) -> Option<Duration> {
        self.tail
    }

    /// Judges all targets, at most once in a short while.
    pub fn judge(&mut self, now: Moment) {
        if self.judged.is_some_and(|at| now.since(at) < JUDGE_PAUSE) {
            return;
        }
        self.judged = Some(now);
        self.measure(now);
        let (Some(median), Some(tail)) = (self.median, self.tail) else {
            return;
        };
        for peer in self.peers.values_mut() {
            peer.judge(now, median, tail);
        }
        self.eject();
    }

    /// Median and tail over the recent latencies of the targets that keep up.
    fn measure(&mut self, now: Moment) {
        let steady = |p: &&Peer| p.condition == Condition::Steady;
        let mut latencies: Vec<Duration> = self
            .peers
            .values()
            .filter(steady)
            .flat_map(|p| &p.samples)
            .filter(|s| now.since(s.at) < SAMPLE_LIFE)
            .map(|s| s.latency)
            .collect();
        if latencies.len() < ENOUGH_SAMPLES {
            return;
        }
        latencies.sort_unstable();
        self.median = Some(latencies[latencies.len() / 2]);
        self.tail = Some(latencies[latencies.len() * 95 / 100]);
    }

    /// Ejects the slowest stragglers up to the bound; the rest stay in service.
    fn eject(&mut self) {
        let bound = (self.peers.len() as f64 * self.config.eject_share) as usize;
        let mut slow: Vec<&mut Peer> = self
            .peers
            .values_mut()
            .filter(|p| p.condition != Condition::Steady)
            .collect();
        slow.sort_by(|a, b| b.ratio.total_cmp(&a.ratio));
        for (rank, peer) in slow.into_iter().enumerate() {
            peer.condition = match rank < bound {
                true => Condition::Ejected,
                false => Condition::Straggler,
            };
        }
    }
}

impl Peer {
    fn judge(&mut self, now: Moment, median: Duration, tail: Duration) {
        let mut ages = self.flights.iter().map(|(sent, _)| now.since(*sent));
        let oldest = ages.next().unwrap_or_default();
        let second = ages.next().unwrap_or_default();
        let single = oldest > tail.mul_f64(SINGLE_AGE_RATIO);
        let pair = second > tail.mul_f64(PAIR_AGE_RATIO);
        let aged = single || pair;
        let recent = self.recent(now).unwrap_or(median);
        let seen = match aged {
            true => recent.max(oldest),
            false => recent,
        };
        let base = median.as_secs_f64().max(1e-6);
        self.ratio = (seen.as_secs_f64() / base).max(1.0);
        if aged || self.ratio >= STRAGGLER_RATIO {
            if self.condition == Condition::Steady {
                self.condition = Condition::Straggler;
                self.prompt = 0;
            }
        } else if self.prompt >= PROMPT_ANSWERS {
            self.condition = Condition::Steady;
        }
        if self.condition != Condition::Steady {
            self.ratio = self.ratio.max(PROMPT_RATIO);
        }
    }

    /// Median of the latest few latencies; `None` if there are too few to tell.
    fn recent(&self, now: Moment) -> Option<Duration> {
        let fresh = self.samples.iter().rev().take(RECENT);
        let mut latencies: Vec<Duration> = fresh
            .filter(|s| now.since(s.at) < SAMPLE_LIFE)
            .map(|s| s.latency)
            .collect();
        if latencies.len() < RECENT {
            return None;
        }
        latencies.sort_unstable();
        Some(latencies[RECENT / 2])
    }
}
