//! A once-only request runs at most once, despite restarts, pauses and lost or repeated messages.

use cornelrail_lib::{
    moment::Moment,
    name::{Incarnation, Node, Service},
    request::{
        once::{
            AddressedRequest, Claim, ClaimId, ClaimState, Identity, Membership, Progress, Register,
            RegisterConfig, RegisterReply, RegisterRequest, StartKind, StoredAnswer, repeat_window,
        },
        outcome::{Certainty, RefusalReason},
    },
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{collections::BTreeMap, time::Duration};

const RETENTION: Duration = Duration::from_secs(1000);
const DEADLINE: Duration = Duration::from_secs(50);
/// Time after which an identity is no longer claimed, in microseconds; shorter than the retention.
const CLAIM_WINDOW_MICROS: u64 = 900_000_000;

enum Message {
    Request(RegisterRequest),
    Reply(RegisterReply),
}

struct Entry {
    register: Register,
    incarnation: Incarnation,
    claims: Vec<Claim>,
}

/// Simulated entries, the messages in transit between them, and how often each request ran.
struct Cluster {
    now: Moment,
    rng: ChaCha8Rng,
    members: Membership,
    entries: BTreeMap<Node, Entry>,
    in_transit: Vec<(Node, Node, Message)>,
    runs: BTreeMap<Identity, u32>,
    serial: u64,
    duplicates: bool,
}

impl Cluster {
    fn new(size: u64, seed: u64) -> Self {
        let nodes: Vec<Node> = (1..=size).map(Node).collect();
        let members = Membership::new(&nodes);
        let entry = |node: &Node| {
            let entry = Entry {
                register: register(
                    Moment::ZERO,
                    *node,
                    Incarnation(1),
                    StartKind::First,
                    &members,
                ),
                incarnation: Incarnation(1),
                claims: Vec::new(),
            };
            (*node, entry)
        };
        Cluster {
            now: Moment::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            entries: nodes.iter().map(entry).collect(),
            members,
            in_transit: Vec::new(),
            runs: BTreeMap::new(),
            serial: 0,
            duplicates: false,
        }
    }

    fn enqueue(&mut self, from: Node, requests: Vec<AddressedRequest>) {
        for AddressedRequest { to, request } in requests {
            self.in_transit.push((from, to, Message::Request(request)));
        }
    }

    fn claim(&mut self, node: Node, identity: Identity) {
        self.serial += 1;
        let entry = self.entries.get_mut(&node).unwrap();
        let id = ClaimId {
            node,
            incarnation: entry.incarnation,
            serial: self.serial,
        };
        let mut claim = Claim::new(id, identity, self.now + DEADLINE, &self.members);
        let requests = claim.start();
        entry.claims.push(claim);
        self.enqueue(node, requests);
    }

    fn restart(&mut self, node: Node) {
        let entry = self.entries.get_mut(&node).unwrap();
        entry.incarnation = entry.incarnation.next();
        entry.claims.clear();
        let incarnation = entry.incarnation;
        entry.register = register(
            self.now,
            node,
            incarnation,
            StartKind::Restart,
            &self.members,
        );
    }

    fn deliver(&mut self, index: usize) {
        let is_duplicate = self.duplicates && self.rng.random_range(0..10) == 0;
        let (from, to, message) = match is_duplicate {
            true => {
                let (from, to, message) = &self.in_transit[index];
                let copy = match message {
                    Message::Request(request) => Message::Request(request.clone()),
                    Message::Reply(reply) => Message::Reply(reply.clone()),
                };
                (*from, *to, copy)
            }
            false => self.in_transit.remove(index),
        };
        let entry = self.entries.get_mut(&to).unwrap();
        match message {
            Message::Request(request) => {
                let reply = entry.register.handle(self.now, from, request);
                self.in_transit.push((to, from, Message::Reply(reply)));
            }
            Message::Reply(reply @ RegisterReply::Page { .. }) => {
                entry.register.on_page(self.now, from, reply);
            }
            Message::Reply(reply) => {
                let mut requests = Vec::new();
                for claim in &mut entry.claims {
                    requests.extend(claim.on_reply(from, &reply));
                }
                self.enqueue(to, requests);
            }
        }
    }

    /// Continues with a granted claim, perhaps long after the grant: releases it, or has a target
    /// run the request and records an answer, an unknown outcome, or nothing.
    fn send(&mut self, node: Node) {
        let now = self.now;
        let is_sendable = |c: &Claim| c.may_send(now);
        let entry = self.entries.get_mut(&node).unwrap();
        let Some(index) = entry.claims.iter().position(is_sendable) else {
            return;
        };
        let mut claim = entry.claims.swap_remove(index);
        let requests = match self.rng.random_range(0..6) {
            0 => claim.release(),
            1 => {
                *self.runs.entry(claim.identity()).or_default() += 1;
                claim.record(Progress::Unknown)
            }
            2 => {
                *self.runs.entry(claim.identity()).or_default() += 1;
                Vec::new()
            }
            _ => {
                *self.runs.entry(claim.identity()).or_default() += 1;
                let body = claim.identity().to_string();
                let answer = StoredAnswer::new(200, "text/plain", body.as_bytes());
                claim.record(Progress::Answered(answer))
            }
        };
        self.enqueue(node, requests);
    }

    fn step(&mut self) {
        let node = Node(self.rng.random_range(1..=self.entries.len() as u64));
        match self.rng.random_range(0..100) {
            0..4 => {
                let window = self.now.as_micros() / CLAIM_WINDOW_MICROS;
                let number = window * 3 + self.rng.random_range(0..3);
                self.claim(node, Identity(u128::from(number) << 64 | 7));
            }
            4..6 => self.restart(node),
            6..14 => self.send(node),
            14..20 => {
                let entry = &self.entries[&node];
                for (to, request) in entry.register.pending_reads(self.now) {
                    self.in_transit.push((node, to, Message::Request(request)));
                }
            }
            20..24 => {
                let now = self.now;
                let claims = &mut self.entries.get_mut(&node).unwrap().claims;
                let requests = claims.iter_mut().flat_map(|c| c.on_timeout(now)).collect();
                self.enqueue(node, requests);
            }
            24..27 if !self.in_transit.is_empty() => {
                let lost = self.rng.random_range(0..self.in_transit.len());
                self.in_transit.swap_remove(lost);
            }
            27..30 => {
                let pause = [1, 100, 5_000, 60_000][self.rng.random_range(0..4)];
                self.now = self.now + Duration::from_millis(pause);
            }
            _ if !self.in_transit.is_empty() => {
                let index = self.rng.random_range(0..self.in_transit.len());
                self.deliver(index);
            }
            _ => (),
        }
        self.check();
    }

    fn check(&mut self) {
        for (identity, runs) in &self.runs {
            assert!(*runs <= 1, "{identity} ran {runs} times");
        }
        for claim in self.entries.values().flat_map(|e| &e.claims) {
            if let ClaimState::Repeated(record) = claim.state() {
                let ran = self.runs.contains_key(&claim.identity());
                let answered = matches!(record.progress, Progress::Answered(_));
                assert!(
                    ran || !answered,
                    "a claim reports an answer, but its request never ran"
                );
            }
        }
    }

    /// Delivers all messages in the order in which they were sent, until none is left.
    fn deliver_all(&mut self) {
        while !self.in_transit.is_empty() {
            self.deliver(0);
        }
    }

    /// Delivers the messages that are in transit from `from` to each of the others, and back.
    fn exchange(&mut self, from: u64, others: &[u64]) {
        for other in others {
            for (from, to) in [(from, *other), (*other, from)] {
                let on_path =
                    |(f, t, _): &(Node, Node, Message)| (*f, *t) == (Node(from), Node(to));
                for _ in 0..self.in_transit.iter().filter(|m| on_path(m)).count() {
                    let index = self.in_transit.iter().position(on_path).unwrap();
                    self.deliver(index);
                }
            }
        }
    }

    /// A restarted entry reads the records of the others, in the given order.
    fn read_records(&mut self, node: u64, others: &[u64]) {
        let reads = self.entries[&Node(node)].register.pending_reads(self.now);
        let reads = reads
            .into_iter()
            .map(|(to, request)| (Node(node), to, Message::Request(request)));
        self.in_transit.extend(reads);
        self.exchange(node, others);
    }

    fn may_send(&self, node: u64) -> bool {
        self.entries[&Node(node)]
            .claims
            .last()
            .unwrap()
            .may_send(self.now)
    }

    fn state(&self, node: u64) -> &ClaimState {
        self.entries[&Node(node)].claims.last().unwrap().state()
    }
}

fn register(
    now: Moment,
    node: Node,
    incarnation: Incarnation,
    start: StartKind,
    members: &Membership,
) -> Register {
    let config = RegisterConfig {
        retention: RETENTION,
        ..RegisterConfig::default()
    };
    Register::new(now, node, incarnation, start, members.clone(), config)
}

#[test]
fn a_request_runs_at_most_once_in_random_schedules() {
    fn runs_at_most_once(seed: u64) -> bool {
        let size = [1, 2, 3, 4, 5, 5, 7][(seed % 7) as usize];
        let mut cluster = Cluster::new(size, seed);
        cluster.duplicates = true;
        for _ in 0..3_000 {
            cluster.step();
        }
        true
    }
    crate::property::checker()
        .tests(300)
        .quickcheck(runs_at_most_once as fn(u64) -> bool);
}

/// The entry that served the request has restarted, so only the other replicas know the answer.
#[test]
fn a_resend_through_another_entry_gets_the_first_answer() {
    let mut cluster = Cluster::new(5, 1);
    let identity =
        Identity::from_idempotency_key(&Service::from("payroll-core"), "family-1", "pay-1");
    cluster.claim(Node(1), identity);
    cluster.deliver_all();
    assert_eq!(cluster.state(1), &ClaimState::Granted);

    let answer = StoredAnswer::new(201, "text/plain", b"paid");
    let progress = Progress::Answered(answer);
    let claims = &mut cluster.entries.get_mut(&Node(1)).unwrap().claims;
    let requests = claims[0].record(progress.clone());
    cluster.enqueue(Node(1), requests);
    cluster.deliver_all();
    cluster.restart(Node(1));
    cluster.claim(Node(2), identity);
    cluster.deliver_all();

    let ClaimState::Repeated(record) = cluster.state(2) else {
        panic!("{:?}", cluster.state(2));
    };
    assert_eq!(record.progress, progress);
}

/// A refusal may say `NotRun` only if no replica that can be reached holds another claim.
#[test]
fn loss_of_replicas_is_reported_with_the_right_certainty() {
    let identity = Identity(9);
    let outcome = |lost: usize, claimed: bool| {
        let mut cluster = Cluster::new(5, 2);
        if claimed {
            cluster.claim(Node(1), identity);
            cluster.deliver_all();
        }
        cluster.claim(Node(2), identity);
        let lost_nodes: Vec<Node> = (3..=5).map(Node).take(lost).collect();
        cluster
            .in_transit
            .retain(|(_, to, _)| !lost_nodes.contains(to) && (claimed || *to != Node(1)));
        cluster.deliver_all();
        for _ in 0..5 {
            let claims = &mut cluster.entries.get_mut(&Node(2)).unwrap().claims;
            let _ = claims[0].on_timeout(Moment::ZERO);
        }
        cluster.state(2).clone()
    };

    assert_eq!(outcome(1, false), ClaimState::Granted);
    let ClaimState::Refused(refusal) = outcome(2, false) else {
        panic!("a claim was granted without a majority");
    };
    assert_eq!(
        (refusal.reason, refusal.certainty),
        (RefusalReason::NoRecord, Certainty::NotRun)
    );
    assert!(matches!(outcome(2, true), ClaimState::Repeated(_)));
    let ClaimState::Refused(refusal) = outcome(3, true) else {
        panic!("the outcome was reported without a majority");
    };
    assert_eq!(
        (refusal.reason, refusal.certainty),
        (RefusalReason::Repeated, Certainty::Unknown)
    );
}

/// If it did, entries 1 (with 1, 2, 3) and 2 (with 2, 4, 5) would both hold a majority.
#[test]
fn a_grant_of_a_replica_that_restarted_since_does_not_count() {
    let mut cluster = Cluster::new(5, 5);
    let identity = Identity(1);
    cluster.claim(Node(1), identity);
    cluster.exchange(1, &[2]);
    cluster.restart(Node(2));
    cluster.read_records(2, &[3, 4, 5]);

    cluster.exchange(1, &[1, 3, 2, 1, 3]);
    cluster.claim(Node(2), identity);
    cluster.exchange(2, &[2, 4, 5, 2, 4, 5]);

    assert!(cluster.may_send(2));
    assert!(!cluster.may_send(1));
}

/// Entry 2 confirms a claim of entry 5 and restarts. It then reads that claim and an unconfirmed
/// one of entry 1, and cannot tell which of them it granted.
#[test]
fn a_replica_that_read_two_claims_grants_neither() {
    let mut cluster = Cluster::new(5, 6);
    let identity = Identity(1);
    cluster.claim(Node(1), identity);
    cluster.exchange(1, &[3]);
    cluster.claim(Node(5), identity);
    cluster.exchange(5, &[2, 4, 5, 2, 4, 5]);
    cluster.restart(Node(2));
    cluster.read_records(2, &[3, 4, 5]);

    cluster.exchange(1, &[1, 2, 3, 1, 2]);

    assert!(cluster.may_send(5));
    assert!(!cluster.may_send(1));
}

/// Entries 1 and 2 are a majority of the old list; 3, 4 and 5 are one of the new list.
#[test]
fn a_change_of_the_fleet_leaves_no_gap_between_majorities() {
    let identity = Identity(1);
    let mut cluster = Cluster::new(5, 8);
    let all = cluster.members.clone();
    cluster.members = Membership::new(&[Node(1), Node(2), Node(3)]);
    cluster.claim(Node(1), identity);
    cluster.exchange(1, &[1, 2, 1, 2]);

    cluster.members.add_list(&all.nodes());
    cluster.claim(Node(4), identity);
    cluster.exchange(4, &[3, 4, 5, 3, 4, 5]);

    assert!(cluster.may_send(1));
    assert!(!cluster.may_send(4));
    cluster.members.drop_older_lists();
    assert_eq!(cluster.members, all);
}

#[test]
fn a_claim_that_arrives_after_its_release_is_not_granted() {
    let mut cluster = Cluster::new(3, 7);
    let identity = Identity(1);
    cluster.claim(Node(1), identity);
    let claim = cluster.entries[&Node(1)].claims[0].id();
    let register = &mut cluster.entries.get_mut(&Node(2)).unwrap().register;

    register.handle(
        Moment::ZERO,
        Node(1),
        RegisterRequest::Release { identity, claim },
    );
    let reply = register.handle(
        Moment::ZERO,
        Node(1),
        RegisterRequest::Claim { identity, claim },
    );

    assert_eq!(reply, RegisterReply::NotReady { claim });
    assert!(register.is_empty());
}

#[test]
fn a_granted_claim_does_not_send_after_its_deadline() {
    let mut cluster = Cluster::new(3, 3);
    cluster.claim(Node(1), Identity(1));
    cluster.deliver_all();

    let claim = &cluster.entries[&Node(1)].claims[0];
    let deadline = Moment::ZERO + DEADLINE;

    assert!(claim.may_send(Moment::ZERO));
    assert!(!claim.may_send(deadline));
}

#[test]
fn a_restarted_replica_is_ready_after_reading_or_after_the_retention() {
    let mut cluster = Cluster::new(3, 4);
    cluster.restart(Node(1));
    let identity = Identity(1);
    let is_ready = |c: &Cluster, at: Moment| c.entries[&Node(1)].register.is_ready(at, identity);
    assert!(!is_ready(&cluster, cluster.now));
    assert!(is_ready(&cluster, Moment::ZERO + RETENTION));

    for (to, request) in cluster.entries[&Node(1)]
        .register
        .pending_reads(cluster.now)
    {
        cluster
            .in_transit
            .push((Node(1), to, Message::Request(request)));
    }
    cluster.deliver_all();

    assert!(is_ready(&cluster, cluster.now));
}

crate::properties! {
    fn a_repeat_within_the_window_shares_an_identity(at: u32, gap: u16, window: u16) -> bool {
        let window = Duration::from_millis(u64::from(window) + 1);
        let gap = Duration::from_millis(u64::from(gap)).min(window - Duration::from_micros(1));
        let service = Service::from("payroll-core");
        let content = repeat_window::RequestContent {
            service: &service,
            customer: "family-1",
            route: "POST /pay",
            body: &[1; 32],
        };
        let first_arrival = Moment::from_micros(u64::from(at) + u64::from(u32::MAX));
        let first = repeat_window::window_identities(&content, first_arrival, window).unwrap();
        let second =
            repeat_window::window_identities(&content, first_arrival + gap, window).unwrap();
        first == second
            || first.current == second.previous
    }
}
