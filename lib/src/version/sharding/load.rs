//! Measured load of keys and targets.
//!
//! Keys are counted in buckets of neighbours: busy keys lie side by side, and the state must not
//! follow the number of keys. Entries report what they saw, the leader keeps decaying means.

use crate::version::{
    catalog::{KeySpan, TargetId},
    feed::TargetTraffic,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// Keys of one bucket: 20 busy neighbours need several targets.
pub const KEYS_PER_BUCKET: u32 = 2;
const BUCKET_COUNT: usize = (1 << 16) / KEYS_PER_BUCKET as usize;
/// Span over which the means decay to a third: long enough for a few requests of each target.
const DECAY_TIME: Duration = Duration::from_millis(2_000);
/// Unit at which the rates are written anew, far above what a number cannot hold.
const MIN_UNIT: f64 = 1e-60;
/// Answers a second from which on their mean time says something: two of late.
pub const MIN_RELIABLE_RATE: f64 = 0.8;
/// Weight of a key that was not asked for, in requests a second, so that quiet keys count too.
const IDLE_KEY_RATE: f64 = 0.000_5;

/// What entries saw of one target since their last reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Requests answered in a second.
    pub rate: f64,
    /// Requests under way at a time, waiting ones included.
    pub concurrency: f64,
    /// Requests answered in a second that did not wait.
    pub unqueued_rate: f64,
    /// Those of them that run at a time.
    pub unqueued_concurrency: f64,
}

impl TargetLoad {
    /// Mean time of a request, in seconds; of those that did not wait, if there are some.
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
    rates: Vec<f64>,
    /// What one unit of `rates` is worth now: the rates fade by this alone.
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

    /// Lets the past fade by the time that went by.
    pub fn decay(&mut self, elapsed: Duration) {
        self.unit *= remaining_share(elapsed);
        if self.unit < MIN_UNIT {
            let unit = std::mem::replace(&mut self.unit, 1.0);
            self.rates.iter_mut().for_each(|rate| *rate *= unit);
        }
    }

    /// Counts requests for a bucket.
    pub fn record_requests(&mut self, bucket: u16, requests: u32) {
        if let Some(rate) = self.rates.get_mut(usize::from(bucket)) {
            *rate += f64::from(requests) / DECAY_TIME.as_secs_f64() / self.unit;
        }
    }

    /// Requests a second for the keys of a span, with a little for quiet ones.
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

    /// Cuts a span at the edges of buckets into pieces of at most `most`, where a bucket allows it.
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

    /// Part of a span that lies in a bucket, or the bucket's first key if there is none.
    pub(super) fn bucket_part(&self, span: KeySpan, bucket: usize) -> KeySpan {
        let low = (bucket as u32 * KEYS_PER_BUCKET) as u16;
        let high = (bucket as u32 * KEYS_PER_BUCKET + KEYS_PER_BUCKET - 1) as u16;
        KeySpan {
            first: low.max(span.first),
            last: high.min(span.last),
        }
    }
}

/// Load of the targets of all services.
#[derive(Debug, Clone, Default)]
pub struct TargetLoads {
    loads: BTreeMap<TargetId, TargetLoad>,
}

impl TargetLoads {
    /// Lets the past fade by the time that went by.
    pub fn decay(&mut self, elapsed: Duration) {
        let remaining = remaining_share(elapsed);
        for load in self.loads.values_mut() {
            load.rate *= remaining;
            load.concurrency *= remaining;
            load.unqueued_rate *= remaining;
            load.unqueued_concurrency *= remaining;
        }
    }

    /// Counts what an entry saw of a target.
    pub fn record(&mut self, traffic: &TargetTraffic) {
        let load = self.loads.entry(traffic.id).or_default();
        let window = DECAY_TIME.as_secs_f64();
        load.rate += f64::from(traffic.answers) / window;
        load.concurrency += traffic.total_time.as_secs_f64() / window;
        load.unqueued_rate += f64::from(traffic.unqueued) / window;
        load.unqueued_concurrency += traffic.unqueued_time.as_secs_f64() / window;
    }

    /// Load of a target.
    pub fn get(&self, id: TargetId) -> TargetLoad {
        self.loads.get(&id).copied().unwrap_or_default()
    }

    /// Time that a request takes at a target once it runs, in seconds. Where requests wait, its slots
    /// are all busy, and the rate of the answers tells.
    pub fn service_time(&self, id: TargetId, slots: u32) -> Option<f64> {
        let load = self.get(id);
        let latency = load.latency()?;
        Some(latency.min(f64::from(slots.max(1)) / load.rate))
    }

    /// Forgets the targets that are gone.
    pub fn retain(&mut self, mut is_present: impl FnMut(TargetId) -> bool) {
        self.loads.retain(|id, _| is_present(*id));
    }
}

/// Part of a mean that is left after a time without news.
fn remaining_share(elapsed: Duration) -> f64 {
    (-elapsed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
}

/// Buckets that share a key with a span.
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
