//! Settings of one process of a seeded fleet: a core host or an entry.
//!
//! A seeded fleet has no list of its members. A process knows a few seeds and learns the other
//! members from them. The file may be replaced by one with other seeds while the process runs.

use super::{
    settings::{Log, LogLevel},
    unit::HumanDuration,
};
use crate::name::Zone;
use miette::Diagnostic;
use serde::Deserialize;
use std::{
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    time::Duration,
};
use thiserror::Error;

/// Length of a target's lease, unless `longest_lease` is shorter.
const DEFAULT_LEASE: Duration = Duration::from_secs(4);
/// Time within which a change takes effect at every entry, unless `in_force` is set.
const DEFAULT_IN_FORCE: Duration = Duration::from_secs(2);
/// Core hosts that may lose their disks at the same time, unless `tolerated_losses` is set.
const DEFAULT_TOLERATED_LOSSES: u8 = 2;
/// Idle connections of an entry to all targets, unless `idle_connections` is set.
pub const DEFAULT_IDLE_CONNECTIONS: usize = 96;
/// Largest `idle_connections`; they would hold 160 MiB.
const MAX_IDLE_CONNECTIONS: usize = 10_000;
/// Shortest `in_force`: entries ask twice a second whether their replica is current.
const MIN_IN_FORCE: Duration = Duration::from_secs(1);
/// Highest `zones.cost_per_kib`: at it a body of 64 KiB waits for a minute.
const MAX_COST_PER_KIB: Duration = Duration::from_secs(1);

/// Error in the settings of a process of a seeded fleet.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum SeededSettingsError {
    /// The text is not valid YAML, or a key is unknown, missing or of the wrong type.
    #[error("{file}: {message}")]
    #[diagnostic(
        code(cornelrail::seeded::syntax),
        help("correct the file; docs/SEEDED.md has a complete example")
    )]
    Syntax {
        /// Name of the settings file.
        file: String,
        /// Message of the YAML parser, with the line.
        message: String,
    },
    /// A key that the role requires is missing.
    #[error("{file}: `{key}` is missing; the role `{role}` requires it")]
    #[diagnostic(code(cornelrail::seeded::missing), help("add the key"))]
    Missing {
        /// Name of the settings file.
        file: String,
        /// The missing key.
        key: &'static str,
        /// Role of the process.
        role: &'static str,
    },
    /// A value is out of range.
    #[error("{file}: `{key}` must be {bound}")]
    #[diagnostic(code(cornelrail::seeded::bound), help("change the value"))]
    OutOfRange {
        /// Name of the settings file.
        file: String,
        /// Key of the value.
        key: &'static str,
        /// Condition that the value must meet.
        bound: &'static str,
    },
}

/// Role of a process in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Core host: keeps the replicated log and answers targets and operators.
    Core,
    /// Entry: accepts the requests of callers.
    Entry,
}

impl Role {
    /// Name of the role in the settings.
    pub fn name(self) -> &'static str {
        match self {
            Role::Core => "core",
            Role::Entry => "entry",
        }
    }
}

/// Addresses that the process listens on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SeededListen {
    /// Requests of callers; only on entries.
    pub callers: Option<SocketAddr>,
    /// Readiness checks; only on entries.
    pub ready: Option<SocketAddr>,
    /// Calls of targets and operators; only on core hosts.
    pub control: Option<SocketAddr>,
    /// Metrics in the Prometheus text format.
    pub metrics: Option<SocketAddr>,
}

/// Limit on retries by all entries together.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryLimit {
    /// Retries allowed per new request.
    pub ratio: f64,
    /// Retries allowed in each window in addition to the ratio.
    pub floor: f64,
    /// Length of the window over which requests and retries are counted.
    pub window: HumanDuration,
}

/// Price of traffic between zones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZonePrice {
    /// Wait that is accepted to keep one KiB of a request in the zone.
    #[serde(rename = "cost_per_kib")]
    pub kib_cost: HumanDuration,
}

/// Validated settings of one process.
#[derive(Debug, Clone, PartialEq)]
pub struct SeededSettings {
    /// Role of the process.
    pub role: Role,
    /// Name of the process in logs.
    pub name: String,
    /// Availability zone that the process runs in.
    pub zone: Zone,
    /// Address at which other processes reach this host.
    pub address: IpAddr,
    /// Port on which core hosts listen for other processes; the same on all hosts.
    pub port: u16,
    /// Hosts from which the process learns the members of the fleet.
    pub seeds: Vec<IpAddr>,
    /// Whether the fleet starts for the first time, so that the seeds may bootstrap it.
    pub found: bool,
    /// Addresses that the process listens on.
    pub listen: SeededListen,
    /// Data folder; required on core hosts.
    pub data: Option<PathBuf>,
    /// Usual interval between heartbeats of a target.
    pub heartbeat: Duration,
    /// Length of a target's lease: `longest_lease`, but at most 4 seconds.
    pub lease: Duration,
    /// Time from the acknowledgment of a change until it takes effect at every entry.
    pub in_force: Duration,
    /// Time from the acknowledgment of a target's leave message to the last new request that the
    /// target receives.
    pub drain: Duration,
    /// Time from the acknowledged removal of a zone from service to the last new request that
    /// its targets receive.
    pub evacuate: Duration,
    /// Time from the request to shut down to the end of the process.
    pub grace: Duration,
    /// Core hosts that may lose their disks at the same time.
    pub tolerated_losses: u8,
    /// Limit on retries.
    pub retry: RetryLimit,
    /// Capacity of the link of the host in each direction, in megabits per second.
    pub link: Option<f64>,
    /// Price of traffic between zones; without it an entry compares each request at all zones.
    pub zones: Option<ZonePrice>,
    /// Maximum number of idle connections of an entry to all targets together.
    pub idle_connections: usize,
    /// Destination, format and level of the log.
    pub log: Log,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SeededSettingsFile {
    role: Role,
    name: String,
    zone: Zone,
    address: IpAddr,
    port: u16,
    seeds: Vec<SocketAddr>,
    found: bool,
    listen: SeededListen,
    data: Option<PathBuf>,
    heartbeat: HumanDuration,
    longest_lease: HumanDuration,
    in_force: Option<HumanDuration>,
    drain: HumanDuration,
    evacuate: HumanDuration,
    grace: HumanDuration,
    tolerated_losses: Option<u8>,
    retry: RetryLimit,
    link: Option<f64>,
    zones: Option<ZonePrice>,
    idle_connections: Option<usize>,
    log: Option<LogLevel>,
}

impl SeededSettings {
    /// Whether the text is a settings file of a seeded fleet, rather than of a configured one: only
    /// the former has a top-level key `role`.
    pub fn is_seeded(text: &str) -> bool {
        text.lines().any(|line| line.starts_with("role:"))
    }

    /// Parses and checks the text of a settings file; errors name it `file`.
    pub fn parse(text: &str, file: &str) -> Result<Self, SeededSettingsError> {
        let content: SeededSettingsFile =
            serde_saphyr::from_str(text).map_err(|error| SeededSettingsError::Syntax {
                file: file.to_owned(),
                message: error.to_string(),
            })?;
        check(&content, file)?;
        let in_force = in_force(&content);
        Ok(SeededSettings {
            role: content.role,
            name: content.name,
            zone: content.zone,
            address: content.address,
            port: content.port,
            seeds: content.seeds.iter().map(SocketAddr::ip).collect(),
            found: content.found,
            listen: content.listen,
            data: content.data,
            heartbeat: content.heartbeat.0,
            lease: content.longest_lease.0.min(DEFAULT_LEASE),
            in_force,
            drain: content.drain.0,
            evacuate: content.evacuate.0,
            grace: content.grace.0,
            tolerated_losses: content.tolerated_losses.unwrap_or(DEFAULT_TOLERATED_LOSSES),
            retry: content.retry,
            link: content.link,
            zones: content.zones,
            idle_connections: content.idle_connections.unwrap_or(DEFAULT_IDLE_CONNECTIONS),
            log: Log {
                level: content.log.unwrap_or(LogLevel::Info),
                ..Log::default()
            },
        })
    }

    /// Number of voters that bear the tolerated losses.
    pub fn min_voters(&self) -> usize {
        2 * usize::from(self.tolerated_losses) + 1
    }
}

fn in_force(content: &SeededSettingsFile) -> Duration {
    let set = content.in_force.as_ref().map(|time| time.0);
    set.unwrap_or(DEFAULT_IN_FORCE)
}

/// Checks that the keys required by the role are set and that the values are in range.
fn check(content: &SeededSettingsFile, file: &str) -> Result<(), SeededSettingsError> {
    let missing = |key| SeededSettingsError::Missing {
        file: file.to_owned(),
        key,
        role: content.role.name(),
    };
    let out_of_range = |key, bound| SeededSettingsError::OutOfRange {
        file: file.to_owned(),
        key,
        bound,
    };
    match content.role {
        Role::Core => {
            content
                .listen
                .control
                .ok_or_else(|| missing("listen.control"))?;
            content.data.as_ref().ok_or_else(|| missing("data"))?;
        }
        Role::Entry => {
            content
                .listen
                .callers
                .ok_or_else(|| missing("listen.callers"))?;
            content
                .listen
                .ready
                .ok_or_else(|| missing("listen.ready"))?;
        }
    }
    if content.seeds.is_empty() {
        return Err(out_of_range("seeds", "a list of at least one address"));
    }
    if content.heartbeat.0.is_zero() {
        return Err(out_of_range("heartbeat", "longer than 0s"));
    }
    if content.longest_lease.0 < content.heartbeat.0 * 2 {
        return Err(out_of_range("longest_lease", "at least twice `heartbeat`"));
    }
    if in_force(content) < MIN_IN_FORCE {
        return Err(out_of_range("in_force", "at least 1s"));
    }
    if !(0.0..=10.0).contains(&content.retry.ratio) || content.retry.floor < 0.0 {
        return Err(out_of_range(
            "retry",
            "a ratio from 0 to 10 and a floor of at least 0",
        ));
    }
    if content
        .link
        .is_some_and(|link| !link.is_finite() || link <= 0.0)
    {
        return Err(out_of_range("link", "a number above 0"));
    }
    if content
        .zones
        .is_some_and(|zones| zones.kib_cost.0 > MAX_COST_PER_KIB)
    {
        return Err(out_of_range("zones.cost_per_kib", "at most 1s"));
    }
    if content
        .idle_connections
        .is_some_and(|count| count > MAX_IDLE_CONNECTIONS)
    {
        return Err(out_of_range("idle_connections", "at most 10000"));
    }
    Ok(())
}
