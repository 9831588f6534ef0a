//! What core hosts and entries of a seeded fleet tell each other.
//!
//! An entry holds a copy of the catalog. The leader sends it whole once, then each committed
//! update, and several times a second a [`LeaderStatus`] with what the log does not keep. An entry whose
//! latest pulse is old knows that its copy may be old too.

use super::catalog::{Catalog, KeySpan, TargetId, Update};
use crate::{
    moment::Moment,
    name::{Node, Service, Zone},
    process::{
        control_call::{ControlCall, ControlReply},
        raft::Message,
    },
    request::balance::LoadReport,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// First message on a connection: who dials.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Handshake {
    /// A core host.
    Core {
        /// Its number.
        node: Node,
    },
    /// An entry that wants a copy of the catalog.
    Entry {
        /// Its name.
        name: String,
        /// Its zone.
        zone: Zone,
    },
}

/// From the host that dialled to a core host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToCore {
    /// Message of the replicated log.
    Raft(Message),
    /// A call to pass on, with a number that the answer repeats.
    Call(u64, ControlCall),
    /// What an entry saw since its last report.
    Report(TrafficReport),
    /// Asks for a sign of life.
    Ping,
    /// Asks the leader to say when this was sent, by the entry's clock, behind all that it has sent.
    Confirm(Moment),
}

/// From a core host to the host that dialled.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FromCore {
    /// Who leads and who the core hosts are, as far as this one knows.
    Members {
        /// The leader.
        leader: Option<Node>,
        /// Core hosts.
        nodes: Vec<Node>,
    },
    /// Answer to a call of this number.
    Reply(u64, ControlReply),
    /// The whole catalog as of a log index; made by [`FromCore::snapshot`].
    Snapshot(u64, Box<Catalog>),
    /// Updates up to and with a log index; made by [`FromCore::updates`].
    Updates(u64, Vec<Update>),
    /// What the log does not keep.
    Status(LeaderStatus),
    /// A sign of life.
    Pong,
    /// All that was acknowledged when the entry asked, at this time of its clock, came before.
    Confirmed(Moment),
}

impl FromCore {
    /// A copy for an entry, without what only core hosts need.
    pub fn snapshot(index: u64, catalog: &Catalog) -> Self {
        let mut catalog = Box::new(catalog.clone());
        catalog.desired.drop_sources();
        FromCore::Snapshot(index, catalog)
    }

    /// Updates for entries, without what only core hosts need.
    pub fn updates(index: u64, mut updates: Vec<Update>) -> Self {
        for update in &mut updates {
            if let Update::Desired(change) = update {
                change.drop_sources();
            }
        }
        FromCore::Updates(index, updates)
    }
}

/// Whole milliseconds of a time, as messages carry it.
pub fn saturating_millis(duration: Duration) -> u16 {
    u16::try_from(duration.as_millis()).unwrap_or(u16::MAX)
}

/// What the leader knows beside the catalog; each pulse replaces the one before.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaderStatus {
    /// Log index up to which the leader has applied.
    pub index: u64,
    /// Entries that follow the leader.
    pub entries: u32,
    /// Keys that nobody serves at this moment, and when they will be served again.
    pub pending: Vec<PendingSpan>,
    /// Cold targets, and how much longer they are.
    pub cold: Vec<(TargetId, Duration)>,
    /// Targets that have not been heard for the length of a lease.
    pub unresponsive: Vec<TargetId>,
    /// Loads that entries reported since the last pulse, and their ages in ms.
    pub loads: Vec<(TargetId, LoadReport, u16)>,
    /// Time that requests take of late at each target, as all entries together saw it, in ms.
    pub service_times: Vec<(TargetId, u16)>,
}

/// Keys on their way to an owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingSpan {
    /// The service.
    pub service: Service,
    /// The keys.
    pub span: KeySpan,
    /// Time until the new owner is expected to serve them.
    pub wait: Duration,
}

/// What an entry saw since its last report.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TrafficReport {
    /// Requests for each bucket of keys.
    pub buckets: Vec<BucketTraffic>,
    /// Answers of each target.
    pub targets: Vec<TargetTraffic>,
}

/// Requests for a bucket of keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketTraffic {
    /// The service.
    pub service: Service,
    /// The bucket.
    pub bucket: u16,
    /// Requests that came.
    pub requests: u32,
}

/// Answers of a target.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetTraffic {
    /// The target.
    pub id: TargetId,
    /// Answers that came.
    pub answers: u32,
    /// Sum of the times from sending to answer of those that were answered.
    pub total_time: Duration,
    /// Answers among them that came from a target where nothing waited.
    pub unqueued: u32,
    /// Sum of their times.
    pub unqueued_time: Duration,
    /// What the target said of its load last, and the age of that in ms.
    pub load: Option<(LoadReport, u16)>,
}
