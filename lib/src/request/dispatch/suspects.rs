//! Requests that are suspected of crashing targets.
//!
//! A suspect runs alone on its target, so a second crash proves its guilt and takes no other
//! request down with it.

use crate::{moment::Moment, version::command::Fingerprint};
use std::{collections::BTreeMap, time::Duration};

/// How long a crash keeps a request under suspicion.
const SUSPICION: Duration = Duration::from_secs(600);
/// Most requests under suspicion; the oldest go first.
const MOST_SUSPECTS: usize = 10_000;

/// Fingerprints of requests that ran when a target crashed, here or at another entry.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    seen: BTreeMap<Fingerprint, Moment>,
}

impl Suspects {
    /// Puts a request under suspicion.
    pub(super) fn add(&mut self, now: Moment, fingerprint: Fingerprint) {
        self.seen.insert(fingerprint, now);
        if self.seen.len() > MOST_SUSPECTS {
            let oldest = self.seen.iter().min_by_key(|(_, at)| **at);
            let oldest = oldest.map(|(f, _)| *f);
            oldest.map(|f| self.seen.remove(&f));
        }
    }

    /// Clears a request that a target has answered.
    pub(super) fn clear(&mut self, fingerprint: Fingerprint) {
        self.seen.remove(&fingerprint);
    }

    /// Whether the request is under suspicion.
    pub(super) fn contains(&self, now: Moment, fingerprint: Fingerprint) -> bool {
        let seen = self.seen.get(&fingerprint);
        seen.is_some_and(|at| now.since(*at) < SUSPICION)
    }
}
