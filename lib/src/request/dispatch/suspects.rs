//! Requests that are suspected of crashing targets.
//!
//! A suspect is the only request that its target runs. A second crash is therefore caused by the
//! suspect, and no other request is lost with it.

use crate::{moment::Moment, version::command::Fingerprint};
use std::{collections::BTreeMap, time::Duration};

/// Age of the last crash from which a request is no longer a suspect.
const SUSPECT_MAX_AGE: Duration = Duration::from_secs(600);
/// Suspects that are remembered; beyond that, the one with the oldest crash is dropped.
const MAX_SUSPECTS: usize = 10_000;

/// Fingerprints of requests that ran on a target when it crashed, here or at another entry, with
/// the time of the last crash.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    last_crashes: BTreeMap<Fingerprint, Moment>,
}

impl Suspects {
    /// Marks a request as a suspect, or updates the time of its last crash.
    pub(super) fn add(&mut self, now: Moment, fingerprint: Fingerprint) {
        self.last_crashes.insert(fingerprint, now);
        if self.last_crashes.len() > MAX_SUSPECTS {
            let oldest = self.last_crashes.iter().min_by_key(|(_, at)| **at);
            let oldest = oldest.map(|(f, _)| *f);
            oldest.map(|f| self.last_crashes.remove(&f));
        }
    }

    /// Removes a request from the suspects because a target answered it.
    pub(super) fn clear(&mut self, fingerprint: Fingerprint) {
        self.last_crashes.remove(&fingerprint);
    }

    /// Whether a target crashed recently while it ran the request.
    pub(super) fn contains(&self, now: Moment, fingerprint: Fingerprint) -> bool {
        let last_crash = self.last_crashes.get(&fingerprint);
        last_crash.is_some_and(|at| now.since(*at) < SUSPECT_MAX_AGE)
    }
}
