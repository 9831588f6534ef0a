//! What a target says of itself, and the lease that the answer grants.
//!
//! A target that pulls its lease sends heartbeats to any core host. Only the answer to a heartbeat
//! grants keys, so a lease is counted from a moment that the target knows: its own sending.

use crate::{
    name::{Fence, Incarnation, Service, Target, Zone},
    version::catalog::{KeySpan, TargetRecord},
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// A span that a target holds or is still working on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldSpan {
    /// The keys.
    pub span: KeySpan,
    /// Fence of the grant.
    pub fence: Fence,
}

/// A span that a target let go, with its proof for the next owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedSpan {
    /// The keys.
    pub span: KeySpan,
    /// Proof of the handover.
    pub handover: String,
}

/// One heartbeat of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the target.
    pub name: Target,
    /// Its life.
    pub incarnation: Incarnation,
    /// Service that it serves.
    pub service: Service,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to end.
    pub leaving: bool,
    /// How much longer it is cold.
    pub cold_left: Duration,
    /// Number of the heartbeat in this life; a lower one is late.
    pub serial: u64,
    /// What it holds, or is still working on.
    pub holds: Vec<HeldSpan>,
    /// What it let go since its last acknowledged heartbeat.
    pub released: Vec<ReleasedSpan>,
}

impl Heartbeat {
    /// The life that it speaks of, as the catalog keeps it.
    pub fn record(&self) -> TargetRecord {
        TargetRecord {
            name: self.name.clone(),
            incarnation: self.incarnation,
            service: self.service.clone(),
            address: self.address,
            zone: self.zone.clone(),
            slots: self.slots,
            leaving: self.leaving,
        }
    }
}

/// A span in an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedSpan {
    /// The keys.
    pub span: KeySpan,
    /// Fence of the grant.
    pub fence: Fence,
    /// Proof of the former owner, empty without one.
    pub handover: String,
}

/// All that a target is to hold, counted from its sending of the heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The spans.
    pub grants: Vec<GrantedSpan>,
    /// Length of the lease by the target's clock.
    pub length: Duration,
}
