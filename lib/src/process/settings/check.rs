//! Checks of a settings file beyond its shape.

use super::{
    Assigner, Limits, Listen, Log, Once, Operator, Peer, Sending, Settings, Tls, check_timing,
    error::{Fault, SettingsFault},
    raw::{
        Number, RawLimits, RawListen, RawLog, RawOnce, RawOperator, RawPeer, RawSettings, RawTls,
        Text, line,
    },
};
use crate::{
    name::{Node, Zone},
    process::unit::{HumanByteSize, HumanDuration, UnitError},
};
use serde_saphyr::{Location, Spanned};
use std::{collections::BTreeSet, net::SocketAddr, path::PathBuf, str::FromStr, time::Duration};

/// Most voters of a fleet.
const VOTERS_MAX: usize = 7;
/// Length of a BLAKE3 digest in hex digits.
const DIGEST_DIGITS: usize = 64;
/// Digest of the token in `sample/operator.token`, which everybody knows.
const SAMPLE_DIGEST: &str = "15a8566c709b71bb07ad85351d14e4e33e6974a53a4b723e138186907c7656e4";
/// Largest number of any of the limits.
const LIMIT_MAX: u64 = 10_000_000;

/// Checks the whole file.
pub(super) fn settings(raw: &RawSettings) -> Result<Settings, Fault> {
    let listen = listen(&raw.listen)?;
    let peers = peers(&raw.peers)?;
    let own = own_peer(raw, &listen, &peers)?;
    voters(raw, &peers)?;
    data(raw, own)?;
    sample_token(raw, &listen)?;
    Ok(Settings {
        fleet: filled("fleet", &raw.fleet)?,
        node: own.node,
        zone: own.zone.clone(),
        listen,
        data: raw.data.as_ref().map(|data| PathBuf::from(&data.value)),
        tls: tls(&raw.tls)?,
        operators: operators(&raw.operators)?,
        timing: check_timing::timing(&raw.timing)?,
        sending: raw.sending.unwrap_or(Sending::Home),
        assigner: raw.assigner.unwrap_or(Assigner::Weighted),
        log: log(&raw.log)?,
        limits: limits(&raw.limits)?,
        once: once(&raw.once)?,
        peers,
    })
}

/// A fault at the line of a value.
pub(super) fn value_fault(
    place: Location,
    key: &'static str,
    problem: impl Into<String>,
    remedy: &'static str,
) -> Fault {
    Fault {
        line: line(place),
        kind: SettingsFault::Value {
            key,
            problem: problem.into(),
            remedy,
        },
    }
}

/// Text that must not be empty.
fn filled(key: &'static str, text: &Text) -> Result<String, Fault> {
    if text.value.trim().is_empty() {
        return Err(value_fault(
            text.referenced,
            key,
            "is empty",
            "give it a value",
        ));
    }
    Ok(text.value.clone())
}

/// An address of the form `IP:PORT`.
fn address(key: &'static str, text: &Text) -> Result<SocketAddr, Fault> {
    text.value.parse().map_err(|_| Fault {
        line: line(text.referenced),
        kind: SettingsFault::Address {
            key,
            value: text.value.clone(),
        },
    })
}

/// A value with its unit, or its default.
fn with_unit<T>(key: &'static str, text: Option<&Text>, default: T) -> Result<T, Fault>
where
    T: FromStr<Err = UnitError>,
{
    let Some(text) = text else {
        return Ok(default);
    };
    text.value.parse().map_err(|fault| Fault {
        line: line(text.referenced),
        kind: SettingsFault::Unit { key, fault },
    })
}

/// A time span, or its default.
pub(super) fn span(
    key: &'static str,
    text: Option<&Text>,
    default: Duration,
) -> Result<Duration, Fault> {
    with_unit(key, text, HumanDuration(default)).map(|span| span.0)
}

/// A time span that must not be zero, or its default.
pub(super) fn real_span(
    key: &'static str,
    text: Option<&Text>,
    default: Duration,
) -> Result<Duration, Fault> {
    let value = span(key, text, default)?;
    match text {
        Some(text) if value.is_zero() => Err(value_fault(
            text.referenced,
            key,
            "must not be zero",
            "write a longer span",
        )),
        _ => Ok(value),
    }
}

/// A size that must not be zero, or its default.
fn size(key: &'static str, text: Option<&Text>, default: u64) -> Result<u64, Fault> {
    let value = with_unit(key, text, HumanByteSize(default))?.0;
    match text {
        Some(text) if value == 0 => Err(value_fault(
            text.referenced,
            key,
            "must not be zero",
            "write a larger size",
        )),
        _ => Ok(value),
    }
}

/// A count between 1 and [`LIMIT_MAX`], or its default.
fn count(key: &'static str, number: Option<&Number>, default: u32) -> Result<u32, Fault> {
    match number {
        None => Ok(default),
        Some(number) if (1..=LIMIT_MAX).contains(&number.value) => Ok(number.value as u32),
        Some(number) => Err(value_fault(
            number.referenced,
            key,
            format!("{} is out of bounds", number.value),
            "write a number from 1 to 10000000",
        )),
    }
}

fn listen(raw: &RawListen) -> Result<Listen, Fault> {
    let parts = [
        ("listen.callers", &raw.callers),
        ("listen.targets", &raw.targets),
        ("listen.operators", &raw.operators),
    ];
    let mut seen = BTreeSet::new();
    for (key, text) in parts {
        if !seen.insert(address(key, text)?) {
            return Err(value_fault(
                text.referenced,
                key,
                format!("`{}` is listed before", text.value),
                "give each of callers, targets and operators its own port",
            ));
        }
    }
    Ok(Listen {
        callers: address("listen.callers", &raw.callers)?,
        targets: address("listen.targets", &raw.targets)?,
        operators: address("listen.operators", &raw.operators)?,
        peers: address("listen.peers", &raw.peers)?,
    })
}

fn peers(raw: &Spanned<Vec<RawPeer>>) -> Result<Vec<Peer>, Fault> {
    let mut nodes = BTreeSet::new();
    let mut addresses = BTreeSet::new();
    raw.value
        .iter()
        .map(|raw| {
            let peer = peer(raw)?;
            if !nodes.insert(peer.node) {
                return Err(value_fault(
                    raw.node.referenced,
                    "peers.node",
                    format!("{} is listed twice", peer.node),
                    "give each entry its own number",
                ));
            }
            if !addresses.insert(peer.address) {
                return Err(value_fault(
                    raw.address.referenced,
                    "peers.address",
                    format!("{} is listed twice", peer.address),
                    "give each entry its own address",
                ));
            }
            Ok(peer)
        })
        .collect()
}

fn peer(raw: &RawPeer) -> Result<Peer, Fault> {
    Ok(Peer {
        node: Node(raw.node.value),
        zone: Zone(filled("peers.zone", &raw.zone)?),
        address: address("peers.address", &raw.address)?,
        voter: raw.voter,
    })
}

/// Finds this entry among its peers and compares what both places say of it.
fn own_peer<'a>(raw: &RawSettings, listen: &Listen, peers: &'a [Peer]) -> Result<&'a Peer, Fault> {
    let own = peers
        .iter()
        .find(|peer| peer.node.0 == raw.node.value)
        .ok_or_else(|| {
            value_fault(
                raw.node.referenced,
                "node",
                format!("{} is not among the peers", raw.node.value),
                "list this entry under `peers` too, as every entry's settings do",
            )
        })?;
    if own.zone.0 != raw.zone.value {
        return Err(value_fault(
            raw.zone.referenced,
            "zone",
            format!(
                "`{}` here, but `{}` among the peers",
                raw.zone.value, own.zone
            ),
            "write the same zone in both places",
        ));
    }
    let same_host = listen.peers.ip().is_unspecified() || listen.peers.ip() == own.address.ip();
    if !same_host || listen.peers.port() != own.address.port() {
        return Err(value_fault(
            raw.listen.peers.referenced,
            "listen.peers",
            format!("{} here, but {} among the peers", listen.peers, own.address),
            "write the same address in both places",
        ));
    }
    Ok(own)
}

/// A quorum needs an odd number of voters.
fn voters(raw: &RawSettings, peers: &[Peer]) -> Result<(), Fault> {
    let voters = peers.iter().filter(|peer| peer.voter).count();
    let problem = match voters {
        0 => "no entry is a voter".to_owned(),
        _ if voters.is_multiple_of(2) => format!("{voters} voters, an even number"),
        _ if voters > VOTERS_MAX => format!("{voters} voters, more than {VOTERS_MAX}"),
        _ => return Ok(()),
    };
    Err(value_fault(
        raw.peers.referenced,
        "peers.voter",
        problem,
        "set `voter: true` on 1, 3, 5 or 7 entries that have a disk",
    ))
}

/// Voters have a data folder, and nobody else.
fn data(raw: &RawSettings, own: &Peer) -> Result<(), Fault> {
    match &raw.data {
        None if own.voter => Err(value_fault(
            raw.node.referenced,
            "data",
            format!("entry {} is a voter without a data folder", own.node),
            "add `data: FOLDER` on a disk, or let another entry vote",
        )),
        Some(data) if !own.voter => Err(value_fault(
            data.referenced,
            "data",
            format!("entry {} has a data folder but does not vote", own.node),
            "remove `data`, or set `voter: true` on this entry in all files",
        )),
        Some(data) => filled("data", data).map(drop),
        None => Ok(()),
    }
}

fn tls(raw: &RawTls) -> Result<Tls, Fault> {
    Ok(Tls {
        authority: filled("tls.authority", &raw.authority)?.into(),
        certificate: filled("tls.certificate", &raw.certificate)?.into(),
        key: filled("tls.key", &raw.key)?.into(),
    })
}

fn operators(raw: &Spanned<Vec<RawOperator>>) -> Result<Vec<Operator>, Fault> {
    let mut names = BTreeSet::new();
    raw.value
        .iter()
        .map(|raw| {
            let operator = operator(raw)?;
            if names.insert(operator.name.clone()) {
                return Ok(operator);
            }
            Err(value_fault(
                raw.name.referenced,
                "operators.name",
                format!("`{}` is listed twice", operator.name),
                "give each operator one entry",
            ))
        })
        .collect()
}

fn operator(raw: &RawOperator) -> Result<Operator, Fault> {
    let digest = &raw.digest;
    let is_hex = digest.value.bytes().all(|byte| byte.is_ascii_hexdigit());
    if digest.value.len() != DIGEST_DIGITS || !is_hex {
        return Err(value_fault(
            digest.referenced,
            "operators.digest",
            "is no BLAKE3 digest of 64 hex digits",
            "write the digest that `cornelrail keys token` prints",
        ));
    }
    if raw.name.value.contains(':') {
        return Err(value_fault(
            raw.name.referenced,
            "operators.name",
            "contains a colon",
            "remove the colon; browsers send NAME:TOKEN",
        ));
    }
    Ok(Operator {
        name: filled("operators.name", &raw.name)?,
        digest: digest.value.to_ascii_lowercase(),
        approve: raw.approve,
    })
}

/// The token of the sample settings is public: only this machine may reach what it opens.
fn sample_token(raw: &RawSettings, listen: &Listen) -> Result<(), Fault> {
    let sample = raw
        .operators
        .value
        .iter()
        .find(|operator| operator.digest.value.eq_ignore_ascii_case(SAMPLE_DIGEST));
    match sample {
        Some(operator) if !listen.operators.ip().is_loopback() => Err(value_fault(
            operator.digest.referenced,
            "operators.digest",
            "is that of the public sample token",
            "make your own with `cornelrail keys token FILE`",
        )),
        _ => Ok(()),
    }
}

fn log(raw: &RawLog) -> Result<Log, Fault> {
    let default = Log::default();
    let folder = match &raw.folder {
        Some(folder) => Some(PathBuf::from(filled("log.folder", folder)?)),
        None => None,
    };
    Ok(Log {
        level: raw.level.unwrap_or(default.level),
        folder,
        format: raw.format.unwrap_or(default.format),
    })
}

fn limits(raw: &RawLimits) -> Result<Limits, Fault> {
    let default = Limits::default();
    Ok(Limits {
        queue: count("limits.queue", raw.queue.as_ref(), default.queue)?,
        open: count("limits.open", raw.open.as_ref(), default.open)?,
        connections: count(
            "limits.connections",
            raw.connections.as_ref(),
            default.connections,
        )?,
        head_time: real_span(
            "limits.head_time",
            raw.head_time.as_ref(),
            default.head_time,
        )?,
        idle_time: real_span(
            "limits.idle_time",
            raw.idle_time.as_ref(),
            default.idle_time,
        )?,
        head_size: size(
            "limits.head_size",
            raw.head_size.as_ref(),
            default.head_size,
        )?,
        body_size: size(
            "limits.body_size",
            raw.body_size.as_ref(),
            default.body_size,
        )?,
        shutdown_time: real_span(
            "limits.shutdown_time",
            raw.shutdown_time.as_ref(),
            default.shutdown_time,
        )?,
    })
}

fn once(raw: &RawOnce) -> Result<Once, Fault> {
    let default = Once::default();
    Ok(Once {
        retention: real_span("once.retention", raw.retention.as_ref(), default.retention)?,
        records: count("once.records", raw.records.as_ref(), default.records)?,
    })
}
