//! Processes of the system on loopback addresses, with settings as the deploy file renders them.

use crate::record::Record;
use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{SystemTime, UNIX_EPOCH},
};

/// Ports of one fleet, the same on all its hosts.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    /// Clients.
    pub front: u16,
    /// Whether an entry is ready.
    pub ready: u16,
    /// Workers and operators.
    pub control: u16,
    /// Between the processes of the system.
    pub peers: u16,
    /// Metrics.
    pub metrics: u16,
}

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// A core host.
    Core,
    /// An entry.
    Entry,
}

/// One host with one process.
#[derive(Debug)]
pub struct Host {
    /// Name in the record.
    pub name: String,
    /// Loopback address.
    pub ip: Ipv4Addr,
    /// Zone.
    pub zone: &'static str,
    role: Role,
    child: Option<Child>,
}

/// All hosts; they end with the fleet.
#[derive(Debug)]
pub struct Fleet {
    /// The hosts.
    pub hosts: Vec<Host>,
    /// Ports.
    pub ports: Ports,
    folder: PathBuf,
    program: PathBuf,
    net: u8,
    record: Record,
}

impl Fleet {
    /// A fleet without hosts in a temporary folder of its own.
    pub fn new(program: PathBuf, record: Record) -> std::io::Result<Fleet> {
        let nanos = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_nanos());
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-{id}-{nanos}"));
        fs::create_dir_all(&folder)?;
        // Processes of other runs get other addresses.
        let net = (id % 200) as u8 + 20;
        let free = || -> std::io::Result<u16> {
            Ok(TcpListener::bind((Ipv4Addr::new(127, net, 0, 1), 0))?
                .local_addr()?
                .port())
        };
        let ports = Ports {
            front: free()?,
            ready: free()?,
            control: free()?,
            peers: free()?,
            metrics: free()?,
        };
        Ok(Fleet {
            hosts: Vec::new(),
            ports,
            folder,
            program,
            net,
            record,
        })
    }

    /// Loopback address number `n` of this fleet.
    pub fn ip(&self, n: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 0, n)
    }

    /// Adds a host, whose process is not started yet.
    pub fn add(&mut self, role: Role, zone: &'static str) -> usize {
        let n = self.hosts.len();
        let ip = self.ip(n as u8 + 1);
        let kind = if role == Role::Core { "core" } else { "front" };
        let name = format!("{kind}-{zone}-{n}");
        self.hosts.push(Host {
            name,
            ip,
            zone,
            role,
            child: None,
        });
        n
    }

    /// Starts the process of a host; `bootstrap` is true only at the first start of all.
    pub fn start(&mut self, n: usize, bootstrap: bool) {
        let seeds: Vec<String> = self
            .hosts
            .iter()
            .filter(|h| h.role == Role::Core)
            .take(3)
            .map(|h| format!("\"{}:{}\"", h.ip, self.ports.control))
            .collect();
        let Host {
            name,
            ip,
            zone,
            role,
            ..
        } = &self.hosts[n];
        let p = self.ports;
        let (kind, listen, data) = match role {
            Role::Core => {
                let data = self.data(n);
                fs::create_dir_all(&data).expect("the data folder is made");
                let data = format!("data: \"{}\"\n", data.display());
                ("core", format!("  control: \"{ip}:{}\"\n", p.control), data)
            }
            Role::Entry => {
                let callers = format!("  callers: \"{ip}:{}\"\n", p.front);
                let ready = format!("  ready: \"{ip}:{}\"\n", p.ready);
                ("entry", callers + &ready, String::new())
            }
        };
        let text = format!(
            "role: {kind}\nname: \"{name}\"\nzone: \"{zone}\"\naddress: \"{ip}\"\nport: {}\n\
             seeds: [{}]\nfound: {bootstrap}\nlisten:\n  metrics: \"{ip}:{}\"\n{listen}{data}\
             heartbeat: \"870ms\"\nlongest_lease: \"10000ms\"\nin_force: \"2000ms\"\n\
             drain: \"2000ms\"\nevacuate: \"5000ms\"\ngrace: \"6s\"\n\
             retry:\n  ratio: 0.2\n  floor: 56\n  window: \"10s\"\n",
            p.peers,
            seeds.join(", "),
            p.metrics
        );
        let path = self.folder.join(format!("{name}.yaml"));
        fs::write(&path, text).expect("the settings are written");
        let log = self.folder.join(format!("{name}.log"));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log file");
        let copy = log.try_clone().expect("a log file");
        let child = Command::new(&self.program)
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(copy)
            .spawn()
            .expect("the program starts");
        self.record.note(format_args!(
            "start {name} pid={} bootstrap={bootstrap}",
            child.id()
        ));
        self.hosts[n].child = Some(child);
    }

    /// Ends the process of a host at once.
    pub fn kill(&mut self, n: usize) {
        if let Some(mut child) = self.hosts[n].child.take() {
            // It may have ended by itself, which the record of its log shows.
            let _ = child.kill();
            let _ = child.wait();
            self.record
                .note(format_args!("kill {}", self.hosts[n].name));
        }
    }

    /// Freezes the process of a host until it is killed.
    pub fn freeze(&mut self, n: usize) {
        let Some(child) = &self.hosts[n].child else {
            return;
        };
        let stopped = Command::new("kill")
            .args(["-STOP", &child.id().to_string()])
            .status();
        assert!(stopped.is_ok_and(|s| s.success()), "the process is stopped");
        self.record
            .note(format_args!("freeze {}", self.hosts[n].name));
    }

    /// Empties the disk of a host that has no process.
    pub fn wipe(&mut self, n: usize) {
        assert!(self.hosts[n].child.is_none(), "the process has ended");
        fs::remove_dir_all(self.data(n)).expect("the data folder is removed");
        self.record
            .note(format_args!("wipe {}", self.hosts[n].name));
    }

    /// Whether the process of a host has ended by itself.
    pub fn has_ended(&mut self, n: usize) -> bool {
        let child = self.hosts[n].child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Addresses of a role at a port.
    pub fn addresses(&self, role: Role, port: u16) -> Vec<SocketAddr> {
        let hosts = self.hosts.iter().filter(|h| h.role == role);
        hosts
            .map(|h| SocketAddr::new(IpAddr::V4(h.ip), port))
            .collect()
    }

    /// Copies the lines of all logs that contain one of the words to the record.
    pub fn note_logs(&self, words: &[&str]) {
        let folder = self.folder.display().to_string();
        for host in &self.hosts {
            let path = self.folder.join(format!("{}.log", host.name));
            let text = fs::read_to_string(path).unwrap_or_default();
            for line in text.lines().filter(|l| words.iter().any(|w| l.contains(w))) {
                let line = line.replace(&folder, "FOLDER");
                self.record
                    .note(format_args!("log of {}: {line}", host.name));
            }
        }
    }

    /// Data folder of a host.
    pub fn data(&self, n: usize) -> PathBuf {
        self.folder.join(format!("data-{n}"))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for n in 0..self.hosts.len() {
            self.kill(n);
        }
        // What is left is in the temporary folder only.
        let _ = fs::remove_dir_all(&self.folder);
    }
}
