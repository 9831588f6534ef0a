//! Decisions of an entry that sends to targets itself: where a request goes, whether it is let in,
//! whether it may be sent again.
//!
//! Every entry sees only its own requests and, late, what the others reported. All of it is pure:
//! the time comes in, decisions go out.

mod admit;
mod budget;
mod choose;
mod cold;
mod router;
mod split;
mod target;

pub use self::{
    admit::{Admission, LatencyBounds, admit},
    budget::RetryBudget,
    choose::{Candidate, choose},
    cold::ColdRateLimiter,
    router::{
        RejectReason, ResolvedRoute, RouteError, Router, RouterConfig, RoutingDecision,
        RoutingRequest,
    },
    split::Splitter,
    target::{LoadReport, SendOutcome, TargetModel},
};
