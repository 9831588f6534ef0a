//! Incarnations that have left before the catalog had them.
//!
//! A target that starts again under its name joins once its former incarnation is silent. If it
//! leaves before that, the catalog has no record of it that could say so, and a report that was
//! under way would admit it. So the leader remembers which incarnation of a name has left.

use crate::{
    moment::Moment,
    name::{Incarnation, Target},
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

/// Departures that this leader acknowledged.
#[derive(Debug, Default)]
pub(super) struct Departures {
    latest: BTreeMap<Target, Departure>,
}

impl Departures {
    /// Records that an incarnation has left, and with it all earlier ones.
    pub(super) fn record(&mut self, now: Moment, name: &Target, incarnation: Incarnation) {
        let is_known = self.latest.contains_key(name);
        if !is_known && self.latest.len() >= MAX_DEPARTURES {
            return;
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

    /// Forgets departures of this age, whose reports arrive no more.
    pub(super) fn drop_old(&mut self, now: Moment, age: Duration) {
        self.latest.retain(|_, latest| now.since(latest.at) < age);
    }
}
