//! The dispatch keeps its promises in random schedules, and its rules in scripted ones.

use crate::dispatch_model::{Layout, Links, Model, Server, Stream};
use cornelrail_lib::{
    connection::order::Warmth,
    moment::Moment,
    name::{Incarnation, Service, Target, Zone},
    request::{
        dispatch::{
            Action, Arrival, Choice, Dispatch, DispatchConfig, Ending, Importance, RequestId,
            TargetView,
        },
        outcome::Certainty,
    },
    version::command::Fingerprint,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
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
    dispatch: Dispatch,
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
            queue_slots: 8,
            ..DispatchConfig::default()
        };
        let mut chaos = Chaos {
            now: Moment::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            dispatch: Dispatch::new(config),
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
        self.dispatch.set_target(self.now, view.clone());
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
            choice: [Choice::Pool, Choice::Keyed(target)][self.rng.random_range(0..2)].clone(),
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
        self.dispatch.arrive(self.now, arrival);
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
                Ending::Answered,
                Ending::Answered,
                Ending::Failed,
                Ending::Crashed,
            ],
            false => [
                Ending::Shed,
                Ending::NotSent,
                Ending::Cancelled,
                Ending::Failed,
            ],
        };
        let ending = endings[self.rng.random_range(0..4)];
        let answered = ending == Ending::Answered;
        self.answered = answered.then_some((attempt.id, attempt.number));
        self.dispatch
            .finish(self.now, attempt.id, attempt.number, ending);
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
            _ => self.dispatch.report(self.now, &view.target, 9),
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
                self.dispatch.finish(self.now, id, number, Ending::Answered);
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
                Action::Abort { .. } | Action::Suspect { .. } => (),
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
        choice: Choice::Pool,
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
    crate::seeded::check()
        .tests(150)
        .quickcheck(holds as fn(u64) -> bool);
}

/// Model and settings of one scenario file.
struct Scenario {
    model: Model,
    serial: u64,
}

/// Argument of a directive, or a default.
fn arg<T: std::str::FromStr>(case: &datadriven::TestCase, name: &str, default: T) -> T {
    let value = case.args.get(name).and_then(|v| v.first());
    value.and_then(|v| v.parse().ok()).unwrap_or(default)
}

fn millis(case: &datadriven::TestCase, name: &str, default: u64) -> Duration {
    Duration::from_millis(arg(case, name, default))
}

impl Scenario {
    fn new() -> Self {
        let config = DispatchConfig {
            seed: 1,
            ..DispatchConfig::default()
        };
        let links = Links {
            within: Duration::from_micros(100),
            across: Duration::from_micros(750),
        };
        let model = Model::new(&[Zone::from("a")], &config, Layout::Single, links);
        Scenario {
            model,
            serial: 1 << 32,
        }
    }

    fn run(&mut self, case: &datadriven::TestCase) -> String {
        let name = Target::from(arg(case, "name", String::new()).as_str());
        match case.directive.as_str() {
            "target" => {
                let zone = arg(case, "zone", "a".to_owned());
                let slots = arg(case, "slots", 4);
                let mean = millis(case, "mean", 20);
                self.model
                    .add_target(name.as_str(), "s", &zone, slots, mean);
            }
            "restart" => {
                let says = match arg(case, "says", "warm".to_owned()).as_str() {
                    "cold" => Warmth::Cold,
                    _ => Warmth::Warm,
                };
                self.model.restart(&name, says);
            }
            "slow" => self.server(&name).slowdown = arg(case, "factor", 1.0),
            "poison" => self.server(&name).crashes_on = Some(Fingerprint(arg(case, "request", 0))),
            "load" => return self.load(case),
            "sends" => return self.load(case) + &self.sends(),
            "send" => return self.send(case),
            "loads" => return self.loads(),
            other => panic!("unknown directive {other}"),
        }
        String::new()
    }

    fn server(&mut self, name: &Target) -> &mut Server {
        self.model.servers.get_mut(name).expect("no such target")
    }

    /// Runs a stream of requests for a while and prints what became of them.
    fn load(&mut self, case: &datadriven::TestCase) -> String {
        let importance = match case.args.contains_key("mixed") {
            true => vec![Importance::Low, Importance::Normal, Importance::High],
            false => vec![Importance::Normal],
        };
        let until = self.model.now + millis(case, "for", 1000);
        self.model.figures = Default::default();
        self.model.stream(Stream {
            service: Service::from("s"),
            keyed: case.args.contains_key("keyed"),
            rate: arg(case, "rate", 100.0),
            deadline: millis(case, "deadline", 1000),
            until,
            once_tenths: arg(case, "once", 0),
            importance,
        });
        self.model.run_until(until + Duration::from_secs(1));
        self.model.take_actions();
        self.figures()
    }

    fn figures(&self) -> String {
        let figures = &self.model.figures;
        let share = |n: u64| (100.0 * n as f64 / figures.arrived.max(1) as f64).round();
        let mut out = String::new();
        let answered = share(figures.latencies.len() as u64);
        let not_run = share(figures.not_run);
        writeln!(
            out,
            "answered {answered} %, not run {not_run} %, unknown {}",
            figures.unknown
        )
        .unwrap();
        writeln!(out, "over bearable {}", figures.over).unwrap();
        for (class, count) in figures.answered_of.iter().filter(|_| figures.not_run > 0) {
            let share = (100.0 * *count as f64 / figures.arrived_of[class] as f64).round();
            writeln!(out, "{class}: {share} % answered").unwrap();
        }
        out
    }

    /// Sends one request and prints the actions that follow.
    fn send(&mut self, case: &datadriven::TestCase) -> String {
        self.serial += 1;
        let target = arg(case, "key", String::new());
        let once = case.args.contains_key("once");
        let arrival = Arrival {
            choice: match target.as_str() {
                "" => Choice::Pool,
                name => Choice::Keyed(Target::from(name)),
            },
            once,
            repeatable: !once,
            fingerprint: case
                .args
                .contains_key("request")
                .then(|| Fingerprint(arg(case, "request", 0))),
            ..pooled(self.serial, self.model.now + millis(case, "deadline", 1000))
        };
        self.model.take_actions();
        self.model.arrive(0, arrival);
        let end = self.model.now + millis(case, "wait", 1000);
        self.model.run_until(end);
        let mut out = String::new();
        for action in self.model.take_actions() {
            writeln!(out, "{}", describe(&action)).unwrap();
        }
        out
    }

    /// Share of the sendings that each target got, in tenths.
    fn sends(&self) -> String {
        let sends = &self.model.figures.sends;
        let all: u64 = sends.values().sum();
        let mut out = String::new();
        for (target, count) in sends {
            let tenths = (10.0 * *count as f64 / all as f64).round();
            writeln!(out, "{target}: {tenths} tenths").unwrap();
        }
        out
    }

    fn loads(&self) -> String {
        let mut out = String::new();
        for load in self.model.entries[0].loads() {
            let condition = format!("{:?}", load.condition).to_lowercase();
            let (target, limit) = (load.target, load.limit);
            writeln!(out, "{target}: limit {limit}, {condition}").unwrap();
        }
        out
    }
}

fn describe(action: &Action) -> String {
    match action {
        Action::Send {
            attempt, target, ..
        } => format!("send {attempt} to {target}"),
        Action::Deliver { attempt, .. } => format!("deliver {attempt}"),
        Action::Refuse { refusal, .. } => {
            let reason = refusal.reason.name();
            format!("refuse {reason} {:?}", refusal.certainty)
        }
        Action::Abort { attempt, .. } => format!("abort {attempt}"),
        Action::Suspect {
            fingerprint,
            target,
            ..
        } => {
            format!("suspect {} at {target}", fingerprint.0)
        }
    }
}

#[test]
fn scenarios() {
    datadriven::walk("tests/scenarios/dispatch", |file| {
        let mut scenario = Scenario::new();
        file.run(|case| scenario.run(case));
    });
}
