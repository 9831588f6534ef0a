//! Incarnations that send heartbeats under the name or at the address of another target.
//!
//! Load pattern: a target starts anew while heartbeats of its former incarnation still arrive, or
//! another writer sends some under its name. One heartbeat must not displace a target that goes on
//! sending them. So a later incarnation waits until the present one is silent, and in any case no
//! longer than a lease; and an earlier one that has sent heartbeats for as long as a lease, while the
//! present one sent none, is the one that is alive.

use super::{heartbeat::Heartbeat, pull_lease::LeaseConfig};
use crate::{
    moment::Moment,
    name::{Incarnation, Target},
    version::catalog::TargetRecord,
};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Heartbeat intervals without a heartbeat after which a target counts as silent.
const SILENT_INTERVALS: u32 = 2;
/// Heartbeat intervals without a heartbeat after which a rival begins anew.
const BROKEN_INTERVALS: u32 = 4;
/// Rivals that are remembered, as other writers may invent any number of them.
const MAX_RIVALS: usize = 1_000;

/// What identifies a rival.
type RivalKey = (Target, Incarnation, SocketAddr);

/// Heartbeats of one rival without a break.
#[derive(Debug)]
struct Rival {
    first: Moment,
    last: Moment,
    serial: u64,
}

/// Rivals of the targets in the catalog.
#[derive(Debug)]
pub(super) struct Rivals {
    config: LeaseConfig,
    seen: BTreeMap<RivalKey, Rival>,
}

impl Rivals {
    pub(super) fn new(config: LeaseConfig) -> Self {
        Rivals {
            config,
            seen: BTreeMap::new(),
        }
    }

    /// Records a heartbeat; returns whether the rival was not known before.
    pub(super) fn record(&mut self, now: Moment, heartbeat: &Heartbeat) -> bool {
        let key = key_of(heartbeat);
        let longest = self.config.heartbeat * BROKEN_INTERVALS;
        let new = Rival {
            first: now,
            last: now,
            serial: heartbeat.serial,
        };
        let Some(rival) = self.seen.get_mut(&key) else {
            let has_room = self.seen.len() < MAX_RIVALS;
            if has_room {
                self.seen.insert(key, new);
            }
            return has_room;
        };
        if now.since(rival.last) > longest {
            *rival = new;
        } else if heartbeat.serial > rival.serial {
            rival.last = now;
            rival.serial = heartbeat.serial;
        }
        false
    }

    /// Whether a target that was heard last at `heard` has fallen silent.
    pub(super) fn is_silent(&self, now: Moment, heard: Moment) -> bool {
        now.since(heard) >= self.config.heartbeat * SILENT_INTERVALS
    }

    /// Whether the sender of a heartbeat has sent them for as long as a lease.
    pub(super) fn is_steady(&self, heartbeat: &Heartbeat) -> bool {
        let rival = self.seen.get(&key_of(heartbeat));
        rival.is_some_and(|rival| rival.last.since(rival.first) >= self.config.length)
    }

    /// Whether a rival has sent heartbeats for as long as a lease while the target sent none.
    pub(super) fn outlives(&self, now: Moment, target: &TargetRecord, silence: Duration) -> bool {
        self.seen.iter().any(|((name, _, address), rival)| {
            let is_rival = *name == target.name || *address == target.address;
            let is_alive = !self.is_silent(now, rival.last);
            let is_steady = rival.last.since(rival.first) >= self.config.length;
            is_rival && is_alive && is_steady && silence >= now.since(rival.first)
        })
    }

    /// Forgets rivals that send no heartbeats any more.
    pub(super) fn drop_silent(&mut self, now: Moment) {
        let longest = self.config.length;
        self.seen.retain(|_, rival| now.since(rival.last) < longest);
    }
}

fn key_of(heartbeat: &Heartbeat) -> RivalKey {
    (
        heartbeat.name.clone(),
        heartbeat.incarnation,
        heartbeat.address,
    )
}
