//! What a dispatch remembers of requests, attempts, targets and services.

use super::{
    budget::Budget,
    limit::ConcurrencyLimit,
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
const MIN_SAMPLE_WEIGHT: f64 = 0.05;
/// Deviations above the mean within which a request is expected to end.
const DEVIATION_FACTOR: f64 = 2.0;

/// A request that has no final answer yet.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) arrival: Arrival,
    pub(super) queued: bool,
    pub(super) live_attempts: Vec<u32>,
    pub(super) attempts: u32,
    pub(super) crashes: u32,
    pub(super) maybe_ran: bool,
    pub(super) avoided: Option<Target>,
    pub(super) timer: Option<Moment>,
}

impl Request {
    pub(super) fn new(arrival: Arrival) -> Self {
        Request {
            arrival,
            queued: false,
            live_attempts: Vec::new(),
            attempts: 0,
            crashes: 0,
            maybe_ran: false,
            avoided: None,
            timer: None,
        }
    }
}

/// One attempt that a target may be running.
#[derive(Debug)]
pub(super) struct InFlight {
    pub(super) target: Target,
    pub(super) incarnation: Incarnation,
    pub(super) sent_at: Moment,
    pub(super) level: u32,
    pub(super) exclusive: bool,
    pub(super) serial: u64,
}

/// A target and its queue.
#[derive(Debug)]
pub(super) struct TargetState {
    pub(super) view: TargetView,
    pub(super) limit: ConcurrencyLimit,
    pub(super) running: u32,
    pub(super) backoff_until: Moment,
    pub(super) exclusive: bool,
    pub(super) last_progress: Moment,
    pub(super) queue: Queue,
    pub(super) service_time: LatencyEstimate,
}

impl TargetState {
    pub(super) fn new(view: TargetView, config: &DispatchConfig) -> Self {
        let limit = ConcurrencyLimit::new(usable_slots(&view, config), view.warmth);
        TargetState {
            view,
            limit,
            running: 0,
            backoff_until: Moment::ZERO,
            exclusive: false,
            last_progress: Moment::ZERO,
            queue: Queue::default(),
            service_time: LatencyEstimate::default(),
        }
    }

    /// Takes in a new view of the same life.
    pub(super) fn update(&mut self, view: TargetView, config: &DispatchConfig) {
        self.limit.update(usable_slots(&view, config), view.warmth);
        self.view = view;
    }

    /// Whether one more request may go out now.
    pub(super) fn has_capacity(&self, now: Moment) -> bool {
        let ready = self.view.enabled && now >= self.backoff_until;
        ready && !self.exclusive && self.running < self.limit.current()
    }

    /// Time for which a target that is busy has neither begun nor ended anything, if that is longer
    /// than its requests usually take.
    pub(super) fn stall_time(&self, now: Moment, service_bound: Duration) -> Duration {
        let stalled_for = now.since(self.last_progress);
        match self.running > 0 && stalled_for > service_bound {
            true => stalled_for,
            false => Duration::ZERO,
        }
    }

    pub(super) fn is_in_zone(&self, zone: &Zone) -> bool {
        self.view.zone == *zone
    }

    pub(super) fn incarnation(&self) -> Incarnation {
        self.view.incarnation
    }
}

/// Slots of the target that this entry may use.
fn usable_slots(view: &TargetView, config: &DispatchConfig) -> u32 {
    match config.sending {
        Sending::Home => view.slots,
        Sending::Direct => (f64::from(view.slots) * config.share).ceil() as u32,
    }
}

/// A service: its pool's queue, its budgets and the health of its targets.
#[derive(Debug)]
pub(super) struct TargetPool {
    pub(super) target_names: BTreeSet<Target>,
    pub(super) queue: Queue,
    pub(super) retries: Budget,
    pub(super) hedges: Budget,
    pub(super) health: Health,
    pub(super) service_time: LatencyEstimate,
}

impl TargetPool {
    pub(super) fn new(config: &DispatchConfig) -> Self {
        TargetPool {
            target_names: BTreeSet::new(),
            queue: Queue::default(),
            retries: Budget::new(config.retry_share),
            hedges: Budget::new(config.hedge_share),
            health: Health::new(config.health.clone()),
            service_time: LatencyEstimate::default(),
        }
    }
}

/// Mean and deviation of the time that requests take at their target.
#[derive(Debug, Clone, Default)]
pub(super) struct LatencyEstimate {
    mean: f64,
    deviation: f64,
    samples: u32,
}

impl LatencyEstimate {
    pub(super) fn add_sample(&mut self, latency: Duration) {
        let value = latency.as_secs_f64();
        if self.samples == 0 {
            self.mean = value;
        }
        self.samples = self.samples.saturating_add(1);
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        let error = value - self.mean;
        self.mean += error * weight;
        self.deviation += (error.abs() - self.deviation) * weight;
    }

    /// Whether anything was observed.
    pub(super) fn has_samples(&self) -> bool {
        self.samples > 0
    }

    /// Mean time; zero before the first answer.
    pub(super) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Time within which nearly all requests end.
    pub(super) fn upper_bound(&self) -> Duration {
        Duration::from_secs_f64(self.mean + DEVIATION_FACTOR * self.deviation)
    }
}
