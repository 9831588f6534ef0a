//! Claimant's side of the at-most-once register.

use super::{Answer, Ask, ClaimId, Identity, Membership, Progress, Record, quorum};
use crate::{
    moment::Moment,
    name::{Incarnation, Node},
    request::outcome::{Refusal, RefusalReason},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Times that a message without an answer is sent again.
const RESENDS: u32 = 3;
/// When a caller may come back whose identity is claimed by another sending.
const REPEAT_RETRY: Duration = Duration::from_millis(500);
/// When a caller may come back while the replicas cannot be reached.
const RECORD_RETRY: Duration = Duration::from_secs(1);

/// Message to one replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Envelope {
    /// The replica.
    pub to: Node,
    /// The message.
    pub ask: Ask,
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
    panels: Vec<Vec<Node>>,
    votes: BTreeMap<Node, Vote>,
    confirming: bool,
    last_ask: Option<Ask>,
    unconfirmed: BTreeSet<Node>,
    resends: u32,
    state: ClaimState,
}

impl Claim {
    /// Claim that must not send after `deadline`.
    pub fn new(id: ClaimId, identity: Identity, deadline: Moment, members: &Membership) -> Self {
        Claim {
            identity,
            id,
            deadline,
            panels: members.panels(identity),
            votes: BTreeMap::new(),
            confirming: false,
            last_ask: None,
            unconfirmed: BTreeSet::new(),
            resends: 0,
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
    pub fn start(&mut self) -> Vec<Envelope> {
        let ask = Ask::Claim {
            identity: self.identity,
            claim: self.id,
        };
        self.broadcast(ask)
    }

    /// Whether the first byte may go out now: a majority holds the claim and the deadline is ahead.
    pub fn may_send(&self, now: Moment) -> bool {
        self.state == ClaimState::Granted && now < self.deadline
    }

    /// Takes in the answer of a replica; a late or repeated one changes nothing wrongly. Returns
    /// the messages that follow from it.
    pub fn on_answer(&mut self, from: Node, answer: &Answer) -> Vec<Envelope> {
        match answer {
            Answer::Done { claim } if *claim == self.id => {
                self.unconfirmed.remove(&from);
                return Vec::new();
            }
            Answer::Granted { claim, incarnation } if *claim == self.id && !self.confirming => {
                self.votes.insert(from, Vote::Granted(*incarnation));
            }
            Answer::Confirmed { claim } if *claim == self.id && self.confirming => {
                self.votes.insert(from, Vote::Confirmed);
            }
            Answer::Held { claim, record } if *claim == self.id => {
                self.votes.insert(from, Vote::Held(record.clone()));
            }
            Answer::NotReady { claim } if *claim == self.id => {
                self.votes.insert(from, Vote::NotReady);
            }
            _ => return Vec::new(),
        }
        match self.state {
            ClaimState::Pending => self.decide(),
            _ => Vec::new(),
        }
    }

    /// The wait for answers is over: sends again what was not answered, or gives up.
    pub fn on_timeout(&mut self, now: Moment) -> Vec<Envelope> {
        let tired = self.resends >= RESENDS || now >= self.deadline;
        if self.state == ClaimState::Pending && tired {
            return self.give_up();
        }
        if self.resends >= RESENDS {
            return Vec::new();
        }
        self.resends += 1;
        match (&self.state, self.confirming) {
            (ClaimState::Pending, true) => self.confirms(),
            (ClaimState::Pending, false) => self.resend(|claim, n| !claim.granted(n)),
            _ => self.resend(|claim, n| claim.unconfirmed.contains(&n)),
        }
    }

    /// Messages that record what became of the request; only for a granted claim.
    pub fn record(&mut self, progress: Progress) -> Vec<Envelope> {
        if self.state != ClaimState::Granted {
            return Vec::new();
        }
        let ask = Ask::Record {
            identity: self.identity,
            claim: self.id,
            progress,
        };
        self.broadcast(ask)
    }

    /// Messages that give the claim up; the caller states that no target has run the request and
    /// none can any more.
    pub fn release(&mut self) -> Vec<Envelope> {
        if !matches!(self.state, ClaimState::Refused(_)) {
            let refusal = Refusal::not_run(RefusalReason::NoRecord, RECORD_RETRY);
            self.state = ClaimState::Refused(refusal);
        }
        let ask = Ask::Release {
            identity: self.identity,
            claim: self.id,
        };
        self.broadcast(ask)
    }

    fn decide(&mut self) -> Vec<Envelope> {
        if let Some(record) = self.earlier() {
            return self.end(ClaimState::Repeated(record));
        }
        if self.has_quorum(|v| *v == Vote::Confirmed) {
            self.state = ClaimState::Granted;
            self.last_ask = None;
            return Vec::new();
        }
        if !self.confirming && self.has_quorum(|v| matches!(v, Vote::Granted(_))) {
            self.confirming = true;
            self.votes.retain(|_, v| matches!(v, Vote::Granted(_)));
            return self.confirms();
        }
        match self.panels.iter().all(|p| self.reachable(p)) {
            true => Vec::new(),
            false => self.give_up(),
        }
    }

    /// Ends a claim that got no majority.
    fn give_up(&mut self) -> Vec<Envelope> {
        let rival = self.votes.values().any(|v| matches!(v, Vote::Held(_)));
        let refusal = match rival {
            true => Refusal::unknown(RefusalReason::Repeated, REPEAT_RETRY),
            false => Refusal::not_run(RefusalReason::NoRecord, RECORD_RETRY),
        };
        self.end(ClaimState::Refused(refusal))
    }

    fn end(&mut self, state: ClaimState) -> Vec<Envelope> {
        self.state = state;
        let ask = Ask::Release {
            identity: self.identity,
            claim: self.id,
        };
        self.broadcast(ask)
    }

    /// Record of a claim that certainly was granted: it has an outcome or a majority.
    fn earlier(&self) -> Option<Record> {
        let held = self.votes.values().filter_map(|v| match v {
            Vote::Held(record) => Some(record),
            _ => None,
        });
        let mut holders: BTreeMap<ClaimId, usize> = BTreeMap::new();
        let mut running = None;
        let least = self.panels.iter().map(|p| quorum(p.len())).min()?;
        for record in held {
            if record.progress != Progress::Running {
                return Some(record.clone());
            }
            let count = holders.entry(record.claim).or_default();
            *count += 1;
            if *count >= least {
                running = Some(record.clone());
            }
        }
        running
    }

    /// Whether answers that are still out can make a majority of the panel.
    fn reachable(&self, panel: &[Node]) -> bool {
        let hopeful = panel.iter().filter(|n| match self.votes.get(n) {
            Some(vote) => matches!(vote, Vote::Granted(_) | Vote::Confirmed),
            None => !self.confirming,
        });
        hopeful.count() >= quorum(panel.len())
    }

    fn has_quorum(&self, counts: impl Fn(&Vote) -> bool) -> bool {
        self.panels.iter().all(|panel| {
            let votes = panel.iter().filter_map(|n| self.votes.get(n));
            votes.filter(|v| counts(v)).count() >= quorum(panel.len())
        })
    }

    fn granted(&self, node: Node) -> bool {
        matches!(self.votes.get(&node), Some(Vote::Granted(_)))
    }

    /// Second round: asks those that granted the claim whether they still hold it.
    fn confirms(&self) -> Vec<Envelope> {
        let granted = self.votes.iter().filter_map(|(node, vote)| match vote {
            Vote::Granted(incarnation) => Some((*node, *incarnation)),
            _ => None,
        });
        granted
            .map(|(to, incarnation)| Envelope {
                to,
                ask: Ask::Confirm {
                    identity: self.identity,
                    claim: self.id,
                    incarnation,
                },
            })
            .collect()
    }

    /// The last message again, to the replicas that `wanted` picks.
    fn resend(&self, wanted: impl Fn(&Claim, Node) -> bool) -> Vec<Envelope> {
        let Some(ask) = &self.last_ask else {
            return Vec::new();
        };
        self.replicas()
            .into_iter()
            .filter(|n| wanted(self, *n))
            .map(|to| Envelope {
                to,
                ask: ask.clone(),
            })
            .collect()
    }

    fn broadcast(&mut self, ask: Ask) -> Vec<Envelope> {
        let replicas = self.replicas();
        self.last_ask = Some(ask.clone());
        self.resends = 0;
        self.unconfirmed = replicas.iter().copied().collect();
        replicas
            .into_iter()
            .map(|to| Envelope {
                to,
                ask: ask.clone(),
            })
            .collect()
    }

    fn replicas(&self) -> Vec<Node> {
        let mut nodes = self.panels.concat();
        nodes.sort_unstable();
        nodes.dedup();
        nodes
    }
}
