//! What a router is asked, and what it answers.

use super::admit::LatencyBounds;
use crate::{
    name::{Service, Target, Zone},
    version::{catalog::TargetId, desired::RouteKind},
};
use std::{net::SocketAddr, time::Duration};

/// Settings of a [`Router`](super::Router).
#[derive(Debug, Clone)]
pub struct RouterConfig {
    /// Seed of the random number generator; must differ between entries.
    pub seed: u64,
    /// Availability zone that this entry runs in.
    pub zone: Zone,
    /// Time from the acknowledgment of a change until it takes effect at every entry.
    pub in_force: Duration,
    /// Time after a target's leave message during which it may still get new requests.
    pub drain: Duration,
    /// Time after a zone is taken out of service during which its targets may get new requests.
    pub evacuate: Duration,
    /// Retries allowed per new request.
    pub retry_ratio: f64,
    /// Retries allowed per window in addition, for all entries together.
    pub retry_floor: f64,
    /// Length of the window over which retries are counted.
    pub retry_window: Duration,
    /// Wait that is accepted to keep one KiB in the zone; without it each request is compared at
    /// all zones.
    pub hop_price: Option<Duration>,
}

/// Route that matches a request, with the service selected for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResolvedRoute {
    /// Name of the route.
    pub name: String,
    /// Kind of the route, which decides whether a request that may have run is retried.
    pub kind: RouteKind,
    /// Maximum time that the caller waits for an answer.
    pub timeout: Duration,
    /// Latency goal: time from arrival within which an answer is worth most.
    pub goal: Duration,
    /// Maximum number of attempts that may reach a target.
    pub max_attempts: u32,
    /// Whether the service also gets requests of higher priority.
    pub lowest_priority: bool,
    /// Service that gets the request.
    pub service: Service,
    /// Whether each key of the service has one owner.
    pub keyed: bool,
}

/// Why a request has no route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteError {
    /// No route matches, according to a current replica.
    NoRoute,
    /// The catalog replica is missing or not confirmed, so it may lack a change in force.
    Stale,
}

/// Request that needs a target.
#[derive(Debug, Clone, Copy)]
pub struct RoutingRequest<'a> {
    /// Service that gets the request.
    pub service: &'a Service,
    /// Name of the route that the request matches.
    pub route: &'a str,
    /// Key of the request, if it has one.
    pub key: Option<u16>,
    /// Time limits and priority.
    pub latency: LatencyBounds,
    /// Length of the body according to the headers, 0 if they do not tell.
    pub body_bytes: u64,
    /// Targets to which an idle connection may carry the request.
    pub connected: &'a [TargetId],
    /// Usual time to set up a connection.
    pub connect_time: Duration,
    /// Targets of earlier attempts; a pool target gets a request at most once.
    pub tried: &'a [TargetId],
    /// Tried targets that reported that they do not own the key.
    pub misdirected: &'a [TargetId],
}

/// Why a request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// The request would end too late.
    Busy,
    /// The rate limit of a cold target is reached.
    Cold,
    /// The limit that the target has named is reached.
    Limited,
    /// Nobody serves the key, or no target of the service accepts requests.
    Unowned,
    /// The target failed recently.
    Failing,
    /// The target asked for a pause.
    Paused,
    /// The request has no key, but its service requires one.
    Keyless,
}

impl RejectReason {
    /// Name written to logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RejectReason::Busy => "busy",
            RejectReason::Cold => "cold",
            RejectReason::Limited => "limited",
            RejectReason::Unowned => "unowned",
            RejectReason::Failing => "failing",
            RejectReason::Paused => "paused",
            RejectReason::Keyless => "keyless",
        }
    }
}

/// Result of routing a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RoutingDecision {
    /// Send the request to this target.
    Send {
        /// Number of the target.
        id: TargetId,
        /// Name of the target.
        name: Target,
        /// Address that the target listens on.
        address: SocketAddr,
        /// Whether the target has named a limit, so that the request needs a permit.
        needs_permit: bool,
    },
    /// The key is moving to a new owner: route again after this time or when the replica changes.
    Wait(Duration),
    /// Reject the request; the caller may resend it after this time.
    Reject(RejectReason, Duration),
}
