//! What an entry of a seeded fleet does by its catalog replica, depending on what the host that it
//! follows says.

use crate::test_seeded::{PATIENCE, exchange, host, settings, split};
use cornelrail_lib::{
    name::Service,
    version::{
        catalog::{Catalog, Update},
        desired::{Backend, Change, Item, ItemVersion, Route, RouteKind, ServiceSpec, WEIGHT_UNIT},
        feed::{FromCore, Handshake, LeaderStatus, ToCore},
    },
};
use cornelrail_node::{
    connection::message::{MessageError, MessageStream, encode},
    process::{
        core::node_of,
        entry::{self, EntryHandle},
    },
};
use cornelrail_testutils::ports;
use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};
use tempfile::TempDir;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
    time::{Instant, interval, sleep},
};

/// Interval between the statuses of the host.
const STATUS_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which the host gives up an entry that sends nothing.
const SILENCE: Duration = Duration::from_secs(5);
/// Time for an entry to reject by a replica that is not confirmed, and then to follow again.
const LAPSE: Duration = Duration::from_millis(3_500);

/// What the host does besides sending a snapshot and statuses.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Conduct {
    /// It confirms replicas.
    Confirming,
    /// It leads and confirms nothing.
    Leading,
    /// It says that no host leads.
    Leaderless,
    /// It takes connections and says nothing.
    Silent,
}

/// An entry, and the stand-in for a core host that it follows.
struct Fixture {
    _folder: TempDir,
    _entry: EntryHandle,
    _host: JoinSet<()>,
    conduct: watch::Sender<Conduct>,
    callers: SocketAddr,
}

async fn entry_with(conduct: Conduct) -> Fixture {
    let folder = TempDir::new().expect("a folder");
    let host = host();
    let listener = TcpListener::bind((host.as_str(), 0)).await.expect("bound");
    let port = listener.local_addr().expect("bound").port();
    let address = || SocketAddr::new(host.parse().expect("an address"), ports::next_port());
    let (callers, ready) = (address(), address());
    let conduct = watch::Sender::new(conduct);
    let mut tasks = JoinSet::new();
    tasks.spawn(serve(listener, conduct.subscribe()));
    let listen = format!("callers: \"{callers}\", ready: \"{ready}\"");
    let settings = settings("entry", &host, port, &listen, &folder.path().join("none"));
    let entry = entry::start(settings).await.expect("an entry");
    Fixture {
        _folder: folder,
        _entry: entry,
        _host: tasks,
        conduct,
        callers,
    }
}

/// A catalog with a route to a service without targets.
pub(crate) fn catalog() -> Catalog {
    let mut change = Change::default();
    let service = Service::from("pool");
    let spec = ServiceSpec {
        health: "/health".to_owned(),
        connections: 20,
        cold_period: Duration::ZERO,
        cold_rate: 0,
        keyed: false,
        warmup: Duration::ZERO,
    };
    let route = Route {
        host: "h.example".to_owned(),
        prefix: "/r/".to_owned(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(2),
        latency_goal: Duration::from_millis(500),
        priority: 1,
        backends: vec![Backend {
            service: service.clone(),
            weight: WEIGHT_UNIT,
        }],
        attempts: 2,
    };
    change.services.insert(service, item(spec));
    change.routes.insert("r".to_owned(), item(route));
    let mut catalog = Catalog::default();
    catalog.apply(&Update::Desired(change));
    catalog
}

fn item<T>(value: T) -> Item<T> {
    Item {
        version: ItemVersion(1),
        value: Some(value),
        source: String::new(),
    }
}

async fn serve(listener: TcpListener, conduct: watch::Receiver<Conduct>) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        connections.spawn(feed(stream, conduct.clone()));
    }
}

/// Feeds one entry until the connection ends.
async fn feed(stream: TcpStream, mut conduct: watch::Receiver<Conduct>) {
    let address = stream.local_addr().expect("an address").ip();
    let mut stream = MessageStream::new(stream, SILENCE).expect("a stream");
    let greeting = stream.receive::<Handshake>().await;
    assert!(matches!(greeting, Ok(Handshake::Entry { .. })));
    // The entry ends the connection.
    let _ = follow(&mut stream, address, &mut conduct).await;
}

async fn follow(
    stream: &mut MessageStream,
    address: IpAddr,
    conduct: &mut watch::Receiver<Conduct>,
) -> Result<(), MessageError> {
    let members = |leader| FromCore::Members {
        leader,
        nodes: vec![node_of(address)],
    };
    if !matches!(*conduct.borrow(), Conduct::Leaderless | Conduct::Silent) {
        let snapshot = FromCore::snapshot(1, &catalog());
        let messages = [
            encode(&members(Some(node_of(address))))?,
            encode(&snapshot)?,
        ];
        stream.send(messages).await?;
    }
    let mut statuses = interval(STATUS_INTERVAL);
    loop {
        let now = *conduct.borrow_and_update();
        if now == Conduct::Leaderless {
            stream.send([encode(&members(None))?]).await?;
            return Ok(());
        }
        if now == Conduct::Silent {
            // The host gives up no connection by itself.
            let _ = conduct.wait_for(|now| *now != Conduct::Silent).await;
            return Ok(());
        }
        tokio::select! {
            message = stream.receive::<ToCore>() => match message? {
                ToCore::Confirm(at) if now == Conduct::Confirming => {
                    stream.send([encode(&FromCore::Confirmed(at))?]).await?;
                }
                _ => {}
            },
            _ = statuses.tick() => {
                let status = FromCore::Status(LeaderStatus::default());
                stream.send([encode(&status)?]).await?;
            }
            _ = conduct.changed() => {}
        }
    }
}

/// Reason of the entry's rejection of a request.
pub(crate) async fn reason(callers: SocketAddr) -> String {
    let request = b"GET /r/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: one\r\n\
        Deadline-Ms: 1000\r\nConnection: close\r\n\r\n";
    let reply = exchange(callers, request).await.expect("an answer");
    let (status, body) = split(&reply).expect("an answer");
    assert_eq!(status, 503, "{reply}");
    body.trim().to_owned()
}

/// Waits until the entry routes requests, to a service without targets.
pub(crate) async fn routes(callers: SocketAddr) {
    let start = Instant::now();
    while reason(callers).await != "unowned" {
        assert!(start.elapsed() < PATIENCE, "the entry does not route");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Reason of a rejection while the host leads and confirms nothing; it confirms again after that.
async fn reason_unconfirmed(fixture: &Fixture) -> String {
    fixture.conduct.send_replace(Conduct::Leading);
    sleep(LAPSE).await;
    let reason = reason(fixture.callers).await;
    fixture.conduct.send_replace(Conduct::Confirming);
    routes(fixture.callers).await;
    reason
}

#[tokio::test]
async fn a_replica_that_its_leader_stops_confirming_routes_nothing() {
    let fixture = entry_with(Conduct::Confirming).await;
    routes(fixture.callers).await;

    let unconfirmed = reason_unconfirmed(&fixture).await;

    assert_eq!(unconfirmed, "stale");
}

#[tokio::test]
async fn a_first_replica_routes_nothing_before_it_is_confirmed() {
    let fixture = entry_with(Conduct::Leading).await;

    let unconfirmed = reason_unconfirmed(&fixture).await;

    assert_eq!(unconfirmed, "stale");
}

#[tokio::test]
async fn an_entry_goes_on_by_its_replica_while_no_host_leads() {
    let fixture = entry_with(Conduct::Confirming).await;
    routes(fixture.callers).await;

    fixture.conduct.send_replace(Conduct::Leaderless);
    sleep(LAPSE).await;
    let leaderless = reason(fixture.callers).await;

    assert_eq!(leaderless, "unowned");
}

/// A leader that is late is still there: it may have acknowledged a change.
#[tokio::test]
async fn a_replica_routes_nothing_while_a_core_host_takes_connections_and_says_nothing() {
    let fixture = entry_with(Conduct::Confirming).await;
    routes(fixture.callers).await;

    fixture.conduct.send_replace(Conduct::Silent);
    sleep(LAPSE).await;
    let late = reason(fixture.callers).await;

    assert_eq!(late, "stale");
}
