//! Items of the desired state: routes, services and request limits, each with a version.

use crate::name::Service;
use serde::{Deserialize, Serialize};
use std::{fmt, time::Duration};

/// Version of an item, chosen by the operator; the highest version wins.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ItemVersion(pub u64);

impl fmt::Display for ItemVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// An item at one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item<T> {
    /// Version of the item.
    pub version: ItemVersion,
    /// Value in force, or `None` if this version removes the item.
    pub value: Option<T>,
    /// The item as the operator wrote it, to be read back unchanged; empty in the replicas of
    /// entries.
    pub source: String,
}

/// Whether the requests of a route may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Idempotent: may run more than once.
    Safe,
    /// Must run at most once.
    Unsafe,
    /// Must run at most once, and has a large body.
    Upload,
}

impl RouteKind {
    /// Whether a request may run more than once.
    pub fn is_idempotent(self) -> bool {
        self == RouteKind::Safe
    }
}

/// [`Backend::weight`] of a backend to which the operator gave the weight 1.
pub const WEIGHT_UNIT: u32 = 1_000;

/// Service that gets a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// Service that gets the requests.
    pub service: Service,
    /// Weight relative to the other backends of the route; [`WEIGHT_UNIT`] stands for 1.
    pub weight: u32,
}

/// Which requests go to which services, and within which limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Host name of the requests.
    pub host: String,
    /// Prefix of the request paths; of several matching routes the one with the longest prefix
    /// wins.
    pub prefix: String,
    /// Whether the requests may run more than once.
    pub kind: RouteKind,
    /// Longest time that a caller waits for an answer.
    pub timeout: Duration,
    /// Time after arrival within which an answer is worth most.
    pub latency_goal: Duration,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u32,
    /// Services that share the requests by weight.
    pub backends: Vec<Backend>,
    /// Largest number of targets that one request may be sent to, the first included.
    pub attempts: u32,
}

/// Operator's settings of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Path of the health check of a target.
    pub health: String,
    /// Largest number of connections to one target, from all entries together.
    pub connections: u32,
    /// Time after its start for which a target is cold.
    pub cold_period: Duration,
    /// Requests that a cold target can take in 1000 seconds, from all entries together.
    pub cold_rate: u32,
    /// Whether each key has one owner.
    pub keyed: bool,
    /// Time for which a key that moved without a handover is slow at its new owner.
    pub warmup: Duration,
}

/// Limits on the requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Largest size of a request's head, in bytes.
    pub head_size: u64,
    /// Largest size of a request's body, in bytes.
    pub body_size: u64,
    /// Longest time for the head of a request to arrive.
    pub head_time: Duration,
    /// Longest time that a connection may be idle between requests.
    pub idle_time: Duration,
}

impl Default for RequestLimits {
    fn default() -> Self {
        RequestLimits {
            head_size: 16 << 10,
            body_size: 64 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
