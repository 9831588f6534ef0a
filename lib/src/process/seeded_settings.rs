//! Settings of one process of a seeded fleet: a core host or an entry.
//!
//! A seeded fleet has no list of its members. A process knows a few seeds, and learns the rest from
//! them. The file may come back with other seeds while the process runs.

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

/// Longest lease of a target that is asked for unless the settings say less.
const USUAL_LEASE: Duration = Duration::from_secs(4);

/// What is wrong with the settings of a seeded process.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum SeededFault {
    /// The text is no YAML of this shape.
    #[error("{file}: {why}")]
    #[diagnostic(
        code(cornelrail::seeded::syntax),
        help("mend the file; docs/SEEDED.md shows a whole one")
    )]
    Syntax {
        /// The settings file.
        file: String,
        /// What the reader said, with the line.
        why: String,
    },
    /// A key that the role needs is missing.
    #[error("{file}: `{key}` is missing; a process with the role `{role}` needs it")]
    #[diagnostic(code(cornelrail::seeded::missing), help("add the key"))]
    Missing {
        /// The settings file.
        file: String,
        /// The key.
        key: &'static str,
        /// The role.
        role: &'static str,
    },
    /// A value is out of its bounds.
    #[error("{file}: `{key}` must be {bound}")]
    #[diagnostic(code(cornelrail::seeded::bound), help("change the value"))]
    Bound {
        /// The settings file.
        file: String,
        /// The key.
        key: &'static str,
        /// What it must be.
        bound: &'static str,
    },
}

/// What a process does in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Keeps the replicated log and answers targets and operators.
    Core,
    /// Takes the requests of callers.
    Entry,
}

impl Role {
    /// Name as the settings write it.
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
    /// Requests of callers, on entries.
    pub callers: Option<SocketAddr>,
    /// Whether an entry is ready, on entries.
    pub ready: Option<SocketAddr>,
    /// Calls of targets and operators, on core hosts.
    pub control: Option<SocketAddr>,
    /// Metrics as text.
    pub metrics: Option<SocketAddr>,
}

/// Bound on sending requests again, for all entries together.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryBound {
    /// Sendings beyond the first for each request.
    pub ratio: f64,
    /// Sendings that are free in each window.
    pub floor: f64,
    /// Length of the window.
    pub window: HumanDuration,
}

/// Settings of one process, checked.
#[derive(Debug, Clone, PartialEq)]
pub struct SeededSettings {
    /// Its role.
    pub role: Role,
    /// Name in logs.
    pub name: String,
    /// Its zone.
    pub zone: Zone,
    /// Address of this host, at which other processes reach it.
    pub address: IpAddr,
    /// Port at which core hosts listen for other processes, the same on all hosts.
    pub port: u16,
    /// Hosts by which the fleet is found.
    pub seeds: Vec<IpAddr>,
    /// Whether the fleet starts for the first time, so that the seeds may found it.
    pub found: bool,
    /// Addresses that it listens on.
    pub listen: SeededListen,
    /// Data folder of a core host.
    pub data: Option<PathBuf>,
    /// Usual pause between heartbeats of a target.
    pub heartbeat: Duration,
    /// Length of a target's lease.
    pub lease: Duration,
    /// Time from a target's farewell, once acknowledged, to its last new request.
    pub drain: Duration,
    /// Time from a zone's removal, once acknowledged, to its last new request.
    pub evacuate: Duration,
    /// Time from the order to end to the end.
    pub grace: Duration,
    /// Bound on sending requests again.
    pub retry: RetryBound,
    /// Where the log goes.
    pub log: Log,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
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
    drain: HumanDuration,
    evacuate: HumanDuration,
    grace: HumanDuration,
    retry: RetryBound,
    log: Option<LogLevel>,
}

impl SeededSettings {
    /// Whether a settings file is one of a seeded fleet.
    pub fn is_meant(text: &str) -> bool {
        text.lines().any(|line| line.starts_with("role:"))
    }

    /// Reads and checks the text of a settings file; `file` is its name in errors.
    pub fn parse(text: &str, file: &str) -> Result<Self, SeededFault> {
        let raw: Raw = serde_saphyr::from_str(text).map_err(|error| SeededFault::Syntax {
            file: file.to_owned(),
            why: error.to_string(),
        })?;
        check(&raw, file)?;
        Ok(SeededSettings {
            role: raw.role,
            name: raw.name,
            zone: raw.zone,
            address: raw.address,
            port: raw.port,
            seeds: raw.seeds.iter().map(SocketAddr::ip).collect(),
            found: raw.found,
            listen: raw.listen,
            data: raw.data,
            heartbeat: raw.heartbeat.0,
            lease: raw.longest_lease.0.min(USUAL_LEASE),
            drain: raw.drain.0,
            evacuate: raw.evacuate.0,
            grace: raw.grace.0,
            retry: raw.retry,
            log: Log {
                level: raw.log.unwrap_or(LogLevel::Info),
                ..Log::default()
            },
        })
    }
}

fn check(raw: &Raw, file: &str) -> Result<(), SeededFault> {
    let missing = |key| SeededFault::Missing {
        file: file.to_owned(),
        key,
        role: raw.role.name(),
    };
    let bound = |key, bound| SeededFault::Bound {
        file: file.to_owned(),
        key,
        bound,
    };
    match raw.role {
        Role::Core => {
            raw.listen
                .control
                .ok_or_else(|| missing("listen.control"))?;
            raw.data.as_ref().ok_or_else(|| missing("data"))?;
        }
        Role::Entry => {
            raw.listen
                .callers
                .ok_or_else(|| missing("listen.callers"))?;
            raw.listen.ready.ok_or_else(|| missing("listen.ready"))?;
        }
    }
    if raw.seeds.is_empty() {
        return Err(bound("seeds", "a list of one address at least"));
    }
    if raw.heartbeat.0.is_zero() {
        return Err(bound("heartbeat", "above 0s"));
    }
    if raw.longest_lease.0 < raw.heartbeat.0 * 2 {
        return Err(bound("longest_lease", "twice `heartbeat` at least"));
    }
    if !(0.0..=10.0).contains(&raw.retry.ratio) || raw.retry.floor < 0.0 {
        return Err(bound("retry", "a ratio from 0 to 10 and a floor from 0 on"));
    }
    Ok(())
}
