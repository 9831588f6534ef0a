//! The entries of the demo, and the links that set their zones apart.

use super::{DemoError, Policy};
use cornelrail_lib::{
    name::{Node, Zone},
    process::settings::{
        Assigner, Limits, Listen, Log, Once, Operator, Peer, Sending, Settings, Timing, Tls,
    },
};
use cornelrail_node::process::{
    daemon::{self, Daemon},
    telemetry,
};
use cornelrail_testutils::{link::UdpLink, tls, workload::Workload};
use std::{
    fs,
    hash::{BuildHasher, Hasher, RandomState},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::Path,
    time::Duration,
};
use tempfile::TempDir;

const ENTRIES: u64 = 3;
const FREE_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Running entries; their data lives in a temporary folder.
pub(super) struct Entries {
    daemons: Vec<Daemon>,
    links: Vec<Link>,
    token: String,
    _folder: TempDir,
}

/// One way from an entry to another.
struct Link {
    from: Node,
    to: Node,
    relay: UdpLink,
}

impl Entries {
    /// Starts three entries, each in its own zone, all with a data folder.
    pub(super) async fn start(workload: &Workload, policy: Policy) -> Result<Self, DemoError> {
        let folder = TempDir::new()?;
        let nodes: Vec<Node> = (1..=ENTRIES).map(Node).collect();
        let keys = tls::make(folder.path(), &nodes)?;
        let links = make_links(&nodes, workload.delays.apart / 2).await?;
        let token = make_token();
        let operator = Operator {
            name: "demo".to_owned(),
            digest: blake3::hash(token.as_bytes()).to_hex().to_string(),
            approve: true,
        };
        let mut daemons = Vec::new();
        for (node, tls) in nodes.iter().zip(&keys) {
            let plan = Plan {
                workload,
                policy,
                nodes: &nodes,
                links: &links,
                operator: &operator,
            };
            let settings = plan.settings(*node, tls, folder.path())?;
            let daemon = daemon::start(settings, telemetry::unrecorded())
                .await
                .map_err(|error| DemoError::Entry(error.to_string()))?;
            let address = daemon.addresses().peers;
            let inbound = links.iter().filter(|link| link.to == *node);
            inbound.for_each(|link| link.relay.connect(address));
            daemons.push(daemon);
        }
        Ok(Entries {
            daemons,
            links,
            token,
            _folder: folder,
        })
    }

    /// Where callers send their requests.
    pub(super) fn callers(&self) -> Vec<SocketAddr> {
        let addresses = self.daemons.iter().map(Daemon::addresses);
        addresses.map(|listen| listen.callers).collect()
    }

    /// Where targets announce themselves.
    pub(super) fn targets(&self) -> Vec<SocketAddr> {
        let addresses = self.daemons.iter().map(Daemon::addresses);
        addresses.map(|listen| listen.targets).collect()
    }

    /// Where operators send their notes.
    pub(super) fn operators(&self) -> Vec<SocketAddr> {
        let addresses = self.daemons.iter().map(Daemon::addresses);
        addresses.map(|listen| listen.operators).collect()
    }

    /// Token of the one operator.
    pub(super) fn token(&self) -> &str {
        &self.token
    }

    /// Stops all entries.
    pub(super) async fn stop(self) {
        for daemon in self.daemons {
            daemon.kill();
        }
        drop(self.links);
    }
}

/// Zone of an entry.
fn zone_of(workload: &Workload, node: Node) -> &Zone {
    let zones = &workload.zones;
    &zones[(node.0 as usize - 1) % zones.len()]
}

async fn make_links(nodes: &[Node], delay: Duration) -> Result<Vec<Link>, DemoError> {
    let mut links = Vec::new();
    for from in nodes {
        for to in nodes.iter().filter(|to| *to != from) {
            links.push(Link {
                from: *from,
                to: *to,
                relay: UdpLink::start(delay).await?,
            });
        }
    }
    Ok(links)
}

/// A token that no other run has.
fn make_token() -> String {
    let half = || RandomState::new().build_hasher().finish();
    format!("{:016x}{:016x}", half(), half())
}

/// What all entries' settings have in common.
struct Plan<'a> {
    workload: &'a Workload,
    policy: Policy,
    nodes: &'a [Node],
    links: &'a [Link],
    operator: &'a Operator,
}

impl Plan<'_> {
    fn settings(&self, node: Node, tls: &Tls, folder: &Path) -> Result<Settings, DemoError> {
        let data = folder.join(format!("entry-{node}"));
        fs::create_dir_all(&data)?;
        let (sending, assigner) = match self.policy {
            Policy::Weighted => (Sending::Home, Assigner::Weighted),
            Policy::Modulo => (Sending::Home, Assigner::Modulo),
            Policy::Consistent => (Sending::Home, Assigner::Consistent),
            Policy::Direct => (Sending::Direct, Assigner::Weighted),
        };
        Ok(Settings {
            fleet: "demo".to_owned(),
            node,
            zone: zone_of(self.workload, node).clone(),
            listen: Listen {
                callers: FREE_PORT,
                targets: FREE_PORT,
                operators: FREE_PORT,
                peers: FREE_PORT,
            },
            peers: self.nodes.iter().map(|to| self.peer(node, *to)).collect(),
            data: Some(data),
            tls: tls.clone(),
            operators: vec![self.operator.clone()],
            timing: Timing::default(),
            sending,
            assigner,
            log: Log::default(),
            limits: Limits::default(),
            once: Once::default(),
        })
    }

    /// How one entry reaches another; its own address is not known yet.
    fn peer(&self, from: Node, to: Node) -> Peer {
        let mut links = self.links.iter();
        let link = links.find(|link| link.from == from && link.to == to);
        Peer {
            node: to,
            zone: zone_of(self.workload, to).clone(),
            address: link.map_or(FREE_PORT, |link| link.relay.address()),
            voter: true,
        }
    }
}
