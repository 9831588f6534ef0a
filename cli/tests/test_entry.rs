//! The command asks an entry and tells people and machines the same.

use crate::support::{Run, command, finish};
use cornelrail_lib::{
    name::{Node, Version},
    process::{
        operator_api::{
            CheckAnswer, EntryInForce, EntryStatus, ExplainAnswer, InForceAnswer, NoteAnswer,
            NoteSummary, ServiceStatus, StatusAnswer, TargetStatus, ZoneStatus,
        },
        settings::Operator,
    },
    version::{
        fleet::{ServiceKind, TargetPhase, ZoneState},
        note::Note,
    },
};
use cornelrail_node::process::operator::{self, OperatorCall, OperatorHandle};
use insta::assert_snapshot;
use metrics_exporter_prometheus::PrometheusBuilder;
use std::{fs, net::SocketAddr};
use tempfile::TempDir;
use tokio::{net::TcpListener, runtime::Runtime, sync::mpsc};

const NOTE: &str = "builds_on: 6\nchanged:\n  zones: {b: out}\n";

/// An entry whose control task answers by rote, and a token for it.
struct Entry {
    address: SocketAddr,
    folder: TempDir,
    _runtime: Runtime,
}

impl Entry {
    fn start(answer: NoteAnswer) -> Self {
        let runtime = Runtime::new().expect("a runtime");
        let folder = TempDir::new().expect("a folder");
        fs::write(folder.path().join("token"), "secret\n").expect("written");
        fs::write(folder.path().join("wrong"), "guess\n").expect("written");
        fs::write(folder.path().join("note.yaml"), NOTE).expect("written");
        let operator = Operator {
            name: "anna".to_owned(),
            digest: blake3::hash(b"secret").to_hex().to_string(),
            approve: true,
        };
        let listener = runtime
            .block_on(TcpListener::bind("127.0.0.1:0"))
            .expect("a free port");
        let address = listener.local_addr().expect("bound");
        let (handle, calls) = OperatorHandle::new();
        let metrics = PrometheusBuilder::new().build_recorder().handle();
        runtime.spawn(control(calls, answer));
        let shutdown = std::future::pending();
        runtime.spawn(operator::serve(
            listener,
            vec![operator],
            handle,
            metrics,
            shutdown,
        ));
        Entry {
            address,
            folder,
            _runtime: runtime,
        }
    }

    fn run_as(&self, token: &str, args: &[&str]) -> Run {
        let mut command = command(args);
        command
            .env("CORNELRAIL_TO", self.address.to_string())
            .env("CORNELRAIL_TOKEN_FILE", self.folder.path().join(token));
        finish(command)
    }

    fn run(&self, args: &[&str]) -> Run {
        self.run_as("token", args)
    }

    fn note(&self, verb: &str) -> Run {
        let note = self.folder.path().join("note.yaml");
        self.run(&["note", verb, note.to_str().expect("text")])
    }
}

async fn control(mut calls: mpsc::Receiver<OperatorCall>, answer: NoteAnswer) {
    while let Some(call) = calls.recv().await {
        match call {
            OperatorCall::Status { reply } => drop(reply.send(status())),
            OperatorCall::Explain {
                service,
                key,
                reply,
            } => drop(reply.send((service == "payroll-core").then(|| explain(&key)))),
            OperatorCall::Check { reply, .. } => drop(reply.send(CheckAnswer::Fine {
                version: Version(7),
                digest: "0123456789abcdef".to_owned(),
                effect: vec![
                    "zone b takes no new work; 2 of 6 targets stop, the others can carry 80 %"
                        .to_owned(),
                ],
            })),
            OperatorCall::Apply { reply, .. } => drop(reply.send(answer.clone())),
            OperatorCall::NoteStatus { version, reply } => {
                drop(reply.send(in_force(version.unwrap_or_default())));
            }
        }
    }
}

fn status() -> StatusAnswer {
    StatusAnswer {
        fleet: "kindloon".to_owned(),
        entry: Node(1),
        fresh: false,
        leader: Some(Node(2)),
        term: 3,
        version: Version(6),
        index: 4_711,
        entries: vec![EntryStatus {
            entry: Node(1),
            zone: "a".into(),
            alive: true,
            voter: true,
            applied: Some(4_711),
            lag: Some(0),
        }],
        zones: vec![ZoneStatus {
            zone: "a".into(),
            state: ZoneState::Out,
            entries: 1,
            targets: 7,
        }],
        services: vec![ServiceStatus {
            service: "payroll-core".into(),
            kind: ServiceKind::Keyed,
            targets: 20,
            ranges: 160,
            unowned: 1,
            moving: 2,
        }],
        targets: vec![TargetStatus {
            target: "w-3".into(),
            service: "payroll-core".into(),
            zone: "a".into(),
            phase: TargetPhase::Draining,
            home: Some(Node(1)),
            ranges: 8,
            share: 0.05,
        }],
    }
}

fn explain(key: &str) -> ExplainAnswer {
    ExplainAnswer {
        service: "payroll-core".into(),
        key: key.to_owned(),
        hash: "00ff".to_owned(),
        range: Some("0000-0fff".to_owned()),
        owner: Some("w-3".into()),
        fence: None,
        home: Some(Node(1)),
        epoch: None,
        next: None,
        why: "w-3 owns the range since its last move; entry 1 commands it.".to_owned(),
    }
}

fn in_force(version: Version) -> InForceAnswer {
    let digest = Note::parse(NOTE).expect("a good note").digest();
    let entry = |entry, version, fresh| EntryInForce {
        entry: Node(entry),
        version: Some(Version(version)),
        applied: Some(40),
        fresh,
        in_force: version >= 7,
    };
    InForceAnswer {
        version,
        note: Some(NoteSummary {
            version,
            author: "anna".to_owned(),
            digest,
        }),
        entries: vec![entry(1, 7, true), entry(2, 6, true), entry(3, 6, false)],
        everywhere: false,
    }
}

fn accepted() -> NoteAnswer {
    NoteAnswer::Accepted {
        version: Version(7),
        index: 41,
        digest: "0123456789abcdef".to_owned(),
    }
}

#[test]
fn answers_fit_a_phone() {
    let entry = Entry::start(accepted());

    let screens = [
        entry.run(&["status"]),
        entry.run(&["explain", "payroll-core/family 7/ä"]),
        entry.run(&["explain", "nosuch/k"]),
        entry.note("check"),
        entry.note("apply"),
        entry.note("status"),
    ]
    .map(|run| run.screen());

    let text = screens.join("\n\n");
    let widest = text.lines().map(|line| line.chars().count()).max();
    assert!(widest <= Some(48), "{widest:?}");
    assert_snapshot!(text);
}

#[test]
fn machines_get_the_answer_itself() {
    let entry = Entry::start(accepted());

    let run = entry.run(&["status", "--json"]);

    let read: StatusAnswer = serde_json::from_str(&run.out).expect("one object");
    assert_eq!(read, status());
}

#[test]
fn each_outcome_of_a_note_has_its_exit_code() {
    let conflict = NoteAnswer::Conflict {
        winner: NoteSummary {
            version: Version(7),
            author: "bea".to_owned(),
            digest: "d".to_owned(),
        },
        differences: vec!["yours: zone b out".to_owned()],
    };
    let reason = || "N109: it takes out the last zone".to_owned();
    let outcomes = [
        accepted(),
        NoteAnswer::Refused { reason: reason() },
        conflict,
        NoteAnswer::Unknown { reason: reason() },
    ];

    let codes = outcomes.map(|outcome| Entry::start(outcome).note("apply").code);

    assert_eq!(codes, [0, 1, 3, 4]);
}

#[test]
fn the_next_entry_is_asked_where_one_is_silent() {
    let entry = Entry::start(accepted());
    let addresses = format!("127.0.0.1:1,{}", entry.address);

    let run = entry.run(&["status", "--to", &addresses]);

    assert_eq!(run.code, 0, "{}", run.err);
}

#[test]
fn a_wrong_token_and_a_silent_entry_are_told_apart() {
    let entry = Entry::start(accepted());

    let wrong = entry.run_as("wrong", &["status"]);
    let missing = entry.run_as("nofile", &["status"]);
    let silent = entry.run(&["status", "--to", "127.0.0.1:1"]);

    assert_eq!((wrong.code, missing.code, silent.code), (5, 1, 4));
}

#[test]
fn a_note_that_waits_is_lost_on_an_entry_that_does_not_listen_yet() {
    let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = free.local_addr().expect("bound");
    drop(free);
    let folder = TempDir::new().expect("a folder");
    fs::write(folder.path().join("token"), "secret\n").expect("written");
    fs::write(folder.path().join("note.yaml"), NOTE).expect("written");
    let listening = std::thread::spawn(move || {
        std::thread::sleep(std::time::Duration::from_millis(700));
        let listener = std::net::TcpListener::bind(address).expect("the port is free again");
        // The first connection is the one that was waited for.
        listener.accept().expect("the command connects");
    });
    let note = folder.path().join("note.yaml");
    let mut command = command(&[
        "note",
        "apply",
        note.to_str().expect("text"),
        "--wait",
        "2s",
    ]);
    command
        .env("CORNELRAIL_TO", address.to_string())
        .env("CORNELRAIL_TOKEN_FILE", folder.path().join("token"));

    let run = finish(command);

    listening.join().expect("connected");
    assert_ne!(run.code, 0, "{}", run.err);
}
