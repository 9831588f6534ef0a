//! Processes of a seeded fleet, with a stand-in target that speaks the platform's wire.

use bytes::Bytes;
use cornelrail_lib::process::seeded_settings::SeededSettings;
use cornelrail_node::process::{
    core::{self, CoreHandle},
    entry::{self, EntryHandle},
};
use cornelrail_testutils::ports;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use std::{
    convert::Infallible,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex},
    time::Duration,
};
use tempfile::TempDir;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};

pub(crate) const PATIENCE: Duration = Duration::from_secs(20);

/// Loopback host of one fleet, so that fleets share a port.
pub(crate) fn host() -> String {
    ports::reserve_host().to_string()
}

pub(crate) fn settings(
    role: &str,
    host: &str,
    port: u16,
    listen: &str,
    data: &Path,
) -> SeededSettings {
    let text = format!(
        "role: {role}\nname: {role}-1\nzone: a\naddress: {host}\nport: {port}\n\
         seeds: [\"{host}:1\"]\nfound: true\nlisten: {{{listen}}}\ndata: {}\n\
         heartbeat: 200ms\nlongest_lease: 10s\ndrain: 2s\nevacuate: 5s\ngrace: 4s\n\
         retry: {{ratio: 0.2, floor: 50, window: 10s}}\n",
        data.display()
    );
    SeededSettings::parse(&text, "test").expect("good settings")
}

/// One core host, one entry and one target on a loopback address.
pub(crate) struct Fleet {
    _folder: TempDir,
    pub(crate) control: SocketAddr,
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) core: CoreHandle,
    pub(crate) entry: EntryHandle,
    pub(crate) target: StandIn,
}

pub(crate) async fn fleet() -> Fleet {
    fleet_with(|listener, seen| tokio::spawn(serve(listener, seen))).await
}

/// Fleet whose target is served by the task that `serve` starts.
pub(crate) async fn fleet_with(serve: impl Serve) -> Fleet {
    start_fleet(None, serve).await
}

/// Fleet whose entry is on a link of so many megabits per second.
pub(crate) async fn fleet_on_link(link: Option<f64>) -> Fleet {
    start_fleet(link, |listener, seen| tokio::spawn(serve(listener, seen))).await
}

async fn start_fleet(link: Option<f64>, serve: impl Serve) -> Fleet {
    let folder = TempDir::new().expect("a folder");
    let host = host();
    let port = ports::next_port();
    let address = || SocketAddr::new(host.parse().expect("an address"), ports::next_port());
    let (control, callers, ready) = (address(), address(), address());
    let listen = format!("control: \"{control}\"");
    let core = settings("core", &host, port, &listen, &folder.path().join("core"));
    let core = core::start(core).await.expect("a core host");
    let listen = format!("callers: \"{callers}\", ready: \"{ready}\"");
    let mut entry = settings("entry", &host, port, &listen, &folder.path().join("none"));
    entry.link = link;
    let entry = entry::start(entry).await.expect("an entry");
    let target = StandIn::with(&host, control, serve).await;
    Fleet {
        _folder: folder,
        control,
        callers,
        ready,
        peers: SocketAddr::new(host.parse().expect("an address"), port),
        core,
        entry,
        target,
    }
}

/// Starts the task that serves a target and records the requests that it has run.
pub(crate) trait Serve:
    FnOnce(TcpListener, Arc<Mutex<Vec<String>>>) -> JoinHandle<()>
{
}

impl<F: FnOnce(TcpListener, Arc<Mutex<Vec<String>>>) -> JoinHandle<()>> Serve for F {}

/// A target: answers with what it was asked, and sends heartbeats until it is dropped.
pub(crate) struct StandIn {
    pub(crate) address: SocketAddr,
    seen: Arc<Mutex<Vec<String>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for StandIn {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl StandIn {
    pub(crate) async fn start(host: &str, control: SocketAddr) -> StandIn {
        let serve = |listener, seen| tokio::spawn(serve(listener, seen));
        StandIn::with(host, control, serve).await
    }

    async fn with(host: &str, control: SocketAddr, serve: impl Serve) -> StandIn {
        let listener = TcpListener::bind((host, 0)).await.expect("bound");
        let address = listener.local_addr().expect("bound");
        let seen: Arc<Mutex<Vec<String>>> = Arc::default();
        let serving = serve(listener, seen.clone());
        let beating = tokio::spawn(beat(control, address));
        StandIn {
            address,
            seen,
            tasks: vec![serving, beating],
        }
    }

    /// Sends no heartbeats from now on.
    pub(crate) fn fall_silent(&self) {
        self.tasks[1].abort();
    }

    pub(crate) fn runs(&self, id: &str) -> usize {
        let seen = self.seen.lock().expect("whole");
        seen.iter().filter(|one| *one == id).count()
    }
}

async fn serve(listener: TcpListener, seen: Arc<Mutex<Vec<String>>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let seen = seen.clone();
        let service = service_fn(move |request| answer(request, seen.clone()));
        tokio::spawn(async move {
            // A caller that breaks off ends the connection.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn answer(
    request: Request<Incoming>,
    seen: Arc<Mutex<Vec<String>>>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let text = |name: &str| {
        let value = request.headers().get(name);
        value.map(|v| v.to_str().expect("text").to_owned())
    };
    let (id, expected) = (
        text("request-id").unwrap_or_default(),
        text("expect-instance"),
    );
    let path = request.uri().path().to_owned();
    let mut response = Response::builder()
        .header("request-id", id.clone())
        .header("response-signature", "good")
        .header("server-load", "1,0,4,100");
    if expected.as_deref() != Some("t-1") || path.ends_with("/shed") {
        let body = Full::new(Bytes::new());
        let response = response.status(503).header("not-executed", "1").body(body);
        return Ok(response.expect("a response"));
    }
    seen.lock().expect("whole").push(id);
    if path.ends_with("/hang") {
        std::future::pending::<()>().await;
    }
    if path.ends_with("/slow") {
        sleep(Duration::from_millis(1_700)).await;
    }
    if path.ends_with("/late") {
        response = response.header("request-id", "another");
    }
    if path.ends_with("/early") {
        // As the platform's targets do: the answer first, the rest of the body after it.
        tokio::spawn(request.into_body().collect());
        let full = response.status(500).body(Full::new(Bytes::from("early")));
        return Ok(full.expect("a response"));
    }
    let deadline = text("deadline-ms").unwrap_or_default();
    let body = request.into_body().collect().await;
    let body = body.map(|b| b.to_bytes()).unwrap_or_default();
    let told = format!("{path} {} {deadline}", body.len());
    Ok(response
        .body(Full::new(Bytes::from(told)))
        .expect("a response"))
}

async fn beat(control: SocketAddr, address: SocketAddr) {
    let mut held = Vec::new();
    for serial in 1_u64.. {
        let body = json!({
            "service": "pool", "address": address.to_string(), "zone": "a", "version": "v1",
            "slots": 4, "state": "ready", "coldRemaining": "0ms", "seq": serial, "born": 1000,
            "holds": held, "released": [],
        });
        // The core may not listen yet; the next heartbeat comes soon.
        let answer = call(control, "instances.heartbeat&of=t-1", &body).await;
        if let Some(rows) = answer.and_then(|(_, body)| granted_rows(&body)) {
            held = rows;
        }
        sleep(Duration::from_millis(100)).await;
    }
}

/// Rows that the answer to a heartbeat grants, as the next heartbeat lists them.
pub(crate) fn granted_rows(answer: &Value) -> Option<Vec<Value>> {
    let rows = answer["holds"].as_array()?.iter();
    Some(rows.map(|row| json!([row[0], row[1], row[2]])).collect())
}

/// Makes a call to the control address; gives status and body.
pub(crate) async fn call(control: SocketAddr, query: &str, body: &Value) -> Option<(u16, Value)> {
    let body = body.to_string();
    let request = format!(
        "POST /-/rpc?call={query} HTTP/1.1\r\nHost: c\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n{body}",
        body.len()
    );
    let reply = exchange(control, request.as_bytes()).await.ok()?;
    let (status, body) = split(&reply)?;
    Some((status, serde_json::from_str(&body).unwrap_or(Value::Null)))
}

pub(crate) async fn exchange(address: SocketAddr, request: &[u8]) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(request).await?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply).await?;
    Ok(reply)
}

pub(crate) fn split(reply: &str) -> Option<(u16, String)> {
    let status = reply.split(' ').nth(1)?.parse().ok()?;
    let (_, body) = reply.split_once("\r\n\r\n")?;
    Some((status, body.to_owned()))
}

pub(crate) fn order(version: u32, timeout: &str) -> Value {
    let route = |prefix: &str, kind: &str| {
        json!({"host": "h.example", "pathPrefix": prefix, "kind": kind, "timeout": timeout,
            "targetLatency": "500ms", "priority": 1, "service": "pool", "maxAttempts": 2,
            "version": format!("{version:08x}")})
    };
    json!({"upsert": {
        "routes": {"r": route("/r/", "safe"), "w": route("/w/", "unsafe"), "u": route("/u/", "upload")},
        "services": {"pool": {"healthPath": "/health", "maxConns": 20, "protocol": "h1",
            "tls": false, "version": format!("{version:08x}")}},
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4_000_000, "headerTimeout": "3000ms",
            "idleTimeout": "15000ms", "version": format!("{version:08x}")},
    }, "remove": {"routes": []}})
}

/// Sends the order until it is acknowledged, as an operator does.
pub(crate) async fn set_up(fleet: &Fleet) {
    let start = Instant::now();
    loop {
        let reply = call(fleet.control, "config.patch", &order(7, "2000ms")).await;
        if reply.is_some_and(|(status, _)| status == 200) {
            break;
        }
        assert!(start.elapsed() < PATIENCE, "no order is acknowledged");
        sleep(Duration::from_millis(50)).await;
    }
    while ask(fleet, Method::GET, "/r/up", "up", 0).await.0 != 200 {
        assert!(start.elapsed() < PATIENCE, "no request is served");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Sends a request of a caller; gives status, whole reply and body.
pub(crate) async fn ask(
    fleet: &Fleet,
    method: Method,
    path: &str,
    id: &str,
    length: usize,
) -> (u16, String, String) {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\n\
         Content-Length: {length}\r\nConnection: close\r\n\r\n"
    );
    let mut request = head.into_bytes();
    request.resize(request.len() + length, b'x');
    let asking = exchange(fleet.callers, &request);
    let reply = timeout(PATIENCE, asking).await.expect("in time");
    let reply = reply.expect("the answer reaches the caller");
    let (status, body) = split(&reply).expect("an answer");
    (status, reply, body)
}

#[tokio::test]
async fn a_request_goes_the_whole_way() {
    let fleet = fleet().await;
    set_up(&fleet).await;

    let (status, reply, body) = ask(&fleet, Method::POST, "/w/pay?x=1", "id-1", 11).await;

    assert_eq!(status, 200, "{reply}");
    assert!(body.starts_with("/w/pay 11 "), "{body}");
    assert!(reply.to_lowercase().contains("response-signature: good"));
    let deadline: u64 = body.rsplit(' ').next().unwrap().parse().unwrap();
    assert!((1..=2_000).contains(&deadline), "{deadline}");
    assert_eq!(fleet.target.runs("id-1"), 1);
}

#[tokio::test]
async fn an_upload_that_is_answered_early_gets_that_answer() {
    let fleet = fleet().await;
    set_up(&fleet).await;

    for number in 0..20 {
        let id = format!("early-{number}");
        let (status, _, body) = ask(&fleet, Method::POST, "/u/early", &id, 3_000_000).await;
        assert_eq!((status, body.as_str()), (500, "early"));
    }
}

#[tokio::test]
async fn an_upload_without_a_route_gets_its_refusal_whole() {
    let fleet = fleet().await;
    set_up(&fleet).await;

    for number in 0..20 {
        let id = format!("lost-{number}");
        let (status, ..) = ask(&fleet, Method::POST, "/none/", &id, 3_000_000).await;
        assert_eq!(status, 404);
    }
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused() {
    let fleet = fleet().await;
    set_up(&fleet).await;

    let (status, ..) = ask(&fleet, Method::POST, "/u/x", "long", 4_000_001).await;

    assert_eq!(status, 413);
    assert_eq!(fleet.target.runs("long"), 0);
}

#[tokio::test]
async fn an_answer_to_another_request_is_passed_to_nobody() {
    let fleet = fleet().await;
    set_up(&fleet).await;

    let (status, reply, _) = ask(&fleet, Method::POST, "/w/late", "mixed", 3).await;

    assert_eq!(status, 502, "it may have run: {reply}");
    assert_eq!(fleet.target.runs("mixed"), 1, "and runs once");
}

#[tokio::test]
async fn a_shed_request_is_truly_not_run_and_may_come_back() {
    let fleet = fleet().await;
    set_up(&fleet).await;

    let (status, reply, _) = ask(&fleet, Method::POST, "/w/shed", "shed", 3).await;

    assert_eq!(status, 503);
    assert!(reply.to_lowercase().contains("retry-after: "), "{reply}");
    assert_eq!(fleet.target.runs("shed"), 0);
}

#[tokio::test]
async fn an_invalid_order_changes_nothing_and_a_resend_is_acknowledged() {
    let fleet = fleet().await;
    set_up(&fleet).await;

    let bad = call(fleet.control, "config.patch", &order(9, "0ms")).await;
    let again = call(fleet.control, "config.patch", &order(7, "2000ms")).await;
    let read = call(fleet.control, "config.get", &Value::Null).await;

    assert_eq!(bad.map(|(status, _)| status), Some(400));
    assert_eq!(again.map(|(status, _)| status), Some(200));
    assert_eq!(read.unwrap().1, order(7, "2000ms")["upsert"]);
}

#[tokio::test]
async fn an_order_that_leads_to_an_invalid_state_is_refused_and_the_service_goes_on() {
    let fleet = fleet().await;
    set_up(&fleet).await;
    let removal = |lists: Value| json!({"upsert": {}, "remove": lists});
    let service = json!([{"name": "pool", "version": "00000008"}]);
    let mut newer = order(9, "2000ms");
    newer["remove"]["routes"] = json!([{"name": "r", "version": "00000005"}]);

    let in_use = call(
        fleet.control,
        "config.patch",
        &removal(json!({"services": service})),
    )
    .await;
    let overtaken = call(fleet.control, "config.patch", &newer).await;
    let read = call(fleet.control, "config.get", &Value::Null).await;

    assert_eq!(in_use.map(|(status, _)| status), Some(400));
    assert_eq!(overtaken.map(|(status, _)| status), Some(200));
    assert_eq!(read.unwrap().1, newer["upsert"]);
    assert_eq!(ask(&fleet, Method::GET, "/r/on", "on", 0).await.0, 200);
}

#[tokio::test]
async fn an_entry_is_ready_once_it_can_serve_and_not_while_it_ends() {
    let fleet = fleet().await;
    let question = b"GET /-/ready HTTP/1.1\r\nHost: e\r\nConnection: close\r\n\r\n";
    let before = split(&exchange(fleet.ready, question).await.unwrap())
        .unwrap()
        .0;
    set_up(&fleet).await;
    let after = split(&exchange(fleet.ready, question).await.unwrap())
        .unwrap()
        .0;

    let stopping = tokio::spawn(fleet.entry.stop());
    sleep(Duration::from_millis(100)).await;
    let last = split(&exchange(fleet.ready, question).await.unwrap())
        .unwrap()
        .0;

    assert_eq!((before, after, last), (503, 200, 503));
    stopping.await.expect("it ends");
    fleet.core.stop().await;
}

#[tokio::test]
async fn an_entry_that_ends_answers_what_hangs_before_its_grace_is_over() {
    let fleet = fleet().await;
    set_up(&fleet).await;
    let order = call(fleet.control, "config.patch", &order(8, "20000ms")).await;
    assert_eq!(order.map(|(status, _)| status), Some(200));
    sleep(Duration::from_millis(200)).await;
    let asking = tokio::spawn(exchange(
        fleet.callers,
        b"POST /w/hang HTTP/1.1\r\nHost: h.example\r\nRequest-Id: hang\r\n\
          Deadline-Ms: 20000\r\nContent-Length: 0\r\n\r\n",
    ));
    while fleet.target.runs("hang") == 0 {
        sleep(Duration::from_millis(20)).await;
    }
    let begun = Instant::now();

    let stopping = tokio::spawn(fleet.entry.stop());
    let reply = timeout(PATIENCE, asking).await.expect("in time");

    let reply = reply.expect("asked").expect("an answer");
    assert!(begun.elapsed() < Duration::from_secs(4), "the grace");
    assert_eq!(split(&reply).map(|(status, _)| status), Some(504));
    stopping.await.expect("it ends");
}

#[test]
fn settings_that_cannot_be_used_name_their_fault() {
    let good = "role: entry\nname: e\nzone: a\naddress: 10.0.0.1\nport: 1\n\
        seeds: [\"10.0.0.2:1\"]\nfound: false\nlisten: {callers: \"10.0.0.1:2\", \
        ready: \"10.0.0.1:3\"}\nheartbeat: 1s\nlongest_lease: 10s\ndrain: 2s\nevacuate: 5s\n\
        grace: 6s\nretry: {ratio: 0.2, floor: 5, window: 10s}\n";
    let bad = [
        ("zone: a\n", "", "zone"),
        ("port: 1\n", "port: x\n", "port"),
        ("ready: \"10.0.0.1:3\"", "", "listen.ready"),
        ("seeds: [\"10.0.0.2:1\"]", "seeds: []", "seeds"),
        ("longest_lease: 10s", "longest_lease: 1s", "longest_lease"),
        ("heartbeat: 1s", "heartbeat: 1", "unit"),
        ("grace: 6s\n", "grace: 6s\nin_force: 500ms\n", "in_force"),
        ("grace: 6s\n", "grace: 6s\nlink: 0\n", "link"),
        ("grace: 6s\n", "grace: 6s\nlink: -3.7\n", "link"),
        ("grace: 6s\n", "grace: 6s\nlink: .nan\n", "link"),
        ("grace: 6s\n", "grace: 6s\nmore: 1\n", "more"),
        (
            "grace: 6s\n",
            "grace: 6s\nzones: {cost_per_kib: 2s}\n",
            "zones.cost_per_kib",
        ),
        ("grace: 6s\n", "grace: 6s\nzones: {}\n", "cost_per_kib"),
        (
            "grace: 6s\n",
            "grace: 6s\nidle_connections: 20000\n",
            "idle_connections",
        ),
        ("window: 10s}\n", "", ""),
    ];

    let zones = |text: &str| SeededSettings::parse(text, "f.yaml").expect("good").zones;
    assert_eq!(zones(good), None);
    let price = zones(&format!("{good}zones: {{cost_per_kib: 1300us}}\n"));
    let price = price.map(|zones| zones.kib_cost.0);
    assert_eq!(price, Some(Duration::from_micros(1_300)));
    for (line, link) in [
        ("", None),
        ("link: 3.7\n", Some(3.7)),
        ("link: 5\n", Some(5.0)),
    ] {
        let settings = SeededSettings::parse(&format!("{good}{line}"), "f.yaml");
        assert_eq!(settings.expect("good settings").link, link);
    }
    let set = good.replace("grace: 6s\n", "grace: 6s\nidle_connections: 400\n");
    let connections = [good, &set].map(|text| {
        let settings = SeededSettings::parse(text, "f.yaml");
        settings.expect("good settings").idle_connections
    });
    assert_eq!(connections, [96, 400]);
    for (from, to, named) in bad {
        let fault = SeededSettings::parse(&good.replace(from, to), "f.yaml");
        let text = fault.expect_err(from).to_string();
        assert!(text.contains("f.yaml") && text.contains(named), "{text}");
    }
}
