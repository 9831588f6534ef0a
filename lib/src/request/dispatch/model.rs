//! What goes into a dispatch and what comes out of it.

use crate::{
    connection::{health::Condition, health::HealthConfig, order::Warmth},
    moment::Moment,
    name::{Incarnation, Service, Target, Zone},
    process::settings::Sending,
    request::outcome::Refusal,
    version::command::Fingerprint,
};
use std::time::Duration;

/// Number of a request at the entry that dispatches it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// How a request finds its target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetSelector {
    /// Only the owner of its key may serve it.
    Keyed(Target),
    /// Any target of the service may.
    Pool,
}

/// How much a request matters under load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Importance {
    /// Shed first.
    Low,
    /// Ordinary.
    Normal,
    /// Shed last.
    High,
}

/// Place in the order of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum QueueClass {
    First,
    Middle,
    Last,
}

/// A request as it arrives.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Number of the request; never used twice.
    pub id: RequestId,
    /// Service that it is for.
    pub service: Service,
    /// How it finds its target.
    pub selector: TargetSelector,
    /// When it must have ended.
    pub deadline: Moment,
    /// How much it matters under load.
    pub importance: Importance,
    /// Whether it must run at most once; it is never repeatable then.
    pub once: bool,
    /// What makes it the same as another to a target that it crashes.
    pub fingerprint: Option<Fingerprint>,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

impl Arrival {
    /// Whether a second run does no harm.
    pub(super) fn may_repeat(&self) -> bool {
        self.repeatable && !self.once
    }

    pub(super) fn class(&self) -> QueueClass {
        match (self.once, self.importance) {
            (true, _) | (_, Importance::High) => QueueClass::First,
            (_, Importance::Normal) => QueueClass::Middle,
            (_, Importance::Low) => QueueClass::Last,
        }
    }
}

/// How an attempt ended. The caller reports it once nothing of the attempt runs any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target answered.
    Answered,
    /// The target turned it away and said that it did not run.
    Shed,
    /// No byte of it reached the target.
    NotSent,
    /// It failed and may have run.
    Failed,
    /// The connection broke while the target ran it.
    Crashed,
    /// It was cancelled, or its caller left.
    Cancelled,
}

/// What the entry must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the target.
    Send {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// The target.
        target: Target,
    },
    /// Give the caller this attempt's answer: it is the request's final one.
    Deliver {
        /// The request.
        id: RequestId,
        /// The attempt that answered.
        attempt: u32,
    },
    /// Refuse the request now: this is its final answer.
    Refuse {
        /// The request.
        id: RequestId,
        /// What the caller is told.
        refusal: Refusal,
    },
    /// Cancel the attempt at its target and report its ending when it has stopped.
    Abort {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// A target crashed while it ran a request with this fingerprint.
    ReportCrash {
        /// What identifies the request.
        fingerprint: Fingerprint,
        /// The target.
        target: Target,
        /// The life that ended.
        incarnation: Incarnation,
    },
}

/// A target as its home sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetView {
    /// Its name.
    pub target: Target,
    /// Service that it runs.
    pub service: Service,
    /// Zone that it stands in.
    pub zone: Zone,
    /// Requests that it runs at once when warm.
    pub slots: u32,
    /// This life of the target.
    pub incarnation: Incarnation,
    /// How warm it says it is.
    pub warmth: Warmth,
    /// Whether it takes new work: its lease holds and it is not draining.
    pub enabled: bool,
}

/// How a pool's target is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoolPolicy {
    /// Least in flight relative to its limit, weighted by slowness and zone.
    Weighted,
    /// Baseline: the less loaded of two chosen at random.
    TwoChoices,
}

/// Settings of a dispatch.
#[derive(Debug, Clone)]
pub struct DispatchConfig {
    /// Who sends to a target.
    pub sending: Sending,
    /// This entry's share of each target's slots if every entry sends.
    pub share: f64,
    /// Zone of this entry.
    pub zone: Zone,
    /// Seed of the random choices.
    pub seed: u64,
    /// How a pool's target is chosen.
    pub policy: PoolPolicy,
    /// Most requests that wait for one target, and for one slot of a pool.
    pub queue_capacity: usize,
    /// Longest wait of a request that is neither once-only nor important.
    pub queue_timeout: Duration,
    /// Retries as a share of fresh requests.
    pub retry_share: f64,
    /// Hedges as a share of fresh requests.
    pub hedge_share: f64,
    /// Straggler detection.
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

/// What a target carries, for the reports to the controller.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetLoad {
    /// The target.
    pub target: Target,
    /// Attempts in flight, those that were aborted and have not ended included.
    pub running: u32,
    /// Requests that wait for it.
    pub queued: usize,
    /// Attempts that may be in flight now.
    pub limit: u32,
    /// Whether it keeps up with its peers.
    pub condition: Condition,
    /// How many times slower than its peers it is.
    pub slowness: f64,
}
