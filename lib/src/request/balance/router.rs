//! Routes the requests of one entry, from its catalog replica, the leader status and the outcomes
//! of its own requests.
//!
//! A replica that its leader does not confirm in time routes nothing; see
//! [`freshness`](super::Freshness). Only a current replica may tell that no route matches a path.
//!
//! Load pattern: targets that start, slow down, move keys or fail while entries learn of it late.

use super::{
    abandoned::AbandonedAnswers,
    admit::{Admission, admit},
    breaks::Breaks,
    budget::RetryBudget,
    cold::ColdRateLimiter,
    decision::{
        RejectReason, ResolvedRoute, RouteError, RouterConfig, RoutingDecision, RoutingRequest,
    },
    entry_count::EntryCount,
    freshness::Freshness,
    limits::{LimitChange, LimitCheck, LimitNotice, Reserve, TargetLimits},
    open::{ClosingTimes, OpenTargets, Openness, TargetNotice},
    probe::{Probe, Probes},
    reach::{NoPeer, Peers, Reach},
    split::Splitter,
    target::{LoadReport, SendOutcome, TargetModel},
    work::WorkFactors,
    zone_spill::{SpillChange, ZoneSpill},
};
use crate::{
    moment::Moment,
    name::Service,
    version::{
        catalog::{Applied, Catalog, TargetId, Update},
        desired::{RequestLimits, RouteKind, Routing},
        feed::{BucketTraffic, LeaderStatus, PendingSpan, TargetTraffic, TrafficReport, to_millis},
        permits::{LimitReport, PermitReply, PermitRequest, RateLimit},
        sharding::KeyLoad,
    },
};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{RngCore, SeedableRng},
};
use std::{collections::HashMap, net::SocketAddr, time::Duration};

/// Age up to which the times in a leader status are used: four status intervals.
pub(super) const STATUS_MAX_AGE: Duration = Duration::from_millis(1_000);
/// Delay before a request is routed again whose target reported that it does not own the key.
const MISDIRECTED_DELAY: Duration = Duration::from_millis(60);
/// Maximum share of the time left for which a request waits for an owner of its key.
const MAX_WAIT_SHARE: f64 = 0.6;
/// Divisor of the connections that a target accepts for those that entries keep idle.
const IDLE_PART: u32 = 4;
/// Retry delay of a request whose key nobody serves.
pub(super) const NO_OWNER_DELAY: Duration = Duration::from_millis(500);

/// Answers and load of a target since the last traffic report. Times are in units of the mean request
/// of its service; see [`WorkFactors`].
#[derive(Debug, Default)]
struct TargetStats {
    answers: u32,
    busy_time: Duration,
    unqueued: u32,
    unqueued_time: Duration,
    load: Option<(LoadReport, Moment)>,
}

/// Catalog replica of one entry, with what the entry observed of the targets itself.
#[derive(Debug)]
pub struct Router {
    pub(super) rng: ChaCha8Rng,
    pub(super) config: RouterConfig,
    pub(super) catalog: Catalog,
    routing: Routing,
    index: Option<u64>,
    pub(super) status: LeaderStatus,
    pub(super) status_at: Option<Moment>,
    entry_count: EntryCount,
    freshness: Freshness,
    pub(super) models: HashMap<TargetId, TargetModel>,
    typical_latencies: HashMap<Service, Duration>,
    cold_targets: HashMap<TargetId, (Moment, ColdRateLimiter)>,
    limits: TargetLimits,
    breaks: Breaks,
    reach: Reach,
    peers: Peers,
    pub(super) open: OpenTargets,
    abandoned: AbandonedAnswers,
    splitters: HashMap<String, Splitter>,
    retry_budgets: HashMap<Service, RetryBudget>,
    key_counts: HashMap<(Service, u16), u32>,
    target_stats: HashMap<TargetId, TargetStats>,
    pub(super) work: WorkFactors,
    probes: Probes,
    pub(super) zone_spill: Option<ZoneSpill>,
}

impl Router {
    /// Creates a router that has no catalog replica yet.
    pub fn new(config: RouterConfig) -> Self {
        let times = ClosingTimes {
            drain: config.drain,
            evacuate: config.evacuate,
        };
        Router {
            zone_spill: config.hop_price.map(ZoneSpill::new),
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            freshness: Freshness::new(config.in_force),
            config,
            catalog: Catalog::default(),
            routing: Routing::default(),
            index: None,
            status: LeaderStatus::default(),
            status_at: None,
            entry_count: EntryCount::default(),
            models: HashMap::new(),
            typical_latencies: HashMap::new(),
            cold_targets: HashMap::new(),
            limits: TargetLimits::default(),
            breaks: Breaks::default(),
            reach: Reach::default(),
            peers: Peers::default(),
            open: OpenTargets::new(times),
            abandoned: AbandonedAnswers::default(),
            splitters: HashMap::new(),
            retry_budgets: HashMap::new(),
            key_counts: HashMap::new(),
            target_stats: HashMap::new(),
            work: WorkFactors::default(),
            probes: Probes::default(),
        }
    }

    /// Replaces the catalog replica. Returns false for a snapshot older than the replica.
    pub fn install_snapshot(&mut self, index: u64, catalog: Catalog) -> bool {
        if self.index.is_some_and(|held| index < held) {
            return false;
        }
        self.index = Some(index);
        let new = catalog.targets.keys().copied();
        self.probes
            .extend(new.filter(|id| !self.catalog.targets.contains_key(id)));
        self.catalog = catalog;
        self.rebuild_routing();
        true
    }

    /// Applies committed updates up to a log index.
    pub fn apply_updates(&mut self, now: Moment, index: u64, updates: &[Update]) {
        let Some(held) = self.index.filter(|held| *held < index) else {
            return;
        };
        let mut routes_changed = false;
        for update in updates {
            let applied = self.catalog.apply(update);
            if let (Update::Join(record), Applied::Joined(id)) = (update, &applied) {
                self.assume_cold(now, *id, &record.service);
                self.probes.extend([*id]);
            }
            let is_change = matches!(update, Update::Desired(_));
            routes_changed |= is_change && matches!(applied, Applied::Changed { .. });
        }
        self.index = Some(index.max(held));
        match routes_changed {
            true => self.rebuild_routing(),
            false => self.refresh_open(),
        }
    }

    /// Treats a target that has just joined as cold until a leader status reports more.
    fn assume_cold(&mut self, now: Moment, id: TargetId, service: &Service) {
        let spec = self.catalog.desired.service(service.as_str());
        let duration = spec.map_or(Duration::ZERO, |spec| spec.cold_period);
        let tokens = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
        self.cold_targets
            .insert(id, (now + duration, ColdRateLimiter::new(now, tokens)));
    }

    /// Applies a leader status: loads, service times and cold targets.
    pub fn apply_status(&mut self, now: Moment, status: LeaderStatus) {
        self.record_service_times(now, &status.service_times);
        for (id, load, age) in &status.loads {
            let reported_at = now - Duration::from_millis(u64::from(*age));
            if let Some(model) = self.model(*id) {
                model.record_report(reported_at, *load);
            }
        }
        for (id, left) in &status.cold {
            let rng = &mut self.rng;
            let cold = self.cold_targets.entry(*id);
            let mut draw = || f64::from(rng.next_u32()) / f64::from(u32::MAX);
            cold.or_insert_with(|| (now, ColdRateLimiter::new(now, draw())))
                .0 = now + *left;
        }
        self.cold_targets.retain(|_, (until, _)| now < *until);
        self.entry_count.record(now, status.entries);
        self.status_at = Some(now);
        self.status = status;
    }

    /// Takes over the limits of targets that came with a leader status.
    pub fn apply_limits(&mut self, now: Moment, limits: &[(TargetId, RateLimit)]) {
        self.limits.apply_status(now, limits);
    }

    /// Records the service times of targets, and their mean as the typical one of each service.
    fn record_service_times(&mut self, now: Moment, service_times: &[(TargetId, u16)]) {
        let mut sums: HashMap<&Service, (Duration, u32)> = HashMap::new();
        for (id, millis) in service_times {
            if let Some(record) = self.catalog.targets.get(id) {
                let (sum, count) = sums.entry(&record.service).or_default();
                *sum += Duration::from_millis(u64::from(*millis));
                *count += 1;
            }
        }
        for (service, (sum, count)) in sums {
            self.typical_latencies.insert(service.clone(), sum / count);
        }
        for (id, millis) in service_times {
            let service_time = Duration::from_millis(u64::from(*millis));
            if let Some(model) = self.model(*id) {
                model.set_service_time(now, service_time);
            }
        }
    }

    /// Returns the model of a target in the replica, created if necessary.
    pub(super) fn model(&mut self, id: TargetId) -> Option<&mut TargetModel> {
        let record = self.catalog.targets.get(&id)?;
        let typical = self.typical_latencies.get(&record.service).copied();
        let model = self.models.entry(id);
        let model = model.or_insert_with(|| TargetModel::new(record.slots));
        if let Some(typical) = typical {
            model.set_typical_latency(typical);
        }
        Some(model)
    }

    /// Mean service time of the requests of a route at the targets of a service, if it is known.
    pub fn usual_latency(&self, service: &Service, route: &str) -> Option<Duration> {
        let typical = self.typical_latencies.get(service)?;
        Some(typical.mul_f64(self.work.factor(service, route)))
    }

    /// Records that the replica holds everything acknowledged up to `at`.
    pub fn confirm(&mut self, at: Moment) {
        self.freshness.confirm(at);
    }

    /// Records that there is a leader, which may commit changes.
    pub fn observe_leader(&mut self) {
        self.freshness.observe_leader();
    }

    /// Records that since `at` each core host was out of reach or knew no leader.
    pub fn observe_no_leader(&mut self, at: Moment) {
        self.freshness.observe_no_leader(at);
    }

    /// Whether the replica lacks no change that must be in force.
    pub fn is_current(&self, now: Moment) -> bool {
        self.index.is_some() && self.freshness.is_current(now)
    }

    /// Whether requests may be sent on by the replica.
    pub fn may_serve(&self, now: Moment) -> bool {
        self.index.is_some() && self.freshness.may_serve(now)
    }

    /// Time since the replica was last confirmed.
    pub fn confirmation_age(&self, now: Moment) -> Option<Duration> {
        self.freshness.confirmed_at().map(|at| now.since(at))
    }

    /// Age of the latest leader status.
    pub fn status_age(&self, now: Moment) -> Option<Duration> {
        self.status_at.map(|at| now.since(at))
    }

    /// Log index up to which the replica is applied.
    pub fn index(&self) -> Option<u64> {
        self.index
    }

    /// Whether the replica contains a desired state to route by.
    pub fn has_desired_state(&self) -> bool {
        self.index.is_some() && !self.catalog.desired.is_empty()
    }

    /// Limits on requests in the desired state.
    pub fn request_limits(&self) -> RequestLimits {
        self.catalog.desired.limits()
    }

    /// Maximum number of idle connections that this entry keeps to a target of the service. Those of
    /// all entries take a quarter of what the target accepts, as it resets new ones beyond that.
    pub fn max_idle_connections(&self, service: &Service) -> usize {
        let spec = self.catalog.desired.service(service.as_str());
        let all = spec.map_or(100, |spec| spec.connections);
        (all / IDLE_PART / self.entry_count()).max(2) as usize
    }

    /// Finds the route of a request and selects the service that gets it.
    pub fn resolve_route(
        &mut self,
        now: Moment,
        host: &str,
        path: &str,
    ) -> Result<ResolvedRoute, RouteError> {
        if !self.may_serve(now) {
            return Err(RouteError::Stale);
        }
        let Some(found) = self.routing.find(host, path) else {
            let certain = self.is_current(now) && self.has_desired_state();
            return Err(if certain {
                RouteError::NoRoute
            } else {
                RouteError::Stale
            });
        };
        let route = found.route;
        let splitter = self.splitters.entry(found.name.to_owned()).or_default();
        let index = splitter
            .select(&route.backends)
            .ok_or(RouteError::NoRoute)?;
        let service = &route.backends[index].service;
        let spec = self.catalog.desired.service(service.as_str());
        Ok(ResolvedRoute {
            name: found.name.to_owned(),
            kind: route.kind,
            timeout: route.timeout,
            goal: route.latency_goal,
            max_attempts: route.attempts,
            lowest_priority: found.lowest_priority,
            service: service.clone(),
            keyed: spec.is_some_and(|spec| spec.keyed),
        })
    }

    /// Kind of the route that matches a request; `None` without one.
    pub fn route_kind(&self, host: &str, path: &str) -> Option<RouteKind> {
        Some(self.routing.find(host, path)?.route.kind)
    }

    /// Counts a new request for the retry budget and the load of its key.
    pub fn record_arrival(&mut self, now: Moment, service: &Service, key: Option<u16>) {
        self.retry_budget(service).record_request(now);
        if let Some(key) = key {
            let bucket = (service.clone(), KeyLoad::bucket(key));
            *self.key_counts.entry(bucket).or_default() += 1;
        }
    }

    /// Selects the target of a request, or rejects it or makes it wait.
    pub fn route_request(&mut self, now: Moment, request: RoutingRequest<'_>) -> RoutingDecision {
        let spec = self.catalog.desired.service(request.service.as_str());
        match spec.is_some_and(|spec| spec.keyed) {
            true => self.route_keyed(now, request),
            false => self.route_pool(now, request),
        }
    }

    /// Whether a target runs in the zone of this entry.
    pub fn is_own_zone(&self, id: TargetId) -> bool {
        let record = self.catalog.targets.get(&id);
        record.is_some_and(|record| record.zone == self.config.zone)
    }

    /// Returns the services that began or ceased to leave the zone since the last call.
    pub fn take_spill_changes(&mut self, now: Moment) -> Vec<SpillChange> {
        let spill = self.zone_spill.as_mut();
        spill.map_or_else(Vec::new, |spill| spill.take_changes(now))
    }

    /// Whether a selected target still accepts requests, checked again once a connection is open.
    pub fn still_accepts(&self, now: Moment, id: TargetId, keyed: bool) -> bool {
        self.open.state(now, &self.catalog, id, keyed) == Openness::Open
    }

    /// Rest of the pause that a target has asked this entry for.
    pub fn pause_left(&self, now: Moment, id: TargetId) -> Option<Duration> {
        self.open.pause_left(now, id)
    }

    /// Targets that this entry asks how fast they are.
    pub fn take_probes(&mut self) -> Vec<Probe> {
        if self.status_at.is_none() {
            return Vec::new();
        }
        let (rng, entries) = (&mut self.rng, self.entry_count.get());
        let draw = || f64::from(rng.next_u32()) / f64::from(u32::MAX);
        self.probes.take(&self.catalog, entries, draw)
    }

    /// Records the load that a target names in the answer to a probe.
    pub fn record_probe(&mut self, now: Moment, id: TargetId, load: LoadReport) {
        if self.model(id).is_some() {
            self.record_load(now, id, load);
        }
    }

    /// Records what a target said of itself in an answer; returns what of it is news.
    pub fn record_notice(
        &mut self,
        now: Moment,
        id: TargetId,
        notice: TargetNotice,
    ) -> TargetNotice {
        self.open.record(now, &self.catalog, id, notice)
    }

    /// Counts an attempt; returns whether its target has named a limit.
    pub fn record_sent(&mut self, id: TargetId) -> bool {
        if let Some(model) = self.models.get_mut(&id) {
            model.record_sent();
        }
        self.limits.record_sent(id)
    }

    /// Records the limit that an answer of a target names, or that it names none. The request was
    /// sent at `sent_at`.
    pub fn record_limit(
        &mut self,
        now: Moment,
        id: TargetId,
        sent_at: Moment,
        notice: LimitNotice,
    ) -> Option<LimitChange> {
        let is_known = self.has_target(id);
        is_known
            .then(|| self.limits.record_answer(now, id, sent_at, notice))
            .flatten()
    }

    /// Whether the target has named a limit.
    pub fn is_limited(&self, id: TargetId) -> bool {
        self.limits.is_limited(id)
    }

    /// Records the reply to a question for a permit; returns whether the request may be sent.
    /// Without a reply the reserve of this entry decides.
    pub fn settle_permit(
        &mut self,
        now: Moment,
        request: PermitRequest,
        reply: Option<PermitReply>,
    ) -> bool {
        let reserve = Reserve {
            entries: self.entry_count(),
            has_leader: self.freshness.has_leader(now),
            draw: f64::from(self.rng.next_u32()) / f64::from(u32::MAX),
        };
        self.limits.settle(now, request, reply, reserve)
    }

    /// Returns the changes of limits since the last call, for the leader.
    pub fn take_limit_changes(&mut self, now: Moment) -> Vec<LimitReport> {
        self.limits.take_changes(now)
    }

    /// Returns all limits of targets that this entry knows, for the leader.
    pub fn limit_reports(&self, now: Moment) -> Vec<LimitReport> {
        self.limits.reports(now)
    }

    /// Requests whose connections broke, and those that are refused.
    pub fn breaks(&mut self) -> &mut Breaks {
        &mut self.breaks
    }

    /// Answers that are awaited although their callers have left.
    pub fn abandoned(&mut self) -> &mut AbandonedAnswers {
        &mut self.abandoned
    }

    /// Links of this entry to targets.
    pub fn reach(&mut self) -> &mut Reach {
        &mut self.reach
    }

    /// Other entries.
    pub fn peers(&mut self) -> &mut Peers {
        &mut self.peers
    }

    /// Whether requests go by other entries, as this one reaches no target.
    pub fn needs_detour(&self) -> bool {
        self.reach.is_detached() && self.peers.helpful().next().is_some()
    }

    /// Chooses the entry by which a request goes that was sent to the ones in `tried`.
    pub fn choose_peer(&mut self, now: Moment, tried: &[SocketAddr]) -> Result<SocketAddr, NoPeer> {
        let rng = &mut self.rng;
        let draw = |below: usize| rng.next_u32() as usize % below;
        self.peers.choose(now, &self.config.zone, tried, draw)
    }

    /// Draws addresses of targets that accept work, at most `count`.
    pub fn sample_targets(&mut self, count: usize) -> Vec<SocketAddr> {
        let catalog = &self.catalog;
        let open = catalog.targets.values().filter(|t| catalog.accepts_work(t));
        let addresses = open.map(|record| record.address).collect();
        draw_some(&mut self.rng, addresses, count)
    }

    /// Draws addresses of other entries that reach targets, at most `count`.
    pub fn sample_peers(&mut self, count: usize) -> Vec<SocketAddr> {
        let addresses = self.peers.helpful().collect();
        draw_some(&mut self.rng, addresses, count)
    }

    /// Records the outcome of an attempt to send a request of a route.
    pub fn record_outcome(
        &mut self,
        now: Moment,
        id: TargetId,
        route: &str,
        outcome: SendOutcome,
        time: Duration,
        load: Option<LoadReport>,
    ) {
        let record = self.catalog.targets.get(&id);
        let (Some(model), Some(record)) = (self.models.get_mut(&id), record) else {
            return;
        };
        let work = self.work.factor(&record.service, route);
        let mean_time = time.div_f64(work);
        // A time that ended without an answer is a lower bound, which must not reduce the mean.
        let (is_counted, is_unqueued) = match outcome {
            SendOutcome::Answered => (true, load.is_some_and(|load| load.waiting == 0)),
            SendOutcome::Late => {
                let is_slow =
                    mean_time > model.service_time(now) && model.is_silent_since(now, time);
                (is_slow, model.has_no_queue(now))
            }
            _ => (false, false),
        };
        model.record_outcome(now, outcome, time, work);
        if outcome == SendOutcome::Answered && is_unqueued {
            self.work.record(&record.service, route, time);
        }
        let stats = self.target_stats.entry(id).or_default();
        if is_counted {
            stats.busy_time += mean_time;
            stats.answers += 1;
        }
        if is_counted && is_unqueued {
            stats.unqueued_time += mean_time;
            stats.unqueued += 1;
        }
        if let Some(load) = load {
            self.record_load(now, id, load);
        }
    }

    /// Records the load that an answer names.
    pub fn record_load(&mut self, now: Moment, id: TargetId, load: LoadReport) {
        let Some(model) = self.models.get_mut(&id) else {
            return;
        };
        model.record_report(now, load);
        self.target_stats.entry(id).or_default().load = Some((load, now));
    }

    /// Takes one retry out of the budget of a service. Returns false if it is used up.
    pub fn try_retry(&mut self, now: Moment, service: &Service) -> bool {
        let entries = self.entry_count();
        self.retry_budget(service).try_retry(now, entries)
    }

    /// Returns the traffic since the last report and resets the counts.
    pub fn take_report(&mut self, now: Moment) -> TrafficReport {
        let keys = self
            .key_counts
            .drain()
            .map(|((service, bucket), requests)| BucketTraffic {
                service,
                bucket,
                requests,
            });
        let targets = self.target_stats.drain().map(|(id, stats)| TargetTraffic {
            id,
            answers: stats.answers,
            total_time: stats.busy_time,
            unqueued: stats.unqueued,
            unqueued_time: stats.unqueued_time,
            load: stats
                .load
                .map(|(load, at)| (load, to_millis(now.since(at)))),
        });
        TrafficReport {
            buckets: keys.collect(),
            targets: targets.collect(),
        }
    }

    /// Whether the replica contains the target.
    pub fn has_target(&self, id: TargetId) -> bool {
        self.catalog.targets.contains_key(&id)
    }

    fn route_keyed(&mut self, now: Moment, request: RoutingRequest<'_>) -> RoutingDecision {
        let Some(key) = request.key else {
            return RoutingDecision::Reject(RejectReason::Keyless, NO_OWNER_DELAY);
        };
        if let Some(wait) = self.pending_wait(now, request.service, key) {
            return self.wait_or_reject(request, wait);
        }
        let table = self.catalog.shards.get(request.service);
        let Some(id) = table.and_then(|table| table.row(key).owner) else {
            return self.wait_or_reject(request, NO_OWNER_DELAY);
        };
        if request.misdirected.contains(&id) {
            return self.wait_or_reject(request, MISDIRECTED_DELAY);
        }
        match self.open.state(now, &self.catalog, id, true) {
            Openness::Open => self.admit(now, request, id),
            Openness::Closed => self.wait_or_reject(request, NO_OWNER_DELAY),
            Openness::Paused(left) => RoutingDecision::Reject(RejectReason::Paused, left),
        }
    }

    /// Admits a request to a target that can answer it in time, and takes a token of a cold one.
    pub(super) fn admit(
        &mut self,
        now: Moment,
        request: RoutingRequest<'_>,
        id: TargetId,
    ) -> RoutingDecision {
        let work = self.work.factor(request.service, request.route);
        let Some(model) = self.model(id) else {
            return RoutingDecision::Reject(RejectReason::Unowned, NO_OWNER_DELAY);
        };
        if model.is_backing_off(now) {
            let delay = model.backoff_until().since(now);
            return RoutingDecision::Reject(RejectReason::Failing, delay);
        }
        let admission = match model.trial_wait(now) {
            Some(Duration::ZERO) => Admission::Admit,
            Some(wait) => Admission::Reject(wait),
            None => {
                let service_time = model.service_time(now).mul_f64(work);
                admit(request.latency, model.wait(now), service_time)
            }
        };
        if let Admission::Reject(delay) = admission {
            return RoutingDecision::Reject(RejectReason::Busy, delay);
        }
        let lowest_priority = request.latency.lowest_priority;
        let needs_permit = match self.limits.check(now, id, lowest_priority) {
            LimitCheck::Denied(delay) => {
                return RoutingDecision::Reject(RejectReason::Limited, delay);
            }
            LimitCheck::NeedsPermit => true,
            LimitCheck::Unlimited => false,
        };
        let entries = self.entry_count();
        let rate = self.catalog.desired.service(request.service.as_str());
        let rate = rate.map_or(0, |spec| spec.cold_rate);
        if let Some((until, limiter)) = self.cold_targets.get_mut(&id)
            && now < *until
            && let Err(delay) = limiter.try_take(now, rate, entries)
        {
            return RoutingDecision::Reject(RejectReason::Cold, delay.min(until.since(now)));
        }
        if let Some(model) = self.models.get_mut(&id) {
            model.record_choice(now);
        }
        match self.catalog.targets.get(&id) {
            Some(record) => RoutingDecision::Send {
                id,
                name: record.name.clone(),
                address: record.address,
                needs_permit,
            },
            None => RoutingDecision::Reject(RejectReason::Unowned, NO_OWNER_DELAY),
        }
    }

    /// Waits for an owner of the key if enough time is left. A rejected caller would resend later
    /// than that and have one try less.
    fn wait_or_reject(&self, request: RoutingRequest<'_>, wait: Duration) -> RoutingDecision {
        match wait <= request.latency.time_left.mul_f64(MAX_WAIT_SHARE) {
            true => RoutingDecision::Wait(wait),
            false => RoutingDecision::Reject(RejectReason::Unowned, wait),
        }
    }

    /// Time until a pending key is expected to be served.
    fn pending_wait(&self, now: Moment, service: &Service, key: u16) -> Option<Duration> {
        let covers_key = |p: &&PendingSpan| p.span.contains(key) && p.service == *service;
        let pending = self.status.pending.iter().find(covers_key)?;
        let status_at = self.status_at?;
        // An old status says nothing about pending keys: the owner in the replica is used.
        let recent = now.since(status_at) < STATUS_MAX_AGE;
        recent.then(|| {
            (status_at + pending.wait)
                .since(now)
                .max(Duration::from_millis(10))
        })
    }

    pub(super) fn entry_count(&self) -> u32 {
        self.entry_count.get()
    }

    fn retry_budget(&mut self, service: &Service) -> &mut RetryBudget {
        let config = &self.config;
        let budget = self.retry_budgets.entry(service.clone());
        budget.or_insert_with(|| {
            RetryBudget::new(config.retry_ratio, config.retry_floor, config.retry_window)
        })
    }

    fn rebuild_routing(&mut self) {
        self.routing = Routing::of(&self.catalog.desired);
        self.refresh_open();
    }

    /// Takes over which targets accept requests, and forgets those that are gone.
    fn refresh_open(&mut self) {
        let catalog = &self.catalog;
        self.open.refresh(catalog, self.freshness.confirmed_at());
        self.models.retain(|id, _| catalog.targets.contains_key(id));
        self.limits.retain(|id| catalog.targets.contains_key(&id));
    }
}

/// Draws at most `count` of the items.
pub(super) fn draw_some<T>(rng: &mut ChaCha8Rng, mut items: Vec<T>, count: usize) -> Vec<T> {
    let count = count.min(items.len());
    for at in 0..count {
        let other = at + rng.next_u32() as usize % (items.len() - at);
        items.swap(at, other);
    }
    items.truncate(count);
    items
}
