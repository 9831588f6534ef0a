//! Input and output types of the dispatcher: requests, targets, settings, actions and loads.

use crate::{
    connection::{health::Condition, health::HealthConfig, order::Warmth},
    moment::Moment,
    name::{Incarnation, Service, Target, Zone},
    process::settings::Sending,
    request::outcome::Refusal,
    version::command::Fingerprint,
};
use std::time::Duration;

/// Identifies a request at the entry that dispatches it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Targets that may serve a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetSelector {
    /// Only this target: the owner of the request's key, or the target that a suspect waits for.
    Keyed(Target),
    /// Any target of the service.
    Pool,
}

/// Priority of a request under overload.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Importance {
    /// Shed first.
    Low,
    /// Default; shed after `Low` and before `High`.
    Normal,
    /// Shed last.
    High,
}

/// Priority class in a queue: `First` is served first and shed last. Once-only requests are in it,
/// whatever their importance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum QueueClass {
    First,
    Middle,
    Last,
}

/// A new request as the entry submits it.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Identifier of the request; never reused.
    pub id: RequestId,
    /// Service that the caller addressed.
    pub service: Service,
    /// Targets that may serve it.
    pub selector: TargetSelector,
    /// Time by which it must have its final answer.
    pub deadline: Moment,
    /// Priority under overload.
    pub importance: Importance,
    /// Whether it must run at most once; it then counts as not repeatable, whatever `repeatable`
    /// says.
    pub once: bool,
    /// Identifies its content, so that a request that crashes targets is recognized when it is sent
    /// again.
    pub fingerprint: Option<Fingerprint>,
    /// Whether it is idempotent and may run more than once.
    pub repeatable: bool,
}

impl Arrival {
    /// Whether it may be sent again after it may have run.
    pub(super) fn may_repeat(&self) -> bool {
        self.repeatable && !self.once
    }

    /// Class in which it waits.
    pub(super) fn class(&self) -> QueueClass {
        match (self.once, self.importance) {
            (true, _) | (_, Importance::High) => QueueClass::First,
            (_, Importance::Normal) => QueueClass::Middle,
            (_, Importance::Low) => QueueClass::Last,
        }
    }
}

/// How an attempt ended. The entry reports it only when the attempt no longer runs at its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target answered.
    Answered,
    /// The target rejected the request without running it.
    Shed,
    /// No byte of the request reached the target.
    NotSent,
    /// The attempt failed and may have run.
    Failed,
    /// The connection broke while the target ran the request.
    Crashed,
    /// The attempt was aborted, or the caller disconnected.
    Cancelled,
}

/// Step that the entry carries out for the dispatcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the target.
    Send {
        /// Request to send.
        id: RequestId,
        /// Number of the attempt within its request, from 1.
        attempt: u32,
        /// Target to send it to.
        target: Target,
    },
    /// Pass this attempt's answer to the caller as the final one.
    Deliver {
        /// Request that was answered.
        id: RequestId,
        /// Number of the attempt that answered.
        attempt: u32,
    },
    /// Refuse the request as its final answer.
    Refuse {
        /// Request to refuse.
        id: RequestId,
        /// Reason, whether the request may have run, and when to retry.
        refusal: Refusal,
    },
    /// Cancel the attempt at its target and report its outcome once it has stopped.
    Abort {
        /// Request that the attempt belongs to.
        id: RequestId,
        /// Number of the attempt to cancel.
        attempt: u32,
    },
    /// Report that a target crashed while it ran a request with this fingerprint.
    ReportCrash {
        /// Identifies the content of the request.
        fingerprint: Fingerprint,
        /// Target that crashed.
        target: Target,
        /// Incarnation of the target that crashed.
        incarnation: Incarnation,
    },
}

/// A target as its home sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetView {
    /// Name of the target.
    pub target: Target,
    /// Service that the target provides.
    pub service: Service,
    /// Availability zone that the target runs in.
    pub zone: Zone,
    /// Concurrency limit that the target announced for its warm state.
    pub slots: u32,
    /// Current incarnation of the target.
    pub incarnation: Incarnation,
    /// Warmth that the target reports.
    pub warmth: Warmth,
    /// Whether it may be sent new requests: its lease is valid and it is not draining.
    pub enabled: bool,
}

/// How a target is chosen for a request that any target of the service may serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoolPolicy {
    /// Fewest attempts in flight relative to the limit, weighted by slowness and zone.
    Weighted,
    /// The less loaded of two targets chosen at random, as a baseline for comparison.
    TwoChoices,
}

/// Settings of a [`Dispatcher`](super::Dispatcher).
#[derive(Debug, Clone)]
pub struct DispatchConfig {
    /// Whether only the home or every entry sends to a target.
    pub sending: Sending,
    /// Share of each target's slots that this entry may use if every entry sends.
    pub share: f64,
    /// Availability zone of this entry.
    pub zone: Zone,
    /// Seed of the random number generator for target choices and retry delays.
    pub seed: u64,
    /// How a target of a pool is chosen.
    pub policy: PoolPolicy,
    /// Maximum length of each queue, be it that of a target or that of a pool.
    pub queue_capacity: usize,
    /// Longest time in the queue for a request that is neither once-only nor of high importance.
    /// Where targets are slow, a multiple of the service time applies instead if it is longer.
    pub queue_timeout: Duration,
    /// Retry budget as a share of new requests.
    pub retry_share: f64,
    /// Hedge budget as a share of new requests.
    pub hedge_share: f64,
    /// Settings of the straggler detection.
    pub health: HealthConfig,
}

impl Default for DispatchConfig {
    fn default() -> Self {
        DispatchConfig {
            sending: Sending::Home,
            share: 1.0,
            zone: Zone::default(),
            seed: 0,
            policy: PoolPolicy::Weighted,
            queue_capacity: 256,
            queue_timeout: Duration::from_millis(200),
            retry_share: 0.1,
            hedge_share: 0.05,
            health: HealthConfig::default(),
        }
    }
}

/// Load and health of a target, for the entry's report to the controller.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetLoad {
    /// Name of the loaded target.
    pub target: Target,
    /// Attempts in flight, aborted ones included until they end.
    pub running: u32,
    /// Requests that wait for this target in particular; those that wait for its pool do not count.
    pub queued: usize,
    /// Attempts that may be in flight now, by its concurrency limit.
    pub limit: u32,
    /// Result of the straggler detection.
    pub condition: Condition,
    /// Latency as a multiple of the median of its service, at least 1.
    pub slowness: f64,
}
