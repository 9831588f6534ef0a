//! Desired state of a seeded fleet: named items, each with a version of its own.
//!
//! Operators send a [`Change`], a few items to set or drop. The whole change is checked against the
//! items that stand; if it is good, each item takes effect whose version is higher than the one
//! held, and the others change nothing. So an order that comes twice, late or out of turn does no
//! harm, and two operators who race get the same result everywhere.
//!
//! A dropped item stays as a version without a value, or a late order would bring it back.

mod check;
mod item;
mod routing;

pub use self::{
    check::ChangeError,
    item::{Backend, Item, ItemVersion, RequestLimits, Route, RouteKind, ServiceSpec, WEIGHT_UNIT},
    routing::{RouteMatch, Routing},
};

use crate::name::Service;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Items to set or drop, in one order of an operator.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Routes by name.
    pub routes: BTreeMap<String, Item<Route>>,
    /// Services by name.
    pub services: BTreeMap<Service, Item<ServiceSpec>>,
    /// Limits of requests.
    pub limits: Option<Item<RequestLimits>>,
}

impl Change {
    /// Number of items.
    pub fn len(&self) -> usize {
        self.routes.len() + self.services.len() + self.limits.iter().count()
    }

    /// Whether it holds no item.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drops the words of the operator, which are most of its size.
    pub fn drop_sources(&mut self) {
        drop_sources(&mut self.routes, &mut self.services, &mut self.limits);
    }
}

/// All items, those that were dropped included.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DesiredState {
    /// Routes by name.
    pub routes: BTreeMap<String, Item<Route>>,
    /// Services by name.
    pub services: BTreeMap<Service, Item<ServiceSpec>>,
    /// Limits of requests.
    pub limits: Option<Item<RequestLimits>>,
}

impl DesiredState {
    /// Puts a change in force, all of it or none. Gives the number of items that changed.
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

    /// Drops the words of the operators; what is in force stays the same.
    pub fn drop_sources(&mut self) {
        drop_sources(&mut self.routes, &mut self.services, &mut self.limits);
    }

    /// Whether no order was ever put in force.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty() && self.services.is_empty() && self.limits.is_none()
    }

    /// Settings of a service that stands.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name)?.value.as_ref()
    }

    /// Limits in force, or the defaults until an operator sets some.
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

/// Takes over the items of a higher version; gives their number.
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
