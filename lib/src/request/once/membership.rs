//! Selection of the entries that replicate an identity, from the committed member lists.

use super::Identity;
use crate::name::Node;

/// Replicas of an identity in a fleet of at least this many entries.
const LARGE_FLEET_REPLICAS: usize = 5;
/// Replicas of an identity in a smaller fleet of at least this many entries.
const SMALL_FLEET_REPLICAS: usize = 3;

/// Number of replicas that form a majority.
pub fn quorum(replicas: usize) -> usize {
    replicas / 2 + 1
}

/// Committed member lists of the fleet, which include entries that are down.
///
/// After a change of the members, a claim needs a majority under each list in force until the
/// records made under the older lists have expired.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Membership {
    member_lists: Vec<Vec<Node>>,
}

impl Membership {
    /// Membership with a single list in force.
    pub fn new(members: &[Node]) -> Self {
        Membership {
            member_lists: vec![sorted(members)],
        }
    }

    /// Puts a new list in force; the older ones stay in force until
    /// [`Membership::drop_older_lists`].
    pub fn add_list(&mut self, members: &[Node]) {
        let members = sorted(members);
        if self.member_lists.last() != Some(&members) {
            self.member_lists.push(members);
        }
    }

    /// Drops all lists but the newest, once the records made under them have expired.
    pub fn drop_older_lists(&mut self) {
        let older = self.member_lists.len().saturating_sub(1);
        self.member_lists.drain(..older);
    }

    /// All entries of all lists, in order.
    pub fn nodes(&self) -> Vec<Node> {
        sorted(&self.member_lists.concat())
    }

    /// Replica sets of an identity: one for each list in force, without adjacent duplicates.
    pub fn replica_sets(&self, identity: Identity) -> Vec<Vec<Node>> {
        let mut replica_sets: Vec<Vec<Node>> = self
            .member_lists
            .iter()
            .map(|list| rendezvous_replicas(identity, list))
            .collect();
        replica_sets.dedup();
        replica_sets
    }

    /// Replicas of an identity under any list in force, in order.
    pub fn replicas(&self, identity: Identity) -> Vec<Node> {
        sorted(&self.replica_sets(identity).concat())
    }
}

fn sorted(nodes: &[Node]) -> Vec<Node> {
    let mut nodes = nodes.to_vec();
    nodes.sort_unstable();
    nodes.dedup();
    nodes
}

/// Selects replicas by rendezvous hashing: the members with the highest scores.
fn rendezvous_replicas(identity: Identity, members: &[Node]) -> Vec<Node> {
    let count = match members.len() {
        n if n >= LARGE_FLEET_REPLICAS => LARGE_FLEET_REPLICAS,
        n if n >= SMALL_FLEET_REPLICAS => SMALL_FLEET_REPLICAS,
        n => n,
    };
    let mut scored: Vec<(u64, Node)> = members.iter().map(|m| (score(identity, *m), *m)).collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    let chosen: Vec<Node> = scored.into_iter().take(count).map(|(_, m)| m).collect();
    sorted(&chosen)
}

/// Score of a member for an identity. An identity is a digest, so mixing in the node's number with
/// the finalizer of SplitMix64 is enough to spread the scores.
fn score(identity: Identity, member: Node) -> u64 {
    let folded = (identity.0 as u64) ^ (identity.0 >> 64) as u64;
    let mut mixed = folded ^ member.0.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
