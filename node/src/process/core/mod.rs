//! A core host of a seeded fleet: keeps the replicated log, answers targets and operators, and
//! feeds the entries.
//!
//! One task owns the catalog and, while this host leads, what the log does not keep. Connections
//! and the voter talk to it by messages.

mod control;
mod feed;
mod feed_meter;
mod leading;
mod peers;
mod spread;
mod task;

pub use self::{
    feed::{Feed, LatestStatuses, Subscriber},
    task::{CallOrigin, CoreEvent, CoreHandle},
};

use super::{
    clock::Clock,
    logging::EventLog,
    store::StoreError,
    voter::{self, VoterConfig, VoterEvent, VoterHandle},
};
use cornelrail_lib::{
    name::Node,
    process::{
        event::Event,
        raft::JoinPolicy,
        seeded_settings::{Role, SeededSettings},
    },
};
use miette::Diagnostic;
use std::{io, net::IpAddr, net::SocketAddr, path::PathBuf, time::Duration};
use thiserror::Error;
use tokio::{
    net::{TcpListener, TcpSocket},
    sync::mpsc,
    time::sleep,
};

/// Name of every seeded fleet in its log; processes of another fleet are not reachable.
const FLEET: &str = "seeded";
/// Shortest election timeout: bears a disk that takes 25 times as long (125 ms a sync), and pauses
/// of a host with half a core.
const ELECTION: Duration = Duration::from_millis(450);
/// Heartbeats of a leader in each election timeout.
const BEATS_PER_ELECTION: u32 = 4;
/// Connections that may wait to be accepted. The opening packet of a further one is dropped and sent
/// again a second later.
const BACKLOG: u32 = 1_024;
/// How much two clocks may run apart during an election timeout.
const DRIFT: Duration = Duration::from_millis(20);
/// Pause between two attempts to start on a full disk.
const FULL_DISK_PAUSE: Duration = Duration::from_millis(500);
/// Log entries kept behind a snapshot.
const ENTRIES_RETAINED: u64 = 500;

/// Why a seeded process cannot start.
#[derive(Debug, Error, Diagnostic)]
pub enum SeededError {
    /// An address cannot be listened on.
    #[error("cannot listen on {address} (`{key}`): {source}")]
    #[diagnostic(
        code(cornelrail::seeded::listen),
        help("end the process that holds the address, or set another one")
    )]
    Listen {
        /// Key of the address in the settings.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The data folder cannot be used.
    #[error(transparent)]
    #[diagnostic(code(cornelrail::seeded::store))]
    Store(#[from] StoreError),
    /// The settings are those of another role.
    #[error("the role `{0}` needs more settings than the file has")]
    #[diagnostic(code(cornelrail::seeded::role), help("see docs/SEEDED.md"))]
    Role(&'static str),
}

/// Number of the host with this address. Hosts of a seeded fleet are told apart by their addresses.
pub fn node_of(address: IpAddr) -> Node {
    match address {
        IpAddr::V4(address) => Node(u64::from(u32::from(address))),
        IpAddr::V6(address) => Node(u128::from(address) as u64),
    }
}

/// Address of a host by its number; the other way round of [`node_of`] for IPv4.
pub fn address_of(node: Node) -> IpAddr {
    IpAddr::V4(std::net::Ipv4Addr::from(node.0 as u32))
}

/// Binds an address.
pub(super) fn bind(key: &'static str, address: SocketAddr) -> Result<TcpListener, SeededError> {
    listen(address).map_err(|source| SeededError::Listen {
        key,
        address,
        source,
    })
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    // A process that starts again finds connections of the one before it.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Starts the tasks of a core host on the present runtime.
pub async fn start(settings: SeededSettings) -> Result<CoreHandle, SeededError> {
    let (Some(control), Some(data)) = (settings.listen.control, settings.data.clone()) else {
        return Err(SeededError::Role(Role::Core.name()));
    };
    let peer_address = SocketAddr::new(settings.address, settings.port);
    let clock = Clock::start();
    let (voter, events) = start_voter(voter_config(&settings, data, clock)).await?;
    // Others would wait for the answers of a host that listens while it waits for room.
    let peers = bind("port", peer_address)?;
    let control = bind("listen.control", control)?;
    let handle = task::start(settings, clock, voter.clone(), events);
    tokio::spawn(peers::run(peers, voter, handle.clone()));
    tokio::spawn(control::run(control, handle.clone()));
    Event::Started.log(format_args!("role=core peers={peer_address}"));
    Ok(handle)
}

/// Starts the voter, once the disk has room for its data folder.
async fn start_voter(
    config: VoterConfig,
) -> Result<(VoterHandle, mpsc::Receiver<VoterEvent>), StoreError> {
    loop {
        match voter::start(config.clone()) {
            Err(error) if error.is_full() => {
                Event::StoreFailed.log(format_args!("why={error}"));
                sleep(FULL_DISK_PAUSE).await;
            }
            started => return started,
        }
    }
}

fn voter_config(settings: &SeededSettings, folder: PathBuf, clock: Clock) -> VoterConfig {
    VoterConfig {
        clock,
        folder,
        fleet: FLEET.to_owned(),
        node: node_of(settings.address),
        listed: settings.seeds.iter().map(|seed| node_of(*seed)).collect(),
        joining: JoinPolicy::Seeded {
            can_bootstrap: settings.found,
        },
        election: ELECTION,
        heartbeat: ELECTION / BEATS_PER_ELECTION,
        drift: DRIFT,
        min_voters: settings.min_voters(),
        retain: ENTRIES_RETAINED,
    }
}
