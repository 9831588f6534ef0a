//! Incarnations that have left before the catalog had them.
//!
//! A target that starts again under its name joins once its former incarnation is silent. If it
//! leaves before that, the catalog has no record of it that could say so, and a report that was
//! under way would admit it. So the leader commits which incarnation of a name has left, before that is
//! acknowledged, and remembers when it learnt so. The next leader takes them over and counts anew.

use crate::{
    moment::Moment,
    name::{Incarnation, Target},
    version::catalog::Catalog,
};
use std::{collections::BTreeMap, time::Duration};

/// Departures that are remembered, as other writers may invent any number of them.
const MAX_DEPARTURES: usize = 1_000;

/// Latest incarnation of a name that has left.
#[derive(Debug, Clone, Copy)]
struct Departure {
    incarnation: Incarnation,
    at: Moment,
}

/// Departures that this leader or a former one acknowledged.
#[derive(Debug, Default)]
pub(super) struct Departures {
    latest: BTreeMap<Target, Departure>,
}

impl Departures {
    /// Departures that were committed before a term that begins now.
    pub(super) fn restore(now: Moment, catalog: &Catalog) -> Self {
        let mut departures = Departures::default();
        for (name, incarnation) in &catalog.departures {
            departures.record(now, name, *incarnation);
        }
        departures
    }

    /// Records that an incarnation has left, and with it all earlier ones. The oldest departure gives way
    /// to one too many.
    pub(super) fn record(&mut self, now: Moment, name: &Target, incarnation: Incarnation) {
        let is_known = self.latest.contains_key(name);
        if !is_known && self.latest.len() >= MAX_DEPARTURES {
            let oldest = self.latest.iter().min_by_key(|(_, latest)| latest.at);
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                self.latest.remove(&oldest);
            }
        }
        let departure = Departure {
            incarnation,
            at: now,
        };
        let latest = self.latest.entry(name.clone()).or_insert(departure);
        if latest.incarnation <= incarnation {
            *latest = departure;
        }
    }

    /// Whether the incarnation or a later one of the same name has left.
    pub(super) fn has_left(&self, name: &Target, incarnation: Incarnation) -> bool {
        let latest = self.latest.get(name);
        latest.is_some_and(|latest| incarnation <= latest.incarnation)
    }

    /// Committed departures that this leader remembers no more.
    pub(super) fn forgotten(&self, catalog: &Catalog) -> Vec<(Target, Incarnation)> {
        let committed = catalog.departures.iter();
        let forgotten = committed.filter(|(name, _)| !self.latest.contains_key(*name));
        forgotten
            .map(|(name, incarnation)| (name.clone(), *incarnation))
            .collect()
    }

    /// Forgets departures of this age, whose reports arrive no more.
    pub(super) fn drop_old(&mut self, now: Moment, age: Duration) {
        self.latest.retain(|_, latest| now.since(latest.at) < age);
    }
}
