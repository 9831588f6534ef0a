//! What survives of requests that end targets when all processes of a seeded fleet end at once.
//!
//! The entries and the leader keep their findings in memory and repeat them to each other. Without any
//! of them left, a request that was refused would end as many targets again. So the leader commits
//! the requests that are refused, and those under which more than one target has ended.
//!
//! A record ends at a time of day, since no monotonic clock outlives a process. It is bounded by the
//! longest time for which a request is refused, whatever the clocks say.

use super::{
    catalog::TargetId,
    command::Fingerprint,
    suspects::{MEMORY, REQUESTS_MAX},
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// Targets that have ended under a request from which it is recorded.
pub const RECORDED_ENDS: usize = 2;

/// Time of day, in milliseconds of Unix time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WallTime(pub u64);

impl WallTime {
    /// Time of day after a duration.
    pub fn after(self, duration: Duration) -> Self {
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        WallTime(self.0.saturating_add(millis))
    }

    /// Time from `earlier` to this one; zero if `earlier` is the later one.
    pub fn since(self, earlier: WallTime) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// What is known of a request that ends targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Finding {
    /// Targets have ended under it, too few to refuse it.
    Ended(Vec<TargetId>),
    /// All entries refuse it.
    Refused,
}

/// Committed finding about a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// The finding.
    pub finding: Finding,
    /// Time of day at which it is void.
    pub until: WallTime,
}

impl SuspectRecord {
    /// Time for which the record holds, on a clock that may have jumped since it was made.
    pub fn left(&self, now: WallTime) -> Duration {
        self.until.since(now).min(MEMORY)
    }
}

/// Changes of the records.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordsUpdate {
    /// Time of day at the leader; records that are void by then are dropped.
    pub now: WallTime,
    /// Records to set, or to drop.
    pub changes: Vec<(Fingerprint, Option<SuspectRecord>)>,
}

/// Committed findings about requests that end targets, in a bounded number.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecords {
    records: BTreeMap<Fingerprint, SuspectRecord>,
}

impl SuspectRecords {
    /// Applies a committed update; returns whether it changed a record.
    pub fn apply(&mut self, update: &RecordsUpdate) -> bool {
        let former = self.records.clone();
        self.records.retain(|_, record| record.until > update.now);
        for (request, change) in &update.changes {
            match change {
                Some(record) => drop(self.records.insert(*request, record.clone())),
                None => drop(self.records.remove(request)),
            }
        }
        while self.records.len() > REQUESTS_MAX {
            let first = self.records.iter().min_by_key(|(_, record)| record.until);
            let first = first.map(|(request, _)| *request);
            first.and_then(|request| self.records.remove(&request));
        }
        self.records != former
    }

    /// Records that hold at this time of day.
    pub fn valid(&self, now: WallTime) -> impl Iterator<Item = (Fingerprint, &SuspectRecord)> {
        let valid = self.records.iter();
        let valid = valid.filter(move |(_, record)| !record.left(now).is_zero());
        valid.map(|(request, record)| (*request, record))
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Update that turns the records into these findings, each with the time for which it holds;
    /// `None` if they say so already.
    pub fn update_to(
        &self,
        now: WallTime,
        findings: &BTreeMap<Fingerprint, (Finding, Duration)>,
    ) -> Option<RecordsUpdate> {
        let known: BTreeMap<_, _> = self.valid(now).collect();
        let is_new = |request: &Fingerprint, finding: &Finding| {
            known.get(request).is_none_or(|r| r.finding != *finding)
        };
        let set = findings
            .iter()
            .filter(|(request, (finding, left))| !left.is_zero() && is_new(request, finding));
        let set = set.map(|(request, (finding, left))| {
            let record = SuspectRecord {
                finding: finding.clone(),
                until: now.after(*left),
            };
            (*request, Some(record))
        });
        let dropped = known
            .keys()
            .filter(|request| !findings.contains_key(request));
        let changes: Vec<_> = set.chain(dropped.map(|request| (*request, None))).collect();
        (!changes.is_empty()).then_some(RecordsUpdate { now, changes })
    }
}
