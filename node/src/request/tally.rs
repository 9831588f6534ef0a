//! Load of the ranges that this entry sends for, as it is reported to the leader.

use cornelrail_lib::{
    key::{KeyHash, KeyRange},
    moment::Moment,
    name::Service,
    version::report::{Peak, RangeLoad},
};
use std::{collections::BTreeMap, time::Duration};

/// Shortest span over which a rate is measured.
const SPAN: Duration = Duration::from_secs(1);
/// Part of the way that a reported rate goes towards the one measured last.
const GAIN: f64 = 0.2;
/// Requests a second below which a range is not reported.
const LEAST_RATE: f64 = 0.05;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RangeId {
    service: Service,
    range: KeyRange,
}

/// Arrivals in one range, with the key that has the majority if one has (Boyer and Moore, 1981).
#[derive(Debug)]
struct Count {
    arrivals: u64,
    candidate: KeyHash,
    votes: u64,
}

impl Count {
    fn arrive(&mut self, hash: KeyHash) {
        self.arrivals += 1;
        if self.candidate == hash {
            self.votes += 1;
        } else if self.votes == 0 {
            self.candidate = hash;
            self.votes = 1;
        } else {
            self.votes -= 1;
        }
    }
}

/// Rate of a range, smoothed so that noise moves no ranges, and its busiest key of late.
#[derive(Debug, Default)]
struct Level {
    rate: f64,
    peak: Option<Peak>,
}

/// Arrivals since the last report, and the smoothed rates.
#[derive(Debug, Default)]
pub(super) struct Tally {
    counts: BTreeMap<RangeId, Count>,
    levels: BTreeMap<RangeId, Level>,
    since: Moment,
}

impl Tally {
    /// Counts one arrival.
    pub(super) fn count(&mut self, now: Moment, service: &Service, range: KeyRange, hash: KeyHash) {
        if self.counts.is_empty() && self.levels.is_empty() {
            self.since = now;
        }
        let id = RangeId {
            service: service.clone(),
            range,
        };
        let count = self.counts.entry(id).or_insert(Count {
            arrivals: 0,
            candidate: hash,
            votes: 0,
        });
        count.arrive(hash);
    }

    /// Takes the loads of the ranges that are `own` still, once they have been measured for long
    /// enough.
    pub(super) fn take(
        &mut self,
        now: Moment,
        own: impl Fn(&Service, KeyRange) -> bool,
    ) -> Vec<RangeLoad> {
        let span = now.since(self.since);
        if span < SPAN {
            return Vec::new();
        }
        let seconds = span.as_secs_f64();
        let counts = std::mem::take(&mut self.counts);
        let mut levels = std::mem::take(&mut self.levels);
        for level in levels.values_mut() {
            level.rate *= 1.0 - GAIN;
            level.peak = None;
        }
        for (id, count) in counts {
            let rate = count.arrivals as f64 / seconds;
            let peak = Peak {
                hash: count.candidate,
                rate: count.votes as f64 / seconds,
            };
            let known = levels.contains_key(&id);
            let level = levels.entry(id).or_default();
            level.rate += if known { GAIN * rate } else { rate };
            level.peak = Some(peak);
        }
        levels.retain(|id, level| level.rate > LEAST_RATE && own(&id.service, id.range));
        self.levels = levels;
        self.since = now;
        self.levels.iter().map(load).collect()
    }
}

fn load((id, level): (&RangeId, &Level)) -> RangeLoad {
    RangeLoad {
        service: id.service.clone(),
        range: id.range,
        rate: level.rate,
        slow_ms: 0.0,
        peak: level.peak,
    }
}
