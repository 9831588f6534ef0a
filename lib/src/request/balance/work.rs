//! Work of the requests of each route, relative to the mean request of its service.
//!
//! Load pattern: routes of one service whose requests take 130 and 750 ms. A target that ran a long
//! request last looks slow for a short one, which is then refused although slots are free, and the
//! targets that ran short ones get most requests. So the times of a target are kept in units of the
//! service's mean request: what is measured is divided by the factor of its route, and what is expected
//! is multiplied by it.
//!
//! A few requests take several times as long as the others of their route. The means are therefore
//! geometric, on which one long request has little effect.

use crate::name::Service;
use std::{collections::HashMap, time::Duration};

/// Answers from which the mean of a route counts.
const MIN_ANSWERS: u32 = 8;
/// Answers over which the factor of a route goes from 1 to its full value, so that times recorded
/// before are not read in another unit at once.
const RAMP_ANSWERS: u32 = 8;
/// Answers over which the mean of a route is taken.
const MEAN_ANSWERS: u32 = 64;
/// Answers of a service over which the shares of its routes are taken.
const SHARE_ANSWERS: u32 = 128;
/// Share below which a route is forgotten: one that was in use is after some 600 answers of others.
const MIN_SHARE: f64 = 0.000_1;
/// Bounds of a factor.
const MIN_FACTOR: f64 = 0.1;
const MAX_FACTOR: f64 = 10.0;
/// Shortest time of an answer, as the logarithm of 0 is infinite.
const MIN_TIME: Duration = Duration::from_micros(100);

/// Factors of the routes of all services, as learnt by one entry.
#[derive(Debug, Default)]
pub struct WorkFactors {
    services: HashMap<Service, ServiceWork>,
}

#[derive(Debug, Default)]
struct ServiceWork {
    answers: u32,
    routes: HashMap<String, RouteWork>,
}

#[derive(Debug, Default)]
struct RouteWork {
    answers: u32,
    /// Mean of the logarithms of the times in seconds.
    log_mean: f64,
    /// Part of the answers of the service.
    share: f64,
}

impl WorkFactors {
    /// Records the time of an answer that did not queue at its target.
    pub fn record(&mut self, service: &Service, route: &str, time: Duration) {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.clone(), ServiceWork::default());
        }
        if let Some(work) = self.services.get_mut(service) {
            work.record(route, time);
        }
    }

    /// Work of a request of the route over that of the mean request of the service; 1 if unknown.
    pub fn factor(&self, service: &Service, route: &str) -> f64 {
        let work = self.services.get(service);
        work.map_or(1.0, |work| work.factor(route))
    }
}

impl ServiceWork {
    fn record(&mut self, route: &str, time: Duration) {
        self.answers = (self.answers + 1).min(SHARE_ANSWERS);
        let weight = 1.0 / f64::from(self.answers);
        for known in self.routes.values_mut() {
            known.share *= 1.0 - weight;
        }
        if !self.routes.contains_key(route) {
            self.routes.retain(|_, known| known.share >= MIN_SHARE);
            self.routes.insert(route.to_owned(), RouteWork::default());
        }
        if let Some(own) = self.routes.get_mut(route) {
            own.share += weight;
            own.answers = (own.answers + 1).min(MEAN_ANSWERS);
            let log = time.max(MIN_TIME).as_secs_f64().ln();
            own.log_mean += (log - own.log_mean) / f64::from(own.answers);
        }
    }

    fn factor(&self, route: &str) -> f64 {
        let known = |work: &&RouteWork| work.answers >= MIN_ANSWERS && work.share >= MIN_SHARE;
        let Some(own) = self.routes.get(route).filter(known) else {
            return 1.0;
        };
        let (mut time, mut share, mut answers) = (0.0, 0.0, u32::MAX);
        for work in self.routes.values().filter(known) {
            time += work.share * work.log_mean.exp();
            share += work.share;
            answers = answers.min(work.answers);
        }
        let factor = own.log_mean.exp() * share / time;
        let ramp = f64::from(answers - MIN_ANSWERS + 1) / f64::from(RAMP_ANSWERS);
        factor.clamp(MIN_FACTOR, MAX_FACTOR).powf(ramp.min(1.0))
    }
}
