//! Claimant's side of the at-most-once register.

use super::{
    ClaimId, Identity, Membership, Progress, Record, RegisterReply, RegisterRequest, quorum,
};
use crate::{
    moment::Moment,
    name::{Incarnation, Node},
    request::outcome::{Reason, Refusal},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Times that a message without an answer is sent again.
const MAX_RETRIES: u32 = 3;
/// When a caller may come back whose identity is claimed by another sending.
const REPEATED_RETRY_DELAY: Duration = Duration::from_millis(500);
/// When a caller may come back while the replicas cannot be reached.
const NO_RECORD_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Message to one replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AddressedRequest {
    /// The replica.
    pub to: Node,
    /// The message.
    pub request: RegisterRequest,
}

/// Where a claim stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimState {
    /// Answers are awaited.
    Pending,
    /// A majority holds the claim. The caller must still check, right before the first byte, that
    /// [`Claim::may_send`] holds and that its entry's lease is valid.
    Granted,
    /// The claim is given up and never sends.
    Refused(Refusal),
    /// An earlier sending holds the identity: its record.
    Repeated(Record),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Vote {
    Granted(Incarnation),
    Confirmed,
    Held(Record),
    NotReady,
}

/// Claim of one once-only request by its home.
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
    /// Claim that must not send after `deadline`.
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

    /// Identity that is claimed.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// The claim's own number.
    pub fn id(&self) -> ClaimId {
        self.id
    }

    /// Where the claim stands.
    pub fn state(&self) -> &ClaimState {
        &self.state
    }

    /// Messages that begin the claim.
    pub fn start(&mut self) -> Vec<AddressedRequest> {
        let request = RegisterRequest::Claim {
            identity: self.identity,
            claim: self.id,
        };
        self.broadcast(request)
    }

    /// Whether the first byte may go out now: a majority holds the claim and the deadline is ahead.
    pub fn may_send(&self, now: Moment) -> bool {
        self.state == ClaimState::Granted && now < self.deadline
    }

    /// Takes in the answer of a replica; a late or repeated one changes nothing wrongly. Returns
    /// the messages that follow from it.
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

    /// The wait for answers is over: sends again what was not answered, or gives up.
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

    /// Messages that record what became of the request; only for a granted claim.
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

    /// Messages that give the claim up; the caller states that no target has run the request and
    /// none can any more.
    pub fn release(&mut self) -> Vec<AddressedRequest> {
        if !matches!(self.state, ClaimState::Refused(_)) {
            let refusal = Refusal::not_run(Reason::NoRecord, NO_RECORD_RETRY_DELAY);
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

    /// Ends a claim that got no majority.
    fn refuse(&mut self) -> Vec<AddressedRequest> {
        let held_elsewhere = self.votes.values().any(|v| matches!(v, Vote::Held(_)));
        let refusal = match held_elsewhere {
            true => Refusal::unknown(Reason::Repeated, REPEATED_RETRY_DELAY),
            false => Refusal::not_run(Reason::NoRecord, NO_RECORD_RETRY_DELAY),
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

    /// Record of a claim that certainly was granted: it has an outcome or a majority.
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

    /// Whether answers that are still out can make a majority of the panel.
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

    /// Second round: asks those that granted the claim whether they still hold it.
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

    /// The last message again, to the replicas that `wanted` picks.
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
