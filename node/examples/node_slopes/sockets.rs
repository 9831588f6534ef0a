//! Lease orders over HTTP to a stand-in, and heartbeats over QUIC, both on the loopback address.
//!
//! Processor time is the process's own, so it holds both ends: the home with its target, or the
//! entry with its leader.

use crate::table::Table;
use cornelrail_lib::{
    connection::order::{Grant, LeaseOrder},
    key::{KeyHash, KeyRange},
    name::{Epoch, Fence, Incarnation, Node, Service, Zone},
    process::settings::{
        Assigner, Limits, Listen, Log, Once, Peer, Sending, Settings, Timing, Tls,
    },
    version::report::{BusiestKey, EntryReport, RangeLoad},
};
use cornelrail_node::{
    connection::{peer::PeerLink, target::TargetLink, wire},
    process::{
        protocol::{Call, LeaseGrant, Reply},
        transport::Transport,
    },
};
use cornelrail_testutils::{
    ledger::Ledger,
    target::{StandIn, TargetSettings},
    tls,
};
use std::{
    error::Error,
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};
use tempfile::TempDir;
use tokio::runtime::Handle;

const FREE_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const LIMIT: Duration = Duration::from_secs(5);
const ORDERS: u64 = 2_000;
const CALLS: u32 = 2_000;
const RANGES_PER_TARGET: u64 = 16;
/// Length of a clock tick in `/proc/self/stat`.
const TICK_US: f64 = 10_000.0;

/// Measures lease orders against the grants in them.
pub async fn orders(table: &mut Table, run: u32) -> Result<(), Box<dyn Error>> {
    for grants in [1, 16, 64, 256] {
        let settings = TargetSettings::new("payroll-core-00001", "payroll-core", "zone-01");
        let target = StandIn::start(settings, Arc::new(Ledger::default())).await?;
        let link = TargetLink::start(&Handle::current(), target.address());
        let mut order = LeaseOrder {
            incarnation: target.incarnation(),
            epoch: Epoch(1_000_000),
            serial: 0,
            until_ms: 0,
            grants: granted(grants),
            drain: false,
        };
        let (begun, spent) = (Instant::now(), processor_us());
        for _ in 0..ORDERS {
            order.serial += 1;
            link.renew(&order, LIMIT).await?;
        }
        add(
            table,
            "order_http",
            grants as usize,
            run,
            ORDERS as f64,
            begun,
            spent,
        );
    }
    Ok(())
}

fn granted(count: u64) -> Vec<Grant> {
    let ranges = KeyRange::partition(count).into_iter();
    let grant = |range| Grant {
        range,
        fence: Fence(1_000_000),
    };
    ranges.map(grant).collect()
}

fn add(table: &mut Table, slope: &str, x: usize, run: u32, count: f64, begun: Instant, spent: f64) {
    let core = (processor_us() - spent) / count;
    let wall = begun.elapsed().as_secs_f64() * 1e6 / count;
    table.add(&format!("{slope}_core_us"), x, run, core, "us");
    table.add(&format!("{slope}_us"), x, run, wall, "us");
}

/// Processor time of this process, in microseconds.
fn processor_us() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields = after_name.split_whitespace();
    let ticks: f64 = fields
        .skip(11)
        .take(2)
        .filter_map(|f| f.parse::<f64>().ok())
        .sum();
    ticks * TICK_US
}

/// Measures heartbeats with the loads of all ranges, against the targets of the home.
pub async fn reports(table: &mut Table, folder: &Path, run: u32) -> Result<(), Box<dyn Error>> {
    let root = TempDir::new_in(folder)?;
    let nodes = [Node(1), Node(2)];
    let keys = tls::make(root.path(), &nodes)?;
    for targets in [0, 4, 16, 64] {
        let leader = Transport::bind(&settings(nodes[0], &keys[0], FREE_PORT))?;
        let address = leader.address()?;
        let server = tokio::spawn(serve(leader));
        let transport = Transport::bind(&settings(nodes[1], &keys[1], address))?;
        let link = PeerLink::start(transport, peer(nodes[0], address));
        let call = Call::Report(Box::new(report(targets)));
        link.call(&call, LIMIT).await.ok_or("no leader answers")?;
        let (begun, spent) = (Instant::now(), processor_us());
        for _ in 0..CALLS {
            link.call(&call, LIMIT).await.ok_or("no answer")?;
        }
        add(
            table,
            "report_quic",
            targets as usize,
            run,
            f64::from(CALLS),
            begun,
            spent,
        );
        drop(link);
        let datagrams = server.await?.ok_or("no connection")?;
        let bytes = datagrams as f64 / f64::from(CALLS + 1);
        table.add("report_wire_bytes", targets as usize, run, bytes, "B");
    }
    Ok(())
}

/// Answers reports until as many have come as are sent; gives the bytes in both directions.
async fn serve(leader: Transport) -> Option<u64> {
    let connection = leader.accept().await?.await.ok()?;
    for _ in 0..=CALLS {
        let (mut tx, mut rx) = connection.accept_bi().await.ok()?;
        wire::read_message::<Call>(&mut rx).await.ok()?;
        let reply = Reply::Lease(LeaseGrant {
            lease: Duration::from_millis(900),
            latest: 1_000_000,
            snapshot: None,
            commands: Vec::new(),
        });
        wire::write_message(&mut tx, &reply).await.ok()?;
        tx.finish().ok()?;
    }
    let stats = connection.stats();
    // The last answer has to leave before the endpoint is dropped.
    connection.closed().await;
    Some(stats.udp_tx.bytes + stats.udp_rx.bytes)
}

fn report(targets: u64) -> EntryReport {
    let zone = Zone::from("zone-01");
    let mut report =
        EntryReport::heartbeat(Node(2), zone, Incarnation(1_764_800_000_000), 1_000_000);
    let ranges = KeyRange::partition(targets * RANGES_PER_TARGET).into_iter();
    if targets > 0 {
        report.loads = ranges.map(load).collect();
    }
    report
}

fn load(range: KeyRange) -> RangeLoad {
    RangeLoad {
        service: Service::from("payroll-core"),
        range,
        rate: 188.0,
        p95_ms: 12.0,
        busiest_key: Some(BusiestKey {
            hash: KeyHash(range.first().0 + 1),
            rate: 3.0,
        }),
    }
}

fn peer(node: Node, address: SocketAddr) -> Peer {
    Peer {
        node,
        zone: Zone::from("zone-01"),
        address,
        voter: true,
    }
}

/// Settings of an entry that knows the leader at `leader`.
fn settings(node: Node, tls: &Tls, leader: SocketAddr) -> Settings {
    Settings {
        fleet: "capacity".to_owned(),
        node,
        zone: Zone::from("zone-01"),
        listen: Listen {
            callers: FREE_PORT,
            targets: FREE_PORT,
            operators: FREE_PORT,
            peers: FREE_PORT,
        },
        peers: vec![peer(Node(1), leader), peer(Node(2), FREE_PORT)],
        data: None,
        tls: tls.clone(),
        operators: Vec::new(),
        timing: Timing::default(),
        sending: Sending::Home,
        assigner: Assigner::Weighted,
        log: Log::default(),
        limits: Limits::default(),
        once: Once::default(),
    }
}
