//! Measured load of keys and targets, from the traffic that entries report to the leader.
//!
//! Load pattern: busy keys are adjacent. Requests are counted per bucket of adjacent keys, so that
//! the size of the state does not depend on the number of keys in use. All rates are means with
//! exponential decay.
//!
//! The speed of a target is what it says of itself, as it is known before the target has answered
//! a request. Neighbours slow a target down for moments, so the least of its first figures counts.

use crate::version::{
    catalog::{KeySpan, TargetId},
    feed::TargetTraffic,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// Keys in one bucket; few, because 20 adjacent busy keys must be spread over several targets.
pub const KEYS_PER_BUCKET: u32 = 2;
const BUCKET_COUNT: usize = (1 << 16) / KEYS_PER_BUCKET as usize;
/// Time in which the means decay to about a third (1/e): long enough to cover a few requests of
/// each target.
const DECAY_TIME: Duration = Duration::from_millis(2_000);
/// Value of [`KeyLoad::unit`] below which the rates are rescaled, long before `f64` underflows.
const MIN_UNIT: f64 = 1e-60;
/// Answers per second from which their mean time is meaningful; corresponds to two recent answers.
pub const MIN_RELIABLE_RATE: f64 = 0.8;
/// Base weight of every key in requests per second, so that keys without requests count too.
const IDLE_KEY_RATE: f64 = 0.000_5;

/// Recent load of one target, as all entries together saw it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Answered requests per second.
    pub rate: f64,
    /// Mean number of concurrent requests, including those in the target's queue.
    pub concurrency: f64,
    /// Answered requests per second whose answer reported an empty queue at the target.
    pub unqueued_rate: f64,
    /// Mean number of concurrent requests among those.
    pub unqueued_concurrency: f64,
}

impl TargetLoad {
    /// Mean time of a request in seconds; of the requests without a queue, if there are enough of
    /// them.
    pub fn latency(&self) -> Option<f64> {
        if self.unqueued_rate >= MIN_RELIABLE_RATE {
            return Some(self.unqueued_concurrency / self.unqueued_rate);
        }
        (self.rate > 0.0).then(|| self.concurrency / self.rate)
    }
}

/// Load of the keys of one service.
#[derive(Debug, Clone)]
pub struct KeyLoad {
    /// Requests per second of each bucket, in multiples of `unit`.
    rates: Vec<f64>,
    /// Factor of all `rates`. Decay changes only this factor, not each rate.
    unit: f64,
}

impl Default for KeyLoad {
    fn default() -> Self {
        KeyLoad {
            rates: vec![0.0; BUCKET_COUNT],
            unit: 1.0,
        }
    }
}

impl KeyLoad {
    /// Bucket of a key.
    pub fn bucket(key: u16) -> u16 {
        (u32::from(key) / KEYS_PER_BUCKET) as u16
    }

    /// Decays the rates by the time elapsed since the last call.
    pub fn decay(&mut self, elapsed: Duration) {
        self.unit *= remaining_share(elapsed);
        if self.unit < MIN_UNIT {
            let unit = std::mem::replace(&mut self.unit, 1.0);
            self.rates.iter_mut().for_each(|rate| *rate *= unit);
        }
    }

    /// Adds requests for the keys of a bucket.
    pub fn record_requests(&mut self, bucket: u16, requests: u32) {
        if let Some(rate) = self.rates.get_mut(usize::from(bucket)) {
            *rate += f64::from(requests) / DECAY_TIME.as_secs_f64() / self.unit;
        }
    }

    /// Requests per second for the keys of a span, plus a small base weight for each key.
    pub fn weight(&self, span: KeySpan) -> f64 {
        let buckets = bucket_range(span);
        let measured: f64 = buckets
            .map(|bucket| self.rates[bucket] * overlap_share(span, bucket))
            .sum();
        measured * self.unit + IDLE_KEY_RATE * f64::from(span.width())
    }

    /// Weight of all keys.
    pub fn total(&self) -> f64 {
        self.weight(KeySpan::FULL)
    }

    /// Splits a span at bucket boundaries into pieces of at most `max_weight`. A single bucket may
    /// exceed it.
    pub fn split(&self, span: KeySpan, max_weight: f64) -> Vec<KeySpan> {
        let mut pieces = Vec::new();
        let mut first = u32::from(span.first);
        let mut weight = 0.0;
        for bucket in bucket_range(span) {
            let part = self.bucket_part(span, bucket);
            let added = self.weight(part);
            if weight > 0.0 && weight + added > max_weight {
                let last = u32::from(part.first) - 1;
                pieces.extend(KeySpan::new(first as u16, last as u16));
                first = u32::from(part.first);
                weight = 0.0;
            }
            weight += added;
        }
        pieces.extend(KeySpan::new(first as u16, span.last));
        pieces
    }

    /// Part of a span that lies in a bucket; the bucket must share a key with the span.
    pub(super) fn bucket_part(&self, span: KeySpan, bucket: usize) -> KeySpan {
        let low = (bucket as u32 * KEYS_PER_BUCKET) as u16;
        let high = (bucket as u32 * KEYS_PER_BUCKET + KEYS_PER_BUCKET - 1) as u16;
        KeySpan {
            first: low.max(span.first),
            last: high.min(span.last),
        }
    }
}

/// Figures of a target that are too few for a mean.
const FIRST_FIGURES: u32 = 4;
/// Weight of the latest figure in the moving average.
const FIGURE_WEIGHT: f64 = 1.0 / 32.0;
/// Bounds of a slowness; a figure beyond them is taken for a moment's.
const SLOWNESS: std::ops::RangeInclusive<f64> = 0.25..=4.0;

/// How long work takes at a target, as a multiple of the usual time.
#[derive(Debug, Clone, Copy)]
struct Slowness {
    mean: f64,
    figures: u32,
}

/// Load of the targets of all services.
#[derive(Debug, Clone, Default)]
pub struct TargetLoads {
    loads: BTreeMap<TargetId, TargetLoad>,
    slowness: BTreeMap<TargetId, Slowness>,
}

impl TargetLoads {
    /// Decays the loads by the time elapsed since the last call.
    pub fn decay(&mut self, elapsed: Duration) {
        let remaining = remaining_share(elapsed);
        for load in self.loads.values_mut() {
            load.rate *= remaining;
            load.concurrency *= remaining;
            load.unqueued_rate *= remaining;
            load.unqueued_concurrency *= remaining;
        }
    }

    /// Adds the answers of a target that an entry reported.
    pub fn record(&mut self, traffic: &TargetTraffic) {
        let load = self.loads.entry(traffic.id).or_default();
        let window = DECAY_TIME.as_secs_f64();
        load.rate += f64::from(traffic.answers) / window;
        load.concurrency += traffic.total_time.as_secs_f64() / window;
        load.unqueued_rate += f64::from(traffic.unqueued) / window;
        load.unqueued_concurrency += traffic.unqueued_time.as_secs_f64() / window;
    }

    /// Records how long work takes at a target now, in percent of the usual time.
    pub fn record_latency(&mut self, id: TargetId, percent: u32) {
        let figure = f64::from(percent) / 100.0;
        let figure = figure.clamp(*SLOWNESS.start(), *SLOWNESS.end());
        let known = self.slowness.entry(id).or_insert(Slowness {
            mean: figure,
            figures: 0,
        });
        known.figures = known.figures.saturating_add(1);
        known.mean = match known.figures <= FIRST_FIGURES {
            true => known.mean.min(figure),
            false => known.mean * (1.0 - FIGURE_WEIGHT) + figure * FIGURE_WEIGHT,
        };
    }

    /// How long work takes at a target, as a multiple of the usual time; 1 if it is not known.
    pub fn slowness(&self, id: TargetId) -> f64 {
        self.slowness.get(&id).map_or(1.0, |known| known.mean)
    }

    /// Recent load of a target; zero if it has not answered.
    pub fn get(&self, id: TargetId) -> TargetLoad {
        self.loads.get(&id).copied().unwrap_or_default()
    }

    /// Service time of a target in seconds: how long a request runs there, without its time in the
    /// queue. While requests wait, all slots are busy, so the rate of the answers gives an upper
    /// bound.
    pub fn service_time(&self, id: TargetId, slots: u32) -> Option<f64> {
        let load = self.get(id);
        let latency = load.latency()?;
        Some(latency.min(f64::from(slots.max(1)) / load.rate))
    }

    /// Drops the loads of targets for which `is_present` is false.
    pub fn retain(&mut self, mut is_present: impl FnMut(TargetId) -> bool) {
        self.loads.retain(|id, _| is_present(*id));
        self.slowness.retain(|id, _| is_present(*id));
    }
}

/// Share of a mean that remains after a time without new requests.
fn remaining_share(elapsed: Duration) -> f64 {
    (-elapsed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
}

/// Buckets that have a key in common with a span.
pub(super) fn bucket_range(span: KeySpan) -> std::ops::RangeInclusive<usize> {
    let bucket_of = |key: u16| usize::from(KeyLoad::bucket(key));
    bucket_of(span.first)..=bucket_of(span.last)
}

/// Share of a bucket's keys that lie in a span.
fn overlap_share(span: KeySpan, bucket: usize) -> f64 {
    let low = bucket as u32 * KEYS_PER_BUCKET;
    let high = low + KEYS_PER_BUCKET - 1;
    let first = low.max(u32::from(span.first));
    let last = high.min(u32::from(span.last));
    f64::from((last + 1).saturating_sub(first)) / f64::from(KEYS_PER_BUCKET)
}
