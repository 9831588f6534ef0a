//! Requests that crashed targets, refused everywhere after the second crash.
//!
//! Each home reports the fingerprint of a request that was running when its target crashed. Crashes
//! of one fingerprint at different targets, or at different lives of one, are counted on every
//! entry from its own and the others' reports. Requests that merely ran beside the culprit are
//! counted too, but seldom twice within [`QuarantineConfig::memory`].

use super::outcome::{Refusal, RefusalReason};
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
    pub crash_threshold: usize,
    /// How long a crash is remembered.
    pub crash_window: Duration,
    /// How long a request is refused.
    pub refusal_time: Duration,
    /// Most fingerprints remembered; the oldest go first.
    pub max_fingerprints: usize,
}

impl Default for QuarantineConfig {
    fn default() -> Self {
        QuarantineConfig {
            crash_threshold: 2,
            crash_window: Duration::from_secs(600),
            refusal_time: Duration::from_secs(600),
            max_fingerprints: 10_000,
        }
    }
}

/// What makes two requests the same to a target that they crash.
#[derive(Debug, Clone, Copy)]
pub struct FingerprintInput<'a> {
    /// Service of the request.
    pub service: &'a Service,
    /// Method and path.
    pub endpoint: &'a str,
    /// Customer key.
    pub customer: &'a str,
    /// BLAKE3 digest of the body, or of its head where the body is streamed.
    pub body: &'a [u8; 32],
}

impl FingerprintInput<'_> {
    /// Digest of the sample.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut hasher = blake3::Hasher::new();
        for part in [self.service.as_str(), self.endpoint, self.customer] {
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(self.body);
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Fingerprint(u64::from_be_bytes(prefix))
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
struct CrashHistory {
    crashes: BTreeSet<(Target, Incarnation)>,
    last_crash: Moment,
}

/// Crash counts and refusals in force at one entry.
#[derive(Debug, Default)]
pub struct Quarantine {
    config: QuarantineConfig,
    histories: BTreeMap<Fingerprint, CrashHistory>,
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
    pub fn record_crash(&mut self, now: Moment, crash: &Crash) -> Option<Command> {
        self.drop_expired(now);
        let history = self.histories.entry(crash.fingerprint).or_default();
        history.last_crash = now;
        let incarnation = (crash.target.clone(), crash.incarnation);
        let is_new = history.crashes.insert(incarnation);
        let reached_threshold = history.crashes.len() >= self.config.crash_threshold;
        self.evict_oldest();
        if !is_new || !reached_threshold {
            return None;
        }
        self.refused
            .insert(crash.fingerprint, now + self.config.refusal_time);
        Some(Command::Quarantine {
            fingerprint: crash.fingerprint,
            active: true,
            span: self.config.refusal_time,
        })
    }

    /// Puts a committed command in force, or lifts the refusal.
    pub fn apply_command(
        &mut self,
        now: Moment,
        request: Fingerprint,
        active: bool,
        refusal_time: Duration,
    ) {
        if active {
            self.refused.insert(request, now + refusal_time);
        } else {
            self.refused.remove(&request);
            self.histories.remove(&request);
        }
    }

    /// Refusal of a request that is in quarantine.
    pub fn check(&self, now: Moment, fingerprint: Fingerprint) -> Option<Refusal> {
        let end = *self.refused.get(&fingerprint)?;
        (now < end).then(|| Refusal::not_run(RefusalReason::Quarantined, end.since(now)))
    }

    /// Number of requests refused now.
    pub fn refused_count(&self, now: Moment) -> usize {
        self.refused.values().filter(|end| now < **end).count()
    }

    fn drop_expired(&mut self, now: Moment) {
        let window = self.config.crash_window;
        self.histories
            .retain(|_, s| now.since(s.last_crash) < window);
        self.refused.retain(|_, end| now < *end);
    }

    fn evict_oldest(&mut self) {
        while self.histories.len() > self.config.max_fingerprints {
            let oldest = self.histories.iter().min_by_key(|(_, s)| s.last_crash);
            let Some(fingerprint) = oldest.map(|(f, _)| *f) else {
                return;
            };
            self.histories.remove(&fingerprint);
        }
    }
}
