//! Real processes under faults in series and at once: core hosts are killed, frozen and cut off from each
//! other, entries stopped and killed, while operators send orders, limits change, a zone is taken out of
//! service and back, and callers use their connections until these close.
//!
//! `SOAK_SEEDS=50` plays more seeds than the few that run by default, `SOAK_FIRST=49` begins at that seed.

use crate::{
    seeded::{CORES, Hosts, send},
    test_seeded::call,
};
use cornelrail_testutils::scripted::{self, Ask, Record, Reply, drawn_body, rng_of};
use rand_chacha::{ChaCha8Rng, rand_core::RngCore};
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    env,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

const ENTRIES: usize = 3;
const TARGETS: usize = 3;
/// Place of the target whose zone is taken out of service and back; the only one of its service.
const AWAY: usize = 2;
const CALLERS: u64 = 12;
const OPERATORS: u64 = 2;
/// Time for which there are faults.
const FAULTS: Duration = Duration::from_secs(8);
/// Time after the last fault in which the fleet is whole again.
const RECOVERY: Duration = Duration::from_secs(15);
/// Time that a target works on a request.
const WORK: Duration = Duration::from_millis(20);
/// Time that callers wait.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Seeds that CI plays.
const DEFAULT_SEEDS: u64 = 2;

/// What a caller has seen of a request that must not run twice.
#[derive(Debug)]
enum Seen {
    /// Status, and whether the answer was its own and whole.
    Answer(u16, bool),
    /// The connection ended without an answer, on an entry that was not killed or frozen meanwhile.
    Cut,
    /// Nothing that tells of the fleet.
    Nothing,
}

/// Highest version of each name that was acknowledged, and whether it sets the item.
type Acked = BTreeMap<String, (u64, bool)>;

struct Soak {
    stop: AtomicBool,
    /// Entries that only planned stops have met so far.
    planned: [AtomicBool; ENTRIES],
}

impl Soak {
    fn is_over(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }
}

async fn beat(controls: Vec<SocketAddr>, place: usize, address: SocketAddr) {
    let (zone, service) = match place {
        AWAY => ("b", "far"),
        _ => ("a", "pool"),
    };
    for serial in 1_u64.. {
        let body = json!({
            "service": service, "address": address.to_string(), "zone": zone, "version": "v1",
            "slots": 40, "state": "ready", "coldRemaining": "0ms", "seq": serial, "born": 1000,
        });
        let control = controls[serial as usize % controls.len()];
        let query = format!("instances.heartbeat&of=t-{place}");
        // A host that is away gets the next one.
        let _ = timeout(DEADLINE, call(control, &query, &body)).await;
        sleep(Duration::from_millis(100)).await;
    }
}

fn route(name: &str, version: u64) -> Value {
    json!({"host": "h.example", "pathPrefix": format!("/{name}/"), "kind": "unsafe",
        "timeout": "2000ms", "targetLatency": "500ms", "priority": 1, "service": "pool",
        "maxAttempts": 2, "version": format!("{version:08x}")})
}

fn first_order() -> Value {
    let service = json!({"healthPath": "/health", "maxConns": 400, "protocol": "h1", "tls": false,
        "version": "00000001"});
    let mut far = route("far", 1);
    far["service"] = json!("far");
    json!({"upsert": {
        "routes": {"w": route("w", 1), "far": far},
        "services": {"pool": service, "far": service},
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4_000_000, "headerTimeout": "3000ms",
            "idleTimeout": "15000ms", "version": "00000001"},
    }, "remove": {"routes": []}})
}

/// Sends orders for routes of its own, each to one host after the other until it is acknowledged.
async fn operate(
    soak: Arc<Soak>,
    controls: Vec<SocketAddr>,
    name: u64,
    mut rng: ChaCha8Rng,
) -> Acked {
    let mut acked = Acked::new();
    let mut version = 1;
    while !soak.is_over() {
        version += 1 + rng.next_u64() % 9;
        let route_name = format!("o{name}-{}", rng.next_u64() % 4);
        let sets = !rng.next_u64().is_multiple_of(3);
        let order = match sets {
            true => {
                json!({"upsert": {"routes": {route_name.as_str(): route(&route_name, version)}},
                "remove": {}})
            }
            false => json!({"upsert": {}, "remove": {"routes":
                [{"name": route_name, "version": format!("{version:08x}")}]}}),
        };
        let begun = Instant::now();
        loop {
            let control = controls[rng.next_u64() as usize % controls.len()];
            match timeout(DEADLINE, call(control, "config.patch", &order)).await {
                Ok(Some((200, _))) => break,
                Ok(Some((status @ 400..=499, body))) => {
                    panic!("a valid order is refused with {status}: {body}")
                }
                _ => sleep(Duration::from_millis(100)).await,
            }
            assert!(
                begun.elapsed() < FAULTS + RECOVERY,
                "no order is acknowledged"
            );
        }
        acked.insert(route_name, (version, sets));
        sleep(Duration::from_millis(rng.next_u64() % 100)).await;
    }
    acked
}

/// Takes a zone out of service and back, by way of one host after the other. Gives whether the last order
/// that was acknowledged takes it out.
async fn evacuate(soak: Arc<Soak>, controls: Vec<SocketAddr>, mut rng: ChaCha8Rng) -> bool {
    let mut is_out = false;
    while !soak.is_over() {
        let name = match is_out {
            true => "evacuate.end&of=b",
            false => "evacuate.start&of=b",
        };
        let begun = Instant::now();
        loop {
            let control = controls[rng.next_u64() as usize % controls.len()];
            let calling = timeout(DEADLINE, call(control, name, &Value::Null));
            if let Ok(Some((200, _))) = calling.await {
                break;
            }
            let late = begun.elapsed() >= FAULTS + RECOVERY;
            assert!(!late, "{name} is not acknowledged");
            sleep(Duration::from_millis(100)).await;
        }
        is_out = !is_out;
        sleep(Duration::from_millis(rng.next_u64() % 500)).await;
    }
    is_out
}

/// Changes the limits on requests, which connections follow while callers use them.
async fn change_limits(soak: Arc<Soak>, controls: Vec<SocketAddr>, mut rng: ChaCha8Rng) {
    for version in 2_u64.. {
        if soak.is_over() {
            return;
        }
        let limits = first_order()["upsert"]["limits"].take();
        let mut order = json!({"upsert": {"limits": limits}, "remove": {}});
        let drawn = &mut order["upsert"]["limits"];
        drawn["maxHeaderBytes"] = (8_192 + rng.next_u64() % 24_576).into();
        drawn["idleTimeout"] = format!("{}ms", 5_000 + rng.next_u64() % 10_000).into();
        drawn["version"] = format!("{version:08x}").into();
        let control = controls[rng.next_u64() as usize % controls.len()];
        // One that is not acknowledged is overtaken by the next.
        let _ = timeout(DEADLINE, call(control, "config.patch", &order)).await;
        sleep(Duration::from_millis(rng.next_u64() % 600)).await;
    }
}

/// Sends requests on a connection until it is closed, then on one to another entry.
async fn ask(
    soak: Arc<Soak>,
    callers: Vec<SocketAddr>,
    name: u64,
    mut rng: ChaCha8Rng,
) -> Vec<(String, Seen)> {
    // Where bodies come in chunks, an entry closes idle connections as limits change.
    let framed = match name.is_multiple_of(3) {
        true => "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
        false => "Content-Length: 0\r\n\r\n",
    };
    let mut seen = Vec::new();
    while !soak.is_over() {
        let entry = rng.next_u64() as usize % callers.len();
        let connecting = timeout(DEADLINE, TcpStream::connect(callers[entry])).await;
        let Ok(Ok(stream)) = connecting else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let mut stream = BufReader::new(stream);
        let mut is_open = true;
        while is_open && !soak.is_over() {
            let id = format!("c{name}-{}", seen.len());
            let request = format!(
                "POST /w/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\n\
                 Deadline-Ms: {}\r\n{framed}",
                DEADLINE.as_millis()
            );
            let talking = async {
                stream.write_all(request.as_bytes()).await.ok()?;
                read_answer(&mut stream, &id).await
            };
            let is_planned = || soak.planned[entry].load(Ordering::Relaxed);
            let outcome = match timeout(DEADLINE * 2, talking).await {
                Ok(Some((status, is_own, keeps))) => {
                    is_open = keeps;
                    Seen::Answer(status, is_own)
                }
                Ok(None) if is_planned() => Seen::Cut,
                _ => Seen::Nothing,
            };
            is_open &= matches!(outcome, Seen::Answer(..));
            seen.push((id, outcome));
            sleep(Duration::from_millis(rng.next_u64() % 40)).await;
        }
    }
    seen
}

/// Reads an answer: its status, whether it is the own and whole one, and whether the connection goes on.
async fn read_answer(stream: &mut BufReader<TcpStream>, id: &str) -> Option<(u16, bool, bool)> {
    let mut line = String::new();
    stream.read_line(&mut line).await.ok()?;
    let status: u16 = line.split(' ').nth(1)?.parse().ok()?;
    let (mut length, mut keeps, mut named) = (0, true, String::new());
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_ascii_lowercase();
        match line.split_once(": ") {
            Some(("content-length", value)) => length = value.parse().ok()?,
            Some(("connection", "close")) => keeps = false,
            Some(("request-id", value)) => named = value.to_owned(),
            _ if line.is_empty() => break,
            _ => {}
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    let is_own = named == id && body == drawn_body(id).as_bytes();
    Some((status, is_own, keeps))
}

/// Draws faults for some time; several may be in force at once. At the end all processes run.
async fn hurt(hosts: &mut Hosts, soak: &Soak, mut rng: ChaCha8Rng) {
    let begun = Instant::now();
    let mut frozen: BTreeMap<usize, Instant> = BTreeMap::new();
    let mut cut: BTreeMap<usize, Instant> = BTreeMap::new();
    while begun.elapsed() < FAULTS || !frozen.is_empty() || !cut.is_empty() {
        let now = Instant::now();
        for (place, _) in cut.iter().filter(|(_, end)| **end <= now) {
            hosts.set_cut_off(*place, false);
        }
        cut.retain(|_, end| *end > now);
        for (place, _) in frozen.iter().filter(|(_, end)| **end <= now) {
            hosts.signal(*place, "CONT");
        }
        frozen.retain(|_, end| *end > now);
        for place in 0..CORES + ENTRIES {
            if hosts.has_ended(place) {
                hosts.kill(place);
                hosts.spawn(place);
            }
        }
        let entry = CORES + rng.next_u64() as usize % ENTRIES;
        let core = rng.next_u64() as usize % CORES;
        let kind = if begun.elapsed() < FAULTS {
            rng.next_u64() % 12
        } else {
            99
        };
        let unplanned = |place: usize| soak.planned[place - CORES].store(false, Ordering::Relaxed);
        match kind {
            0 | 1 if !frozen.contains_key(&entry) => hosts.signal(entry, "TERM"),
            2 if !frozen.contains_key(&entry) => hosts.signal(entry, "HUP"),
            3 if !frozen.contains_key(&entry) => {
                unplanned(entry);
                hosts.kill(entry);
            }
            4 => {
                let place = if rng.next_u64().is_multiple_of(2) {
                    core
                } else {
                    entry
                };
                if place >= CORES {
                    unplanned(place);
                }
                hosts.signal(place, "STOP");
                frozen.insert(
                    place,
                    now + Duration::from_millis(200 + rng.next_u64() % 1_500),
                );
            }
            5 | 6 if !frozen.contains_key(&core) => hosts.kill(core),
            7 if !frozen.contains_key(&core) => hosts.signal(core, "TERM"),
            // All core hosts at once.
            8 if frozen.is_empty() && rng.next_u64().is_multiple_of(2) => {
                (0..CORES).for_each(|place| hosts.kill(place));
            }
            9 | 10 if cut.is_empty() => {
                hosts.set_cut_off(core, true);
                cut.insert(
                    core,
                    now + Duration::from_millis(500 + rng.next_u64() % 3_000),
                );
            }
            _ => {}
        }
        sleep(Duration::from_millis(rng.next_u64() % 400)).await;
    }
    // Processes that are still stopping end before the fleet counts as whole.
    sleep(Duration::from_secs(4)).await;
    for place in 0..CORES + ENTRIES {
        if hosts.has_ended(place) {
            hosts.kill(place);
            hosts.spawn(place);
        }
    }
}

/// Status of one request on a connection of its own, if its answer is its own and whole.
async fn ask_once(callers: SocketAddr, path: &str, id: &str) -> Option<u16> {
    let asking = async {
        let mut stream = BufReader::new(TcpStream::connect(callers).await.ok()?);
        let request = format!(
            "POST /{path}/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await.ok()?;
        read_answer(&mut stream, id).await
    };
    match timeout(DEADLINE, asking).await {
        Ok(Some((status, true, _))) => Some(status),
        _ => None,
    }
}

/// Waits until each entry serves the zone that is taken out and back as the last order says.
async fn check_zone(hosts: &Hosts, is_out: bool) {
    let begun = Instant::now();
    for callers in &hosts.callers {
        while (ask_once(*callers, "far", "far").await == Some(200)) == is_out {
            let late = begun.elapsed() >= RECOVERY;
            assert!(!late, "{callers} serves the zone otherwise, out: {is_out}");
            sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Waits until each entry serves, then compares each host's items with what was acknowledged.
async fn check_whole(hosts: &Hosts, acked: &Acked) {
    let begun = Instant::now();
    for callers in &hosts.callers {
        loop {
            if ask_once(*callers, "w", "last").await == Some(200) {
                break;
            }
            assert!(begun.elapsed() < RECOVERY, "{callers} serves nothing");
            sleep(Duration::from_millis(50)).await;
        }
    }
    for control in &hosts.controls {
        let (status, items) = send(*control, "config.get", &Value::Null).await;
        assert_eq!(status, 200);
        for (name, (version, sets)) in acked {
            let found = items["routes"][name.as_str()]["version"].as_str();
            let expected = sets.then(|| format!("{version:08x}"));
            assert_eq!(found, expected.as_deref(), "{name} at {control}");
        }
    }
}

async fn play(seed: u64) {
    let rng = |name: &str, number: u64| rng_of(seed, name, number);
    let mut hosts = Hosts::with_links(CORES, ENTRIES);
    let record = Arc::<Record>::default();
    let mut beats = JoinSet::new();
    for place in 0..TARGETS {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        scripted::serve(listener, record.clone(), |ask: &Ask| {
            Reply::answer(ask, &drawn_body(&ask.id)).after(WORK)
        });
        beats.spawn(beat(hosts.controls.clone(), place, address));
    }
    let (status, _) = send(hosts.controls[0], "config.patch", &first_order()).await;
    assert_eq!(status, 200);
    check_whole(&hosts, &Acked::new()).await;
    let soak = Arc::new(Soak {
        stop: AtomicBool::new(false),
        planned: [const { AtomicBool::new(true) }; ENTRIES],
    });
    let (mut asking, mut operating) = (JoinSet::new(), JoinSet::new());
    for name in 0..CALLERS {
        let rng = rng("caller", name);
        asking.spawn(ask(soak.clone(), hosts.callers.clone(), name, rng));
    }
    for name in 0..OPERATORS {
        let rng = rng("operator", name);
        operating.spawn(operate(soak.clone(), hosts.controls.clone(), name, rng));
    }
    let limiting = change_limits(soak.clone(), hosts.controls.clone(), rng("limits", 0));
    let limiting = tokio::spawn(limiting);
    let evacuating = evacuate(soak.clone(), hosts.controls.clone(), rng("zone", 0));
    let evacuating = tokio::spawn(evacuating);

    hurt(&mut hosts, &soak, rng("faults", 0)).await;
    soak.stop.store(true, Ordering::Relaxed);
    let seen: Vec<_> = asking.join_all().await.into_iter().flatten().collect();
    let acked: Acked = operating.join_all().await.into_iter().flatten().collect();
    limiting.await.expect("limits are changed until the end");
    let is_out = evacuating.await.expect("all orders are acknowledged");
    // What was sent last may still run.
    sleep(DEADLINE).await;

    let mut served = 0;
    for (id, outcome) in &seen {
        let runs = record.runs(id);
        assert!(runs <= 1, "seed {seed}: {id} has run {runs} times");
        match outcome {
            Seen::Answer(200, is_own) => {
                served += 1;
                assert!(is_own, "seed {seed}: {id} got another answer");
            }
            Seen::Answer(408 | 421 | 429 | 503, _) => {
                assert_eq!(runs, 0, "seed {seed}: {id} is said not to have run");
            }
            Seen::Cut => assert_eq!(runs, 0, "seed {seed}: {id} was cut off by a planned stop"),
            Seen::Answer(..) | Seen::Nothing => {}
        }
    }
    println!(
        "seed {seed}: {served} of {} served, {} routes",
        seen.len(),
        acked.len()
    );
    assert!(served > 0, "seed {seed}: nothing was served");
    check_whole(&hosts, &acked).await;
    check_zone(&hosts, is_out).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_fleet_under_faults_breaks_a_promise_to_callers_or_operators() {
    let number = |name: &str, usual: u64| {
        let text = env::var(name).ok();
        text.map_or(usual, |text| text.parse().expect("a number"))
    };
    let first = number("SOAK_FIRST", 1);
    for seed in first..first + number("SOAK_SEEDS", DEFAULT_SEEDS) {
        play(seed).await;
    }
}
