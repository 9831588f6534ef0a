//! Decides which requests of a pool service may leave the zone of their entry.
//!
//! Load pattern: a wave of demand at one zone, whose targets are too few for it for seconds to
//! minutes while other zones have room. Traffic between zones is slower and costs money, so on a
//! calm day nothing leaves. Each entry keeps a share for each service: the part of its requests
//! that may leave. The share moves at a bounded rate while the expected time saved is worth the hop,
//! since many entries with reports half a second old would otherwise all leave and return together.
//! Of the requests for whose bytes the hop is worth its price, error diffusion picks those that may
//! leave: with a share of 0.2 every fifth one, without coordination. A request that no target of its
//! zone admits goes to another zone whatever the share, since a refusal costs more than a hop.

use super::target::TargetModel;
use crate::{moment::Moment, name::Service};
use std::{collections::HashMap, time::Duration};

/// Latency that a round trip to another zone adds.
const HOP_LATENCY: Duration = Duration::from_millis(6);
/// Without the setting: wait in the own zone that is accepted to keep one KiB off the links between
/// zones. A body of 60 KiB waits for a target of its own zone for about its service time.
const DEFAULT_COST_PER_KIB: Duration = Duration::from_micros(1_300);
/// Without the setting: maximum wait that is accepted to keep a body off the links between zones.
const DEFAULT_MAX_BODY_COST: Duration = Duration::from_millis(120);
/// Length from which a body costs no more, so that no product of length and price overflows.
const MAX_KIB: u32 = 1 << 20;

/// Multiple of the cost of a hop at which the share starts to rise.
const START_FACTOR: f64 = 1.5;
/// Multiple of the cost of a hop at which the share starts to fall.
const STOP_FACTOR: f64 = 0.75;
/// Rise of the share per second.
const RISE_PER_SECOND: f64 = 0.2;
/// Fall of the share per second.
const FALL_PER_SECOND: f64 = 0.1;
/// Interval between two comparisons of the zones for one service.
const COMPARE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time for which one comparison raises the share: a comparison after a pause says nothing
/// of the time before.
const MAX_RISE_TIME: Duration = Duration::from_millis(500);
/// Time without a request from which the share of a service falls by itself.
const IDLE_TIME: Duration = Duration::from_secs(1);
/// Time without a request after which a service is forgotten.
const FORGET_TIME: Duration = Duration::from_secs(60);
/// Length of the two windows in which the cheapest hop of a service is looked for.
const COST_WINDOW: Duration = Duration::from_secs(5);
/// Share from which a service is reported to leave its zone, so that a single comparison is no event.
const REPORTED_SHARE: f64 = 0.05;
/// Service times whose ratio is below this count as equal. The targets of one service differ as much
/// by themselves, and a faster target elsewhere does not mean that the own zone is short of targets.
const SIMILAR_SPEED: f64 = 1.5;
/// Tolerance for sums of shares.
const ROUNDING: f64 = 1e-9;

/// Cost of the hop to another zone in a fleet without the setting `zones`.
pub fn default_hop_cost(body_bytes: u64) -> Duration {
    let body = DEFAULT_COST_PER_KIB * kib(body_bytes).min(1 << 10);
    HOP_LATENCY + body.min(DEFAULT_MAX_BODY_COST)
}

fn kib(bytes: u64) -> u32 {
    u32::try_from(bytes >> 10).unwrap_or(u32::MAX).min(MAX_KIB)
}

/// Targets among which a request is placed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FirstChoice {
    /// All targets, as only one side has any.
    All,
    /// Targets of the own zone; others if none of them admits the request.
    Own,
    /// Targets of the own zone alone, as nothing is known of the others.
    OwnOnly,
    /// Targets of other zones; own ones if none of them admits the request.
    Other,
}

/// Decision for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hop {
    /// Targets among which the request is placed first.
    pub first: FirstChoice,
    /// Cost of a target of another zone.
    pub cost: Duration,
}

/// Why a service begins or ceases to leave its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpillReason {
    /// The time saved is worth the hop.
    Wait,
    /// Targets of the own zone had no room for requests that another zone took.
    Refusals,
    /// The own zone has no target that accepts requests.
    NoTargets,
    /// The time saved is not worth the hop.
    NoGain,
    /// Nothing is known of the other zones.
    NoData,
    /// The service gets no requests.
    Idle,
}

impl SpillReason {
    /// Name written to logs.
    pub fn name(self) -> &'static str {
        match self {
            SpillReason::Wait => "wait",
            SpillReason::Refusals => "refusals",
            SpillReason::NoTargets => "no-targets",
            SpillReason::NoGain => "no-gain",
            SpillReason::NoData => "no-data",
            SpillReason::Idle => "idle",
        }
    }
}

/// Start or end of the time in which requests of a service may leave the zone.
#[derive(Debug, Clone, PartialEq)]
pub struct SpillChange {
    /// The service.
    pub service: Service,
    /// Whether its requests may leave from now on.
    pub begins: bool,
    /// Why.
    pub reason: SpillReason,
    /// Present share at the start, largest share at the end.
    pub share: f64,
    /// Time that a hop was expected to save.
    pub saved: Duration,
    /// Cost of the cheapest hop.
    pub cost: Duration,
    /// Requests that left the zone in this time.
    pub sent: u64,
    /// Time since the start.
    pub elapsed: Duration,
}

/// Wait and service time that a request can expect in a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outlook {
    /// Time in the queue.
    pub wait: Duration,
    /// Time to run.
    pub service_time: Duration,
}

impl Outlook {
    /// Expected times at the best of `sample` targets drawn from a zone; `None` if all of them
    /// failed a moment ago. The sample has the same size for each zone: the best of more targets
    /// looks better though the zone is as full.
    pub fn of(now: Moment, sample: usize, targets: &[&TargetModel]) -> Option<Self> {
        let usable = targets.iter().filter(|model| !model.is_backing_off(now));
        let mut times: Vec<_> = usable
            .map(|model| (model.wait(now), model.service_time(now)))
            .collect();
        times.sort_unstable_by_key(|(wait, service_time)| *wait + *service_time);
        let (count, sample) = (times.len(), sample.clamp(1, times.len().max(1)));
        let mut outlook = None;
        // Probability that the target at this rank is the best one of the sample.
        let mut probability = sample as f64 / count as f64;
        for (rank, (wait, service_time)) in times.into_iter().enumerate() {
            let sum = outlook.get_or_insert(Outlook {
                wait: Duration::ZERO,
                service_time: Duration::ZERO,
            });
            sum.wait += wait.mul_f64(probability);
            sum.service_time += service_time.mul_f64(probability);
            let worse = count - rank - 1;
            if worse < sample {
                break;
            }
            probability *= (worse + 1 - sample) as f64 / worse as f64;
        }
        outlook
    }

    /// Time that a request saves at `other`. It counts only as far as it waits here, or as targets
    /// here are slower than those of one service usually differ.
    fn saved_at(self, other: Outlook) -> Duration {
        let end = |outlook: Outlook| outlook.wait + outlook.service_time;
        let similar = other.service_time.mul_f64(SIMILAR_SPEED);
        let shortage = self.wait + self.service_time.saturating_sub(similar);
        end(self).saturating_sub(end(other)).min(shortage)
    }
}

/// Request to be placed.
#[derive(Debug, Clone, Copy)]
pub struct SpillRequest<'a> {
    /// Service that gets the request.
    pub service: &'a Service,
    /// Length of the body.
    pub body_bytes: u64,
    /// Number of targets that were tried before; they are missing among those that accept it.
    pub tries: usize,
}

/// Targets that accept a request.
#[derive(Debug, Clone, Copy)]
pub struct ZoneTargets<'a> {
    /// Targets of the own zone.
    pub own: &'a [&'a TargetModel],
    /// Targets of other zones.
    pub other: &'a [&'a TargetModel],
    /// Whether anything recent is known of the targets of other zones.
    pub is_known: bool,
    /// Number of targets that a request compares.
    pub sample: usize,
}

/// Direction of the share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trend {
    Rise(SpillReason),
    Hold,
    Fall(SpillReason),
}

/// State of one service.
#[derive(Debug, Clone)]
struct ServiceSpill {
    share: f64,
    /// Sum of the shares of requests since one might leave.
    credit: f64,
    compared_at: Moment,
    saved: Duration,
    /// Cheapest hops of the present and the previous window.
    costs: [Duration; 2],
    window_at: Moment,
    /// Whether requests wait longer in the other zones than in the own one.
    others_fuller: bool,
    /// Whether the latest request was to stay.
    is_held: bool,
    /// Requests since the latest comparison that left since no target of the own zone admitted them.
    rescued: u32,
    /// Start of the time in which requests may leave, as reported.
    begun_at: Option<Moment>,
    peak: f64,
    sent: u64,
}

impl ServiceSpill {
    fn new(now: Moment, cost: Duration) -> Self {
        ServiceSpill {
            share: 0.0,
            credit: 0.0,
            compared_at: now,
            saved: Duration::ZERO,
            costs: [cost; 2],
            window_at: now,
            others_fuller: false,
            is_held: false,
            rescued: 0,
            begun_at: None,
            peak: 0.0,
            sent: 0,
        }
    }

    /// Cost of the cheapest hop of the last seconds. The share follows the requests that leave
    /// first; the longer ones are held by their own price.
    fn cheapest(&self) -> Duration {
        self.costs[0].min(self.costs[1])
    }

    fn record_cost(&mut self, now: Moment, cost: Duration) {
        let age = now.since(self.window_at);
        if age >= COST_WINDOW {
            let is_next = age < COST_WINDOW * 2;
            self.costs = [cost, if is_next { self.costs[0] } else { cost }];
            self.window_at = now;
        }
        self.costs[0] = self.costs[0].min(cost);
    }

    /// Compares the zones and moves the share. Returns why, if it moved.
    fn compare(&mut self, now: Moment, targets: ZoneTargets<'_>) -> Option<SpillReason> {
        if targets.own.is_empty() {
            if targets.other.is_empty() {
                return None;
            }
            self.share = 1.0;
            self.others_fuller = false;
            self.compared_at = now;
            return Some(SpillReason::NoTargets);
        }
        let elapsed = now.since(self.compared_at);
        if elapsed < COMPARE_INTERVAL {
            return None;
        }
        self.compared_at = now;
        match self.trend(now, targets) {
            Trend::Rise(reason) => {
                let time = elapsed.min(MAX_RISE_TIME).as_secs_f64();
                self.share = (self.share + RISE_PER_SECOND * time).min(1.0);
                Some(reason)
            }
            Trend::Hold => None,
            Trend::Fall(reason) => {
                self.fall(elapsed);
                Some(reason)
            }
        }
    }

    fn trend(&mut self, now: Moment, targets: ZoneTargets<'_>) -> Trend {
        let rescued = std::mem::take(&mut self.rescued);
        let other = Outlook::of(now, targets.sample, targets.other);
        let Some(other) = other.filter(|_| targets.is_known) else {
            self.saved = Duration::ZERO;
            return Trend::Fall(SpillReason::NoData);
        };
        let Some(own) = Outlook::of(now, targets.sample, targets.own) else {
            return Trend::Rise(SpillReason::Refusals);
        };
        self.saved = own.saved_at(other);
        self.others_fuller = other.wait > own.wait + HOP_LATENCY * 2;
        if self.saved >= self.cheapest().mul_f64(START_FACTOR) {
            Trend::Rise(SpillReason::Wait)
        } else if rescued > 0 {
            Trend::Rise(SpillReason::Refusals)
        } else if self.saved <= self.cheapest().mul_f64(STOP_FACTOR) {
            Trend::Fall(SpillReason::NoGain)
        } else {
            Trend::Hold
        }
    }

    fn fall(&mut self, elapsed: Duration) {
        self.share -= FALL_PER_SECOND * elapsed.as_secs_f64();
        if self.share <= ROUNDING {
            self.share = 0.0;
            self.credit = 0.0;
        }
    }

    /// Targets among which a request is placed first whose hop costs `cost`.
    fn first_choice(
        &mut self,
        cost: Duration,
        tries: usize,
        targets: ZoneTargets<'_>,
    ) -> FirstChoice {
        if targets.own.is_empty() || targets.other.is_empty() {
            return FirstChoice::All;
        }
        if !targets.is_known {
            return FirstChoice::OwnOnly;
        }
        if self.others_fuller {
            return FirstChoice::Own;
        }
        // A request that its zone turned away has lost time already.
        if tries > 0 {
            return match self.share > 0.0 || tries > 1 {
                true => FirstChoice::Other,
                false => FirstChoice::Own,
            };
        }
        // Longer requests leave only for a time saved that is worth their own price. The share alone
        // governs the others: if a bound on the time saved held them back too, all entries would
        // start and stop together whenever their reports are renewed.
        let is_cheap = cost <= self.cheapest().mul_f64(START_FACTOR);
        let is_worth = is_cheap || self.saved >= cost.mul_f64(STOP_FACTOR);
        if self.share == 0.0 || !is_worth {
            return FirstChoice::Own;
        }
        self.credit += self.share;
        if self.credit < 1.0 - ROUNDING {
            return FirstChoice::Own;
        }
        self.credit -= 1.0;
        FirstChoice::Other
    }

    /// Returns the start or the end of the time in which requests may leave, if the share has just
    /// passed its bound.
    fn change(
        &mut self,
        now: Moment,
        service: &Service,
        reason: SpillReason,
    ) -> Option<SpillChange> {
        self.peak = self.peak.max(self.share);
        let begins = self.begun_at.is_none() && self.share >= REPORTED_SHARE;
        let ends = self.begun_at.is_some() && self.share == 0.0;
        if !begins && !ends {
            return None;
        }
        let begun_at = *self.begun_at.get_or_insert(now);
        let change = SpillChange {
            service: service.clone(),
            begins,
            reason,
            share: if begins { self.share } else { self.peak },
            saved: self.saved,
            cost: self.cheapest(),
            sent: self.sent,
            elapsed: now.since(begun_at),
        };
        if ends {
            (self.begun_at, self.peak, self.sent) = (None, 0.0, 0);
        }
        Some(change)
    }
}

/// Requests of one entry that may leave its zone, by service.
#[derive(Debug)]
pub struct ZoneSpill {
    kib_cost: Duration,
    services: HashMap<Service, ServiceSpill>,
    changes: Vec<SpillChange>,
}

impl ZoneSpill {
    /// Creates the state of an entry from which nothing leaves yet. `kib_cost` is the wait that
    /// is accepted to keep one KiB in the zone.
    pub fn new(kib_cost: Duration) -> Self {
        ZoneSpill {
            kib_cost,
            services: HashMap::new(),
            changes: Vec::new(),
        }
    }

    /// Decides where a request is placed first, and what a hop costs it.
    pub fn decide(
        &mut self,
        now: Moment,
        request: SpillRequest<'_>,
        targets: ZoneTargets<'_>,
    ) -> Hop {
        let cost = HOP_LATENCY + self.kib_cost * kib(request.body_bytes);
        let service = self.services.entry(request.service.clone());
        let state = service.or_insert_with(|| ServiceSpill::new(now, cost));
        if request.tries == 0 {
            state.record_cost(now, cost);
            let reason = state.compare(now, targets);
            let change = reason.and_then(|reason| state.change(now, request.service, reason));
            self.changes.extend(change);
        }
        let first = state.first_choice(cost, request.tries, targets);
        state.is_held = first == FirstChoice::Own;
        Hop { first, cost }
    }

    /// Records that the request of the latest decision for a service goes to another zone.
    pub fn record_hop(&mut self, service: &Service) {
        if let Some(state) = self.services.get_mut(service) {
            state.sent += 1;
            state.rescued += u32::from(state.is_held);
        }
    }

    /// Share of the requests of a service that may leave the zone.
    pub fn share(&self, service: &Service) -> f64 {
        self.services.get(service).map_or(0.0, |state| state.share)
    }

    /// Returns the changes since the last call. Called every second or so, as the share of a service
    /// without requests falls only here.
    pub fn take_changes(&mut self, now: Moment) -> Vec<SpillChange> {
        for (service, state) in &mut self.services {
            let elapsed = now.since(state.compared_at);
            if state.share > 0.0 && elapsed >= IDLE_TIME {
                state.compared_at = now;
                state.fall(elapsed);
                let change = state.change(now, service, SpillReason::Idle);
                self.changes.extend(change);
            }
        }
        let is_used =
            |state: &ServiceSpill| state.share > 0.0 || now.since(state.compared_at) < FORGET_TIME;
        self.services.retain(|_, state| is_used(state));
        std::mem::take(&mut self.changes)
    }
}
