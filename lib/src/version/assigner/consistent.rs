//! Baseline: consistent hashing with virtual nodes.

use super::{Plan, View, follow};
use crate::key::KeyHash;

/// Points of each target on the ring.
const POINTS_PER_TARGET: usize = 64;

/// Plans by the first point on the ring at or after the start of the range.
pub fn plan(view: &View) -> Plan {
    let ring = ring(view);
    follow(view, |_, range| {
        let at = ring.partition_point(|(hash, _)| *hash < range.range.first());
        ring[at % ring.len()].1
    })
}

fn ring(view: &View) -> Vec<(KeyHash, usize)> {
    let mut points = Vec::with_capacity(view.targets.len() * POINTS_PER_TARGET);
    for (place, target) in view.targets.iter().enumerate() {
        points.extend((0..POINTS_PER_TARGET).map(|number| {
            let label = format!("{}/{}/{number}", view.seed, target.name);
            (KeyHash::of(&label), place)
        }));
    }
    points.sort_unstable();
    points
}
