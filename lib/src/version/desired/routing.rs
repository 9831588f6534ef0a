//! Lookup of the route of a request by host and path, from the routes in force.

use super::{DesiredState, item::Route};
use crate::name::Service;
use std::collections::HashMap;

/// Route that matches a request.
#[derive(Debug, Clone, Copy)]
pub struct RouteMatch<'a> {
    /// Name of the route.
    pub name: &'a str,
    /// Matching route.
    pub route: &'a Route,
    /// Whether one of the route's services also has a more urgent route.
    pub lowest_priority: bool,
}

#[derive(Debug, Clone)]
struct IndexedRoute {
    name: String,
    route: Route,
    lowest_priority: bool,
}

/// Routes of each host, the longest prefix first.
#[derive(Debug, Clone, Default)]
pub struct Routing {
    hosts: HashMap<String, Vec<IndexedRoute>>,
}

impl Routing {
    /// Indexes the routes in force.
    pub fn of(desired: &DesiredState) -> Self {
        let most_urgent = most_urgent_priorities(desired);
        let mut hosts: HashMap<String, Vec<IndexedRoute>> = HashMap::new();
        for (name, item) in &desired.routes {
            if let Some(route) = &item.value {
                let mut backends = route.backends.iter();
                let host = hosts.entry(route.host.to_ascii_lowercase()).or_default();
                host.push(IndexedRoute {
                    name: name.clone(),
                    route: route.clone(),
                    lowest_priority: backends.any(|b| most_urgent[&b.service] < route.priority),
                });
            }
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|indexed| std::cmp::Reverse(indexed.route.prefix.len()));
        }
        Routing { hosts }
    }

    /// Finds the route of a request: among the routes of its host, the one with the longest prefix
    /// of its path.
    pub fn find(&self, host: &str, path: &str) -> Option<RouteMatch<'_>> {
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        let found = routes
            .iter()
            .find(|indexed| path.starts_with(&indexed.route.prefix))?;
        Some(RouteMatch {
            name: &found.name,
            route: &found.route,
            lowest_priority: found.lowest_priority,
        })
    }
}

/// Priority of the most urgent route to each service.
fn most_urgent_priorities(desired: &DesiredState) -> HashMap<&Service, u32> {
    let mut ranks: HashMap<&Service, u32> = HashMap::new();
    for route in desired
        .routes
        .values()
        .filter_map(|item| item.value.as_ref())
    {
        for backend in &route.backends {
            let priority = ranks.entry(&backend.service).or_insert(route.priority);
            *priority = route.priority.min(*priority);
        }
    }
    ranks
}
