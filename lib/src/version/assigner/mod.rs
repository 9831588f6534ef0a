//! Assignment of ranges to targets: pure functions from a view of one service to a plan.

pub mod consistent;
pub mod modulo;
pub mod weighted;

use crate::{
    key::{KeyHash, KeyRange},
    name::{Target, Zone},
    process::settings::Assigner,
    version::report::BusiestKey,
};

/// Who holds a range, as far as the assigner cares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holder {
    /// Nobody: the range is out of service.
    Unowned,
    /// A target that may not be given work: the range has to move.
    Leaving,
    /// The target at this place in [`View::targets`].
    Target(usize),
}

/// One range as the assigner sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct RangeView {
    /// The range.
    pub range: KeyRange,
    /// Its holder; of a moving range, the one that it moves to.
    pub holder: Holder,
    /// Whether it moves already.
    pub moving: bool,
    /// Its measured load, in requests a second.
    pub rate: f64,
    /// Its busiest key, if it is known.
    pub busiest_key: Option<BusiestKey>,
}

/// One target that may be given ranges.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetView {
    /// Its name.
    pub name: Target,
    /// Its zone.
    pub zone: Zone,
    /// Requests that it runs at once when warm.
    pub slots: u32,
    /// Share of its slots that it may be counted on for, above 0 and up to 1.
    pub warmth: f64,
    /// Its speed beside that of its peers, above 0 and up to 1.
    pub speed: f64,
}

/// One keyed service as the assigner sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceView {
    /// Its ranges, in order.
    pub ranges: Vec<RangeView>,
    /// Targets that may be given ranges, in the order of their names; not empty.
    pub targets: Vec<TargetView>,
    /// Moves of owned ranges that may begin now.
    pub max_moves: usize,
    /// Share of the hash space that may move now for balance alone.
    pub max_churn: f64,
    /// Share of the hash space that may move now off slow targets.
    pub max_relief: f64,
    /// Salt of the hash ring.
    pub ring_salt: u64,
}

/// Range that a target is to get.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placement {
    /// The range.
    pub range: KeyRange,
    /// Place of the target in [`View::targets`].
    pub to: usize,
}

/// What is to be done with a service's ranges.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    /// Ranges without an owner and who gets them.
    pub grants: Vec<Placement>,
    /// Owned ranges and where they move to.
    pub moves: Vec<Placement>,
    /// First hashes of the upper parts of ranges to be split.
    pub splits: Vec<KeyHash>,
    /// First hashes of ranges to be joined to the one below.
    pub merges: Vec<KeyHash>,
    /// Share of the hash space that moves for balance alone.
    pub churn: f64,
    /// Share of the hash space that moves off slow targets.
    pub relief: f64,
}

/// Plans the ranges of one service by the chosen assigner.
pub fn plan(assigner: Assigner, view: &ServiceView) -> Plan {
    match assigner {
        Assigner::Weighted => weighted::plan(view),
        Assigner::Modulo => modulo::plan(view),
        Assigner::Consistent => consistent::plan(view),
    }
}

/// Plan that brings each range to its place, whatever the churn.
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
