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
const GREETING_ELECTIONS: u32 = 3;
/// A fleet without a list of members never shrinks below so many voters.
const LEAST_VOTERS: usize = 3;
/// Shortest election timeouts of silence after which a voter of an even number is removed.
const SILENT_EVEN: u32 = 3;
/// The same for an odd number, of which two have to be silent; a restart takes less.
const SILENT_ODD: u32 = 20;

/// What a node said of itself.
#[derive(Debug, Clone, Copy)]
pub struct Greeting {
    identity: Identity,
    empty: bool,
    at: Moment,
}

impl Raft {
    /// Changes the membership by one member; gives the index of the entry that holds it. The change
    /// counts from now on, and no other may follow before it is committed.
    pub fn propose_membership_change(
        &mut self,
        now: Moment,
        change: MembershipChange,
    ) -> Result<u64, MembershipError> {
        let Role::Leader(leading) = &self.role else {
            return Err(MembershipError::NotLeader(self.leader));
        };
        if !self.is_ready() || self.log.membership_index() > self.commit {
            return Err(MembershipError::ChangePending);
        }
        if let MembershipChange::Promote(member) = change {
            let matched = leading.progress.get(&member).map_or(0, Progress::matched);
            if matched < self.commit {
                return Err(MembershipError::NotCaughtUp(member));
            }
        }
        let membership = self.membership().with_change(change)?;
        let learns = matches!(change, MembershipChange::AddLearner(_));
        let answering = membership.voters.iter().filter(|m| self.answers(now, **m));
        if !learns && answering.count() < membership.quorum() {
            return Err(MembershipError::NoQuorum);
        }
        self.append_own(now, Payload::Membership(membership))
            .ok_or(MembershipError::NotLeader(self.leader))
    }

    /// Tells all listed nodes, and all members known, the identity of this one.
    pub(super) fn greet(&mut self) {
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
    pub(super) fn take_hello(&mut self, now: Moment, sender: Member, empty: bool) {
        if !self.config.can_join(sender.node) || sender.node == self.config.node {
            return;
        }
        let known = self.greeting(now, sender.node).map(|g| g.identity);
        let greeting = Greeting {
            identity: sender.identity,
            empty,
            at: now,
        };
        self.greetings.insert(sender.node, greeting);
        self.redirect(sender);
        if known != Some(sender.identity) && self.log.is_empty() {
            self.send(sender, MessageBody::Hello { empty: true });
        }
    }

    /// Tells a stranger who leads: seeds need not lead, and only the leader admits members.
    fn redirect(&mut self, sender: Member) {
        let stranger = !self.membership().contains(sender);
        let leader = self.leader.filter(|node| *node != self.config.node);
        if let (JoinPolicy::Seeded { .. }, true, Some(leader)) =
            (self.config.join_policy, stranger, leader)
        {
            self.send(sender, MessageBody::Redirect { leader });
        }
    }

    /// Greets the leader that a seed named.
    pub(super) fn take_redirect(&mut self, leader: Node) {
        let identity = Identity::ANY;
        let empty = self.log.is_empty();
        if leader != self.config.node && self.leader.is_none() {
            let node = leader;
            self.send(Member { node, identity }, MessageBody::Hello { empty });
        }
    }

    /// All listed nodes, if each of them said of late that its folder is empty, as this one's is.
    pub(super) fn founders(&self, now: Moment) -> Option<Membership> {
        let exists = !self.log.is_empty() || !self.membership().voters.is_empty();
        if exists || !self.config.can_bootstrap() {
            return None;
        }
        let identities = self.config.configured_voters.iter().map(|node| {
            let own = *node == self.config.node;
            let identity = if own {
                Some(self.config.identity)
            } else {
                let greeting = self.greeting(now, *node).filter(|g| g.empty);
                greeting.map(|g| g.identity)
            };
            Some(Member {
                node: *node,
                identity: identity?,
            })
        });
        let founders: Option<Vec<Member>> = identities.collect();
        founders
            .map(|members| Membership::new(self.config.identity, members))
            .filter(|m| m.is_voter(self.member()))
    }

    /// Makes the next change of the membership that is due, if any.
    pub(super) fn admit(&mut self, now: Moment) {
        let change = self
            .superseded(now)
            .or_else(|| self.dispensable(now))
            .map(MembershipChange::Remove)
            .or_else(|| self.caught_up(now).map(MembershipChange::Promote))
            .or_else(|| self.newcomer(now).map(MembershipChange::AddLearner));
        let Some(change) = change else {
            return;
        };
        let accepted = self.propose_membership_change(now, change).is_ok();
        // A change that is refused now is tried again with the next heartbeat. A greeting serves
        // once: the node repeats it if it still hears of no leader, a late one is not repeated.
        if let (true, MembershipChange::AddLearner(member)) = (accepted, change) {
            self.greetings.remove(&member.node);
        }
    }

    fn greeting(&self, now: Moment, node: Node) -> Option<Greeting> {
        let greeting = *self.greetings.get(&node)?;
        let recent = now.since(greeting.at) < self.config.election_timeout * GREETING_ELECTIONS;
        recent.then_some(greeting)
    }

    /// A listed node that greeted and is no member.
    fn newcomer(&self, now: Moment) -> Option<Member> {
        let greeted = self.greetings.keys().filter_map(|node| {
            Some(Member {
                node: *node,
                identity: self.greeting(now, *node)?.identity,
            })
        });
        let mut strangers = greeted.filter(|m| !self.membership().contains(*m));
        strangers.next()
    }

    /// A learner of a listed node that has all committed entries and answers.
    fn caught_up(&self, now: Moment) -> Option<Member> {
        let Role::Leader(leading) = &self.role else {
            return None;
        };
        let mut learners = self.membership().learners.iter();
        let found = learners.find(|m| {
            let matched = leading.progress.get(m).map_or(0, Progress::matched);
            let admitted = self.config.can_join(m.node);
            admitted && matched >= self.commit && self.answers(now, **m)
        });
        found.copied()
    }

    /// The other identity of a node that is a voter and a learner: the voter if the learner is
    /// ready to take its place, the learner if the voter answers and the learner does not.
    ///
    /// The voter goes before the learner comes. The other way round there would be two voters of
    /// one node for a while, and the loss of its disk would cost two votes.
    fn superseded(&self, now: Moment) -> Option<Member> {
        let ready = self.caught_up(now).and_then(|m| self.voter_of(m.node));
        let mut learners = self.membership().learners.iter().copied();
        let idle = learners.find(|m| {
            let voter = self.voter_of(m.node);
            voter.is_some_and(|v| self.answers(now, v)) && !self.answers(now, *m)
        });
        ready.or(idle)
    }

    /// A silent voter that the quorum is better off without. With an even number of voters its
    /// removal costs no tolerance; with an odd one it pays once a second voter is silent too. Only a
    /// fleet whose members are not listed shrinks by itself: a voter that returns joins anew.
    fn dispensable(&self, now: Moment) -> Option<Member> {
        let JoinPolicy::Seeded { .. } = self.config.join_policy else {
            return None;
        };
        let voters = &self.membership().voters;
        if voters.len() <= LEAST_VOTERS {
            return None;
        }
        let even = voters.len().is_multiple_of(2);
        let elections = if even { SILENT_EVEN } else { SILENT_ODD };
        let span = self.config.election_timeout * elections;
        let mut silent = voters.iter().filter(|m| self.silent_for(now, **m) >= span);
        let first = silent.next().copied();
        first.filter(|_| even || silent.next().is_some())
    }

    /// How long the leader has heard nothing from a member.
    fn silent_for(&self, now: Moment, member: Member) -> Duration {
        let Role::Leader(leading) = &self.role else {
            return Duration::ZERO;
        };
        if member == self.member() {
            return Duration::ZERO;
        }
        let acked = leading.progress.get(&member).and_then(Progress::acked);
        now.since(acked.unwrap_or(leading.since()).max(leading.since()))
    }

    fn voter_of(&self, node: Node) -> Option<Member> {
        let mut voters = self.membership().voters.iter().copied();
        voters.find(|m| m.node == node)
    }

    /// Whether the member is this voter or answered within the shortest election timeout.
    fn answers(&self, now: Moment, member: Member) -> bool {
        let Role::Leader(leading) = &self.role else {
            return false;
        };
        let acked = leading.progress.get(&member).and_then(Progress::acked);
        let recent = acked.is_some_and(|a| now.since(a) < self.config.election_timeout);
        member == self.member() || recent
    }
}
