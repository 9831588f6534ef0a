//! The routes in force, arranged for looking one up.

use super::{DesiredState, item::Route};
use std::collections::HashMap;

/// Route that a request takes.
#[derive(Debug, Clone, Copy)]
pub struct RouteMatch<'a> {
    /// Name of the route.
    pub name: &'a str,
    /// The route.
    pub route: &'a Route,
}

/// Routes of each host, the longest prefix first.
#[derive(Debug, Clone, Default)]
pub struct Routing {
    hosts: HashMap<String, Vec<(String, Route)>>,
}

impl Routing {
    /// Arranges the routes that stand.
    pub fn of(desired: &DesiredState) -> Self {
        let mut hosts: HashMap<String, Vec<(String, Route)>> = HashMap::new();
        for (name, item) in &desired.routes {
            if let Some(route) = &item.value {
                let host = hosts.entry(route.host.to_ascii_lowercase()).or_default();
                host.push((name.clone(), route.clone()));
            }
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|(_, route)| std::cmp::Reverse(route.prefix.len()));
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
            .find(|(_, route)| path.starts_with(&route.prefix))?;
        Some(RouteMatch {
            name: &found.0,
            route: &found.1,
        })
    }
}
