//! Elections: who asks for votes, who gets them, and when nobody does.

use super::{
    Raft, Role,
    membership::{Member, Membership},
    message::{HardState, Message, MessageBody, Payload, VoteKind},
    replication::Leading,
};
use crate::{moment::Moment, name::Node};
use rand_chacha::rand_core::RngCore;
use std::{collections::BTreeSet, time::Duration};

/// A running election of this voter.
#[derive(Debug)]
pub struct Candidacy {
    kind: VoteKind,
    electorate: Membership,
    votes: BTreeSet<Member>,
}

impl Candidacy {
    fn is_won(&self) -> bool {
        let needed = match self.kind {
            VoteKind::Bootstrap => self.electorate.voters.len(),
            VoteKind::PreVote | VoteKind::Election => self.electorate.quorum(),
        };
        self.votes.len() >= needed
    }
}

impl Raft {
    /// Whether this voter founds a fleet all alone and need not wait for anyone. A sole voter of a
    /// fleet that exists waits, since it may have granted a lease to a leader that was removed.
    pub(super) fn is_first(&self, now: Moment) -> bool {
        let configured_voters = self.config.configured_voters == [self.config.node];
        let empty = self.log.is_empty() && !self.may_be_leased(now);
        configured_voters && empty && self.config.can_bootstrap()
    }

    /// Starts an election, if this voter may.
    pub(super) fn campaign(&mut self, now: Moment) {
        self.reset_deadline(now);
        self.forget_leader();
        self.greet();
        let electorate = self.membership().clone();
        if self.may_campaign() {
            let alone = electorate.voters.iter().eq([&self.member()]);
            let kind = if alone {
                VoteKind::Election
            } else {
                VoteKind::PreVote
            };
            self.ask_for_votes(now, kind, electorate);
        } else if let Some(founders) = self.founders(now) {
            self.ask_for_votes(now, VoteKind::Bootstrap, founders);
        }
    }

    /// Answers a request for a vote, or ignores it while the present leader may hold a lease.
    pub(super) fn take_vote(
        &mut self,
        now: Moment,
        sender: Member,
        kind: VoteKind,
        message: &Message,
    ) {
        let MessageBody::VoteRequest {
            last_index,
            last_term,
            ..
        } = message.body
        else {
            return;
        };
        if self.may_be_leased(now) {
            return;
        }
        if kind != VoteKind::PreVote && message.term > self.hard.term {
            self.become_follower(now, message.term, None);
        }
        let current = (last_term, last_index) >= (self.log.last_term(), self.log.last_index());
        let granted = match kind {
            VoteKind::PreVote => current && message.term > self.hard.term,
            VoteKind::Election => current && self.may_vote(sender, message.term),
            VoteKind::Bootstrap => self.log.is_empty() && self.may_vote(sender, message.term),
        };
        if granted && kind != VoteKind::PreVote {
            self.give_vote(now, sender);
        }
        let term = match (kind, granted) {
            (VoteKind::PreVote, true) => message.term,
            _ => self.hard.term,
        };
        self.send_durable(sender, term, MessageBody::VoteReply { kind, granted });
    }

    /// Counts a vote.
    pub(super) fn take_vote_reply(
        &mut self,
        now: Moment,
        sender: Member,
        term: u64,
        kind: VoteKind,
        granted: bool,
    ) {
        if !granted {
            if term > self.hard.term {
                self.become_follower(now, term, None);
            }
            return;
        }
        let wanted = match kind {
            VoteKind::PreVote => self.hard.term + 1,
            VoteKind::Election | VoteKind::Bootstrap => self.hard.term,
        };
        let Role::Candidate(candidacy) = &mut self.role else {
            return;
        };
        let counts = candidacy.kind == kind && candidacy.electorate.is_voter(sender);
        if term == wanted && counts {
            candidacy.votes.insert(sender);
            self.count_votes(now);
        }
    }

    /// Enters a term, or follows a leader of the present one.
    pub(super) fn become_follower(&mut self, now: Moment, term: u64, leader: Option<Node>) {
        if term > self.hard.term {
            self.set_hard(HardState { term, vote: None });
            self.incoming = None;
        }
        if self.is_leader() {
            self.reset_deadline(now);
        }
        self.role = Role::Follower;
        self.leader = leader;
    }

    /// Draws the time of the next election.
    pub(super) fn reset_deadline(&mut self, now: Moment) {
        let span = self.config.election_timeout.as_micros() as u64;
        let extra = match self.membership().voters.len() {
            1 => 0,
            _ => self.rng.next_u64() % span.max(1),
        };
        self.deadline = now + self.config.election_timeout + Duration::from_micros(extra);
    }

    /// Whether a leader may hold a lease that rests on this voter's acknowledgement.
    fn may_be_leased(&self, now: Moment) -> bool {
        let followed = self.heard.map(|h| h + self.config.election_timeout);
        self.is_leader() || followed.is_some_and(|end| now < end)
    }

    /// Whether this voter may be needed to lead: it votes, or its removal may not be committed yet
    /// and stand in no other log.
    fn may_campaign(&self) -> bool {
        let own = self.member();
        let former = self.log.former_membership();
        let pending = self.log.membership_index() > self.commit;
        let leaving = pending && former.is_some_and(|m| m.is_voter(own));
        self.membership().is_voter(own) || leaving
    }

    fn may_vote(&self, sender: Member, term: u64) -> bool {
        let free = self.hard.vote.is_none_or(|v| v == sender);
        term == self.hard.term && free && self.leader.is_none()
    }

    fn give_vote(&mut self, now: Moment, sender: Member) {
        if self.hard.vote.is_none() {
            let term = self.hard.term;
            let vote = Some(sender);
            self.set_hard(HardState { term, vote });
        }
        self.reset_deadline(now);
    }

    fn set_hard(&mut self, hard: HardState) {
        self.disk.mark_hard(hard.term != self.hard.term);
        self.hard = hard;
    }

    fn forget_leader(&mut self) {
        self.leader = None;
        self.role = Role::Follower;
    }

    fn ask_for_votes(&mut self, now: Moment, kind: VoteKind, electorate: Membership) {
        let next = self.hard.term + 1;
        if kind != VoteKind::PreVote {
            self.set_hard(HardState {
                term: next,
                vote: Some(self.member()),
            });
        }
        let body = MessageBody::VoteRequest {
            kind,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        let own = self.member();
        for voter in electorate.voters.iter().filter(|v| **v != own) {
            self.send_durable(*voter, next, body.clone());
        }
        let votes = electorate.voters.iter().filter(|v| **v == own);
        self.role = Role::Candidate(Candidacy {
            kind,
            votes: votes.copied().collect(),
            electorate,
        });
        self.count_votes(now);
    }

    fn count_votes(&mut self, now: Moment) {
        let Role::Candidate(candidacy) = &self.role else {
            return;
        };
        if !candidacy.is_won() {
            return;
        }
        let electorate = candidacy.electorate.clone();
        match candidacy.kind {
            VoteKind::PreVote => self.ask_for_votes(now, VoteKind::Election, electorate),
            VoteKind::Election => self.become_leader(now, Payload::Noop),
            VoteKind::Bootstrap => self.become_leader(now, Payload::Membership(electorate)),
        }
    }

    fn become_leader(&mut self, now: Moment, first: Payload) {
        self.leader = Some(self.config.node);
        self.role = Role::Leader(Leading::new(now));
        self.append_own(now, first);
        self.lead(now);
    }
}
