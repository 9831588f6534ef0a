//! Messages between the core hosts and the entries of a seeded fleet.
//!
//! Each entry keeps a replica of the catalog. The leader sends the whole catalog once, then every
//! committed update, and several times a second a [`LeaderStatus`] with the state that the log does
//! not keep. When its latest status is old, an entry knows that its replica may be out of date too.

use super::{
    catalog::{Catalog, KeySpan, TargetId, Update},
    command::Fingerprint,
    permits::{LimitReport, PermitReply, PermitRequest, RateLimit},
    suspects::{Quarantined, SuspectReport, TrialReply},
};
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
use std::{net::SocketAddr, time::Duration};

/// First message on a connection: identifies the host that opened it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Handshake {
    /// A core host.
    Core {
        /// Node number of the core host in the replicated log.
        node: Node,
    },
    /// An entry that subscribes to the catalog.
    Entry {
        /// Name of the entry.
        name: String,
        /// Availability zone the entry runs in.
        zone: Zone,
    },
}

/// Message to a core host, from the host that opened the connection.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToCore {
    /// Message of the replicated log.
    Raft(Message),
    /// A call to forward to the leader, with a number that the reply repeats. How old it is when it
    /// arrives is not known; see [`ToCore::TimedCall`].
    Call(u64, ControlCall),
    /// Traffic that an entry saw since its last report.
    Report(TrafficReport),
    /// Keepalive; answered by [`FromCore::Pong`], or by [`FromCore::Clock`] if a core host of level
    /// [`DEADLINES`](super::wire_level::WireLevel::DEADLINES) sends it.
    Ping,
    /// Asks the leader to echo this time of the entry's clock once it has sent the entry every
    /// update that was committed by then. Answered by [`FromCore::Confirmed`].
    Confirm(Moment),
    /// Limits that targets named or took back in answers to an entry.
    Limits(Vec<LimitReport>),
    /// Asks the leader for a permit, with a number that the reply repeats. Answered by
    /// [`FromCore::Permit`].
    Permit(u64, PermitRequest),
    /// Requests under which connections to targets broke, and those that were answered since.
    Suspects(SuspectReport),
    /// How other entries reach this one, and whether it reaches targets.
    Peer(Peer),
    /// Asks to run a suspected request that has so many ms left, with a number that the reply
    /// repeats. Answered by [`FromCore::Trial`].
    Trial(u64, Fingerprint, u32),
    /// Suspected requests whose trial has ended, however it did.
    TrialsEnded(Vec<Fingerprint>),
    /// A call to forward to the leader.
    TimedCall {
        /// Number that the reply repeats.
        number: u64,
        /// Moment of the receiver's clock by which the sender of the call has given up.
        deadline: Moment,
        /// The call.
        call: ControlCall,
    },
}

/// Message from a core host to the host that opened the connection.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FromCore {
    /// The leader and the core hosts, as far as this core host knows.
    Members {
        /// Current leader, if one is known.
        leader: Option<Node>,
        /// All core hosts.
        nodes: Vec<Node>,
    },
    /// Reply to the call with this number.
    Reply(u64, ControlReply),
    /// The whole catalog at a log index; made by [`FromCore::snapshot`].
    Snapshot(u64, Box<Catalog>),
    /// Updates up to and including a log index; made by [`FromCore::updates`].
    Updates(u64, Vec<Update>),
    /// State that the log does not keep.
    Status(LeaderStatus),
    /// Answer to [`ToCore::Ping`].
    Pong,
    /// The entry has been sent every update that was acknowledged before it sent
    /// [`ToCore::Confirm`], at this time of its clock.
    Confirmed(Moment),
    /// Reply to the [`ToCore::Permit`] with this number.
    Permit(u64, PermitReply),
    /// Status with the limits that targets have named; a [`FromCore::Status`] tells that there are
    /// none. Two messages, so that releases without limits understand each other's until one is named.
    LimitedStatus(LeaderStatus, Vec<(TargetId, RateLimit)>),
    /// Requests that every entry refuses, because targets ended under them.
    Quarantined(Vec<Quarantined>),
    /// All entries that follow the leader.
    Peers(Vec<Peer>),
    /// Reply to the [`ToCore::Trial`] with this number.
    Trial(u64, TrialReply),
    /// All requests under suspicion, each of which needs a trial.
    Suspected(Vec<Fingerprint>),
    /// Answer to the [`ToCore::Ping`] of a core host: the time by the clock of the sender.
    Clock(Moment),
}

impl ToCore {
    /// Whether the message is a report of nothing.
    pub fn is_empty(&self) -> bool {
        match self {
            ToCore::Suspects(report) => report.is_empty(),
            ToCore::Limits(reports) => reports.is_empty(),
            ToCore::TrialsEnded(requests) => requests.is_empty(),
            _ => false,
        }
    }
}

impl FromCore {
    /// The catalog for an entry, without the item sources, which only core hosts need.
    pub fn snapshot(index: u64, catalog: &Catalog) -> Self {
        let mut catalog = Box::new(catalog.clone());
        catalog.desired.drop_sources();
        FromCore::Snapshot(index, catalog)
    }

    /// Updates for entries, without the findings and the item sources, which only core hosts need.
    pub fn updates(index: u64, mut updates: Vec<Update>) -> Self {
        updates.retain(Update::is_for_entries);
        for update in &mut updates {
            if let Update::Desired(change) = update {
                change.drop_sources();
            }
        }
        FromCore::Updates(index, updates)
    }
}

/// An entry, as the others know it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Address at which it takes requests.
    pub address: SocketAddr,
    /// Availability zone it runs in.
    pub zone: Zone,
    /// Whether it reaches targets and takes requests of other entries.
    pub is_helpful: bool,
}

/// Whole milliseconds of a duration as messages carry it, at most [`u16::MAX`].
pub fn to_millis(duration: Duration) -> u16 {
    u16::try_from(duration.as_millis()).unwrap_or(u16::MAX)
}

/// Periodic message of the leader with state that the log does not keep. Each status replaces the
/// previous one.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaderStatus {
    /// Index of the last log entry that the leader applied.
    pub index: u64,
    /// Number of entries that follow the leader.
    pub entries: u32,
    /// Key spans that nobody serves now, with the expected time until they are served again.
    pub pending: Vec<PendingSpan>,
    /// Cold targets, each with the time until it is warm.
    pub cold: Vec<(TargetId, Duration)>,
    /// Targets whose last heartbeat is older than a lease.
    pub unresponsive: Vec<TargetId>,
    /// Loads of targets that entries reported since loads were last sent, with their ages in ms.
    pub loads: Vec<(TargetId, LoadReport, u16)>,
    /// Recent service time of each target over the requests of all entries, in ms.
    pub service_times: Vec<(TargetId, u16)>,
}

/// Key span on its way to a new owner that nobody serves meanwhile.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingSpan {
    /// Service that the keys belong to.
    pub service: Service,
    /// Pending keys.
    pub span: KeySpan,
    /// Expected time until the new owner serves the keys.
    pub wait: Duration,
}

/// Traffic that an entry saw since its last report.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TrafficReport {
    /// Requests per bucket of keys.
    pub buckets: Vec<BucketTraffic>,
    /// Answers per target.
    pub targets: Vec<TargetTraffic>,
}

/// Requests for the keys of one bucket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketTraffic {
    /// Service that the keys belong to.
    pub service: Service,
    /// Bucket number; see [`KeyLoad::bucket`](super::sharding::KeyLoad::bucket).
    pub bucket: u16,
    /// Number of requests.
    pub requests: u32,
}

/// Answers of one target.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetTraffic {
    /// Target that answered.
    pub id: TargetId,
    /// Number of answered requests, and of those without an answer that took longer than usual.
    pub answers: u32,
    /// Sum of the times from sending to the end of all these requests.
    pub total_time: Duration,
    /// Number of these requests at whose end the target had no queue, as far as is known.
    pub unqueued: u32,
    /// Sum of the times from sending to the end of the requests counted in `unqueued`.
    pub unqueued_time: Duration,
    /// Latest load report of the target and its age in ms.
    pub load: Option<(LoadReport, u16)>,
}
