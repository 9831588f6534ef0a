//! Nobody gets an answer at the operators' address without a token, and only an approver changes
//! the fleet.

use cornelrail_lib::{
    name::{Node, Version},
    process::{
        operator_api::{CheckAnswer, EntryStatus, InForceAnswer, NoteAnswer, StatusAnswer},
        settings::Operator,
    },
};
use cornelrail_node::process::operator::{self, OperatorCall, OperatorHandle};
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode, body::Bytes, client::conn::http1};
use hyper_util::rt::TokioIo;
use metrics_exporter_prometheus::PrometheusBuilder;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
};

const APPROVER: &str = "Bearer approver-token";
/// `anna:approver-token`.
const APPROVER_BASIC: &str = "Basic YW5uYTphcHByb3Zlci10b2tlbg==";
/// `bea:looker-token`.
const LOOKER_BASIC: &str = "Basic YmVhOmxvb2tlci10b2tlbg==";
const FORM: &str = "application/x-www-form-urlencoded";
const NOTE: &str = "builds_on: 6\n";

struct Site {
    address: SocketAddr,
    /// Authors and texts of the notes that reached the control task.
    applied: Arc<Mutex<Vec<(String, String)>>>,
}

struct Answer {
    status: StatusCode,
    body: String,
    headers: http::HeaderMap,
}

fn operator(name: &str, token: &str, approve: bool) -> Operator {
    Operator {
        name: name.to_owned(),
        digest: blake3::hash(token.as_bytes()).to_hex().to_string(),
        approve,
    }
}

fn entry(number: u64, alive: bool) -> EntryStatus {
    EntryStatus {
        entry: Node(number),
        zone: format!("zone-{number}").as_str().into(),
        alive,
        voter: true,
        applied: None,
        lag: None,
    }
}

fn status() -> StatusAnswer {
    StatusAnswer {
        fleet: "<kindloon>".to_owned(),
        entry: Node(1),
        fresh: true,
        leader: Some(Node(2)),
        term: 3,
        version: Version(6),
        index: 40,
        entries: vec![entry(1, true), entry(2, false)],
        zones: Vec::new(),
        services: Vec::new(),
        targets: Vec::new(),
    }
}

/// Answers every call as a control task would that accepts all notes but `refuse me`.
async fn control(
    mut calls: mpsc::Receiver<OperatorCall>,
    applied: Arc<Mutex<Vec<(String, String)>>>,
) {
    while let Some(call) = calls.recv().await {
        match call {
            OperatorCall::Status { reply } => drop(reply.send(status())),
            OperatorCall::Explain { reply, .. } => drop(reply.send(None)),
            OperatorCall::Check { text, reply } => drop(reply.send(check(&text))),
            OperatorCall::Apply {
                author,
                text,
                reply,
            } => {
                applied.lock().expect("no panic").push((author, text));
                let answer = NoteAnswer::Accepted {
                    version: Version(7),
                    index: 41,
                    digest: "d".to_owned(),
                };
                drop(reply.send(answer));
            }
            OperatorCall::NoteStatus { version, reply } => drop(reply.send(InForceAnswer {
                version: version.unwrap_or(Version(6)),
                note: None,
                entries: Vec::new(),
                everywhere: true,
            })),
        }
    }
}

fn check(text: &str) -> CheckAnswer {
    if text == "refuse me" {
        return CheckAnswer::Refused {
            reason: "the last zone".to_owned(),
        };
    }
    CheckAnswer::Fine {
        version: Version(7),
        digest: "d".to_owned(),
        effect: vec!["zone <a> leaves: 2 of 6 targets".to_owned()],
    }
}

async fn site() -> Site {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let operators = vec![
        operator("anna", "approver-token", true),
        operator("bea", "looker-token", false),
    ];
    let (handle, calls) = OperatorHandle::new();
    let applied = Arc::new(Mutex::new(Vec::new()));
    let metrics = PrometheusBuilder::new().build_recorder().handle();
    tokio::spawn(control(calls, Arc::clone(&applied)));
    tokio::spawn(operator::serve(
        listener,
        operators,
        handle,
        metrics,
        std::future::pending(),
    ));
    Site { address, applied }
}

impl Site {
    async fn ask(&self, method: &str, path: &str, token: Option<&str>, body: &str) -> Answer {
        let stream = TcpStream::connect(self.address).await.expect("connected");
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.expect("HTTP");
        tokio::spawn(connection);
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "entry");
        if let Some(token) = token {
            request = request.header("authorization", token);
        }
        if path.starts_with("/page/") {
            request = request.header("content-type", FORM);
        }
        let body = Full::new(Bytes::from(body.to_owned()));
        let request = request.body(body).expect("a request");
        let response = sender.send_request(request).await.expect("an answer");
        let (head, body) = response.into_parts();
        let body = body.collect().await.expect("a whole answer").to_bytes();
        Answer {
            status: head.status,
            headers: head.headers,
            body: String::from_utf8_lossy(&body).into_owned(),
        }
    }

    async fn page(&self, path: &str, token: &str, fields: &[(&str, &str)]) -> Answer {
        let escape = |text: &str| -> String { text.bytes().map(|b| format!("%{b:02X}")).collect() };
        let fields: Vec<_> = fields
            .iter()
            .map(|(k, v)| format!("{k}={}", escape(v)))
            .collect();
        self.ask("POST", path, Some(token), &fields.join("&")).await
    }

    fn applied(&self) -> Vec<(String, String)> {
        self.applied.lock().expect("no panic").clone()
    }
}

/// Seal in the approve form of a page.
fn seal(page: &str) -> String {
    let (_, rest) = page.split_once("name=seal value=").expect("a seal");
    rest.chars().take_while(char::is_ascii_hexdigit).collect()
}

#[tokio::test]
async fn without_a_token_there_is_no_answer() {
    let site = site().await;
    let routes = [
        ("GET", "/"),
        ("GET", "/status"),
        ("GET", "/explain?service=s&key=k"),
        ("GET", "/note?version=1"),
        ("POST", "/note"),
        ("POST", "/note/check"),
        ("POST", "/page/check"),
        ("POST", "/page/approve"),
        ("GET", "/metrics"),
        ("GET", "/nowhere"),
    ];
    let wrong = [
        None,
        Some("Bearer x"),
        Some("Bearer "),
        Some("Basic YW5uYTp4"),
        Some("x"),
    ];
    for (method, path) in routes {
        for token in wrong {
            let answer = site.ask(method, path, token, NOTE).await;
            assert_eq!(
                answer.status,
                StatusCode::UNAUTHORIZED,
                "{method} {path} {token:?}"
            );
            assert!(!answer.body.contains("kindloon"), "{path} leaks");
            assert!(answer.headers.contains_key("www-authenticate"));
        }
    }
    assert!(site.applied().is_empty());
}

#[tokio::test]
async fn a_command_reads_and_an_approver_applies() {
    let site = site().await;

    let status = site.ask("GET", "/status", Some(APPROVER), "").await;
    let metrics = site.ask("GET", "/metrics", Some(APPROVER), "").await;
    let missing = site
        .ask("GET", "/explain?service=s&key=k", Some(APPROVER), "")
        .await;
    let applied = site.ask("POST", "/note", Some(APPROVER), NOTE).await;

    let read: StatusAnswer = serde_json::from_str(&status.body).expect("a status");
    assert_eq!(read.version, Version(6));
    assert_eq!(metrics.status, StatusCode::OK);
    assert_eq!(missing.status, StatusCode::NOT_FOUND);
    assert_eq!(applied.status, StatusCode::OK);
    assert_eq!(site.applied(), [("anna".to_owned(), NOTE.to_owned())]);
}

#[tokio::test]
async fn nobody_else_changes_the_fleet() {
    let site = site().await;
    let long = "#".repeat(1 << 20);

    let looker = site
        .ask("POST", "/note", Some("Bearer looker-token"), NOTE)
        .await;
    let browser = site.ask("POST", "/note", Some(APPROVER_BASIC), NOTE).await;
    let unsealed = site
        .page("/page/approve", APPROVER_BASIC, &[("note", NOTE)])
        .await;
    let oversized = site.ask("POST", "/note", Some(APPROVER), &long).await;
    let refused = site
        .ask("POST", "/note/check", Some(APPROVER), "refuse me")
        .await;

    assert_eq!(looker.status, StatusCode::FORBIDDEN);
    assert_eq!(browser.status, StatusCode::FORBIDDEN);
    assert_eq!(unsealed.status, StatusCode::FORBIDDEN);
    assert_eq!(oversized.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(refused.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert!(site.applied().is_empty());
}

#[tokio::test]
async fn the_page_approves_the_note_that_was_read() {
    let site = site().await;
    let typed = NOTE.replace('\n', "\r\n");

    let read = site
        .page("/page/check", APPROVER_BASIC, &[("note", &typed)])
        .await;
    let seal = seal(&read.body);
    let swapped = [("note", "builds_on: 6 # other\n"), ("seal", &seal)];
    let swapped = site.page("/page/approve", APPROVER_BASIC, &swapped).await;
    let own = [("note", typed.as_str()), ("seal", &seal)];
    let looker = site.page("/page/approve", LOOKER_BASIC, &own).await;
    let approved = site.page("/page/approve", APPROVER_BASIC, &own).await;

    assert!(read.body.contains("zone &lt;a&gt; leaves: 2 of 6 targets"));
    assert_eq!(swapped.status, StatusCode::FORBIDDEN);
    assert_eq!(looker.status, StatusCode::FORBIDDEN);
    assert_eq!(approved.status, StatusCode::OK, "{}", approved.body);
    assert!(approved.body.contains("Accepted as version 7"));
    assert_eq!(site.applied(), [("anna".to_owned(), NOTE.to_owned())]);
}

#[tokio::test]
async fn a_looker_sees_the_page_without_a_way_to_approve() {
    let site = site().await;

    let home = site.ask("GET", "/", Some(LOOKER_BASIC), "").await;
    let read = site
        .page("/page/check", LOOKER_BASIC, &[("note", NOTE)])
        .await;

    assert!(
        home.body.contains("&lt;kindloon&gt;: version 6"),
        "{}",
        home.body
    );
    assert!(home.body.contains("1 of 2 entries up"));
    assert!(home.body.contains("zone-2") && !home.body.contains("zone-1"));
    assert!(home.body.contains("width=device-width"));
    assert!(!home.body.contains("<script"));
    assert_eq!(home.headers["x-frame-options"], "DENY");
    assert_eq!(read.status, StatusCode::OK);
    assert!(!read.body.contains("name=seal"));
}
