//! Operators' address: commands, the page for a phone, status and metrics over HTTP.
//!
//! Every answer needs a token. A command sends `Authorization: Bearer TOKEN`; a browser asks for
//! the operator's name and token and sends them as HTTP Basic. The daemon knows only the BLAKE3
//! digests of tokens. Answers come from the control task, which owns the fleet's state: the handlers
//! send it an [`OperatorCall`] and wait for the reply.

mod api;
mod call;
mod gate;
mod page;

pub use call::{CallError, OperatorCall, OperatorHandle};
pub use gate::{Gate, Identity};

use cornelrail_lib::process::{
    operator_api::{EXPLAIN_PATH, METRICS_PATH, NOTE_CHECK_PATH, NOTE_PATH, STATUS_PATH},
    settings::Operator,
};
use gate::Shared;
use metrics_exporter_prometheus::PrometheusHandle;
use salvo::{Router, Server, Service, conn::tcp::TcpAcceptor, fuse::FuseConfig};
use std::{future::Future, io, time::Duration};
use tokio::net::TcpListener;

/// Connections that are served at once at the operators' address.
const CONNECTIONS_MAX: usize = 256;
/// Time that open requests have when the daemon shuts down.
const SHUTDOWN_TIME: Duration = Duration::from_secs(2);

/// Serves the operators' address until `shutdown` ends.
pub async fn serve(
    listener: TcpListener,
    operators: Vec<Operator>,
    handle: OperatorHandle,
    metrics: PrometheusHandle,
    shutdown: impl Future<Output = ()> + Send + 'static,
) -> io::Result<()> {
    let acceptor = TcpAcceptor::try_from(listener)?;
    let server = Server::new(acceptor)
        .fuse_config(FuseConfig::strict())
        .max_connections(CONNECTIONS_MAX);
    let stop = server.handle();
    let watcher = tokio::spawn(async move {
        shutdown.await;
        stop.stop_graceful(SHUTDOWN_TIME);
    });
    let shared = Shared {
        gate: Gate::new(operators),
        handle,
        metrics,
    };
    let ended = server.try_serve(service(shared)).await;
    watcher.abort();
    ended
}

/// All routes behind the gate.
fn service(shared: Shared) -> Service {
    let router = Router::new()
        .get(page::get_home)
        .push(Router::with_path(STATUS_PATH).get(api::get_status))
        .push(Router::with_path(EXPLAIN_PATH).get(api::get_explanation))
        .push(
            Router::with_path(NOTE_PATH)
                .get(api::get_in_force)
                .post(api::post_note),
        )
        .push(Router::with_path(NOTE_CHECK_PATH).post(api::post_check))
        .push(Router::with_path(METRICS_PATH).get(api::get_metrics))
        .push(Router::with_path(page::CHECK_PATH).post(page::post_check))
        .push(Router::with_path(page::APPROVE_PATH).post(page::post_approve));
    Service::new(router).hoop(gate::Hoop::new(shared))
}
