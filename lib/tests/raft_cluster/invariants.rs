//! Invariants checked after each step of a [`Cluster`].
//!
//! One leader per term, one vote per voter and term, one holder of the lease, equal committed
//! entries on all nodes, and no lease without all committed entries.

use super::Cluster;
use cornelrail_lib::{
    name::Node,
    process::raft::{
        LogEntry, Member, Membership, Message, MessageBody, Payload, Snapshot, VoteKind,
    },
};
use std::collections::BTreeMap;

/// Events observed so far, and the first violation.
#[derive(Default)]
pub struct Invariants {
    pub violation: Option<String>,
    pub committed: Vec<LogEntry>,
    pub membership: Option<Membership>,
    leaders: BTreeMap<u64, Member>,
    votes: BTreeMap<(Member, u64), (Node, u64)>,
}

impl Invariants {
    /// State that results from the committed entries up to `index`.
    pub fn state(&self, index: u64) -> Vec<u8> {
        let sum = self.committed[..index as usize].iter().fold(0u64, |s, e| {
            let bytes = postcard::to_stdvec(e).expect("entries can be encoded");
            s.rotate_left(7) ^ u64::from(crc32c::crc32c(&bytes))
        });
        // Long enough to need several snapshot chunks.
        sum.to_le_bytes().repeat(80_000)
    }

    pub fn record_commit(&mut self, node: u64, expected: u64, entry: &LogEntry) {
        if entry.index != expected {
            self.record_violation(format!(
                "node {node} applied {} after {}",
                entry.index,
                expected - 1
            ));
            return;
        }
        match self.committed.get(entry.index as usize - 1) {
            Some(known) if known == entry => {}
            Some(_) => self.record_violation(format!(
                "node {node} commits a different entry {}",
                entry.index
            )),
            None if entry.index as usize == self.committed.len() + 1 => {
                if let Payload::Membership(membership) = &entry.payload {
                    self.membership = Some(membership.clone());
                }
                self.committed.push(entry.clone());
            }
            None => self.record_violation(format!("node {node} skipped to entry {}", entry.index)),
        }
    }

    pub fn check_snapshot(&mut self, node: u64, snapshot: &Snapshot) {
        let known = snapshot.index as usize <= self.committed.len();
        if !known || snapshot.data != self.state(snapshot.index) {
            self.record_violation(format!(
                "node {node} installs a snapshot with a wrong state"
            ));
        }
    }

    pub fn check_ready_leader(&mut self, node: u64, applied: u64) {
        if applied < self.committed.len() as u64 {
            self.record_violation(format!("node {node} leads without all committed entries"));
        }
    }

    /// Records votes as they are sent. A candidate votes for itself.
    pub fn record_message(&mut self, from: Member, to: Node, message: &Message) {
        let choice = match message.body {
            MessageBody::VoteReply {
                kind: VoteKind::Election | VoteKind::Bootstrap,
                granted: true,
            } => (to, message.to.0),
            MessageBody::VoteRequest {
                kind: VoteKind::Election | VoteKind::Bootstrap,
                ..
            } => (from.node, from.identity.0),
            _ => return,
        };
        let first = *self.votes.entry((from, message.term)).or_insert(choice);
        if first != choice {
            self.record_violation(format!("{from} voted twice in term {}", message.term));
        }
    }

    fn record_leader(&mut self, leader: Member, term: u64) {
        let first = *self.leaders.entry(term).or_insert(leader);
        if first != leader {
            self.record_violation(format!("{first} and {leader} both lead term {term}"));
        }
    }

    fn record_violation(&mut self, violation: String) {
        self.violation.get_or_insert(violation);
    }
}

/// Checks leaders and leases. Frozen processes count too, since each could resume now and rely on
/// its lease.
pub fn check(cluster: &mut Cluster) {
    let mut holder = None;
    for node in cluster.nodes() {
        let Some(raft) = &cluster.machines[node as usize - 1].raft else {
            continue;
        };
        let (leads, member, term) = (raft.is_leader(), raft.member(), raft.term());
        let commit = raft.commit();
        if leads {
            cluster.invariants.record_leader(member, term);
        }
        if !cluster.has_lease(node) {
            continue;
        }
        if let Some(other) = holder.replace(node) {
            let violation = format!("nodes {other} and {node} both hold a lease");
            cluster.invariants.record_violation(violation);
        }
        if commit < cluster.invariants.committed.len() as u64 {
            let violation = format!("node {node} would serve a stale read");
            cluster.invariants.record_violation(violation);
        }
    }
}
