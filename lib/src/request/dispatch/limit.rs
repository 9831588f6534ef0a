//! Concurrency limit of one target.
//!
//! The limit is the smallest of three bounds: the slots that the target announced (or this entry's
//! share of them), a slow-start ramp that begins at one request in flight and grows with successes,
//! and the concurrency beyond which throughput drops. The ramp protects a target that has just
//! started; the throughput bound protects one that slows down when it runs many requests at once.
//!
//! A *level* is the number of requests in flight at the target when a request was sent, that
//! request included.

use crate::{connection::order::Warmth, moment::Moment};
use std::time::Duration;

/// Consecutive successes, as a multiple of the ramp, after which the ramp grows.
const RAMP_SUCCESSES_PER_UNIT: u32 = 4;
/// Successes after which the limit ignores that the target reports itself as cold.
const MAX_COLD_SUCCESSES: u32 = 64;
/// Weight of a new latency in the moving average of its level; the first samples weigh more.
const MIN_SAMPLE_WEIGHT: f64 = 0.04;
/// Time without a sample after which the average of a level is discarded.
const LEVEL_MAX_AGE: Duration = Duration::from_secs(5);
/// Samples that a level needs before its throughput is compared.
const MIN_LEVEL_SAMPLES: u32 = 30;
/// Throughput of a level, as a ratio to that of the level below, under which the limit is lowered
/// to the level below.
const MIN_THROUGHPUT_RATIO: f64 = 0.8;
/// Successes since the throughput bound last changed after which it is raised by one.
const SUCCESSES_PER_RAISE: u32 = 50;
/// Levels whose latency is tracked, level 0 included.
const LEVEL_COUNT: usize = 64;

/// Moving average of the latency at one level, in seconds.
#[derive(Debug, Clone, Default)]
struct LevelStats {
    mean: f64,
    samples: u32,
    updated: Moment,
}

/// Concurrency limit of one incarnation of a target.
#[derive(Debug)]
pub(super) struct ConcurrencyLimit {
    slots: u32,
    /// Slow-start bound, which grows by half of itself.
    ramp: u32,
    /// Successes since the ramp last changed or a request failed.
    successes: u32,
    total_successes: u32,
    /// Bound derived from the throughput of the levels; `u32::MAX` until one is found.
    throughput_limit: u32,
    /// Successes since the throughput bound last changed.
    since_adjustment: u32,
    warmth: Warmth,
    levels: Vec<LevelStats>,
}

impl ConcurrencyLimit {
    /// Limit that starts at one request and never exceeds `slots`.
    pub(super) fn new(slots: u32, warmth: Warmth) -> Self {
        ConcurrencyLimit {
            slots: slots.max(1),
            ramp: 1,
            successes: 0,
            total_successes: 0,
            throughput_limit: u32::MAX,
            since_adjustment: 0,
            warmth,
            levels: Vec::new(),
        }
    }

    /// Applies a change of the usable slots or of the warmth that the target reports.
    pub(super) fn update(&mut self, slots: u32, warmth: Warmth) {
        self.slots = slots.max(1);
        self.warmth = warmth;
    }

    /// Number of requests that may be in flight at the target now: one while the target reports
    /// itself as cold and has answered few requests.
    pub(super) fn current(&self) -> u32 {
        let cold = self.warmth == Warmth::Cold && self.total_successes < MAX_COLD_SUCCESSES;
        match cold {
            true => 1,
            false => self.slots.min(self.ramp).min(self.throughput_limit).max(1),
        }
    }

    /// Records that a request sent at `level` was answered after `latency`.
    pub(super) fn record_success(&mut self, now: Moment, level: u32, latency: Duration) {
        self.total_successes = self.total_successes.saturating_add(1);
        self.successes += 1;
        let cold = self.warmth == Warmth::Cold && self.total_successes < MAX_COLD_SUCCESSES;
        if !cold && self.successes >= self.ramp * RAMP_SUCCESSES_PER_UNIT && self.ramp < self.slots
        {
            self.ramp += (self.ramp / 2).max(1);
            self.successes = 0;
        }
        self.record_latency(now, level, latency);
        self.adjust_to_throughput(now, level);
    }

    /// Records that the target shed a request sent at `level`; the ramp drops below that level.
    pub(super) fn record_shed(&mut self, level: u32) {
        self.successes = 0;
        self.ramp = level.saturating_sub(1).clamp(1, self.ramp);
    }

    /// Records that a request failed and may have run; the count of successes starts anew.
    pub(super) fn record_failure(&mut self) {
        self.successes = 0;
    }

    fn record_latency(&mut self, now: Moment, level: u32, latency: Duration) {
        let index = level as usize;
        if index >= LEVEL_COUNT {
            return;
        }
        if self.levels.len() <= index {
            self.levels.resize(index + 1, LevelStats::default());
        }
        let stats = &mut self.levels[index];
        let value = latency.as_secs_f64();
        if now.since(stats.updated) >= LEVEL_MAX_AGE {
            *stats = LevelStats::default();
        }
        stats.samples = stats.samples.saturating_add(1);
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(stats.samples));
        stats.mean += (value - stats.mean) * weight;
        stats.updated = now;
    }

    /// Lowers the throughput bound below a level that reduces throughput, and raises it in steps of
    /// one after further successes.
    fn adjust_to_throughput(&mut self, now: Moment, level: u32) {
        self.since_adjustment += 1;
        let below = self.throughput(now, level.saturating_sub(1));
        let at_level = self.throughput(now, level);
        if let (Some(below), Some(at_level)) = (below, at_level)
            && at_level < below * MIN_THROUGHPUT_RATIO
        {
            self.throughput_limit = level.saturating_sub(1).max(1);
            self.since_adjustment = 0;
        } else if self.since_adjustment >= SUCCESSES_PER_RAISE && self.throughput_limit < self.slots
        {
            self.throughput_limit += 1;
            self.since_adjustment = 0;
            self.reset_level(self.throughput_limit);
        }
    }

    fn reset_level(&mut self, level: u32) {
        if let Some(stats) = self.levels.get_mut(level as usize) {
            *stats = LevelStats::default();
        }
    }

    /// Requests per second at a level, or `None` without enough recent samples.
    fn throughput(&self, now: Moment, level: u32) -> Option<f64> {
        let stats = self.levels.get(level as usize)?;
        let is_known =
            stats.samples >= MIN_LEVEL_SAMPLES && now.since(stats.updated) < LEVEL_MAX_AGE;
        (is_known && stats.mean > 0.0).then(|| f64::from(level) / stats.mean)
    }
}
