//! Elections: when a voter campaigns, which votes it grants, and when a campaign is won.
//!
//! A campaign starts with a pre-vote, except for a bootstrap or a sole voter, so a voter that was
//! cut off does not raise the term when it returns. A voter that heard from a leader within the
//! shortest election timeout ignores requests for a vote, because the leader's lease may rest on
//! its acknowledgement.

use super::{
    Raft, Role,
    membership::{Member, Membership},
    message::{HardState, Message, MessageBody, Payload, VoteKind},
    replication::ReplicationState,
};
use crate::{moment::Moment, name::Node};
use rand_chacha::rand_core::RngCore;
use std::{collections::BTreeSet, time::Duration};

/// Running campaign of this voter.
#[derive(Debug)]
pub struct Campaign {
    kind: VoteKind,
    electorate: Membership,
    votes: BTreeSet<Member>,
}

impl Campaign {
    fn is_won(&self) -> bool {
        let needed = match self.kind {
            VoteKind::Bootstrap => self.electorate.voters.len(),
            VoteKind::PreVote | VoteKind::Election => self.electorate.quorum(),
        };
        self.votes.len() >= needed
    }
}

impl Raft {
    /// Whether this voter is the only configured one of a new fleet and can bootstrap it without
    /// waiting. The sole voter of an existing fleet waits for the election timeout, since it may
    /// have acknowledged a leader that was removed and still has a lease.
    pub(super) fn can_bootstrap_alone(&self, now: Moment) -> bool {
        let is_sole_voter = self.config.configured_voters == [self.config.node];
        let has_no_state = self.log.is_empty() && !self.may_back_lease(now);
        is_sole_voter && has_no_state && self.config.can_bootstrap()
    }

    /// Starts a campaign if this voter is allowed to. Without a leader it also sends hellos, so
    /// that it can bootstrap the fleet or join it.
    pub(super) fn campaign(&mut self, now: Moment) {
        self.reset_deadline(now);
        self.forget_leader();
        self.send_hellos();
        let electorate = self.membership().clone();
        if self.can_campaign() {
            let is_sole_voter = electorate.voters.iter().eq([&self.member()]);
            let kind = if is_sole_voter {
                VoteKind::Election
            } else {
                VoteKind::PreVote
            };
            self.request_votes(now, kind, electorate);
        } else if let Some(electorate) = self.bootstrap_membership(now) {
            self.request_votes(now, VoteKind::Bootstrap, electorate);
        }
    }

    /// Answers a request for a vote, or ignores it while a leader may hold a lease.
    pub(super) fn handle_vote_request(
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
        if self.may_back_lease(now) {
            return;
        }
        if kind != VoteKind::PreVote && message.term > self.hard_state.term {
            self.become_follower(now, message.term, None);
        }
        let is_current = (last_term, last_index) >= (self.log.last_term(), self.log.last_index());
        let granted = match kind {
            VoteKind::PreVote => is_current && message.term > self.hard_state.term,
            VoteKind::Election => is_current && self.can_vote_for(sender, message.term),
            VoteKind::Bootstrap => self.log.is_empty() && self.can_vote_for(sender, message.term),
        };
        if granted && kind != VoteKind::PreVote {
            self.record_vote(now, sender);
        }
        let term = match (kind, granted) {
            (VoteKind::PreVote, true) => message.term,
            _ => self.hard_state.term,
        };
        self.send_when_durable(sender, term, MessageBody::VoteReply { kind, granted });
    }

    /// Counts a vote for the running campaign.
    pub(super) fn handle_vote_reply(
        &mut self,
        now: Moment,
        sender: Member,
        term: u64,
        kind: VoteKind,
        granted: bool,
    ) {
        if !granted {
            if term > self.hard_state.term {
                self.become_follower(now, term, None);
            }
            return;
        }
        let expected_term = match kind {
            VoteKind::PreVote => self.hard_state.term + 1,
            VoteKind::Election | VoteKind::Bootstrap => self.hard_state.term,
        };
        let Role::Candidate(campaign) = &mut self.role else {
            return;
        };
        let is_expected = campaign.kind == kind && campaign.electorate.is_voter(sender);
        if term == expected_term && is_expected {
            campaign.votes.insert(sender);
            self.count_votes(now);
        }
    }

    /// Enters `term` if it is later than the current one, and follows `leader` if one is known.
    pub(super) fn become_follower(&mut self, now: Moment, term: u64, leader: Option<Node>) {
        if term > self.hard_state.term {
            self.set_hard_state(HardState { term, vote: None });
            self.partial_snapshot = None;
        }
        if self.is_leader() {
            self.reset_deadline(now);
        }
        self.role = Role::Follower;
        self.leader = leader;
    }

    /// Draws a random deadline at which this voter campaigns if it hears from no leader. A sole
    /// voter has no rivals and needs no randomness.
    pub(super) fn reset_deadline(&mut self, now: Moment) {
        let timeout_micros = self.config.election_timeout.as_micros() as u64;
        let jitter = match self.membership().voters.len() {
            1 => 0,
            _ => self.rng.next_u64() % timeout_micros.max(1),
        };
        self.election_deadline = now + self.config.election_timeout + Duration::from_micros(jitter);
    }

    /// Whether a leader's lease may rest on this voter's acknowledgement.
    fn may_back_lease(&self, now: Moment) -> bool {
        let lease_end = self
            .leader_contact
            .map(|contact| contact + self.config.election_timeout);
        self.is_leader() || lease_end.is_some_and(|end| now < end)
    }

    /// Whether this voter is allowed to campaign. It is also while its removal is not committed:
    /// the removal may be in no other log, and then the other voters cannot elect a leader without
    /// it.
    fn can_campaign(&self) -> bool {
        let own = self.member();
        let previous = self.log.previous_membership();
        let is_uncommitted = self.log.membership_index() > self.commit;
        let is_leaving = is_uncommitted && previous.is_some_and(|m| m.is_voter(own));
        self.membership().is_voter(own) || is_leaving
    }

    fn can_vote_for(&self, sender: Member, term: u64) -> bool {
        let can_vote = self.hard_state.vote.is_none_or(|v| v == sender);
        term == self.hard_state.term && can_vote && self.leader.is_none()
    }

    fn record_vote(&mut self, now: Moment, sender: Member) {
        if self.hard_state.vote.is_none() {
            let term = self.hard_state.term;
            let vote = Some(sender);
            self.set_hard_state(HardState { term, vote });
        }
        self.reset_deadline(now);
    }

    fn set_hard_state(&mut self, hard_state: HardState) {
        self.disk
            .mark_hard_state(hard_state.term != self.hard_state.term);
        self.hard_state = hard_state;
    }

    fn forget_leader(&mut self) {
        self.leader = None;
        self.role = Role::Follower;
    }

    fn request_votes(&mut self, now: Moment, kind: VoteKind, electorate: Membership) {
        let next_term = self.hard_state.term + 1;
        if kind != VoteKind::PreVote {
            self.set_hard_state(HardState {
                term: next_term,
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
            self.send_when_durable(*voter, next_term, body.clone());
        }
        let votes = electorate.voters.iter().filter(|v| **v == own);
        self.role = Role::Candidate(Campaign {
            kind,
            votes: votes.copied().collect(),
            electorate,
        });
        self.count_votes(now);
    }

    fn count_votes(&mut self, now: Moment) {
        let Role::Candidate(campaign) = &self.role else {
            return;
        };
        if !campaign.is_won() {
            return;
        }
        let electorate = campaign.electorate.clone();
        match campaign.kind {
            VoteKind::PreVote => self.request_votes(now, VoteKind::Election, electorate),
            VoteKind::Election => self.become_leader(now, Payload::Noop),
            VoteKind::Bootstrap => self.become_leader(now, Payload::Membership(electorate)),
        }
    }

    fn become_leader(&mut self, now: Moment, first_entry: Payload) {
        self.leader = Some(self.config.node);
        self.role = Role::Leader(ReplicationState::new(now));
        self.append_as_leader(now, first_entry);
        self.tick_leader(now);
    }
}
