//! Core hosts and entries of a seeded fleet, each a process of its own.
//!
//! The environment variable `EARLIER_RELEASE` names a program that the first start of each host runs
//! in place of this build, so that a test plays an upgrade.

use crate::{
    links::HoldingLink,
    test_seeded::{PATIENCE, call, host},
};
use cornelrail_lib::{
    name::{Node, Zone},
    version::feed::{FromCore, Handshake},
};
use cornelrail_node::{
    connection::message::{MessageStream, encode_greeting},
    process::core::node_of,
};
use cornelrail_testutils::ports;
use serde_json::Value;
use std::{
    collections::{BTreeMap, BTreeSet},
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
    /// Ports between hosts, one for each host; the same at all hosts unless there are links.
    peer_ports: Vec<u16>,
    /// Ports of control and of callers, the same at all hosts.
    ports: [u16; 2],
    /// Control addresses of the core hosts.
    pub controls: Vec<SocketAddr>,
    /// Callers' addresses of the entries.
    pub callers: Vec<SocketAddr>,
    running: Vec<Option<Child>>,
    /// Program of an earlier release, which the first start of each host runs.
    earlier: Option<OsString>,
    started: BTreeSet<usize>,
    /// Links between two core hosts, by the places of both.
    links: BTreeMap<(usize, usize), HoldingLink>,
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
        let port = ports::next_port();
        let mut hosts = Hosts::prepare(cores, vec![port; cores + entries]);
        hosts.spawn_all();
        hosts
    }

    /// Starts so many core hosts and entries, with links between the core hosts that can be cut.
    pub fn with_links(cores: usize, entries: usize) -> Hosts {
        let peer_ports = (0..cores + entries).map(|_| ports::next_port()).collect();
        let mut hosts = Hosts::prepare(cores, peer_ports);
        // A host looks for all others at its own port.
        for place in 0..cores {
            for dialer in (0..cores + entries).filter(|dialer| *dialer != place) {
                let link = (place.min(dialer), place.max(dialer));
                let link = hosts.links.entry(link).or_default();
                let at = |port| SocketAddr::new(hosts.controls[place].ip(), port);
                link.carry(at(hosts.peer_ports[dialer]), at(hosts.peer_ports[place]));
            }
        }
        hosts.spawn_all();
        hosts
    }

    /// Cuts a core host off from the other core hosts, or joins it to them again.
    pub fn set_cut_off(&self, place: usize, is_cut: bool) {
        let cores = self.controls.len();
        let is_between = |(one, other): &(usize, usize)| {
            *one.max(other) < cores && (*one == place || *other == place)
        };
        let links = self.links.iter().filter(|(ends, _)| is_between(ends));
        links.for_each(|(_, link)| link.set_cut(is_cut));
    }

    /// Place of the core host that leads, as another one tells a process that asks like an entry.
    pub async fn leader(&self) -> usize {
        let begun = Instant::now();
        loop {
            for place in 0..self.controls.len() {
                let address = SocketAddr::new(self.controls[place].ip(), self.peer_ports[place]);
                let leader = tell_leader(address).await;
                let is_leader = |control: &SocketAddr| Some(node_of(control.ip())) == leader;
                if let Some(leader) = self.controls.iter().position(is_leader) {
                    return leader;
                }
            }
            assert!(begun.elapsed() < PATIENCE, "no core host leads");
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Writes the settings of the core hosts and entries, each with its port between hosts.
    fn prepare(cores: usize, peer_ports: Vec<u16>) -> Hosts {
        let count = peer_ports.len();
        let mut hosts = Hosts {
            folder: TempDir::new().expect("a folder"),
            peer_ports,
            ports: [(); 2].map(|()| ports::next_port()),
            controls: Vec::new(),
            callers: Vec::new(),
            running: Vec::new(),
            earlier: env::var_os("EARLIER_RELEASE"),
            started: BTreeSet::new(),
            links: BTreeMap::new(),
        };
        let [control, callers] = hosts.ports;
        let addresses: Vec<String> = (0..count).map(|_| host()).collect();
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
        hosts
    }

    fn spawn_all(&mut self) {
        (0..self.running.len()).for_each(|place| self.spawn(place));
    }

    /// Starts an empty core host in place of another one, at an address of its own, in a fleet without
    /// entries. Returns its place.
    pub fn replace_core(&mut self, seeds: &[SocketAddr], losses: usize) -> usize {
        let (place, address) = (self.running.len(), host());
        self.peer_ports.push(self.peer_ports[0]);
        self.write_settings(place, &address, seeds, (true, false, losses));
        let ip = address.parse().expect("an address");
        self.controls.push(SocketAddr::new(ip, self.ports[0]));
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
        let [control, callers] = self.ports;
        let port = self.peer_ports[place];
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

/// Leader that a core host names to whoever follows it.
async fn tell_leader(address: SocketAddr) -> Option<Node> {
    let greeting = Handshake::Entry {
        name: "asker".to_owned(),
        zone: Zone::from("a"),
    };
    let mut stream = MessageStream::connect(address, PATIENCE).await.ok()?;
    stream.send([encode_greeting(&greeting).ok()?]).await.ok()?;
    match stream.receive_greeting().await.ok()? {
        (FromCore::Members { leader, .. }, _) => leader,
        _ => None,
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
