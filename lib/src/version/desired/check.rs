//! Validation of an operator's change against the items in force: every route must be able to send
//! requests to a known service, and a version must not stand for two contents.

use super::{
    Change, DesiredState,
    item::{Item, ItemVersion, Route},
};
use crate::name::Service;
use std::{collections::BTreeMap, fmt, time::Duration};
use thiserror::Error;

/// Longest timeout that a route may set.
const MAX_TIMEOUT: Duration = Duration::from_secs(600);

/// Why a change is refused. No part of a refused change takes effect.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// A route refers to a service that is neither in force nor part of the change.
    #[error("route `{route}` names the unknown service `{service}`; add the service first")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Unknown service that the route refers to.
        service: Service,
    },
    /// All backends of the route have weight 0, so none would get a request.
    #[error("the weights of route `{0}` add up to 0; give at least one backend a weight above 0")]
    NoWeight(String),
    /// The timeout of the route is 0, which no request could meet.
    #[error("the timeout of route `{0}` is 0; set a timeout above 0")]
    NoTimeout(String),
    /// The timeout of the route exceeds the maximum.
    #[error("the timeout of route `{0}` exceeds ten minutes; shorten it")]
    LongTimeout(String),
    /// The path prefix does not begin with a slash, so no request path could match it.
    #[error("the path prefix of route `{0}` does not begin with a slash; put one in front")]
    BarePrefix(String),
    /// The item in force has the same version and different content.
    #[error("{kind} `{name}` has other content at version {version}; send a higher version")]
    Conflict {
        /// Kind of the item: route, service or limits.
        kind: &'static str,
        /// Name of the item.
        name: String,
        /// Version that both contents have.
        version: ItemVersion,
    },
}

impl DesiredState {
    /// Checks that the whole change is valid against the items in force.
    pub fn check(&self, change: &Change) -> Result<(), ChangeError> {
        for (name, item) in &change.routes {
            if let Some(route) = &item.value {
                self.check_route(change, name, route)?;
            }
        }
        check_conflicts("route", &self.routes, &change.routes)?;
        check_conflicts("service", &self.services, &change.services)?;
        match (&self.limits, &change.limits) {
            (Some(old), Some(new)) => check_conflict("limits", "limits", old, new),
            _ => Ok(()),
        }
    }

    fn check_route(&self, change: &Change, name: &str, route: &Route) -> Result<(), ChangeError> {
        if !route.prefix.starts_with('/') {
            return Err(ChangeError::BarePrefix(name.to_owned()));
        }
        if route.timeout.is_zero() {
            return Err(ChangeError::NoTimeout(name.to_owned()));
        }
        if route.timeout > MAX_TIMEOUT {
            return Err(ChangeError::LongTimeout(name.to_owned()));
        }
        let total: u64 = route.backends.iter().map(|b| u64::from(b.weight)).sum();
        if total == 0 {
            return Err(ChangeError::NoWeight(name.to_owned()));
        }
        let unknown = route.backends.iter().find(|backend| {
            let sent = change.services.get(&backend.service);
            let known = sent.is_some_and(|item| item.value.is_some());
            !known && self.service(backend.service.as_str()).is_none()
        });
        match unknown {
            None => Ok(()),
            Some(backend) => Err(ChangeError::UnknownService {
                route: name.to_owned(),
                service: backend.service.clone(),
            }),
        }
    }
}

/// Checks all items of one kind with [`check_conflict`].
fn check_conflicts<K: Ord + fmt::Display, T: PartialEq>(
    kind: &'static str,
    held: &BTreeMap<K, Item<T>>,
    sent: &BTreeMap<K, Item<T>>,
) -> Result<(), ChangeError> {
    for (name, new) in sent {
        if let Some(old) = held.get(name) {
            check_conflict(kind, &name.to_string(), old, new)?;
        }
    }
    Ok(())
}

/// Refuses an item that has the version in force but different content.
fn check_conflict<T: PartialEq>(
    kind: &'static str,
    name: &str,
    old: &Item<T>,
    new: &Item<T>,
) -> Result<(), ChangeError> {
    if old.version != new.version || old.value == new.value {
        return Ok(());
    }
    Err(ChangeError::Conflict {
        kind,
        name: name.to_owned(),
        version: new.version,
    })
}
