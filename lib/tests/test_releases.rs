//! Bytes of messages and updates as released builds encode them. A type that changes without a new
//! level shows here: earlier releases would not understand it.

use cornelrail_lib::{
    moment::Moment,
    name::{Incarnation, Node, Service, Target, Zone},
    process::{
        control_call::{ControlCall, ControlReply},
        raft::{Identity, Message, MessageBody},
    },
    version::{
        catalog::{Catalog, TargetId, TargetRecord, Update},
        command::Fingerprint,
        feed::{FromCore, Handshake, LeaderStatus, Peer, ToCore, TrafficReport},
        permits::{LimitReport, PermitReply, PermitRequest, RateLimit},
        suspects::{Break, Quarantined, SuspectReport, TrialReply},
    },
};
use serde::Serialize;
use std::{fmt::Write, net::SocketAddr, time::Duration};

/// As ac76d91 encodes them, the last release without levels.
const AC76D91: &str = include_str!("releases/ac76d91.txt");

/// Messages of later levels, as the release that brought each of them encodes it.
const LATER: &str = include_str!("releases/later.txt");

fn line<M: Serialize>(name: &str, message: &M) -> String {
    let bytes = postcard::to_stdvec(message).expect("encoded");
    let mut line = format!("{name} ");
    for byte in bytes {
        write!(line, "{byte:02x}").expect("written");
    }
    line + "\n"
}

fn address() -> SocketAddr {
    "10.1.2.3:8080".parse().expect("an address")
}

fn record() -> TargetRecord {
    TargetRecord {
        name: Target::from("i-1"),
        incarnation: Incarnation(7),
        service: Service::from("pool"),
        address: address(),
        zone: Zone::from("a"),
        slots: 4,
        leaving: false,
    }
}

fn to_core() -> Vec<(&'static str, ToCore)> {
    let identity = Identity(9);
    let raft = Message {
        from: identity,
        to: identity,
        term: 3,
        body: MessageBody::Hello { empty: true },
    };
    let limit = LimitReport {
        id: TargetId(5),
        limit: RateLimit::from_per_second(2.5),
        sent_age: Duration::from_millis(20),
        answer_age: Duration::from_millis(10),
    };
    let suspects = SuspectReport {
        breaks: vec![Break {
            request: Fingerprint(1),
            target: TargetId(5),
            age: 30,
        }],
        answered: vec![(Fingerprint(2), 40)],
        quarantined: vec![Quarantined {
            request: Fingerprint(3),
            left: 50,
        }],
    };
    let permit = PermitRequest {
        id: TargetId(5),
        lowest_priority: true,
    };
    vec![
        ("raft", ToCore::Raft(raft)),
        ("call", ToCore::Call(6, ControlCall::Read)),
        ("report", ToCore::Report(TrafficReport::default())),
        ("ping", ToCore::Ping),
        ("confirm", ToCore::Confirm(Moment::from_millis(8))),
        ("limits", ToCore::Limits(vec![limit])),
        ("permit", ToCore::Permit(6, permit)),
        ("suspects", ToCore::Suspects(suspects)),
        ("peer", ToCore::Peer(peer())),
    ]
}

fn peer() -> Peer {
    Peer {
        address: address(),
        zone: Zone::from("a"),
        is_helpful: true,
    }
}

fn from_core() -> Vec<(&'static str, FromCore)> {
    let members = FromCore::Members {
        leader: Some(Node(1)),
        nodes: vec![Node(1), Node(2)],
    };
    let updates = vec![
        Update::ZoneOut(Zone::from("a")),
        Update::ZoneIn(Zone::from("a")),
        Update::Join(record()),
        Update::Leave(TargetId(5)),
        Update::Remove(TargetId(5)),
    ];
    let denied = PermitReply::Denied {
        next: Duration::from_millis(3),
        retry: Duration::from_millis(4),
    };
    let limit = RateLimit::from_per_second(2.5).expect("a limit");
    let refused = Quarantined {
        request: Fingerprint(3),
        left: 50,
    };
    let status = LeaderStatus::default();
    let limited = FromCore::LimitedStatus(status.clone(), vec![(TargetId(5), limit)]);
    let mut catalog = Catalog::default();
    catalog.apply(&Update::Join(record()));
    vec![
        ("members", members),
        ("reply", FromCore::Reply(6, ControlReply::Done)),
        ("snapshot", FromCore::snapshot(9, &catalog)),
        ("updates", FromCore::updates(10, updates)),
        ("status", FromCore::Status(status)),
        ("pong", FromCore::Pong),
        ("confirmed", FromCore::Confirmed(Moment::from_millis(8))),
        ("granted", FromCore::Permit(6, PermitReply::Granted)),
        ("denied", FromCore::Permit(6, denied)),
        ("limited", limited),
        ("quarantined", FromCore::Quarantined(vec![refused])),
        ("peers", FromCore::Peers(vec![peer()])),
    ]
}

/// Messages from level 3 on.
fn later() -> String {
    let call = ToCore::TimedCall {
        number: 6,
        deadline: Moment::from_millis(8),
        call: ControlCall::Read,
    };
    let trial = TrialReply::Granted;
    line("trial", &ToCore::Trial(6, Fingerprint(1), 70))
        + &line(
            "trials-ended",
            &ToCore::TrialsEnded(vec![Fingerprint(1), Fingerprint(2)]),
        )
        + &line("tried", &FromCore::Trial(6, trial))
        + &line("suspected", &FromCore::Suspected(vec![Fingerprint(1)]))
        + &line("timed-call", &call)
        + &line("clock", &FromCore::Clock(Moment::from_millis(8)))
        + &line(
            "depart",
            &Update::Depart(Target::from("i-1"), Incarnation(7)),
        )
        + &line(
            "forget",
            &Update::Forget(vec![(Target::from("i-1"), Incarnation(7))]),
        )
}

#[test]
fn a_message_of_a_later_level_is_encoded_otherwise() {
    assert_eq!(later(), LATER);
}

#[test]
fn a_message_of_an_earlier_release_is_encoded_otherwise() {
    let core = Handshake::Core { node: Node(1) };
    let entry = Handshake::Entry {
        name: "entry-1".to_owned(),
        zone: Zone::from("a"),
    };

    let mut text = line("core", &core) + &line("entry", &entry);
    text.extend(to_core().iter().map(|(name, m)| line(name, m)));
    text.extend(from_core().iter().map(|(name, m)| line(name, m)));

    assert_eq!(text, AC76D91);
}
