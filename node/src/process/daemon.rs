//! The daemon as a whole: its sockets, its tasks, its end.

use super::{
    clock::Clock,
    control::{self, ControlHandle, Inputs, Setup},
    logging::EventLog,
    operator::{self, OperatorHandle},
    register,
    server::{Listeners, Running},
    store::StoreError,
    transport::{Transport, TransportError},
    voter::{self, VoterConfig, VoterEvent, VoterHandle},
};
use crate::{
    connection::{
        incoming::{self, Doors},
        peer::PeerLink,
    },
    request::{
        core::Core,
        flights::Flights,
        home::{self, Outlets},
        home_handle::HomeHandle,
    },
    version::view::View,
};
use cornelrail_lib::{
    name::{Incarnation, Node},
    process::{
        event::Event,
        raft::JoinPolicy,
        settings::{Limits, Listen, Settings},
    },
    request::quarantine::Crash,
};
use metrics_exporter_prometheus::PrometheusHandle;
use miette::Diagnostic;
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU64},
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use thiserror::Error;
use tokio::{
    runtime::{Builder, Handle, Runtime},
    sync::{Semaphore, mpsc, oneshot, watch},
    time::timeout,
};

/// Log entries kept behind a snapshot.
const ENTRIES_RETAINED: u64 = 2_000;
/// Threads of the control plane.
const CONTROL_THREADS: usize = 2;
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
    /// The threads of the control plane cannot be had.
    #[error("cannot start the control plane's threads: {0}")]
    #[diagnostic(
        code(cornelrail::daemon::threads),
        help("raise the limit of threads of this user")
    )]
    Runtime(io::Error),
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
    flights: Flights,
    voter: Option<VoterHandle>,
    targets: Running,
    front: Running,
    operators: oneshot::Sender<()>,
    _runtime: ControlRuntime,
}

/// The voter with its events, on a host with a data folder.
type StartedVoter = Option<(VoterHandle, mpsc::Receiver<VoterEvent>)>;

fn start_voter(settings: &Settings, clock: Clock) -> Result<StartedVoter, DaemonError> {
    let Some(folder) = settings.data.clone().filter(|_| settings.is_voter()) else {
        return Ok(None);
    };
    let voters = settings.peers.iter().filter(|peer| peer.voter);
    let config = VoterConfig {
        clock,
        folder,
        fleet: settings.fleet.clone(),
        node: settings.node,
        listed: voters.map(|peer| peer.node).collect(),
        joining: JoinPolicy::Configured,
        election: settings.timing.election,
        heartbeat: settings.timing.election / 4,
        drift: settings.timing.drift,
        // A configured fleet does not change its voters by itself.
        min_voters: 1,
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

/// Runtime of the control plane, so that a flood of requests holds back no heartbeat.
#[derive(Debug)]
struct ControlRuntime {
    runtime: Option<Runtime>,
}

impl ControlRuntime {
    fn new() -> Result<ControlRuntime, DaemonError> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(CONTROL_THREADS)
            .thread_name("control")
            .enable_all()
            .build()
            .map_err(DaemonError::Runtime)?;
        Ok(ControlRuntime {
            runtime: Some(runtime),
        })
    }

    /// Runs `start` so that what it spawns lands on this runtime.
    fn run<T>(&self, start: impl FnOnce() -> T) -> T {
        let _guard = self.runtime.as_ref().map(Runtime::enter);
        start()
    }
}

impl Drop for ControlRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            // A runtime must not wait for its tasks where others run.
            runtime.shutdown_background();
        }
    }
}

/// The ends at which the control task reads the home task's news.
struct HomeNews {
    crashes: mpsc::UnboundedReceiver<Crash>,
    nudges: mpsc::Receiver<()>,
}

fn home_channels() -> (Outlets, HomeNews) {
    let (crashes_tx, crashes) = mpsc::unbounded_channel();
    let (nudges_tx, nudges) = mpsc::channel(1);
    let outlets = Outlets {
        crashes: crashes_tx,
        nudges: nudges_tx,
    };
    (outlets, HomeNews { crashes, nudges })
}

/// The tasks of the control plane, by the handles that lead to them.
struct Plane {
    transport: Transport,
    control: ControlHandle,
    voter: Option<VoterHandle>,
    operators: OperatorHandle,
    core: Core,
}

impl Plane {
    /// Starts all tasks on the runtime that is entered; requests live on the runtime `requests`.
    fn start(settings: &Arc<Settings>, requests: Handle) -> Result<Plane, DaemonError> {
        let transport = Transport::bind(settings)?;
        let clock = Clock::start();
        let (voter, voter_events) = start_voter(settings, clock)?.unzip();
        let life = incarnation();
        let peers = peer_links(settings, &transport);
        let (view_tx, view) = watch::channel(View::default());
        let (outlets, news) = home_channels();
        let home = home::start(
            clock,
            settings.clone(),
            view.clone(),
            outlets,
            requests.clone(),
        );
        let register = register::start(clock, settings.clone(), life, peers.clone(), view.clone());
        let (operators, operator_calls) = OperatorHandle::new();
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
            operators: operator_calls,
            crashes: news.crashes,
            nudges: news.nudges,
        };
        control::start(setup, inputs, control_channel);
        let core = Core {
            settings: settings.clone(),
            clock,
            view,
            home,
            peers,
            incarnation: life,
            register: register.clone(),
            ids: Arc::new(AtomicU64::new(first_id(settings.node, life))),
            flights: Flights::default(),
            room: Arc::new(Semaphore::new(settings.limits.open as usize)),
        };
        let doors = Doors {
            control: control.clone(),
            voter: voter.clone(),
            register,
            core: core.clone(),
            requests,
        };
        tokio::spawn(incoming::run(transport.clone(), doors));
        Ok(Plane {
            transport,
            control,
            voter,
            operators,
            core,
        })
    }
}

/// Starts the daemon; requests run on the present runtime, the control plane on one of its own.
pub async fn start(settings: Settings, metrics: PrometheusHandle) -> Result<Daemon, DaemonError> {
    let settings = Arc::new(settings);
    let listeners = Listeners::bind(&settings.listen).await?;
    let runtime = ControlRuntime::new()?;
    let requests = Handle::current();
    let plane = runtime.run(|| Plane::start(&settings, requests))?;
    let peers = plane.transport.address().unwrap_or(settings.listen.peers);
    let addresses = listeners.addresses(&settings.listen, peers);
    let servers = listeners.serve(
        &settings.listen,
        &settings.limits,
        plane.core.clone(),
        plane.control.clone(),
    )?;
    let (operators, ended) = oneshot::channel::<()>();
    tokio::spawn(operator::serve(
        servers.operators,
        settings.operators.clone(),
        plane.operators,
        metrics,
        async move {
            // Both a message and a dropped sender end the server.
            let _ = ended.await;
        },
    ));
    log_start(&settings, plane.core.incarnation, &addresses);
    Ok(Daemon {
        addresses,
        limits: settings.limits.clone(),
        transport: plane.transport,
        control: plane.control,
        home: plane.core.home,
        flights: plane.core.flights,
        voter: plane.voter,
        targets: servers.targets,
        front: servers.callers,
        operators,
        _runtime: runtime,
    })
}

fn log_start(settings: &Settings, incarnation: Incarnation, addresses: &Listen) {
    Event::Started.log(format_args!(
        "entry={} zone={} incarnation={incarnation} callers={} targets={} operators={} peers={}",
        settings.node,
        settings.zone,
        addresses.callers,
        addresses.targets,
        addresses.operators,
        addresses.peers
    ));
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
        self.targets.stop_forceful();
    }

    /// Ends the daemon in good order: no request in flight is cut off, and the targets that it
    /// commanded have another home before it goes.
    pub async fn stop(self) {
        Event::Stopping.log(format_args!("limit={:?}", self.limits.shutdown_time));
        let limit = self.limits.shutdown_time;
        self.front.stop_graceful(limit);
        // Without a leader nobody takes the homes over, and the others wait for the lease to end.
        let _ = timeout(HANDOVER_TIME, self.control.depart()).await;
        let _ = timeout(limit, self.front.ended()).await;
        let _ = timeout(limit, self.home.idle()).await;
        let _ = timeout(limit, self.flights.ended()).await;
        self.control.surrender().await;
        self.targets.stop_forceful();
        drop(self.operators);
        if let Some(voter) = &self.voter {
            voter.stop().await;
        }
        self.transport.close();
        Event::Stopped.log(format_args!("peers={}", self.addresses.peers));
    }
}
