//! Bootstrap of a fleet, and how nodes with empty data folders become voters.
//!
//! A node that knows no leader sends a hello to all configured voters. Once each of them is known
//! to have an empty log, one of them bootstraps the fleet in an election that needs the votes of
//! all configured voters. If the fleet exists already, its leader adds a node that is not a member
//! as a learner. When the learner has caught up, the leader removes the voter that the same node
//! was under its former identity, and then promotes the learner to voter.
//!
//! Whatever is committed is on the disks of a majority of the voters, so a group bears the loss of
//! `n` disks only while it has `2n + 1` voters. A fleet therefore never shrinks below
//! [`RaftConfig::min_voters`](super::RaftConfig::min_voters), however long voters are away: hosts
//! that are down or cut off keep their disks, and the next losses may be disks. Fewer voters would
//! only help to go on through further losses than the fleet is meant to bear. Above that number, a
//! silent voter is removed before it can add to the next losses; see [`VoterCount`].

use super::{
    Raft, Role,
    config::JoinPolicy,
    membership::{Identity, Member, Membership, MembershipChange, MembershipError},
    message::{MessageBody, Payload},
    removal::{Removal, VoterCount},
    replication::Progress,
};
use crate::{moment::Moment, name::Node};
use std::{collections::BTreeSet, time::Duration};

/// Maximum age of a hello, in shortest election timeouts.
const HELLO_MAX_AGE_FACTOR: u32 = 3;
/// Shortest election timeouts without an answer after which a voter counts as silent.
const SILENCE_FACTOR: u32 = 3;
/// The same after which a voter is removed although the group bears enough losses. It is long enough
/// for a voter to restart.
const LATE_REMOVAL_FACTOR: u32 = 20;

/// Content of the last hello from a node.
#[derive(Debug, Clone, Copy)]
pub struct ReceivedHello {
    identity: Identity,
    empty: bool,
    received_at: Moment,
}

impl Raft {
    /// Proposes a change of the membership by one member; returns the index of its entry. The
    /// change is in force at once, and no other one is accepted before it is committed.
    pub fn propose_membership_change(
        &mut self,
        now: Moment,
        change: MembershipChange,
    ) -> Result<u64, MembershipError> {
        let Role::Leader(replication) = &self.role else {
            return Err(MembershipError::NotLeader(self.leader));
        };
        if !self.is_ready() || self.log.membership_index() > self.commit {
            return Err(MembershipError::ChangePending);
        }
        if let MembershipChange::Promote(member) = change {
            let matched = replication
                .progress
                .get(&member)
                .map_or(0, Progress::matched);
            if matched < self.commit {
                return Err(MembershipError::NotCaughtUp(member));
            }
        }
        let membership = self.membership().with_change(change)?;
        let adds_learner = matches!(change, MembershipChange::AddLearner(_));
        let responsive = membership
            .voters
            .iter()
            .filter(|m| self.is_responsive(now, **m));
        if !adds_learner && responsive.count() < membership.quorum() {
            return Err(MembershipError::NoQuorum);
        }
        self.append_as_leader(now, Payload::Membership(membership))
            .ok_or(MembershipError::NotLeader(self.leader))
    }

    /// Sends the identity of this node to all configured voters and, in a seeded fleet, to all
    /// known members.
    pub(super) fn send_hellos(&mut self) {
        let empty = self.log.is_empty();
        let mut nodes: BTreeSet<Node> = self.config.configured_voters.iter().copied().collect();
        if let JoinPolicy::Seeded { .. } = self.config.join_policy {
            nodes.extend(self.membership().members().map(|m| m.node));
        }
        for node in nodes {
            if node != self.config.node {
                let identity = Identity::ANY;
                self.send(Member { node, identity }, MessageBody::Hello { empty });
            }
        }
    }

    /// Records the identity of a node. A node with an empty log answers a new identity with its own
    /// hello.
    pub(super) fn handle_hello(&mut self, now: Moment, sender: Member, empty: bool) {
        if !self.config.can_join(sender.node) || sender.node == self.config.node {
            return;
        }
        let known_identity = self.recent_hello(now, sender.node).map(|h| h.identity);
        let hello = ReceivedHello {
            identity: sender.identity,
            empty,
            received_at: now,
        };
        self.hellos.insert(sender.node, hello);
        self.send_redirect(sender);
        if known_identity != Some(sender.identity) && self.log.is_empty() {
            self.send(sender, MessageBody::Hello { empty: true });
        }
    }

    /// Tells a node that is not a member which node leads. A node sends its hellos to the seeds,
    /// but only the leader adds members, and a seed need not be the leader.
    fn send_redirect(&mut self, sender: Member) {
        let is_non_member = !self.membership().contains(sender);
        let leader = self.leader.filter(|node| *node != self.config.node);
        if let (JoinPolicy::Seeded { .. }, true, Some(leader)) =
            (self.config.join_policy, is_non_member, leader)
        {
            self.send(sender, MessageBody::Redirect { leader });
        }
    }

    /// Sends a hello to a node that still addresses the lost folder of this one. A new folder may know
    /// no other member, as its seeds may be gone.
    pub(super) fn answer_former_identity(&mut self, from: Node) {
        if let (JoinPolicy::Seeded { .. }, true, None) =
            (self.config.join_policy, self.log.is_empty(), self.leader)
        {
            let identity = Identity::ANY;
            let to = Member {
                node: from,
                identity,
            };
            self.send(to, MessageBody::Hello { empty: true });
        }
    }

    /// Sends a hello to the leader named by a seed.
    pub(super) fn handle_redirect(&mut self, leader: Node) {
        let identity = Identity::ANY;
        let empty = self.log.is_empty();
        if leader != self.config.node && self.leader.is_none() {
            let node = leader;
            self.send(Member { node, identity }, MessageBody::Hello { empty });
        }
    }

    /// Membership of all configured voters, if this one's log is empty and each of the others
    /// recently sent a hello with an empty log.
    pub(super) fn bootstrap_membership(&self, now: Moment) -> Option<Membership> {
        let is_bootstrapped = !self.log.is_empty() || !self.membership().voters.is_empty();
        if is_bootstrapped || !self.config.can_bootstrap() {
            return None;
        }
        let candidates = self.config.configured_voters.iter().map(|node| {
            let is_own = *node == self.config.node;
            let identity = if is_own {
                Some(self.config.identity)
            } else {
                let hello = self.recent_hello(now, *node).filter(|h| h.empty);
                hello.map(|h| h.identity)
            };
            Some(Member {
                node: *node,
                identity: identity?,
            })
        });
        let members: Option<Vec<Member>> = candidates.collect();
        members
            .map(|members| Membership::new(self.config.identity, members))
            .filter(|m| m.is_voter(self.member()))
    }

    /// Proposes the next membership change that is due, if any.
    pub(super) fn propose_due_change(&mut self, now: Moment) {
        let change = self
            .superseded_member(now)
            .or_else(|| self.removable_voter(now))
            .map(MembershipChange::Remove)
            .or_else(|| self.promotable_learner(now).map(MembershipChange::Promote))
            .or_else(|| self.joining_node(now).map(MembershipChange::AddLearner));
        let Some(change) = change else {
            return;
        };
        let proposed = self.propose_membership_change(now, change).is_ok();
        // A rejected change is proposed again with the next heartbeat. A hello is used only once: a
        // node that still knows no leader repeats it, while a delayed one from a lost folder is
        // never repeated.
        if let (true, MembershipChange::AddLearner(member)) = (proposed, change) {
            self.hellos.remove(&member.node);
        }
    }

    fn recent_hello(&self, now: Moment, node: Node) -> Option<ReceivedHello> {
        let hello = *self.hellos.get(&node)?;
        let is_recent =
            now.since(hello.received_at) < self.config.election_timeout * HELLO_MAX_AGE_FACTOR;
        is_recent.then_some(hello)
    }

    /// Node that recently sent a hello and is not a member.
    fn joining_node(&self, now: Moment) -> Option<Member> {
        let joining = self.hellos.keys().filter_map(|node| {
            Some(Member {
                node: *node,
                identity: self.recent_hello(now, *node)?.identity,
            })
        });
        let mut non_members = joining.filter(|m| !self.membership().contains(*m));
        non_members.next()
    }

    /// Responsive learner that has all committed entries and whose node may join.
    fn promotable_learner(&self, now: Moment) -> Option<Member> {
        let Role::Leader(replication) = &self.role else {
            return None;
        };
        let mut learners = self.membership().learners.iter();
        let learner = learners.find(|m| {
            let matched = replication.progress.get(m).map_or(0, Progress::matched);
            let can_join = self.config.can_join(m.node);
            can_join && matched >= self.commit && self.is_responsive(now, **m)
        });
        learner.copied()
    }

    /// Member to remove of a node that is both a voter and a learner: the voter if the learner is
    /// ready to replace it, the learner if the voter is responsive and the learner is not.
    ///
    /// The voter is removed before the learner is promoted. In the opposite order the node would
    /// have two votes for a while, and the loss of its disk would cost both.
    fn superseded_member(&self, now: Moment) -> Option<Member> {
        let replaceable = self
            .promotable_learner(now)
            .and_then(|m| self.voter_on(m.node));
        let mut learners = self.membership().learners.iter().copied();
        let unresponsive = learners.find(|m| {
            let voter = self.voter_on(m.node);
            voter.is_some_and(|v| self.is_responsive(now, v)) && !self.is_responsive(now, *m)
        });
        replaceable.or(unresponsive)
    }

    /// Silent voter to remove, the one that has been silent for longest. Only a seeded fleet removes
    /// voters by itself: a voter that returns joins again.
    fn removable_voter(&self, now: Moment) -> Option<Member> {
        let JoinPolicy::Seeded { .. } = self.config.join_policy else {
            return None;
        };
        let min_voters = self.config.min_voters;
        let removal = |factor| self.voter_count(now, factor).removal(min_voters);
        let is_due = removal(SILENCE_FACTOR) == Removal::Soon
            || removal(LATE_REMOVAL_FACTOR) == Removal::Late;
        if !is_due {
            return None;
        }
        let voters = self.membership().voters.iter().copied();
        voters.max_by_key(|m| self.unresponsive_for(now, *m))
    }

    /// Number of voters that have not answered this leader for a few election timeouts; 0 if this
    /// voter does not lead.
    pub fn silent_voters(&self, now: Moment) -> usize {
        self.voter_count(now, SILENCE_FACTOR).silent
    }

    /// Voters, and those that have been unresponsive for so many shortest election timeouts.
    fn voter_count(&self, now: Moment, factor: u32) -> VoterCount {
        let timeout = self.config.election_timeout * factor;
        let voters = &self.membership().voters;
        let is_silent = |m: &&Member| self.unresponsive_for(now, **m) >= timeout;
        VoterCount {
            voters: voters.len(),
            silent: voters.iter().filter(is_silent).count(),
        }
    }

    /// Time since the leader sent the last message that a member answered, or since its election.
    fn unresponsive_for(&self, now: Moment, member: Member) -> Duration {
        let Role::Leader(replication) = &self.role else {
            return Duration::ZERO;
        };
        if member == self.member() {
            return Duration::ZERO;
        }
        let last_acked = replication
            .progress
            .get(&member)
            .and_then(Progress::last_acked);
        now.since(
            last_acked
                .unwrap_or(replication.elected_at())
                .max(replication.elected_at()),
        )
    }

    fn voter_on(&self, node: Node) -> Option<Member> {
        let mut voters = self.membership().voters.iter().copied();
        voters.find(|m| m.node == node)
    }

    /// Whether the member is this voter, or answered a message sent within the last shortest
    /// election timeout.
    fn is_responsive(&self, now: Moment, member: Member) -> bool {
        let Role::Leader(replication) = &self.role else {
            return false;
        };
        let last_acked = replication
            .progress
            .get(&member)
            .and_then(Progress::last_acked);
        let is_recent = last_acked.is_some_and(|a| now.since(a) < self.config.election_timeout);
        member == self.member() || is_recent
    }
}
