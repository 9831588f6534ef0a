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
const MAX_SAMPLES: usize = 32;
/// Latest latencies that decide whether a target is slow now.
const RECENT_SAMPLES: usize = 5;
/// Age after which a latency no longer counts.
const SAMPLE_MAX_AGE: Duration = Duration::from_secs(20);
/// Latencies of all peers below which nobody is judged.
const MIN_SAMPLES: usize = 20;
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
const MIN_PROMPT_ANSWERS: u32 = 3;
/// Longest pause between probes of a target that stays slow.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Least time between two judgements.
const MIN_EVALUATION_INTERVAL: Duration = Duration::from_millis(5);
/// Age after which a target's report of its load is ignored.
const REPORT_MAX_AGE: Duration = Duration::from_secs(1);
/// Share of the load that a report states beyond the home's own count which is believed.
const REPORT_SHARE: f64 = 0.25;

/// Settings of the detection.
#[derive(Debug, Clone)]
pub struct HealthConfig {
    /// Largest share of the targets that is ejected at a time.
    pub eject_share: f64,
    /// Pause between probes of an ejected target.
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

/// Whether a target keeps up with its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// It does.
    Healthy,
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
struct ReportedLoad {
    at: Moment,
    running: u32,
}

#[derive(Debug)]
struct TargetHealth {
    condition: Condition,
    samples: VecDeque<Sample>,
    in_flight: BTreeSet<(Moment, u64)>,
    prompt_answers: u32,
    next_probe: Moment,
    probe_interval: Duration,
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
    tail: Option<Duration>,
}

impl Health {
    /// Health of a service without targets.
    pub fn new(config: HealthConfig) -> Self {
        Health {
            config,
            targets: BTreeMap::new(),
            last_evaluation: None,
            median: None,
            tail: None,
        }
    }

    /// Begins to observe a target, from nothing.
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

    /// Forgets a target.
    pub fn remove(&mut self, target: &Target) {
        self.targets.remove(target);
    }

    /// A request, told apart by `flight`, went to the target.
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

    /// The request sent at `sent` ended; `served` if with an answer. One that was given up late tells
    /// that the target is at least that slow.
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

    /// Takes in the target's own account of how many requests it runs.
    pub fn record_report(&mut self, now: Moment, target: &Target, running: u32) {
        if let Some(state) = self.targets.get_mut(target) {
            state.report = Some(ReportedLoad { at: now, running });
        }
    }

    /// Load of the target in requests: the home's own count and a discounted part of the report.
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

    /// Condition of a target as of the last judgement.
    pub fn condition(&self, target: &Target) -> Condition {
        self.targets
            .get(target)
            .map_or(Condition::Healthy, |p| p.condition)
    }

    /// How many times slower than its peers the target is; at least 1.
    pub fn slowness(&self, target: &Target) -> f64 {
        self.targets.get(target).map_or(1.0, |p| p.slowness)
    }

    /// Whether an ejected target is due for a probe.
    pub fn probe_due(&self, now: Moment, target: &Target) -> bool {
        self.targets.get(target).is_some_and(|p| {
            p.condition == Condition::Ejected && p.in_flight.is_empty() && now >= p.next_probe
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

    /// Median and tail over the recent latencies of the targets that keep up.
    fn update_percentiles(&mut self, now: Moment) {
        let is_healthy = |p: &&TargetHealth| p.condition == Condition::Healthy;
        let mut latencies: Vec<Duration> = self
            .targets
            .values()
            .filter(is_healthy)
            .flat_map(|p| &p.samples)
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

    /// Ejects the slowest stragglers up to the bound; the rest stay in service.
    fn eject_slowest(&mut self) {
        let max_ejected = (self.targets.len() as f64 * self.config.eject_share) as usize;
        let mut stragglers: Vec<&mut TargetHealth> = self
            .targets
            .values_mut()
            .filter(|p| p.condition != Condition::Healthy)
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

    /// Median of the latest few latencies; `None` if there are too few to tell.
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
