//! The routes in force, arranged for looking one up.

use super::{DesiredState, item::Route};
use crate::name::Service;
use std::collections::HashMap;

/// Route that a request takes.
#[derive(Debug, Clone, Copy)]
pub struct RouteMatch<'a> {
    /// Name of the route.
    pub name: &'a str,
    /// The route.
    pub route: &'a Route,
    /// Whether more urgent routes lead to a service of this one.
    pub last: bool,
}

#[derive(Debug, Clone)]
struct Placed {
    name: String,
    route: Route,
    last: bool,
}

/// Routes of each host, the longest prefix first.
#[derive(Debug, Clone, Default)]
pub struct Routing {
    hosts: HashMap<String, Vec<Placed>>,
}

impl Routing {
    /// Arranges the routes that stand.
    pub fn of(desired: &DesiredState) -> Self {
        let first = most_urgent(desired);
        let mut hosts: HashMap<String, Vec<Placed>> = HashMap::new();
        for (name, item) in &desired.routes {
            if let Some(route) = &item.value {
                let mut backends = route.backends.iter();
                let host = hosts.entry(route.host.to_ascii_lowercase()).or_default();
                host.push(Placed {
                    name: name.clone(),
                    route: route.clone(),
                    last: backends.any(|b| first[&b.service] < route.priority),
                });
            }
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|placed| std::cmp::Reverse(placed.route.prefix.len()));
        }
        Routing { hosts }
    }

    /// Route of a request: among those of its host, the one with the longest prefix of its path.
    pub fn find(&self, host: &str, path: &str) -> Option<RouteMatch<'_>> {
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        let found = routes
            .iter()
            .find(|placed| path.starts_with(&placed.route.prefix))?;
        Some(RouteMatch {
            name: &found.name,
            route: &found.route,
            last: found.last,
        })
    }
}

/// Rank of the most urgent route to each service.
fn most_urgent(desired: &DesiredState) -> HashMap<&Service, u32> {
    let mut first: HashMap<&Service, u32> = HashMap::new();
    for route in desired
        .routes
        .values()
        .filter_map(|item| item.value.as_ref())
    {
        for backend in &route.backends {
            let rank = first.entry(&backend.service).or_insert(route.priority);
            *rank = route.priority.min(*rank);
        }
    }
    first
}
