//! Baseline: range number modulo the number of targets.

use super::{Plan, View, follow};

/// Plans by the number of the range modulo the number of targets.
pub fn plan(view: &View) -> Plan {
    follow(view, |number, _| number % view.targets.len())
}
