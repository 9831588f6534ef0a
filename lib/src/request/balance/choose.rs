//! Which target of a pool gets a request.
//!
//! Load pattern: targets of different speed whose neighbours slow them for moments. The one that is
//! expected to answer first gets the request. Another zone costs its way there and back, and what a
//! large body takes from the links between zones: an upload leaves its zone only where it would
//! wait there.
//!
//! Many entries that hear the same news would all send to the same target until the next news, so
//! each looks at fewer targets the more entries there are: at two at least, drawn anew each time.

use super::target::TargetModel;
use crate::{moment::Moment, version::catalog::TargetId};
use std::time::Duration;

/// Time that an answer from another zone takes longer.
const CROSS_ZONE_LATENCY: Duration = Duration::from_millis(6);
/// Time that a KiB between zones is worth waiting for: a body of 60 KiB waits for one of its own
/// zone's targets for about as long as it runs.
const CROSS_ZONE_COST_PER_KIB: Duration = Duration::from_micros(1_300);
/// Longest wait for the sake of the links.
const MAX_BODY_COST: Duration = Duration::from_millis(120);

/// Entries that can look at all targets and do not crowd one: the requests that they send before the
/// next news fill the slots of a few targets.
const MAX_ENTRIES_FULL_SAMPLE: usize = 8;
/// Fewest targets looked at; two take most of the unevenness away.
const MIN_SAMPLE_SIZE: usize = 2;

/// Targets out of `targets` that one of `entries` looks at.
pub fn sample_size(targets: usize, entries: u32) -> usize {
    let entries = usize::try_from(entries).unwrap_or(usize::MAX);
    (targets * MAX_ENTRIES_FULL_SAMPLE / entries.max(MAX_ENTRIES_FULL_SAMPLE))
        .max(MIN_SAMPLE_SIZE)
        .min(targets)
}

/// A target that may get the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The target.
    pub id: TargetId,
    /// What is believed of it.
    pub model: &'a TargetModel,
    /// Whether it is in the entry's own zone.
    pub same_zone: bool,
}

/// The target that is expected to answer a request of so many bytes first. One that failed of late comes last.
pub fn choose<'a>(
    now: Moment,
    body_bytes: u64,
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> Option<Candidate<'a>> {
    let body_cost = CROSS_ZONE_COST_PER_KIB
        * u32::try_from(body_bytes >> 10)
            .unwrap_or(u32::MAX)
            .min(1 << 10);
    let zone_cost = CROSS_ZONE_LATENCY + body_cost.min(MAX_BODY_COST);
    let cost = |candidate: &Candidate<'_>| {
        let end = candidate.model.wait(now) + candidate.model.service_time(now);
        let distance = if candidate.same_zone {
            Duration::ZERO
        } else {
            zone_cost
        };
        (candidate.model.is_backing_off(now), end + distance)
    };
    candidates.min_by_key(cost)
}
