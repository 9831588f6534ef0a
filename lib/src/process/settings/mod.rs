//! Settings of an entry of a configured fleet: one YAML file for each entry host.
//!
//! [`Settings::parse`] reads and checks the whole file before the daemon starts anything. It
//! reports the first problem as one [`SettingsError`] with file, line and remedy. Durations and
//! byte sizes are written with their unit, such as `250ms` or `64KiB`.

mod check;
mod check_timing;
mod error;
mod file;
mod serde_unit;

pub use error::{SettingsError, SettingsErrorKind};

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

/// Entry of the fleet, as the settings of every entry list it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Number of the entry.
    pub node: Node,
    /// Availability zone of the entry.
    pub zone: Zone,
    /// Address at which it listens for other entries.
    pub address: SocketAddr,
    /// Whether it is a voter of the log and therefore has a data folder.
    pub voter: bool,
}

/// PEM files by which this entry and its peers authenticate each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tls {
    /// Certificate of the fleet's certificate authority.
    pub authority: PathBuf,
    /// Certificate of this entry, signed by the authority.
    pub certificate: PathBuf,
    /// Private key of the certificate.
    pub key: PathBuf,
}

/// Person or program that may send requests to the operators' address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operator {
    /// Name that is recorded with the notes that the operator approves.
    pub name: String,
    /// BLAKE3 digest of the operator's token, in hex.
    pub digest: String,
    /// Whether this operator may approve notes; otherwise access is read-only.
    pub approve: bool,
}

/// Intervals, leases and timeouts of the control plane.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timing {
    /// Interval between heartbeats of an entry, and between probes of a target.
    #[serde(with = "serde_unit::duration")]
    pub heartbeat: Duration,
    /// Length of an entry's lease, which starts when the entry sends its heartbeat.
    #[serde(with = "serde_unit::duration")]
    pub entry_lease: Duration,
    /// Length of a target's lease, which never outlasts that of its home.
    #[serde(with = "serde_unit::duration")]
    pub target_lease: Duration,
    /// Shortest election timeout; the longest is twice that.
    #[serde(with = "serde_unit::duration")]
    pub election: Duration,
    /// Largest drift between the clocks of two hosts during a lease.
    #[serde(with = "serde_unit::duration")]
    pub drift: Duration,
}

/// Entries that send requests to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Sending {
    /// Only the entry that is the target's home.
    Home,
    /// Every entry, each with an equal share of the target's slots.
    Direct,
}

/// Algorithm that assigns key ranges to targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Assigner {
    /// Assigns ranges by the targets' weight and moves them within a churn budget.
    Weighted,
    /// Hash modulo the number of targets; a baseline for comparison.
    Modulo,
    /// Consistent hashing; a baseline for comparison.
    Consistent,
}

/// Least severity at which an event is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Only events on which an operator has to act.
    Error,
    /// Also events that an operator should look at.
    Warn,
    /// Also events of normal operation.
    Info,
    /// Also details for developers, such as every trace span.
    Debug,
}

/// Format of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Text for people.
    Text,
    /// One JSON object per line.
    Json,
}

/// Destination, format and level of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Log {
    /// Least severity of the events that are logged.
    pub level: LogLevel,
    /// Folder of the log files; `None` logs to standard error.
    pub folder: Option<PathBuf>,
    /// Format of a line.
    pub format: LogFormat,
}

/// Limits that protect an entry from overload and callers from each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Most requests that wait for one target.
    pub queue: u32,
    /// Most open requests of this entry.
    pub open: u32,
    /// Most open connections of callers.
    pub connections: u32,
    /// Time within which the whole head of a request must arrive.
    #[serde(with = "serde_unit::duration")]
    pub head_time: Duration,
    /// Longest time that a connection may stay idle between requests.
    #[serde(with = "serde_unit::duration")]
    pub idle_time: Duration,
    /// Largest head of a request, in bytes.
    #[serde(with = "serde_unit::byte_size")]
    pub head_size: u64,
    /// Largest body of a request, in bytes.
    #[serde(with = "serde_unit::byte_size")]
    pub body_size: u64,
    /// Time that open requests have to finish when the daemon shuts down.
    #[serde(with = "serde_unit::duration")]
    pub shutdown_time: Duration,
}

/// Limits of the once-only register.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Once {
    /// Time for which the outcome of a once-only request is kept.
    #[serde(with = "serde_unit::duration")]
    pub retention: Duration,
    /// Most records that an entry keeps; once it is full, it refuses new once-only requests.
    pub records: u32,
}

/// Validated settings of one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settings {
    /// Name of the fleet; connections from processes of another fleet are refused.
    pub fleet: String,
    /// Number of this entry.
    pub node: Node,
    /// Zone of this entry.
    pub zone: Zone,
    /// Addresses that this entry listens on.
    pub listen: Listen,
    /// All entries of the fleet, this one included.
    pub peers: Vec<Peer>,
    /// Data folder; only voters have one.
    pub data: Option<PathBuf>,
    /// Certificate and key of this entry, and the fleet's certificate authority.
    pub tls: Tls,
    /// Operators that may send requests to the operators' address.
    pub operators: Vec<Operator>,
    /// Intervals, leases and timeouts of the control plane.
    pub timing: Timing,
    /// Entries that send requests to a target.
    pub sending: Sending,
    /// Algorithm that assigns key ranges to targets.
    pub assigner: Assigner,
    /// Destination, format and level of the log.
    pub log: Log,
    /// Limits that protect an entry from overload and callers from each other.
    pub limits: Limits,
    /// Limits of the once-only register.
    pub once: Once,
}

impl Settings {
    /// Parses and checks the text of a settings file; errors name it `file`.
    pub fn parse(text: &str, file: &str) -> Result<Self, SettingsError> {
        let content = file::read(text).map_err(|error| error.in_file(file))?;
        check::settings(&content).map_err(|error| error.in_file(file))
    }

    /// This entry's own item in the list of peers.
    pub fn own_peer(&self) -> Option<&Peer> {
        self.peers.iter().find(|peer| peer.node == self.node)
    }

    /// Whether this entry is a voter of the log.
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
