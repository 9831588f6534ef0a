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
    admit::{Ask, Verdict, judge},
    budget::RetryBudget,
    choose::{Choice, choose},
    cold::ColdRate,
    router::{Denial, Place, Routed, Router, RouterConfig, Turned, Wish},
    split::Splitter,
    target::{LoadReport, Outcome, TargetModel},
};
