//! Assignment of ranges to targets.
//!
//! An assigner is a pure function: from the ranges and targets of one keyed service, with their
//! load and speed, it decides which ranges are granted, moved, split and merged. [`weighted`]
//! answers imbalance, hot ranges and slow targets; [`modulo`] and [`consistent`] ignore load and
//! serve as baselines for comparison.

pub mod consistent;
pub mod modulo;
pub mod weighted;

use crate::{
    key::{KeyHash, KeyRange},
    name::{Target, Zone},
    process::settings::Assigner,
    version::report::BusiestKey,
};

/// Holder of a range, as the assigner distinguishes them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holder {
    /// No target: the range is out of service until it is granted.
    Unowned,
    /// A target that may not serve any more: the range has to move.
    Leaving,
    /// The target at this index of [`ServiceView::targets`].
    Target(usize),
}

/// A range with its holder and load, as input of an assigner.
#[derive(Debug, Clone, PartialEq)]
pub struct RangeView {
    /// Range of key hashes.
    pub range: KeyRange,
    /// Current holder; for a moving range, the target it moves to.
    pub holder: Holder,
    /// Whether the range is moving, or must stay because a move of it was cancelled recently.
    pub moving: bool,
    /// Measured load in requests per second.
    pub rate: f64,
    /// Busiest key of the range, if known.
    pub busiest_key: Option<BusiestKey>,
}

/// A target that may be assigned ranges, as input of an assigner.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetView {
    /// Name of the target.
    pub name: Target,
    /// Availability zone the target runs in.
    pub zone: Zone,
    /// Requests that the target runs concurrently when warm.
    pub slots: u32,
    /// Share of its slots that the target can be counted on for, above 0 and up to 1.
    pub warmth: f64,
    /// Speed relative to the peers of the target, above 0 and up to 1.
    pub speed: f64,
}

/// A keyed service, as input of an assigner.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceView {
    /// All ranges of the service, in order.
    pub ranges: Vec<RangeView>,
    /// Targets that may be assigned ranges, sorted by name; not empty.
    pub targets: Vec<TargetView>,
    /// Number of moves of owned ranges that may begin now.
    pub max_moves: usize,
    /// Share of the hash space that may move now only for balance.
    pub max_churn: f64,
    /// Share of the hash space that may move off slow targets now.
    pub max_relief: f64,
    /// Salt of the hash ring of [`consistent`].
    pub ring_salt: u64,
}

/// Assignment of a range to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placement {
    /// Range of key hashes.
    pub range: KeyRange,
    /// Index of the target in [`ServiceView::targets`].
    pub to: usize,
}

/// Changes to the ranges of a service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    /// Ranges without an owner, with the targets they are granted to.
    pub grants: Vec<Placement>,
    /// Owned ranges, with the targets they move to.
    pub moves: Vec<Placement>,
    /// Hashes at which ranges are split; each becomes the first hash of an upper part.
    pub splits: Vec<KeyHash>,
    /// First hashes of ranges that are merged into the range below.
    pub merges: Vec<KeyHash>,
    /// Share of the hash space that this plan moves only for balance.
    pub churn: f64,
    /// Share of the hash space that this plan moves off slow targets.
    pub relief: f64,
}

/// Plans the ranges of one service with the configured assigner.
pub fn plan(assigner: Assigner, view: &ServiceView) -> Plan {
    match assigner {
        Assigner::Weighted => weighted::plan(view),
        Assigner::Modulo => modulo::plan(view),
        Assigner::Consistent => consistent::plan(view),
    }
}

/// Plans to bring each range to its target, up to the number of moves but regardless of churn.
fn place_all(view: &ServiceView, target_of: impl Fn(usize, &RangeView) -> usize) -> Plan {
    let mut plan = Plan::default();
    for (index, range) in view.ranges.iter().enumerate() {
        let to = target_of(index, range);
        let placement = Placement {
            range: range.range,
            to,
        };
        match range.holder {
            Holder::Unowned => plan.grants.push(placement),
            Holder::Target(holder) if holder == to => {}
            _ if range.moving || plan.moves.len() >= view.max_moves => {}
            _ => plan.moves.push(placement),
        }
    }
    plan
}
