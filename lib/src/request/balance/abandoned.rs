//! Bounds how many answers an entry reads although their callers have left.
//!
//! Load pattern: a target that is overloaded answers late, and callers leave because of it. What such
//! an answer says of the target, that it wants a pause, leaves or has a limit, holds for all requests
//! of this entry, so it must not be lost with the caller that it was for. A target that never
//! answers must not make an entry keep connections for callers that come and go.

use crate::version::catalog::TargetId;
use std::{collections::HashMap, time::Duration};

/// Time for which an answer is awaited after its caller has left.
pub const ABANDONED_TIME: Duration = Duration::from_secs(2);
/// Answers awaited from one target. Any of them may bring the news.
const MAX_PER_TARGET: usize = 16;
/// Answers awaited from all targets together. A connection holds some 16 KiB of buffers.
const MAX_TOTAL: usize = 128;

/// Answers that are awaited although their callers have left.
#[derive(Debug, Default)]
pub struct AbandonedAnswers {
    awaited: HashMap<TargetId, usize>,
    total: usize,
}

impl AbandonedAnswers {
    /// Whether one more answer of a target may be awaited; counts it if so.
    pub fn begin(&mut self, id: TargetId) -> bool {
        let awaited = self.awaited.get(&id).copied().unwrap_or_default();
        let has_room = awaited < MAX_PER_TARGET && self.total < MAX_TOTAL;
        if has_room {
            self.awaited.insert(id, awaited + 1);
            self.total += 1;
        }
        has_room
    }

    /// Records that an answer is awaited no more.
    pub fn end(&mut self, id: TargetId) {
        let Some(awaited) = self.awaited.get_mut(&id) else {
            return;
        };
        *awaited -= 1;
        if *awaited == 0 {
            self.awaited.remove(&id);
        }
        self.total -= 1;
    }
}
