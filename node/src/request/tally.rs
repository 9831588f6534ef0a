//! Load of the ranges that this entry sends for, as it is reported to the leader.

use cornelrail_lib::{
    key::{KeyHash, KeyRange},
    moment::Moment,
    name::Service,
    version::report::{BusiestKey, RangeLoad},
};
use std::{collections::BTreeMap, time::Duration};

/// Shortest span over which a rate is measured.
const SPAN: Duration = Duration::from_secs(1);

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

/// Arrivals since the last report.
#[derive(Debug, Default)]
pub(super) struct Tally {
    counts: BTreeMap<RangeId, Count>,
    since: Moment,
}

impl Tally {
    /// Counts one arrival.
    pub(super) fn count(&mut self, now: Moment, service: &Service, range: KeyRange, hash: KeyHash) {
        if self.counts.is_empty() {
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

    /// Takes the loads, once they have been measured for long enough.
    pub(super) fn take(&mut self, now: Moment) -> Vec<RangeLoad> {
        let span = now.since(self.since);
        if span < SPAN {
            return Vec::new();
        }
        let seconds = span.as_secs_f64();
        let counts = std::mem::take(&mut self.counts);
        counts
            .into_iter()
            .map(|(id, count)| RangeLoad {
                service: id.service,
                range: id.range,
                rate: count.arrivals as f64 / seconds,
                p95_ms: 0.0,
                busiest_key: Some(BusiestKey {
                    hash: count.candidate,
                    rate: count.votes as f64 / seconds,
                }),
            })
            .collect()
    }
}
