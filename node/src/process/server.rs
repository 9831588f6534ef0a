//! HTTP servers of the daemon: one for callers, one for targets.

use super::{control::ControlHandle, daemon::DaemonError, logging::EventLog};
use crate::{
    connection::{announce, caller_acceptor::CallerAcceptor},
    request::{core::Core, front::Front},
};
use cornelrail_lib::process::{
    event::Event,
    settings::{Limits, Listen},
};
use salvo::{
    Router, Server, Service,
    conn::{Acceptor, tcp::TcpAcceptor},
    fuse::FuseConfig,
    server::ServerHandle,
};
use std::{net::SocketAddr, time::Duration};
use tokio::{net::TcpListener, sync::watch};

/// Connections of targets that are served at once.
const TARGET_CONNECTIONS_MAX: usize = 8_192;
/// Time for the head of a target's message to arrive.
const TARGET_HEAD_TIME: Duration = Duration::from_secs(5);

/// Listeners bound before any task starts, so that a start that fails changes nothing.
#[derive(Debug)]
pub(super) struct Listeners {
    callers: TcpListener,
    targets: TcpListener,
    operators: TcpListener,
}

impl Listeners {
    /// Binds all addresses.
    pub(super) async fn bind(listen: &Listen) -> Result<Listeners, DaemonError> {
        Ok(Listeners {
            callers: bind("callers", listen.callers).await?,
            targets: bind("targets", listen.targets).await?,
            operators: bind("operators", listen.operators).await?,
        })
    }

    /// Addresses that are bound, with that of the endpoint for other entries.
    pub(super) fn addresses(&self, asked: &Listen, peers: SocketAddr) -> Listen {
        let bound = |listener: &TcpListener, asked| listener.local_addr().unwrap_or(asked);
        Listen {
            callers: bound(&self.callers, asked.callers),
            targets: bound(&self.targets, asked.targets),
            operators: bound(&self.operators, asked.operators),
            peers,
        }
    }

    /// Starts the servers of callers and targets; the listener for operators is left.
    pub(super) fn serve(
        self,
        asked: &Listen,
        limits: &Limits,
        core: Core,
        control: ControlHandle,
    ) -> Result<Servers, DaemonError> {
        let fuse = FuseConfig::default()
            .with_http1_header_timeout(limits.head_time)
            .with_connection_idle_timeout(limits.idle_time);
        let callers = CallerAcceptor::new(self.callers);
        let callers = callers.map_err(|source| DaemonError::Listen {
            name: "callers",
            address: asked.callers,
            source,
        })?;
        let mut front = Server::new(callers)
            .fuse_config(fuse)
            .max_connections(limits.connections as usize);
        front.http1_mut().max_buf_size(limits.head_size as usize);
        let fuse = FuseConfig::default().with_http1_header_timeout(TARGET_HEAD_TIME);
        let targets = Server::new(acceptor("targets", asked.targets, self.targets)?)
            .fuse_config(fuse)
            .max_connections(TARGET_CONNECTIONS_MAX);
        let router = Router::with_path("{**rest}").goal(Front::new(core));
        Ok(Servers {
            callers: Running::start(front, Service::new(router)),
            targets: Running::start(targets, Service::new(announce::router(control))),
            operators: self.operators,
        })
    }
}

/// The servers that run, and the listener that has none yet.
#[derive(Debug)]
pub(super) struct Servers {
    pub(super) callers: Running,
    pub(super) targets: Running,
    pub(super) operators: TcpListener,
}

/// A server that runs.
#[derive(Debug)]
pub(super) struct Running {
    handle: ServerHandle,
    ended: watch::Receiver<()>,
}

impl Running {
    fn start(server: Server<impl Acceptor + 'static>, service: Service) -> Running {
        let handle = server.handle();
        let (running, ended) = watch::channel(());
        tokio::spawn(async move {
            if let Err(error) = server.try_serve(service).await {
                Event::StartFailed.log(format_args!("why={error}"));
            }
            drop(running);
        });
        Running { handle, ended }
    }

    /// Takes no new connections and lets open requests end within `limit`.
    pub(super) fn stop_graceful(&self, limit: Duration) {
        self.handle.stop_graceful(limit);
    }

    /// Ends at once.
    pub(super) fn stop_forceful(&self) {
        self.handle.stop_forceful();
    }

    /// Waits until the last request has ended.
    pub(super) async fn ended(&self) {
        let mut ended = self.ended.clone();
        while ended.changed().await.is_ok() {}
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

fn acceptor(
    name: &'static str,
    address: SocketAddr,
    listener: TcpListener,
) -> Result<TcpAcceptor, DaemonError> {
    TcpAcceptor::try_from(listener).map_err(|source| DaemonError::Listen {
        name,
        address,
        source,
    })
}
