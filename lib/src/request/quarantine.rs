//! Quarantine of requests that crash targets: after the second crash every entry refuses them.
//!
//! Each home reports the fingerprint of a request that was running when its target crashed. Every
//! entry counts the crashes of a fingerprint at different targets, or at different incarnations of
//! one target, from its own reports and those of other entries. Requests that merely ran beside the
//! culprit are counted too, but rarely twice within [`QuarantineConfig::crash_window`].

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

/// Thresholds and time limits of a [`Quarantine`].
#[derive(Debug, Clone)]
pub struct QuarantineConfig {
    /// Number of crashes at which a request is refused.
    pub crash_threshold: usize,
    /// Time after the last crash for which the crashes of a request are remembered.
    pub crash_window: Duration,
    /// Time for which a request is refused.
    pub refusal_time: Duration,
    /// Maximum number of fingerprints with remembered crashes; the oldest are evicted first.
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

/// Parts of a request that decide whether two requests count as the same one.
#[derive(Debug, Clone, Copy)]
pub struct FingerprintInput<'a> {
    /// Service that the request goes to.
    pub service: &'a Service,
    /// HTTP method and path.
    pub endpoint: &'a str,
    /// Key of the customer.
    pub customer: &'a str,
    /// BLAKE3 digest of the body, or of its beginning if the body is streamed.
    pub body: &'a [u8; 32],
}

impl FingerprintInput<'_> {
    /// First 64 bits of the BLAKE3 digest of all parts.
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

/// Crash of a target that was running a request. Entries exchange these reports.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Target that crashed.
    pub target: Target,
    /// Incarnation of the target that ended with the crash.
    pub incarnation: Incarnation,
}

#[derive(Debug, Default)]
struct CrashHistory {
    crashes: BTreeSet<(Target, Incarnation)>,
    last_crash: Moment,
}

/// Crash histories and active refusals at one entry.
#[derive(Debug, Default)]
pub struct Quarantine {
    config: QuarantineConfig,
    histories: BTreeMap<Fingerprint, CrashHistory>,
    refused: BTreeMap<Fingerprint, Moment>,
}

impl Quarantine {
    /// Creates a quarantine that refuses nothing yet.
    pub fn new(config: QuarantineConfig) -> Self {
        Quarantine {
            config,
            ..Quarantine::default()
        }
    }

    /// Counts a crash reported by this or another entry; repeated reports count once. Returns the
    /// command to propose to the controller once the threshold is reached. This entry refuses the
    /// request without waiting for the commit.
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
            duration: self.config.refusal_time,
        })
    }

    /// Applies a committed command: refuses the request for `refusal_time`, or lifts the refusal if
    /// `active` is false.
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

    /// Returns a refusal if the request is in quarantine.
    pub fn check(&self, now: Moment, fingerprint: Fingerprint) -> Option<Refusal> {
        let end = *self.refused.get(&fingerprint)?;
        (now < end).then(|| Refusal::not_run(RefusalReason::Quarantined, end.since(now)))
    }

    /// Number of fingerprints refused at the moment.
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
