//! Core hosts and entries of a seeded fleet, each a process of its own.
//!
//! The environment variable `EARLIER_RELEASE` names a program that the first start of each host runs
//! in place of this build, so that a test plays an upgrade.

use crate::test_seeded::{PATIENCE, call, host};
use cornelrail_testutils::ports;
use serde_json::Value;
use std::{
    collections::BTreeSet,
    env,
    ffi::{OsStr, OsString},
    fs,
    net::SocketAddr,
    process::{Child, Command, Stdio},
    time::Duration,
};
use tempfile::TempDir;
use tokio::time::{Instant, sleep};

/// Core hosts of a fleet.
pub const CORES: usize = 3;

/// Processes of a fleet, the core hosts first. One that has ended has no child.
pub struct Hosts {
    folder: TempDir,
    /// Control addresses of the core hosts.
    pub controls: Vec<SocketAddr>,
    /// Callers' addresses of the entries.
    pub callers: Vec<SocketAddr>,
    running: Vec<Option<Child>>,
    /// Program of an earlier release, which the first start of each host runs.
    earlier: Option<OsString>,
    started: BTreeSet<usize>,
}

impl Drop for Hosts {
    fn drop(&mut self) {
        (0..self.running.len()).for_each(|place| self.kill(place));
    }
}

impl Hosts {
    /// Starts the core hosts and so many entries.
    pub fn start(entries: usize) -> Hosts {
        let folder = TempDir::new().expect("a folder");
        let count = CORES + entries;
        let (port, control, callers) = (ports::next_port(), ports::next_port(), ports::next_port());
        let addresses: Vec<String> = (0..count).map(|_| host()).collect();
        let seeds = addresses[..CORES].iter();
        let seeds: Vec<_> = seeds
            .map(|address| format!("\"{address}:{control}\""))
            .collect();
        for (place, address) in addresses.iter().enumerate() {
            let own = match place < CORES {
                true => format!(
                    "role: core\nlisten: {{control: \"{address}:{control}\"}}\ndata: data-{place}\n"
                ),
                false => format!(
                    "role: entry\nlisten: {{callers: \"{address}:{callers}\", \
                     ready: \"{address}:{control}\"}}\n"
                ),
            };
            let text = format!(
                "{own}name: host-{place}\nzone: a\naddress: {address}\nport: {port}\n\
                 seeds: [{}]\nfound: true\nheartbeat: 200ms\nlongest_lease: 10s\ndrain: 2s\n\
                 evacuate: 5s\ngrace: 4s\ntolerated_losses: 1\n\
                 retry: {{ratio: 0.2, floor: 50, window: 10s}}\n",
                seeds.join(", ")
            );
            fs::write(folder.path().join(format!("{place}.yaml")), text).expect("written");
        }
        let on =
            |address: &String, port| SocketAddr::new(address.parse().expect("an address"), port);
        let mut hosts = Hosts {
            folder,
            controls: addresses[..CORES].iter().map(|a| on(a, control)).collect(),
            callers: addresses[CORES..].iter().map(|a| on(a, callers)).collect(),
            running: (0..count).map(|_| None).collect(),
            earlier: env::var_os("EARLIER_RELEASE"),
            started: BTreeSet::new(),
        };
        (0..count).for_each(|place| hosts.spawn(place));
        hosts
    }

    /// Starts the process of a host that has none.
    pub fn spawn(&mut self, place: usize) {
        let own = OsStr::new(env!("CARGO_BIN_EXE_cornelraild"));
        let is_first = self.started.insert(place);
        let earlier = self.earlier.as_deref().filter(|_| is_first);
        let child = Command::new(earlier.unwrap_or(own))
            .arg(format!("{place}.yaml"))
            .current_dir(self.folder.path())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn();
        self.running[place] = Some(child.expect("a process"));
    }

    /// Ends a process at once.
    pub fn kill(&mut self, place: usize) {
        if let Some(mut child) = self.running[place].take() {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal by its name to a running process.
    pub fn signal(&self, place: usize, name: &str) {
        let child = self.running[place].as_ref().expect("a running process");
        let sent = Command::new("kill")
            .args([format!("-{name}"), child.id().to_string()])
            .status();
        assert!(sent.expect("kill runs").success());
    }

    /// Whether the process has ended; it can be started again then.
    pub fn has_ended(&mut self, place: usize) -> bool {
        let child = self.running[place].as_mut();
        child.is_none_or(|child| child.try_wait().expect("a child").is_some())
    }
}

/// Sends a call to a core host until it gets a clear answer.
pub async fn send(control: SocketAddr, name: &str, body: &Value) -> (u16, Value) {
    let begun = Instant::now();
    loop {
        match call(control, name, body).await {
            Some((status, answer)) if status != 503 => return (status, answer),
            _ => sleep(Duration::from_millis(50)).await,
        }
        assert!(begun.elapsed() < PATIENCE, "no clear answer of {control}");
    }
}
