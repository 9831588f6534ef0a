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
pub enum Reason {
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

impl Reason {
    /// Name in headers and logs.
    pub fn name(self) -> &'static str {
        match self {
            Reason::BadRequest => "bad-request",
            Reason::NoService => "no-service",
            Reason::NoOwner => "no-owner",
            Reason::Stale => "stale",
            Reason::Overload => "overload",
            Reason::Deadline => "deadline",
            Reason::TargetFailed => "target-failed",
            Reason::EntryFailed => "entry-failed",
            Reason::Repeated => "repeated",
            Reason::Quarantined => "quarantined",
            Reason::Shutdown => "shutdown",
            Reason::NoRecord => "no-record",
        }
    }

    /// HTTP status of the refusal, given its certainty.
    pub fn status(self, certainty: Certainty) -> u16 {
        match (self, certainty) {
            (Reason::BadRequest, _) => 400,
            (Reason::NoService, _) => 404,
            (Reason::Repeated, _) => 409,
            (Reason::Quarantined, _) => 422,
            (_, Certainty::NotRun) => 503,
            (_, Certainty::Unknown) => 504,
        }
    }
}

/// Final answer to a request that no target answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether it can have run.
    pub certainty: Certainty,
    /// When the caller may come back.
    pub retry: Duration,
}

impl Refusal {
    /// Refusal of a request that certainly did not run.
    pub fn not_run(reason: Reason, retry: Duration) -> Self {
        Refusal {
            reason,
            certainty: Certainty::NotRun,
            retry,
        }
    }

    /// Refusal of a request that may have run.
    pub fn unknown(reason: Reason, retry: Duration) -> Self {
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
