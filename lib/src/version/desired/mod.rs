//! Desired state of a seeded fleet: named items, each with a version of its own.
//!
//! Operators send a [`Change`] with items to set or remove. The leader validates the state to which
//! the whole change would lead. If it is valid, each item with a higher version than the one in force takes
//! effect, and the others change nothing. Changes are therefore idempotent and may arrive late or
//! out of order, and a race between two operators has the same result on every replica.
//!
//! A removed item is kept as a version without a value; otherwise a late change could restore it.

mod check;
mod item;
mod review;
mod routing;

pub use self::{
    check::{ChangeError, ChangesInFlight},
    item::{Backend, Item, ItemVersion, RequestLimits, Route, RouteKind, ServiceSpec, WEIGHT_UNIT},
    review::{Difference, DifferenceKind, FieldChange, Finding, Review, Severity, Term, Translate},
    routing::{RouteMatch, Routing},
};

use crate::name::Service;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Items to set or remove that an operator sends in one call.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Routes by name.
    pub routes: BTreeMap<String, Item<Route>>,
    /// Services by name.
    pub services: BTreeMap<Service, Item<ServiceSpec>>,
    /// Limits on requests, if the change sets them.
    pub limits: Option<Item<RequestLimits>>,
}

impl Change {
    /// Number of items in the change.
    pub fn len(&self) -> usize {
        self.routes.len() + self.services.len() + self.limits.iter().count()
    }

    /// Whether the change has no item.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drops the sources of all items, which make up most of the size of a change.
    pub fn drop_sources(&mut self) {
        drop_sources(&mut self.routes, &mut self.services, &mut self.limits);
    }
}

/// All items, including the versions of removed ones.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DesiredState {
    /// Routes by name.
    pub routes: BTreeMap<String, Item<Route>>,
    /// Services by name.
    pub services: BTreeMap<Service, Item<ServiceSpec>>,
    /// Limits on requests, if an operator ever set them.
    pub limits: Option<Item<RequestLimits>>,
}

impl DesiredState {
    /// Applies a change, all of it or none, and returns the number of items that changed.
    pub fn apply(&mut self, change: &Change) -> Result<usize, ChangeError> {
        self.check(change)?;
        let routes = merge(&mut self.routes, &change.routes);
        let services = merge(&mut self.services, &change.services);
        let limits = change
            .limits
            .iter()
            .filter(|new| {
                self.limits
                    .as_ref()
                    .is_none_or(|old| old.version < new.version)
            })
            .count();
        if limits > 0 {
            self.limits.clone_from(&change.limits);
        }
        Ok(routes + services + limits)
    }

    /// Drops the sources of all items; versions and values stay.
    pub fn drop_sources(&mut self) {
        drop_sources(&mut self.routes, &mut self.services, &mut self.limits);
    }

    /// Whether no change was ever applied.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty() && self.services.is_empty() && self.limits.is_none()
    }

    /// Settings of a service that is in force.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name)?.value.as_ref()
    }

    /// Limits in force; the defaults if no operator has set any.
    pub fn limits(&self) -> RequestLimits {
        let set = self.limits.as_ref().and_then(|item| item.value);
        set.unwrap_or_default()
    }
}

fn drop_sources(
    routes: &mut BTreeMap<String, Item<Route>>,
    services: &mut BTreeMap<Service, Item<ServiceSpec>>,
    limits: &mut Option<Item<RequestLimits>>,
) {
    let routes = routes.values_mut().map(|item| &mut item.source);
    let services = services.values_mut().map(|item| &mut item.source);
    let limits = limits.iter_mut().map(|item| &mut item.source);
    for source in routes.chain(services).chain(limits) {
        *source = String::new();
    }
}

/// Replaces the items of which a higher version was sent, and returns their number.
fn merge<K, T>(held: &mut BTreeMap<K, Item<T>>, sent: &BTreeMap<K, Item<T>>) -> usize
where
    K: Ord + Clone,
    T: Clone,
{
    let mut changed = 0;
    for (name, item) in sent {
        let is_newer = held.get(name).is_none_or(|old| old.version < item.version);
        if is_newer {
            held.insert(name.clone(), item.clone());
            changed += 1;
        }
    }
    changed
}
