//! Model of entries and targets in model time, for scenarios and the dispatch bench.
//!
//! Each entry is a `Dispatcher`; a target serves as many requests at once as it has slots and keeps
//! the rest waiting. A cold target bears one request, and one more for each few it has served; more
//! than it bears is counted and slows it further.

mod figures;

pub use figures::{Figures, Layout, Links, Stream};

use cornelrail_lib::{
    connection::order::Warmth,
    moment::Moment,
    name::{Incarnation, Service, Target, Zone},
    request::{
        dispatch::{
            Action, Arrival, AttemptOutcome, DispatchConfig, Dispatcher, RequestId, TargetSelector,
            TargetView,
        },
        outcome::Certainty,
    },
    version::command::Fingerprint,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Requests that a cold target serves before it bears one more at once.
const WARM_STEP: u32 = 4;
/// Variance of the logarithm of the service time.
const LOG_SIGMA: f64 = 0.5;

pub struct Server {
    pub view: TargetView,
    pub mean: Duration,
    pub slowdown: f64,
    pub served: u32,
    pub cold: bool,
    pub crashes_on: Option<Fingerprint>,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Job {
    entry: usize,
    id: RequestId,
    attempt: u32,
}

enum Event {
    Arrive {
        stream: usize,
    },
    Forward {
        entry: usize,
        arrival: Arrival,
        since: Moment,
        back: Duration,
    },
    Reach {
        job: Job,
        target: Target,
    },
    Done {
        job: Job,
        target: Target,
        life: Incarnation,
    },
    Ended {
        job: Job,
        ending: AttemptOutcome,
    },
    Cancel {
        job: Job,
        target: Target,
    },
    Wake {
        entry: usize,
    },
}

pub struct Model {
    pub now: Moment,
    pub entries: Vec<Dispatcher>,
    pub servers: BTreeMap<Target, Server>,
    pub figures: Figures,
    layout: Layout,
    links: Links,
    zones: Vec<Zone>,
    streams: Vec<Stream>,
    events: BTreeMap<(Moment, u64), Event>,
    wakes: Vec<Option<Moment>>,
    open: BTreeMap<(usize, RequestId), (Moment, String, Option<Fingerprint>)>,
    actions: Vec<Action>,
    serial: u64,
    rng: ChaCha8Rng,
}

impl Model {
    pub fn new(zones: &[Zone], config: &DispatchConfig, layout: Layout, links: Links) -> Self {
        let entry = |i: usize| {
            let mut config = config.clone();
            config.zone = zones[i].clone();
            config.seed = config.seed * 1000 + i as u64;
            Dispatcher::new(config)
        };
        Model {
            now: Moment::ZERO,
            entries: (0..zones.len()).map(entry).collect(),
            servers: BTreeMap::new(),
            figures: Figures::default(),
            layout,
            links,
            zones: zones.to_vec(),
            streams: Vec::new(),
            events: BTreeMap::new(),
            wakes: vec![None; zones.len()],
            open: BTreeMap::new(),
            actions: Vec::new(),
            serial: 0,
            rng: ChaCha8Rng::seed_from_u64(config.seed),
        }
    }

    pub fn add_target(
        &mut self,
        name: &str,
        service: &str,
        zone: &str,
        slots: u32,
        mean: Duration,
    ) {
        let view = TargetView {
            target: Target::from(name),
            service: Service::from(service),
            zone: Zone::from(zone),
            slots,
            incarnation: Incarnation(1),
            warmth: Warmth::Warm,
            enabled: true,
        };
        self.announce(&view);
        let server = Server {
            view,
            mean,
            slowdown: 1.0,
            served: 0,
            cold: false,
            crashes_on: None,
            running: Vec::new(),
            waiting: VecDeque::new(),
        };
        self.servers.insert(server.view.target.clone(), server);
    }

    pub fn announce(&mut self, view: &TargetView) {
        for i in 0..self.entries.len() {
            let commands = match self.layout {
                Layout::Everywhere => true,
                Layout::PerZone => self.zones[i] == view.zone,
                Layout::Single => i == 0,
            };
            if !commands {
                continue;
            }
            self.entries[i].upsert_target(self.now, view.clone());
            self.settle(i);
        }
    }

    /// The target comes back under a new incarnation, cold; what it ran is lost.
    pub fn restart(&mut self, target: &Target, warmth: Warmth) {
        let server = self.servers.get_mut(target).expect("no such target");
        server.view.incarnation = server.view.incarnation.next();
        server.view.warmth = warmth;
        server.cold = true;
        server.served = 0;
        let lost: Vec<Job> = server
            .running
            .drain(..)
            .chain(server.waiting.drain(..))
            .collect();
        let view = server.view.clone();
        for job in lost {
            self.end(job, target, AttemptOutcome::Crashed);
        }
        self.announce(&view);
    }

    pub fn stream(&mut self, stream: Stream) {
        self.streams.push(stream);
        let index = self.streams.len() - 1;
        self.next_arrival(index);
    }

    /// Takes in one request at an entry.
    pub fn arrive(&mut self, entry: usize, arrival: Arrival) {
        self.admit(entry, arrival, self.now, Duration::ZERO);
    }

    fn admit(&mut self, entry: usize, arrival: Arrival, since: Moment, back: Duration) {
        let class = match arrival.once {
            true => "once".to_owned(),
            false => format!("{:?}", arrival.importance).to_lowercase(),
        };
        self.figures.arrived += 1;
        *self.figures.arrived_of.entry(class.clone()).or_default() += 1;
        let key = (entry, arrival.id);
        self.open
            .insert(key, (since - back, class, arrival.fingerprint));
        self.entries[entry].submit(self.now, arrival);
        self.settle(entry);
    }

    pub fn run_until(&mut self, end: Moment) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                self.push(at, event);
                break;
            }
            self.now = at;
            self.step(event);
        }
        self.now = end;
    }

    /// What the entries asked for since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    fn push(&mut self, at: Moment, event: Event) {
        self.serial += 1;
        self.events.insert((at, self.serial), event);
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive { stream } => self.generate(stream),
            Event::Forward {
                entry,
                arrival,
                since,
                back,
            } => self.admit(entry, arrival, since, back),
            Event::Reach { job, target } => self.reach(job, &target),
            Event::Done { job, target, life } => self.done(job, &target, life),
            Event::Cancel { job, target } => self.stop(job, &target),
            Event::Ended { job, ending } => {
                self.entries[job.entry].finish_attempt(self.now, job.id, job.attempt, ending);
                self.settle(job.entry);
            }
            Event::Wake { entry } => {
                self.wakes[entry] = None;
                self.entries[entry].tick(self.now);
                self.settle(entry);
            }
        }
    }

    fn next_arrival(&mut self, index: usize) {
        let gap = -self.rng.random_range(f64::EPSILON..1.0).ln() / self.streams[index].rate;
        let at = self.now + Duration::from_secs_f64(gap);
        if at < self.streams[index].until {
            self.push(at, Event::Arrive { stream: index });
        }
    }

    fn generate(&mut self, index: usize) {
        self.next_arrival(index);
        self.serial += 1;
        let stream = &self.streams[index];
        let mut owners = self
            .servers
            .values()
            .filter(|s| s.view.service == stream.service);
        let count = owners.clone().count();
        let selector = match stream.keyed {
            true => {
                let owner = owners
                    .nth(self.rng.random_range(0..count))
                    .expect("in range");
                TargetSelector::Keyed(owner.view.target.clone())
            }
            false => TargetSelector::Pool,
        };
        let once = self.rng.random_range(0..10) < stream.once_tenths;
        let turn = self.rng.random_range(0..stream.importance.len());
        let arrival = Arrival {
            id: RequestId(self.serial),
            service: stream.service.clone(),
            selector,
            deadline: self.now + stream.deadline,
            importance: stream.importance[turn],
            once,
            fingerprint: Some(Fingerprint(self.serial)),
            repeatable: !once,
        };
        let first = self.rng.random_range(0..self.entries.len());
        let entry = self.home(first, &arrival);
        let back = match (entry == first, self.zones[entry] == self.zones[first]) {
            (true, _) => Duration::ZERO,
            (false, true) => self.links.within,
            (false, false) => self.links.across,
        };
        let since = self.now;
        self.push(
            self.now + back,
            Event::Forward {
                entry,
                arrival,
                since,
                back,
            },
        );
    }

    /// Entry that commands the request's target; the caller reached entry `first`.
    fn home(&self, first: usize, arrival: &Arrival) -> usize {
        match (self.layout, &arrival.selector) {
            (Layout::Everywhere, _) => first,
            (Layout::PerZone, TargetSelector::Keyed(target)) => {
                let zone = &self.servers[target].view.zone;
                let home = self.zones.iter().position(|z| z == zone);
                home.expect("no entry in the zone")
            }
            _ => 0,
        }
    }

    fn hop(&self, entry: usize, target: &Target) -> Duration {
        match self.zones[entry] == self.servers[target].view.zone {
            true => self.links.within,
            false => self.links.across,
        }
    }

    fn reach(&mut self, job: Job, target: &Target) {
        let server = self.servers.get_mut(target).expect("no such target");
        let open = self.open.get(&(job.entry, job.id));
        let poison = open.and_then(|(_, _, f)| *f);
        if poison.is_some() && poison == server.crashes_on {
            self.restart(target, Warmth::Warm);
            return self.end(job, target, AttemptOutcome::Crashed);
        }
        let load = (server.running.len() + server.waiting.len()) as u32;
        if load >= server.bears() {
            self.figures.over += 1;
        }
        let peak = self.figures.peak.entry(target.clone()).or_default();
        *peak = (*peak).max(load + 1);
        server.waiting.push_back(job);
        self.serve(target);
    }

    fn serve(&mut self, target: &Target) {
        let server = self.servers.get_mut(target).expect("no such target");
        while server.running.len() < server.view.slots as usize
            && let Some(job) = server.waiting.pop_front()
        {
            server.running.push(job);
            let strain = server.running.len() as f64 / f64::from(server.bears());
            let slow = server.slowdown * strain.max(1.0).powi(2);
            let normal = gauss(&mut self.rng) * LOG_SIGMA - LOG_SIGMA * LOG_SIGMA / 2.0;
            let took = server.mean.mul_f64(normal.exp() * slow);
            let life = server.view.incarnation;
            let target = target.clone();
            self.serial += 1;
            let done = Event::Done { job, target, life };
            self.events.insert((self.now + took, self.serial), done);
        }
    }

    fn done(&mut self, job: Job, target: &Target, life: Incarnation) {
        let server = self.servers.get_mut(target).expect("no such target");
        let index = server.running.iter().position(|j| *j == job);
        let Some(index) = index.filter(|_| server.view.incarnation == life) else {
            return;
        };
        server.running.remove(index);
        server.served += 1;
        self.end(job, target, AttemptOutcome::Answered);
        self.serve(target);
    }

    fn stop(&mut self, job: Job, target: &Target) {
        let server = self.servers.get_mut(target).expect("no such target");
        server.running.retain(|j| *j != job);
        server.waiting.retain(|j| *j != job);
        self.end(job, target, AttemptOutcome::Cancelled);
        self.serve(target);
    }

    /// The entry learns a hop later how the job ended.
    fn end(&mut self, job: Job, target: &Target, ending: AttemptOutcome) {
        let at = self.now + self.hop(job.entry, target);
        self.push(at, Event::Ended { job, ending });
    }

    /// Carries out what an entry asks for.
    fn settle(&mut self, entry: usize) {
        for action in self.entries[entry].take_actions() {
            self.carry_out(entry, &action);
            self.actions.push(action);
        }
        if let Some(at) = self.entries[entry].next_wakeup()
            && self.wakes[entry].is_none_or(|w| at < w)
        {
            self.wakes[entry] = Some(at);
            self.push(at.max(self.now), Event::Wake { entry });
        }
    }

    fn carry_out(&mut self, entry: usize, action: &Action) {
        match action {
            Action::Send {
                id,
                attempt,
                target,
            } => {
                let job = Job {
                    entry,
                    id: *id,
                    attempt: *attempt,
                };
                *self.figures.sends.entry(target.clone()).or_default() += 1;
                let target = target.clone();
                let at = self.now + self.hop(entry, &target);
                self.push(at, Event::Reach { job, target });
            }
            Action::Abort { id, attempt } => {
                let job = Job {
                    entry,
                    id: *id,
                    attempt: *attempt,
                };
                let runs = |s: &&Server| s.running.contains(&job) || s.waiting.contains(&job);
                let target = self
                    .servers
                    .values()
                    .find(runs)
                    .map(|s| s.view.target.clone());
                if let Some(target) = target {
                    let at = self.now + self.hop(entry, &target);
                    self.push(at, Event::Cancel { job, target });
                }
            }
            Action::Deliver { id, .. } => {
                if let Some((since, class, _)) = self.open.remove(&(entry, *id)) {
                    let took = self.now.since(since).as_micros() as u64;
                    self.figures.latencies.push(took);
                    *self.figures.answered_of.entry(class).or_default() += 1;
                }
            }
            Action::Refuse { id, refusal } => {
                self.open.remove(&(entry, *id));
                *self
                    .figures
                    .refused
                    .entry(refusal.reason.name())
                    .or_default() += 1;
                match refusal.certainty {
                    Certainty::NotRun => self.figures.not_run += 1,
                    Certainty::Unknown => self.figures.unknown += 1,
                }
            }
            Action::ReportCrash { fingerprint, .. } => {
                *self.figures.suspects.entry(*fingerprint).or_default() += 1;
            }
        }
    }
}

impl Server {
    /// Requests that the target bears at once now.
    fn bears(&self) -> u32 {
        match self.cold {
            true => (1 + self.served / WARM_STEP).min(self.view.slots),
            false => self.view.slots,
        }
    }
}

fn gauss(rng: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * rng.random_range(f64::EPSILON..1.0).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random_range(0.0..1.0)).cos()
}
