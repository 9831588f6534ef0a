//! One item of the desired state.

use crate::name::Service;
use serde::{Deserialize, Serialize};
use std::{fmt, time::Duration};

/// Version of one item; the highest wins.
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
    /// The version.
    pub version: ItemVersion,
    /// What stands, or `None` if this version drops the item.
    pub value: Option<T>,
    /// The item as the operator wrote it, for reading it back unchanged; empty in the copies of
    /// entries.
    pub source: String,
}

/// What may be done again with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Idempotent: may run more than once.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// Runs at most once, with a large body.
    Upload,
}

impl RouteKind {
    /// Whether a request may run more than once.
    pub fn is_idempotent(self) -> bool {
        self == RouteKind::Safe
    }
}

/// Weight of a backend whose operator gave it the weight 1.
pub const WEIGHT_UNIT: u32 = 1_000;

/// A service that gets a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// The service.
    pub service: Service,
    /// Its share, in [`WEIGHT_UNIT`]s.
    pub weight: u32,
}

/// Where requests go, and within which bounds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Host that the request names.
    pub host: String,
    /// Beginning of its path; the longest one wins.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub latency_goal: Duration,
    /// Rank, 0 for the most urgent.
    pub priority: u32,
    /// Services with their shares.
    pub backends: Vec<Backend>,
    /// Targets to which one request may be sent.
    pub attempts: u32,
}

/// What is known of a service beside its targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Path that tells of a target's health.
    pub health: String,
    /// Connections that a target takes from all entries together.
    pub connections: u32,
    /// How long a target is cold after its start.
    pub cold_period: Duration,
    /// Requests that a cold target bears in 1000 seconds.
    pub cold_rate: u32,
    /// Whether each key has one owner.
    pub keyed: bool,
    /// How long a key is slow that came without a handover.
    pub warmup: Duration,
}

/// Bounds on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Bytes of the head of a request.
    pub head_size: u64,
    /// Bytes of the body of a request.
    pub body_size: u64,
    /// Time for the head to arrive.
    pub head_time: Duration,
    /// Time that a connection may be idle between requests.
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
