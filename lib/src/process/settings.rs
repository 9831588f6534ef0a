//! Settings of a daemon: one YAML file for each entry host.

use crate::name::{Node, Zone};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, path::PathBuf, time::Duration};

/// Addresses that the daemon listens on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listen {
    /// Requests of callers, over HTTP.
    pub callers: SocketAddr,
    /// Announcements of targets, over HTTP.
    pub targets: SocketAddr,
    /// Operators' commands, page and metrics, over HTTP.
    pub operators: SocketAddr,
    /// Other entries, over QUIC.
    pub peers: SocketAddr,
}

/// Another entry, or this one, as every entry's settings list them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its number.
    pub node: Node,
    /// Its zone.
    pub zone: Zone,
    /// Where it listens for other entries.
    pub address: SocketAddr,
    /// Whether it has a data folder and votes.
    pub voter: bool,
}

/// Files with the keys of this entry, all PEM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tls {
    /// Certificate of the fleet's own authority.
    pub authority: PathBuf,
    /// Certificate of this entry.
    pub certificate: PathBuf,
    /// Private key of this entry.
    pub key: PathBuf,
}

/// Someone who may talk to the operators' address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operator {
    /// Name, as it stands in the records of notes.
    pub name: String,
    /// BLAKE3 digest of the operator's token, in hex.
    pub digest: String,
    /// Whether this operator may approve notes, or only look.
    pub approve: bool,
}

/// Time spans of the control plane.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timing {
    /// Pause between heartbeats of an entry, and between probes of a target.
    pub heartbeat: Duration,
    /// Lease of an entry, from the time it sent the heartbeat.
    pub entry_lease: Duration,
    /// Lease of a target, never beyond that of its home.
    pub target_lease: Duration,
    /// Shortest election time-out; the longest is twice that.
    pub election: Duration,
    /// How much the clocks of two hosts may run apart during a lease.
    pub drift: Duration,
}

/// Who sends requests to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Sending {
    /// The one entry that is the target's home.
    Home,
    /// Every entry, with a share of the target's slots.
    Direct,
}

/// How ranges are given to targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Assigner {
    /// Ranges moved by weight under a churn budget.
    Weighted,
    /// Baseline: hash modulo the number of targets.
    Modulo,
    /// Baseline: consistent hashing.
    Consistent,
}

/// Settings of one daemon, checked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settings {
    /// Name of the fleet; processes of another fleet are turned away.
    pub fleet: String,
    /// Number of this entry.
    pub node: Node,
    /// Zone of this entry.
    pub zone: Zone,
    /// Addresses of this entry.
    pub listen: Listen,
    /// All entries of the fleet, this one included.
    pub peers: Vec<Peer>,
    /// Data folder of a voter.
    pub data: Option<PathBuf>,
    /// Keys of this entry.
    pub tls: Tls,
    /// Who may talk to the operators' address.
    pub operators: Vec<Operator>,
    /// Time spans of the control plane.
    pub timing: Timing,
    /// Who sends requests to a target.
    pub sending: Sending,
    /// How ranges are given to targets.
    pub assigner: Assigner,
}
