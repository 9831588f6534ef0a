//! State that the dispatcher keeps for each request, attempt, target and service.
//!
//! Also decides whether a target can be sent another request, and estimates from past latencies how
//! long one runs there; admission uses that estimate under overload.

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

/// Weight of a new latency in the moving mean and deviation; the first samples weigh more.
const MIN_SAMPLE_WEIGHT: f64 = 0.05;
/// Deviations above the mean within which nearly all requests are expected to end.
const DEVIATION_FACTOR: f64 = 2.0;

/// A request that has no final answer yet.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) arrival: Arrival,
    pub(super) queued: bool,
    /// Numbers of the attempts that have neither ended nor been aborted.
    pub(super) live_attempts: Vec<u32>,
    /// Attempts sent so far.
    pub(super) attempts: u32,
    /// Attempts that ended with a crash of their target.
    pub(super) crashes: u32,
    /// Whether an attempt that has ended may have run at its target.
    pub(super) maybe_ran: bool,
    /// Target of an earlier attempt, which the next attempt avoids if the pool has others.
    pub(super) avoided: Option<Target>,
    /// Latest useful start while the request is queued, time of the next hedge while it is sent.
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

/// An attempt that a target may be running.
#[derive(Debug)]
pub(super) struct InFlight {
    pub(super) target: Target,
    pub(super) incarnation: Incarnation,
    pub(super) sent_at: Moment,
    /// Attempts in flight at the target after this one was sent, this one included.
    pub(super) level: u32,
    /// Whether the request is a suspect, which shares its target with no other request.
    pub(super) exclusive: bool,
    /// Identifies the attempt in the health statistics.
    pub(super) serial: u64,
}

/// State of one target, with the queue of the requests that only it may serve.
#[derive(Debug)]
pub(super) struct TargetState {
    pub(super) view: TargetView,
    pub(super) limit: ConcurrencyLimit,
    /// Attempts in flight, aborted ones included until they end.
    pub(super) running: u32,
    /// Time before which nothing is sent to the target.
    pub(super) backoff_until: Moment,
    /// Whether the target runs a suspect and gets no other request meanwhile.
    pub(super) exclusive: bool,
    /// Time at which an attempt was last sent to the target or ended there.
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

    /// Applies a new view of the same incarnation.
    pub(super) fn update(&mut self, view: TargetView, config: &DispatchConfig) {
        self.limit.update(usable_slots(&view, config), view.warmth);
        self.view = view;
    }

    /// Whether one more request may be sent to the target now.
    pub(super) fn has_capacity(&self, now: Moment) -> bool {
        let ready = self.view.enabled && now >= self.backoff_until;
        ready && !self.exclusive && self.running < self.limit.current()
    }

    /// Time for which no attempt was sent to a busy target or ended there, if that is longer than
    /// `service_bound`; otherwise zero.
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

/// Number of the target's slots that this entry may use.
fn usable_slots(view: &TargetView, config: &DispatchConfig) -> u32 {
    match config.sending {
        Sending::Home => view.slots,
        Sending::Direct => (f64::from(view.slots) * config.share).ceil() as u32,
    }
}

/// State that the targets of one service share: the queue of requests that any of them may serve,
/// retry and hedge budgets, and health.
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

/// Moving mean and mean absolute deviation of the service time, in seconds.
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

    /// Whether at least one latency was added.
    pub(super) fn has_samples(&self) -> bool {
        self.samples > 0
    }

    /// Mean service time; zero without samples.
    pub(super) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Service time that nearly all requests stay below; zero without samples.
    pub(super) fn upper_bound(&self) -> Duration {
        Duration::from_secs_f64(self.mean + DEVIATION_FACTOR * self.deviation)
    }
}
