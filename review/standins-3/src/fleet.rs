//! A fleet of the project's own processes on loopback addresses of this run.

use crate::{http, record::Record};
use std::{
    env, fs,
    fs::File,
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{self, Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

/// Time for the fleet to start.
const START_TIME: Duration = Duration::from_secs(20);
/// Zones of the hosts, in turn.
pub const ZONES: [&str; 3] = ["be-central-a", "be-central-b", "be-central-c"];

/// One host.
#[derive(Debug)]
pub struct Host {
    /// Its address.
    pub ip: Ipv4Addr,
    /// Port on which it listens for other hosts, and on which it looks for them.
    pub port: u16,
    name: String,
    child: Option<Child>,
}

/// Shape of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    /// Core hosts.
    pub cores: usize,
    /// Entries.
    pub entries: usize,
    /// Whether each host has a port of its own, so that links between hosts can be put between them.
    pub has_links: bool,
}

/// All hosts, the core hosts first. They end with it.
#[derive(Debug)]
pub struct Fleet {
    folder: PathBuf,
    shape: Shape,
    net: [u8; 2],
    ports: [u16; 3],
    /// The hosts.
    pub hosts: Vec<Host>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for place in 0..self.hosts.len() {
            self.kill(place);
        }
        // What is left is in the temporary folder.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A port that is free at all these addresses.
fn free_port(ips: &[Ipv4Addr], taken: &[u16]) -> io::Result<u16> {
    for _ in 0..100 {
        let port = TcpListener::bind((ips[0], 0))?.local_addr()?.port();
        let is_free = |ip: &Ipv4Addr| TcpListener::bind((*ip, port)).is_ok();
        if !taken.contains(&port) && ips.iter().all(is_free) {
            return Ok(port);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

impl Fleet {
    /// Writes the settings of all hosts.
    pub fn new(shape: Shape) -> io::Result<Fleet> {
        let id = process::id();
        let folder = env::temp_dir().join(format!("cornelrail-review-{id}"));
        fs::create_dir_all(&folder)?;
        let net = [64 + (id >> 8) as u8 % 128, id as u8];
        let count = shape.cores + shape.entries;
        let ips: Vec<Ipv4Addr> = (0..count + 20)
            .map(|place| Ipv4Addr::new(127, net[0], net[1], place as u8 + 1))
            .collect();
        let mut taken = Vec::new();
        for _ in 0..3 + count {
            taken.push(free_port(&ips, &taken)?);
        }
        let hosts = (0..count).map(|place| Host {
            ip: ips[place],
            port: taken[if shape.has_links { 3 + place } else { 0 }],
            name: match place < shape.cores {
                true => format!("core-{}", place + 1),
                false => format!("front-{}", place + 1 - shape.cores),
            },
            child: None,
        });
        let fleet = Fleet {
            hosts: hosts.collect(),
            ports: [taken[0], taken[1], taken[2]],
            folder,
            shape,
            net,
        };
        for place in 0..count {
            fleet.write_settings(place, true)?;
        }
        Ok(fleet)
    }

    /// An address for a stand-in, which no host has.
    pub fn stand_in(&self, number: u8) -> io::Result<SocketAddr> {
        let place = (self.hosts.len() as u8) + 1 + number;
        let ip = Ipv4Addr::new(127, self.net[0], self.net[1], place);
        let port = free_port(&[ip], &self.ports)?;
        Ok((ip, port).into())
    }

    /// Number of core hosts.
    pub fn cores(&self) -> usize {
        self.shape.cores
    }

    /// Control addresses of the core hosts.
    pub fn controls(&self) -> Vec<SocketAddr> {
        let cores = self.hosts[..self.shape.cores].iter();
        cores.map(|host| (host.ip, self.ports[1]).into()).collect()
    }

    /// Callers' addresses of the entries.
    pub fn callers(&self) -> Vec<SocketAddr> {
        let entries = self.hosts[self.shape.cores..].iter();
        entries
            .map(|host| (host.ip, self.ports[1]).into())
            .collect()
    }

    /// Zone of an entry.
    pub fn zone_of(&self, entry: usize) -> &'static str {
        ZONES[(self.shape.cores + entry) % ZONES.len()]
    }

    fn write_settings(&self, place: usize, is_first: bool) -> io::Result<()> {
        let host = &self.hosts[place];
        let [_, port, ready] = self.ports;
        let Host { ip, name, .. } = host;
        let zone = ZONES[place % ZONES.len()];
        let seeds: Vec<String> = self.controls()[..3]
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let own = match place < self.shape.cores {
            true => format!(
                "role: core\nlisten:\n  control: \"{ip}:{port}\"\ndata: \"{}\"\n",
                self.folder.join(format!("data-{name}")).display()
            ),
            false => format!(
                "role: entry\nlisten:\n  callers: \"{ip}:{port}\"\n  ready: \"{ip}:{ready}\"\n"
            ),
        };
        let text = format!(
            "{own}name: \"{name}\"\nzone: \"{zone}\"\naddress: \"{ip}\"\nport: {}\nseeds: [{}]\n\
             found: {is_first}\nheartbeat: \"870ms\"\nlongest_lease: \"10000ms\"\n\
             in_force: \"2000ms\"\ndrain: \"2000ms\"\nevacuate: \"5000ms\"\ngrace: \"6s\"\n\
             tolerated_losses: {}\nlink: 1000.0\nidle_connections: 400\nretry:\n  ratio: 0.2\n  \
             floor: 56\n  window: \"10s\"\nzones:\n  cost_per_kib: \"1300us\"\n",
            host.port,
            seeds.join(", "),
            (self.shape.cores - 1) / 2
        );
        fs::write(self.settings(place), text)
    }

    fn settings(&self, place: usize) -> PathBuf {
        self.folder.join(format!("{}.yaml", self.hosts[place].name))
    }

    fn log(&self, place: usize) -> PathBuf {
        self.folder.join(format!("{}.log", self.hosts[place].name))
    }

    /// Starts the process of a host.
    pub fn spawn(&mut self, place: usize) -> io::Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log(place))?;
        let child = Command::new(Path::new("target/release/cornelraild"))
            .arg(self.settings(place))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.hosts[place].child = Some(child);
        Ok(())
    }

    /// Starts a host again, whose fleet exists by now.
    pub fn restart(&mut self, place: usize) -> io::Result<()> {
        self.write_settings(place, false)?;
        self.spawn(place)
    }

    /// Ends the process of a host at once.
    pub fn kill(&mut self, place: usize) {
        if let Some(mut child) = self.hosts[place].child.take() {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Place of the core host that leads, by what the hosts have logged.
    pub fn leader(&self) -> Option<usize> {
        (0..self.shape.cores).find(|place| {
            let log = fs::read_to_string(self.log(*place)).unwrap_or_default();
            let last = log.lines().rfind(|line| line.contains(" ours="));
            let runs = self.hosts[*place].child.is_some();
            runs && last.is_some_and(|line| line.contains("ours=true"))
        })
    }

    /// What a host has logged.
    pub fn logged(&self, place: usize) -> String {
        fs::read_to_string(self.log(place)).unwrap_or_default()
    }

    /// Waits until all entries say that they are ready.
    pub fn until_ready(&self, record: &Record) -> Result<(), String> {
        let begun = Instant::now();
        for host in &self.hosts[self.shape.cores..] {
            let address = (host.ip, self.ports[2]).into();
            loop {
                let limit = Duration::from_millis(500);
                let asked = http::call(address, "GET /-/ready", &[], "", limit);
                if asked.is_ok_and(|answer| answer.status() == 200) {
                    break;
                }
                if begun.elapsed() > START_TIME {
                    return Err("an entry did not become ready".to_owned());
                }
                thread::sleep(Duration::from_millis(20));
            }
        }
        record.note("all entries are ready");
        Ok(())
    }
}

/// Waits until a condition holds.
pub fn until(what: &str, limit: Duration, mut holds: impl FnMut() -> bool) -> Result<(), String> {
    let begun = Instant::now();
    while !holds() {
        if begun.elapsed() > limit {
            return Err(format!("it took too long until {what}"));
        }
        thread::sleep(Duration::from_millis(2));
    }
    Ok(())
}
