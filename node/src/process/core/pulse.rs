//! Pulses of the leader: what entries need to know that the log does not keep.

use super::{leading::Leading, task::Task};
use cornelrail_lib::{
    moment::Moment,
    version::{
        catalog::Row,
        feed::{Downward, Pending, Pulse},
    },
};
use std::time::Duration;

/// Longest pause between two pulses.
const PULSE_PAUSE: Duration = Duration::from_millis(250);
/// Pause between two pulses with the loads of targets.
const LOADS_PAUSE: Duration = Duration::from_millis(450);
/// Time that keys without a known next owner are expected to go unserved.
const UNKNOWN_WAIT: Duration = Duration::from_millis(1_000);
/// Time from the answer to a heartbeat to the target's first request under it.
const ANSWER_TIME: Duration = Duration::from_millis(5);

impl Task {
    /// Sends a pulse if one is due.
    pub(super) fn pulse(&mut self) {
        let now = self.now();
        let entries = self.subscribers.len() as u32;
        let Some(leading) = &mut self.leading else {
            return;
        };
        if now < leading.pulse_due || entries == 0 {
            return;
        }
        leading.pulse_sent = now;
        leading.pulse_due = now + PULSE_PAUSE;
        let targets = &self.catalog.targets;
        let colds = targets
            .keys()
            .map(|id| (*id, leading.leases.cold(now, *id)));
        let silent = targets.keys().copied();
        let mut pulse = Pulse {
            index: self.index,
            entries,
            pending: Vec::new(),
            cold: colds.filter(|(_, cold)| !cold.is_zero()).collect(),
            silent: silent
                .filter(|id| !leading.leases.is_heard(now, *id))
                .collect(),
            loads: Vec::new(),
        };
        if now.since(leading.loads_sent) >= LOADS_PAUSE {
            leading.loads_sent = now;
            pulse.loads = std::mem::take(&mut leading.loads).into_iter().collect();
        }
        for (service, table) in &self.catalog.shards {
            for row in table.rows() {
                if !leading.leases.is_active(now, row) {
                    pulse.pending.push(Pending {
                        service: service.clone(),
                        span: row.span,
                        wait: wait(leading, now, row),
                    });
                }
            }
        }
        self.broadcast(&Downward::Pulse(pulse));
    }
}

/// Time until the keys of a row are expected to be served.
fn wait(leading: &Leading, now: Moment, row: &Row) -> Duration {
    match row.next.or(row.owner) {
        Some(taker) if leading.leases.is_heard(now, taker) => {
            leading.leases.next_beat(now, taker).since(now) + ANSWER_TIME
        }
        _ => UNKNOWN_WAIT,
    }
}
