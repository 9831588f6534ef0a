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
    /// Ports between hosts, of control and of callers, the same at all hosts.
    ports: [u16; 3],
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
        Hosts::with_cores(CORES, entries)
    }

    /// Starts so many core hosts and entries. The first three core hosts are the seeds.
    pub fn with_cores(cores: usize, entries: usize) -> Hosts {
        let mut hosts = Hosts {
            folder: TempDir::new().expect("a folder"),
            ports: [(); 3].map(|()| ports::next_port()),
            controls: Vec::new(),
            callers: Vec::new(),
            running: Vec::new(),
            earlier: env::var_os("EARLIER_RELEASE"),
            started: BTreeSet::new(),
        };
        let [_, control, callers] = hosts.ports;
        let addresses: Vec<String> = (0..cores + entries).map(|_| host()).collect();
        let on =
            |address: &String, port| SocketAddr::new(address.parse().expect("an address"), port);
        hosts.controls = addresses[..cores].iter().map(|a| on(a, control)).collect();
        hosts.callers = addresses[cores..].iter().map(|a| on(a, callers)).collect();
        let seeds = hosts.controls[..cores.min(CORES)].to_vec();
        let losses = (cores - 1) / 2;
        for (place, address) in addresses.iter().enumerate() {
            hosts.write_settings(place, address, &seeds, (place < cores, true, losses));
            hosts.running.push(None);
        }
        (0..cores + entries).for_each(|place| hosts.spawn(place));
        hosts
    }

    /// Starts an empty core host in place of another one, at an address of its own, in a fleet without
    /// entries. Returns its place.
    pub fn replace_core(&mut self, seeds: &[SocketAddr], losses: usize) -> usize {
        let (place, address) = (self.running.len(), host());
        self.write_settings(place, &address, seeds, (true, false, losses));
        let ip = address.parse().expect("an address");
        self.controls.push(SocketAddr::new(ip, self.ports[1]));
        self.running.push(None);
        self.spawn(place);
        place
    }

    /// Empties the disk of a core host that does not run. It may not found a fleet from then on.
    pub fn wipe(&self, place: usize) {
        fs::remove_dir_all(self.folder.path().join(format!("data-{place}"))).expect("removed");
        let path = self.folder.path().join(format!("{place}.yaml"));
        let text = fs::read_to_string(&path).expect("settings");
        fs::write(path, text.replace("found: true", "found: false")).expect("written");
    }

    fn write_settings(
        &self,
        place: usize,
        address: &str,
        seeds: &[SocketAddr],
        (is_core, founds, losses): (bool, bool, usize),
    ) {
        let [port, control, callers] = self.ports;
        let seeds: Vec<_> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let own = match is_core {
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
             seeds: [{}]\nfound: {founds}\nheartbeat: 200ms\nlongest_lease: 10s\ndrain: 2s\n\
             evacuate: 5s\ngrace: 4s\ntolerated_losses: {losses}\n\
             retry: {{ratio: 0.2, floor: 50, window: 10s}}\n",
            seeds.join(", ")
        );
        fs::write(self.folder.path().join(format!("{place}.yaml")), text).expect("written");
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
