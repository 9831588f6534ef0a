//! Review of a change before an operator sends it: errors for which the leader would refuse it, items
//! without effect, limits that contradict each other, and differences from the items in force.
//!
//! The errors are those of the leader's own check, [`DesiredState::judge`], so that the review and the
//! leader cannot disagree. The words of the operator's file are those of its format, so the review knows
//! them as [`Term`]s only, and its caller translates these.

use super::{Change, ChangeError, DesiredState, Item, Route, ServiceSpec, merge};
use crate::{name::Service, process::unit::HumanDuration};
use serde::Serialize;
use serde_json::Value;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Word of the operator's file that a review needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Term {
    /// Field with the version of any item.
    Version,
    /// Field of [`Route::latency_goal`].
    LatencyGoal,
    /// Field of [`Route::timeout`].
    Timeout,
    /// Field of [`Route::attempts`].
    Attempts,
    /// Field of [`Route::kind`].
    Kind,
    /// Value of [`Route::kind`] for requests that may run twice.
    Idempotent,
    /// Field of [`ServiceSpec::cold_rate`].
    ColdRate,
    /// Field of [`ServiceSpec::cold_period`].
    ColdPeriod,
    /// Field of [`RequestLimits::head_time`](super::RequestLimits::head_time).
    HeadTime,
    /// Field of [`RequestLimits::idle_time`](super::RequestLimits::idle_time).
    IdleTime,
}

/// Translates a term to the word of the operator's file.
pub type Translate = fn(Term) -> &'static str;

/// How bad a finding is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// The leader refuses the change.
    Error,
    /// The change is valid, but a part of it does not do what it says.
    Warning,
}

/// Something wrong in a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// How bad it is.
    pub severity: Severity,
    /// The item, such as ``route `r` ``.
    pub place: String,
    /// What is wrong.
    pub problem: String,
    /// The value that is wrong, where there is one.
    pub value: Option<String>,
    /// What to do.
    pub remedy: String,
}

/// How an item differs from the one in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DifferenceKind {
    /// It is not in force.
    Added,
    /// It is in force, and the change removes it or a whole set does not have it.
    Removed,
    /// It has other content at a higher version.
    Changed,
}

/// Difference of one item from the items in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// How it differs.
    pub kind: DifferenceKind,
    /// The item.
    pub place: String,
    /// Its fields that differ, as the operator names them.
    pub fields: Vec<FieldChange>,
}

/// Field that differs; an absent value is a field that is not there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FieldChange {
    /// Name of the field.
    pub name: String,
    /// Value in force.
    pub old: Option<Value>,
    /// Value of the change.
    pub new: Option<Value>,
}

/// What a review of a change finds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Review {
    /// What is wrong, errors first.
    pub findings: Vec<Finding>,
    /// What differs from the items in force, if these are known.
    pub differences: Vec<Difference>,
}

impl Review {
    /// Reviews a change against the items in force. A change that is a whole set of items, or is
    /// reviewed against those in force, names all services that its routes may name.
    pub fn of(
        change: &Change,
        in_force: Option<&DesiredState>,
        is_set: bool,
        word: Translate,
    ) -> Self {
        let empty = DesiredState::default();
        let held = in_force.unwrap_or(&empty);
        let is_complete = is_set || in_force.is_some();
        let (newer, errors) = held.judge(change.clone());
        let mut findings: Vec<_> = errors
            .iter()
            .map(|error| explain(error, change, held, is_complete))
            .collect();
        let mut after = if is_set { empty.clone() } else { held.clone() };
        let applied = if is_set { change } else { &newer };
        merge(&mut after.routes, &applied.routes);
        merge(&mut after.services, &applied.services);
        if applied.limits.is_some() {
            after.limits.clone_from(&applied.limits);
        }
        findings.extend(without_effect(&after, is_complete));
        findings.extend(contradictions(&after, word));
        let mut review = Review {
            findings,
            differences: Vec::new(),
        };
        if let Some(held) = in_force {
            let limits = |item: &Option<_>| -> BTreeMap<String, _> {
                item.iter()
                    .cloned()
                    .map(|item| (String::new(), item))
                    .collect()
            };
            review.compare("route", &held.routes, &change.routes, is_set, word);
            review.compare("service", &held.services, &change.services, is_set, word);
            let (old, new) = (limits(&held.limits), limits(&change.limits));
            review.compare("limits", &old, &new, is_set, word);
        }
        review.findings.sort_by_key(|finding| finding.severity);
        review
    }

    /// Severity of the worst finding.
    pub fn worst(&self) -> Option<Severity> {
        self.findings.iter().map(|finding| finding.severity).min()
    }

    /// Adds the differences of the items of one kind, and warns of those that change nothing.
    fn compare<K: Ord + ToString, T: PartialEq>(
        &mut self,
        kind: &str,
        held: &BTreeMap<K, Item<T>>,
        sent: &BTreeMap<K, Item<T>>,
        is_set: bool,
        word: Translate,
    ) {
        for (name, new) in sent {
            let place = place(kind, &name.to_string());
            let old = held.get(name);
            if let Some(old) = old.filter(|old| new.version < old.version) {
                self.findings.push(Finding {
                    severity: Severity::Warning,
                    place,
                    problem: format!(
                        "changes nothing, as version {:08x} is in force",
                        old.version.0
                    ),
                    value: Some(format!("{:08x}", new.version.0)),
                    remedy: "send a higher version".to_owned(),
                });
                continue;
            }
            // An item at the version in force is the same or refused.
            let is_newer = old.is_none_or(|old| old.version < new.version);
            let before = old.filter(|old| old.value.is_some());
            let kind = match (before, &new.value) {
                _ if !is_newer => continue,
                (None, None) => continue,
                (None, Some(_)) => DifferenceKind::Added,
                (Some(_), None) => DifferenceKind::Removed,
                (Some(_), Some(_)) => DifferenceKind::Changed,
            };
            let fields = match (kind, before) {
                (DifferenceKind::Changed, Some(old)) => {
                    changed_fields(&old.source, &new.source, word)
                }
                _ => Vec::new(),
            };
            self.differences.push(Difference {
                kind,
                place,
                fields,
            });
        }
        let missing = held
            .iter()
            .filter(|(name, old)| is_set && old.value.is_some() && !sent.contains_key(*name));
        self.differences.extend(missing.map(|(name, _)| Difference {
            kind: DifferenceKind::Removed,
            place: place(kind, &name.to_string()),
            fields: Vec::new(),
        }));
    }
}

fn place(kind: &str, name: &str) -> String {
    match name {
        "" => kind.to_owned(),
        _ => format!("{kind} `{name}`"),
    }
}

fn warning(
    place: String,
    problem: String,
    value: impl Into<Option<String>>,
    remedy: impl Into<String>,
) -> Finding {
    Finding {
        severity: Severity::Warning,
        place,
        problem,
        value: value.into(),
        remedy: remedy.into(),
    }
}

/// The finding of an error of the leader's check, whose text has the remedy behind a semicolon.
fn explain(
    error: &ChangeError,
    change: &Change,
    held: &DesiredState,
    is_complete: bool,
) -> Finding {
    let text = error.to_string();
    let (problem, remedy) = text.split_once("; ").unwrap_or((&text, ""));
    let route = |name: &String| -> Option<&Route> {
        let sent = change.routes.get(name).or_else(|| held.routes.get(name));
        sent?.value.as_ref()
    };
    let span = |name| route(name).map(|route| HumanDuration(route.timeout).to_string());
    let (item, value) = match error {
        ChangeError::UnknownService { route, service } => {
            (place("route", route), Some(service.to_string()))
        }
        ChangeError::ServiceInUse { service, route } => {
            (place("service", service.as_str()), Some(route.clone()))
        }
        ChangeError::NoWeight(name) => (place("route", name), Some("0".to_owned())),
        ChangeError::NoTimeout(name) | ChangeError::LongTimeout(name) => {
            (place("route", name), span(name))
        }
        ChangeError::BarePrefix(name) => {
            let prefix = route(name).map(|route| route.prefix.clone());
            (place("route", name), prefix)
        }
        ChangeError::Conflict {
            kind,
            name,
            version,
        } => {
            let name = if kind == name { "" } else { name.as_str() };
            (place(kind, name), Some(format!("{:08x}", version.0)))
        }
    };
    // Without the items in force, the service may be one of them.
    let is_certain = is_complete || !matches!(error, ChangeError::UnknownService { .. });
    Finding {
        severity: match is_certain {
            true => Severity::Error,
            false => Severity::Warning,
        },
        place: item,
        problem: problem.to_owned(),
        value,
        remedy: match is_certain {
            true => remedy.to_owned(),
            false => format!("{remedy}, unless it is in force"),
        },
    }
}

/// Values of the items of one kind.
fn values<K, T>(items: &BTreeMap<K, Item<T>>) -> impl Iterator<Item = (&K, &T)> {
    let values = items.iter();
    values.filter_map(|(name, item)| Some((name, item.value.as_ref()?)))
}

/// Items that no request can reach.
fn without_effect(after: &DesiredState, is_complete: bool) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut seen: BTreeMap<(String, &str), &String> = BTreeMap::new();
    let mut named: BTreeSet<&Service> = BTreeSet::new();
    for (name, route) in values(&after.routes) {
        named.extend(route.backends.iter().map(|backend| &backend.service));
        // Routing takes the first by name of two routes with the same host and prefix.
        let key = (route.host.to_ascii_lowercase(), route.prefix.as_str());
        match seen.get(&key) {
            Some(first) => findings.push(warning(
                place("route", name),
                format!("never matches: route `{first}` has the same host and prefix"),
                format!("{}{}", route.host, route.prefix),
                "remove one of the two, or change its host or prefix",
            )),
            None => drop(seen.insert(key, name)),
        }
        let unused = route.backends.iter().filter(|backend| backend.weight == 0);
        let unused: Vec<_> = unused.map(|backend| backend.service.as_str()).collect();
        if !unused.is_empty() && unused.len() + 1 == route.backends.len() {
            findings.push(warning(
                place("route", name),
                "all backends but one have weight 0 and get no request".to_owned(),
                unused.join(", "),
                "remove them, or give them a weight above 0",
            ));
        }
    }
    let services = values(&after.services).filter(|(name, _)| is_complete && !named.contains(name));
    findings.extend(services.map(|(name, _)| {
        warning(
            place("service", name.as_str()),
            "no route sends requests to it".to_owned(),
            None,
            "add a route, or remove the service",
        )
    }));
    findings
}

/// Limits of one item that contradict each other.
fn contradictions(after: &DesiredState, word: Translate) -> Vec<Finding> {
    let span = |span: Duration| HumanDuration(span).to_string();
    let mut findings = Vec::new();
    for (name, route) in values(&after.routes) {
        if route.latency_goal > route.timeout {
            findings.push(warning(
                place("route", name),
                format!(
                    "the latency goal exceeds the timeout of {}",
                    span(route.timeout)
                ),
                span(route.latency_goal),
                format!(
                    "lower `{}`, or raise `{}`",
                    word(Term::LatencyGoal),
                    word(Term::Timeout)
                ),
            ));
        }
        if route.attempts > 1 && !route.kind.is_idempotent() {
            findings.push(warning(
                place("route", name),
                "more than one attempt, though its requests are not idempotent".to_owned(),
                route.attempts.to_string(),
                format!(
                    "set `{}` to 1, or `{}` to `{}` if they may run twice",
                    word(Term::Attempts),
                    word(Term::Kind),
                    word(Term::Idempotent)
                ),
            ));
        }
    }
    for (name, service) in values(&after.services) {
        let ServiceSpec {
            cold_rate,
            cold_period,
            ..
        } = service;
        if *cold_rate == 0 && !cold_period.is_zero() {
            findings.push(warning(
                place("service", name.as_str()),
                format!("a cold target gets no request for {}", span(*cold_period)),
                "0".to_owned(),
                format!(
                    "raise `{}` above 0, or leave out `{}`",
                    word(Term::ColdRate),
                    word(Term::ColdPeriod)
                ),
            ));
        }
    }
    let limits = after.limits();
    if limits.head_time > limits.idle_time {
        findings.push(warning(
            "limits".to_owned(),
            format!(
                "the time for a head exceeds the idle time of {}",
                span(limits.idle_time)
            ),
            span(limits.head_time),
            format!(
                "lower `{}`, or raise `{}`",
                word(Term::HeadTime),
                word(Term::IdleTime)
            ),
        ));
    }
    findings
}

/// Fields in which two items differ, as the operator wrote them; the version is none of them.
fn changed_fields(old: &str, new: &str, word: Translate) -> Vec<FieldChange> {
    let parse = |text| serde_json::from_str::<BTreeMap<String, Value>>(text).unwrap_or_default();
    let (old, new) = (parse(old), parse(new));
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let names = names
        .into_iter()
        .filter(|name| name.as_str() != word(Term::Version));
    let changed = names.filter(|name| old.get(*name) != new.get(*name));
    changed
        .map(|name| FieldChange {
            name: name.clone(),
            old: old.get(name).cloned(),
            new: new.get(name).cloned(),
        })
        .collect()
}
