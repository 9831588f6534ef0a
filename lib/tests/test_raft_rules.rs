//! Rules of Raft, checked on one voter that receives handwritten messages.

use cornelrail_lib::{
    moment::Moment,
    name::Node,
    process::raft::{
        Action, AppendOutcome, HardState, Identity, JoinPolicy, LogEntry, Member, Membership,
        Message, MessageBody, Payload, Raft, RaftConfig, RestoredState, VoteKind,
    },
};
use std::time::Duration;

const ELECTION: Duration = Duration::from_millis(100);
const DRIFT: Duration = Duration::from_millis(5);

fn member(node: u64) -> Member {
    Member {
        node: Node(node),
        identity: Identity(node * 11),
    }
}

/// Voter 1 of 3 in term 4, with a command of term 2 that is not known to be committed.
fn restored_voter() -> Raft {
    let membership = Membership::new(member(1).identity, [1, 2, 3].map(member));
    let entry = |index, term, payload| LogEntry {
        index,
        term,
        payload,
    };
    let restored = RestoredState {
        hard_state: HardState {
            term: 4,
            vote: None,
        },
        snapshot: None,
        entries: vec![
            entry(1, 1, Payload::Membership(membership)),
            entry(2, 2, Payload::Command(vec![7])),
        ],
    };
    let config = RaftConfig {
        node: Node(1),
        identity: member(1).identity,
        configured_voters: [1, 2, 3].map(Node).to_vec(),
        join_policy: JoinPolicy::Configured,
        election_timeout: ELECTION,
        heartbeat_interval: Duration::from_millis(20),
        clock_drift: DRIFT,
        min_voters: 3,
        retained_entries: 10,
        rng_seed: 1,
    };
    Raft::new(config, restored, Moment::ZERO)
}

fn receive(raft: &mut Raft, now: Moment, from: u64, term: u64, body: MessageBody) -> Vec<Action> {
    let message = Message {
        from: member(from).identity,
        to: member(1).identity,
        term,
        body,
    };
    raft.step(now, Node(from), message);
    persist_all(raft, now)
}

/// Reports every batch as written at once; returns all actions.
fn persist_all(raft: &mut Raft, now: Moment) -> Vec<Action> {
    let mut all_actions = Vec::new();
    loop {
        let actions = raft.take_actions();
        let batch = actions.iter().find_map(|a| match a {
            Action::Persist(batch) => Some(batch.number),
            _ => None,
        });
        all_actions.extend(actions);
        match batch {
            Some(number) => raft.persisted(now, number),
            None => return all_actions,
        }
    }
}

fn matched_reply(index: u64, now: Moment) -> MessageBody {
    MessageBody::AppendReply {
        timestamp: now.as_micros(),
        outcome: AppendOutcome::Matched(index),
    }
}

fn elected_leader(now: Moment) -> Raft {
    let mut raft = restored_voter();
    raft.tick(now);
    for (kind, granted) in [(VoteKind::PreVote, true), (VoteKind::Election, true)] {
        receive(
            &mut raft,
            now,
            2,
            5,
            MessageBody::VoteReply { kind, granted },
        );
    }
    raft
}

#[test]
fn lease_starts_when_the_message_a_majority_answered_was_sent() {
    let sent = Moment::ZERO + ELECTION * 2;
    let mut raft = elected_leader(sent);
    let late = sent + Duration::from_millis(60);
    let before = raft.lease_end();
    receive(&mut raft, late, 2, 5, matched_reply(3, sent));
    let end = sent + ELECTION - DRIFT;
    assert_eq!((before, raft.lease_end()), (None, Some(end)));
    assert!(raft.has_lease(late) && !raft.has_lease(end));
}

#[test]
fn entry_of_an_earlier_term_commits_only_with_one_of_the_current_term() {
    let now = Moment::ZERO + ELECTION * 2;
    let mut raft = elected_leader(now);
    assert!(raft.is_leader());
    receive(&mut raft, now, 2, 5, matched_reply(2, now));
    let before = raft.commit();
    receive(&mut raft, now, 2, 5, matched_reply(3, now));
    assert_eq!((before, raft.commit()), (0, 3));
}

#[test]
fn no_vote_for_a_candidate_whose_log_is_behind() {
    let mut raft = restored_voter();
    let now = Moment::ZERO + ELECTION;
    let vote = |last_index, last_term| MessageBody::VoteRequest {
        kind: VoteKind::Election,
        last_index,
        last_term,
    };
    let mut granted = |term, last_index, last_term| {
        let actions = receive(&mut raft, now, 3, term, vote(last_index, last_term));
        actions.iter().any(|a| {
            let Action::Send { message, .. } = a else {
                return false;
            };
            matches!(message.body, MessageBody::VoteReply { granted: true, .. })
        })
    };
    assert!(!granted(5, 9, 1));
    assert!(!granted(6, 1, 2));
    assert!(granted(7, 2, 2));
}
