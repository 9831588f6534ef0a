//! Whether a change may be put in force.

use super::{
    Change, DesiredState,
    item::{Item, ItemVersion, Route},
};
use crate::name::Service;
use std::{collections::BTreeMap, fmt, time::Duration};
use thiserror::Error;

/// Longest time limit of a route.
const MAX_TIMEOUT: Duration = Duration::from_secs(600);

/// Why a change is refused. Nothing of it is in force.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// The service is neither in force nor part of the change.
    #[error("route `{route}` names the unknown service `{service}`; add the service first")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: Service,
    },
    /// No backend would get a request.
    #[error("the weights of route `{0}` add up to 0; give one backend a weight")]
    NoWeight(String),
    /// A limit of zero lets nothing through.
    #[error("the timeout of route `{0}` is 0; set one above it")]
    NoTimeout(String),
    /// The limit is too long.
    #[error("the timeout of route `{0}` is over ten minutes; shorten it")]
    LongTimeout(String),
    /// Paths begin with a slash.
    #[error("the path prefix of route `{0}` does not begin with a slash; add it")]
    BarePrefix(String),
    /// Two orders give one version different content.
    #[error("{kind} `{name}` has other content under version {version}; send a higher version")]
    Conflict {
        /// Kind of the item.
        kind: &'static str,
        /// Its name.
        name: String,
        /// The version of both.
        version: ItemVersion,
    },
}

impl DesiredState {
    /// Whether the change is good as a whole.
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

/// Refuses other content under the version held.
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
