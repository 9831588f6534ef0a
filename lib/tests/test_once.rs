//! A once-only request runs at most once, through restarts, losses, duplicates and freezes.

use cornelrail_lib::{
    moment::Moment,
    name::{Incarnation, Node, Service},
    request::{
        once::{
            Answer, Ask, Claim, ClaimId, ClaimState, Envelope, Identity, Membership, Progress,
            Register, RegisterConfig, Start, StoredAnswer, repeat_window,
        },
        outcome::{Certainty, RefusalReason},
    },
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{collections::BTreeMap, time::Duration};

const RETENTION: Duration = Duration::from_secs(1000);
const DEADLINE: Duration = Duration::from_secs(50);
/// Time after which an identity is not sent again, below the retention.
const WINDOW: u64 = 900_000_000;

enum Letter {
    Ask(Ask),
    Answer(Answer),
}

struct Entry {
    register: Register,
    incarnation: Incarnation,
    claims: Vec<Claim>,
}

/// Entries, the messages between them and what the targets ran.
struct Cluster {
    now: Moment,
    rng: ChaCha8Rng,
    members: Membership,
    entries: BTreeMap<Node, Entry>,
    letters: Vec<(Node, Node, Letter)>,
    runs: BTreeMap<Identity, u32>,
    serial: u64,
    chaos: bool,
}

impl Cluster {
    fn new(size: u64, seed: u64) -> Self {
        let nodes: Vec<Node> = (1..=size).map(Node).collect();
        let members = Membership::new(&nodes);
        let entry = |node: &Node| {
            let entry = Entry {
                register: register(Moment::ZERO, *node, Incarnation(1), Start::First, &members),
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
            letters: Vec::new(),
            runs: BTreeMap::new(),
            serial: 0,
            chaos: false,
        }
    }

    fn post(&mut self, from: Node, envelopes: Vec<Envelope>) {
        for Envelope { to, ask } in envelopes {
            self.letters.push((from, to, Letter::Ask(ask)));
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
        let asks = claim.start();
        entry.claims.push(claim);
        self.post(node, asks);
    }

    fn restart(&mut self, node: Node) {
        let entry = self.entries.get_mut(&node).unwrap();
        entry.incarnation = entry.incarnation.next();
        entry.claims.clear();
        let life = entry.incarnation;
        entry.register = register(self.now, node, life, Start::Again, &self.members);
    }

    fn deliver(&mut self, index: usize) {
        let twice = self.chaos && self.rng.random_range(0..10) == 0;
        let (from, to, letter) = match twice {
            true => {
                let (from, to, letter) = &self.letters[index];
                let copy = match letter {
                    Letter::Ask(ask) => Letter::Ask(ask.clone()),
                    Letter::Answer(answer) => Letter::Answer(answer.clone()),
                };
                (*from, *to, copy)
            }
            false => self.letters.remove(index),
        };
        let entry = self.entries.get_mut(&to).unwrap();
        match letter {
            Letter::Ask(ask) => {
                let answer = entry.register.handle(self.now, from, ask);
                self.letters.push((to, from, Letter::Answer(answer)));
            }
            Letter::Answer(answer @ Answer::Page { .. }) => {
                entry.register.on_page(self.now, from, answer);
            }
            Letter::Answer(answer) => {
                let mut asks = Vec::new();
                for claim in &mut entry.claims {
                    asks.extend(claim.on_answer(from, &answer));
                }
                self.post(to, asks);
            }
        }
    }

    /// A granted claimant goes on, after any pause, and its target runs the request or not.
    fn send(&mut self, node: Node) {
        let now = self.now;
        let ready = |c: &Claim| c.may_send(now);
        let entry = self.entries.get_mut(&node).unwrap();
        let Some(index) = entry.claims.iter().position(ready) else {
            return;
        };
        let mut claim = entry.claims.swap_remove(index);
        let asks = match self.rng.random_range(0..6) {
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
        self.post(node, asks);
    }

    fn step(&mut self) {
        let node = Node(self.rng.random_range(1..=self.entries.len() as u64));
        match self.rng.random_range(0..100) {
            0..4 => {
                let window = self.now.as_micros() / WINDOW;
                let number = window * 3 + self.rng.random_range(0..3);
                self.claim(node, Identity(u128::from(number) << 64 | 7));
            }
            4..6 => self.restart(node),
            6..14 => self.send(node),
            14..20 => {
                let entry = &self.entries[&node];
                for (to, ask) in entry.register.reads(self.now) {
                    self.letters.push((node, to, Letter::Ask(ask)));
                }
            }
            20..24 => {
                let now = self.now;
                let claims = &mut self.entries.get_mut(&node).unwrap().claims;
                let asks = claims.iter_mut().flat_map(|c| c.on_timeout(now)).collect();
                self.post(node, asks);
            }
            24..27 if !self.letters.is_empty() => {
                let lost = self.rng.random_range(0..self.letters.len());
                self.letters.swap_remove(lost);
            }
            27..30 => {
                let pause = [1, 100, 5_000, 60_000][self.rng.random_range(0..4)];
                self.now = self.now + Duration::from_millis(pause);
            }
            _ if !self.letters.is_empty() => {
                let index = self.rng.random_range(0..self.letters.len());
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
                assert!(ran || !answered, "an outcome without a run");
            }
        }
    }

    /// Delivers all letters in order of posting until none is left.
    fn quiesce(&mut self) {
        while !self.letters.is_empty() {
            self.deliver(0);
        }
    }

    /// Delivers what `from` has posted to each of the others, and their answers to it.
    fn exchange(&mut self, from: u64, others: &[u64]) {
        for other in others {
            for (from, to) in [(from, *other), (*other, from)] {
                let path = |(f, t, _): &(Node, Node, Letter)| (*f, *t) == (Node(from), Node(to));
                for _ in 0..self.letters.iter().filter(|l| path(l)).count() {
                    let index = self.letters.iter().position(path).unwrap();
                    self.deliver(index);
                }
            }
        }
    }

    /// A restarted entry reads from the others, in their order.
    fn read(&mut self, node: u64, others: &[u64]) {
        let reads = self.entries[&Node(node)].register.reads(self.now);
        let reads = reads
            .into_iter()
            .map(|(to, ask)| (Node(node), to, Letter::Ask(ask)));
        self.letters.extend(reads);
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
    life: Incarnation,
    start: Start,
    all: &Membership,
) -> Register {
    let config = RegisterConfig {
        retention: RETENTION,
        ..RegisterConfig::default()
    };
    Register::new(now, node, life, start, all.clone(), config)
}

#[test]
fn a_request_runs_at_most_once_in_random_schedules() {
    fn holds(seed: u64) -> bool {
        let size = [1, 2, 3, 4, 5, 5, 7][(seed % 7) as usize];
        let mut cluster = Cluster::new(size, seed);
        cluster.chaos = true;
        for _ in 0..3_000 {
            cluster.step();
        }
        true
    }
    crate::seeded::check()
        .tests(300)
        .quickcheck(holds as fn(u64) -> bool);
}

#[test]
fn a_resend_through_another_entry_gets_the_first_answer() {
    let mut cluster = Cluster::new(5, 1);
    let identity = Identity::of(&Service::from("payroll-core"), "family-1", "pay-1");
    cluster.claim(Node(1), identity);
    cluster.quiesce();
    assert_eq!(cluster.state(1), &ClaimState::Granted);

    let answer = StoredAnswer::new(201, "text/plain", b"paid");
    let progress = Progress::Answered(answer);
    let claims = &mut cluster.entries.get_mut(&Node(1)).unwrap().claims;
    let asks = claims[0].record(progress.clone());
    cluster.post(Node(1), asks);
    cluster.quiesce();
    cluster.restart(Node(1));
    cluster.claim(Node(2), identity);
    cluster.quiesce();

    let ClaimState::Repeated(record) = cluster.state(2) else {
        panic!("{:?}", cluster.state(2));
    };
    assert_eq!(record.progress, progress);
}

#[test]
fn loss_of_replicas_is_told_truthfully() {
    let identity = Identity(9);
    let outcome = |lost: usize, claimed: bool| {
        let mut cluster = Cluster::new(5, 2);
        if claimed {
            cluster.claim(Node(1), identity);
            cluster.quiesce();
        }
        cluster.claim(Node(2), identity);
        let gone: Vec<Node> = (3..=5).map(Node).take(lost).collect();
        cluster
            .letters
            .retain(|(_, to, _)| !gone.contains(to) && (claimed || *to != Node(1)));
        cluster.quiesce();
        for _ in 0..5 {
            let claims = &mut cluster.entries.get_mut(&Node(2)).unwrap().claims;
            let _ = claims[0].on_timeout(Moment::ZERO);
        }
        cluster.state(2).clone()
    };

    assert_eq!(outcome(1, false), ClaimState::Granted);
    let ClaimState::Refused(refusal) = outcome(2, false) else {
        panic!("a minority granted a claim");
    };
    assert_eq!(
        (refusal.reason, refusal.certainty),
        (RefusalReason::NoRecord, Certainty::NotRun)
    );
    assert!(matches!(outcome(2, true), ClaimState::Repeated(_)));
    let ClaimState::Refused(refusal) = outcome(3, true) else {
        panic!("a minority told of a majority");
    };
    assert_eq!(
        (refusal.reason, refusal.certainty),
        (RefusalReason::Repeated, Certainty::Unknown)
    );
}

#[test]
fn a_grant_of_a_replica_that_restarted_since_does_not_count() {
    let mut cluster = Cluster::new(5, 5);
    let identity = Identity(1);
    cluster.claim(Node(1), identity);
    cluster.exchange(1, &[2]);
    cluster.restart(Node(2));
    cluster.read(2, &[3, 4, 5]);

    cluster.exchange(1, &[1, 3, 2, 1, 3]);
    cluster.claim(Node(2), identity);
    cluster.exchange(2, &[2, 4, 5, 2, 4, 5]);

    assert!(cluster.may_send(2));
    assert!(!cluster.may_send(1));
}

#[test]
fn a_replica_that_read_two_claims_grants_neither() {
    let mut cluster = Cluster::new(5, 6);
    let identity = Identity(1);
    cluster.claim(Node(1), identity);
    cluster.exchange(1, &[3]);
    cluster.claim(Node(5), identity);
    cluster.exchange(5, &[2, 4, 5, 2, 4, 5]);
    cluster.restart(Node(2));
    cluster.read(2, &[3, 4, 5]);

    cluster.exchange(1, &[1, 2, 3, 1, 2]);

    assert!(cluster.may_send(5));
    assert!(!cluster.may_send(1));
}

#[test]
fn a_change_of_the_fleet_leaves_no_gap_between_majorities() {
    let identity = Identity(1);
    let mut cluster = Cluster::new(5, 8);
    let all = cluster.members.clone();
    cluster.members = Membership::new(&[Node(1), Node(2), Node(3)]);
    cluster.claim(Node(1), identity);
    cluster.exchange(1, &[1, 2, 1, 2]);

    cluster.members.change(&all.nodes());
    cluster.claim(Node(4), identity);
    cluster.exchange(4, &[3, 4, 5, 3, 4, 5]);

    assert!(cluster.may_send(1));
    assert!(!cluster.may_send(4));
    cluster.members.settle();
    assert_eq!(cluster.members, all);
}

#[test]
fn a_claim_that_arrives_after_its_release_is_not_granted() {
    let mut cluster = Cluster::new(3, 7);
    let identity = Identity(1);
    cluster.claim(Node(1), identity);
    let claim = cluster.entries[&Node(1)].claims[0].id();
    let register = &mut cluster.entries.get_mut(&Node(2)).unwrap().register;

    register.handle(Moment::ZERO, Node(1), Ask::Release { identity, claim });
    let answer = register.handle(Moment::ZERO, Node(1), Ask::Claim { identity, claim });

    assert_eq!(answer, Answer::NotReady { claim });
    assert!(register.is_empty());
}

#[test]
fn a_granted_claim_does_not_send_after_its_deadline() {
    let mut cluster = Cluster::new(3, 3);
    cluster.claim(Node(1), Identity(1));
    cluster.quiesce();

    let claim = &cluster.entries[&Node(1)].claims[0];
    let late = Moment::ZERO + DEADLINE;

    assert!(claim.may_send(Moment::ZERO));
    assert!(!claim.may_send(late));
}

#[test]
fn a_restarted_replica_is_ready_after_reading_or_after_the_retention() {
    let mut cluster = Cluster::new(3, 4);
    cluster.restart(Node(1));
    let identity = Identity(1);
    let ready = |c: &Cluster, at: Moment| c.entries[&Node(1)].register.ready(at, identity);
    assert!(!ready(&cluster, cluster.now));
    assert!(ready(&cluster, Moment::ZERO + RETENTION));

    for (to, ask) in cluster.entries[&Node(1)].register.reads(cluster.now) {
        cluster.letters.push((Node(1), to, Letter::Ask(ask)));
    }
    cluster.quiesce();

    assert!(ready(&cluster, cluster.now));
}

crate::properties! {
    fn a_second_press_within_the_window_shares_an_identity(at: u32, gap: u16, window: u16) -> bool {
        let window = Duration::from_millis(u64::from(window) + 1);
        let gap = Duration::from_millis(u64::from(gap)).min(window - Duration::from_micros(1));
        let service = Service::from("payroll-core");
        let press = repeat_window::Press {
            service: &service,
            customer: "family-1",
            route: "POST /pay",
            body: &[1; 32],
        };
        let first = Moment::from_micros(u64::from(at) + u64::from(u32::MAX));
        let one = repeat_window::derive(&press, first, window).unwrap();
        let two = repeat_window::derive(&press, first + gap, window).unwrap();
        one == two || one.current == two.previous
    }
}
