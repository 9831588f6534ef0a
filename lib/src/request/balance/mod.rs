//! Routing decisions of an entry in a seeded fleet, which sends to targets itself: which target a
//! request goes to, whether it is admitted and whether it may be retried.
//!
//! An entry sees only its own requests and, with a delay, what other entries reported. The code has
//! no side effects outside its own state: callers pass in the current time.

mod abandoned;
mod admit;
mod breaks;
mod budget;
mod choose;
mod cold;
mod decision;
mod entry_count;
mod freshness;
mod limits;
mod open;
mod pool_route;
mod probe;
mod reach;
mod router;
mod shutdown;
mod split;
mod target;
mod work;
mod zone_spill;

pub use self::{
    abandoned::{ABANDONED_TIME, AbandonedAnswers},
    admit::{Admission, LatencyBounds, admit},
    breaks::Breaks,
    budget::RetryBudget,
    choose::{Candidate, Demand, choose},
    cold::ColdRateLimiter,
    decision::{
        RejectReason, ResolvedRoute, RouteError, RouterConfig, RoutingDecision, RoutingRequest,
    },
    entry_count::EntryCount,
    freshness::Freshness,
    limits::{LimitChange, LimitCheck, LimitNotice, Reserve, TargetLimits},
    open::{ClosingTimes, OpenTargets, Openness, TargetNotice},
    probe::{Probe, Probes},
    reach::{LinkCheck, NoPeer, Peers, Reach},
    router::Router,
    shutdown::Shutdown,
    split::Splitter,
    target::{LoadReport, SendOutcome, TargetModel},
    work::WorkFactors,
    zone_spill::{
        FirstChoice, Hop, Outlook, SpillChange, SpillReason, SpillRequest, ZoneSpill, ZoneTargets,
    },
};
