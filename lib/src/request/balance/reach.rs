//! Whether an entry reaches targets by its own links, and which other entries its requests go by if
//! it does not.
//!
//! Failed connections to several targets make an entry check its links: it connects to a sample of
//! targets and of other entries. It is detached if it reaches no target, but another entry. An entry
//! whose own link is full reaches neither, and gains nothing from a longer way.
//!
//! Load pattern: an entry loses its links to all targets, while callers, core hosts and other entries
//! still reach it; so do few entries or most of a zone. Targets that end refuse connections too.

use crate::{
    moment::Moment,
    name::Zone,
    version::{catalog::TargetId, feed::Peer},
};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

/// Targets to which connections must have failed before links are checked.
const FAILED_TARGETS: usize = 2;
/// Time for which a failed connection counts: an entry of a large fleet opens few connections.
const FAILURE_AGE: Duration = Duration::from_secs(3);
/// Shortest interval between two checks of an entry that reaches targets. All entries check while
/// many targets are down.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest interval between two checks of a detached entry.
const DETACHED_INTERVAL: Duration = Duration::from_millis(400);
/// Time for which an entry that could not be reached is passed over.
const PEER_BACKOFF: Duration = Duration::from_secs(1);
/// Requests under way at an entry of the own zone from which others are used as well: a longer queue
/// costs more than the way to another zone.
const NEAR_MAX: u32 = 16;
/// Requests under way at one other entry, whose own callers come first.
const DETOURS_MAX: u32 = 64;

/// Connections that were tried for a check of the links.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkCheck {
    /// Number of targets that were tried.
    pub targets: usize,
    /// Number of targets that were reached.
    pub reached: usize,
    /// Whether another entry was reached.
    pub has_peer: bool,
}

/// Links of one entry to targets.
#[derive(Debug, Default)]
pub struct Reach {
    failures: BTreeMap<TargetId, Moment>,
    checked_at: Option<Moment>,
    detached: bool,
}

impl Reach {
    /// Records that no connection to a target was made. Returns whether the links are to be checked.
    pub fn record_failure(&mut self, now: Moment, id: TargetId) -> bool {
        self.failures.insert(id, now);
        self.failures.retain(|_, at| now.since(*at) < FAILURE_AGE);
        self.is_check_due(now)
    }

    /// Records that a target was reached.
    pub fn record_contact(&mut self, id: TargetId) {
        self.failures.remove(&id);
    }

    /// Whether the links are to be checked.
    pub fn is_check_due(&self, now: Moment) -> bool {
        let interval = match self.detached {
            true => DETACHED_INTERVAL,
            false => CHECK_INTERVAL,
        };
        let is_recent = |at: Moment| now.since(at) < interval;
        let is_suspect = self.detached || self.failures.len() >= FAILED_TARGETS;
        is_suspect && !self.checked_at.is_some_and(is_recent)
    }

    /// Records a check. Returns whether the entry is detached by it and was not, or the reverse.
    pub fn record_check(&mut self, now: Moment, check: LinkCheck) -> bool {
        self.checked_at = Some(now);
        let was_detached = self.detached;
        self.detached = match was_detached {
            // Links that come back one by one are used once most of them are there. Who reaches nobody
            // learns nothing.
            true => check.reached * 2 < check.targets,
            false => check.has_peer && check.reached == 0 && check.targets > 0,
        };
        if self.detached != was_detached {
            self.failures.clear();
        }
        self.detached != was_detached
    }

    /// Whether the entry reaches no target by its own links, but other entries.
    pub fn is_detached(&self) -> bool {
        self.detached
    }
}

/// Why no other entry can be asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoPeer {
    /// Each has as many requests under way as it may have.
    Full,
    /// None reaches targets and can be reached.
    Unreached,
}

/// Other entries, as the leader tells of them.
#[derive(Debug, Default)]
pub struct Peers {
    peers: Vec<Peer>,
    numbers: HashMap<SocketAddr, u32>,
    in_flight: HashMap<SocketAddr, u32>,
    unreached: HashMap<SocketAddr, Moment>,
}

impl Peers {
    /// Takes over the entries that the leader knows, without this one.
    pub fn update(&mut self, peers: Vec<Peer>, own: SocketAddr) {
        self.peers = peers;
        self.peers.retain(|peer| peer.address != own);
        let known = |address: &SocketAddr| self.peers.iter().any(|peer| peer.address == *address);
        self.unreached.retain(|address, _| known(address));
        self.in_flight.retain(|_, count| *count > 0);
    }

    /// Entries that reach targets, in the order of the leader.
    pub fn helpful(&self) -> impl Iterator<Item = SocketAddr> {
        let helpful = self.peers.iter().filter(|peer| peer.is_helpful);
        helpful.map(|peer| peer.address)
    }

    /// Chooses the entry by which a request goes; of two that are drawn the one with less under way.
    /// Entries of the own zone are used for as many requests as come of as many detached entries,
    /// unless they have much under way; a zone of which most is detached would overload the rest.
    /// `draw` gives a number below its argument.
    pub fn choose(
        &self,
        now: Moment,
        zone: &Zone,
        tried: &[SocketAddr],
        mut draw: impl FnMut(usize) -> usize,
    ) -> Result<SocketAddr, NoPeer> {
        let is_reached = |peer: &&Peer| {
            let failed = self.unreached.get(&peer.address);
            let rests = failed.is_some_and(|at| now.since(*at) < PEER_BACKOFF);
            peer.is_helpful && !rests && !tried.contains(&peer.address)
        };
        let mut usable: Vec<&Peer> = self.peers.iter().filter(is_reached).collect();
        if usable.is_empty() {
            return Err(NoPeer::Unreached);
        }
        usable.retain(|peer| self.in_flight(peer.address) < DETOURS_MAX);
        let is_near = |p: &&&Peer| p.zone == *zone && self.in_flight(p.address) < NEAR_MAX;
        let near: Vec<&Peer> = usable.iter().filter(is_near).copied().collect();
        let is_detached = |peer: &&Peer| !peer.is_helpful && peer.zone == *zone;
        let detached = 1 + self.peers.iter().filter(is_detached).count();
        let pool = match draw(detached) < near.len() {
            true => near,
            false => usable,
        };
        if pool.is_empty() {
            return Err(NoPeer::Full);
        }
        let mut pick = || pool[draw(pool.len())].address;
        let (first, second) = (pick(), pick());
        match self.in_flight(second) < self.in_flight(first) {
            true => Ok(second),
            false => Ok(first),
        }
    }

    /// Number of an entry, the same for as long as this process runs.
    pub fn number(&mut self, address: SocketAddr) -> u32 {
        let next = self.numbers.len() as u32;
        *self.numbers.entry(address).or_insert(next)
    }

    /// Counts a request that goes by an entry.
    pub fn record_sent(&mut self, address: SocketAddr) {
        *self.in_flight.entry(address).or_default() += 1;
    }

    /// Counts the end of a request that went by an entry.
    pub fn record_end(&mut self, address: SocketAddr) {
        if let Some(count) = self.in_flight.get_mut(&address) {
            *count = count.saturating_sub(1);
        }
    }

    /// Records that an entry could not be reached.
    pub fn record_unreached(&mut self, now: Moment, address: SocketAddr) {
        self.unreached.insert(address, now);
    }

    fn in_flight(&self, address: SocketAddr) -> u32 {
        self.in_flight.get(&address).copied().unwrap_or_default()
    }
}
