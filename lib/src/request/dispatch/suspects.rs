//! Requests that are suspected of crashing targets.
//!
//! A suspect runs alone on its target, so a second crash proves its guilt and takes no other
//! request down with it.

use crate::{moment::Moment, version::command::Fingerprint};
use std::{collections::BTreeMap, time::Duration};

/// How long a crash keeps a request under suspicion.
const SUSPECT_MAX_AGE: Duration = Duration::from_secs(600);
/// Most requests under suspicion; the oldest go first.
const MAX_SUSPECTS: usize = 10_000;

/// Fingerprints of requests that ran when a target crashed, here or at another entry.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    last_crashes: BTreeMap<Fingerprint, Moment>,
}

impl Suspects {
    /// Puts a request under suspicion.
    pub(super) fn add(&mut self, now: Moment, fingerprint: Fingerprint) {
        self.last_crashes.insert(fingerprint, now);
        if self.last_crashes.len() > MAX_SUSPECTS {
            let oldest = self.last_crashes.iter().min_by_key(|(_, at)| **at);
            let oldest = oldest.map(|(f, _)| *f);
            oldest.map(|f| self.last_crashes.remove(&f));
        }
    }

    /// Clears a request that a target has answered.
    pub(super) fn clear(&mut self, fingerprint: Fingerprint) {
        self.last_crashes.remove(&fingerprint);
    }

    /// Whether the request is under suspicion.
    pub(super) fn contains(&self, now: Moment, fingerprint: Fingerprint) -> bool {
        let last_crash = self.last_crashes.get(&fingerprint);
        last_crash.is_some_and(|at| now.since(*at) < SUSPECT_MAX_AGE)
    }
}
