//! Plans of every assigner for random services: free ranges are granted, and moves keep to the
//! limits of the service.

use cornelrail_lib::{
    key::KeyRange,
    name::{Target, Zone},
    process::settings::Assigner,
    version::assigner::{self, Holder, Placement, RangeView, ServiceView, TargetView},
};
use quickcheck::TestResult;
use std::collections::BTreeSet;

const ASSIGNERS: [Assigner; 3] = [Assigner::Weighted, Assigner::Modulo, Assigner::Consistent];

/// Service with targets in two zones and with ranges of the given holders and rates.
fn service_view(targets: u8, ranges: &[(u8, u8)], moves: u8, churn: u8) -> ServiceView {
    let count = usize::from(targets % 12) + 1;
    let target = |number: usize| TargetView {
        name: Target(format!("w-{number:02}")),
        zone: Zone::from(["a", "b"][number % 2]),
        slots: 2 + number as u32 % 3,
        warmth: if number % 5 == 4 { 0.1 } else { 1.0 },
        speed: if number % 7 == 6 { 0.5 } else { 1.0 },
    };
    let even_ranges = KeyRange::partition(ranges.len() as u64);
    let range = |(range, (holder, rate)): (KeyRange, &(u8, u8))| RangeView {
        range,
        holder: match holder % 8 {
            0 => Holder::Unowned,
            1 => Holder::Leaving,
            _ => Holder::Target(usize::from(*holder) % count),
        },
        moving: holder % 8 > 5 && holder / 8 % 3 == 0,
        rate: f64::from(*rate),
        busiest_key: None,
    };
    ServiceView {
        ranges: even_ranges.into_iter().zip(ranges).map(range).collect(),
        targets: (0..count).map(target).collect(),
        max_moves: usize::from(moves % 30),
        max_churn: f64::from(churn) / 255.0,
        max_relief: 0.1,
        ring_salt: 7,
    }
}

fn placed_ranges(placements: &[Placement]) -> BTreeSet<KeyRange> {
    placements.iter().map(|p| p.range).collect()
}

fn ranges_where(view: &ServiceView, predicate: impl Fn(&RangeView) -> bool) -> BTreeSet<KeyRange> {
    let ranges = view.ranges.iter().filter(|r| predicate(r));
    ranges.map(|r| r.range).collect()
}

crate::properties! {
    fn plans_keep_to_their_limits(
        targets: u8, ranges: Vec<(u8, u8)>, moves: u8, churn: u8
    ) -> TestResult {
        if ranges.is_empty() {
            return TestResult::discard();
        }
        let view = service_view(targets, &ranges, moves, churn);
        for assigner in ASSIGNERS {
            let plan = assigner::plan(assigner, &view);
            let movable = ranges_where(&view, |r| !r.moving && r.holder != Holder::Unowned);
            let leaving = ranges_where(&view, |r| !r.moving && r.holder == Holder::Leaving);
            let moved = placed_ranges(&plan.moves);
            let drained = moved.intersection(&leaving).count();
            let rules = [
                placed_ranges(&plan.grants) == ranges_where(&view, |r| r.holder == Holder::Unowned),
                plan.moves.len() <= view.max_moves && moved.len() == plan.moves.len(),
                moved.is_subset(&movable),
                plan.churn <= view.max_churn + 1e-9 && plan.relief <= view.max_relief + 1e-9,
                assigner != Assigner::Weighted || drained == leaving.len().min(view.max_moves),
                plan == assigner::plan(assigner, &view),
            ];
            if let Some(rule) = rules.iter().position(|holds| !holds) {
                return TestResult::error(format!("{assigner:?} breaks rule {rule}"));
            }
        }
        TestResult::passed()
    }
}
