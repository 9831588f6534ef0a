//! Model of a pool service: 60 entries send the requests of two routes to 107 targets of two slots.
//!
//! Targets differ in speed, a fifth of them at a time runs three times slower for 400 ms, and 3 % of
//! the requests take seven times as long. Loads and service times come back by the leader's status.

use cornelrail_lib::{
    moment::Moment,
    name::{Incarnation, Service, Target, Zone},
    request::balance::{
        LatencyBounds, LoadReport, RejectReason, Router, RouterConfig, RoutingDecision,
        RoutingRequest, SendOutcome,
    },
    version::{
        catalog::{Catalog, TargetId, TargetRecord, Update},
        desired::{Change, Item, ItemVersion, ServiceSpec},
        feed::LeaderStatus,
        sharding::{MIN_RELIABLE_RATE, TargetLoads},
    },
};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{RngCore, SeedableRng},
};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Sizes of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    pub entries: usize,
    pub targets: usize,
    pub slots: usize,
}

/// A pool of few slots with short and long requests, and one with requests of one kind.
pub const MIXED_POOL: Shape = Shape {
    entries: 60,
    targets: 107,
    slots: 2,
};
pub const UNIFORM_POOL: Shape = Shape {
    entries: 63,
    targets: 74,
    slots: 4,
};
/// Places in a target's queue for each slot.
const QUEUE: usize = 4;
/// Ages up to which an idle connection carries a request that must run at most once, and others.
const IDLE_TIMES: (u64, u64) = (4_000_000, 8_000_000);
const STATUS_INTERVAL: u64 = 450_000;
const NOISE_INTERVAL: u64 = 400_000;

/// Requests of one route.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub route: &'static str,
    pub per_second: f64,
    /// Mean work in ms at a target of speed 1.
    pub work: f64,
    pub goal: u64,
    pub timeout: u64,
    pub is_idempotent: bool,
}

/// The two routes of the mixed pool.
pub const ORDERS: Load = Load {
    route: "order",
    per_second: 101.0,
    work: 130.0,
    goal: 600,
    timeout: 1_200,
    is_idempotent: false,
};
/// Orders that their callers sent once before.
pub const RETRIED_ORDERS: Load = Load {
    per_second: 20.0,
    timeout: 300,
    ..ORDERS
};
pub const SYNCS: Load = Load {
    route: "sync",
    per_second: 80.0,
    work: 750.0,
    goal: 2_500,
    timeout: 4_000,
    is_idempotent: true,
};
/// The requests of the uniform pool.
pub const PAID: Load = Load {
    route: "payment",
    per_second: 394.0,
    work: 300.0,
    goal: 1_000,
    timeout: 2_000,
    is_idempotent: false,
};

/// What became of the requests.
#[derive(Debug, Default)]
pub struct Outcome {
    pub sent: u32,
    pub busy: u32,
    /// Requests over a new connection.
    pub connects: u32,
    /// Requests that were sent while all slots of their target were taken and another had a free one.
    pub queued: u32,
    pub late: u32,
    /// Share of the slots that were taken when a request came.
    pub taken: f64,
    /// Requests of the busiest target over the mean for its speed.
    pub busiest: f64,
}

#[derive(Debug, Clone, Copy)]
struct Job {
    entry: usize,
    load: Load,
    sent: u64,
}

#[derive(Debug, Default)]
struct Worker {
    speed: f64,
    is_noisy: bool,
    running: usize,
    waiting: VecDeque<Job>,
    requests: f64,
}

enum Happening {
    Arrival(usize),
    End(usize, Job),
    Status,
    Noise,
}

struct Model {
    shape: Shape,
    /// Times since which connections of an entry to a target are idle.
    idle: Vec<BTreeMap<usize, Vec<u64>>>,
    rng: ChaCha8Rng,
    routers: Vec<Router>,
    workers: Vec<Worker>,
    loads: TargetLoads,
    events: BTreeMap<(u64, u64), Happening>,
    number: u64,
    outcome: Outcome,
}

fn at(micros: u64) -> Moment {
    Moment::from_millis(10_000 + micros / 1_000)
}

fn item<T>(value: T) -> Item<T> {
    Item {
        version: ItemVersion(1),
        value: Some(value),
        source: String::new(),
    }
}

fn catalog(shape: Shape) -> Catalog {
    let mut change = Change::default();
    let spec = ServiceSpec {
        health: "/health".to_owned(),
        connections: 420,
        cold_period: Duration::ZERO,
        cold_rate: 18_000,
        keyed: false,
        warmup: Duration::ZERO,
    };
    change.services.insert(Service::from("pool"), item(spec));
    let mut catalog = Catalog::default();
    catalog.apply(&Update::Desired(change));
    for number in 1..=shape.targets as u16 {
        catalog.apply(&Update::Join(TargetRecord {
            name: Target(format!("w{number}")),
            incarnation: Incarnation(1),
            service: Service::from("pool"),
            address: ([10, 0, 0, 1], 8_000 + number).into(),
            zone: Zone::from("a"),
            slots: shape.slots as u32,
            leaving: false,
        }));
    }
    catalog
}

fn router(seed: u64, catalog: &Catalog) -> Router {
    let mut router = Router::new(RouterConfig {
        seed,
        zone: Zone::from("a"),
        in_force: Duration::from_secs(2),
        drain: Duration::from_secs(2),
        evacuate: Duration::from_secs(5),
        retry_ratio: 0.2,
        retry_floor: 56.0,
        retry_window: Duration::from_secs(10),
        hop_price: None,
    });
    assert!(router.install_snapshot(10, catalog.clone()));
    router
}

/// Runs the loads for so many seconds, of which the first ten are not counted.
pub fn run(seed: u64, shape: Shape, loads: &[Load], seconds: u64) -> Outcome {
    let catalog = catalog(shape);
    let mut model = Model {
        shape,
        idle: vec![BTreeMap::new(); shape.entries],
        rng: ChaCha8Rng::seed_from_u64(seed),
        routers: (0..shape.entries as u64)
            .map(|n| router(seed * 100 + n, &catalog))
            .collect(),
        workers: Vec::new(),
        loads: TargetLoads::default(),
        events: BTreeMap::new(),
        number: 0,
        outcome: Outcome::default(),
    };
    for _ in 0..shape.targets {
        let speed = 0.6 + 1.1 * model.draw();
        model.workers.push(Worker {
            speed,
            ..Worker::default()
        });
    }
    for index in 0..loads.len() {
        model.at(0, Happening::Arrival(index));
    }
    model.at(0, Happening::Status);
    model.at(0, Happening::Noise);
    while let Some(((now, _), event)) = model.events.pop_first() {
        if now > seconds * 1_000_000 {
            break;
        }
        let counts = now > 10_000_000;
        match event {
            Happening::Arrival(index) => {
                let gap = -model.draw().max(1e-9).ln() / loads[index].per_second;
                model.at(now + (gap * 1e6) as u64, Happening::Arrival(index));
                model.arrive(now, loads[index], counts);
            }
            Happening::End(worker, job) => model.end(now, worker, job, counts),
            Happening::Status => model.status(now),
            Happening::Noise => {
                for worker in 0..shape.targets {
                    model.workers[worker].is_noisy = model.draw() < 0.2;
                }
                model.at(now + NOISE_INTERVAL, Happening::Noise);
            }
        }
    }
    model.finish()
}

impl Model {
    fn draw(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    fn at(&mut self, time: u64, event: Happening) {
        self.number += 1;
        self.events.insert((time, self.number), event);
    }

    fn arrive(&mut self, now: u64, load: Load, counts: bool) {
        let entry = self.rng.next_u32() as usize % self.shape.entries;
        let service = Service::from("pool");
        let kept = if load.is_idempotent {
            IDLE_TIMES.1
        } else {
            IDLE_TIMES.0
        };
        let lists = self.idle[entry].iter();
        let connected = lists.filter(|(_, list)| list.iter().any(|since| since + kept > now));
        let connected: Vec<_> = connected
            .map(|(index, _)| TargetId(*index as u32 + 1))
            .collect();
        let request = RoutingRequest {
            service: &service,
            route: load.route,
            key: None,
            latency: LatencyBounds {
                goal: Duration::from_millis(load.goal),
                time_left: Duration::from_millis(load.timeout),
                lowest_priority: false,
            },
            body_bytes: 0,
            connected: &connected,
            connect_time: Duration::from_millis(5),
            tried: &[],
            misdirected: &[],
        };
        let router = &mut self.routers[entry];
        let decision = router.route_request(at(now), request);
        let taken: usize = self.workers.iter().map(|worker| worker.running).sum();
        let job = Job {
            entry,
            load,
            sent: now,
        };
        match decision {
            RoutingDecision::Send { id, .. } => {
                router.record_sent(id);
                let index = id.0 as usize - 1;
                let list = self.idle[entry].entry(index).or_default();
                let is_reused = list.pop().is_some_and(|since| since + kept > now);
                self.outcome.connects += u32::from(counts && !is_reused);
                let is_full = self.workers[index].running == self.shape.slots;
                if counts {
                    self.outcome.sent += 1;
                    self.outcome.taken +=
                        taken as f64 / (self.shape.slots * self.shape.targets) as f64;
                    self.outcome.queued +=
                        u32::from(is_full && taken < self.shape.slots * self.shape.targets);
                    self.workers[index].requests += 1.0;
                }
                match is_full {
                    false => self.start(now, index, job),
                    true if self.workers[index].waiting.len() < QUEUE * self.shape.slots => {
                        self.workers[index].waiting.push_back(job);
                    }
                    true => self.finish_job(now, index, job, SendOutcome::Shed),
                }
            }
            RoutingDecision::Reject(RejectReason::Busy, _) => {
                self.outcome.busy += u32::from(counts);
            }
            other => panic!("{other:?}"),
        }
    }

    fn start(&mut self, now: u64, index: usize, job: Job) {
        let tail = if self.draw() < 0.03 { 7.0 } else { 1.0 };
        let spread = 0.7 + 0.6 * self.draw();
        let worker = &mut self.workers[index];
        worker.running += 1;
        let noise = if worker.is_noisy { 3.0 } else { 1.0 };
        let work = job.load.work / 1.18 * tail * spread * noise / worker.speed;
        self.at(now + (work * 1e3) as u64, Happening::End(index, job));
    }

    fn end(&mut self, now: u64, index: usize, job: Job, counts: bool) {
        self.workers[index].running -= 1;
        if let Some(next) = self.workers[index].waiting.pop_front() {
            self.start(now, index, next);
        }
        let late = now - job.sent > job.load.goal * 1_000;
        self.outcome.late += u32::from(counts && late);
        self.finish_job(now, index, job, SendOutcome::Answered);
    }

    fn finish_job(&mut self, now: u64, index: usize, job: Job, outcome: SendOutcome) {
        let worker = &self.workers[index];
        let load = LoadReport {
            running: worker.running as u32,
            waiting: worker.waiting.len() as u32,
            slots: self.shape.slots as u32,
            latency_percent: if worker.is_noisy { 300 } else { 100 },
        };
        let id = TargetId(index as u32 + 1);
        let time = Duration::from_micros(now - job.sent);
        self.idle[job.entry].entry(index).or_default().push(now);
        let router = &mut self.routers[job.entry];
        router.record_outcome(at(now), id, job.load.route, outcome, time, Some(load));
    }

    fn status(&mut self, now: u64) {
        let mut status = LeaderStatus {
            index: 10,
            entries: self.shape.entries as u32,
            ..LeaderStatus::default()
        };
        self.loads.decay(Duration::from_micros(STATUS_INTERVAL));
        for router in &mut self.routers {
            for traffic in router.take_report(at(now)).targets {
                self.loads.record(&traffic);
                status
                    .loads
                    .extend(traffic.load.map(|(load, age)| (traffic.id, load, age)));
            }
        }
        for id in (1..=self.shape.targets as u32).map(TargetId) {
            let is_known = self.loads.get(id).rate >= MIN_RELIABLE_RATE;
            if let Some(time) = self
                .loads
                .service_time(id, self.shape.slots as u32)
                .filter(|_| is_known)
            {
                status.service_times.push((id, (time * 1e3) as u16));
            }
        }
        for router in &mut self.routers {
            router.apply_status(at(now), status.clone());
            router.confirm(at(now));
        }
        self.at(now + STATUS_INTERVAL, Happening::Status);
    }

    fn finish(self) -> Outcome {
        let requests: f64 = self.workers.iter().map(|worker| worker.requests).sum();
        let speeds: f64 = self.workers.iter().map(|worker| worker.speed).sum();
        let busiest = self
            .workers
            .iter()
            .map(|worker| worker.requests / worker.speed);
        Outcome {
            busiest: busiest.fold(0.0, f64::max) / (requests / speeds),
            taken: self.outcome.taken / f64::from(self.outcome.sent),
            ..self.outcome
        }
    }
}
