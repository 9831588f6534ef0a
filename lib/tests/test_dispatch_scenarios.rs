//! The rules of the dispatch in scripted model time.

use crate::dispatch_model::{Layout, Links, Model, Server, Stream};
use cornelrail_lib::{
    connection::order::Warmth,
    name::{Service, Target, Zone},
    request::dispatch::{Action, Arrival, DispatchConfig, Importance, RequestId, TargetSelector},
    version::command::Fingerprint,
};
use std::{fmt::Write, time::Duration};

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
            "suspects" => return self.suspects(),
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
        if case.args.contains_key("request") {
            let middle = self.model.now + until.since(self.model.now) / 2;
            self.model.run_until(middle);
            let arrival = self.arrival(case);
            self.model.arrive(0, arrival);
        }
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
        let arrival = self.arrival(case);
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

    /// Request as a directive describes it.
    fn arrival(&mut self, case: &datadriven::TestCase) -> Arrival {
        self.serial += 1;
        let target = arg(case, "key", String::new());
        let once = case.args.contains_key("once");
        Arrival {
            selector: match target.as_str() {
                "" => TargetSelector::Pool,
                name => TargetSelector::Keyed(Target::from(name)),
            },
            once,
            repeatable: !once,
            fingerprint: case
                .args
                .contains_key("request")
                .then(|| Fingerprint(arg(case, "request", 0))),
            id: RequestId(self.serial),
            service: Service::from("s"),
            deadline: self.model.now + millis(case, "deadline", 1000),
            importance: Importance::Normal,
        }
    }

    /// Requests that ran in more than one crash, and the number of those that ran in one.
    fn suspects(&self) -> String {
        let counts = &self.model.figures.suspects;
        let once = counts.values().filter(|c| **c == 1).count();
        let mut out = format!("{once} ran in one crash\n");
        for (fingerprint, count) in counts.iter().filter(|(_, c)| **c > 1) {
            writeln!(out, "{} ran in {count} crashes", fingerprint.0).unwrap();
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
        Action::ReportCrash {
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
