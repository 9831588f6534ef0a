//! Calls that a core host passes on while it is cut off from the leader. They arrive once the cut is over,
//! after their sender was told that nobody answers and has gone on elsewhere.

use crate::{
    seeded::{Hosts, send},
    test_seeded::{self, PATIENCE, StandIn, call, exchange, fleet, order, set_up, split},
};
use cornelrail_lib::{
    moment::Moment,
    name::{Node, Zone},
    process::control_call::{ControlCall, ControlReply},
    version::feed::{FromCore, Handshake, ToCore},
};
use cornelrail_node::{
    connection::{
        core_link::CoreLink,
        message::{MessageStream, encode, encode_greeting},
    },
    process::clock::Clock,
};
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::{Instant, sleep},
};

/// Time for which a core host is cut off.
const CUT: Duration = Duration::from_millis(3_000);
/// Time for a call that was held up to arrive, and for entries to hear of it.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Zone of the target.
const ZONE_OUT: &str = "evacuate.start&of=a";
const ZONE_IN: &str = "evacuate.end&of=a";

/// Fleet of three core hosts and an entry, with a target in one zone.
struct Fleet {
    hosts: Hosts,
    _target: StandIn,
}

impl Fleet {
    async fn start() -> Fleet {
        let hosts = Hosts::with_links(3, 1);
        let (status, _) = send(hosts.controls[0], "config.patch", &order(7, "2000ms")).await;
        assert_eq!(status, 200);
        let host = hosts.callers[0].ip().to_string();
        let fleet = Fleet {
            _target: StandIn::start(&host, hosts.controls[0]).await,
            hosts,
        };
        fleet.until_served(true).await;
        fleet
    }

    /// Status of a request to the target's zone.
    async fn ask(&self) -> u16 {
        let request = "GET /r/zone HTTP/1.1\r\nHost: h.example\r\nRequest-Id: zone\r\n\
                       Deadline-Ms: 1000\r\nConnection: close\r\n\r\n";
        let reply = exchange(self.hosts.callers[0], request.as_bytes()).await;
        let status = reply.ok().and_then(|reply| split(&reply));
        status.map_or(0, |(status, _)| status)
    }

    /// Waits until requests to the target's zone are served, or refused.
    async fn until_served(&self, is_served: bool) {
        let begun = Instant::now();
        while (self.ask().await == 200) != is_served {
            let late = begun.elapsed() >= PATIENCE;
            assert!(!late, "requests are served: {}", !is_served);
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Sends a call by way of a core host that is cut off from the leader, and others by way of the
    /// leader meanwhile.
    async fn hold_up(&self, held: (&str, &Value), meanwhile: &[(&str, &Value)]) {
        let leader = self.hosts.leader().await;
        let place = (leader + 1) % self.hosts.controls.len();
        self.hosts.set_cut_off(place, true);
        let cut = Instant::now();
        let answer = call(self.hosts.controls[place], held.0, held.1).await;
        assert_eq!(answer.map(|(status, _)| status), Some(503));
        for (name, body) in meanwhile {
            send(self.hosts.controls[leader], name, body).await;
        }
        sleep(CUT.saturating_sub(cut.elapsed())).await;
        self.hosts.set_cut_off(place, false);
        sleep(SETTLE_TIME).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_end_of_an_evacuation_that_was_held_up_undoes_a_later_evacuation() {
    let fleet = Fleet::start().await;
    let none = Value::Null;

    fleet
        .hold_up((ZONE_IN, &none), &[(ZONE_IN, &none), (ZONE_OUT, &none)])
        .await;

    assert_ne!(fleet.ask().await, 200, "the zone is out of service");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_evacuation_that_was_held_up_undoes_its_end() {
    let fleet = Fleet::start().await;
    let none = Value::Null;

    fleet
        .hold_up((ZONE_OUT, &none), &[(ZONE_OUT, &none), (ZONE_IN, &none)])
        .await;

    assert_eq!(fleet.ask().await, 200, "the zone is in service");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_change_that_was_held_up_comes_into_force() {
    let fleet = Fleet::start().await;
    let version = "00000009";
    let mut route = order(7, "2000ms")["upsert"]["routes"]["r"].clone();
    route["pathPrefix"] = json!("/new/");
    route["service"] = json!("later");
    route["version"] = json!(version);
    let mut service = order(7, "2000ms")["upsert"]["services"]["pool"].clone();
    service["version"] = json!(version);
    let refused = json!({"upsert": {"routes": {"new": route}}, "remove": {}});
    let added = json!({"upsert": {"services": {"later": service}}, "remove": {}});

    fleet
        .hold_up(("config.patch", &refused), &[("config.patch", &added)])
        .await;

    let (_, items) = send(fleet.hosts.controls[0], "config.get", &Value::Null).await;
    assert!(items["services"]["later"].is_object(), "{items}");
    assert!(items["routes"]["new"].is_null(), "{items}");
}

/// Sends a call that a core host reads once it runs on, and leaves after a second without an answer.
async fn call_and_leave(control: SocketAddr, name: &str) {
    let request =
        format!("POST /-/rpc?call={name} HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n");
    let mut stream = TcpStream::connect(control)
        .await
        .expect("the system connects");
    stream.write_all(request.as_bytes()).await.expect("written");
    sleep(Duration::from_secs(1)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_core_host_that_was_stopped_executes_a_call_whose_sender_has_left() {
    let fleet = Fleet::start().await;
    let leader = fleet.hosts.leader().await;
    let place = (leader + 1) % fleet.hosts.controls.len();
    fleet.hosts.signal(place, "STOP");

    call_and_leave(fleet.hosts.controls[place], ZONE_IN).await;
    for name in [ZONE_IN, ZONE_OUT] {
        send(fleet.hosts.controls[leader], name, &Value::Null).await;
    }
    fleet.hosts.signal(place, "CONT");
    sleep(SETTLE_TIME).await;

    assert_ne!(fleet.ask().await, 200, "the zone is out of service");
}

/// Another core host, as the one under test sees it.
struct Peer {
    stream: MessageStream,
}

impl Peer {
    /// Connects to the core host of a fleet; an earlier release tells no level.
    async fn connect(fleet: &test_seeded::Fleet, has_level: bool) -> Peer {
        let greeting = Handshake::Core { node: Node(1) };
        let greeting = match has_level {
            true => encode_greeting(&greeting),
            false => encode(&greeting),
        };
        let stream = MessageStream::connect(fleet.peers, PATIENCE).await;
        let mut peer = Peer {
            stream: stream.expect("a core host"),
        };
        let greeting = greeting.expect("encoded");
        peer.stream.send([greeting]).await.expect("sent");
        peer
    }

    /// Sends a message and gives the answer.
    async fn ask(&mut self, message: &ToCore) -> FromCore {
        let message = encode(message).expect("encoded");
        self.stream.send([message]).await.expect("sent");
        self.stream.receive().await.expect("an answer")
    }
}

#[tokio::test]
async fn a_core_host_executes_a_call_whose_deadline_has_passed() {
    let fleet = fleet().await;
    set_up(&fleet).await;
    let mut peer = Peer::connect(&fleet, true).await;
    let FromCore::Clock(now) = peer.ask(&ToCore::Ping).await else {
        panic!("a core host of this level is told the clock");
    };
    let call = |number, deadline| ToCore::TimedCall {
        number,
        deadline,
        call: ControlCall::ZoneOut(Zone::from("b")),
    };

    let late = peer.ask(&call(1, now)).await;
    let timely = peer.ask(&call(2, now + PATIENCE)).await;

    assert_eq!(late, FromCore::Reply(1, ControlReply::Unavailable));
    assert_eq!(timely, FromCore::Reply(2, ControlReply::Done));
}

#[tokio::test]
async fn a_core_host_executes_an_order_of_unknown_age() {
    let fleet = fleet().await;
    set_up(&fleet).await;
    let mut peer = Peer::connect(&fleet, false).await;
    let order = ControlCall::ZoneOut(Zone::from("b"));

    let pong = peer.ask(&ToCore::Ping).await;
    let ordered = peer.ask(&ToCore::Call(1, order)).await;
    let read = peer.ask(&ToCore::Call(2, ControlCall::Read)).await;

    assert_eq!(pong, FromCore::Pong);
    assert_eq!(ordered, FromCore::Reply(1, ControlReply::Unavailable));
    assert!(matches!(read, FromCore::Reply(2, ControlReply::Desired(_))));
}

/// The first call that arrives at a core host which answers a sign of life with `answer`.
async fn first_call(answer: FromCore, clock: Clock, deadline: Moment) -> ToCore {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("bound");
    let (inbox, _replies) = mpsc::channel(1);
    let link = CoreLink::start(address, Handshake::Core { node: Node(1) }, inbox, clock);
    link.call(7, deadline, ControlCall::Read);
    let (stream, _) = listener.accept().await.expect("a connection");
    let mut stream = MessageStream::new(stream, PATIENCE).expect("a stream");
    let greeting = stream.receive_greeting::<Handshake>().await;
    greeting.expect("a greeting");
    loop {
        match stream.receive().await.expect("a message") {
            ToCore::Ping => {
                let answer = encode(&answer).expect("encoded");
                stream.send([answer]).await.expect("sent");
            }
            call => return call,
        }
    }
}

#[tokio::test]
async fn a_call_is_passed_on_without_a_deadline_of_its_receivers_clock() {
    let clock = Clock::start();
    let told = Moment::from_millis(1_000_000);
    let asked = clock.now();

    let call = first_call(FromCore::Clock(told), clock, asked + PATIENCE).await;

    let ToCore::TimedCall {
        number, deadline, ..
    } = call
    else {
        panic!("a call with its deadline, not {call:?}");
    };
    assert_eq!(number, 7);
    assert!(deadline <= told + PATIENCE, "{deadline:?}");
    let spent = clock.now().since(asked);
    assert!(deadline + spent >= told + PATIENCE, "{deadline:?}");
}

#[tokio::test]
async fn a_core_host_of_an_earlier_release_is_passed_a_call_that_it_does_not_know() {
    let clock = Clock::start();

    let call = first_call(FromCore::Pong, clock, clock.now() + PATIENCE).await;

    assert_eq!(call, ToCore::Call(7, ControlCall::Read));
}
