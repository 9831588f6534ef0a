//! Routing of the requests of pool services, whose targets all serve every request.
//!
//! Load pattern: many entries that know the load of targets from reports up to half a second old, and
//! narrow links, over which a new connection costs a round trip. Each request is compared at a small
//! sample of targets, and at some to which this entry has an open connection.

use super::{
    choose::{Candidate, Demand, choose, outlook_size, sample_size},
    decision::{RejectReason, RoutingDecision, RoutingRequest},
    open::Openness,
    router::{NO_OWNER_DELAY, Router, STATUS_MAX_AGE, draw_some},
    target::TargetModel,
    zone_spill::{FirstChoice, Hop, SpillRequest, ZoneTargets, default_hop_cost},
};
use crate::{moment::Moment, version::catalog::TargetId};
use rand_chacha::rand_core::RngCore;
use std::time::Duration;

/// Targets with an open connection that join the sample. More of them crowd the fastest ones.
const MAX_CONNECTED: usize = 6;

impl Router {
    /// Selects the target of a request of a pool service.
    pub(super) fn route_pool(
        &mut self,
        now: Moment,
        request: RoutingRequest<'_>,
    ) -> RoutingDecision {
        let mut shortest_pause: Option<Duration> = None;
        let mut open: Vec<(TargetId, bool)> = Vec::new();
        for (id, record) in self.catalog.targets_of(request.service) {
            if request.tried.contains(&id) || self.status.unresponsive.contains(&id) {
                continue;
            }
            match self.open.state(now, &self.catalog, id, false) {
                Openness::Open => open.push((id, record.zone == self.config.zone)),
                Openness::Closed => {}
                Openness::Paused(left) => {
                    shortest_pause = Some(shortest_pause.map_or(left, |pause| pause.min(left)));
                }
            }
        }
        for (id, _) in &open {
            self.model(*id);
        }
        let mut pool = open;
        let (hop_cost, mut held) = self.hold_zones(now, request, &mut pool);
        let count = self.sample(&mut pool, request.connected);
        let demand = Demand {
            body_bytes: request.body_bytes,
            hop_cost,
            goal: request.latency.goal,
            work: self.work.factor(request.service, request.route),
        };
        let mut rejected = shortest_pause.map(|pause| (RejectReason::Paused, pause));
        // If a target has no room the next best one is tried, in the end also those not sampled.
        while !pool.is_empty() {
            let candidates = pool.iter().take(count.max(1)).filter_map(|(id, local)| {
                Some(Candidate {
                    id: *id,
                    model: self.models.get(id)?,
                    same_zone: *local,
                    connect_time: match request.connected.contains(id) {
                        true => Duration::ZERO,
                        false => request.connect_time,
                    },
                })
            });
            let Some(id) = choose(now, demand, candidates).map(|c| c.id) else {
                break;
            };
            match self.admit(now, request, id) {
                RoutingDecision::Reject(reason, delay) => {
                    if rejected.is_none_or(|(_, shortest)| delay < shortest) {
                        rejected = Some((reason, delay));
                    }
                    pool.retain(|(other, _)| *other != id);
                    if pool.is_empty() {
                        pool.append(&mut held);
                    }
                }
                other => {
                    self.record_hop(request, id);
                    return other;
                }
            }
        }
        let (reason, delay) = rejected.unwrap_or((RejectReason::Unowned, NO_OWNER_DELAY));
        RoutingDecision::Reject(reason, delay)
    }

    /// Shuffles the targets and puts a sample in front: some of each zone, and some with an open
    /// connection. Returns its size.
    fn sample(&mut self, pool: &mut [(TargetId, bool)], connected: &[TargetId]) -> usize {
        for at in 0..pool.len() {
            let other = at + self.rng.next_u32() as usize % (pool.len() - at);
            pool.swap(at, other);
        }
        let entries = self.entry_count();
        let own = pool.iter().filter(|(_, local)| *local).count();
        let mut own_left = sample_size(own, entries);
        let mut other_left = sample_size(pool.len() - own, entries);
        let mut connected_left = MAX_CONNECTED.min(connected.len());
        let mut count = 0;
        for at in 0..pool.len() {
            let (id, local) = pool[at];
            let left = match local {
                true => &mut own_left,
                false => &mut other_left,
            };
            let left = match *left > 0 {
                true => left,
                false if connected_left > 0 && connected.contains(&id) => &mut connected_left,
                false => continue,
            };
            *left -= 1;
            pool.swap(count, at);
            count += 1;
        }
        count
    }

    /// Removes from `pool` the targets that get the request only if no other target admits it. Returns
    /// the cost of a target of another zone and those removed.
    fn hold_zones(
        &mut self,
        now: Moment,
        request: RoutingRequest<'_>,
        pool: &mut Vec<(TargetId, bool)>,
    ) -> (Duration, Vec<(TargetId, bool)>) {
        let sample = outlook_size(pool.len(), self.entry_count());
        let Some(spill) = &mut self.zone_spill else {
            return (default_hop_cost(request.body_bytes), Vec::new());
        };
        let models = |is_own: bool| -> Vec<&TargetModel> {
            let zone = pool.iter().filter(|(_, local)| *local == is_own);
            zone.filter_map(|(id, _)| self.models.get(id)).collect()
        };
        let (own, other) = (models(true), models(false));
        // Entries report each answer, so while the status is recent a target without a report is idle.
        let has_status = self
            .status_at
            .is_some_and(|at| now.since(at) < STATUS_MAX_AGE);
        let targets = ZoneTargets {
            own: &own,
            other: &other,
            is_known: has_status || other.iter().any(|model| model.has_report(now)),
            sample,
        };
        let spilling = SpillRequest {
            service: request.service,
            body_bytes: request.body_bytes,
            tries: request.tried.len(),
        };
        let Hop { first, cost } = spill.decide(now, spilling, targets);
        let held: Vec<_> = match first {
            FirstChoice::All => Vec::new(),
            FirstChoice::Own => pool.extract_if(.., |(_, local)| !*local).collect(),
            FirstChoice::Other => pool.extract_if(.., |(_, local)| *local).collect(),
            FirstChoice::OwnOnly => {
                pool.retain(|(_, local)| *local);
                Vec::new()
            }
        };
        let count = held.len();
        let held = draw_some(&mut self.rng, held, count);
        (cost, held)
    }

    /// Records that a request of a pool service goes to a target, if that is in another zone.
    fn record_hop(&mut self, request: RoutingRequest<'_>, id: TargetId) {
        let is_own = self.is_own_zone(id);
        if let Some(spill) = self.zone_spill.as_mut().filter(|_| !is_own) {
            spill.record_hop(request.service);
        }
    }
}
