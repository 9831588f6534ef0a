//! Which targets an entry asks how fast they are, before they get keys.
//!
//! Load pattern: targets of one service that differ in speed. Before any traffic nothing is known of
//! it, and keys that are dealt evenly overload the slow ones for as long as the traffic lasts. Each new
//! target of a keyed service is asked by a few entries, whatever their number, as one answer may be
//! that of a moment at which its host is busy.

use crate::version::catalog::{Catalog, TargetId};
use std::net::SocketAddr;

/// Mean number of entries that ask a target.
const ENTRIES_PER_TARGET: f64 = 3.0;

/// Target to be asked how fast it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Probe {
    /// Number of the target.
    pub id: TargetId,
    /// Name of the target, which its answer has to bear.
    pub name: String,
    /// Address that the target listens on.
    pub address: SocketAddr,
    /// Path of the service that answers at once, with the load.
    pub path: String,
}

/// Targets of which this entry has not decided yet whether it asks them.
#[derive(Debug, Default)]
pub struct Probes {
    undecided: Vec<TargetId>,
}

impl Probes {
    /// Adds new targets.
    pub fn extend(&mut self, new: impl IntoIterator<Item = TargetId>) {
        self.undecided.extend(new);
    }

    /// Draws the targets that this one of `entries` asks. Targets whose service is not known yet stay
    /// undecided.
    pub fn take(
        &mut self,
        catalog: &Catalog,
        entries: u32,
        mut draw: impl FnMut() -> f64,
    ) -> Vec<Probe> {
        let share = ENTRIES_PER_TARGET / f64::from(entries.max(1));
        let mut taken = Vec::new();
        self.undecided.retain(|id| {
            let Some(record) = catalog.targets.get(id) else {
                return false;
            };
            let Some(spec) = catalog.desired.service(record.service.as_str()) else {
                return true;
            };
            if spec.keyed && catalog.accepts_work(record) && draw() < share {
                taken.push(Probe {
                    id: *id,
                    name: record.name.as_str().to_owned(),
                    address: record.address,
                    path: spec.health.clone(),
                });
            }
            false
        });
        taken
    }
}
