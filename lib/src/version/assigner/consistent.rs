//! Baseline assigner: consistent hashing with virtual nodes; ignores load.

use super::{Plan, ServiceView, place_all};
use crate::key::KeyHash;

/// Virtual nodes of each target on the hash ring.
const POINTS_PER_TARGET: usize = 64;

/// Assigns each range to the target of the first ring point at or after the start of the range.
pub fn plan(view: &ServiceView) -> Plan {
    let ring = ring(view);
    place_all(view, |_, range| {
        let index = ring.partition_point(|(hash, _)| *hash < range.range.first());
        ring[index % ring.len()].1
    })
}

/// Points of the hash ring in order, each with the index of its target.
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
