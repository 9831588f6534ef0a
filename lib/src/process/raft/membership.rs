//! Voters and learners of the replicated log, and the changes of one member at a time.
//!
//! A member is a node together with the random identity of its data folder. A node whose folder was
//! emptied returns with a new identity and has to join like any other node, so it is never held to
//! votes or acknowledgements that the lost folder recorded.

use crate::name::Node;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, fmt};
use thiserror::Error;

/// Random number that identifies a data folder, drawn when the folder is created.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Identity(pub u64);

impl Identity {
    /// Addresses a message to a node whatever its identity.
    pub const ANY: Identity = Identity(0);
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Node with a particular data folder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Node that keeps the folder.
    pub node: Node,
    /// Identity of its data folder.
    pub identity: Identity,
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.node, self.identity)
    }
}

/// Change of the membership by one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a member that receives the log but does not vote. It replaces an earlier learner of its
    /// node.
    AddLearner(Member),
    /// Makes a learner a voter.
    Promote(Member),
    /// Removes a voter or learner.
    Remove(Member),
}

/// Reason why a change of the membership cannot be proposed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum MembershipError {
    /// This member is not the leader, which is given if known.
    #[error("this voter is not the leader; send the change to the leader")]
    NotLeader(Option<Node>),
    /// The previous change, or the first entry of the leader's term, is not committed yet.
    #[error("another membership change is not committed yet; retry once it is")]
    ChangePending,
    /// The member is a voter or learner already.
    #[error("{0} is a member already; remove it first")]
    AlreadyMember(Member),
    /// The member to change is not part of the membership.
    #[error("{0} is not a member; let it join as a learner first")]
    NotMember(Member),
    /// The learner lacks committed entries.
    #[error("learner {0} has not caught up; retry once its lag is zero")]
    NotCaughtUp(Member),
    /// The learner's node is a voter under another identity; two would give it two votes.
    #[error("the node is already a voter under another identity; remove {0} first")]
    NodeAlreadyVotes(Member),
    /// Too few voters of the changed membership are responsive to form a majority.
    #[error("no majority of the voters after the change is responsive; repair a voter first")]
    NoQuorum,
    /// The change would leave no voter.
    #[error("{0} is the last voter; add another voter before removing it")]
    LastVoter(Member),
}

/// Voters and learners as of one log entry.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Identity of the member that bootstrapped the fleet. It tells apart the logs of two fleets of
    /// the same name.
    pub bootstrap_identity: Identity,
    /// Members whose votes and acknowledgements count.
    pub voters: BTreeSet<Member>,
    /// Members that only receive the log.
    pub learners: BTreeSet<Member>,
}

impl Membership {
    /// Membership of the given voters, without learners.
    pub fn new(bootstrap_identity: Identity, voters: impl IntoIterator<Item = Member>) -> Self {
        Membership {
            bootstrap_identity,
            voters: voters.into_iter().collect(),
            learners: BTreeSet::new(),
        }
    }

    /// Number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the member is a voter.
    pub fn is_voter(&self, member: Member) -> bool {
        self.voters.contains(&member)
    }

    /// Whether the member is a voter or learner.
    pub fn contains(&self, member: Member) -> bool {
        self.is_voter(member) || self.learners.contains(&member)
    }

    /// All members, voters first.
    pub fn members(&self) -> impl Iterator<Item = Member> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Highest value that a majority of the voters has reached, such as the index up to which they
    /// hold the log; `None` without voters.
    pub fn quorum_value<T: Ord + Copy>(&self, value: impl Fn(Member) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters.iter().map(|m| value(*m)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied()
    }

    /// Copy of this membership with one change made.
    pub fn with_change(&self, change: MembershipChange) -> Result<Membership, MembershipError> {
        let mut next = self.clone();
        match change {
            MembershipChange::AddLearner(member) => {
                if self.contains(member) {
                    return Err(MembershipError::AlreadyMember(member));
                }
                next.learners.retain(|m| m.node != member.node);
                next.learners.insert(member);
            }
            MembershipChange::Promote(member) => {
                if !next.learners.remove(&member) {
                    return Err(MembershipError::NotMember(member));
                }
                if let Some(existing) = next.voters.iter().find(|v| v.node == member.node) {
                    return Err(MembershipError::NodeAlreadyVotes(*existing));
                }
                next.voters.insert(member);
            }
            MembershipChange::Remove(member) => {
                if !next.learners.remove(&member) && !next.voters.remove(&member) {
                    return Err(MembershipError::NotMember(member));
                }
                if next.voters.is_empty() {
                    return Err(MembershipError::LastVoter(member));
                }
            }
        }
        Ok(next)
    }
}
