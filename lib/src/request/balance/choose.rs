//! Choice of the pool target that gets a request.
//!
//! Load pattern: targets of different speed that noisy neighbours slow down for short times, and
//! requests of which some take many times as long as others. A free slot goes before a queue, as the
//! rest of what runs in the slots is unknown, and a target that this entry has sent to since its last
//! report comes after others. Then the earliest expected answer counts, but all that are
//! expected well within the latency goal are equal: the fastest targets would otherwise get most
//! requests of all entries. Among equals an open connection counts, then the share of taken slots.
//!
//! A target in another zone is charged for the round trip and for the bandwidth that a large body takes
//! on the links between zones: an upload leaves its zone only if it would wait too long there.
//!
//! Entries that receive the same status would all send to the same target until the next status.
//! The more entries there are, the fewer targets each compares: at least two, sampled anew for each
//! request.

use super::target::TargetModel;
use crate::{moment::Moment, version::catalog::TargetId};
use std::time::Duration;

/// Length up to which a body leaves its zone for a free slot.
const MAX_SHORT_BODY: u64 = 8 << 10;
/// Share of the latency goal up to which expected answers are equally good.
const EQUAL_SHARE: f64 = 0.7;

/// Number of entries up to which each compares all targets without overloading one: the requests
/// that they send before the next status fill the slots of only a few targets.
const MAX_ENTRIES_FULL_SAMPLE: usize = 8;
/// Minimum number of targets compared; two already remove most of the imbalance.
const MIN_SAMPLE_SIZE: usize = 2;

/// Number of targets out of `targets` that each of `entries` compares. It falls with the square of the
/// entries: all of them see the same reports, and with larger samples all choose the same few targets.
pub fn sample_size(targets: usize, entries: u32) -> usize {
    let entries = usize::try_from(entries).unwrap_or(usize::MAX);
    let entries = entries.clamp(MAX_ENTRIES_FULL_SAMPLE, 1 << 16);
    (targets * MAX_ENTRIES_FULL_SAMPLE * MAX_ENTRIES_FULL_SAMPLE / (entries * entries))
        .max(MIN_SAMPLE_SIZE)
        .min(targets)
}

/// Number of targets out of `targets` over which an entry judges how full a zone is. More than it
/// compares for one request: with two, chance alone made its zone look full, and shares swung.
pub fn outlook_size(targets: usize, entries: u32) -> usize {
    let entries = usize::try_from(entries).unwrap_or(usize::MAX);
    (targets * MAX_ENTRIES_FULL_SAMPLE / entries.max(MAX_ENTRIES_FULL_SAMPLE))
        .max(MIN_SAMPLE_SIZE)
        .min(targets)
}

/// Request that needs a target.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// Length of its body, 0 if unknown.
    pub body_bytes: u64,
    /// Time by which a target of another zone is taken to answer later.
    pub hop_cost: Duration,
    /// Latency goal.
    pub goal: Duration,
    /// Work over that of the mean request of its service.
    pub work: f64,
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
    /// Time to set up a connection to it; zero if one is open.
    pub connect_time: Duration,
}

impl Candidate<'_> {
    /// Expected service time of the request.
    fn service_time(&self, now: Moment, demand: Demand) -> Duration {
        self.model.service_time(now).mul_f64(demand.work)
    }

    /// Expected time until the answer.
    fn end(&self, now: Moment, demand: Demand) -> Duration {
        self.model.wait(now) + self.service_time(now, demand) + self.connect_time
    }

    /// Orders targets of one zone.
    fn rank(&self, now: Moment, demand: Demand) -> impl Ord + use<> {
        let taken = self.model.taken_share(now);
        // The more slots are taken, the likelier it is that requests of other entries have taken the
        // rest since the last report.
        let crowding = self.service_time(now, demand).mul_f64(taken);
        let end = self.end(now, demand) + crowding;
        (
            self.model.is_avoided(now),
            !self.model.has_free_slot(now),
            self.model.awaits_report(),
            end.max(demand.goal.mul_f64(EQUAL_SHARE)),
            self.connect_time,
            (taken * 1_000.0) as u64,
        )
    }
}

/// Returns the candidate that is expected to answer first or early enough, preferring those that did
/// not fail recently and those with a free slot.
pub fn choose<'a>(
    now: Moment,
    demand: Demand,
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> Option<Candidate<'a>> {
    let (own, other): (Vec<_>, Vec<_>) = candidates.partition(|candidate| candidate.same_zone);
    let best = |zone: Vec<Candidate<'a>>| zone.into_iter().min_by_key(|c| c.rank(now, demand));
    let (own, other) = match (best(own), best(other)) {
        (Some(own), Some(other)) => (own, other),
        (own, other) => return own.or(other),
    };
    // A queue in the own zone is compared with a free slot by its time alone if the body is long.
    let is_short = demand.body_bytes <= MAX_SHORT_BODY;
    let are_free = own.model.has_free_slot(now) && other.model.has_free_slot(now);
    let equal = match are_free {
        true => demand.goal.mul_f64(EQUAL_SHARE),
        false => Duration::ZERO,
    };
    let cost = |candidate: &Candidate<'_>, distance| {
        let end = candidate.end(now, demand).max(equal);
        let is_full = is_short && !candidate.model.has_free_slot(now);
        (candidate.model.is_avoided(now), is_full, end + distance)
    };
    match cost(&own, Duration::ZERO) <= cost(&other, demand.hop_cost) {
        true => Some(own),
        false => Some(other),
    }
}
