//! Settings of a daemon: one YAML file for each entry host.
//!
//! [`Settings::parse`] reads the whole file and checks it before anything starts. Every fault is
//! one [`SettingsError`] with its file, line and remedy. Values that span time or bytes carry their
//! unit, such as `250ms` or `64KiB`.

mod check;
mod check_timing;
mod error;
mod raw;
mod with_unit;

pub use error::{SettingsError, SettingsFault};

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
    #[serde(with = "with_unit::span")]
    pub heartbeat: Duration,
    /// Lease of an entry, from the time it sent the heartbeat.
    #[serde(with = "with_unit::span")]
    pub entry_lease: Duration,
    /// Lease of a target, never beyond that of its home.
    #[serde(with = "with_unit::span")]
    pub target_lease: Duration,
    /// Shortest election time-out; the longest is twice that.
    #[serde(with = "with_unit::span")]
    pub election: Duration,
    /// How much the clocks of two hosts may run apart during a lease.
    #[serde(with = "with_unit::span")]
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

/// How urgent an event must be to reach the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Only what an operator has to act on.
    Error,
    /// And what an operator should look at.
    Warn,
    /// And the ordinary course of things.
    Info,
    /// And detail for developers, such as every span.
    Debug,
}

/// Shape of a line of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Text for people.
    Text,
    /// One JSON object a line.
    Json,
}

/// Where the log goes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Log {
    /// Least urgent events that are written.
    pub level: LogLevel,
    /// Folder of the log files; none writes to standard error.
    pub folder: Option<PathBuf>,
    /// Shape of a line.
    pub format: LogFormat,
}

/// Bounds that protect an entry and its callers from each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Requests that wait for one target.
    pub queue: u32,
    /// Open requests of this entry.
    pub open: u32,
    /// Open connections of callers.
    pub connections: u32,
    /// Time for the head of a request to arrive, in full.
    #[serde(with = "with_unit::span")]
    pub head_time: Duration,
    /// Time that a connection may stay idle between requests.
    #[serde(with = "with_unit::span")]
    pub idle_time: Duration,
    /// Bytes of the head of a request.
    #[serde(with = "with_unit::size")]
    pub head_size: u64,
    /// Bytes of the body of a request.
    #[serde(with = "with_unit::size")]
    pub body_size: u64,
    /// Time for requests in flight to end once the daemon shuts down.
    #[serde(with = "with_unit::span")]
    pub shutdown_time: Duration,
}

/// Records of once-only requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Once {
    /// Time that the outcome of a once-only request is kept.
    #[serde(with = "with_unit::span")]
    pub retention: Duration,
    /// Records that each entry keeps at most; beyond that it refuses new once-only requests.
    pub records: u32,
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
    /// Where the log goes.
    pub log: Log,
    /// Bounds that protect an entry and its callers.
    pub limits: Limits,
    /// Records of once-only requests.
    pub once: Once,
}

impl Settings {
    /// Reads and checks the text of a settings file; `file` is its name in errors.
    pub fn parse(text: &str, file: &str) -> Result<Self, SettingsError> {
        let raw = raw::read(text).map_err(|fault| fault.in_file(file))?;
        check::settings(&raw).map_err(|fault| fault.in_file(file))
    }

    /// What all entries' settings say of this entry.
    pub fn own_peer(&self) -> Option<&Peer> {
        self.peers.iter().find(|peer| peer.node == self.node)
    }

    /// Whether this entry has a data folder and votes.
    pub fn is_voter(&self) -> bool {
        self.own_peer().is_some_and(|peer| peer.voter)
    }
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            heartbeat: Duration::from_millis(100),
            entry_lease: Duration::from_millis(900),
            target_lease: Duration::from_millis(400),
            election: Duration::from_millis(250),
            drift: Duration::from_millis(20),
        }
    }
}

impl Default for Log {
    fn default() -> Self {
        Log {
            level: LogLevel::Info,
            folder: None,
            format: LogFormat::Text,
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            queue: 64,
            open: 4_096,
            connections: 2_048,
            head_time: Duration::from_secs(5),
            idle_time: Duration::from_secs(60),
            head_size: 16 << 10,
            body_size: 256 << 20,
            shutdown_time: Duration::from_secs(30),
        }
    }
}

impl Default for Once {
    fn default() -> Self {
        Once {
            retention: Duration::from_secs(24 * 3_600),
            records: 1_000_000,
        }
    }
}
