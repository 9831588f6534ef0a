//! Routing of the requests of pool services, whose targets all serve every request.

use super::{
    choose::{Candidate, choose, sample_size},
    open::Openness,
    router::{NO_OWNER_DELAY, RejectReason, Router, RoutingDecision, RoutingRequest},
};
use crate::{moment::Moment, version::catalog::TargetId};
use rand_chacha::rand_core::RngCore;
use std::time::Duration;

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
        let work = self.work.factor(request.service, request.route);
        let mut pool = open;
        let count = sample_size(pool.len(), self.entry_count());
        for at in 0..count {
            let other = at + self.rng.next_u32() as usize % (pool.len() - at);
            pool.swap(at, other);
        }
        let mut rejected = shortest_pause.map(|pause| (RejectReason::Paused, pause));
        // If a target has no room the next best one is tried, in the end also those not sampled.
        while !pool.is_empty() {
            let candidates = pool.iter().take(count.max(1)).filter_map(|(id, local)| {
                Some(Candidate {
                    id: *id,
                    model: self.models.get(id)?,
                    same_zone: *local,
                    work,
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
}
