//! Claimant's side of the once-only register.
//!
//! A [`Claim`] decides from the replies of the replicas whether its request may be sent. A first
//! round collects grants; once a majority of each replica set has granted the claim, a second round
//! has them confirm that they still hold it. If an earlier claim holds the identity, or no majority
//! can be reached any more, the claim is released at all replicas.

use super::{
    ClaimId, Identity, Membership, Progress, Record, RegisterReply, RegisterRequest, quorum,
};
use crate::{
    moment::Moment,
    name::{Incarnation, Node},
    request::outcome::{Refusal, RefusalReason},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Maximum number of retries of a request to a replica that does not reply.
const MAX_RETRIES: u32 = 3;
/// Delay before the caller may resend a request whose identity another claim holds.
const REPEATED_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Delay before the caller may resend a request whose replicas could not be reached.
const NO_RECORD_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Request to one replica of the register.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AddressedRequest {
    /// Replica that the request goes to.
    pub to: Node,
    /// The request.
    pub request: RegisterRequest,
}

/// State of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimState {
    /// Waiting for replies.
    Pending,
    /// A majority holds the claim. Right before it sends the first byte, the caller must still
    /// check [`Claim::may_send`] and that its entry's lease is valid.
    Granted,
    /// The claim failed or was released, and its request must not be sent.
    Refused(Refusal),
    /// An earlier claim holds the identity; this is its record.
    Repeated(Record),
}

/// Latest reply of a replica to the claim.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Vote {
    Granted(Incarnation),
    Confirmed,
    Held(Record),
    NotReady,
}

/// Claim of the identity of one once-only request.
#[derive(Debug)]
pub struct Claim {
    identity: Identity,
    id: ClaimId,
    deadline: Moment,
    replica_sets: Vec<Vec<Node>>,
    votes: BTreeMap<Node, Vote>,
    is_confirming: bool,
    last_request: Option<RegisterRequest>,
    unacknowledged: BTreeSet<Node>,
    retries: u32,
    state: ClaimState,
}

impl Claim {
    /// Claim whose request must not be sent at or after `deadline`.
    pub fn new(id: ClaimId, identity: Identity, deadline: Moment, members: &Membership) -> Self {
        Claim {
            identity,
            id,
            deadline,
            replica_sets: members.replica_sets(identity),
            votes: BTreeMap::new(),
            is_confirming: false,
            last_request: None,
            unacknowledged: BTreeSet::new(),
            retries: 0,
            state: ClaimState::Pending,
        }
    }

    /// Identity of the request.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// Identifier of this attempt to claim the identity.
    pub fn id(&self) -> ClaimId {
        self.id
    }

    /// Current state.
    pub fn state(&self) -> &ClaimState {
        &self.state
    }

    /// Starts the claim; returns the requests to send.
    pub fn start(&mut self) -> Vec<AddressedRequest> {
        let request = RegisterRequest::Claim {
            identity: self.identity,
            claim: self.id,
        };
        self.broadcast(request)
    }

    /// Whether the first byte of the request may be sent: a majority holds the claim and the
    /// deadline has not passed.
    pub fn may_send(&self, now: Moment) -> bool {
        self.state == ClaimState::Granted && now < self.deadline
    }

    /// Handles the reply of a replica and returns the requests to send next. Late and duplicate
    /// replies are harmless.
    pub fn on_reply(&mut self, from: Node, reply: &RegisterReply) -> Vec<AddressedRequest> {
        match reply {
            RegisterReply::Done { claim } if *claim == self.id => {
                self.unacknowledged.remove(&from);
                return Vec::new();
            }
            RegisterReply::Granted { claim, incarnation }
                if *claim == self.id && !self.is_confirming =>
            {
                self.votes.insert(from, Vote::Granted(*incarnation));
            }
            RegisterReply::Confirmed { claim } if *claim == self.id && self.is_confirming => {
                self.votes.insert(from, Vote::Confirmed);
            }
            RegisterReply::Held { claim, record } if *claim == self.id => {
                self.votes.insert(from, Vote::Held(record.clone()));
            }
            RegisterReply::NotReady { claim } if *claim == self.id => {
                self.votes.insert(from, Vote::NotReady);
            }
            _ => return Vec::new(),
        }
        match self.state {
            ClaimState::Pending => self.evaluate_votes(),
            _ => Vec::new(),
        }
    }

    /// Handles the timeout of the wait for replies: retries the requests without a reply, or ends
    /// the claim after the last retry or at the deadline. Returns the requests to send.
    pub fn on_timeout(&mut self, now: Moment) -> Vec<AddressedRequest> {
        let is_exhausted = self.retries >= MAX_RETRIES || now >= self.deadline;
        if self.state == ClaimState::Pending && is_exhausted {
            return self.refuse();
        }
        if self.retries >= MAX_RETRIES {
            return Vec::new();
        }
        self.retries += 1;
        match (&self.state, self.is_confirming) {
            (ClaimState::Pending, true) => self.confirm_requests(),
            (ClaimState::Pending, false) => self.retry_last(|claim, n| !claim.has_granted(n)),
            _ => self.retry_last(|claim, n| claim.unacknowledged.contains(&n)),
        }
    }

    /// Records the outcome of the request if the claim is granted; returns the requests to send.
    pub fn record(&mut self, progress: Progress) -> Vec<AddressedRequest> {
        if self.state != ClaimState::Granted {
            return Vec::new();
        }
        let request = RegisterRequest::Record {
            identity: self.identity,
            claim: self.id,
            progress,
        };
        self.broadcast(request)
    }

    /// Releases the claim; returns the requests to send. To be called only if no target has run
    /// the request and none can run it any more.
    pub fn release(&mut self) -> Vec<AddressedRequest> {
        if !matches!(self.state, ClaimState::Refused(_)) {
            let refusal = Refusal::not_run(RefusalReason::NoRecord, NO_RECORD_RETRY_DELAY);
            self.state = ClaimState::Refused(refusal);
        }
        let request = RegisterRequest::Release {
            identity: self.identity,
            claim: self.id,
        };
        self.broadcast(request)
    }

    fn evaluate_votes(&mut self) -> Vec<AddressedRequest> {
        if let Some(record) = self.earlier_record() {
            return self.finish(ClaimState::Repeated(record));
        }
        if self.has_quorum(|v| *v == Vote::Confirmed) {
            self.state = ClaimState::Granted;
            self.last_request = None;
            return Vec::new();
        }
        if !self.is_confirming && self.has_quorum(|v| matches!(v, Vote::Granted(_))) {
            self.is_confirming = true;
            self.votes.retain(|_, v| matches!(v, Vote::Granted(_)));
            return self.confirm_requests();
        }
        match self
            .replica_sets
            .iter()
            .all(|set| self.can_reach_quorum(set))
        {
            true => Vec::new(),
            false => self.refuse(),
        }
    }

    /// Ends a claim that got no majority. If another claim holds the identity at some replica, its
    /// request may have run.
    fn refuse(&mut self) -> Vec<AddressedRequest> {
        let held_elsewhere = self.votes.values().any(|v| matches!(v, Vote::Held(_)));
        let refusal = match held_elsewhere {
            true => Refusal::unknown(RefusalReason::Repeated, REPEATED_RETRY_DELAY),
            false => Refusal::not_run(RefusalReason::NoRecord, NO_RECORD_RETRY_DELAY),
        };
        self.finish(ClaimState::Refused(refusal))
    }

    fn finish(&mut self, state: ClaimState) -> Vec<AddressedRequest> {
        self.state = state;
        let request = RegisterRequest::Release {
            identity: self.identity,
            claim: self.id,
        };
        self.broadcast(request)
    }

    /// Record of an earlier claim that has an outcome, or that at least as many replicas hold as
    /// the smallest quorum needs.
    fn earlier_record(&self) -> Option<Record> {
        let held = self.votes.values().filter_map(|v| match v {
            Vote::Held(record) => Some(record),
            _ => None,
        });
        let mut holders: BTreeMap<ClaimId, usize> = BTreeMap::new();
        let mut running = None;
        let smallest_quorum = self
            .replica_sets
            .iter()
            .map(|set| quorum(set.len()))
            .min()?;
        for record in held {
            if record.progress != Progress::Running {
                return Some(record.clone());
            }
            let count = holders.entry(record.claim).or_default();
            *count += 1;
            if *count >= smallest_quorum {
                running = Some(record.clone());
            }
        }
        running
    }

    /// Whether the replica set can still reach a majority: replicas that have not replied may yet
    /// grant the claim, but in the second round only those that granted it count.
    fn can_reach_quorum(&self, replica_set: &[Node]) -> bool {
        let possible = replica_set.iter().filter(|n| match self.votes.get(n) {
            Some(vote) => matches!(vote, Vote::Granted(_) | Vote::Confirmed),
            None => !self.is_confirming,
        });
        possible.count() >= quorum(replica_set.len())
    }

    fn has_quorum(&self, counts: impl Fn(&Vote) -> bool) -> bool {
        self.replica_sets.iter().all(|replica_set| {
            let votes = replica_set.iter().filter_map(|n| self.votes.get(n));
            votes.filter(|v| counts(v)).count() >= quorum(replica_set.len())
        })
    }

    fn has_granted(&self, node: Node) -> bool {
        matches!(self.votes.get(&node), Some(Vote::Granted(_)))
    }

    /// Requests of the second round, to the replicas that granted the claim.
    fn confirm_requests(&self) -> Vec<AddressedRequest> {
        let grants = self.votes.iter().filter_map(|(node, vote)| match vote {
            Vote::Granted(incarnation) => Some((*node, *incarnation)),
            _ => None,
        });
        grants
            .map(|(to, incarnation)| AddressedRequest {
                to,
                request: RegisterRequest::Confirm {
                    identity: self.identity,
                    claim: self.id,
                    incarnation,
                },
            })
            .collect()
    }

    /// Repeats the last request to the replicas that `is_wanted` selects.
    fn retry_last(&self, is_wanted: impl Fn(&Claim, Node) -> bool) -> Vec<AddressedRequest> {
        let Some(request) = &self.last_request else {
            return Vec::new();
        };
        self.replicas()
            .into_iter()
            .filter(|n| is_wanted(self, *n))
            .map(|to| AddressedRequest {
                to,
                request: request.clone(),
            })
            .collect()
    }

    fn broadcast(&mut self, request: RegisterRequest) -> Vec<AddressedRequest> {
        let replicas = self.replicas();
        self.last_request = Some(request.clone());
        self.retries = 0;
        self.unacknowledged = replicas.iter().copied().collect();
        replicas
            .into_iter()
            .map(|to| AddressedRequest {
                to,
                request: request.clone(),
            })
            .collect()
    }

    fn replicas(&self) -> Vec<Node> {
        let mut nodes = self.replica_sets.concat();
        nodes.sort_unstable();
        nodes.dedup();
        nodes
    }
}
