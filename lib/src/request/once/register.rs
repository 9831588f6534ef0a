//! Replica of the at-most-once register.

use super::{Answer, Ask, ClaimId, Identity, Membership, PageRecord, Progress, Record, quorum};
use crate::{
    moment::Moment,
    name::{Incarnation, Node},
};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

/// Records in one page; with stored answers at their longest a page stays below 300 KiB.
const PAGE_RECORDS: usize = 32;

/// Settings of a replica.
#[derive(Debug, Clone)]
pub struct RegisterConfig {
    /// How long a record is kept from its last change; the same on every entry, and longer than
    /// the longest deadline.
    pub retention: Duration,
    /// Most records kept; beyond it new claims are turned away.
    pub capacity: usize,
}

impl Default for RegisterConfig {
    fn default() -> Self {
        RegisterConfig {
            retention: Duration::from_secs(15 * 60),
            capacity: 50_000,
        }
    }
}

/// How a replica begins its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// This entry never was in the fleet: it held no record before.
    First,
    /// This entry had an earlier life, whose records are gone.
    Again,
}

#[derive(Debug)]
struct Held {
    record: Record,
    contested: bool,
    expiry: Moment,
}

#[derive(Debug, Default)]
struct Source {
    incarnation: Option<Incarnation>,
    after: Option<Identity>,
    pending: BTreeSet<Node>,
    gaps: Option<BTreeSet<Node>>,
}

/// Replica: the records of the identities that hash to this entry.
#[derive(Debug)]
pub struct Register {
    node: Node,
    incarnation: Incarnation,
    members: Membership,
    config: RegisterConfig,
    records: BTreeMap<Identity, Held>,
    released: BTreeSet<ClaimId>,
    releases: VecDeque<(Moment, ClaimId)>,
    expiries: BTreeSet<(Moment, Identity)>,
    sources: BTreeMap<Node, Source>,
    ready_at: Moment,
}

impl Register {
    /// Replica of `node` in its life `incarnation`.
    pub fn new(
        now: Moment,
        node: Node,
        incarnation: Incarnation,
        start: Start,
        members: Membership,
        config: RegisterConfig,
    ) -> Self {
        let ready_at = match start {
            Start::First => now,
            Start::Again => now + config.retention,
        };
        Register {
            node,
            incarnation,
            members,
            config,
            records: BTreeMap::new(),
            released: BTreeSet::new(),
            releases: VecDeque::new(),
            expiries: BTreeSet::new(),
            sources: BTreeMap::new(),
            ready_at,
        }
    }

    /// Number of records held.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Takes in a change of the committed membership.
    pub fn set_members(&mut self, members: Membership) {
        self.members = members;
    }

    /// Answers a message of entry `from`.
    pub fn handle(&mut self, now: Moment, from: Node, ask: Ask) -> Answer {
        self.expire(now);
        match ask {
            Ask::Claim { identity, claim } => self.claim(now, identity, claim),
            Ask::Confirm {
                identity,
                claim,
                incarnation,
            } => self.confirm(identity, claim, incarnation),
            Ask::Record {
                identity,
                claim,
                progress,
            } => {
                self.store(now, identity, Record { claim, progress });
                Answer::Done { claim }
            }
            Ask::Release { identity, claim } => self.release(now, identity, claim),
            Ask::Read { incarnation, after } => self.page(now, from, incarnation, after),
        }
    }

    /// Reads to send to other replicas, none once enough has been read.
    pub fn reads(&self, now: Moment) -> Vec<(Node, Ask)> {
        if now >= self.ready_at {
            return Vec::new();
        }
        let others = self.members.nodes().into_iter().filter(|n| *n != self.node);
        others
            .filter(|n| self.gaps_of(*n).is_none_or(|gaps| !gaps.is_empty()))
            .map(|n| {
                let after = self.sources.get(&n).and_then(|s| s.after);
                let incarnation = self.incarnation;
                (n, Ask::Read { incarnation, after })
            })
            .collect()
    }

    /// Takes in a page that `from` answered a read with.
    pub fn on_page(&mut self, now: Moment, from: Node, answer: Answer) {
        let Answer::Page {
            incarnation,
            reader,
            after,
            records,
            last,
            gaps,
        } = answer
        else {
            return;
        };
        let source = self.sources.entry(from).or_default();
        if source.incarnation.is_some_and(|i| i != incarnation) {
            *source = Source::default();
        }
        if reader != self.incarnation || source.after != after {
            return;
        }
        source.incarnation = Some(incarnation);
        source.after = match last {
            true => None,
            false => records.last().map(|r| r.identity).or(after),
        };
        source.pending.extend(gaps.iter().filter(|n| **n != from));
        if last {
            source.gaps = Some(std::mem::take(&mut source.pending));
        }
        for page in records {
            self.learn(now, page);
        }
    }

    /// Whether the replica may answer claims of this identity: of each of its replica sets it has
    /// read so many others that no majority can have hidden a claim.
    pub fn ready(&self, now: Moment, identity: Identity) -> bool {
        now >= self.ready_at
            || self.members.panels(identity).iter().all(|panel| {
                let needed = panel.len() - quorum(panel.len()) + 1;
                let read = panel.iter().filter(|n| self.covered(panel, **n)).count();
                !panel.contains(&self.node) || read >= needed
            })
    }

    /// When the next record expires.
    pub fn next_wakeup(&self) -> Option<Moment> {
        self.expiries.first().map(|(at, _)| *at)
    }

    /// Forgets what has outlived its retention.
    pub fn expire(&mut self, now: Moment) {
        while let Some((at, identity)) = self.expiries.first().copied()
            && at <= now
        {
            self.expiries.pop_first();
            self.records.remove(&identity);
        }
        while let Some((_, claim)) = self.releases.pop_front_if(|(at, _)| *at <= now) {
            self.released.remove(&claim);
        }
    }

    fn claim(&mut self, now: Moment, identity: Identity, claim: ClaimId) -> Answer {
        if let Some(held) = self.records.get(&identity)
            && held.record.claim != claim
        {
            let record = held.record.clone();
            return Answer::Held { claim, record };
        }
        let known = self.records.contains_key(&identity);
        let contested = self.records.get(&identity).is_some_and(|h| h.contested);
        let full = !known && self.records.len() >= self.config.capacity;
        let barred = full || contested || self.released.contains(&claim);
        if barred || !self.ready(now, identity) {
            return Answer::NotReady { claim };
        }
        if !known {
            let progress = Progress::Running;
            self.store(now, identity, Record { claim, progress });
        }
        Answer::Granted {
            claim,
            incarnation: self.incarnation,
        }
    }

    fn confirm(&self, identity: Identity, claim: ClaimId, incarnation: Incarnation) -> Answer {
        match self.records.get(&identity) {
            Some(held) if held.record.claim != claim => Answer::Held {
                claim,
                record: held.record.clone(),
            },
            Some(held) if incarnation == self.incarnation && !held.contested => {
                Answer::Confirmed { claim }
            }
            _ => Answer::NotReady { claim },
        }
    }

    fn release(&mut self, now: Moment, identity: Identity, claim: ClaimId) -> Answer {
        if self.released.insert(claim) {
            self.releases
                .push_back((now + self.config.retention, claim));
        }
        if let Some(held) = self.records.get(&identity)
            && held.record.claim == claim
            && !held.contested
        {
            self.expiries.remove(&(held.expiry, identity));
            self.records.remove(&identity);
        }
        Answer::Done { claim }
    }

    fn page(
        &self,
        now: Moment,
        from: Node,
        reader: Incarnation,
        after: Option<Identity>,
    ) -> Answer {
        let next = after.map_or(0, |i| i.0.saturating_add(1));
        let mut matching = self
            .records
            .range(Identity(next)..)
            .filter(|(i, _)| self.members.replicas(**i).contains(&from));
        let records: Vec<PageRecord> = matching
            .by_ref()
            .take(PAGE_RECORDS)
            .map(|(identity, held)| PageRecord {
                identity: *identity,
                record: held.record.clone(),
                contested: held.contested,
                left_ms: held.expiry.since(now).as_millis() as u64,
            })
            .collect();
        let last = matching.next().is_none();
        Answer::Page {
            incarnation: self.incarnation,
            reader,
            after,
            records,
            last,
            gaps: self.gaps(now),
        }
    }

    /// Takes in a record that another replica holds. Two claims that may both be running bar the
    /// identity: this replica cannot tell which of them it had granted.
    fn learn(&mut self, now: Moment, page: PageRecord) {
        if self.released.contains(&page.record.claim) {
            return;
        }
        let running = page.record.progress == Progress::Running;
        let expiry = now + Duration::from_millis(page.left_ms + 1);
        match self.records.get_mut(&page.identity) {
            Some(held) if held.record.progress != Progress::Running => (),
            Some(held) if running => {
                held.contested |= page.contested || held.record.claim != page.record.claim;
            }
            _ => self.insert(page.identity, page.record, page.contested, expiry),
        }
    }

    fn store(&mut self, now: Moment, identity: Identity, record: Record) {
        self.insert(identity, record, false, now + self.config.retention);
    }

    fn insert(&mut self, identity: Identity, record: Record, contested: bool, expiry: Moment) {
        let held = Held {
            record,
            contested,
            expiry,
        };
        if let Some(old) = self.records.insert(identity, held) {
            self.expiries.remove(&(old.expiry, identity));
        }
        self.expiries.insert((expiry, identity));
    }

    /// Entries whose records this replica misses, as it tells its readers.
    fn gaps(&self, now: Moment) -> Vec<Node> {
        self.reads(now).into_iter().map(|(node, _)| node).collect()
    }

    fn gaps_of(&self, node: Node) -> Option<&BTreeSet<Node>> {
        self.sources.get(&node)?.gaps.as_ref()
    }

    /// Whether `node` was read to the end and knew enough itself of the identity with this panel.
    fn covered(&self, panel: &[Node], node: Node) -> bool {
        let Some(gaps) = self.gaps_of(node).filter(|_| node != self.node) else {
            return false;
        };
        let spared = quorum(panel.len()).saturating_sub(2);
        panel.iter().filter(|n| gaps.contains(n)).count() <= spared
    }
}
