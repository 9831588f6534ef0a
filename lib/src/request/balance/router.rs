//! The copy of the fleet at one entry, and what it decides for each request by it.
//!
//! A copy may be old: an entry that is cut off from the leader goes on by what it knows, since its
//! callers may reach nobody else. What it must not do by an old copy is deny: that nothing serves a
//! path is said only by a fresh one.

use super::{
    admit::{Ask, Verdict, judge},
    budget::RetryBudget,
    choose::{Choice, choose, sample},
    cold::ColdRate,
    split::Splitter,
    target::{LoadReport, Outcome, TargetModel},
};
use crate::{
    moment::Moment,
    name::{Service, Target, Zone},
    version::{
        catalog::{Applied, Catalog, TargetId, Update},
        desired::{RequestLimits, RouteKind, Routing},
        feed::{BucketTraffic, LeaderStatus, PendingSpan, TargetTraffic, TrafficReport, to_millis},
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
const PULSE_LIFE: Duration = Duration::from_millis(1_000);
/// Time since the leader confirmed the copy up to which it counts as fresh: three confirmations, and
/// less than the two seconds within which an order is in force everywhere.
const FRESH: Duration = Duration::from_millis(1_500);
/// Part of the time to drain or to evacuate for which keys still go to their old owner.
const CLOSING_SHARE: f64 = 0.7;
/// Pause before a key is tried again whose owner said that it does not hold it.
const MISDIRECTED_PAUSE: Duration = Duration::from_millis(60);
/// Part of the time left for which a request waits for the owner of its key.
const HOLD_SHARE: f64 = 0.6;
/// Pause named to a caller whose key nobody serves.
const NO_OWNER_PAUSE: Duration = Duration::from_millis(500);

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
pub struct Routed {
    /// Name of the route.
    pub name: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that the caller is kept waiting.
    pub timeout: Duration,
    /// Time within which the answer is worth most.
    pub aim: Duration,
    /// Targets to which it may be sent.
    pub attempts: u32,
    /// Whether more urgent requests go to the same service.
    pub last: bool,
    /// The service.
    pub service: Service,
    /// Whether its keys have owners.
    pub keyed: bool,
}

/// Why a request has no route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// No route matches, by a fresh copy.
    NoRoute,
    /// The copy is old or there is none.
    Stale,
}

/// A request that wants a target.
#[derive(Debug, Clone, Copy)]
pub struct Wish<'a> {
    /// Service that it goes to.
    pub service: &'a Service,
    /// Its key, where the service needs one.
    pub key: Option<u16>,
    /// Its bounds in time.
    pub ask: Ask,
    /// Bytes of its body, as far as its head tells.
    pub bytes: u64,
    /// Targets that it was sent to already; those of a pool get it once.
    pub tried: &'a [TargetId],
    /// Those of them that said that they do not hold its key.
    pub strayed: &'a [TargetId],
}

/// Why a request is turned away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turned {
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

impl Turned {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Turned::Busy => "busy",
            Turned::Cold => "cold",
            Turned::Unowned => "unowned",
            Turned::Failing => "failing",
            Turned::Keyless => "keyless",
        }
    }
}

/// What becomes of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Place {
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
    Refuse(Turned, Duration),
}

/// What was seen of a target since the last report.
#[derive(Debug, Default)]
struct Seen {
    answers: u32,
    busy: Duration,
    quick: u32,
    quick_busy: Duration,
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
    pulse: LeaderStatus,
    heard: Option<Moment>,
    confirmed: Option<Moment>,
    models: HashMap<TargetId, TargetModel>,
    usual: HashMap<Service, Duration>,
    colds: HashMap<TargetId, (Moment, ColdRate)>,
    closing: BTreeMap<TargetId, Moment>,
    splits: HashMap<String, Splitter>,
    budgets: HashMap<Service, RetryBudget>,
    keys: HashMap<(Service, u16), u32>,
    seen: HashMap<TargetId, Seen>,
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
            pulse: LeaderStatus::default(),
            heard: None,
            confirmed: None,
            models: HashMap::new(),
            usual: HashMap::new(),
            colds: HashMap::new(),
            closing: BTreeMap::new(),
            splits: HashMap::new(),
            budgets: HashMap::new(),
            keys: HashMap::new(),
            seen: HashMap::new(),
        }
    }

    /// Takes a whole copy. An older one than that held is turned down.
    pub fn copy(&mut self, now: Moment, index: u64, catalog: Catalog) -> bool {
        if self.index.is_some_and(|held| index < held) {
            return false;
        }
        self.index = Some(index);
        self.catalog = catalog;
        self.rearrange(now);
        true
    }

    /// Takes committed updates up to an index.
    pub fn update(&mut self, now: Moment, index: u64, updates: &[Update]) {
        let Some(held) = self.index.filter(|held| *held < index) else {
            return;
        };
        let mut routes = false;
        for update in updates {
            let applied = self.catalog.apply(update);
            if let (Update::Join(record), Applied::Joined(id)) = (update, &applied) {
                self.expect_cold(now, *id, &record.service);
            }
            let is_order = matches!(update, Update::Desired(_));
            routes |= is_order && matches!(applied, Applied::Changed { .. });
        }
        self.index = Some(index.max(held));
        match routes {
            true => self.rearrange(now),
            false => self.note_closing(now),
        }
    }

    /// Takes a target that has just joined for cold until a pulse tells more.
    fn expect_cold(&mut self, now: Moment, id: TargetId, service: &Service) {
        let spec = self.catalog.desired.service(service.as_str());
        let span = spec.map_or(Duration::ZERO, |spec| spec.cold_period);
        let saved = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
        self.colds
            .insert(id, (now + span, ColdRate::new(now, saved)));
    }

    /// Takes a pulse of the leader.
    pub fn pulse(&mut self, now: Moment, pulse: LeaderStatus) {
        self.learn_works(now, &pulse.service_times);
        for (id, load, age) in &pulse.loads {
            let seen = now - Duration::from_millis(u64::from(*age));
            if let Some(model) = self.model(*id) {
                model.reported(seen, *load);
            }
        }
        for (id, left) in &pulse.cold {
            let rng = &mut self.rng;
            let cold = self.colds.entry(*id);
            let mut draw = || f64::from(rng.next_u32()) / f64::from(u32::MAX);
            cold.or_insert_with(|| (now, ColdRate::new(now, draw()))).0 = now + *left;
        }
        self.colds.retain(|_, (until, _)| now < *until);
        self.heard = Some(now);
        self.pulse = pulse;
    }

    /// Takes in how long requests take, at each target and usually at those of its service.
    fn learn_works(&mut self, now: Moment, works: &[(TargetId, u16)]) {
        let mut sums: HashMap<&Service, (Duration, u32)> = HashMap::new();
        for (id, millis) in works {
            if let Some(record) = self.catalog.targets.get(id) {
                let (sum, count) = sums.entry(&record.service).or_default();
                *sum += Duration::from_millis(u64::from(*millis));
                *count += 1;
            }
        }
        for (service, (sum, count)) in sums {
            self.usual.insert(service.clone(), sum / count);
        }
        for (id, millis) in works {
            let work = Duration::from_millis(u64::from(*millis));
            if let Some(model) = self.model(*id) {
                model.learn(now, work);
            }
        }
    }

    /// What is believed of a target of the copy.
    fn model(&mut self, id: TargetId) -> Option<&mut TargetModel> {
        let record = self.catalog.targets.get(&id)?;
        let usual = self.usual.get(&record.service).copied();
        let model = self.models.entry(id);
        let model = model.or_insert_with(|| TargetModel::new(record.slots));
        if let Some(usual) = usual {
            model.usual(usual);
        }
        Some(model)
    }

    /// Takes the leader's word that the copy holds all that was acknowledged at a time. A message
    /// that came just now may have been under way for long, so its arrival proves nothing.
    pub fn confirm(&mut self, at: Moment) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Whether the copy is as young as an order needs it to be.
    pub fn is_fresh(&self, now: Moment) -> bool {
        let young = |at| now.since(at) < FRESH;
        self.confirmed.is_some_and(young) && self.index.is_some()
    }

    /// Age of the latest pulse.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.heard.map(|at| now.since(at))
    }

    /// Log index of the copy.
    pub fn index(&self) -> Option<u64> {
        self.index
    }

    /// Whether there is desired state to serve by.
    pub fn is_set_up(&self) -> bool {
        self.index.is_some() && !self.catalog.desired.is_empty()
    }

    /// Limits of requests.
    pub fn limits(&self) -> RequestLimits {
        self.catalog.desired.limits()
    }

    /// Connections that this entry may hold to a target.
    pub fn connections(&self, service: &Service) -> usize {
        let spec = self.catalog.desired.service(service.as_str());
        let all = spec.map_or(100, |spec| spec.connections);
        (all / self.entries()).max(2) as usize
    }

    /// Finds the route of a request and draws the service that gets it.
    pub fn route(&mut self, now: Moment, host: &str, path: &str) -> Result<Routed, Denial> {
        let Some(found) = self.routing.find(host, path) else {
            let known = self.is_fresh(now) && self.is_set_up();
            return Err(if known {
                Denial::NoRoute
            } else {
                Denial::Stale
            });
        };
        let route = found.route;
        let split = self.splits.entry(found.name.to_owned()).or_default();
        let at = split.next(&route.backends).ok_or(Denial::NoRoute)?;
        let service = &route.backends[at].service;
        let spec = self.catalog.desired.service(service.as_str());
        Ok(Routed {
            name: found.name.to_owned(),
            kind: route.kind,
            timeout: route.timeout,
            aim: route.latency_goal,
            attempts: route.attempts,
            last: found.lowest_priority,
            service: service.clone(),
            keyed: spec.is_some_and(|spec| spec.keyed),
        })
    }

    /// Counts a fresh request.
    pub fn arrived(&mut self, now: Moment, service: &Service, key: Option<u16>) {
        self.budget(service).fresh(now);
        if let Some(key) = key {
            let bucket = (service.clone(), KeyLoad::bucket(key));
            *self.keys.entry(bucket).or_default() += 1;
        }
    }

    /// Where a request goes now.
    pub fn place(&mut self, now: Moment, wish: Wish<'_>) -> Place {
        let spec = self.catalog.desired.service(wish.service.as_str());
        match spec.is_some_and(|spec| spec.keyed) {
            true => self.place_keyed(now, wish),
            false => self.place_pool(now, wish),
        }
    }

    /// Whether a target that was found for a request may still get it; connecting takes time.
    pub fn still_takes(&self, now: Moment, id: TargetId, keyed: bool) -> bool {
        let record = self.catalog.targets.get(&id);
        match keyed {
            true => self.takes_keys(now, id),
            false => record.is_some_and(|record| self.catalog.accepts_work(record)),
        }
    }

    /// Counts a sending.
    pub fn sent(&mut self, id: TargetId) {
        if let Some(model) = self.models.get_mut(&id) {
            model.sent();
        }
    }

    /// Takes the end of a sending in.
    pub fn ended(
        &mut self,
        now: Moment,
        id: TargetId,
        outcome: Outcome,
        time: Duration,
        load: Option<LoadReport>,
    ) {
        let Some(model) = self.models.get_mut(&id) else {
            return;
        };
        model.ended(now, outcome, time);
        if let Some(load) = load {
            model.reported(now, load);
        }
        let seen = self.seen.entry(id).or_default();
        if outcome == Outcome::Answered {
            seen.busy += time;
            seen.answers += 1;
        }
        if outcome == Outcome::Answered && load.is_some_and(|load| load.waiting == 0) {
            seen.quick_busy += time;
            seen.quick += 1;
        }
        seen.load = load.map(|load| (load, now)).or(seen.load);
    }

    /// Takes one more sending from the budget of a service.
    pub fn may_resend(&mut self, now: Moment, service: &Service) -> bool {
        let entries = self.entries();
        self.budget(service).spend(now, entries)
    }

    /// What was seen since the last report.
    pub fn take_report(&mut self, now: Moment) -> TrafficReport {
        let keys = self
            .keys
            .drain()
            .map(|((service, bucket), requests)| BucketTraffic {
                service,
                bucket,
                requests,
            });
        let targets = self.seen.drain().map(|(id, seen)| TargetTraffic {
            id,
            answers: seen.answers,
            total_time: seen.busy,
            unqueued: seen.quick,
            unqueued_time: seen.quick_busy,
            load: seen.load.map(|(load, at)| (load, to_millis(now.since(at)))),
        });
        TrafficReport {
            buckets: keys.collect(),
            targets: targets.collect(),
        }
    }

    /// Whether the target is in the copy.
    pub fn knows(&self, id: TargetId) -> bool {
        self.catalog.targets.contains_key(&id)
    }

    fn place_keyed(&mut self, now: Moment, wish: Wish<'_>) -> Place {
        let Some(key) = wish.key else {
            return Place::Refuse(Turned::Keyless, NO_OWNER_PAUSE);
        };
        if let Some(wait) = self.pending_wait(now, wish.service, key) {
            return self.hold(wish, wait);
        }
        let table = self.catalog.shards.get(wish.service);
        let Some(id) = table.and_then(|table| table.row(key).owner) else {
            return self.hold(wish, NO_OWNER_PAUSE);
        };
        if wish.strayed.contains(&id) {
            return self.hold(wish, MISDIRECTED_PAUSE);
        }
        if !self.takes_keys(now, id) {
            return self.hold(wish, NO_OWNER_PAUSE);
        }
        self.send(now, wish, id)
    }

    fn place_pool(&mut self, now: Moment, wish: Wish<'_>) -> Place {
        let targets = self.catalog.targets_of(wish.service);
        let open: Vec<(TargetId, bool)> = targets
            .filter(|(id, record)| self.catalog.accepts_work(record) && !wish.tried.contains(id))
            .filter(|(id, _)| !self.pulse.unresponsive.contains(id))
            .map(|(id, record)| (id, record.zone == self.config.zone))
            .collect();
        for (id, _) in &open {
            self.model(*id);
        }
        let mut left = open;
        let drawn = sample(left.len(), self.entries());
        for at in 0..drawn {
            let other = at + self.rng.next_u32() as usize % (left.len() - at);
            left.swap(at, other);
        }
        let mut refused: Option<(Turned, Duration)> = None;
        // A target that has no room leaves the request to the next best one, in the end to one that
        // was not drawn.
        while !left.is_empty() {
            let choices = left.iter().take(drawn.max(1)).filter_map(|(id, near)| {
                Some(Choice {
                    id: *id,
                    model: self.models.get(id)?,
                    near: *near,
                })
            });
            let Some(id) = choose(now, wish.bytes, choices).map(|choice| choice.id) else {
                break;
            };
            match self.send(now, wish, id) {
                Place::Refuse(turned, pause) => {
                    if refused.is_none_or(|(_, shortest)| pause < shortest) {
                        refused = Some((turned, pause));
                    }
                    left.retain(|(other, _)| *other != id);
                }
                other => return other,
            }
        }
        let (turned, pause) = refused.unwrap_or((Turned::Unowned, NO_OWNER_PAUSE));
        Place::Refuse(turned, pause)
    }

    /// Sends a request to a target if that serves it in time.
    fn send(&mut self, now: Moment, wish: Wish<'_>, id: TargetId) -> Place {
        let Some(model) = self.model(id) else {
            return Place::Refuse(Turned::Unowned, NO_OWNER_PAUSE);
        };
        if model.is_paused(now) {
            let pause = model.paused_until().since(now);
            return Place::Refuse(Turned::Failing, pause);
        }
        match judge(wish.ask, model.wait(now), model.work(now)) {
            Verdict::Refuse(pause) => return Place::Refuse(Turned::Busy, pause),
            Verdict::Send => {}
        }
        let entries = self.entries();
        let rate = self.catalog.desired.service(wish.service.as_str());
        let rate = rate.map_or(0, |spec| spec.cold_rate);
        if let Some((until, cold)) = self.colds.get_mut(&id)
            && now < *until
            && let Err(pause) = cold.take(now, rate, entries)
        {
            return Place::Refuse(Turned::Cold, pause.min(until.since(now)));
        }
        match self.catalog.targets.get(&id) {
            Some(record) => Place::Send {
                id,
                name: record.name.clone(),
                address: record.address,
            },
            None => Place::Refuse(Turned::Unowned, NO_OWNER_PAUSE),
        }
    }

    /// Holds a request until its key is served, if there is time enough left then. A caller that is
    /// sent away instead would come back later than that, with one try less.
    fn hold(&self, wish: Wish<'_>, wait: Duration) -> Place {
        match wait <= wish.ask.left.mul_f64(HOLD_SHARE) {
            true => Place::Wait(wait),
            false => Place::Refuse(Turned::Unowned, wait),
        }
    }

    /// Time until a key on its way is served.
    fn pending_wait(&self, now: Moment, service: &Service, key: u16) -> Option<Duration> {
        let is_it = |p: &&PendingSpan| p.span.contains(key) && p.service == *service;
        let pending = self.pulse.pending.iter().find(is_it)?;
        let heard = self.heard?;
        // By an old pulse nothing is known: the owner of the copy is asked.
        let fresh = now.since(heard) < PULSE_LIFE;
        fresh.then(|| {
            (heard + pending.wait)
                .since(now)
                .max(Duration::from_millis(10))
        })
    }

    /// Whether the owner of a key may still get requests for it.
    fn takes_keys(&self, now: Moment, id: TargetId) -> bool {
        let Some(record) = self.catalog.targets.get(&id) else {
            return false;
        };
        if self.catalog.accepts_work(record) {
            return true;
        }
        let span = match record.leaving {
            true => self.config.drain,
            false => self.config.evacuate,
        };
        let since = self.closing.get(&id);
        since.is_some_and(|since| now.since(*since) < span.mul_f64(CLOSING_SHARE))
    }

    fn entries(&self) -> u32 {
        self.pulse.entries.max(1)
    }

    fn budget(&mut self, service: &Service) -> &mut RetryBudget {
        let config = &self.config;
        let budget = self.budgets.entry(service.clone());
        budget.or_insert_with(|| {
            RetryBudget::new(config.retry_ratio, config.retry_floor, config.retry_window)
        })
    }

    fn rearrange(&mut self, now: Moment) {
        self.routing = Routing::of(&self.catalog.desired);
        self.note_closing(now);
    }

    /// Notes since when targets get no new work, and forgets those that are gone.
    fn note_closing(&mut self, now: Moment) {
        let catalog = &self.catalog;
        for (id, record) in &catalog.targets {
            if catalog.accepts_work(record) {
                self.closing.remove(id);
            } else {
                self.closing.entry(*id).or_insert(now);
            }
        }
        self.closing
            .retain(|id, _| catalog.targets.contains_key(id));
        self.models.retain(|id, _| catalog.targets.contains_key(id));
    }
}
