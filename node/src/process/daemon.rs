//! The daemon as a whole: its sockets, its tasks, its end.

use super::{
    clock::Clock,
    control::{self, ControlHandle, Inputs, Setup},
    logging::EventLog,
    operator::{self, OperatorHandle},
    register,
    store::StoreError,
    transport::{Transport, TransportError},
    voter::{self, VoterConfig, VoterEvent, VoterHandle},
};
use crate::{
    connection::{
        announce,
        incoming::{self, Doors},
        peer::PeerLink,
    },
    request::{
        core::Core,
        front::Front,
        home::{self, HomeHandle, Outlets},
    },
    version::view::View,
};
use cornelrail_lib::{
    name::{Incarnation, Node},
    process::{
        event::Event,
        settings::{Limits, Listen, Settings},
    },
};
use metrics_exporter_prometheus::PrometheusHandle;
use miette::Diagnostic;
use salvo::{Server, Service, conn::tcp::TcpAcceptor, fuse::FuseConfig, server::ServerHandle};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU64},
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use thiserror::Error;
use tokio::{
    net::TcpListener,
    sync::{Semaphore, mpsc, oneshot, watch},
    time::timeout,
};

/// Log entries kept behind a snapshot.
const ENTRIES_RETAINED: u64 = 2_000;
/// Connections of targets that are served at once.
const TARGET_CONNECTIONS_MAX: usize = 8_192;
/// Time for the head of a target's message to arrive.
const TARGET_HEAD_TIME: Duration = Duration::from_secs(5);
/// Time that the leader has to hand the homes of a leaving entry over.
const HANDOVER_TIME: Duration = Duration::from_secs(3);

/// Why the daemon cannot start.
#[derive(Debug, Error, Diagnostic)]
pub enum DaemonError {
    /// An address cannot be listened on.
    #[error("cannot listen on {address} (`listen.{name}`): {source}")]
    #[diagnostic(
        code(cornelrail::daemon::listen),
        help("end the process that holds the address, or set `listen.{name}` to a free one")
    )]
    Listen {
        /// Name of the setting.
        name: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The endpoint for other entries cannot be made.
    #[error(transparent)]
    #[diagnostic(code(cornelrail::daemon::transport))]
    Transport(#[from] TransportError),
    /// The data folder cannot be used.
    #[error(transparent)]
    #[diagnostic(code(cornelrail::daemon::store))]
    Store(#[from] StoreError),
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    addresses: Listen,
    limits: Limits,
    transport: Transport,
    control: ControlHandle,
    home: HomeHandle,
    voter: Option<VoterHandle>,
    servers: Vec<ServerHandle>,
    front: ServerHandle,
    front_ended: oneshot::Receiver<()>,
    operators: oneshot::Sender<()>,
}

/// Sockets bound before any task starts, so that a start that fails changes nothing.
struct Sockets {
    callers: TcpListener,
    targets: TcpListener,
    operators: TcpListener,
    transport: Transport,
    addresses: Listen,
}

impl Sockets {
    async fn bind(settings: &Settings) -> Result<Sockets, DaemonError> {
        let listen = &settings.listen;
        let callers = bind("callers", listen.callers).await?;
        let targets = bind("targets", listen.targets).await?;
        let operators = bind("operators", listen.operators).await?;
        let transport = Transport::bind(settings)?;
        let bound = |listener: &TcpListener, asked| listener.local_addr().unwrap_or(asked);
        let addresses = Listen {
            callers: bound(&callers, listen.callers),
            targets: bound(&targets, listen.targets),
            operators: bound(&operators, listen.operators),
            peers: transport.address().unwrap_or(listen.peers),
        };
        Ok(Sockets {
            callers,
            targets,
            operators,
            transport,
            addresses,
        })
    }
}

async fn bind(name: &'static str, address: SocketAddr) -> Result<TcpListener, DaemonError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| DaemonError::Listen {
        name,
        address,
        source,
    })
}

/// The voter with its events, on a host with a data folder.
type StartedVoter = Option<(VoterHandle, mpsc::Receiver<VoterEvent>)>;

fn start_voter(settings: &Settings) -> Result<StartedVoter, DaemonError> {
    let Some(folder) = settings.data.clone().filter(|_| settings.is_voter()) else {
        return Ok(None);
    };
    let voters = settings.peers.iter().filter(|peer| peer.voter);
    let config = VoterConfig {
        folder,
        fleet: settings.fleet.clone(),
        node: settings.node,
        listed: voters.map(|peer| peer.node).collect(),
        election: settings.timing.election,
        heartbeat: settings.timing.election / 4,
        drift: settings.timing.drift,
        retain: ENTRIES_RETAINED,
    };
    Ok(Some(voter::start(config)?))
}

/// This life of the process: later lives take higher numbers as long as the wall clock goes on.
fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(since.unwrap_or_default().as_micros() as u64)
}

/// First number for requests: the entry, then this life, then a counter.
fn first_id(node: Node, incarnation: Incarnation) -> u64 {
    const LIFE_BITS: u32 = 48;
    (node.0 << LIFE_BITS) | (incarnation.0 & ((1 << LIFE_BITS) - 1))
}

fn peer_links(settings: &Settings, transport: &Transport) -> Arc<BTreeMap<Node, PeerLink>> {
    let others = settings.peers.iter();
    let others = others.filter(|peer| peer.node != settings.node);
    let links = others.map(|peer| {
        let link = PeerLink::start(transport.clone(), peer.clone());
        (peer.node, link)
    });
    Arc::new(links.collect())
}

/// Starts the daemon on the present runtime.
pub async fn start(settings: Settings, metrics: PrometheusHandle) -> Result<Daemon, DaemonError> {
    let sockets = Sockets::bind(&settings).await?;
    let started = start_voter(&settings)?;
    let (voter, voter_events) = started.unzip();
    let settings = Arc::new(settings);
    let clock = Clock::start();
    let life = incarnation();
    let peers = peer_links(&settings, &sockets.transport);
    let (view_tx, view) = watch::channel(View::default());
    let (crashes_tx, crashes) = mpsc::unbounded_channel();
    let (nudges_tx, nudges) = mpsc::channel(1);
    let outlets = Outlets {
        crashes: crashes_tx,
        nudges: nudges_tx,
    };
    let home = home::start(clock, settings.clone(), view.clone(), outlets);
    let register = register::start(clock, settings.clone(), life, peers.clone(), view.clone());
    let (operator_handle, operators) = OperatorHandle::new();
    let (control, control_channel) = control::channel();
    let setup = Setup {
        settings: settings.clone(),
        clock,
        incarnation: life,
        view: view_tx,
        peers: peers.clone(),
        home: home.clone(),
        voter: voter.clone(),
    };
    let inputs = Inputs {
        voter: voter_events,
        operators,
        crashes,
        nudges,
    };
    control::start(setup, inputs, control_channel);
    let core = Core {
        settings: settings.clone(),
        clock,
        view,
        home: home.clone(),
        peers,
        incarnation: life,
        register: register.clone(),
        ids: Arc::new(AtomicU64::new(first_id(settings.node, life))),
        room: Arc::new(Semaphore::new(settings.limits.open as usize)),
    };
    let doors = Doors {
        control: control.clone(),
        voter: voter.clone(),
        register,
        core: core.clone(),
    };
    tokio::spawn(incoming::run(sockets.transport.clone(), doors));
    let front = front_server(sockets.callers, &settings.limits)?;
    let front_handle = front.handle();
    let (front_tx, front_ended) = oneshot::channel();
    tokio::spawn(async move {
        let served = front
            .try_serve(Service::new(
                salvo::Router::with_path("{**rest}").goal(Front::new(core)),
            ))
            .await;
        drop(served);
        let _ = front_tx.send(());
    });
    let targets = target_server(sockets.targets)?;
    let target_handle = targets.handle();
    let router = announce::router(control.clone());
    tokio::spawn(async move { targets.try_serve(router).await });
    let (operators_tx, operators_end) = oneshot::channel::<()>();
    let listed = settings.operators.clone();
    tokio::spawn(operator::serve(
        sockets.operators,
        listed,
        operator_handle,
        metrics,
        async move {
            // Both a message and a dropped sender end the server.
            let _ = operators_end.await;
        },
    ));
    let addresses = sockets.addresses;
    Event::Started.log(format_args!(
        "entry={} zone={} incarnation={life} callers={} targets={} operators={} peers={}",
        settings.node,
        settings.zone,
        addresses.callers,
        addresses.targets,
        addresses.operators,
        addresses.peers
    ));
    Ok(Daemon {
        addresses,
        limits: settings.limits.clone(),
        transport: sockets.transport,
        control,
        home,
        voter,
        servers: vec![target_handle],
        front: front_handle,
        front_ended,
        operators: operators_tx,
    })
}

fn listen_error(name: &'static str, address: SocketAddr, source: io::Error) -> DaemonError {
    DaemonError::Listen {
        name,
        address,
        source,
    }
}

fn front_server(
    listener: TcpListener,
    limits: &Limits,
) -> Result<Server<TcpAcceptor>, DaemonError> {
    let address = listener.local_addr();
    let acceptor = TcpAcceptor::try_from(listener).map_err(|source| {
        listen_error(
            "callers",
            address.unwrap_or(([0, 0, 0, 0], 0).into()),
            source,
        )
    })?;
    let fuse = FuseConfig::default()
        .with_http1_header_timeout(limits.head_time)
        .with_connection_idle_timeout(limits.idle_time);
    let mut server = Server::new(acceptor)
        .fuse_config(fuse)
        .max_connections(limits.connections as usize);
    server.http1_mut().max_buf_size(limits.head_size as usize);
    Ok(server)
}

fn target_server(listener: TcpListener) -> Result<Server<TcpAcceptor>, DaemonError> {
    let address = listener.local_addr();
    let acceptor = TcpAcceptor::try_from(listener).map_err(|source| {
        listen_error(
            "targets",
            address.unwrap_or(([0, 0, 0, 0], 0).into()),
            source,
        )
    })?;
    let fuse = FuseConfig::default().with_http1_header_timeout(TARGET_HEAD_TIME);
    Ok(Server::new(acceptor)
        .fuse_config(fuse)
        .max_connections(TARGET_CONNECTIONS_MAX))
}

impl Daemon {
    /// Addresses that the daemon is bound to.
    pub fn addresses(&self) -> &Listen {
        &self.addresses
    }

    /// Ends the daemon at once, as a crash would as far as others see it.
    pub fn kill(self) {
        self.transport.close();
        self.front.stop_forceful();
        for server in &self.servers {
            server.stop_forceful();
        }
    }

    /// Ends the daemon in good order: no request in flight is cut off, and the targets that it
    /// commanded have another home before it goes.
    pub async fn stop(self) {
        Event::Stopping.log(format_args!("limit={:?}", self.limits.shutdown_time));
        let limit = self.limits.shutdown_time;
        self.front.stop_graceful(limit);
        // Without a leader nobody takes the homes over, and the others wait for the lease to end.
        let _ = timeout(HANDOVER_TIME, self.control.depart()).await;
        let _ = timeout(limit, self.front_ended).await;
        let _ = timeout(limit, self.home.idle()).await;
        self.control.surrender().await;
        for server in &self.servers {
            server.stop_graceful(Duration::ZERO);
        }
        drop(self.operators);
        if let Some(voter) = &self.voter {
            voter.stop().await;
        }
        self.transport.close();
        Event::Stopped.log(format_args!("peers={}", self.addresses.peers));
    }
}
