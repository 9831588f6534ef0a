//! Replica of the once-only register.
//!
//! A [`Register`] holds the records of the identities that this entry replicates and replies to the
//! requests of claimants. Records are kept in memory only, so a restarted replica first reads them
//! from the other replicas, or waits until all that it lost have expired, before it grants a claim.

use super::{
    ClaimId, Identity, Membership, PageRecord, Progress, Record, RegisterReply, RegisterRequest,
    quorum,
};
use crate::{
    moment::Moment,
    name::{Incarnation, Node},
};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

/// Maximum number of records in a page; even with the largest stored bodies, a page stays below
/// 300 KiB.
const MAX_PAGE_RECORDS: usize = 32;

/// Settings of a replica.
#[derive(Debug, Clone)]
pub struct RegisterConfig {
    /// Time from the last change of a record until it expires; the same on every entry, and longer
    /// than the longest deadline.
    pub retention: Duration,
    /// Maximum number of records; a full replica grants no claim of a new identity.
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

/// Whether a replica may have lost records before its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartKind {
    /// First start of the entry in this fleet: it has never held records.
    First,
    /// The entry had an earlier incarnation, whose records are lost.
    Restart,
}

/// Record of one identity as this replica keeps it.
#[derive(Debug)]
struct StoredRecord {
    record: Record,
    has_conflict: bool,
    expiry: Moment,
}

/// Progress of reading the records of one other replica, page by page.
///
/// Once the last page has arrived, `unread` holds the entries whose records the other replica may
/// have lacked; `pending` collects them until then.
#[derive(Debug, Default)]
struct ReadState {
    incarnation: Option<Incarnation>,
    after: Option<Identity>,
    pending: BTreeSet<Node>,
    unread: Option<BTreeSet<Node>>,
}

/// State machine of a replica, with the records of the identities that this entry replicates.
///
/// Released claims are remembered for the retention, so that a claim whose request arrives after
/// its release is not granted.
#[derive(Debug)]
pub struct Register {
    node: Node,
    incarnation: Incarnation,
    members: Membership,
    config: RegisterConfig,
    records: BTreeMap<Identity, StoredRecord>,
    released: BTreeSet<ClaimId>,
    release_expiries: VecDeque<(Moment, ClaimId)>,
    expiries: BTreeSet<(Moment, Identity)>,
    read_states: BTreeMap<Node, ReadState>,
    ready_at: Moment,
}

impl Register {
    /// Replica of `node`. After a restart it is ready for all identities when the retention has
    /// passed, since every record that it lost has expired by then.
    pub fn new(
        now: Moment,
        node: Node,
        incarnation: Incarnation,
        start: StartKind,
        members: Membership,
        config: RegisterConfig,
    ) -> Self {
        let ready_at = match start {
            StartKind::First => now,
            StartKind::Restart => now + config.retention,
        };
        Register {
            node,
            incarnation,
            members,
            config,
            records: BTreeMap::new(),
            released: BTreeSet::new(),
            release_expiries: VecDeque::new(),
            expiries: BTreeSet::new(),
            read_states: BTreeMap::new(),
            ready_at,
        }
    }

    /// Number of records, which includes expired ones until [`Register::expire`] drops them.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records, not even expired ones.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Replaces the membership after a committed change.
    pub fn set_members(&mut self, members: Membership) {
        self.members = members;
    }

    /// Handles a request of entry `from`.
    pub fn handle(&mut self, now: Moment, from: Node, request: RegisterRequest) -> RegisterReply {
        self.expire(now);
        match request {
            RegisterRequest::Claim { identity, claim } => self.claim(now, identity, claim),
            RegisterRequest::Confirm {
                identity,
                claim,
                incarnation,
            } => self.confirm(identity, claim, incarnation),
            RegisterRequest::Record {
                identity,
                claim,
                progress,
            } => {
                self.store(now, identity, Record { claim, progress });
                RegisterReply::Done { claim }
            }
            RegisterRequest::Release { identity, claim } => self.release(now, identity, claim),
            RegisterRequest::Read { incarnation, after } => {
                self.read_page(now, from, incarnation, after)
            }
        }
    }

    /// Reads to send to other entries: none once the retention has passed, and none to an entry
    /// that is read to the end and lacked no records itself.
    pub fn pending_reads(&self, now: Moment) -> Vec<(Node, RegisterRequest)> {
        if now >= self.ready_at {
            return Vec::new();
        }
        let others = self.members.nodes().into_iter().filter(|n| *n != self.node);
        others
            .filter(|n| self.unread_by(*n).is_none_or(|unread| !unread.is_empty()))
            .map(|n| {
                let after = self.read_states.get(&n).and_then(|state| state.after);
                let incarnation = self.incarnation;
                (n, RegisterRequest::Read { incarnation, after })
            })
            .collect()
    }

    /// Merges a page with which `from` replied to a read. A page that does not follow the last one,
    /// or is meant for an earlier incarnation, is ignored; a restart of `from` restarts its reading.
    pub fn on_page(&mut self, now: Moment, from: Node, reply: RegisterReply) {
        let RegisterReply::Page {
            incarnation,
            reader_incarnation,
            after,
            records,
            is_last,
            unread_replicas,
        } = reply
        else {
            return;
        };
        let read_state = self.read_states.entry(from).or_default();
        if read_state.incarnation.is_some_and(|i| i != incarnation) {
            *read_state = ReadState::default();
        }
        if reader_incarnation != self.incarnation || read_state.after != after {
            return;
        }
        read_state.incarnation = Some(incarnation);
        read_state.after = match is_last {
            true => None,
            false => records.last().map(|r| r.identity).or(after),
        };
        read_state
            .pending
            .extend(unread_replicas.iter().filter(|n| **n != from));
        if is_last {
            read_state.unread = Some(std::mem::take(&mut read_state.pending));
        }
        for page_record in records {
            self.merge(now, page_record);
        }
    }

    /// Whether the replica may grant claims of this identity: in each replica set that it belongs
    /// to, it has read so many others that every majority includes one of them, so that no granted
    /// claim can be unknown to it.
    pub fn is_ready(&self, now: Moment, identity: Identity) -> bool {
        now >= self.ready_at
            || self
                .members
                .replica_sets(identity)
                .iter()
                .all(|replica_set| {
                    let needed = replica_set.len() - quorum(replica_set.len()) + 1;
                    let read = replica_set
                        .iter()
                        .filter(|n| self.is_covered(replica_set, **n))
                        .count();
                    !replica_set.contains(&self.node) || read >= needed
                })
    }

    /// Time at which the next record expires.
    pub fn next_wakeup(&self) -> Option<Moment> {
        self.expiries.first().map(|(at, _)| *at)
    }

    /// Drops the records and releases whose retention has passed.
    pub fn expire(&mut self, now: Moment) {
        while let Some((at, identity)) = self.expiries.first().copied()
            && at <= now
        {
            self.expiries.pop_first();
            self.records.remove(&identity);
        }
        while let Some((_, claim)) = self.release_expiries.pop_front_if(|(at, _)| *at <= now) {
            self.released.remove(&claim);
        }
    }

    fn claim(&mut self, now: Moment, identity: Identity, claim: ClaimId) -> RegisterReply {
        if let Some(stored) = self.records.get(&identity)
            && stored.record.claim != claim
        {
            let record = stored.record.clone();
            return RegisterReply::Held { claim, record };
        }
        let is_known = self.records.contains_key(&identity);
        let has_conflict = self
            .records
            .get(&identity)
            .is_some_and(|stored| stored.has_conflict);
        let is_full = !is_known && self.records.len() >= self.config.capacity;
        let is_blocked = is_full || has_conflict || self.released.contains(&claim);
        if is_blocked || !self.is_ready(now, identity) {
            return RegisterReply::NotReady { claim };
        }
        if !is_known {
            let progress = Progress::Running;
            self.store(now, identity, Record { claim, progress });
        }
        RegisterReply::Granted {
            claim,
            incarnation: self.incarnation,
        }
    }

    fn confirm(
        &self,
        identity: Identity,
        claim: ClaimId,
        incarnation: Incarnation,
    ) -> RegisterReply {
        match self.records.get(&identity) {
            Some(stored) if stored.record.claim != claim => RegisterReply::Held {
                claim,
                record: stored.record.clone(),
            },
            Some(stored) if incarnation == self.incarnation && !stored.has_conflict => {
                RegisterReply::Confirmed { claim }
            }
            _ => RegisterReply::NotReady { claim },
        }
    }

    fn release(&mut self, now: Moment, identity: Identity, claim: ClaimId) -> RegisterReply {
        if self.released.insert(claim) {
            self.release_expiries
                .push_back((now + self.config.retention, claim));
        }
        if let Some(stored) = self.records.get(&identity)
            && stored.record.claim == claim
            && !stored.has_conflict
        {
            self.expiries.remove(&(stored.expiry, identity));
            self.records.remove(&identity);
        }
        RegisterReply::Done { claim }
    }

    fn read_page(
        &self,
        now: Moment,
        from: Node,
        reader_incarnation: Incarnation,
        after: Option<Identity>,
    ) -> RegisterReply {
        let lowest = after.map_or(0, |i| i.0.saturating_add(1));
        let mut matching = self
            .records
            .range(Identity(lowest)..)
            .filter(|(i, _)| self.members.replicas(**i).contains(&from));
        let records: Vec<PageRecord> = matching
            .by_ref()
            .take(MAX_PAGE_RECORDS)
            .map(|(identity, stored)| PageRecord {
                identity: *identity,
                record: stored.record.clone(),
                has_conflict: stored.has_conflict,
                ttl_ms: stored.expiry.since(now).as_millis() as u64,
            })
            .collect();
        let is_last = matching.next().is_none();
        RegisterReply::Page {
            incarnation: self.incarnation,
            reader_incarnation,
            after,
            records,
            is_last,
            unread_replicas: self.unread_replicas(now),
        }
    }

    /// Merges a record that was read from another replica. If two claims of an identity may both be
    /// running, neither is granted from then on, because this replica cannot tell which of them it
    /// granted before its restart.
    fn merge(&mut self, now: Moment, page_record: PageRecord) {
        if self.released.contains(&page_record.record.claim) {
            return;
        }
        let is_running = page_record.record.progress == Progress::Running;
        // `ttl_ms` is rounded down.
        let expiry = now + Duration::from_millis(page_record.ttl_ms + 1);
        match self.records.get_mut(&page_record.identity) {
            Some(stored) if stored.record.progress != Progress::Running => (),
            Some(stored) if is_running => {
                stored.has_conflict |=
                    page_record.has_conflict || stored.record.claim != page_record.record.claim;
            }
            _ => self.insert(
                page_record.identity,
                page_record.record,
                page_record.has_conflict,
                expiry,
            ),
        }
    }

    fn store(&mut self, now: Moment, identity: Identity, record: Record) {
        self.insert(identity, record, false, now + self.config.retention);
    }

    fn insert(&mut self, identity: Identity, record: Record, has_conflict: bool, expiry: Moment) {
        let stored = StoredRecord {
            record,
            has_conflict,
            expiry,
        };
        if let Some(old) = self.records.insert(identity, stored) {
            self.expiries.remove(&(old.expiry, identity));
        }
        self.expiries.insert((expiry, identity));
    }

    /// Entries whose records this replica may lack, as it reports them to its readers.
    fn unread_replicas(&self, now: Moment) -> Vec<Node> {
        self.pending_reads(now)
            .into_iter()
            .map(|(node, _)| node)
            .collect()
    }

    /// Entries whose records `node` may have lacked; `None` until `node` is read to the end.
    fn unread_by(&self, node: Node) -> Option<&BTreeSet<Node>> {
        self.read_states.get(&node)?.unread.as_ref()
    }

    /// Whether `node` is read to the end and itself lacked the records of so few replicas of this
    /// set that every majority includes at least two whose records it had.
    fn is_covered(&self, replica_set: &[Node], node: Node) -> bool {
        let Some(unread) = self.unread_by(node).filter(|_| node != self.node) else {
            return false;
        };
        let tolerated = quorum(replica_set.len()).saturating_sub(2);
        replica_set.iter().filter(|n| unread.contains(n)).count() <= tolerated
    }
}
