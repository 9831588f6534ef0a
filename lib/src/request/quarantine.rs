//! Requests that crashed targets, refused everywhere after the second crash.
//!
//! Each home reports the fingerprint of a request that was running when its target crashed. Crashes
//! of one fingerprint at different targets, or at different lives of one, are counted on every
//! entry from its own and the others' reports. Requests that merely ran beside the culprit are
//! counted too, but seldom twice within [`QuarantineConfig::memory`].

use super::outcome::{Reason, Refusal};
use crate::{
    moment::Moment,
    name::{Incarnation, Service, Target},
    version::command::{Command, Fingerprint},
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Settings of the quarantine.
#[derive(Debug, Clone)]
pub struct QuarantineConfig {
    /// Crashes after which a request is refused.
    pub crashes: usize,
    /// How long a crash is remembered.
    pub memory: Duration,
    /// How long a request is refused.
    pub span: Duration,
    /// Most fingerprints remembered; the oldest go first.
    pub capacity: usize,
}

impl Default for QuarantineConfig {
    fn default() -> Self {
        QuarantineConfig {
            crashes: 2,
            memory: Duration::from_secs(600),
            span: Duration::from_secs(600),
            capacity: 10_000,
        }
    }
}

/// What makes two requests the same to a target that they crash.
#[derive(Debug, Clone, Copy)]
pub struct Sample<'a> {
    /// Service of the request.
    pub service: &'a Service,
    /// Method and path.
    pub route: &'a str,
    /// Customer key.
    pub customer: &'a str,
    /// BLAKE3 digest of the body, or of its head where the body is streamed.
    pub body: &'a [u8; 32],
}

impl Sample<'_> {
    /// Digest of the sample.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut hasher = blake3::Hasher::new();
        for part in [self.service.as_str(), self.route, self.customer] {
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(self.body);
        let mut head = [0; 8];
        head.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Fingerprint(u64::from_be_bytes(head))
    }
}

/// One crash of a target while it ran a request; entries tell it each other.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The target that crashed.
    pub target: Target,
    /// The life that ended.
    pub incarnation: Incarnation,
}

#[derive(Debug, Default)]
struct Suspicion {
    crashes: BTreeSet<(Target, Incarnation)>,
    last: Moment,
}

/// Crash counts and refusals in force at one entry.
#[derive(Debug, Default)]
pub struct Quarantine {
    config: QuarantineConfig,
    suspects: BTreeMap<Fingerprint, Suspicion>,
    refused: BTreeMap<Fingerprint, Moment>,
}

impl Quarantine {
    /// Quarantine in which nothing is refused.
    pub fn new(config: QuarantineConfig) -> Self {
        Quarantine {
            config,
            ..Quarantine::default()
        }
    }

    /// Counts a crash that this or another entry saw; a report told twice counts once. Returns the
    /// command that the controller is asked to commit. Until it is committed this entry refuses
    /// the request by itself.
    pub fn crashed(&mut self, now: Moment, crash: &Crash) -> Option<Command> {
        self.forget(now);
        let suspicion = self.suspects.entry(crash.fingerprint).or_default();
        suspicion.last = now;
        let life = (crash.target.clone(), crash.incarnation);
        let fresh = suspicion.crashes.insert(life);
        let guilty = suspicion.crashes.len() >= self.config.crashes;
        self.limit();
        if !fresh || !guilty {
            return None;
        }
        self.refused
            .insert(crash.fingerprint, now + self.config.span);
        Some(Command::Quarantine {
            fingerprint: crash.fingerprint,
            active: true,
            span: self.config.span,
        })
    }

    /// Puts a committed command in force, or lifts the refusal.
    pub fn committed(&mut self, now: Moment, request: Fingerprint, active: bool, span: Duration) {
        if active {
            self.refused.insert(request, now + span);
        } else {
            self.refused.remove(&request);
            self.suspects.remove(&request);
        }
    }

    /// Refusal of a request that is in quarantine.
    pub fn check(&self, now: Moment, fingerprint: Fingerprint) -> Option<Refusal> {
        let end = *self.refused.get(&fingerprint)?;
        (now < end).then(|| Refusal::not_run(Reason::Quarantined, end.since(now)))
    }

    /// Number of requests refused now.
    pub fn refused(&self, now: Moment) -> usize {
        self.refused.values().filter(|end| now < **end).count()
    }

    fn forget(&mut self, now: Moment) {
        let memory = self.config.memory;
        self.suspects.retain(|_, s| now.since(s.last) < memory);
        self.refused.retain(|_, end| now < *end);
    }

    fn limit(&mut self) {
        while self.suspects.len() > self.config.capacity {
            let oldest = self.suspects.iter().min_by_key(|(_, s)| s.last);
            let Some(fingerprint) = oldest.map(|(f, _)| *f) else {
                return;
            };
            self.suspects.remove(&fingerprint);
        }
    }
}
