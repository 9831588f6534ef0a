//! Entry hosts as processes of their own, with stand-in targets and callers in the test's process.

use bytes::Bytes;
use cornelrail_lib::{
    name::Node,
    process::{
        operator_api::{
            EXPLAIN_PATH, ExplainAnswer, InForceAnswer, NOTE_PATH, NoteAnswer, STATUS_PATH,
            StatusAnswer,
        },
        settings::Tls,
    },
    request::header,
};
use cornelrail_testutils::{
    caller::{self, Call, Caller, CallerSettings},
    http::{self as client, Client, SendError},
    ledger::Ledger,
    ports,
    target::{StandIn, TargetSettings},
    tls,
};
use http::{Method, Request};
use http_body_util::Full;
use std::{
    fmt::Write,
    fs::{self, File},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Arc,
    time::Duration,
};
use tempfile::TempDir;
use tokio::{
    sync::{Mutex, MutexGuard},
    time::{Instant, sleep},
};

const TOKEN: &str = "a token of the tests";
const PATIENCE: Duration = Duration::from_secs(30);
const PAUSE: Duration = Duration::from_millis(50);

/// One fleet at a time has the machine, so that timeouts mean what they say.
pub static TURN: Mutex<()> = Mutex::const_new(());

/// Addresses of one host.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    pub callers: SocketAddr,
    pub targets: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
}

/// One entry host.
#[derive(Debug)]
pub struct Host {
    pub addresses: Addresses,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// All hosts of a fleet; they end with it.
#[derive(Debug)]
pub struct Hosts {
    folder: TempDir,
    pub hosts: Vec<Host>,
    client: Client,
}

/// Zone of a node: `a` for the first, `b` for the second, and so on.
pub fn zone(node: Node) -> String {
    char::from(b'a' + (node.0 as u8 - 1)).to_string()
}

impl Hosts {
    /// Starts `count` hosts, of which the first `voters` have data folders.
    pub fn start(count: u64, voters: u64) -> Hosts {
        let folder = tempfile::tempdir().expect("a folder");
        let nodes: Vec<Node> = (1..=count).map(Node).collect();
        let keys = tls::make(folder.path(), &nodes).expect("keys");
        let addresses: Vec<Addresses> = nodes.iter().map(|_| free_addresses()).collect();
        let mut hosts = Vec::new();
        for (place, node) in nodes.iter().enumerate() {
            let settings = folder.path().join(format!("entry-{node}.yaml"));
            let text = settings_text(place, voters, &addresses, &keys[place]);
            fs::write(&settings, text).expect("settings");
            if node.0 <= voters {
                fs::create_dir(folder.path().join(format!("data-{node}"))).expect("data folder");
            }
            hosts.push(Host {
                addresses: addresses[place],
                log: folder.path().join(format!("entry-{node}.log")),
                settings,
                child: None,
            });
        }
        let mut fleet = Hosts {
            folder,
            hosts,
            client: Client::default(),
        };
        for place in 0..fleet.hosts.len() {
            fleet.spawn(place);
        }
        fleet
    }

    /// Starts the process of a host that has none.
    pub fn spawn(&mut self, place: usize) {
        let host = &mut self.hosts[place];
        let log = File::options().create(true).append(true).open(&host.log);
        let child = Command::new(env!("CARGO_BIN_EXE_cornelraild"))
            .arg(&host.settings)
            .stdout(Stdio::null())
            .stderr(log.expect("a log file"))
            .spawn();
        host.child = Some(child.expect("the daemon starts"));
    }

    /// Ends a host's process at once, as a loss of power would.
    pub fn kill(&mut self, place: usize) {
        let mut child = self.hosts[place].child.take().expect("a running host");
        child.kill().expect("the process ends");
        child.wait().expect("the process ends");
    }

    /// Number of a host's running process.
    pub fn process(&self, place: usize) -> u32 {
        let child = self.hosts[place].child.as_ref();
        child.expect("a running host").id()
    }

    /// Sends a signal by its name to a host's process.
    pub fn signal(&self, place: usize, name: &str) {
        let child = self.hosts[place].child.as_ref().expect("a running host");
        let status = Command::new("kill")
            .args([format!("-{name}"), child.id().to_string()])
            .status();
        assert!(status.expect("kill runs").success());
    }

    /// Waits until a host's process has ended; true if it ended well.
    pub fn wait(&mut self, place: usize) -> bool {
        let mut child = self.hosts[place].child.take().expect("a running host");
        child.wait().expect("the process ends").success()
    }

    /// What a host has logged.
    pub fn log(&self, place: usize) -> String {
        fs::read_to_string(&self.hosts[place].log).unwrap_or_default()
    }

    /// What all hosts have logged.
    pub fn logs(&self) -> String {
        let places = 0..self.hosts.len();
        let logs: Vec<String> = places.map(|place| self.log(place)).collect();
        logs.join("\n")
    }

    /// Asks the operators' address of a host.
    pub async fn ask(&self, place: usize, method: Method, path: &str, body: &str) -> Option<Bytes> {
        let address = self.hosts[place].addresses.operators;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", address.to_string())
            .header("authorization", format!("Bearer {TOKEN}"))
            .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
            .expect("a request");
        let asked =
            tokio::time::timeout(Duration::from_secs(10), self.client.send(address, request));
        Some(asked.await.ok()?.ok()?.into_body())
    }

    /// Status of the fleet as a host tells it.
    pub async fn status(&self, place: usize) -> Option<StatusAnswer> {
        let body = self.ask(place, Method::GET, STATUS_PATH, "").await?;
        serde_json::from_slice(&body).ok()
    }

    /// Sends a note to a host once; `None` if no answer came.
    pub async fn note(&self, place: usize, note: &str) -> Option<NoteAnswer> {
        let body = self.ask(place, Method::POST, NOTE_PATH, note).await?;
        serde_json::from_slice(&body).ok()
    }

    /// Sends a note to a host until its outcome is known.
    pub async fn decide(&self, place: usize, note: &str) -> NoteAnswer {
        let start = Instant::now();
        loop {
            let answer = self.note(place, note).await;
            match answer {
                Some(answer) if !matches!(answer, NoteAnswer::Unknown { .. }) => return answer,
                _ => {
                    let late = start.elapsed() >= PATIENCE;
                    assert!(!late, "not decided: {answer:?}\n{}", self.logs());
                }
            }
            sleep(PAUSE).await;
        }
    }

    /// Where a version is in force, as a host tells it.
    pub async fn in_force(&self, place: usize, version: u64) -> Option<InForceAnswer> {
        let path = format!("{NOTE_PATH}?version={version}");
        let body = self.ask(place, Method::GET, &path, "").await?;
        serde_json::from_slice(&body).ok()
    }

    /// Waits until a host tells of a version what is wanted.
    pub async fn until_in_force(
        &self,
        place: usize,
        version: u64,
        wanted: impl Fn(&InForceAnswer) -> bool,
    ) -> InForceAnswer {
        let start = Instant::now();
        loop {
            let answer = self.in_force(place, version).await;
            if let Some(answer) = answer.as_ref().filter(|answer| wanted(answer)) {
                return answer.clone();
            }
            let log = self.log(place);
            assert!(start.elapsed() < PATIENCE, "never: {answer:?}\n{log}");
            sleep(PAUSE).await;
        }
    }

    /// Waits until a host's log holds a line as wanted, and gives the last one.
    pub async fn until_logged(&self, place: usize, wanted: impl Fn(&str) -> bool) -> String {
        let start = Instant::now();
        loop {
            let log = self.log(place);
            if let Some(line) = log.lines().rfind(|line| wanted(line)) {
                return line.to_owned();
            }
            assert!(start.elapsed() < PATIENCE, "never logged:\n{log}");
            sleep(PAUSE).await;
        }
    }

    /// Data folder of a host.
    pub fn data(&self, place: usize) -> PathBuf {
        self.folder.path().join(format!("data-{}", place + 1))
    }

    /// Replaces a part of a host's settings.
    pub fn rewrite(&self, place: usize, from: &str, to: &str) {
        let path = &self.hosts[place].settings;
        let text = fs::read_to_string(path).expect("settings");
        assert!(text.contains(from), "{from} is not in the settings");
        fs::write(path, text.replace(from, to)).expect("settings");
    }

    /// Folder of the fleet's settings and keys.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Sends a note to a host until it is accepted.
    pub async fn apply(&self, place: usize, note: &str) {
        let start = Instant::now();
        loop {
            let body = self.ask(place, Method::POST, NOTE_PATH, note).await;
            let text = body.map(|body| String::from_utf8_lossy(&body).into_owned());
            if text
                .as_ref()
                .is_some_and(|text| text.contains("\"accepted\""))
            {
                return;
            }
            let late = start.elapsed() >= PATIENCE;
            assert!(!late, "not accepted: {text:?}\n{}", self.logs());
            sleep(PAUSE).await;
        }
    }

    /// Waits until a host's status is as wanted.
    pub async fn until(
        &self,
        place: usize,
        wanted: impl Fn(&StatusAnswer) -> bool,
    ) -> StatusAnswer {
        let start = Instant::now();
        loop {
            let status = self.status(place).await;
            if let Some(status) = status.as_ref().filter(|status| wanted(status)) {
                return status.clone();
            }
            let logs = self.logs();
            assert!(start.elapsed() < PATIENCE, "never: {status:?}\n{logs}");
            sleep(PAUSE).await;
        }
    }

    /// Waits until a host knows that every range of the keyed service is owned at rest.
    pub async fn until_owned(&self, place: usize, targets: u32) -> StatusAnswer {
        let owned = |status: &StatusAnswer| {
            let mut services = status.services.iter();
            let keyed = services.find(|service| service.service.as_str() == "payroll-core");
            status.fresh
                && keyed.is_some_and(|service| {
                    service.targets == targets && service.unowned == 0 && service.moving == 0
                })
        };
        self.until(place, owned).await
    }

    /// Addresses for callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.hosts
            .iter()
            .map(|host| host.addresses.callers)
            .collect()
    }

    /// Caller of all hosts that comes back after refusals.
    pub fn caller(&self, deadline: Duration) -> Caller {
        Caller::new(CallerSettings {
            entries: self.callers(),
            latency: Duration::ZERO,
            deadline,
            retry: true,
        })
    }

    /// Starts targets of the keyed service, spread over the zones.
    pub async fn targets(
        &self,
        count: usize,
        ledger: &Arc<Ledger>,
        shape: impl Fn(&mut TargetSettings),
    ) -> Vec<StandIn> {
        let mut targets = Vec::new();
        for number in 0..count {
            let node = Node((number % self.hosts.len()) as u64 + 1);
            let name = format!("worker-{number}");
            let mut settings = TargetSettings::new(&name, "payroll-core", &zone(node));
            settings.entries = self
                .hosts
                .iter()
                .map(|host| host.addresses.targets)
                .collect();
            settings.seed = number as u64;
            shape(&mut settings);
            targets.push(
                StandIn::start(settings, ledger.clone())
                    .await
                    .expect("a target"),
            );
        }
        targets
    }
}

impl Drop for Hosts {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            if let Some(mut child) = host.child.take() {
                // It may have ended by itself.
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

fn free_addresses() -> Addresses {
    Addresses {
        callers: ports::reserve_address(),
        targets: ports::reserve_address(),
        operators: ports::reserve_address(),
        peers: ports::reserve_address(),
    }
}

fn settings_text(place: usize, voters: u64, all: &[Addresses], tls: &Tls) -> String {
    let own = &all[place];
    let node = Node(place as u64 + 1);
    let mut text = format!(
        "limits: {{body_size: 16MiB}}\nfleet: tests\nnode: {node}\nzone: {}\nlisten:\n  callers: {}\n  targets: {}\n  \
         operators: {}\n  peers: {}\npeers:\n",
        zone(node),
        own.callers,
        own.targets,
        own.operators,
        own.peers
    );
    for (other, addresses) in all.iter().enumerate() {
        let node = Node(other as u64 + 1);
        let voter = node.0 <= voters;
        writeln!(
            text,
            "  - {{node: {node}, zone: {}, address: \"{}\", voter: {voter}}}",
            zone(node),
            addresses.peers
        )
        .expect("text grows");
    }
    if node.0 <= voters {
        writeln!(text, "data: data-{node}").expect("text grows");
    }
    let digest = blake3::hash(TOKEN.as_bytes()).to_hex();
    write!(
        text,
        "tls:\n  authority: {}\n  certificate: {}\n  key: {}\noperators:\n  - name: anna\n    \
         digest: {digest}\n    approve: true\n",
        tls.authority.display(),
        tls.certificate.display(),
        tls.key.display()
    )
    .expect("text grows");
    text
}

/// The note that founds the fleet of the tests.
pub fn first_note(zones: u64) -> String {
    let zones: Vec<String> = (1..=zones).map(|node| zone(Node(node))).collect();
    format!(
        "builds_on: 0\nadded:\n  zones: [{}]\n  services:\n    payroll-core:\n      kind: keyed\n      \
         once: [\"POST /pay\"]\n      deadline: 5s\n",
        zones.join(", ")
    )
}

/// A look-up.
pub fn view(number: u64) -> Call {
    Call {
        method: Method::GET,
        path: "/payroll-core/view".to_owned(),
        key: format!("family-{}", number % 500),
        identity: None,
        nonce: number,
        upload: Bytes::new(),
        length: 200,
    }
}

/// A payment, which must not be repeated.
pub fn payment(number: u64) -> Call {
    Call {
        method: Method::POST,
        path: "/payroll-core/pay".to_owned(),
        identity: Some(format!("payment-{number}")),
        upload: Bytes::from_static(b"100 euro"),
        ..view(number)
    }
}

/// Three hosts that vote and six targets, at rest.
#[derive(Debug)]
pub struct Fleet {
    _turn: MutexGuard<'static, ()>,
    pub hosts: Hosts,
    pub ledger: Arc<Ledger>,
    pub targets: Vec<StandIn>,
}

/// Starts a fleet whose targets are shaped as wanted.
pub async fn fleet(shape: impl Fn(&mut TargetSettings)) -> Fleet {
    let turn = TURN.lock().await;
    let hosts = Hosts::start(3, 3);
    let note = first_note(3) + "      repeat_window: 10s\n";
    hosts.apply(0, &note).await;
    let ledger = Arc::new(Ledger::default());
    let targets = hosts.targets(6, &ledger, shape).await;
    for place in 0..3 {
        hosts.until_owned(place, 6).await;
    }
    Fleet {
        _turn: turn,
        hosts,
        ledger,
        targets,
    }
}

impl Fleet {
    /// Place of the host that sends for a key.
    pub async fn home_of(&self, key: &str) -> usize {
        let answer = self.explain(key).await;
        answer.home.expect("a home").0 as usize - 1
    }

    /// Target that holds a key.
    pub async fn owner_of(&self, key: &str) -> &StandIn {
        let answer = self.explain(key).await;
        let mut targets = self.targets.iter();
        let owner = targets.find(|target| Some(target.name()) == answer.owner.as_ref());
        owner.expect("an owner")
    }

    async fn explain(&self, key: &str) -> ExplainAnswer {
        let path = format!("{EXPLAIN_PATH}?service=payroll-core&key={key}");
        let body = self.hosts.ask(0, Method::GET, &path, "").await;
        serde_json::from_slice(&body.expect("an answer")).expect("an explanation")
    }
}

/// What a caller got.
#[derive(Debug, Clone)]
pub struct Reply {
    pub status: u16,
    pub outcome: String,
    pub reason: String,
    pub retry: Option<u64>,
    pub after: Option<u64>,
    pub body: Bytes,
}

/// Sends one request over a connection of its own.
pub async fn ask(address: SocketAddr, call: &Call, limit: Duration) -> Result<Reply, SendError> {
    let request = caller::request_of(call, address, limit);
    let answer = Client::default().send(address, request).await?;
    Ok(reply(&answer))
}

fn reply(answer: &client::Answer) -> Reply {
    let text = |name: &str| {
        let value = answer
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    Reply {
        status: answer.status().as_u16(),
        outcome: text(header::OUTCOME),
        reason: text(header::REASON),
        retry: text(header::RETRY_MS).parse().ok(),
        after: text("retry-after").parse().ok(),
        body: answer.body().clone(),
    }
}
