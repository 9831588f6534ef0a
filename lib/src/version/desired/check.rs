//! Validation of an operator's change: every route must be able to send requests to a known service,
//! and a version must not stand for two contents.
//!
//! A change is judged by the state to which it would lead. The leader does so before it proposes the
//! change ([`DesiredState::admit`]), and proposes only the items that take effect. Replicas apply
//! what is committed by [`DesiredState::check`], which stays as it is: all releases have to come to
//! the same result for an entry of the log.
//!
//! Two changes in flight may each be valid alone and invalid together. Only the removal of a service
//! can do that, so [`ChangesInFlight`] lets such a change pass alone.

use super::{
    Change, DesiredState,
    item::{Item, ItemVersion, Route, ServiceSpec},
};
use crate::name::Service;
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    time::Duration,
};
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
    /// The change would remove a service to which a route sends requests.
    #[error(
        "the service `{service}` is named by the route `{route}`; remove the route or send it to \
         another service first"
    )]
    ServiceInUse {
        /// Service to be removed.
        service: Service,
        /// Route that names it.
        route: String,
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

/// Changes that are proposed and not applied yet, as far as the next one has to wait for them.
#[derive(Debug, Default)]
pub struct ChangesInFlight {
    all: BTreeSet<u64>,
    removal: Option<u64>,
}

impl ChangesInFlight {
    /// Whether the change can be judged now, by the state in force alone.
    pub fn allows(&self, change: &Change) -> bool {
        self.removal.is_none() && (self.all.is_empty() || !change.removes_service())
    }

    /// Records that the change is proposed under this number.
    pub fn begin(&mut self, number: u64, change: &Change) {
        self.all.insert(number);
        if change.removes_service() {
            self.removal = Some(number);
        }
    }

    /// Records that a proposal is applied or has failed; whether it was a change.
    pub fn end(&mut self, number: u64) -> bool {
        self.removal = self.removal.filter(|removal| *removal != number);
        self.all.remove(&number)
    }
}

impl Change {
    fn removes_service(&self) -> bool {
        self.services.values().any(|item| item.value.is_none())
    }
}

impl DesiredState {
    /// Returns the items of the change that take effect, provided that the state to which they lead
    /// is valid. Nothing is left of a change that newer ones have overtaken.
    pub fn admit(&self, change: Change) -> Result<Change, ChangeError> {
        let (admitted, errors) = self.judge(change);
        match errors.into_iter().next() {
            Some(error) => Err(error),
            None => Ok(admitted),
        }
    }

    /// Returns the items of the change that are newer than those in force, and all errors for which
    /// the change is refused.
    pub(super) fn judge(&self, mut change: Change) -> (Change, Vec<ChangeError>) {
        let mut errors = Vec::new();
        for (name, item) in &change.routes {
            if let Some(route) = &item.value {
                errors.extend(route_errors(name, route));
                errors.extend(self.check_services_known(&change, name, route).err());
            }
        }
        errors.extend(self.conflicts(&change));
        retain_newer(&mut change.routes, &self.routes);
        retain_newer(&mut change.services, &self.services);
        let held = self.limits.as_ref().map(|item| item.version);
        change.limits = change.limits.filter(|item| held < Some(item.version));
        for error in self.services_not_in_force(&change) {
            if !errors.contains(&error) {
                errors.push(error);
            }
        }
        (change, errors)
    }

    /// Checks that each service of a route is part of the change or was in force at some time. An
    /// overtaken route may name a service that was removed since.
    fn check_services_known(
        &self,
        change: &Change,
        name: &str,
        route: &Route,
    ) -> Result<(), ChangeError> {
        let mut services = route.backends.iter().map(|backend| &backend.service);
        let unknown = services.find(|service| {
            let sent = change.services.get(*service);
            let is_sent = sent.is_some_and(|item| item.value.is_some());
            !is_sent && !self.services.contains_key(*service)
        });
        match unknown {
            None => Ok(()),
            Some(service) => Err(unknown_service(name, service)),
        }
    }

    /// Routes that name a removed or unknown service once the change, which has only newer items, is
    /// in force.
    fn services_not_in_force(&self, change: &Change) -> Vec<ChangeError> {
        let mut errors = Vec::new();
        for (name, item) in &change.routes {
            let missing = item.value.as_ref().and_then(|route| {
                let mut services = route.backends.iter().map(|backend| &backend.service);
                services.find(|service| self.service_after(change, service).is_none())
            });
            if let Some(service) = missing {
                errors.push(unknown_service(name, service));
            }
        }
        if !change.removes_service() {
            return errors;
        }
        let kept = self.routes.iter();
        let kept = kept.filter(|(name, _)| !change.routes.contains_key(*name));
        for (name, item) in kept {
            let backends = item.value.iter().flat_map(|route| &route.backends);
            let mut services = backends.map(|backend| &backend.service);
            let removed = services.find(|service| {
                let sent = change.services.get(*service);
                sent.is_some_and(|item| item.value.is_none())
            });
            if let Some(service) = removed {
                errors.push(ChangeError::ServiceInUse {
                    service: service.clone(),
                    route: name.clone(),
                });
            }
        }
        errors
    }

    fn service_after<'a>(&'a self, change: &'a Change, name: &Service) -> Option<&'a ServiceSpec> {
        let sent = change.services.get(name);
        sent.or_else(|| self.services.get(name))?.value.as_ref()
    }

    /// Checks that the whole change is valid against the items in force.
    pub(super) fn check(&self, change: &Change) -> Result<(), ChangeError> {
        for (name, item) in &change.routes {
            if let Some(route) = &item.value {
                self.check_route(change, name, route)?;
            }
        }
        self.check_versions(change)
    }

    /// Checks that no item has the version in force and other content.
    fn check_versions(&self, change: &Change) -> Result<(), ChangeError> {
        self.conflicts(change)
            .into_iter()
            .next()
            .map_or(Ok(()), Err)
    }

    fn conflicts(&self, change: &Change) -> Vec<ChangeError> {
        let mut errors = conflicts("route", &self.routes, &change.routes);
        errors.extend(conflicts("service", &self.services, &change.services));
        if let (Some(old), Some(new)) = (&self.limits, &change.limits) {
            errors.extend(check_conflict("limits", "limits", old, new).err());
        }
        errors
    }

    fn check_route(&self, change: &Change, name: &str, route: &Route) -> Result<(), ChangeError> {
        if let Some(error) = route_errors(name, route).into_iter().next() {
            return Err(error);
        }
        let unknown = route.backends.iter().find(|backend| {
            let sent = change.services.get(&backend.service);
            let known = sent.is_some_and(|item| item.value.is_some());
            !known && self.service(backend.service.as_str()).is_none()
        });
        match unknown {
            None => Ok(()),
            Some(backend) => Err(unknown_service(name, &backend.service)),
        }
    }
}

/// Errors in what a route says by itself.
fn route_errors(name: &str, route: &Route) -> Vec<ChangeError> {
    let mut errors = Vec::new();
    if !route.prefix.starts_with('/') {
        errors.push(ChangeError::BarePrefix(name.to_owned()));
    }
    if route.timeout.is_zero() {
        errors.push(ChangeError::NoTimeout(name.to_owned()));
    }
    if route.timeout > MAX_TIMEOUT {
        errors.push(ChangeError::LongTimeout(name.to_owned()));
    }
    let total: u64 = route.backends.iter().map(|b| u64::from(b.weight)).sum();
    if total == 0 {
        errors.push(ChangeError::NoWeight(name.to_owned()));
    }
    errors
}

fn unknown_service(route: &str, service: &Service) -> ChangeError {
    ChangeError::UnknownService {
        route: route.to_owned(),
        service: service.clone(),
    }
}

fn retain_newer<K: Ord, T>(sent: &mut BTreeMap<K, Item<T>>, held: &BTreeMap<K, Item<T>>) {
    sent.retain(|name, new| held.get(name).is_none_or(|old| old.version < new.version));
}

/// Checks all items of one kind with [`check_conflict`].
fn conflicts<K: Ord + fmt::Display, T: PartialEq>(
    kind: &'static str,
    held: &BTreeMap<K, Item<T>>,
    sent: &BTreeMap<K, Item<T>>,
) -> Vec<ChangeError> {
    let both = sent.iter().filter_map(|(name, new)| {
        let old = held.get(name)?;
        check_conflict(kind, &name.to_string(), old, new).err()
    });
    both.collect()
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
