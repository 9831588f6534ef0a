//! Guarantees of the dispatcher under random schedules of requests, outcomes and faults, and the
//! refusals of requests that cannot end in time or whose target is lost.

use cornelrail_lib::{
    connection::order::Warmth,
    moment::Moment,
    name::{Incarnation, Service, Target, Zone},
    request::{
        dispatch::{
            Action, Arrival, AttemptOutcome, DispatchConfig, Dispatcher, Importance, RequestId,
            TargetSelector, TargetView,
        },
        outcome::{Certainty, RefusalReason},
    },
    version::command::Fingerprint,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

const TICK: Duration = Duration::from_millis(10);

/// One attempt as the target sees it.
struct Attempt {
    id: RequestId,
    number: u32,
    target: Target,
    incarnation: Incarnation,
    ran: bool,
}

/// One request as its caller and the targets see it.
#[derive(Default)]
struct RequestRecord {
    deadline: Moment,
    once: bool,
    not_run: bool,
    final_answers: u32,
    run_count: u32,
}

/// One dispatcher with targets and callers that act at random.
struct Simulation {
    now: Moment,
    rng: ChaCha8Rng,
    dispatcher: Dispatcher,
    views: BTreeMap<Target, TargetView>,
    attempts: Vec<Attempt>,
    ended_attempts: Vec<(RequestId, u32)>,
    records: BTreeMap<RequestId, RequestRecord>,
    open: BTreeSet<RequestId>,
    answered: Option<(RequestId, u32)>,
    serial: u64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let config = DispatchConfig {
            seed,
            zone: Zone::from("a"),
            queue_capacity: 8,
            ..DispatchConfig::default()
        };
        let mut simulation = Simulation {
            now: Moment::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            dispatcher: Dispatcher::new(config),
            views: BTreeMap::new(),
            attempts: Vec::new(),
            ended_attempts: Vec::new(),
            records: BTreeMap::new(),
            open: BTreeSet::new(),
            answered: None,
            serial: 0,
        };
        for (index, name) in ["t0", "t1", "t2", "t3"].into_iter().enumerate() {
            simulation.update_target(target_view(name, ["a", "b"][index % 2], 1 + index as u32));
        }
        simulation
    }

    fn update_target(&mut self, view: TargetView) {
        self.dispatcher.upsert_target(self.now, view.clone());
        self.views.insert(view.target.clone(), view);
    }

    fn random_target(&mut self) -> TargetView {
        let index = self.rng.random_range(0..self.views.len());
        self.views.values().nth(index).unwrap().clone()
    }

    fn submit_request(&mut self) {
        self.serial += 1;
        let id = RequestId(self.serial);
        let target = self.random_target().target;
        let once = self.rng.random_range(0..3) == 0;
        let timeout = [5, 50, 500, 3_000][self.rng.random_range(0..4)];
        let deadline = self.now + Duration::from_millis(timeout);
        let arrival = Arrival {
            selector: [TargetSelector::Pool, TargetSelector::Keyed(target)]
                [self.rng.random_range(0..2)]
            .clone(),
            importance: [Importance::Low, Importance::High][self.rng.random_range(0..2)],
            once,
            repeatable: self.rng.random_range(0..3) > 0,
            fingerprint: Some(Fingerprint(self.serial)),
            ..pool_request(id.0, deadline)
        };
        let record = RequestRecord {
            deadline,
            once,
            ..RequestRecord::default()
        };
        self.records.insert(id, record);
        self.open.insert(id);
        self.dispatcher.submit(self.now, arrival);
    }

    /// Ends a random attempt with a random outcome. `step` may report its end twice or much later.
    fn end_attempt(&mut self) {
        if self.attempts.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.attempts.len());
        let attempt = self.attempts.swap_remove(index);
        let outcomes = match attempt.ran {
            true => [
                AttemptOutcome::Answered,
                AttemptOutcome::Answered,
                AttemptOutcome::Failed,
                AttemptOutcome::Crashed,
            ],
            false => [
                AttemptOutcome::Shed,
                AttemptOutcome::NotSent,
                AttemptOutcome::Cancelled,
                AttemptOutcome::Failed,
            ],
        };
        let outcome = outcomes[self.rng.random_range(0..4)];
        let answered = outcome == AttemptOutcome::Answered;
        self.answered = answered.then_some((attempt.id, attempt.number));
        self.dispatcher
            .finish_attempt(self.now, attempt.id, attempt.number, outcome);
        self.ended_attempts.push((attempt.id, attempt.number));
    }

    fn run_attempt(&mut self) {
        if self.attempts.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.attempts.len());
        let attempt = &mut self.attempts[index];
        if !attempt.ran {
            attempt.ran = true;
            let record = self.records.get_mut(&attempt.id).unwrap();
            record.run_count += 1;
            assert!(
                !record.not_run,
                "{:?} ran after its refusal as not run",
                attempt.id
            );
            assert!(
                !record.once || record.run_count <= 1,
                "{:?} ran twice",
                attempt.id
            );
        }
    }

    fn inject_change(&mut self) {
        let mut view = self.random_target();
        match self.rng.random_range(0..5) {
            0 => {
                view.incarnation = view.incarnation.next();
                view.warmth = [Warmth::Cold, Warmth::Warm][self.rng.random_range(0..2)];
                self.update_target(view);
            }
            1 => {
                view.enabled = !view.enabled;
                self.update_target(view);
            }
            2 => {
                self.dispatcher.remove_target(self.now, &view.target);
                self.views.get_mut(&view.target).unwrap().enabled = false;
            }
            3 if self.serial > 0 => {
                let id = RequestId(self.rng.random_range(1..=self.serial));
                self.open.remove(&id);
                self.dispatcher.cancel(self.now, id);
            }
            _ => self.dispatcher.report_load(self.now, &view.target, 9),
        }
    }

    fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..25 => self.submit_request(),
            25..50 => self.end_attempt(),
            50..70 => self.run_attempt(),
            70..75 => self.inject_change(),
            75..78 if !self.ended_attempts.is_empty() => {
                let (id, number) =
                    self.ended_attempts[self.rng.random_range(0..self.ended_attempts.len())];
                self.dispatcher
                    .finish_attempt(self.now, id, number, AttemptOutcome::Answered);
            }
            _ => {
                self.now = self.now + TICK;
                self.dispatcher.tick(self.now);
            }
        }
        self.perform_actions();
        self.answered = None;
        self.check_invariants();
    }

    fn perform_actions(&mut self) {
        for action in self.dispatcher.take_actions() {
            match action {
                Action::Send {
                    id,
                    attempt,
                    target,
                } => {
                    let view = &self.views[&target];
                    assert!(view.enabled, "sent to a disabled target");
                    let incarnation = view.incarnation;
                    let attempt = Attempt {
                        id,
                        number: attempt,
                        target,
                        incarnation,
                        ran: false,
                    };
                    self.attempts.push(attempt);
                }
                Action::Deliver { id, attempt } => {
                    assert_eq!(
                        self.answered,
                        Some((id, attempt)),
                        "delivered the answer of another attempt"
                    );
                    self.record_final_answer(id);
                }
                Action::Refuse { id, refusal } => {
                    assert!(refusal.retry > Duration::ZERO);
                    let record = self.record_final_answer(id);
                    record.not_run = refusal.certainty == Certainty::NotRun;
                    assert!(
                        !record.not_run || record.run_count == 0,
                        "{id:?} was refused as not run, but ran"
                    );
                }
                Action::Abort { .. } | Action::ReportCrash { .. } => (),
            }
        }
    }

    /// Counts the final answer of a request, which must be the only one.
    fn record_final_answer(&mut self, id: RequestId) -> &mut RequestRecord {
        self.open.remove(&id);
        let record = self.records.get_mut(&id).unwrap();
        record.final_answers += 1;
        assert_eq!(record.final_answers, 1, "{id:?} got two final answers");
        record
    }

    fn check_invariants(&self) {
        for id in &self.open {
            let overdue = self.now >= self.records[id].deadline + TICK;
            assert!(!overdue, "{id:?} is open after its deadline");
        }
        for (target, view) in &self.views {
            let is_here = |a: &&Attempt| a.target == *target && a.incarnation == view.incarnation;
            let in_flight = self.attempts.iter().filter(is_here).count();
            assert!(
                in_flight <= view.slots as usize,
                "{target} has {in_flight} attempts"
            );
        }
    }
}

fn target_view(target: &str, zone: &str, slots: u32) -> TargetView {
    TargetView {
        target: Target::from(target),
        service: Service::from("s"),
        zone: Zone::from(zone),
        slots,
        incarnation: Incarnation(1),
        warmth: Warmth::Warm,
        enabled: true,
    }
}

fn pool_request(id: u64, deadline: Moment) -> Arrival {
    Arrival {
        id: RequestId(id),
        service: Service::from("s"),
        selector: TargetSelector::Pool,
        deadline,
        importance: Importance::Normal,
        once: false,
        fingerprint: None,
        repeatable: true,
    }
}

#[test]
fn invariants_hold_in_random_schedules() {
    fn property(seed: u64) -> bool {
        let mut simulation = Simulation::new(seed);
        for _ in 0..2_000 {
            simulation.step();
        }
        true
    }
    crate::property::checker()
        .tests(150)
        .quickcheck(property as fn(u64) -> bool);
}

/// Dispatcher whose only target answered one request after 20 ms, and the time of the answer.
fn dispatcher_after_answer() -> (Dispatcher, Moment) {
    let mut dispatcher = Dispatcher::new(DispatchConfig::default());
    let start = Moment::from_millis(1);
    let end = Moment::from_millis(21);
    dispatcher.upsert_target(start, target_view("t", "a", 1));
    dispatcher.submit(start, pool_request(1, Moment::from_millis(500)));
    dispatcher.finish_attempt(end, RequestId(1), 1, AttemptOutcome::Answered);
    dispatcher.take_actions();
    (dispatcher, end)
}

fn keyed_request(id: u64, deadline: Moment) -> Arrival {
    Arrival {
        selector: TargetSelector::Keyed(Target::from("t")),
        ..pool_request(id, deadline)
    }
}

fn refusals(dispatcher: &mut Dispatcher) -> Vec<(RequestId, Certainty, RefusalReason)> {
    let actions = dispatcher.take_actions().into_iter();
    actions
        .filter_map(|action| match action {
            Action::Refuse { id, refusal } => Some((id, refusal.certainty, refusal.reason)),
            _ => None,
        })
        .collect()
}

#[test]
fn a_request_that_cannot_end_in_time_is_refused_on_arrival() {
    let (mut dispatcher, now) = dispatcher_after_answer();
    dispatcher.submit(now, keyed_request(2, now + Duration::from_secs(1)));
    dispatcher.submit(now, keyed_request(3, now + Duration::from_secs(1)));

    dispatcher.submit(now, keyed_request(4, now + Duration::from_millis(50)));

    let expected = (RequestId(4), Certainty::NotRun, RefusalReason::Overload);
    assert_eq!(refusals(&mut dispatcher), [expected]);
}

#[test]
fn new_requests_to_a_stalled_target_are_refused_on_arrival() {
    let (mut dispatcher, now) = dispatcher_after_answer();
    let deadline = now + Duration::from_secs(10);
    dispatcher.submit(now, keyed_request(2, deadline));

    let later = now + Duration::from_secs(1);
    dispatcher.tick(later);
    dispatcher.submit(later, keyed_request(3, deadline));

    let expected = (RequestId(3), Certainty::NotRun, RefusalReason::Overload);
    assert_eq!(refusals(&mut dispatcher), [expected]);
}

#[test]
fn the_loss_of_a_target_ends_its_requests_at_once() {
    let (mut dispatcher, now) = dispatcher_after_answer();
    let deadline = now + Duration::from_secs(1);
    dispatcher.submit(now, keyed_request(2, deadline));
    dispatcher.submit(now, keyed_request(3, deadline));

    dispatcher.remove_target(now, &Target::from("t"));

    let expected = [
        (RequestId(2), Certainty::Unknown, RefusalReason::NoOwner),
        (RequestId(3), Certainty::NotRun, RefusalReason::NoOwner),
    ];
    assert_eq!(refusals(&mut dispatcher), expected);
}

#[test]
fn a_shutdown_refuses_new_requests_and_finishes_open_ones() {
    let (mut dispatcher, now) = dispatcher_after_answer();
    let deadline = now + Duration::from_secs(1);
    dispatcher.submit(now, keyed_request(2, deadline));
    dispatcher.submit(now, keyed_request(3, deadline));

    dispatcher.shutdown();
    dispatcher.submit(now, keyed_request(4, deadline));
    let refused = refusals(&mut dispatcher);
    dispatcher.finish_attempt(now, RequestId(2), 1, AttemptOutcome::Answered);
    dispatcher.finish_attempt(now, RequestId(3), 1, AttemptOutcome::Answered);

    assert_eq!(
        refused,
        [(RequestId(4), Certainty::NotRun, RefusalReason::Shutdown)]
    );
    assert_eq!(refusals(&mut dispatcher), []);
    assert!(dispatcher.is_idle());
}
