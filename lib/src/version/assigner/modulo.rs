//! Baseline assigner: index of the range modulo the number of targets; ignores load.

use super::{Plan, ServiceView, place_all};

/// Assigns each range by its index. A joining or lost target moves most ranges.
pub fn plan(view: &ServiceView) -> Plan {
    place_all(view, |index, _| index % view.targets.len())
}
