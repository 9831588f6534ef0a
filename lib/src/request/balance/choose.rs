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
const ZONE_COST: Duration = Duration::from_millis(6);
/// Time that a KiB between zones is worth waiting for: a body of 60 KiB waits for one of its own
/// zone's targets for about as long as it runs.
const KIB_COST: Duration = Duration::from_micros(1_300);
/// Longest wait for the sake of the links.
const MOST_COST: Duration = Duration::from_millis(120);

/// Entries that can look at all targets and do not crowd one: the requests that they send before the
/// next news fill the slots of a few targets.
const CROWD: usize = 8;
/// Fewest targets looked at; two take most of the unevenness away.
const FEWEST: usize = 2;

/// Targets out of `targets` that one of `entries` looks at.
pub fn sample(targets: usize, entries: u32) -> usize {
    let entries = usize::try_from(entries).unwrap_or(usize::MAX);
    (targets * CROWD / entries.max(CROWD))
        .max(FEWEST)
        .min(targets)
}

/// A target that may get the request.
#[derive(Debug, Clone, Copy)]
pub struct Choice<'a> {
    /// The target.
    pub id: TargetId,
    /// What is believed of it.
    pub model: &'a TargetModel,
    /// Whether it is in the entry's own zone.
    pub near: bool,
}

/// The target that is expected to answer a request of so many bytes first. One that failed of late comes last.
pub fn choose<'a>(
    now: Moment,
    bytes: u64,
    choices: impl Iterator<Item = Choice<'a>>,
) -> Option<Choice<'a>> {
    let body = KIB_COST * u32::try_from(bytes >> 10).unwrap_or(u32::MAX).min(1 << 10);
    let zone = ZONE_COST + body.min(MOST_COST);
    let cost = |choice: &Choice<'_>| {
        let end = choice.model.wait(now) + choice.model.work(now);
        let far = if choice.near { Duration::ZERO } else { zone };
        (choice.model.is_paused(now), end + far)
    };
    choices.min_by_key(cost)
}
