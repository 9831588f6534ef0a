//! Baseline: consistent hashing with virtual nodes.

use super::{Plan, ServiceView, place_all};
use crate::key::KeyHash;

/// Points of each target on the ring.
const POINTS_PER_TARGET: usize = 64;

/// Plans by the first point on the ring at or after the start of the range.
pub fn plan(view: &ServiceView) -> Plan {
    let ring = ring(view);
    place_all(view, |_, range| {
        let index = ring.partition_point(|(hash, _)| *hash < range.range.first());
        ring[index % ring.len()].1
    })
}

fn ring(view: &ServiceView) -> Vec<(KeyHash, usize)> {
    let mut points = Vec::with_capacity(view.targets.len() * POINTS_PER_TARGET);
    for (index, target) in view.targets.iter().enumerate() {
        points.extend((0..POINTS_PER_TARGET).map(|number| {
            let label = format!("{}/{}/{number}", view.ring_salt, target.name);
            (KeyHash::of(&label), index)
        }));
    }
    points.sort_unstable();
    points
}
