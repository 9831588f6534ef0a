//! Which target of a pool gets a request.
//!
//! Load pattern: targets of different speed whose neighbours slow them for moments. The one that is
//! expected to answer first gets the request; another zone costs its way there and back.

use super::target::TargetModel;
use crate::{moment::Moment, version::catalog::TargetId};
use std::time::Duration;

/// Time that an answer from another zone takes longer, with what its bytes cost.
const ZONE_COST: Duration = Duration::from_millis(6);

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

/// The target that is expected to answer first. One that failed of late comes last.
pub fn choose<'a>(now: Moment, choices: impl Iterator<Item = Choice<'a>>) -> Option<Choice<'a>> {
    let cost = |choice: &Choice<'_>| {
        let end = choice.model.wait(now) + choice.model.work(now);
        let far = if choice.near {
            Duration::ZERO
        } else {
            ZONE_COST
        };
        (choice.model.is_paused(now), end + far)
    };
    choices.min_by_key(cost)
}
