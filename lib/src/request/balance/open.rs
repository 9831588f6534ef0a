//! Decides whether a target takes requests of this entry now: by its state in the catalog replica, and
//! by what it said of itself in its answers to this entry.
//!
//! Load pattern: a target that is overloaded turns requests away and asks for a pause, or one that
//! leaves says so in its answers, while the leader's word is late or never reaches this entry. A pool
//! target that leaves gets nothing from then on. The owner of a key gets requests for most of the
//! drain time, since nobody else serves the key until it has moved. During a pause callers are
//! rejected at once with its rest as the time to come back, which they do spread out after its end.

use crate::{
    moment::Moment,
    name::{Incarnation, Target},
    version::catalog::{Catalog, TargetId, TargetRecord},
};
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

/// Share of the drain or evacuation time for which keys still go to their old owner. The rest is
/// for connecting to it.
const CLOSED_OWNER_SHARE: f64 = 0.85;
/// Longest pause that one answer causes, so that no answer shuts a target out for good.
const MAX_PAUSE: Duration = Duration::from_secs(3_600);

/// Targets that are gone whose notices are kept, for those that join again in the same incarnation.
const MAX_PARTED: usize = 100;

/// What a target says of itself in an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetNotice {
    /// Whether it leaves.
    pub leaves: bool,
    /// Time for which it wants no requests of this entry.
    pub pause: Option<Duration>,
}

/// Whether a target takes requests of this entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Openness {
    /// It does.
    Open,
    /// It leaves, its zone is out of service, or it is gone.
    Closed,
    /// It asked for a pause that lasts for this time yet.
    Paused(Duration),
}

/// How long a target that closes still gets requests for the keys that it owns.
#[derive(Debug, Clone, Copy)]
pub struct ClosingTimes {
    /// Time from the leave message of a target.
    pub drain: Duration,
    /// Time from when a zone is taken out of service.
    pub evacuate: Duration,
}

/// What this entry was told by one incarnation of a target.
#[derive(Debug)]
struct HeardNotices {
    name: Target,
    incarnation: Incarnation,
    leaves_since: Option<Moment>,
    paused_until: Moment,
}

impl HeardNotices {
    fn is_of(&self, record: &TargetRecord) -> bool {
        self.name == record.name && self.incarnation == record.incarnation
    }
}

/// Which targets take requests of this entry.
#[derive(Debug)]
pub struct OpenTargets {
    times: ClosingTimes,
    /// Latest time at which each closed target is known to have been open; `None` if it was closed
    /// in the first replica.
    last_open: BTreeMap<TargetId, Option<Moment>>,
    heard: HashMap<TargetId, HeardNotices>,
    /// Notices of targets that the catalog does not have at the moment.
    parted: VecDeque<HeardNotices>,
}

impl OpenTargets {
    /// Creates the state of an entry that has heard nothing yet.
    pub fn new(times: ClosingTimes) -> Self {
        OpenTargets {
            times,
            last_open: BTreeMap::new(),
            heard: HashMap::new(),
            parted: VecDeque::new(),
        }
    }

    /// Records what a target said in an answer; returns what of it is news.
    pub fn record(
        &mut self,
        now: Moment,
        catalog: &Catalog,
        id: TargetId,
        notice: TargetNotice,
    ) -> TargetNotice {
        let mut news = TargetNotice::default();
        let Some(record) = catalog.targets.get(&id).filter(|_| notice != news) else {
            return news;
        };
        let heard = self.heard.entry(id).or_insert_with(|| HeardNotices {
            name: record.name.clone(),
            incarnation: record.incarnation,
            leaves_since: None,
            paused_until: Moment::ZERO,
        });
        if notice.leaves && heard.leaves_since.is_none() {
            heard.leaves_since = Some(now);
            news.leaves = true;
        }
        if let Some(pause) = notice.pause.map(|pause| pause.min(MAX_PAUSE)) {
            news.pause = (heard.paused_until <= now).then_some(pause);
            heard.paused_until = heard.paused_until.max(now + pause);
        }
        news
    }

    /// Whether a target takes requests now. The owner of a key serves it for a while after it closed.
    pub fn state(&self, now: Moment, catalog: &Catalog, id: TargetId, keyed: bool) -> Openness {
        let Some(record) = catalog.targets.get(&id) else {
            return Openness::Closed;
        };
        let heard = self.heard.get(&id);
        let told = heard.and_then(|heard| heard.leaves_since);
        let told_closed = told.is_some_and(|at| !keyed || !is_within(now, at, self.times.drain));
        if told_closed || self.is_closed(now, catalog, id, record, keyed) {
            return Openness::Closed;
        }
        match self.pause_left(now, id) {
            Some(left) => Openness::Paused(left),
            None => Openness::Open,
        }
    }

    /// Rest of the pause that a target has asked for.
    pub fn pause_left(&self, now: Moment, id: TargetId) -> Option<Duration> {
        let left = self.heard.get(&id)?.paused_until.since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Whether a target gets nothing by the catalog.
    fn is_closed(
        &self,
        now: Moment,
        catalog: &Catalog,
        id: TargetId,
        record: &TargetRecord,
        keyed: bool,
    ) -> bool {
        if catalog.accepts_work(record) {
            return false;
        }
        let period = match record.leaving {
            true => self.times.drain,
            false => self.times.evacuate,
        };
        let last_open = self.last_open.get(&id).copied().flatten();
        !keyed || last_open.is_none_or(|at| !is_within(now, at, period))
    }

    /// Records until when targets that accept no new requests were open, and forgets targets that
    /// are gone. What the last confirmation does not cover may have been acknowledged right after
    /// it, however late it arrives.
    pub fn refresh(&mut self, catalog: &Catalog, confirmed_at: Option<Moment>) {
        for (id, record) in &catalog.targets {
            if catalog.accepts_work(record) {
                self.last_open.remove(id);
            } else {
                self.last_open.entry(*id).or_insert(confirmed_at);
            }
        }
        let is_known = |id: &TargetId| catalog.targets.contains_key(id);
        self.last_open.retain(|id, _| is_known(id));
        let parted = self.heard.extract_if(|id, _| !is_known(id));
        self.parted.extend(parted.map(|(_, heard)| heard));
        self.resume(catalog);
    }

    /// Takes over what the targets said that are in the catalog again, under another number.
    fn resume(&mut self, catalog: &Catalog) {
        if self.parted.is_empty() {
            return;
        }
        for (id, record) in &catalog.targets {
            let position = self.parted.iter().position(|heard| heard.is_of(record));
            if let Some(heard) = position.and_then(|at| self.parted.remove(at)) {
                self.heard.entry(*id).or_insert(heard);
            }
        }
        let excess = self.parted.len().saturating_sub(MAX_PARTED);
        self.parted.drain(..excess);
    }
}

fn is_within(now: Moment, since: Moment, period: Duration) -> bool {
    now.since(since) < period.mul_f64(CLOSED_OWNER_SHARE)
}
