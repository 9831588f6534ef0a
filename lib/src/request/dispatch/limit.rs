//! Concurrency limit of one target.
//!
//! Three bounds hold at once: the slots that the target announced (or this entry's share of them), a
//! ramp that starts at one request in flight and grows by successes, and the level at which more
//! concurrency stops raising the throughput.

use crate::{connection::order::Warmth, moment::Moment};
use std::time::Duration;

/// Successes for each request of the present ramp before it grows.
const RAMP_SUCCESSES_PER_UNIT: u32 = 4;
/// Successes after which a target that still calls itself cold is no longer believed.
const MAX_COLD_SUCCESSES: u32 = 64;
/// Weight of the latest latency in the mean of its level.
const MIN_SAMPLE_WEIGHT: f64 = 0.04;
/// Age after which the mean of a level no longer counts.
const LEVEL_MAX_AGE: Duration = Duration::from_secs(5);
/// Latencies of a level before its mean counts.
const MIN_LEVEL_SAMPLES: u32 = 30;
/// Throughput of a level, as a share of that of the level below, under which it is given up.
const MIN_THROUGHPUT_RATIO: f64 = 0.8;
/// Successes after which a level that was given up is tried again.
const SUCCESSES_PER_RAISE: u32 = 50;
/// Highest level whose latency is followed.
const LEVEL_COUNT: usize = 64;

#[derive(Debug, Clone, Default)]
struct LevelStats {
    mean: f64,
    samples: u32,
    updated: Moment,
}

/// Limit of one life of a target.
#[derive(Debug)]
pub(super) struct ConcurrencyLimit {
    slots: u32,
    ramp: u32,
    successes: u32,
    total_successes: u32,
    throughput_limit: u32,
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

    /// Takes in a change of the announced slots or of the target's own account of its warmth.
    pub(super) fn update(&mut self, slots: u32, warmth: Warmth) {
        self.slots = slots.max(1);
        self.warmth = warmth;
    }

    /// Requests that may be in flight now.
    pub(super) fn current(&self) -> u32 {
        let cold = self.warmth == Warmth::Cold && self.total_successes < MAX_COLD_SUCCESSES;
        match cold {
            true => 1,
            false => self.slots.min(self.ramp).min(self.throughput_limit).max(1),
        }
    }

    /// A request that was one of `level` in flight was answered after `latency`.
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

    /// The target turned a request away: it bears less than was thought.
    pub(super) fn record_shed(&mut self, level: u32) {
        self.successes = 0;
        self.ramp = level.saturating_sub(1).clamp(1, self.ramp);
    }

    /// A request failed while it may have run.
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

    /// Gives up a level that adds no throughput, and tries it again after a while.
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

    /// Requests a second at a level, if enough was seen of late.
    fn throughput(&self, now: Moment, level: u32) -> Option<f64> {
        let stats = self.levels.get(level as usize)?;
        let is_known =
            stats.samples >= MIN_LEVEL_SAMPLES && now.since(stats.updated) < LEVEL_MAX_AGE;
        (is_known && stats.mean > 0.0).then(|| f64::from(level) / stats.mean)
    }
}
