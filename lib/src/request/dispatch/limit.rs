//! Concurrency limit of one target.
//!
//! Three bounds hold at once: the slots that the target announced (or this entry's share of them), a
//! ramp that starts at one request in flight and grows by successes, and the level at which more
//! concurrency stops raising the throughput.

use crate::{connection::order::Warmth, moment::Moment};
use std::time::Duration;

/// Successes for each request of the present ramp before it grows.
const RAMP_SUCCESSES: u32 = 4;
/// Successes after which a target that still calls itself cold is no longer believed.
const COLD_SUCCESSES: u32 = 64;
/// Weight of the latest latency in the mean of its level.
const LEVEL_WEIGHT: f64 = 0.04;
/// Age after which the mean of a level no longer counts.
const LEVEL_LIFE: Duration = Duration::from_secs(5);
/// Latencies of a level before its mean counts.
const LEVEL_SAMPLES: u32 = 30;
/// Throughput of a level, as a share of that of the level below, under which it is given up.
const LEVEL_GAIN: f64 = 0.8;
/// Successes after which a level that was given up is tried again.
const RETRY_SUCCESSES: u32 = 50;
/// Highest level whose latency is followed.
const MAX_LEVELS: usize = 64;

#[derive(Debug, Clone, Default)]
struct Level {
    mean: f64,
    samples: u32,
    at: Moment,
}

/// Limit of one life of a target.
#[derive(Debug)]
pub(super) struct Limit {
    cap: u32,
    ramp: u32,
    streak: u32,
    total: u32,
    gradient: u32,
    since_cut: u32,
    warmth: Warmth,
    levels: Vec<Level>,
}

impl Limit {
    /// Limit that starts at one request and never exceeds `cap`.
    pub(super) fn new(cap: u32, warmth: Warmth) -> Self {
        Limit {
            cap: cap.max(1),
            ramp: 1,
            streak: 0,
            total: 0,
            gradient: u32::MAX,
            since_cut: 0,
            warmth,
            levels: Vec::new(),
        }
    }

    /// Takes in a change of the announced slots or of the target's own account of its warmth.
    pub(super) fn update(&mut self, cap: u32, warmth: Warmth) {
        self.cap = cap.max(1);
        self.warmth = warmth;
    }

    /// Requests that may be in flight now.
    pub(super) fn current(&self) -> u32 {
        let cold = self.warmth == Warmth::Cold && self.total < COLD_SUCCESSES;
        match cold {
            true => 1,
            false => self.cap.min(self.ramp).min(self.gradient).max(1),
        }
    }

    /// A request that was one of `level` in flight was answered after `latency`.
    pub(super) fn succeeded(&mut self, now: Moment, level: u32, latency: Duration) {
        self.total = self.total.saturating_add(1);
        self.streak += 1;
        let cold = self.warmth == Warmth::Cold && self.total < COLD_SUCCESSES;
        if !cold && self.streak >= self.ramp * RAMP_SUCCESSES && self.ramp < self.cap {
            self.ramp += (self.ramp / 2).max(1);
            self.streak = 0;
        }
        self.observe(now, level, latency);
        self.adapt(now, level);
    }

    /// The target turned a request away: it bears less than was thought.
    pub(super) fn shed(&mut self, level: u32) {
        self.streak = 0;
        self.ramp = level.saturating_sub(1).clamp(1, self.ramp);
    }

    /// A request failed while it may have run.
    pub(super) fn failed(&mut self) {
        self.streak = 0;
    }

    fn observe(&mut self, now: Moment, level: u32, latency: Duration) {
        let index = level as usize;
        if index >= MAX_LEVELS {
            return;
        }
        if self.levels.len() <= index {
            self.levels.resize(index + 1, Level::default());
        }
        let entry = &mut self.levels[index];
        let value = latency.as_secs_f64();
        if now.since(entry.at) >= LEVEL_LIFE {
            *entry = Level::default();
        }
        entry.samples = entry.samples.saturating_add(1);
        let weight = LEVEL_WEIGHT.max(1.0 / f64::from(entry.samples));
        entry.mean += (value - entry.mean) * weight;
        entry.at = now;
    }

    /// Gives up a level that adds no throughput, and tries it again after a while.
    fn adapt(&mut self, now: Moment, level: u32) {
        self.since_cut += 1;
        let below = self.throughput(now, level.saturating_sub(1));
        let here = self.throughput(now, level);
        if let (Some(below), Some(here)) = (below, here)
            && here < below * LEVEL_GAIN
        {
            self.gradient = level.saturating_sub(1).max(1);
            self.since_cut = 0;
        } else if self.since_cut >= RETRY_SUCCESSES && self.gradient < self.cap {
            self.gradient += 1;
            self.since_cut = 0;
            self.forget(self.gradient);
        }
    }

    fn forget(&mut self, level: u32) {
        if let Some(entry) = self.levels.get_mut(level as usize) {
            *entry = Level::default();
        }
    }

    /// Requests a second at a level, if enough was seen of late.
    fn throughput(&self, now: Moment, level: u32) -> Option<f64> {
        let entry = self.levels.get(level as usize)?;
        let known = entry.samples >= LEVEL_SAMPLES && now.since(entry.at) < LEVEL_LIFE;
        (known && entry.mean > 0.0).then(|| f64::from(level) / entry.mean)
    }
}
