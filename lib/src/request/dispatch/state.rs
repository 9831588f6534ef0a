//! What a dispatch remembers of requests, attempts, targets and services.

use super::{
    budget::Budget,
    limit::Limit,
    model::{Arrival, DispatchConfig, TargetView},
    queue::Queue,
};
use crate::{
    connection::health::Health,
    moment::Moment,
    name::{Incarnation, Target, Zone},
    process::settings::Sending,
};
use std::{collections::BTreeSet, time::Duration};

/// Weight of the latest latency in the mean and deviation of a service.
const PACE_WEIGHT: f64 = 0.05;
/// Deviations above the mean within which a request is expected to end.
const PACE_MARGIN: f64 = 2.0;

/// A request that has no final answer yet.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) arrival: Arrival,
    pub(super) queued: bool,
    pub(super) live: Vec<u32>,
    pub(super) attempts: u32,
    pub(super) crashes: u32,
    pub(super) ran: bool,
    pub(super) avoid: Option<Target>,
    pub(super) timer: Option<Moment>,
}

impl Request {
    pub(super) fn new(arrival: Arrival) -> Self {
        Request {
            arrival,
            queued: false,
            live: Vec::new(),
            attempts: 0,
            crashes: 0,
            ran: false,
            avoid: None,
            timer: None,
        }
    }
}

/// One attempt that a target may be running.
#[derive(Debug)]
pub(super) struct Flight {
    pub(super) target: Target,
    pub(super) incarnation: Incarnation,
    pub(super) sent: Moment,
    pub(super) level: u32,
    pub(super) alone: bool,
    pub(super) serial: u64,
}

/// A target and its queue.
#[derive(Debug)]
pub(super) struct Slot {
    pub(super) view: TargetView,
    pub(super) limit: Limit,
    pub(super) running: u32,
    pub(super) hold: Moment,
    pub(super) alone: bool,
    pub(super) progress: Moment,
    pub(super) queue: Queue,
    pub(super) pace: Pace,
}

impl Slot {
    pub(super) fn new(view: TargetView, config: &DispatchConfig) -> Self {
        let limit = Limit::new(cap(&view, config), view.warmth);
        Slot {
            view,
            limit,
            running: 0,
            hold: Moment::ZERO,
            alone: false,
            progress: Moment::ZERO,
            queue: Queue::default(),
            pace: Pace::default(),
        }
    }

    /// Takes in a new view of the same life.
    pub(super) fn update(&mut self, view: TargetView, config: &DispatchConfig) {
        self.limit.update(cap(&view, config), view.warmth);
        self.view = view;
    }

    /// Whether one more request may go out now.
    pub(super) fn free(&self, now: Moment) -> bool {
        let ready = self.view.enabled && now >= self.hold;
        ready && !self.alone && self.running < self.limit.current()
    }

    /// Time for which a target that is busy has neither begun nor ended anything, if that is longer
    /// than its requests usually take.
    pub(super) fn stall(&self, now: Moment, bound: Duration) -> Duration {
        let silence = now.since(self.progress);
        match self.running > 0 && silence > bound {
            true => silence,
            false => Duration::ZERO,
        }
    }

    pub(super) fn local(&self, zone: &Zone) -> bool {
        self.view.zone == *zone
    }

    pub(super) fn incarnation(&self) -> Incarnation {
        self.view.incarnation
    }
}

/// Slots of the target that this entry may use.
fn cap(view: &TargetView, config: &DispatchConfig) -> u32 {
    match config.sending {
        Sending::Home => view.slots,
        Sending::Direct => (f64::from(view.slots) * config.share).ceil() as u32,
    }
}

/// A service: its pool's queue, its budgets and the health of its targets.
#[derive(Debug)]
pub(super) struct Group {
    pub(super) targets: BTreeSet<Target>,
    pub(super) queue: Queue,
    pub(super) retries: Budget,
    pub(super) hedges: Budget,
    pub(super) health: Health,
    pub(super) pace: Pace,
}

impl Group {
    pub(super) fn new(config: &DispatchConfig) -> Self {
        Group {
            targets: BTreeSet::new(),
            queue: Queue::default(),
            retries: Budget::new(config.retry_share),
            hedges: Budget::new(config.hedge_share),
            health: Health::new(config.health.clone()),
            pace: Pace::default(),
        }
    }
}

/// Mean and deviation of the time that requests take at their target.
#[derive(Debug, Clone, Default)]
pub(super) struct Pace {
    mean: f64,
    deviation: f64,
    samples: u32,
}

impl Pace {
    pub(super) fn observe(&mut self, latency: Duration) {
        let value = latency.as_secs_f64();
        if self.samples == 0 {
            self.mean = value;
        }
        self.samples = self.samples.saturating_add(1);
        let weight = PACE_WEIGHT.max(1.0 / f64::from(self.samples));
        let error = value - self.mean;
        self.mean += error * weight;
        self.deviation += (error.abs() - self.deviation) * weight;
    }

    /// Whether anything was observed.
    pub(super) fn known(&self) -> bool {
        self.samples > 0
    }

    /// Mean time; zero before the first answer.
    pub(super) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Time within which nearly all requests end.
    pub(super) fn bound(&self) -> Duration {
        Duration::from_secs_f64(self.mean + PACE_MARGIN * self.deviation)
    }
}
