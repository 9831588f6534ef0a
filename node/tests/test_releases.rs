//! Processes of this release beside those of releases without levels, which end a connection at the
//! first message that they do not know.

use crate::{
    test_crashing,
    test_replica::{catalog, reason, routes},
    test_seeded::{PATIENCE, host, settings},
};
use cornelrail_lib::{
    name::Zone,
    version::{
        feed::{FromCore, Handshake, LeaderStatus, Peer, ToCore},
        wire_level::WireLevel,
    },
};
use cornelrail_node::{
    connection::message::{MessageError, MessageStream, encode, encode_greeting},
    process::{core::node_of, entry},
};
use cornelrail_testutils::ports;
use std::{net::SocketAddr, time::Duration};
use tempfile::TempDir;
use tokio::{
    net::TcpListener,
    sync::watch,
    time::{Instant, interval, sleep, timeout},
};

const SILENCE: Duration = Duration::from_secs(5);
const STATUS_INTERVAL: Duration = Duration::from_millis(100);
/// Time for an entry to report several times.
const REPORTS: Duration = Duration::from_millis(2_000);

/// What a core host of an earlier release was sent.
#[derive(Debug, Clone, Default)]
struct Seen {
    connections: usize,
    peers: usize,
}

/// Core host that leads and knows messages up to a level, which it does not tell. From the second
/// report on it sends what came with that level.
async fn old_core(listener: TcpListener, level: WireLevel, seen: watch::Sender<Seen>) {
    let address = listener.local_addr().expect("bound");
    while let Ok((stream, _)) = listener.accept().await {
        seen.send_modify(|seen| seen.connections += 1);
        let stream = MessageStream::new(stream, SILENCE).expect("a stream");
        // The connection ends with the first message that is not known.
        let _ = lead(stream, address, level, &seen).await;
    }
}

async fn lead(
    mut stream: MessageStream,
    address: SocketAddr,
    level: WireLevel,
    seen: &watch::Sender<Seen>,
) -> Result<(), MessageError> {
    stream.receive::<Handshake>().await?;
    let node = node_of(address.ip());
    let members = FromCore::Members {
        leader: Some(node),
        nodes: vec![node],
    };
    let snapshot = FromCore::snapshot(1, &catalog());
    stream.send([encode(&members)?, encode(&snapshot)?]).await?;
    let mut statuses = interval(STATUS_INTERVAL);
    let mut reports = 0;
    loop {
        tokio::select! {
            message = stream.receive::<ToCore>() => {
                let message = message?;
                if message.level() > level {
                    return Ok(());
                }
                match message {
                    ToCore::Confirm(at) => {
                        reports += 1;
                        stream.send([encode(&FromCore::Confirmed(at))?]).await?;
                        let peers = FromCore::Peers(Vec::new());
                        if reports == 2 && peers.level() <= level {
                            stream.send([encode(&peers)?]).await?;
                        }
                    }
                    ToCore::Peer(_) => seen.send_modify(|seen| seen.peers += 1),
                    _ => {}
                }
            }
            _ = statuses.tick() => {
                let status = FromCore::Status(LeaderStatus::default());
                stream.send([encode(&status)?]).await?;
            }
        }
    }
}

/// An entry of this release that follows a core host of an earlier one. Returns what the host has
/// seen, and why the entry rejects a request to a service without targets.
async fn follow_old_core(level: WireLevel) -> (Seen, String) {
    let folder = TempDir::new().expect("a folder");
    let host = host();
    let listener = TcpListener::bind((host.as_str(), 0)).await.expect("bound");
    let port = listener.local_addr().expect("bound").port();
    let address = || SocketAddr::new(host.parse().expect("an address"), ports::next_port());
    let (callers, ready) = (address(), address());
    let seen = watch::Sender::new(Seen::default());
    let core = tokio::spawn(old_core(listener, level, seen.clone()));
    let listen = format!("callers: \"{callers}\", ready: \"{ready}\"");
    let settings = settings("entry", &host, port, &listen, &folder.path().join("none"));
    let _entry = entry::start(settings).await.expect("an entry");
    routes(callers).await;
    sleep(REPORTS).await;
    let reason = reason(callers).await;
    core.abort();
    let seen = seen.borrow().clone();
    (seen, reason)
}

#[tokio::test]
async fn an_entry_sends_a_core_host_without_levels_what_it_does_not_know() {
    let (seen, reason) = follow_old_core(WireLevel::BASE).await;

    assert_eq!((seen.connections, reason.as_str()), (1, "unowned"));
}

#[tokio::test]
async fn an_entry_leaves_out_what_a_core_host_shows_that_it_knows() {
    let (seen, reason) = follow_old_core(WireLevel::DETOURS).await;

    assert_eq!((seen.connections, reason.as_str()), (1, "unowned"));
    assert!(seen.peers > 0, "{seen:?}");
}

/// Entry of an earlier release.
struct OldEntry {
    stream: MessageStream,
}

impl OldEntry {
    async fn follow(core: SocketAddr) -> Self {
        let mut stream = MessageStream::connect(core, SILENCE)
            .await
            .expect("a core host");
        let greeting = Handshake::Entry {
            name: "old".to_owned(),
            zone: Zone::from("a"),
        };
        let greeting = encode(&greeting).expect("encoded");
        stream.send([greeting]).await.expect("sent");
        OldEntry { stream }
    }

    async fn tell(&mut self, message: &ToCore) {
        let message = encode(message).expect("encoded");
        self.stream.send([message]).await.expect("sent");
    }

    /// Highest level of the messages that arrive within a time, and whether requests are refused.
    async fn listen(&mut self, time: Duration) -> (WireLevel, bool) {
        let end = Instant::now() + time;
        let (mut level, mut refuses) = (WireLevel::BASE, false);
        while let Ok(message) = timeout(end - Instant::now(), self.stream.receive()).await {
            let message: FromCore = message.expect("a message that is known");
            level = level.max(message.level());
            refuses |= matches!(message, FromCore::Quarantined(_));
            if Instant::now() >= end {
                break;
            }
        }
        (level, refuses)
    }
}

/// A fleet whose entries refuse a request.
async fn quarantining() -> test_crashing::Fleet {
    let fleet = test_crashing::fleet(2).await;
    let start = Instant::now();
    while !fleet.refuses_crash().await {
        assert!(start.elapsed() < PATIENCE, "the request is not refused");
        fleet.repeat(&fleet.callers, Duration::from_secs(1)).await;
    }
    fleet
}

#[tokio::test(flavor = "multi_thread")]
async fn a_core_host_sends_an_entry_without_levels_what_it_does_not_know() {
    let fleet = quarantining().await;
    let mut old = OldEntry::follow(fleet.core()).await;

    let (level, _) = old.listen(REPORTS).await;

    assert_eq!(level, WireLevel::BASE);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_core_host_leaves_out_what_an_entry_shows_that_it_knows() {
    let fleet = quarantining().await;
    let mut old = OldEntry::follow(fleet.core()).await;
    old.listen(STATUS_INTERVAL).await;
    let peer = Peer {
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: Zone::from("a"),
        is_helpful: true,
    };
    old.tell(&ToCore::Peer(peer)).await;

    let (level, refuses) = old.listen(REPORTS).await;

    assert_eq!((level, refuses), (WireLevel::DETOURS, true));
}

/// A greeting with its level behind it, as releases without levels read it.
#[tokio::test]
async fn a_level_behind_a_greeting_stops_an_earlier_release() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("bound");
    let members = FromCore::Members {
        leader: None,
        nodes: vec![node_of(address.ip())],
    };
    let mut sender = MessageStream::connect(address, SILENCE)
        .await
        .expect("a peer");
    let (stream, _) = listener.accept().await.expect("a connection");
    let mut receiver = MessageStream::new(stream, SILENCE).expect("a stream");
    let greeting = encode_greeting(&members).expect("encoded");
    sender
        .send([greeting.clone(), greeting])
        .await
        .expect("sent");

    let earlier = receiver.receive::<FromCore>().await.expect("understood");
    let own = receiver
        .receive_greeting::<FromCore>()
        .await
        .expect("understood");

    assert_eq!((earlier, own), (members.clone(), (members, WireLevel::OWN)));
}
