//! What becomes of a request that no target answers.

use serde::{Deserialize, Serialize};
use std::{fmt, time::Duration};

/// Whether a refused request can have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Certainty {
    /// No byte of it reached a target, or the target said that it did not run it.
    NotRun,
    /// A target may have run it.
    Unknown,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The request itself is at fault: no key, a bad header, a body too long.
    BadRequest,
    /// No such service.
    NoService,
    /// The key has no owner at this moment.
    NoOwner,
    /// This entry cannot confirm that its state is current.
    Stale,
    /// The queue is full, or the request could not finish in time.
    Overload,
    /// The deadline passed.
    Deadline,
    /// The target failed while it may have run the request.
    TargetFailed,
    /// The entry that commands the target failed.
    EntryFailed,
    /// The same once-only request runs or ran, and its outcome is not known here.
    Repeated,
    /// The request crashed targets before.
    Quarantined,
    /// The entry is shutting down.
    Shutdown,
    /// The records of once-only requests cannot be reached.
    NoRecord,
}

impl RefusalReason {
    /// Name in headers and logs.
    pub fn name(self) -> &'static str {
        match self {
            RefusalReason::BadRequest => "bad-request",
            RefusalReason::NoService => "no-service",
            RefusalReason::NoOwner => "no-owner",
            RefusalReason::Stale => "stale",
            RefusalReason::Overload => "overload",
            RefusalReason::Deadline => "deadline",
            RefusalReason::TargetFailed => "target-failed",
            RefusalReason::EntryFailed => "entry-failed",
            RefusalReason::Repeated => "repeated",
            RefusalReason::Quarantined => "quarantined",
            RefusalReason::Shutdown => "shutdown",
            RefusalReason::NoRecord => "no-record",
        }
    }

    /// HTTP status of the refusal, given its certainty.
    pub fn status(self, certainty: Certainty) -> u16 {
        match (self, certainty) {
            (RefusalReason::BadRequest, _) => 400,
            (RefusalReason::NoService, _) => 404,
            (RefusalReason::Repeated, _) => 409,
            (RefusalReason::Quarantined, _) => 422,
            (_, Certainty::NotRun) => 503,
            (_, Certainty::Unknown) => 504,
        }
    }
}

/// Final answer to a request that no target answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Whether it can have run.
    pub certainty: Certainty,
    /// When the caller may come back.
    pub retry: Duration,
}

impl Refusal {
    /// Refusal of a request that certainly did not run.
    pub fn not_run(reason: RefusalReason, retry: Duration) -> Self {
        Refusal {
            reason,
            certainty: Certainty::NotRun,
            retry,
        }
    }

    /// Refusal of a request that may have run.
    pub fn unknown(reason: RefusalReason, retry: Duration) -> Self {
        Refusal {
            reason,
            certainty: Certainty::Unknown,
            retry,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let certainty = match self.certainty {
            Certainty::NotRun => "not run",
            Certainty::Unknown => "outcome unknown",
        };
        let retry = self.retry.as_millis();
        write!(
            f,
            "{certainty}: {}; come back in {retry} ms",
            self.reason.name()
        )
    }
}
