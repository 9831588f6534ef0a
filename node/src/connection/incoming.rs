//! Connections that other entries open to this one.

use super::wire;
use crate::{
    connection::peer::Duplex,
    process::{
        control::ControlHandle,
        logging::EventLog,
        protocol::{Call, Control, Reply},
        register::RegisterHandle,
        telemetry,
        transport::Transport,
        voter::VoterHandle,
    },
    request::{
        body::Body,
        core::Core,
        forward,
        message::{Answer, Failure, RequestHead},
        serve,
    },
};
use cornelrail_lib::{name::Node, process::event::Event, request::plan};
use quinn::{Connection, Incoming, RecvStream, SendStream};
use std::time::Duration;
use tokio::{runtime::Handle, time::timeout};
use tracing::{Instrument, debug_span};

/// Time that a finished answer has to arrive at the entry that forwarded the request.
const ARRIVAL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Handles that the streams of other entries lead to.
#[derive(Debug, Clone)]
pub struct Doors {
    /// The control task.
    pub control: ControlHandle,
    /// The voter, on hosts with a disk.
    pub voter: Option<VoterHandle>,
    /// The register's replica.
    pub register: RegisterHandle,
    /// What requests need.
    pub core: Core,
    /// Runtime of the requests; the streams of the control plane stay on their own.
    pub requests: Handle,
}

/// Accepts connections until the endpoint is closed.
pub async fn run(transport: Transport, doors: Doors) {
    while let Some(incoming) = transport.accept().await {
        tokio::spawn(admit(transport.clone(), doors.clone(), incoming));
    }
}

async fn admit(transport: Transport, doors: Doors, incoming: Incoming) {
    let address = incoming.remote_address();
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(error) => {
            Event::PeerRefused.log(format_args!("address={address} why={error}"));
            return;
        }
    };
    match transport.identify(&connection) {
        Some(node) => serve_peer(doors, node, connection).await,
        None => Event::PeerRefused.log(format_args!(
            "address={address} why=its certificate names no listed entry"
        )),
    }
}

async fn serve_peer(doors: Doors, node: Node, connection: Connection) {
    loop {
        tokio::select! {
            stream = connection.accept_uni() => match stream {
                Ok(rx) => drop(tokio::spawn(read_notices(doors.clone(), node, rx))),
                Err(_) => return,
            },
            stream = connection.accept_bi() => match stream {
                Ok((tx, rx)) => {
                    let duplex = Duplex { tx, rx };
                    drop(tokio::spawn(answer(doors.clone(), node, duplex)));
                }
                Err(_) => return,
            },
        }
    }
}

async fn read_notices(doors: Doors, node: Node, mut rx: RecvStream) {
    while let Ok(control) = wire::read_message::<Control>(&mut rx).await {
        match (control, &doors.voter) {
            (Control::Raft(message), Some(voter)) => voter.receive(node, message),
            (Control::Raft(_), None) => {}
            (control @ Control::Commands(_), _) => doors.control.notice(control).await,
        }
    }
}

async fn answer(doors: Doors, node: Node, duplex: Duplex) {
    let Duplex { mut tx, mut rx } = duplex;
    let Ok(call) = wire::read_message::<Call>(&mut rx).await else {
        return;
    };
    let reply = match call {
        Call::Forward(head) => {
            let core = doors.core;
            let serving = async move { serve_forwarded(&core, *head, tx, rx).await };
            drop(doors.requests.spawn(serving));
            return;
        }
        Call::Once(ask) => doors.register.ask(node, ask).await.map(Reply::Once),
        call => doors.control.call(call).await,
    };
    if let Some(reply) = reply {
        // An asker that is gone needs no answer.
        let _ = wire::write_message(&mut tx, &reply).await;
        let _ = tx.finish();
    }
}

async fn serve_forwarded(core: &Core, mut head: RequestHead, mut tx: SendStream, rx: RecvStream) {
    let _flight = core.flights.begin();
    let span = debug_span!("home", request = head.id);
    if let Some(trace) = &head.trace {
        telemetry::adopt_text(&span, trace);
    }
    let body = forward::forwarded_body(&mut head, rx);
    let left = tx.stopped();
    let serving = serve_here(core, head, body).instrument(span);
    let outcome = tokio::select! {
        outcome = serving => outcome,
        // The entry that forwarded it has given it up.
        _ = left => return,
    };
    if forward::write_outcome(&mut tx, outcome).await.is_ok() && tx.finish().is_ok() {
        // A shutdown must not close the connection before the answer has arrived.
        let _ = timeout(ARRIVAL_TIMEOUT, tx.stopped()).await;
    }
}

/// Serves a forwarded request if this entry may act at all.
async fn serve_here(core: &Core, head: RequestHead, body: Body) -> Result<Answer, Failure> {
    let planned = {
        let view = core.view.borrow();
        let standing = core.standing(&view);
        plan::plan(&view.fleet, standing, head.service.as_str(), head.hash())
    };
    match planned {
        plan::Plan::Send => serve::serve(core, head, body).await,
        _ => Err(Failure::Elsewhere),
    }
}
