//! Requests that end each target that begins to run them, sent again and again by their callers to
//! any entry of a seeded fleet.

use crate::test_seeded::{PATIENCE, call, exchange, host, order, settings, split};
use cornelrail_node::process::{
    core::{self, CoreHandle},
    entry::{self, EntryHandle},
};
use cornelrail_testutils::ports;
use serde_json::json;
use std::{
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tempfile::TempDir;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::{Instant, sleep},
};

/// Targets of the pool.
const TARGETS: usize = 6;
/// Time until a target that has ended is back.
const BACK_AFTER: Duration = Duration::from_millis(400);
/// Time after the third end within which every entry must refuse the request.
const KNOWN_AFTER: Duration = Duration::from_secs(3);
/// Times that the request may reach a target after that.
const ALLOWED: usize = 3;

/// When targets ended under the request.
pub(crate) type Ends = Arc<Mutex<Vec<Instant>>>;

/// Target that ends when it begins a request for `/r/crash`.
struct Fragile {
    name: String,
    /// Number of its incarnation; an odd one is down.
    life: AtomicU64,
    ends: Ends,
    runs: Ends,
    back_after: Duration,
}

impl Fragile {
    fn is_up(&self) -> bool {
        self.life.load(Ordering::Relaxed).is_multiple_of(2)
    }

    async fn run(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            if self.is_up() {
                tokio::spawn(self.clone().serve(stream));
            }
        }
    }

    /// Answers until its incarnation ends, and breaks the connection then.
    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let life = self.life.load(Ordering::Relaxed);
        while let Some(head) = read_head(&mut stream).await {
            if self.life.load(Ordering::Relaxed) != life {
                return;
            }
            let expected = format!("{}-{life}", self.name);
            if field(&head, "expect-instance") != Some(&expected) {
                // Another incarnation was meant, as after a restart that the entry has not heard of.
                let id = field(&head, "request-id").unwrap_or_default();
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nrequest-id: {id}\r\nnot-executed: 1\r\n\
                     content-length: 0\r\n\r\n"
                );
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            let is_crashing = head.starts_with("GET /r/crash");
            sleep(Duration::from_millis(20)).await;
            if is_crashing {
                self.runs.lock().expect("whole").push(Instant::now());
            }
            if is_crashing && self.life.load(Ordering::Relaxed) == life {
                self.end();
            }
            if self.life.load(Ordering::Relaxed) != life {
                return;
            }
            let id = field(&head, "request-id").unwrap_or_default();
            let answer = format!(
                "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-signature: good\r\n\
                 content-length: 2\r\n\r\nok"
            );
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn end(self: &Arc<Self>) {
        self.life.fetch_add(1, Ordering::Relaxed);
        self.ends.lock().expect("whole").push(Instant::now());
        let target = self.clone();
        tokio::spawn(async move {
            sleep(target.back_after).await;
            target.life.fetch_add(1, Ordering::Relaxed);
        });
    }

    async fn beat(self: Arc<Self>, control: SocketAddr, address: SocketAddr) {
        for serial in 1_u64.. {
            let life = self.life.load(Ordering::Relaxed);
            if self.is_up() {
                let query = format!("instances.heartbeat&of={}-{life}", self.name);
                let body = json!({
                    "service": "pool", "address": address.to_string(), "zone": "a",
                    "version": "v1", "slots": 8, "state": "ready", "coldRemaining": "0ms",
                    "seq": serial, "born": 1_000 + life,
                });
                // The core may not listen yet; the next heartbeat comes soon.
                let _ = call(control, &query, &body).await;
            }
            sleep(Duration::from_millis(100)).await;
        }
    }
}

/// Value of a header field.
fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut fields = head.lines().filter_map(|line| line.split_once(": "));
    let found = fields.find(|(other, _)| other.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value)
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}

pub(crate) struct Fleet {
    folder: TempDir,
    host: String,
    port: u16,
    pub(crate) callers: Vec<SocketAddr>,
    _core: CoreHandle,
    entries: Vec<EntryHandle>,
    targets: Targets,
}

/// Targets that end under the request, and what is seen of it.
#[derive(Default)]
pub(crate) struct Targets {
    pub(crate) ends: Ends,
    /// When runs of the request ended with their targets; one end may be that of several runs.
    pub(crate) runs: Ends,
    _tasks: JoinSet<()>,
}

impl Targets {
    /// Starts so many, which send their heartbeats to one core host.
    pub(crate) async fn start(
        host: &str,
        control: SocketAddr,
        count: usize,
        back_after: Duration,
    ) -> Targets {
        let (ends, runs) = (Ends::default(), Ends::default());
        let mut tasks = JoinSet::new();
        for number in 0..count {
            let listener = TcpListener::bind((host, 0)).await.expect("bound");
            let address = listener.local_addr().expect("bound");
            let target = Arc::new(Fragile {
                name: format!("t-{number}"),
                life: AtomicU64::new(0),
                ends: ends.clone(),
                runs: runs.clone(),
                back_after,
            });
            tasks.spawn(target.clone().run(listener));
            tasks.spawn(target.beat(control, address));
        }
        Targets {
            ends,
            runs,
            _tasks: tasks,
        }
    }
}

pub(crate) async fn fleet(entries: usize) -> Fleet {
    fleet_of(entries, TARGETS, BACK_AFTER).await
}

async fn fleet_of(entries: usize, count: usize, back_after: Duration) -> Fleet {
    let folder = TempDir::new().expect("a folder");
    let host = host();
    let port = ports::next_port();
    let control = address(&host);
    let listen = format!("control: \"{control}\"");
    let core = settings("core", &host, port, &listen, &folder.path().join("core"));
    let core = core::start(core).await.expect("a core host");
    let targets = Targets::start(&host, control, count, back_after).await;
    let mut fleet = Fleet {
        folder,
        host,
        port,
        callers: Vec::new(),
        _core: core,
        entries: Vec::new(),
        targets,
    };
    for _ in 0..entries {
        fleet.add_entry().await;
    }
    let start = Instant::now();
    while call(control, "config.patch", &order(7, "2000ms"))
        .await
        .is_none_or(|(status, _)| status != 200)
    {
        assert!(start.elapsed() < PATIENCE, "no order is acknowledged");
        sleep(Duration::from_millis(50)).await;
    }
    fleet.until_served().await;
    fleet
}

fn address(host: &str) -> SocketAddr {
    SocketAddr::new(host.parse().expect("an address"), ports::next_port())
}

impl Fleet {
    async fn add_entry(&mut self) {
        let callers = address(&self.host);
        let listen = format!("callers: \"{callers}\", ready: \"{}\"", address(&self.host));
        let none: &Path = &self.folder.path().join("none");
        let mut entry = settings("entry", &self.host, self.port, &listen, none);
        entry.name = format!("entry-{}", self.callers.len());
        self.callers.push(callers);
        self.entries
            .push(entry::start(entry).await.expect("an entry"));
    }

    async fn until_served(&self) {
        let start = Instant::now();
        for callers in &self.callers {
            while ask(*callers, "/r/up", "up").await.0 != 200 {
                assert!(start.elapsed() < PATIENCE, "{callers} serves nothing");
                sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Address at which entries follow the core host.
    pub(crate) fn core(&self) -> SocketAddr {
        SocketAddr::new(self.host.parse().expect("an address"), self.port)
    }

    /// Whether an entry refuses the request.
    pub(crate) async fn refuses_crash(&self) -> bool {
        let (_, reply) = ask(self.callers[0], "/r/crash", "refused").await;
        reply.contains("quarantined")
    }

    fn ends(&self) -> Vec<Instant> {
        self.targets.ends.lock().expect("whole").clone()
    }

    /// Sends the request again and again, each time to the next entry, while others are sent too.
    /// Returns how many of the others were served, and of how many.
    pub(crate) async fn repeat(&self, entries: &[SocketAddr], time: Duration) -> (usize, usize) {
        let start = Instant::now();
        let (mut served, mut asked) = (0, 0);
        for number in 0.. {
            if start.elapsed() >= time {
                break;
            }
            let callers = entries[number % entries.len()];
            ask(callers, "/r/crash", &format!("crash-{number}")).await;
            for other in 0..3 {
                let path = format!("/r/fine-{}", other % 2);
                let (status, _) = ask(callers, &path, &format!("fine-{number}-{other}")).await;
                served += usize::from(status == 200);
                asked += 1;
            }
            sleep(Duration::from_millis(50)).await;
        }
        (served, asked)
    }

    /// Sends copies of the request at the same moment, again and again, to all entries.
    async fn repeat_copies(&self, copies: usize, time: Duration) {
        let start = Instant::now();
        for round in 0.. {
            if start.elapsed() >= time {
                return;
            }
            let mut asking = JoinSet::new();
            for copy in 0..copies {
                let callers = self.callers[copy % self.callers.len()];
                let id = format!("crash-{round}-{copy}");
                asking.spawn(async move { ask(callers, "/r/crash", &id).await });
            }
            asking.join_all().await;
            sleep(Duration::from_millis(100)).await;
        }
    }

    /// Checks how often the request has reached a target since every entry must refuse it.
    fn check_bound(&self) {
        let ends = self.ends();
        assert!(ends.len() >= 3, "only {} targets have ended", ends.len());
        let from = ends[2] + KNOWN_AFTER;
        let late = ends.iter().filter(|at| **at > from).count();
        assert!(
            late <= ALLOWED,
            "it was sent {late} times more; {} targets ended in all",
            ends.len()
        );
    }
}

/// Sends a request of a caller; gives the status and the whole reply.
pub(crate) async fn ask(callers: SocketAddr, path: &str, id: &str) -> (u16, String) {
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 2000\r\n\
         Connection: close\r\n\r\n"
    );
    let reply = exchange(callers, request.as_bytes())
        .await
        .unwrap_or_default();
    (split(&reply).map_or(0, |(status, _)| status), reply)
}

/// Callers who come back with the request find other entries each time.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_has_ended_three_targets_is_sent_again_by_other_entries() {
    let fleet = fleet(4).await;

    let (served, asked) = fleet.repeat(&fleet.callers, Duration::from_secs(10)).await;

    fleet.check_bound();
    assert!(
        served * 10 >= asked * 9,
        "{served} of {asked} others served"
    );
    let (status, reply) = ask(fleet.callers[0], "/r/crash", "last").await;
    assert_eq!(status, 503, "{reply}");
    assert!(reply.to_lowercase().contains("retry-after: "), "{reply}");
}

/// An entry that starts later has seen none of it.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_sends_a_request_that_has_ended_three_targets() {
    let mut fleet = fleet(2).await;
    fleet.repeat(&fleet.callers, Duration::from_secs(7)).await;
    let before = fleet.ends().len();
    fleet.add_entry().await;
    fleet.until_served().await;

    let late = [fleet.callers[2]];
    let (served, asked) = fleet.repeat(&late, Duration::from_secs(3)).await;

    fleet.check_bound();
    assert_eq!(fleet.ends().len(), before, "sent by the new entry");
    assert_eq!(served, asked, "others are served");
}

/// Requests that are answered between two ends of their targets are not to blame, however often
/// they were under way at such an end.
#[tokio::test(flavor = "multi_thread")]
async fn requests_beside_one_that_ends_targets_are_served_afterwards() {
    let fleet = fleet(2).await;
    fleet.repeat(&fleet.callers, Duration::from_secs(6)).await;

    let mut refused = Vec::new();
    for number in 0..20 {
        for path in ["/r/fine-0", "/r/fine-1", "/r/up"] {
            let callers = fleet.callers[number % 2];
            let (status, reply) = ask(callers, path, &format!("after-{number}")).await;
            if status != 200 {
                refused.push(reply);
            }
        }
    }

    fleet.check_bound();
    assert!(refused.is_empty(), "{refused:?}");
}

/// Copies of a request that run at the same time end their target together, and each has ended it.
#[tokio::test(flavor = "multi_thread")]
async fn copies_of_a_request_that_has_ended_three_runs_are_sent_again_together() {
    let fleet = fleet_of(4, 1, Duration::from_secs(2)).await;

    fleet.repeat_copies(8, Duration::from_secs(12)).await;

    let runs = fleet.targets.runs.lock().expect("whole").clone();
    assert!(runs.len() >= 3, "only {} runs", runs.len());
    let from = runs[2] + KNOWN_AFTER;
    let late = runs.iter().filter(|at| **at > from).count();
    assert!(late <= ALLOWED, "{late} later runs of {}", runs.len());
}

/// Copies that wait while the targets of a trial are judged are refused with the judgement.
#[tokio::test(flavor = "multi_thread")]
async fn copies_that_wait_for_their_trial_are_sent_once_the_request_is_refused() {
    let (copies, trials) = (4, 2);
    let fleet = fleet_of(4, 1, BACK_AFTER).await;

    fleet.repeat_copies(copies, Duration::from_secs(6)).await;

    let runs = fleet.targets.runs.lock().expect("whole").len();
    assert!(runs <= copies + trials, "{runs} runs");
    assert!(fleet.refuses_crash().await);
}
