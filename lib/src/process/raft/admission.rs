//! How nodes with empty folders become voters.
//!
//! A node that hears of no leader greets all listed voters. If each of them is known to be empty,
//! one of them founds the fleet by an election in which all must agree. If the fleet exists, its
//! leader takes a node that is no member as a learner. When the learner has caught up, the voter
//! that the same node was under its former identity is removed, and then the learner becomes a
//! voter.

use super::{
    Raft, Role,
    config::JoinPolicy,
    membership::{Identity, Member, Membership, MembershipChange, MembershipError},
    message::{MessageBody, Payload},
    replication::Progress,
};
use crate::{moment::Moment, name::Node};
use std::{collections::BTreeSet, time::Duration};

/// Shortest election timeouts for which a greeting counts.
const HELLO_MAX_AGE_FACTOR: u32 = 3;
/// A fleet without a list of members never shrinks below so many voters.
const MIN_VOTERS: usize = 3;
/// Shortest election timeouts of silence after which a voter of an even number is removed.
const EVEN_REMOVAL_FACTOR: u32 = 3;
/// The same for an odd number, of which two have to be unresponsive; a restart takes less.
const ODD_REMOVAL_FACTOR: u32 = 20;

/// What a node said of itself.
#[derive(Debug, Clone, Copy)]
pub struct ReceivedHello {
    identity: Identity,
    empty: bool,
    received_at: Moment,
}

impl Raft {
    /// Changes the membership by one member; gives the index of the entry that holds it. The change
    /// counts from now on, and no other may follow before it is committed.
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

    /// Tells all listed nodes, and all members known, the identity of this one.
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

    /// Takes note of a node's identity; a new one is greeted in turn.
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

    /// Tells a stranger who leads: seeds need not lead, and only the leader admits members.
    fn send_redirect(&mut self, sender: Member) {
        let is_non_member = !self.membership().contains(sender);
        let leader = self.leader.filter(|node| *node != self.config.node);
        if let (JoinPolicy::Seeded { .. }, true, Some(leader)) =
            (self.config.join_policy, is_non_member, leader)
        {
            self.send(sender, MessageBody::Redirect { leader });
        }
    }

    /// Greets the leader that a seed named.
    pub(super) fn handle_redirect(&mut self, leader: Node) {
        let identity = Identity::ANY;
        let empty = self.log.is_empty();
        if leader != self.config.node && self.leader.is_none() {
            let node = leader;
            self.send(Member { node, identity }, MessageBody::Hello { empty });
        }
    }

    /// All listed nodes, if each of them said of late that its folder is empty, as this one's is.
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

    /// Makes the next change of the membership that is due, if any.
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
        // A change that is refused now is tried again with the next heartbeat. A greeting serves
        // once: the node repeats it if it still hears of no leader, a late one is not repeated.
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

    /// A listed node that greeted and is no member.
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

    /// A learner of a listed node that has all committed entries and answers.
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

    /// The other identity of a node that is a voter and a learner: the voter if the learner is
    /// ready to take its place, the learner if the voter answers and the learner does not.
    ///
    /// The voter goes before the learner comes. The other way round there would be two voters of
    /// one node for a while, and the loss of its disk would cost two votes.
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

    /// A unresponsive voter that the quorum is better off without. With an even number of voters its
    /// removal costs no tolerance; with an odd one it pays once a second voter is unresponsive too. Only a
    /// fleet whose members are not listed shrinks by itself: a voter that returns joins anew.
    fn removable_voter(&self, now: Moment) -> Option<Member> {
        let JoinPolicy::Seeded { .. } = self.config.join_policy else {
            return None;
        };
        let voters = &self.membership().voters;
        if voters.len() <= MIN_VOTERS {
            return None;
        }
        let is_even = voters.len().is_multiple_of(2);
        let factor = if is_even {
            EVEN_REMOVAL_FACTOR
        } else {
            ODD_REMOVAL_FACTOR
        };
        let timeout = self.config.election_timeout * factor;
        let mut unresponsive = voters
            .iter()
            .filter(|m| self.unresponsive_for(now, **m) >= timeout);
        let candidate = unresponsive.next().copied();
        candidate.filter(|_| is_even || unresponsive.next().is_some())
    }

    /// How long the leader has heard nothing from a member.
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

    /// Whether the member is this voter or answered within the shortest election timeout.
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
