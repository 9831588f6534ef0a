//! Validates a parsed settings file and fills in the defaults.
//!
//! Checks the values alone and against each other: peers, voters, the data folder, addresses and
//! operators.

use super::{
    Assigner, Limits, Listen, Log, Once, Operator, Peer, Sending, Settings, Tls, check_timing,
    error::{LocatedError, SettingsErrorKind},
    file::{
        LimitsSection, ListenSection, LocatedNumber, LocatedText, LogSection, OnceSection,
        OperatorItem, PeerItem, SettingsFile, TlsSection, line,
    },
};
use crate::{
    name::{Node, Zone},
    process::unit::{HumanByteSize, HumanDuration, UnitError},
};
use serde_saphyr::{Location, Spanned};
use std::{collections::BTreeSet, net::SocketAddr, path::PathBuf, str::FromStr, time::Duration};

/// Most voters that a fleet may have.
const MAX_VOTERS: usize = 7;
/// Length of a BLAKE3 digest in hex digits.
const DIGEST_HEX_DIGITS: usize = 64;
/// Digest of the token in `sample/operator.token`, which is public.
const SAMPLE_TOKEN_DIGEST: &str =
    "15a8566c709b71bb07ad85351d14e4e33e6974a53a4b723e138186907c7656e4";
/// Largest value of a setting that is a count.
const MAX_COUNT: u64 = 10_000_000;

/// Validates the whole file.
pub(super) fn settings(file: &SettingsFile) -> Result<Settings, LocatedError> {
    let listen = listen(&file.listen)?;
    let peers = peers(&file.peers)?;
    let own = own_peer(file, &listen, &peers)?;
    check_voters(file, &peers)?;
    check_data(file, own)?;
    check_sample_token(file, &listen)?;
    Ok(Settings {
        fleet: nonempty("fleet", &file.fleet)?,
        node: own.node,
        zone: own.zone.clone(),
        listen,
        data: file.data.as_ref().map(|data| PathBuf::from(&data.value)),
        tls: tls(&file.tls)?,
        operators: operators(&file.operators)?,
        timing: check_timing::timing(&file.timing)?,
        sending: file.sending.unwrap_or(Sending::Home),
        assigner: file.assigner.unwrap_or(Assigner::Weighted),
        log: log(&file.log)?,
        limits: limits(&file.limits)?,
        once: once(&file.once)?,
        peers,
    })
}

/// Error at the location of a value.
pub(super) fn value_error(
    location: Location,
    key: &'static str,
    problem: impl Into<String>,
    remedy: &'static str,
) -> LocatedError {
    LocatedError {
        line: line(location),
        kind: SettingsErrorKind::Value {
            key,
            problem: problem.into(),
            remedy,
        },
    }
}

/// Text of a setting that must not be empty.
fn nonempty(key: &'static str, text: &LocatedText) -> Result<String, LocatedError> {
    if text.value.trim().is_empty() {
        return Err(value_error(
            text.referenced,
            key,
            "is empty",
            "give it a value",
        ));
    }
    Ok(text.value.clone())
}

/// Parses an address of the form `IP:PORT`.
fn address(key: &'static str, text: &LocatedText) -> Result<SocketAddr, LocatedError> {
    text.value.parse().map_err(|_| LocatedError {
        line: line(text.referenced),
        kind: SettingsErrorKind::Address {
            key,
            value: text.value.clone(),
        },
    })
}

/// Parses a value with its unit, or returns the default.
fn parse_or<T>(key: &'static str, text: Option<&LocatedText>, default: T) -> Result<T, LocatedError>
where
    T: FromStr<Err = UnitError>,
{
    let Some(text) = text else {
        return Ok(default);
    };
    text.value.parse().map_err(|error| LocatedError {
        line: line(text.referenced),
        kind: SettingsErrorKind::Unit { key, error },
    })
}

/// Parses a duration, or returns the default.
pub(super) fn duration(
    key: &'static str,
    text: Option<&LocatedText>,
    default: Duration,
) -> Result<Duration, LocatedError> {
    parse_or(key, text, HumanDuration(default)).map(|duration| duration.0)
}

/// Parses a duration that must not be zero, or returns the default.
pub(super) fn nonzero_duration(
    key: &'static str,
    text: Option<&LocatedText>,
    default: Duration,
) -> Result<Duration, LocatedError> {
    let value = duration(key, text, default)?;
    match text {
        Some(text) if value.is_zero() => Err(value_error(
            text.referenced,
            key,
            "must not be zero",
            "write a longer duration",
        )),
        _ => Ok(value),
    }
}

/// Parses a byte size that must not be zero, or returns the default.
fn nonzero_size(
    key: &'static str,
    text: Option<&LocatedText>,
    default: u64,
) -> Result<u64, LocatedError> {
    let value = parse_or(key, text, HumanByteSize(default))?.0;
    match text {
        Some(text) if value == 0 => Err(value_error(
            text.referenced,
            key,
            "must not be zero",
            "write a larger size",
        )),
        _ => Ok(value),
    }
}

/// Checks that a count is between 1 and [`MAX_COUNT`], or returns the default.
fn count(
    key: &'static str,
    number: Option<&LocatedNumber>,
    default: u32,
) -> Result<u32, LocatedError> {
    match number {
        None => Ok(default),
        Some(number) if (1..=MAX_COUNT).contains(&number.value) => Ok(number.value as u32),
        Some(number) => Err(value_error(
            number.referenced,
            key,
            format!("{} is out of range", number.value),
            "write a number from 1 to 10000000",
        )),
    }
}

fn listen(section: &ListenSection) -> Result<Listen, LocatedError> {
    let listeners = [
        ("listen.callers", &section.callers),
        ("listen.targets", &section.targets),
        ("listen.operators", &section.operators),
    ];
    let mut seen = BTreeSet::new();
    for (key, text) in listeners {
        if !seen.insert(address(key, text)?) {
            return Err(value_error(
                text.referenced,
                key,
                format!("`{}` is used by another listener", text.value),
                "give each of callers, targets and operators its own address",
            ));
        }
    }
    Ok(Listen {
        callers: address("listen.callers", &section.callers)?,
        targets: address("listen.targets", &section.targets)?,
        operators: address("listen.operators", &section.operators)?,
        peers: address("listen.peers", &section.peers)?,
    })
}

fn peers(items: &Spanned<Vec<PeerItem>>) -> Result<Vec<Peer>, LocatedError> {
    let mut nodes = BTreeSet::new();
    let mut addresses = BTreeSet::new();
    items
        .value
        .iter()
        .map(|item| {
            let peer = peer(item)?;
            if !nodes.insert(peer.node) {
                return Err(value_error(
                    item.node.referenced,
                    "peers.node",
                    format!("{} is listed twice", peer.node),
                    "give each entry its own number",
                ));
            }
            if !addresses.insert(peer.address) {
                return Err(value_error(
                    item.address.referenced,
                    "peers.address",
                    format!("{} is listed twice", peer.address),
                    "give each entry its own address",
                ));
            }
            Ok(peer)
        })
        .collect()
}

fn peer(item: &PeerItem) -> Result<Peer, LocatedError> {
    Ok(Peer {
        node: Node(item.node.value),
        zone: Zone(nonempty("peers.zone", &item.zone)?),
        address: address("peers.address", &item.address)?,
        voter: item.voter,
    })
}

/// Finds this entry in the list of peers and checks that zone and address agree with it.
fn own_peer<'a>(
    file: &SettingsFile,
    listen: &Listen,
    peers: &'a [Peer],
) -> Result<&'a Peer, LocatedError> {
    let own = peers
        .iter()
        .find(|peer| peer.node.0 == file.node.value)
        .ok_or_else(|| {
            value_error(
                file.node.referenced,
                "node",
                format!("{} is not listed under `peers`", file.node.value),
                "list this entry under `peers` too, in the settings of every entry",
            )
        })?;
    if own.zone.0 != file.zone.value {
        return Err(value_error(
            file.zone.referenced,
            "zone",
            format!(
                "is `{}` here but `{}` under `peers`",
                file.zone.value, own.zone
            ),
            "write the same zone in both places",
        ));
    }
    let same_host = listen.peers.ip().is_unspecified() || listen.peers.ip() == own.address.ip();
    if !same_host || listen.peers.port() != own.address.port() {
        return Err(value_error(
            file.listen.peers.referenced,
            "listen.peers",
            format!("is {} here but {} under `peers`", listen.peers, own.address),
            "write the same address in both places",
        ));
    }
    Ok(own)
}

/// Checks that the number of voters is odd and at most [`MAX_VOTERS`]. An even number tolerates no
/// more failures than one voter fewer.
fn check_voters(file: &SettingsFile, peers: &[Peer]) -> Result<(), LocatedError> {
    let voters = peers.iter().filter(|peer| peer.voter).count();
    let problem = match voters {
        0 => "no entry is a voter".to_owned(),
        _ if voters.is_multiple_of(2) => format!("{voters} voters, an even number"),
        _ if voters > MAX_VOTERS => format!("{voters} voters, more than {MAX_VOTERS}"),
        _ => return Ok(()),
    };
    Err(value_error(
        file.peers.referenced,
        "peers.voter",
        problem,
        "set `voter: true` on 1, 3, 5 or 7 entries that have a disk",
    ))
}

/// Checks that this entry has a data folder if and only if it is a voter.
fn check_data(file: &SettingsFile, own: &Peer) -> Result<(), LocatedError> {
    match &file.data {
        None if own.voter => Err(value_error(
            file.node.referenced,
            "data",
            format!("entry {} is a voter without a data folder", own.node),
            "add `data: FOLDER` on a disk, or make another entry a voter",
        )),
        Some(data) if !own.voter => Err(value_error(
            data.referenced,
            "data",
            format!("entry {} has a data folder but is not a voter", own.node),
            "remove `data`, or set `voter: true` on this entry in all files",
        )),
        Some(data) => nonempty("data", data).map(drop),
        None => Ok(()),
    }
}

fn tls(section: &TlsSection) -> Result<Tls, LocatedError> {
    Ok(Tls {
        authority: nonempty("tls.authority", &section.authority)?.into(),
        certificate: nonempty("tls.certificate", &section.certificate)?.into(),
        key: nonempty("tls.key", &section.key)?.into(),
    })
}

fn operators(items: &Spanned<Vec<OperatorItem>>) -> Result<Vec<Operator>, LocatedError> {
    let mut names = BTreeSet::new();
    items
        .value
        .iter()
        .map(|item| {
            let operator = operator(item)?;
            if names.insert(operator.name.clone()) {
                return Ok(operator);
            }
            Err(value_error(
                item.name.referenced,
                "operators.name",
                format!("`{}` is listed twice", operator.name),
                "list each operator once",
            ))
        })
        .collect()
}

fn operator(item: &OperatorItem) -> Result<Operator, LocatedError> {
    let digest = &item.digest;
    let is_hex = digest.value.bytes().all(|byte| byte.is_ascii_hexdigit());
    if digest.value.len() != DIGEST_HEX_DIGITS || !is_hex {
        return Err(value_error(
            digest.referenced,
            "operators.digest",
            "is not a BLAKE3 digest of 64 hex digits",
            "write the digest that `cornelrail keys token` prints",
        ));
    }
    if item.name.value.contains(':') {
        return Err(value_error(
            item.name.referenced,
            "operators.name",
            "contains a colon",
            "remove the colon; browsers send NAME:TOKEN",
        ));
    }
    Ok(Operator {
        name: nonempty("operators.name", &item.name)?,
        digest: digest.value.to_ascii_lowercase(),
        approve: item.approve,
    })
}

/// Rejects the public token of the sample settings unless operators can connect only from this
/// machine.
fn check_sample_token(file: &SettingsFile, listen: &Listen) -> Result<(), LocatedError> {
    let sample = file.operators.value.iter().find(|operator| {
        operator
            .digest
            .value
            .eq_ignore_ascii_case(SAMPLE_TOKEN_DIGEST)
    });
    match sample {
        Some(operator) if !listen.operators.ip().is_loopback() => Err(value_error(
            operator.digest.referenced,
            "operators.digest",
            "is the digest of the public sample token",
            "create your own token with `cornelrail keys token FILE`",
        )),
        _ => Ok(()),
    }
}

fn log(section: &LogSection) -> Result<Log, LocatedError> {
    let default = Log::default();
    let folder = match &section.folder {
        Some(folder) => Some(PathBuf::from(nonempty("log.folder", folder)?)),
        None => None,
    };
    Ok(Log {
        level: section.level.unwrap_or(default.level),
        folder,
        format: section.format.unwrap_or(default.format),
    })
}

fn limits(section: &LimitsSection) -> Result<Limits, LocatedError> {
    let default = Limits::default();
    Ok(Limits {
        queue: count("limits.queue", section.queue.as_ref(), default.queue)?,
        open: count("limits.open", section.open.as_ref(), default.open)?,
        connections: count(
            "limits.connections",
            section.connections.as_ref(),
            default.connections,
        )?,
        head_time: nonzero_duration(
            "limits.head_time",
            section.head_time.as_ref(),
            default.head_time,
        )?,
        idle_time: nonzero_duration(
            "limits.idle_time",
            section.idle_time.as_ref(),
            default.idle_time,
        )?,
        head_size: nonzero_size(
            "limits.head_size",
            section.head_size.as_ref(),
            default.head_size,
        )?,
        body_size: nonzero_size(
            "limits.body_size",
            section.body_size.as_ref(),
            default.body_size,
        )?,
        shutdown_time: nonzero_duration(
            "limits.shutdown_time",
            section.shutdown_time.as_ref(),
            default.shutdown_time,
        )?,
    })
}

fn once(section: &OnceSection) -> Result<Once, LocatedError> {
    let default = Once::default();
    Ok(Once {
        retention: nonzero_duration(
            "once.retention",
            section.retention.as_ref(),
            default.retention,
        )?,
        records: count("once.records", section.records.as_ref(), default.records)?,
    })
}
