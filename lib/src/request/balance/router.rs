//! The copy of the fleet at one entry, and what it decides for each request by it.
//!
//! A copy may be old: an entry that is cut off from the leader goes on by what it knows, since its
//! callers may reach nobody else. What it must not do by an old copy is deny: that nothing serves a
//! path is said only by a fresh one.

use super::{
    admit::{Admission, LatencyBounds, admit},
    budget::RetryBudget,
    choose::{Candidate, choose, sample_size},
    cold::ColdRateLimiter,
    split::Splitter,
    target::{LoadReport, SendOutcome, TargetModel},
};
use crate::{
    moment::Moment,
    name::{Service, Target, Zone},
    version::{
        catalog::{Applied, Catalog, TargetId, Update},
        desired::{RequestLimits, RouteKind, Routing},
        feed::{KeyCount, Pending, Pulse, Report, TargetCount, millis},
        sharding::KeyLoad,
    },
};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{RngCore, SeedableRng},
};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

/// Age of the latest pulse up to which its times hold: four pulses.
const STATUS_MAX_AGE: Duration = Duration::from_millis(1_000);
/// Time since the leader confirmed the copy up to which it counts as fresh: three confirmations, and
/// less than the two seconds within which an order is in force everywhere.
const CONFIRMATION_MAX_AGE: Duration = Duration::from_millis(1_500);
/// Part of the time to drain or to evacuate for which keys still go to their old owner.
const CLOSED_OWNER_SHARE: f64 = 0.7;
/// Pause before a key is tried again whose owner said that it does not hold it.
const MISDIRECTED_DELAY: Duration = Duration::from_millis(60);
/// Part of the time left for which a request waits for the owner of its key.
const MAX_WAIT_SHARE: f64 = 0.6;
/// Pause named to a caller whose key nobody serves.
const NO_OWNER_DELAY: Duration = Duration::from_millis(500);

/// Settings of the decisions.
#[derive(Debug, Clone)]
pub struct RouterConfig {
    /// Seed of what is drawn; another one on each entry.
    pub seed: u64,
    /// Zone of this entry.
    pub zone: Zone,
    /// Time from a target's farewell to its last new request.
    pub drain: Duration,
    /// Time from a zone's removal to its last new request.
    pub evacuate: Duration,
    /// Sendings beyond the first for each fresh request.
    pub retry_ratio: f64,
    /// Sendings beyond the first that are free in each window, for all entries together.
    pub retry_floor: f64,
    /// Length of that window.
    pub retry_window: Duration,
}

/// The route of a request with the service that gets it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResolvedRoute {
    /// Name of the route.
    pub name: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that the caller is kept waiting.
    pub timeout: Duration,
    /// Time within which the answer is worth most.
    pub goal: Duration,
    /// Targets to which it may be sent.
    pub max_attempts: u32,
    /// Whether more urgent requests go to the same service.
    pub lowest_priority: bool,
    /// The service.
    pub service: Service,
    /// Whether its keys have owners.
    pub keyed: bool,
}

/// Why a request has no route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteError {
    /// No route matches, by a fresh copy.
    NoRoute,
    /// The copy is old or there is none.
    Stale,
}

/// A request that wants a target.
#[derive(Debug, Clone, Copy)]
pub struct RoutingRequest<'a> {
    /// Service that it goes to.
    pub service: &'a Service,
    /// Its key, where the service needs one.
    pub key: Option<u16>,
    /// Its bounds in time.
    pub latency: LatencyBounds,
    /// Bytes of its body, as far as its head tells.
    pub body_bytes: u64,
    /// Targets that it was sent to already; those of a pool get it once.
    pub tried: &'a [TargetId],
    /// Those of them that said that they do not hold its key.
    pub misdirected: &'a [TargetId],
}

/// Why a request is turned away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// It would wait too long.
    Busy,
    /// The cold target bears no more.
    Cold,
    /// Nobody serves its key, or no target of its service is open.
    Unowned,
    /// The target failed of late.
    Failing,
    /// It names no key though its service needs one.
    Keyless,
}

impl RejectReason {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RejectReason::Busy => "busy",
            RejectReason::Cold => "cold",
            RejectReason::Unowned => "unowned",
            RejectReason::Failing => "failing",
            RejectReason::Keyless => "keyless",
        }
    }
}

/// What becomes of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RoutingDecision {
    /// It goes to this target.
    Send {
        /// Number of the target.
        id: TargetId,
        /// Its name.
        name: Target,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Its key is on the way to an owner: try again after this time, or when the copy changes.
    Wait(Duration),
    /// It is turned away, and may come back after this time.
    Reject(RejectReason, Duration),
}

/// What was seen of a target since the last report.
#[derive(Debug, Default)]
struct TargetStats {
    answers: u32,
    busy_time: Duration,
    unqueued: u32,
    unqueued_time: Duration,
    load: Option<(LoadReport, Moment)>,
}

/// Copy of the fleet at one entry with what it has seen itself.
#[derive(Debug)]
pub struct Router {
    rng: ChaCha8Rng,
    config: RouterConfig,
    catalog: Catalog,
    routing: Routing,
    index: Option<u64>,
    status: Pulse,
    status_at: Option<Moment>,
    confirmed_at: Option<Moment>,
    models: HashMap<TargetId, TargetModel>,
    typical_latencies: HashMap<Service, Duration>,
    cold_targets: HashMap<TargetId, (Moment, ColdRateLimiter)>,
    closed_since: BTreeMap<TargetId, Moment>,
    splitters: HashMap<String, Splitter>,
    retry_budgets: HashMap<Service, RetryBudget>,
    key_counts: HashMap<(Service, u16), u32>,
    target_stats: HashMap<TargetId, TargetStats>,
}

impl Router {
    /// Entry without a copy.
    pub fn new(config: RouterConfig) -> Self {
        Router {
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            config,
            catalog: Catalog::default(),
            routing: Routing::default(),
            index: None,
            status: Pulse::default(),
            status_at: None,
            confirmed_at: None,
            models: HashMap::new(),
            typical_latencies: HashMap::new(),
            cold_targets: HashMap::new(),
            closed_since: BTreeMap::new(),
            splitters: HashMap::new(),
            retry_budgets: HashMap::new(),
            key_counts: HashMap::new(),
            target_stats: HashMap::new(),
        }
    }

    /// Takes a whole copy. An older one than that held is turned down.
    pub fn install_snapshot(&mut self, now: Moment, index: u64, catalog: Catalog) -> bool {
        if self.index.is_some_and(|held| index < held) {
            return false;
        }
        self.index = Some(index);
        self.catalog = catalog;
        self.rebuild_routing(now);
        true
    }

    /// Takes committed updates up to an index.
    pub fn apply_updates(&mut self, now: Moment, index: u64, updates: &[Update]) {
        let Some(held) = self.index.filter(|held| *held < index) else {
            return;
        };
        let mut routes_changed = false;
        for update in updates {
            let applied = self.catalog.apply(update);
            if let (Update::Join(record), Applied::Joined(id)) = (update, &applied) {
                self.assume_cold(now, *id, &record.service);
            }
            let is_change = matches!(update, Update::Desired(_));
            routes_changed |= is_change && matches!(applied, Applied::Changed { .. });
        }
        self.index = Some(index.max(held));
        match routes_changed {
            true => self.rebuild_routing(now),
            false => self.refresh_closed_since(now),
        }
    }

    /// Takes a target that has just joined for cold until a pulse tells more.
    fn assume_cold(&mut self, now: Moment, id: TargetId, service: &Service) {
        let spec = self.catalog.desired.service(service.as_str());
        let duration = spec.map_or(Duration::ZERO, |spec| spec.cold_span);
        let tokens = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
        self.cold_targets
            .insert(id, (now + duration, ColdRateLimiter::new(now, tokens)));
    }

    /// Takes a pulse of the leader.
    pub fn apply_status(&mut self, now: Moment, status: Pulse) {
        self.record_service_times(now, &status.works);
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
        self.status_at = Some(now);
        self.status = status;
    }

    /// Takes in how long requests take, at each target and usually at those of its service.
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

    /// What is believed of a target of the copy.
    fn model(&mut self, id: TargetId) -> Option<&mut TargetModel> {
        let record = self.catalog.targets.get(&id)?;
        let typical = self.typical_latencies.get(&record.service).copied();
        let model = self.models.entry(id);
        let model = model.or_insert_with(|| TargetModel::new(record.slots));
        if let Some(typical) = typical {
            model.set_typical_latency(typical);
        }
        Some(model)
    }

    /// Takes the leader's word that the copy holds all that was acknowledged at a time. A message
    /// that came just now may have been under way for long, so its arrival proves nothing.
    pub fn confirm(&mut self, at: Moment) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Whether the copy is as young as an order needs it to be.
    pub fn is_current(&self, now: Moment) -> bool {
        let is_recent = |at| now.since(at) < CONFIRMATION_MAX_AGE;
        self.confirmed_at.is_some_and(is_recent) && self.index.is_some()
    }

    /// Age of the latest pulse.
    pub fn status_age(&self, now: Moment) -> Option<Duration> {
        self.status_at.map(|at| now.since(at))
    }

    /// Log index of the copy.
    pub fn index(&self) -> Option<u64> {
        self.index
    }

    /// Whether there is desired state to serve by.
    pub fn has_desired_state(&self) -> bool {
        self.index.is_some() && !self.catalog.desired.is_empty()
    }

    /// Limits of requests.
    pub fn request_limits(&self) -> RequestLimits {
        self.catalog.desired.limits()
    }

    /// Connections that this entry may hold to a target.
    pub fn max_connections(&self, service: &Service) -> usize {
        let spec = self.catalog.desired.service(service.as_str());
        let all = spec.map_or(100, |spec| spec.connections);
        (all / self.entry_count()).max(2) as usize
    }

    /// Finds the route of a request and draws the service that gets it.
    pub fn resolve_route(
        &mut self,
        now: Moment,
        host: &str,
        path: &str,
    ) -> Result<ResolvedRoute, RouteError> {
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
            goal: route.aim,
            max_attempts: route.attempts,
            lowest_priority: found.last,
            service: service.clone(),
            keyed: spec.is_some_and(|spec| spec.keyed),
        })
    }

    /// Counts a fresh request.
    pub fn record_arrival(&mut self, now: Moment, service: &Service, key: Option<u16>) {
        self.retry_budget(service).record_request(now);
        if let Some(key) = key {
            let bucket = (service.clone(), KeyLoad::bucket(key));
            *self.key_counts.entry(bucket).or_default() += 1;
        }
    }

    /// Where a request goes now.
    pub fn route_request(&mut self, now: Moment, request: RoutingRequest<'_>) -> RoutingDecision {
        let spec = self.catalog.desired.service(request.service.as_str());
        match spec.is_some_and(|spec| spec.keyed) {
            true => self.route_keyed(now, request),
            false => self.route_pool(now, request),
        }
    }

    /// Whether a target that was found for a request may still get it; connecting takes time.
    pub fn still_accepts(&self, now: Moment, id: TargetId, keyed: bool) -> bool {
        let record = self.catalog.targets.get(&id);
        match keyed {
            true => self.accepts_keys(now, id),
            false => record.is_some_and(|record| self.catalog.is_open(record)),
        }
    }

    /// Counts a sending.
    pub fn record_sent(&mut self, id: TargetId) {
        if let Some(model) = self.models.get_mut(&id) {
            model.record_sent();
        }
    }

    /// Takes the end of a sending in.
    pub fn record_outcome(
        &mut self,
        now: Moment,
        id: TargetId,
        outcome: SendOutcome,
        time: Duration,
        load: Option<LoadReport>,
    ) {
        let Some(model) = self.models.get_mut(&id) else {
            return;
        };
        model.record_outcome(now, outcome, time);
        if let Some(load) = load {
            model.record_report(now, load);
        }
        let stats = self.target_stats.entry(id).or_default();
        if outcome == SendOutcome::Answered {
            stats.busy_time += time;
            stats.answers += 1;
        }
        if outcome == SendOutcome::Answered && load.is_some_and(|load| load.waiting == 0) {
            stats.unqueued_time += time;
            stats.unqueued += 1;
        }
        stats.load = load.map(|load| (load, now)).or(stats.load);
    }

    /// Takes one more sending from the budget of a service.
    pub fn try_retry(&mut self, now: Moment, service: &Service) -> bool {
        let entries = self.entry_count();
        self.retry_budget(service).try_retry(now, entries)
    }

    /// What was seen since the last report.
    pub fn take_report(&mut self, now: Moment) -> Report {
        let keys = self
            .key_counts
            .drain()
            .map(|((service, bucket), requests)| KeyCount {
                service,
                bucket,
                requests,
            });
        let targets = self.target_stats.drain().map(|(id, stats)| TargetCount {
            id,
            answers: stats.answers,
            busy: stats.busy_time,
            quick: stats.unqueued,
            quick_busy: stats.unqueued_time,
            load: stats.load.map(|(load, at)| (load, millis(now.since(at)))),
        });
        Report {
            keys: keys.collect(),
            targets: targets.collect(),
        }
    }

    /// Whether the target is in the copy.
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
        if !self.accepts_keys(now, id) {
            return self.wait_or_reject(request, NO_OWNER_DELAY);
        }
        self.admit(now, request, id)
    }

    fn route_pool(&mut self, now: Moment, request: RoutingRequest<'_>) -> RoutingDecision {
        let targets = self.catalog.targets_of(request.service);
        let open: Vec<(TargetId, bool)> = targets
            .filter(|(id, record)| self.catalog.is_open(record) && !request.tried.contains(id))
            .filter(|(id, _)| !self.status.silent.contains(id))
            .map(|(id, record)| (id, record.zone == self.config.zone))
            .collect();
        for (id, _) in &open {
            self.model(*id);
        }
        let mut pool = open;
        let count = sample_size(pool.len(), self.entry_count());
        for at in 0..count {
            let other = at + self.rng.next_u32() as usize % (pool.len() - at);
            pool.swap(at, other);
        }
        let mut rejected: Option<(RejectReason, Duration)> = None;
        // A target that has no room leaves the request to the next best one, in the end to one that
        // was not drawn.
        while !pool.is_empty() {
            let candidates = pool.iter().take(count.max(1)).filter_map(|(id, local)| {
                Some(Candidate {
                    id: *id,
                    model: self.models.get(id)?,
                    same_zone: *local,
                })
            });
            let Some(id) = choose(now, request.body_bytes, candidates).map(|c| c.id) else {
                break;
            };
            match self.admit(now, request, id) {
                RoutingDecision::Reject(reason, delay) => {
                    if rejected.is_none_or(|(_, shortest)| delay < shortest) {
                        rejected = Some((reason, delay));
                    }
                    pool.retain(|(other, _)| *other != id);
                }
                other => return other,
            }
        }
        let (reason, delay) = rejected.unwrap_or((RejectReason::Unowned, NO_OWNER_DELAY));
        RoutingDecision::Reject(reason, delay)
    }

    /// Sends a request to a target if that serves it in time.
    fn admit(&mut self, now: Moment, request: RoutingRequest<'_>, id: TargetId) -> RoutingDecision {
        let Some(model) = self.model(id) else {
            return RoutingDecision::Reject(RejectReason::Unowned, NO_OWNER_DELAY);
        };
        if model.is_backing_off(now) {
            let delay = model.backoff_until().since(now);
            return RoutingDecision::Reject(RejectReason::Failing, delay);
        }
        match admit(request.latency, model.wait(now), model.service_time(now)) {
            Admission::Reject(delay) => return RoutingDecision::Reject(RejectReason::Busy, delay),
            Admission::Admit => {}
        }
        let entries = self.entry_count();
        let rate = self.catalog.desired.service(request.service.as_str());
        let rate = rate.map_or(0, |spec| spec.cold_rate);
        if let Some((until, limiter)) = self.cold_targets.get_mut(&id)
            && now < *until
            && let Err(delay) = limiter.try_take(now, rate, entries)
        {
            return RoutingDecision::Reject(RejectReason::Cold, delay.min(until.since(now)));
        }
        match self.catalog.targets.get(&id) {
            Some(record) => RoutingDecision::Send {
                id,
                name: record.name.clone(),
                address: record.address,
            },
            None => RoutingDecision::Reject(RejectReason::Unowned, NO_OWNER_DELAY),
        }
    }

    /// Holds a request until its key is served, if there is time enough left then. A caller that is
    /// sent away instead would come back later than that, with one try less.
    fn wait_or_reject(&self, request: RoutingRequest<'_>, wait: Duration) -> RoutingDecision {
        match wait <= request.latency.time_left.mul_f64(MAX_WAIT_SHARE) {
            true => RoutingDecision::Wait(wait),
            false => RoutingDecision::Reject(RejectReason::Unowned, wait),
        }
    }

    /// Time until a key on its way is served.
    fn pending_wait(&self, now: Moment, service: &Service, key: u16) -> Option<Duration> {
        let covers_key = |p: &&Pending| p.span.contains(key) && p.service == *service;
        let pending = self.status.pending.iter().find(covers_key)?;
        let status_at = self.status_at?;
        // By an old pulse nothing is known: the owner of the copy is asked.
        let recent = now.since(status_at) < STATUS_MAX_AGE;
        recent.then(|| {
            (status_at + pending.wait)
                .since(now)
                .max(Duration::from_millis(10))
        })
    }

    /// Whether the owner of a key may still get requests for it.
    fn accepts_keys(&self, now: Moment, id: TargetId) -> bool {
        let Some(record) = self.catalog.targets.get(&id) else {
            return false;
        };
        if self.catalog.is_open(record) {
            return true;
        }
        let period = match record.leaving {
            true => self.config.drain,
            false => self.config.evacuate,
        };
        let since = self.closed_since.get(&id);
        since.is_some_and(|since| now.since(*since) < period.mul_f64(CLOSED_OWNER_SHARE))
    }

    fn entry_count(&self) -> u32 {
        self.status.entries.max(1)
    }

    fn retry_budget(&mut self, service: &Service) -> &mut RetryBudget {
        let config = &self.config;
        let budget = self.retry_budgets.entry(service.clone());
        budget.or_insert_with(|| {
            RetryBudget::new(config.retry_ratio, config.retry_floor, config.retry_window)
        })
    }

    fn rebuild_routing(&mut self, now: Moment) {
        self.routing = Routing::of(&self.catalog.desired);
        self.refresh_closed_since(now);
    }

    /// Notes since when targets get no new work, and forgets those that are gone.
    fn refresh_closed_since(&mut self, now: Moment) {
        let catalog = &self.catalog;
        for (id, record) in &catalog.targets {
            if catalog.is_open(record) {
                self.closed_since.remove(id);
            } else {
                self.closed_since.entry(*id).or_insert(now);
            }
        }
        self.closed_since
            .retain(|id, _| catalog.targets.contains_key(id));
        self.models.retain(|id, _| catalog.targets.contains_key(id));
    }
}
