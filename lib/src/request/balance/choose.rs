//! Choice of the pool target that gets a request.
//!
//! Load pattern: targets of different speed that noisy neighbours slow down for short times. The
//! request goes to the target with the earliest expected answer. A target in another zone is
//! charged for the round trip and for the bandwidth that a large body takes on the links between
//! zones: an upload leaves its zone only if it would wait too long there.
//!
//! Entries that receive the same status would all send to the same target until the next status.
//! The more entries there are, the fewer targets each compares: at least two, sampled anew for each
//! request.

use super::target::TargetModel;
use crate::{moment::Moment, version::catalog::TargetId};
use std::time::Duration;

/// Number of entries up to which each compares all targets without overloading one: the requests
/// that they send before the next status fill the slots of only a few targets.
const MAX_ENTRIES_FULL_SAMPLE: usize = 8;
/// Minimum number of targets compared; two already remove most of the imbalance.
const MIN_SAMPLE_SIZE: usize = 2;

/// Number of targets out of `targets` that each of `entries` compares.
pub fn sample_size(targets: usize, entries: u32) -> usize {
    let entries = usize::try_from(entries).unwrap_or(usize::MAX);
    (targets * MAX_ENTRIES_FULL_SAMPLE / entries.max(MAX_ENTRIES_FULL_SAMPLE))
        .max(MIN_SAMPLE_SIZE)
        .min(targets)
}

/// Target that may get the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Number of the target.
    pub id: TargetId,
    /// Estimate of its load and latency.
    pub model: &'a TargetModel,
    /// Whether it runs in the zone of this entry.
    pub same_zone: bool,
}

/// Returns the candidate that is expected to answer first, preferring those that did not fail
/// recently. A candidate in another zone answers later by `hop_cost`.
pub fn choose<'a>(
    now: Moment,
    hop_cost: Duration,
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> Option<Candidate<'a>> {
    let cost = |candidate: &Candidate<'_>| {
        let end = candidate.model.wait(now) + candidate.model.service_time(now);
        let distance = if candidate.same_zone {
            Duration::ZERO
        } else {
            hop_cost
        };
        (candidate.model.is_avoided(now), end + distance)
    };
    candidates.min_by_key(cost)
}
