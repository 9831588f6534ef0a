//! Baseline: range number modulo the number of targets.

use super::{Plan, ServiceView, place_all};

/// Plans by the number of the range modulo the number of targets.
pub fn plan(view: &ServiceView) -> Plan {
    place_all(view, |index, _| index % view.targets.len())
}
