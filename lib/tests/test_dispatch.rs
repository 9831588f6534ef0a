//! The dispatch keeps its promises in random schedules.

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
    life: Incarnation,
    ran: bool,
}

#[derive(Default)]
struct Fate {
    deadline: Moment,
    once: bool,
    not_run: bool,
    finals: u32,
    runs: u32,
}

/// Random targets and callers around one dispatch.
struct Chaos {
    now: Moment,
    rng: ChaCha8Rng,
    dispatch: Dispatcher,
    views: BTreeMap<Target, TargetView>,
    attempts: Vec<Attempt>,
    ended: Vec<(RequestId, u32)>,
    fates: BTreeMap<RequestId, Fate>,
    open: BTreeSet<RequestId>,
    answered: Option<(RequestId, u32)>,
    serial: u64,
}

impl Chaos {
    fn new(seed: u64) -> Self {
        let config = DispatchConfig {
            seed,
            zone: Zone::from("a"),
            queue_capacity: 8,
            ..DispatchConfig::default()
        };
        let mut chaos = Chaos {
            now: Moment::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            dispatch: Dispatcher::new(config),
            views: BTreeMap::new(),
            attempts: Vec::new(),
            ended: Vec::new(),
            fates: BTreeMap::new(),
            open: BTreeSet::new(),
            answered: None,
            serial: 0,
        };
        for (index, name) in ["t0", "t1", "t2", "t3"].into_iter().enumerate() {
            chaos.put(view(name, ["a", "b"][index % 2], 1 + index as u32));
        }
        chaos
    }

    fn put(&mut self, view: TargetView) {
        self.dispatch.upsert_target(self.now, view.clone());
        self.views.insert(view.target.clone(), view);
    }

    fn pick(&mut self) -> TargetView {
        let index = self.rng.random_range(0..self.views.len());
        self.views.values().nth(index).unwrap().clone()
    }

    fn arrive(&mut self) {
        self.serial += 1;
        let id = RequestId(self.serial);
        let target = self.pick().target;
        let once = self.rng.random_range(0..3) == 0;
        let wait = [5, 50, 500, 3_000][self.rng.random_range(0..4)];
        let deadline = self.now + Duration::from_millis(wait);
        let arrival = Arrival {
            selector: [TargetSelector::Pool, TargetSelector::Keyed(target)]
                [self.rng.random_range(0..2)]
            .clone(),
            importance: [Importance::Low, Importance::High][self.rng.random_range(0..2)],
            once,
            repeatable: self.rng.random_range(0..3) > 0,
            fingerprint: Some(Fingerprint(self.serial)),
            ..pooled(id.0, deadline)
        };
        let fate = Fate {
            deadline,
            once,
            ..Fate::default()
        };
        self.fates.insert(id, fate);
        self.open.insert(id);
        self.dispatch.submit(self.now, arrival);
    }

    /// An attempt ends somehow; now and then the same end is reported twice or long after.
    fn end(&mut self) {
        if self.attempts.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.attempts.len());
        let attempt = self.attempts.swap_remove(index);
        let endings = match attempt.ran {
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
        let ending = endings[self.rng.random_range(0..4)];
        let answered = ending == AttemptOutcome::Answered;
        self.answered = answered.then_some((attempt.id, attempt.number));
        self.dispatch
            .finish_attempt(self.now, attempt.id, attempt.number, ending);
        self.ended.push((attempt.id, attempt.number));
    }

    fn run(&mut self) {
        if self.attempts.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.attempts.len());
        let attempt = &mut self.attempts[index];
        if !attempt.ran {
            attempt.ran = true;
            let fate = self.fates.get_mut(&attempt.id).unwrap();
            fate.runs += 1;
            assert!(!fate.not_run, "{:?} ran after all", attempt.id);
            assert!(!fate.once || fate.runs <= 1, "{:?} ran twice", attempt.id);
        }
    }

    fn disturb(&mut self) {
        let mut view = self.pick();
        match self.rng.random_range(0..5) {
            0 => {
                view.incarnation = view.incarnation.next();
                view.warmth = [Warmth::Cold, Warmth::Warm][self.rng.random_range(0..2)];
                self.put(view);
            }
            1 => {
                view.enabled = !view.enabled;
                self.put(view);
            }
            2 => {
                self.dispatch.remove_target(self.now, &view.target);
                self.views.get_mut(&view.target).unwrap().enabled = false;
            }
            3 if self.serial > 0 => {
                let id = RequestId(self.rng.random_range(1..=self.serial));
                self.open.remove(&id);
                self.dispatch.cancel(self.now, id);
            }
            _ => self.dispatch.report_load(self.now, &view.target, 9),
        }
    }

    fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..25 => self.arrive(),
            25..50 => self.end(),
            50..70 => self.run(),
            70..75 => self.disturb(),
            75..78 if !self.ended.is_empty() => {
                let (id, number) = self.ended[self.rng.random_range(0..self.ended.len())];
                self.dispatch
                    .finish_attempt(self.now, id, number, AttemptOutcome::Answered);
            }
            _ => {
                self.now = self.now + TICK;
                self.dispatch.tick(self.now);
            }
        }
        self.carry_out();
        self.answered = None;
        self.check();
    }

    fn carry_out(&mut self) {
        for action in self.dispatch.take_actions() {
            match action {
                Action::Send {
                    id,
                    attempt,
                    target,
                } => {
                    let view = &self.views[&target];
                    assert!(view.enabled, "sent to a target that takes no work");
                    let life = view.incarnation;
                    let attempt = Attempt {
                        id,
                        number: attempt,
                        target,
                        life,
                        ran: false,
                    };
                    self.attempts.push(attempt);
                }
                Action::Deliver { id, attempt } => {
                    assert_eq!(self.answered, Some((id, attempt)), "another's answer");
                    self.close(id);
                }
                Action::Refuse { id, refusal } => {
                    assert!(refusal.retry > Duration::ZERO);
                    let fate = self.close(id);
                    fate.not_run = refusal.certainty == Certainty::NotRun;
                    assert!(!fate.not_run || fate.runs == 0, "{id:?} ran");
                }
                Action::Abort { .. } | Action::ReportCrash { .. } => (),
            }
        }
    }

    /// Counts the final answer of a request.
    fn close(&mut self, id: RequestId) -> &mut Fate {
        self.open.remove(&id);
        let fate = self.fates.get_mut(&id).unwrap();
        fate.finals += 1;
        assert_eq!(fate.finals, 1, "{id:?} got two final answers");
        fate
    }

    fn check(&self) {
        for id in &self.open {
            let late = self.now >= self.fates[id].deadline + TICK;
            assert!(!late, "{id:?} outlived its deadline");
        }
        for (target, view) in &self.views {
            let here = |a: &&Attempt| a.target == *target && a.life == view.incarnation;
            let load = self.attempts.iter().filter(here).count();
            assert!(load <= view.slots as usize, "{target} carries {load}");
        }
    }
}

fn view(target: &str, zone: &str, slots: u32) -> TargetView {
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

fn pooled(id: u64, deadline: Moment) -> Arrival {
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
fn promises_hold_in_random_schedules() {
    fn holds(seed: u64) -> bool {
        let mut chaos = Chaos::new(seed);
        for _ in 0..2_000 {
            chaos.step();
        }
        true
    }
    crate::property::checker()
        .tests(150)
        .quickcheck(holds as fn(u64) -> bool);
}

/// Dispatch with one target that answered a request in 20 ms, and the time after it.
fn seasoned() -> (Dispatcher, Moment) {
    let mut dispatch = Dispatcher::new(DispatchConfig::default());
    let start = Moment::from_millis(1);
    let end = Moment::from_millis(21);
    dispatch.upsert_target(start, view("t", "a", 1));
    dispatch.submit(start, pooled(1, Moment::from_millis(500)));
    dispatch.finish_attempt(end, RequestId(1), 1, AttemptOutcome::Answered);
    dispatch.take_actions();
    (dispatch, end)
}

fn keyed(id: u64, deadline: Moment) -> Arrival {
    Arrival {
        selector: TargetSelector::Keyed(Target::from("t")),
        ..pooled(id, deadline)
    }
}

fn refusals(dispatch: &mut Dispatcher) -> Vec<(RequestId, Certainty, RefusalReason)> {
    let actions = dispatch.take_actions().into_iter();
    actions
        .filter_map(|action| match action {
            Action::Refuse { id, refusal } => Some((id, refusal.certainty, refusal.reason)),
            _ => None,
        })
        .collect()
}

#[test]
fn a_request_that_cannot_end_in_time_is_refused_on_arrival() {
    let (mut dispatch, now) = seasoned();
    dispatch.submit(now, keyed(2, now + Duration::from_secs(1)));
    dispatch.submit(now, keyed(3, now + Duration::from_secs(1)));

    dispatch.submit(now, keyed(4, now + Duration::from_millis(50)));

    let expected = (RequestId(4), Certainty::NotRun, RefusalReason::Overload);
    assert_eq!(refusals(&mut dispatch), [expected]);
}

#[test]
fn newcomers_to_a_frozen_target_are_refused_on_arrival() {
    let (mut dispatch, now) = seasoned();
    let deadline = now + Duration::from_secs(10);
    dispatch.submit(now, keyed(2, deadline));

    let later = now + Duration::from_secs(1);
    dispatch.tick(later);
    dispatch.submit(later, keyed(3, deadline));

    let expected = (RequestId(3), Certainty::NotRun, RefusalReason::Overload);
    assert_eq!(refusals(&mut dispatch), [expected]);
}

#[test]
fn the_loss_of_a_target_ends_its_requests_at_once() {
    let (mut dispatch, now) = seasoned();
    let deadline = now + Duration::from_secs(1);
    dispatch.submit(now, keyed(2, deadline));
    dispatch.submit(now, keyed(3, deadline));

    dispatch.remove_target(now, &Target::from("t"));

    let expected = [
        (RequestId(2), Certainty::Unknown, RefusalReason::NoOwner),
        (RequestId(3), Certainty::NotRun, RefusalReason::NoOwner),
    ];
    assert_eq!(refusals(&mut dispatch), expected);
}

#[test]
fn a_shutdown_turns_newcomers_away_and_finishes_the_rest() {
    let (mut dispatch, now) = seasoned();
    let deadline = now + Duration::from_secs(1);
    dispatch.submit(now, keyed(2, deadline));
    dispatch.submit(now, keyed(3, deadline));

    dispatch.shutdown();
    dispatch.submit(now, keyed(4, deadline));
    let turned = refusals(&mut dispatch);
    dispatch.finish_attempt(now, RequestId(2), 1, AttemptOutcome::Answered);
    dispatch.finish_attempt(now, RequestId(3), 1, AttemptOutcome::Answered);

    assert_eq!(
        turned,
        [(RequestId(4), Certainty::NotRun, RefusalReason::Shutdown)]
    );
    assert_eq!(refusals(&mut dispatch), []);
    assert!(dispatch.is_idle());
}
