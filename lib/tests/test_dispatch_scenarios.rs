//! Scripted scenarios of dispatchers and targets in simulated time.

use crate::dispatch_model::{Layout, Links, Model, RequestStream, Server};
use cornelrail_lib::{
    connection::order::Warmth,
    name::{Service, Target, Zone},
    request::dispatch::{Action, Arrival, DispatchConfig, Importance, RequestId, TargetSelector},
    version::command::Fingerprint,
};
use std::{fmt::Write, time::Duration};

/// State of the run of one scenario file.
struct Scenario {
    model: Model,
    serial: u64,
}

/// Value of an argument of a directive, or a default.
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
            same_zone: Duration::from_micros(100),
            cross_zone: Duration::from_micros(750),
        };
        let model = Model::new(&[Zone::from("a")], &config, Layout::FirstEntry, links);
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
                let mean_time = millis(case, "mean", 20);
                self.model
                    .add_target(name.as_str(), "s", &zone, slots, mean_time);
            }
            "restart" => {
                let warmth = match arg(case, "says", "warm".to_owned()).as_str() {
                    "cold" => Warmth::Cold,
                    _ => Warmth::Warm,
                };
                self.model.restart(&name, warmth);
            }
            "slow" => self.server(&name).slowdown = arg(case, "factor", 1.0),
            "poison" => self.server(&name).crashes_on = Some(Fingerprint(arg(case, "request", 0))),
            "load" => return self.run_load(case),
            "sends" => return self.run_load(case) + &self.send_shares(),
            "send" => return self.send(case),
            "loads" => return self.describe_loads(),
            "suspects" => return self.describe_crashes(),
            other => panic!("unknown directive {other}"),
        }
        String::new()
    }

    fn server(&mut self, name: &Target) -> &mut Server {
        self.model.servers.get_mut(name).expect("no such target")
    }

    /// Runs a stream of requests for a while and describes how they ended.
    fn run_load(&mut self, case: &datadriven::TestCase) -> String {
        let importance = match case.args.contains_key("mixed") {
            true => vec![Importance::Low, Importance::Normal, Importance::High],
            false => vec![Importance::Normal],
        };
        let end = self.model.now + millis(case, "for", 1000);
        self.model.stats = Default::default();
        self.model.add_stream(RequestStream {
            service: Service::from("s"),
            keyed: case.args.contains_key("keyed"),
            rate: arg(case, "rate", 100.0),
            timeout: millis(case, "deadline", 1000),
            end,
            once_tenths: arg(case, "once", 0),
            importance,
        });
        if case.args.contains_key("request") {
            let middle = self.model.now + end.since(self.model.now) / 2;
            self.model.run_until(middle);
            let arrival = self.arrival(case);
            self.model.submit(0, arrival);
        }
        self.model.run_until(end + Duration::from_secs(1));
        self.model.take_actions();
        self.describe_statistics()
    }

    fn describe_statistics(&self) -> String {
        let stats = &self.model.stats;
        let share = |n: u64| (100.0 * n as f64 / stats.arrived.max(1) as f64).round();
        let mut out = String::new();
        let answered = share(stats.latencies.len() as u64);
        let not_run = share(stats.not_run);
        writeln!(
            out,
            "answered {answered} %, not run {not_run} %, unknown {}",
            stats.unknown
        )
        .unwrap();
        writeln!(out, "over bearable {}", stats.over_capacity).unwrap();
        for (class, count) in stats.class_answers.iter().filter(|_| stats.not_run > 0) {
            let share = (100.0 * *count as f64 / stats.class_arrivals[class] as f64).round();
            writeln!(out, "{class}: {share} % answered").unwrap();
        }
        out
    }

    /// Submits one request and describes the actions that follow.
    fn send(&mut self, case: &datadriven::TestCase) -> String {
        let arrival = self.arrival(case);
        self.model.take_actions();
        self.model.submit(0, arrival);
        let end = self.model.now + millis(case, "wait", 1000);
        self.model.run_until(end);
        let mut out = String::new();
        for action in self.model.take_actions() {
            writeln!(out, "{}", describe_action(&action)).unwrap();
        }
        out
    }

    /// Request described by the arguments of a directive.
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

    /// Number of requests that ran in one crash, and each request that ran in several.
    fn describe_crashes(&self) -> String {
        let counts = &self.model.stats.crash_counts;
        let single = counts.values().filter(|c| **c == 1).count();
        let mut out = format!("{single} ran in one crash\n");
        for (fingerprint, count) in counts.iter().filter(|(_, c)| **c > 1) {
            writeln!(out, "{} ran in {count} crashes", fingerprint.0).unwrap();
        }
        out
    }

    /// Share of the attempts that each target got, in tenths.
    fn send_shares(&self) -> String {
        let sends = &self.model.stats.sends;
        let total: u64 = sends.values().sum();
        let mut out = String::new();
        for (target, count) in sends {
            let tenths = (10.0 * *count as f64 / total as f64).round();
            writeln!(out, "{target}: {tenths} tenths").unwrap();
        }
        out
    }

    fn describe_loads(&self) -> String {
        let mut out = String::new();
        for load in self.model.entries[0].loads() {
            let condition = format!("{:?}", load.condition).to_lowercase();
            let (target, limit) = (load.target, load.limit);
            writeln!(out, "{target}: limit {limit}, {condition}").unwrap();
        }
        out
    }
}

fn describe_action(action: &Action) -> String {
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
