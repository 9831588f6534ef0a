//! Who votes and who only learns.
//!
//! A member is a node together with the random identity of its data folder. A node whose folder was
//! emptied comes back under a new identity, so nothing that the lost folder promised is asked of
//! the new one: it has to be admitted like any newcomer.

use crate::name::Node;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, fmt};
use thiserror::Error;

/// Random number of one data folder, drawn when the folder is created.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Identity(pub u64);

impl Identity {
    /// Addresses a message to whatever identity the node has.
    pub const ANY: Identity = Identity(0);
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A node with one certain data folder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The node.
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
    /// The member receives the log but does not vote. An older learner of its node is dropped.
    AddLearner(Member),
    /// A learner becomes a voter.
    Promote(Member),
    /// A voter or learner is removed.
    Remove(Member),
}

/// Why a change of the membership is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum MembershipError {
    /// Only the leader changes the membership.
    #[error("this voter does not lead; send the change to the leader")]
    NotLeader(Option<Node>),
    /// One change at a time.
    #[error("another change of the voters is not committed yet; retry when it is")]
    ChangePending,
    /// The member is a voter or learner already.
    #[error("{0} is a member already; remove it first")]
    AlreadyMember(Member),
    /// The member is not known.
    #[error("{0} is not a member; let it join as a learner first")]
    NotMember(Member),
    /// The learner misses committed entries.
    #[error("{0} has not caught up; retry when its lag is zero")]
    NotCaughtUp(Member),
    /// A node votes once.
    #[error("the node votes under another identity; remove {0} first")]
    NodeAlreadyVotes(Member),
    /// Too few of the voters that would remain answer.
    #[error("no majority of the voters after the change answers; repair a voter first")]
    NoQuorum,
    /// The last voter cannot be removed.
    #[error("{0} is the last voter; add another voter first")]
    LastVoter(Member),
}

/// Voters and learners as of one log entry.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Who founded the fleet; another founder means another log, though the fleet's name be equal.
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

    /// Number of voters that make a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the member votes.
    pub fn is_voter(&self, member: Member) -> bool {
        self.voters.contains(&member)
    }

    /// Whether the member votes or learns.
    pub fn contains(&self, member: Member) -> bool {
        self.is_voter(member) || self.learners.contains(&member)
    }

    /// All members, voters first.
    pub fn members(&self) -> impl Iterator<Item = Member> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Highest value that a majority of the voters has reached; `None` without voters.
    pub fn quorum_value<T: Ord + Copy>(&self, value: impl Fn(Member) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters.iter().map(|m| value(*m)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied()
    }

    /// Membership after one change.
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
