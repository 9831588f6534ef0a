//! Decides which targets of a service are stragglers, and ejects the slowest of them.
//!
//! Answers the load pattern in which some targets become much slower than the others, or accept
//! requests without answering them, while their leases stay valid.
//!
//! The inputs are what the home observes itself: the latencies of the latest requests of a target
//! and the ages of those in flight, both compared with all healthy targets of the service. The age
//! of a request reveals a slow target before its first late answer arrives. The load that a target
//! reports is out of date on arrival and may be wrong, so only a share of it is added to the load
//! that the home counts itself, and only while the report is recent.
//!
//! At most a configured share of the targets is ejected at a time. An ejected target gets only
//! probes, and returns after a few prompt answers.

use crate::{moment::Moment, name::Target};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

/// Number of latencies that are kept for each target.
const MAX_SAMPLES: usize = 32;
/// Number of latest latencies whose median decides whether a target is slow.
const RECENT_SAMPLES: usize = 5;
/// Age from which a latency is ignored.
const SAMPLE_MAX_AGE: Duration = Duration::from_secs(20);
/// Number of recent latencies of all healthy targets needed to compute the median and the tail.
const MIN_SAMPLES: usize = 20;
/// Recent latency, as a multiple of the service's median, from which a target is a straggler.
const STRAGGLER_RATIO: f64 = 3.0;
/// Age of two requests in flight, as a multiple of the 95th percentile of the latency, above which
/// their target is a straggler.
const PAIR_AGE_RATIO: f64 = 2.0;
/// Age of one request in flight, as a multiple of the 95th percentile of the latency, above which
/// its target is a straggler.
const SINGLE_AGE_RATIO: f64 = 4.0;
/// Latency, as a multiple of the service's median, up to which an answer counts as prompt.
const PROMPT_RATIO: f64 = 2.5;
/// Number of consecutive prompt answers after which a straggler is healthy again.
const MIN_PROMPT_ANSWERS: u32 = 3;
/// Longest interval between probes of a target that stays slow.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Shortest interval between two evaluations.
const MIN_EVALUATION_INTERVAL: Duration = Duration::from_millis(5);
/// Age from which the load that a target reported is ignored.
const REPORT_MAX_AGE: Duration = Duration::from_secs(1);
/// Share of the reported load above the home's own count that is added to that count.
const REPORT_SHARE: f64 = 0.25;

/// Settings of the straggler detection.
#[derive(Debug, Clone)]
pub struct HealthConfig {
    /// Largest share of the targets that may be ejected at a time.
    pub eject_share: f64,
    /// Interval between probes of an ejected target; doubles while the target stays slow.
    pub probe_interval: Duration,
}

impl Default for HealthConfig {
    fn default() -> Self {
        HealthConfig {
            eject_share: 0.34,
            probe_interval: Duration::from_millis(200),
        }
    }
}

/// Whether a target is as fast as the others of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The target is not much slower than the others.
    Healthy,
    /// The target is slow, but the largest share of targets is ejected already.
    Straggler,
    /// The target is slow and gets only probes.
    Ejected,
}

#[derive(Debug)]
struct Sample {
    at: Moment,
    latency: Duration,
}

#[derive(Debug)]
struct ReportedLoad {
    at: Moment,
    running: u32,
}

/// Observations of one target.
#[derive(Debug)]
struct TargetHealth {
    condition: Condition,
    samples: VecDeque<Sample>,
    /// Attempts in flight: when each was sent, and its number.
    in_flight: BTreeSet<(Moment, u64)>,
    /// Consecutive prompt answers.
    prompt_answers: u32,
    next_probe: Moment,
    probe_interval: Duration,
    /// Latency as a multiple of the service's median; at least 1.
    slowness: f64,
    report: Option<ReportedLoad>,
}

/// Observations of all targets of one service.
#[derive(Debug)]
pub struct Health {
    config: HealthConfig,
    targets: BTreeMap<Target, TargetHealth>,
    last_evaluation: Option<Moment>,
    median: Option<Duration>,
    /// 95th percentile of the latency.
    tail: Option<Duration>,
}

impl Health {
    /// Creates the health of a service without targets.
    pub fn new(config: HealthConfig) -> Self {
        Health {
            config,
            targets: BTreeMap::new(),
            last_evaluation: None,
            median: None,
            tail: None,
        }
    }

    /// Starts to observe a target as healthy, without latencies.
    pub fn add(&mut self, now: Moment, target: &Target) {
        let state = TargetHealth {
            condition: Condition::Healthy,
            samples: VecDeque::new(),
            in_flight: BTreeSet::new(),
            prompt_answers: 0,
            next_probe: now,
            probe_interval: self.config.probe_interval,
            slowness: 1.0,
            report: None,
        };
        self.targets.insert(target.clone(), state);
    }

    /// Stops observing a target and drops its latencies.
    pub fn remove(&mut self, target: &Target) {
        self.targets.remove(target);
    }

    /// Records that an attempt was sent to the target. `attempt` tells apart those sent at the same
    /// time.
    pub fn record_sent(&mut self, now: Moment, target: &Target, attempt: u64) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        state.in_flight.insert((now, attempt));
        if state.condition == Condition::Ejected {
            state.next_probe = now + state.probe_interval;
            state.probe_interval = (state.probe_interval * 2).min(MAX_PROBE_INTERVAL);
        }
    }

    /// Records that the attempt sent at `sent` ended, with or without an answer. Without one, its
    /// latency counts only if it is above the tail: the target is at least that slow.
    pub fn record_ended(
        &mut self,
        now: Moment,
        target: &Target,
        sent: Moment,
        attempt: u64,
        answered: bool,
    ) {
        let prompt_limit = self.median.map(|m| m.mul_f64(PROMPT_RATIO));
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        state.in_flight.remove(&(sent, attempt));
        let latency = now.since(sent);
        let above_tail = self.tail.is_some_and(|t| latency > t);
        if !answered && !above_tail {
            return;
        }
        if prompt_limit.is_some_and(|limit| latency <= limit) {
            state.probe_interval = self.config.probe_interval;
            state.next_probe = state.next_probe.min(now + state.probe_interval);
        }
        state.prompt_answers = match prompt_limit {
            Some(limit) if latency > limit => 0,
            _ => state.prompt_answers + 1,
        };
        state.samples.push_back(Sample { at: now, latency });
        if state.samples.len() > MAX_SAMPLES {
            state.samples.pop_front();
        }
    }

    /// Records how many requests the target reports to be running.
    pub fn record_report(&mut self, now: Moment, target: &Target, running: u32) {
        if let Some(state) = self.targets.get_mut(target) {
            state.report = Some(ReportedLoad { at: now, running });
        }
    }

    /// Load of the target in requests: those in flight, plus a share of the excess it reported.
    pub fn load(&self, now: Moment, target: &Target) -> f64 {
        let Some(state) = self.targets.get(target) else {
            return 0.0;
        };
        let in_flight = state.in_flight.len() as f64;
        match &state.report {
            Some(report) if now.since(report.at) < REPORT_MAX_AGE => {
                in_flight + (f64::from(report.running) - in_flight).max(0.0) * REPORT_SHARE
            }
            _ => in_flight,
        }
    }

    /// Condition of a target at the last evaluation.
    pub fn condition(&self, target: &Target) -> Condition {
        self.targets
            .get(target)
            .map_or(Condition::Healthy, |t| t.condition)
    }

    /// Latency of the target as a multiple of the service's median; at least 1.
    pub fn slowness(&self, target: &Target) -> f64 {
        self.targets.get(target).map_or(1.0, |t| t.slowness)
    }

    /// Whether the target is ejected and its next probe is due.
    pub fn probe_due(&self, now: Moment, target: &Target) -> bool {
        self.targets.get(target).is_some_and(|t| {
            t.condition == Condition::Ejected && t.in_flight.is_empty() && now >= t.next_probe
        })
    }

    /// Median latency of the healthy targets, once enough latencies are known.
    pub fn median(&self) -> Option<Duration> {
        self.median
    }

    /// 95th percentile of the latency of the healthy targets, once enough latencies are known.
    pub fn tail(&self) -> Option<Duration> {
        self.tail
    }

    /// Updates the conditions of all targets, unless the last evaluation is too recent.
    pub fn evaluate(&mut self, now: Moment) {
        if self
            .last_evaluation
            .is_some_and(|at| now.since(at) < MIN_EVALUATION_INTERVAL)
        {
            return;
        }
        self.last_evaluation = Some(now);
        self.update_percentiles(now);
        let (Some(median), Some(tail)) = (self.median, self.tail) else {
            return;
        };
        for state in self.targets.values_mut() {
            state.evaluate(now, median, tail);
        }
        self.eject_slowest();
    }

    /// Updates the median and the tail from the recent latencies of the healthy targets.
    fn update_percentiles(&mut self, now: Moment) {
        let is_healthy = |t: &&TargetHealth| t.condition == Condition::Healthy;
        let mut latencies: Vec<Duration> = self
            .targets
            .values()
            .filter(is_healthy)
            .flat_map(|t| &t.samples)
            .filter(|s| now.since(s.at) < SAMPLE_MAX_AGE)
            .map(|s| s.latency)
            .collect();
        if latencies.len() < MIN_SAMPLES {
            return;
        }
        latencies.sort_unstable();
        self.median = Some(latencies[latencies.len() / 2]);
        self.tail = Some(latencies[latencies.len() * 95 / 100]);
    }

    /// Ejects the slowest stragglers, up to the largest share; the others stay in service.
    fn eject_slowest(&mut self) {
        let max_ejected = (self.targets.len() as f64 * self.config.eject_share) as usize;
        let mut stragglers: Vec<&mut TargetHealth> = self
            .targets
            .values_mut()
            .filter(|t| t.condition != Condition::Healthy)
            .collect();
        stragglers.sort_by(|a, b| b.slowness.total_cmp(&a.slowness));
        for (rank, state) in stragglers.into_iter().enumerate() {
            state.condition = match rank < max_ejected {
                true => Condition::Ejected,
                false => Condition::Straggler,
            };
        }
    }
}

impl TargetHealth {
    /// Decides whether the target is a straggler, and how slow it is.
    fn evaluate(&mut self, now: Moment, median: Duration, tail: Duration) {
        let mut ages = self.in_flight.iter().map(|(sent, _)| now.since(*sent));
        let oldest = ages.next().unwrap_or_default();
        let second = ages.next().unwrap_or_default();
        let single = oldest > tail.mul_f64(SINGLE_AGE_RATIO);
        let pair = second > tail.mul_f64(PAIR_AGE_RATIO);
        let has_old_requests = single || pair;
        let recent = self.recent_latency(now).unwrap_or(median);
        let observed = match has_old_requests {
            true => recent.max(oldest),
            false => recent,
        };
        let base = median.as_secs_f64().max(1e-6);
        self.slowness = (observed.as_secs_f64() / base).max(1.0);
        if has_old_requests || self.slowness >= STRAGGLER_RATIO {
            if self.condition == Condition::Healthy {
                self.condition = Condition::Straggler;
                self.prompt_answers = 0;
            }
        } else if self.prompt_answers >= MIN_PROMPT_ANSWERS {
            self.condition = Condition::Healthy;
        }
        if self.condition != Condition::Healthy {
            self.slowness = self.slowness.max(PROMPT_RATIO);
        }
    }

    /// Median of the latest latencies; `None` if there are too few recent ones.
    fn recent_latency(&self, now: Moment) -> Option<Duration> {
        let latest = self.samples.iter().rev().take(RECENT_SAMPLES);
        let mut latencies: Vec<Duration> = latest
            .filter(|s| now.since(s.at) < SAMPLE_MAX_AGE)
            .map(|s| s.latency)
            .collect();
        if latencies.len() < RECENT_SAMPLES {
            return None;
        }
        latencies.sort_unstable();
        Some(latencies[RECENT_SAMPLES / 2])
    }
}
