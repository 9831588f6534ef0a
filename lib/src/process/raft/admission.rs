//! How nodes with empty folders become voters.
//!
//! A node whose log is empty greets all listed voters. If each of them is known to be empty, one
//! of them founds the fleet by an election in which all must agree. If the fleet exists, its leader
//! takes the node as a learner, makes it a voter when it has caught up, and then removes the voter
//! that the same node was under its former identity.

use super::{
    Raft, Role,
    membership::{ChangeError, Identity, Member, Membership, VoterChange},
    message::{Body, Payload},
    replication::Progress,
};
use crate::{moment::Moment, name::Node};

impl Raft {
    /// Changes the membership by one member; gives the index of the entry that holds it. The change
    /// counts from now on, and no other may follow before it is committed.
    pub fn propose_voters(&mut self, now: Moment, change: VoterChange) -> Result<u64, ChangeError> {
        let Role::Leader(leading) = &self.role else {
            return Err(ChangeError::NotLeader(self.leader));
        };
        let settled = self.log.term(self.commit) == Some(self.hard.term);
        if !settled || self.log.membership_index() > self.commit {
            return Err(ChangeError::InFlight);
        }
        if let VoterChange::Promote(member) = change {
            let matched = leading.progress.get(&member).map_or(0, Progress::matched);
            if matched < self.commit {
                return Err(ChangeError::Behind(member));
            }
        }
        let membership = self.membership().changed(change)?;
        self.append_own(now, Payload::Membership(membership))
            .ok_or(ChangeError::NotLeader(self.leader))
    }

    /// Tells all listed nodes that this one's folder is empty.
    pub(super) fn greet(&mut self, now: Moment) {
        self.hello_at = now + self.config.election / 2;
        for node in self.config.listed.clone() {
            if node != self.config.node {
                let identity = Identity::ANY;
                self.send(Member { node, identity }, Body::Hello);
            }
        }
    }

    /// Takes note that a node's folder is empty.
    pub(super) fn take_hello(&mut self, now: Moment, from: Node, identity: Identity) {
        if self.config.listed.contains(&from) && from != self.config.node {
            self.greetings.insert(from, (identity, now));
        }
    }

    /// All listed nodes, if each of them said of late that its folder is empty, as this one's is.
    pub(super) fn founders(&self, now: Moment) -> Option<Membership> {
        if !self.log.is_empty() || !self.membership().voters.is_empty() {
            return None;
        }
        let identities = self.config.listed.iter().map(|node| {
            let own = *node == self.config.node;
            let identity = if own {
                Some(self.config.identity)
            } else {
                self.greeting(now, *node)
            };
            Some(Member {
                node: *node,
                identity: identity?,
            })
        });
        let founders: Option<Vec<Member>> = identities.collect();
        founders
            .map(Membership::of)
            .filter(|m| m.is_voter(self.member()))
    }

    /// Makes the next change of the membership that is due, if any.
    pub(super) fn admit(&mut self, now: Moment) {
        let change = self
            .superseded()
            .map(VoterChange::Remove)
            .or_else(|| self.caught_up(now).map(VoterChange::Promote))
            .or_else(|| self.newcomer(now).map(VoterChange::Learn));
        if let Some(change) = change {
            // A change that is refused now is tried again with the next heartbeat.
            let _ = self.propose_voters(now, change);
        }
    }

    fn greeting(&self, now: Moment, node: Node) -> Option<Identity> {
        let (identity, at) = *self.greetings.get(&node)?;
        (now.since(at) < self.config.election * 2).then_some(identity)
    }

    /// A listed node that greeted and is no member.
    fn newcomer(&self, now: Moment) -> Option<Member> {
        let greeted = self.greetings.keys().filter_map(|node| {
            let identity = self.greeting(now, *node)?;
            Some(Member {
                node: *node,
                identity,
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
            let Some(progress) = leading.progress.get(m) else {
                return false;
            };
            let recent = progress
                .acked()
                .map(|a| now.since(a) < self.config.election);
            let listed = self.config.listed.contains(&m.node);
            listed && progress.matched() >= self.commit && recent.unwrap_or(false)
        });
        found.copied()
    }

    /// A voter whose node is a voter under a later identity too: the one that answers less.
    fn superseded(&self) -> Option<Member> {
        let Role::Leader(leading) = &self.role else {
            return None;
        };
        let own = self.member();
        let voters = &self.membership().voters;
        let doubled = voters.iter().filter(|m| {
            let twins = voters.iter().filter(|o| o.node == m.node);
            **m != own && twins.count() > 1
        });
        doubled
            .min_by_key(|m| leading.progress.get(m).and_then(Progress::acked))
            .copied()
    }
}
