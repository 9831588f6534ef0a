//! Simulation of entries and targets, for the dispatch scenarios and the dispatch example.
//!
//! Each entry is a `Dispatcher`; a target runs as many requests at once as it has slots and queues
//! the rest. A cold target has a capacity of one request, which grows as it serves requests. Load
//! beyond the capacity is counted and slows the target down.

mod figures;

pub use figures::{Layout, Links, RequestStream, Statistics};

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

/// Requests that a cold target serves before its capacity grows by one.
const REQUESTS_PER_STEP: u32 = 4;
/// Standard deviation of the logarithm of the service time.
const LOG_SIGMA: f64 = 0.5;

pub struct Server {
    pub view: TargetView,
    /// Mean service time of the warm target without a slowdown.
    pub mean_time: Duration,
    /// Factor by which the service times are longer.
    pub slowdown: f64,
    pub served: u32,
    pub cold: bool,
    /// Content of the requests that crash the target.
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
    Generate {
        stream: usize,
    },
    /// A request reaches the entry that sends it to targets.
    Submit {
        entry: usize,
        arrival: Arrival,
        created: Moment,
        delay: Duration,
    },
    Reach {
        job: Job,
        target: Target,
    },
    Finish {
        job: Job,
        target: Target,
        incarnation: Incarnation,
    },
    Report {
        job: Job,
        outcome: AttemptOutcome,
    },
    Cancel {
        job: Job,
        target: Target,
    },
    Wake {
        entry: usize,
    },
}

/// Entries, targets and the events between them in simulated time.
pub struct Model {
    pub now: Moment,
    pub entries: Vec<Dispatcher>,
    pub servers: BTreeMap<Target, Server>,
    pub stats: Statistics,
    layout: Layout,
    links: Links,
    zones: Vec<Zone>,
    streams: Vec<RequestStream>,
    events: BTreeMap<(Moment, u64), Event>,
    wakeups: Vec<Option<Moment>>,
    open_requests: BTreeMap<(usize, RequestId), (Moment, String, Option<Fingerprint>)>,
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
            stats: Statistics::default(),
            layout,
            links,
            zones: zones.to_vec(),
            streams: Vec::new(),
            events: BTreeMap::new(),
            wakeups: vec![None; zones.len()],
            open_requests: BTreeMap::new(),
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
        mean_time: Duration,
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
        self.update_target(&view);
        let server = Server {
            view,
            mean_time,
            slowdown: 1.0,
            served: 0,
            cold: false,
            crashes_on: None,
            running: Vec::new(),
            waiting: VecDeque::new(),
        };
        self.servers.insert(server.view.target.clone(), server);
    }

    /// Passes the state of a target to the entries that send to it.
    pub fn update_target(&mut self, view: &TargetView) {
        for i in 0..self.entries.len() {
            let sends = match self.layout {
                Layout::AllEntries => true,
                Layout::PerZone => self.zones[i] == view.zone,
                Layout::FirstEntry => i == 0,
            };
            if !sends {
                continue;
            }
            self.entries[i].upsert_target(self.now, view.clone());
            self.process_actions(i);
        }
    }

    /// Restarts a target, which is cold but reports `warmth`. Its requests fail as crashed.
    pub fn restart(&mut self, target: &Target, warmth: Warmth) {
        let server = self.servers.get_mut(target).expect("no such target");
        server.view.incarnation = server.view.incarnation.next();
        server.view.warmth = warmth;
        server.cold = true;
        server.served = 0;
        let crashed_jobs: Vec<Job> = server
            .running
            .drain(..)
            .chain(server.waiting.drain(..))
            .collect();
        let view = server.view.clone();
        for job in crashed_jobs {
            self.report_outcome(job, target, AttemptOutcome::Crashed);
        }
        self.update_target(&view);
    }

    pub fn add_stream(&mut self, stream: RequestStream) {
        self.streams.push(stream);
        let index = self.streams.len() - 1;
        self.schedule_arrival(index);
    }

    pub fn submit(&mut self, entry: usize, arrival: Arrival) {
        self.submit_to(entry, arrival, self.now, Duration::ZERO);
    }

    fn submit_to(&mut self, entry: usize, arrival: Arrival, created: Moment, delay: Duration) {
        let class = match arrival.once {
            true => "once".to_owned(),
            false => format!("{:?}", arrival.importance).to_lowercase(),
        };
        self.stats.arrived += 1;
        *self.stats.class_arrivals.entry(class.clone()).or_default() += 1;
        let key = (entry, arrival.id);
        // The answer returns with the same delay as the request was forwarded.
        self.open_requests
            .insert(key, (created - delay, class, arrival.fingerprint));
        self.entries[entry].submit(self.now, arrival);
        self.process_actions(entry);
    }

    pub fn run_until(&mut self, end: Moment) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                self.schedule(at, event);
                break;
            }
            self.now = at;
            self.handle_event(event);
        }
        self.now = end;
    }

    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    fn schedule(&mut self, at: Moment, event: Event) {
        self.serial += 1;
        self.events.insert((at, self.serial), event);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Generate { stream } => self.generate_request(stream),
            Event::Submit {
                entry,
                arrival,
                created,
                delay,
            } => self.submit_to(entry, arrival, created, delay),
            Event::Reach { job, target } => self.reach_target(job, &target),
            Event::Finish {
                job,
                target,
                incarnation,
            } => self.finish(job, &target, incarnation),
            Event::Cancel { job, target } => self.cancel(job, &target),
            Event::Report { job, outcome } => {
                self.entries[job.entry].finish_attempt(self.now, job.id, job.attempt, outcome);
                self.process_actions(job.entry);
            }
            Event::Wake { entry } => {
                self.wakeups[entry] = None;
                self.entries[entry].tick(self.now);
                self.process_actions(entry);
            }
        }
    }

    fn schedule_arrival(&mut self, index: usize) {
        let interval = -self.rng.random_range(f64::EPSILON..1.0).ln() / self.streams[index].rate;
        let at = self.now + Duration::from_secs_f64(interval);
        if at < self.streams[index].end {
            self.schedule(at, Event::Generate { stream: index });
        }
    }

    fn generate_request(&mut self, index: usize) {
        self.schedule_arrival(index);
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
        let choice = self.rng.random_range(0..stream.importance.len());
        let arrival = Arrival {
            id: RequestId(self.serial),
            service: stream.service.clone(),
            selector,
            deadline: self.now + stream.timeout,
            importance: stream.importance[choice],
            once,
            fingerprint: Some(Fingerprint(self.serial)),
            repeatable: !once,
        };
        let first = self.rng.random_range(0..self.entries.len());
        let entry = self.home_entry(first, &arrival);
        let delay = match (entry == first, self.zones[entry] == self.zones[first]) {
            (true, _) => Duration::ZERO,
            (false, true) => self.links.same_zone,
            (false, false) => self.links.cross_zone,
        };
        let created = self.now;
        self.schedule(
            self.now + delay,
            Event::Submit {
                entry,
                arrival,
                created,
                delay,
            },
        );
    }

    /// Entry that sends the request to its target, if the caller connected to the entry `first`.
    fn home_entry(&self, first: usize, arrival: &Arrival) -> usize {
        match (self.layout, &arrival.selector) {
            (Layout::AllEntries, _) => first,
            (Layout::PerZone, TargetSelector::Keyed(target)) => {
                let zone = &self.servers[target].view.zone;
                let home = self.zones.iter().position(|z| z == zone);
                home.expect("no entry in the zone")
            }
            _ => 0,
        }
    }

    fn link_delay(&self, entry: usize, target: &Target) -> Duration {
        match self.zones[entry] == self.servers[target].view.zone {
            true => self.links.same_zone,
            false => self.links.cross_zone,
        }
    }

    fn reach_target(&mut self, job: Job, target: &Target) {
        let server = self.servers.get_mut(target).expect("no such target");
        let open = self.open_requests.get(&(job.entry, job.id));
        let fingerprint = open.and_then(|(_, _, f)| *f);
        if fingerprint.is_some() && fingerprint == server.crashes_on {
            self.restart(target, Warmth::Warm);
            return self.report_outcome(job, target, AttemptOutcome::Crashed);
        }
        let load = (server.running.len() + server.waiting.len()) as u32;
        if load >= server.capacity() {
            self.stats.over_capacity += 1;
        }
        let peak = self.stats.peak_loads.entry(target.clone()).or_default();
        *peak = (*peak).max(load + 1);
        server.waiting.push_back(job);
        self.start_waiting(target);
    }

    fn start_waiting(&mut self, target: &Target) {
        let server = self.servers.get_mut(target).expect("no such target");
        while server.running.len() < server.view.slots as usize
            && let Some(job) = server.waiting.pop_front()
        {
            server.running.push(job);
            let utilization = server.running.len() as f64 / f64::from(server.capacity());
            let slowdown = server.slowdown * utilization.max(1.0).powi(2);
            let normal = standard_normal(&mut self.rng) * LOG_SIGMA - LOG_SIGMA * LOG_SIGMA / 2.0;
            let duration = server.mean_time.mul_f64(normal.exp() * slowdown);
            let incarnation = server.view.incarnation;
            let target = target.clone();
            self.serial += 1;
            let event = Event::Finish {
                job,
                target,
                incarnation,
            };
            self.events
                .insert((self.now + duration, self.serial), event);
        }
    }

    fn finish(&mut self, job: Job, target: &Target, incarnation: Incarnation) {
        let server = self.servers.get_mut(target).expect("no such target");
        let index = server.running.iter().position(|j| *j == job);
        let Some(index) = index.filter(|_| server.view.incarnation == incarnation) else {
            return;
        };
        server.running.remove(index);
        server.served += 1;
        self.report_outcome(job, target, AttemptOutcome::Answered);
        self.start_waiting(target);
    }

    fn cancel(&mut self, job: Job, target: &Target) {
        let server = self.servers.get_mut(target).expect("no such target");
        server.running.retain(|j| *j != job);
        server.waiting.retain(|j| *j != job);
        self.report_outcome(job, target, AttemptOutcome::Cancelled);
        self.start_waiting(target);
    }

    fn report_outcome(&mut self, job: Job, target: &Target, outcome: AttemptOutcome) {
        let at = self.now + self.link_delay(job.entry, target);
        self.schedule(at, Event::Report { job, outcome });
    }

    /// Performs the pending actions of an entry and schedules its next timer.
    fn process_actions(&mut self, entry: usize) {
        for action in self.entries[entry].take_actions() {
            self.perform(entry, &action);
            self.actions.push(action);
        }
        if let Some(at) = self.entries[entry].next_wakeup()
            && self.wakeups[entry].is_none_or(|w| at < w)
        {
            self.wakeups[entry] = Some(at);
            self.schedule(at.max(self.now), Event::Wake { entry });
        }
    }

    fn perform(&mut self, entry: usize, action: &Action) {
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
                *self.stats.sends.entry(target.clone()).or_default() += 1;
                let target = target.clone();
                let at = self.now + self.link_delay(entry, &target);
                self.schedule(at, Event::Reach { job, target });
            }
            Action::Abort { id, attempt } => {
                let job = Job {
                    entry,
                    id: *id,
                    attempt: *attempt,
                };
                let holds_job = |s: &&Server| s.running.contains(&job) || s.waiting.contains(&job);
                let target = self
                    .servers
                    .values()
                    .find(holds_job)
                    .map(|s| s.view.target.clone());
                if let Some(target) = target {
                    let at = self.now + self.link_delay(entry, &target);
                    self.schedule(at, Event::Cancel { job, target });
                }
            }
            Action::Deliver { id, .. } => {
                if let Some((created, class, _)) = self.open_requests.remove(&(entry, *id)) {
                    let latency = self.now.since(created).as_micros() as u64;
                    self.stats.latencies.push(latency);
                    *self.stats.class_answers.entry(class).or_default() += 1;
                }
            }
            Action::Refuse { id, refusal } => {
                self.open_requests.remove(&(entry, *id));
                *self.stats.refused.entry(refusal.reason.name()).or_default() += 1;
                match refusal.certainty {
                    Certainty::NotRun => self.stats.not_run += 1,
                    Certainty::Unknown => self.stats.unknown += 1,
                }
            }
            Action::ReportCrash { fingerprint, .. } => {
                *self.stats.crash_counts.entry(*fingerprint).or_default() += 1;
            }
        }
    }
}

impl Server {
    /// Number of requests that the target can run at once without slowing down.
    fn capacity(&self) -> u32 {
        match self.cold {
            true => (1 + self.served / REQUESTS_PER_STEP).min(self.view.slots),
            false => self.view.slots,
        }
    }
}

fn standard_normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * rng.random_range(f64::EPSILON..1.0).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random_range(0.0..1.0)).cos()
}
