//! Heartbeats of targets in a seeded fleet and the leases in the answers.
//!
//! A target sends heartbeats to any core host. Only the answer to a heartbeat grants keys, so the
//! target can count its lease from a time that it knows: when it sent the heartbeat.

use crate::{
    name::{Fence, Incarnation, Service, Target, Zone},
    version::catalog::{KeySpan, TargetRecord},
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// Key span that a target holds, or for which it still runs requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldSpan {
    /// Keys of the span.
    pub span: KeySpan,
    /// Fencing token of the grant.
    pub fence: Fence,
}

/// Key span that a target released, with a handover proof for the next owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedSpan {
    /// Keys of the span.
    pub span: KeySpan,
    /// Handover proof for the next owner.
    pub handover: String,
}

/// Periodic message by which a target reports its state and renews its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the target.
    pub name: Target,
    /// Incarnation of the target that sends it.
    pub incarnation: Incarnation,
    /// Service whose requests the target serves.
    pub service: Service,
    /// Address at which the target listens for requests.
    pub address: SocketAddr,
    /// Availability zone the target runs in.
    pub zone: Zone,
    /// Concurrency limit of the target.
    pub slots: u32,
    /// Whether the target is shutting down.
    pub leaving: bool,
    /// Time until the target is warm.
    pub cold_left: Duration,
    /// Serial number of the heartbeat in this incarnation; one not above the last is stale.
    pub serial: u64,
    /// Key spans that the target holds, or for which it still runs requests.
    pub holds: Vec<HeldSpan>,
    /// Key spans that the target released since its last acknowledged heartbeat.
    pub released: Vec<ReleasedSpan>,
}

impl Heartbeat {
    /// Record of the sending incarnation for the catalog.
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

/// Key span that the answer to a heartbeat grants.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedSpan {
    /// Keys of the span.
    pub span: KeySpan,
    /// Fencing token of the grant.
    pub fence: Fence,
    /// Handover proof of the former owner; empty if there is none.
    pub handover: String,
}

/// All key spans that a target may hold. The lease starts when the target sent the heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Key spans to hold; the target releases all others.
    pub grants: Vec<GrantedSpan>,
    /// Duration of the lease by the target's clock.
    pub length: Duration,
}
