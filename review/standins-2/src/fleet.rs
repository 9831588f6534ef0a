//! Processes of a small deployment: core hosts and entries, by the command of the deploy file.

use crate::http;
use std::{
    env, fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{self, Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

/// Ports of every host, from the first one that is free.
const PORTS: u16 = 5;
const FIRST_PORT: u16 = 20_000;
const LAST_PORT: u16 = 30_000;
/// Last parts of the hosts' addresses.
const FIRST_CORE: u8 = 10;
const FIRST_ENTRY: u8 = 30;
const FIRST_WORKER: u8 = 100;
/// Time in which the entries have to be ready.
const START_TIME: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_millis(50);

/// Size of a deployment, and the interval between the heartbeats of its workers.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub cores: u8,
    pub entries: u8,
    pub heartbeat: Duration,
}

/// One process.
#[derive(Debug)]
struct Host {
    settings: PathBuf,
    child: Option<Child>,
}

/// A running deployment. It ends with all its processes when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    size: Size,
    folder: PathBuf,
    program: PathBuf,
    net: [u8; 2],
    port: u16,
    hosts: Vec<Host>,
}

impl Fleet {
    /// Starts all processes, with a first start's settings.
    pub fn start(root: &Path, size: Size) -> Result<Fleet, String> {
        let program = root.join("target/release/cornelraild");
        if !program.is_file() {
            return Err("target/release/cornelraild is not built".to_owned());
        }
        let id = process::id();
        let folder = env::temp_dir().join(format!("cornelrail-review-{id}"));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let net = [100 + (id % 100) as u8, (id / 100 % 250) as u8];
        let port = free_port(net).ok_or("no free ports")?;
        let mut fleet = Fleet {
            size,
            folder,
            program,
            net,
            port,
            hosts: Vec::new(),
        };
        for number in 0..size.cores {
            fleet.add(&format!("core-{number}"), "core", FIRST_CORE + number)?;
        }
        for number in 0..size.entries {
            fleet.add(&format!("entry-{number}"), "entry", FIRST_ENTRY + number)?;
        }
        fleet.spawn_all()?;
        Ok(fleet)
    }

    fn ip(&self, last: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.net[0], self.net[1], last))
    }

    /// Address for the calls of workers and the operator.
    pub fn control(&self, core: u8) -> SocketAddr {
        SocketAddr::new(self.ip(FIRST_CORE + core), self.port + 1)
    }

    /// Addresses of all core hosts for calls.
    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..self.size.cores)
            .map(|core| self.control(core))
            .collect()
    }

    /// Address of an entry for clients.
    pub fn front(&self, entry: u8) -> SocketAddr {
        SocketAddr::new(self.ip(FIRST_ENTRY + entry), self.port + 2)
    }

    /// Address of a worker.
    pub fn worker(&self, number: u8) -> SocketAddr {
        SocketAddr::new(self.ip(FIRST_WORKER + number), self.port + 4)
    }

    fn add(&mut self, name: &str, role: &str, last: u8) -> Result<(), String> {
        let (ip, port) = (self.ip(last), self.port);
        let (control, front, ready) = (port + 1, port + 2, port + 3);
        let seeds = (0..self.size.cores.min(3)).map(|core| format!("\"{}\"", self.control(core)));
        let seeds = seeds.collect::<Vec<_>>().join(", ");
        let listen = match role {
            "core" => format!("  control: \"{ip}:{control}\"\n"),
            _ => format!("  callers: \"{ip}:{front}\"\n  ready: \"{ip}:{ready}\"\n"),
        };
        let data = match role {
            "core" => format!("data: \"{}\"\n", self.folder.join(name).display()),
            _ => String::new(),
        };
        let beat = self.size.heartbeat.as_millis();
        let losses = (self.size.cores - 1) / 2;
        let text = format!(
            "role: {role}\nname: \"{name}\"\nzone: \"z-a\"\naddress: \"{ip}\"\nport: {port}\n\
             seeds: [{seeds}]\nfound: true\nlisten:\n{listen}{data}heartbeat: \"{beat}ms\"\n\
             longest_lease: \"10000ms\"\nin_force: \"2000ms\"\ndrain: \"2000ms\"\n\
             evacuate: \"5000ms\"\ngrace: \"6s\"\ntolerated_losses: {losses}\nlink: 1000.0\n\
             idle_connections: 400\nretry:\n  ratio: 0.2\n  floor: 56\n  window: \"10s\"\n\
             zones:\n  cost_per_kib: \"1300us\"\n"
        );
        let settings = self.folder.join(format!("{name}.yaml"));
        fs::write(&settings, text).map_err(|error| error.to_string())?;
        let child = None;
        self.hosts.push(Host { settings, child });
        Ok(())
    }

    /// Starts the processes that were killed, with the settings of a later start.
    pub fn restart(&mut self) -> Result<(), String> {
        for host in &self.hosts {
            let text = fs::read_to_string(&host.settings).map_err(|error| error.to_string())?;
            let text = text.replace("found: true", "found: false");
            fs::write(&host.settings, text).map_err(|error| error.to_string())?;
        }
        self.spawn_all()
    }

    /// Starts the processes that do not run.
    fn spawn_all(&mut self) -> Result<(), String> {
        for host in self.hosts.iter_mut().filter(|host| host.child.is_none()) {
            let log = host.settings.with_extension("log");
            let log = fs::File::options().create(true).append(true).open(log);
            let log = log.map_err(|error| error.to_string())?;
            let child = Command::new(&self.program)
                .arg(&host.settings)
                .stdin(Stdio::null())
                .stdout(Stdio::null())
                .stderr(log)
                .spawn();
            host.child = Some(child.map_err(|error| error.to_string())?);
        }
        Ok(())
    }

    /// Kills all processes at the same moment.
    pub fn kill_all(&mut self) {
        let hosts = self.hosts.iter_mut();
        let mut children: Vec<Child> = hosts.filter_map(|host| host.child.take()).collect();
        for child in &mut children {
            // One that has ended needs no kill.
            let _ = child.kill();
        }
        for mut child in children {
            let _ = child.wait();
        }
    }

    /// Waits until all entries are ready.
    pub fn wait_ready(&self) -> Result<(), String> {
        let begun = Instant::now();
        for entry in 0..self.size.entries {
            let address = SocketAddr::new(self.ip(FIRST_ENTRY + entry), self.port + 3);
            let head = "GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
            let limit = Duration::from_secs(1);
            while !http::ask(address, limit, head, b"").is_ok_and(|answer| answer.status() == 200) {
                if begun.elapsed() > START_TIME {
                    return Err(format!("entry {entry} is not ready"));
                }
                thread::sleep(PAUSE);
            }
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.kill_all();
        // What is left in the temporary folder does no harm.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// First of some ports that are free on a host of the net.
fn free_port(net: [u8; 2]) -> Option<u16> {
    let host = Ipv4Addr::new(127, net[0], net[1], FIRST_CORE);
    let is_free = |port: u16| TcpListener::bind((host, port)).is_ok();
    let mut ports = (FIRST_PORT..LAST_PORT).step_by(usize::from(PORTS));
    ports.find(|first| (*first..first + PORTS).all(is_free))
}
