//! Targets that draw their behaviour by seed, and callers that leave, repeat and keep connections: what
//! a seeded fleet promises is checked from outside.
//!
//! `DRAWN_SEEDS=50` plays more seeds than the few that run by default, `DRAWN_FIRST=49` begins at that
//! seed.

use crate::test_seeded::{Fleet, PATIENCE, call, fleet_with, order, set_up};
use cornelrail_testutils::scripted::{self, Ask, Record, Reply, drawn_body, rng_of};
use rand_chacha::{ChaCha8Rng, rand_core::RngCore};
use serde_json::json;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::TcpStream,
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

/// Time for which callers send requests.
const LENGTH: Duration = Duration::from_secs(6);
/// Callers at a time.
const CALLERS: u32 = 12;
/// Requests that a target may get in the rest of a pause.
const ALLOWED: usize = 2;
/// Longest deadline of a caller, and the time that its target may still work.
const LAST_RUNS: Duration = Duration::from_millis(2_500);
/// Seeds that CI plays.
const DEFAULT_SEEDS: u64 = 3;

/// What callers were told of the sendings of one request that must not run twice.
#[derive(Debug, Default)]
struct Told {
    sendings: usize,
    not_run: usize,
    wrong_answers: Vec<String>,
}

/// Answer as a caller sees it.
#[derive(Debug)]
struct Seen {
    status: u16,
    id: String,
    body: Vec<u8>,
    /// Whether the connection goes on.
    kept: bool,
}

struct Caller {
    callers: SocketAddr,
    rng: ChaCha8Rng,
    stream: Option<BufReader<TcpStream>>,
    told: BTreeMap<String, Told>,
}

impl Caller {
    fn below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound
    }

    async fn run(mut self, name: u32) -> BTreeMap<String, Told> {
        let begun = Instant::now();
        let mut number = 0;
        while begun.elapsed() < LENGTH {
            number += 1;
            let id = format!("c{name}-{number}");
            // A promise that it has not run allows the same request again, also by its identity.
            while self.send(&id).await == Some(503) && self.below(2) == 0 {}
            sleep(Duration::from_millis(self.below(60))).await;
        }
        self.told
    }

    /// Sends a request; gives the status if there is an answer.
    async fn send(&mut self, id: &str) -> Option<u16> {
        let is_safe = self.below(3) == 0;
        let (method, path) = if is_safe {
            ("GET", "/r/x")
        } else {
            ("POST", "/w/x")
        };
        let deadline = [300, 2_000][self.below(2) as usize];
        let key = self.below(65_536);
        let leaves_after = match self.below(2) {
            0 => Duration::from_millis(self.below(400)),
            _ => PATIENCE,
        };
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: {deadline}\r\nShard-Key: {key}\r\nContent-Length: 0\r\n\r\n"
        );
        let told = self.told.entry(id.to_owned()).or_default();
        // Safe requests may run more than once.
        told.sendings += if is_safe { usize::MAX / 1_000 } else { 1 };
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => BufReader::new(TcpStream::connect(self.callers).await.expect("an entry")),
        };
        let talking = async {
            stream.write_all(request.as_bytes()).await.ok()?;
            read_answer(&mut stream).await
        };
        let seen = timeout(leaves_after, talking).await.ok()??;
        if !(200..300).contains(&seen.status) && matches!(seen.status, 503 | 429 | 408 | 421) {
            told.not_run += 1;
        }
        // A target may leave the identity out.
        let is_named = seen.id.is_empty() || seen.id == id;
        let is_own = is_named && seen.body == drawn_body(id).as_bytes();
        if seen.status == 200 && !is_own {
            told.wrong_answers.push(format!("{seen:?}"));
        }
        if seen.kept {
            self.stream = Some(stream);
        }
        Some(seen.status)
    }
}

/// Reads a whole answer; `None` if it ends early.
async fn read_answer(stream: &mut BufReader<TcpStream>) -> Option<Seen> {
    let mut seen = Seen {
        status: 0,
        id: String::new(),
        body: Vec::new(),
        kept: true,
    };
    let (mut length, mut chunked) = (None, false);
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_lowercase();
        match line.split_once(": ") {
            _ if seen.status == 0 => seen.status = line.split(' ').nth(1)?.parse().ok()?,
            Some(("request-id", id)) => seen.id = id.to_owned(),
            Some(("content-length", text)) => length = Some(text.parse::<usize>().ok()?),
            Some(("transfer-encoding", _)) => chunked = true,
            Some(("connection", "close")) => seen.kept = false,
            _ if line.is_empty() => break,
            _ => {}
        }
    }
    match length {
        _ if chunked => read_chunks(stream, &mut seen.body).await?,
        Some(length) => {
            seen.body = vec![0; length];
            stream.read_exact(&mut seen.body).await.ok()?;
        }
        None => {
            seen.kept = false;
            stream.read_to_end(&mut seen.body).await.ok()?;
        }
    }
    Some(seen)
}

async fn read_chunks(stream: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await.ok()?;
        let length = usize::from_str_radix(line.trim_end(), 16).ok()?;
        let mut chunk = vec![0; length + 2];
        stream.read_exact(&mut chunk).await.ok()?;
        if length == 0 {
            return Some(());
        }
        body.extend_from_slice(&chunk[..length]);
    }
}

/// Heartbeats of another writer under the target's name, until the task ends.
async fn send_odd_heartbeats(control: SocketAddr, address: SocketAddr, mut rng: ChaCha8Rng) {
    loop {
        let mut beat = json!({
            "service": "pool", "address": address, "zone": "a", "version": "v1", "slots": 4,
            "state": "ready", "coldRemaining": "0ms", "seq": 1, "born": 1000, "holds": [],
            "released": [],
        });
        let (field, value) = match rng.next_u32() % 6 {
            0 => ("born", json!(u64::MAX)),
            1 => ("born", json!(9_999_999)),
            2 => ("seq", json!(u64::MAX)),
            3 => ("address", json!("127.0.0.1:0")),
            4 => ("service", json!(["pool"])),
            _ => ("slots", json!(u64::MAX)),
        };
        beat[field] = value;
        call(control, "instances.heartbeat&of=t-1", &beat).await;
        sleep(Duration::from_millis(u64::from(rng.next_u32() % 800))).await;
    }
}

/// Callers of one fleet, whose target draws its answers, for a while.
async fn soak(seed: u64, keyed: bool) -> (BTreeMap<String, Told>, Arc<Record>) {
    let record = Arc::<Record>::default();
    let served = record.clone();
    let script = move |ask: &Ask| match ask.id.starts_with('c') {
        true => scripted::draw(seed, ask),
        false => Reply::answer(ask, "fine"),
    };
    let fleet = fleet_with(|listener, _| scripted::serve(listener, served, script)).await;
    set_up(&fleet).await;
    if keyed {
        key(&fleet).await;
    }
    let rng = rng_of(seed, "odd", 0);
    let odd = tokio::spawn(send_odd_heartbeats(
        fleet.control,
        fleet.target.address,
        rng,
    ));
    let mut callers = JoinSet::new();
    for name in 0..CALLERS {
        let caller = Caller {
            callers: fleet.callers,
            rng: rng_of(seed, "caller", u64::from(name)),
            stream: None,
            told: BTreeMap::new(),
        };
        callers.spawn(caller.run(name));
    }
    let told = callers.join_all().await.into_iter().flatten().collect();
    sleep(LAST_RUNS).await;
    odd.abort();
    (told, record)
}

/// Gives each key of the service one owner.
async fn key(fleet: &Fleet) {
    let mut order = order(8, "2000ms");
    order["upsert"]["services"]["pool"]["useShards"] = json!(true);
    let keyed = call(fleet.control, "config.patch", &order).await;
    assert_eq!(keyed.map(|(status, _)| status), Some(200));
    sleep(Duration::from_secs(2)).await;
}

/// Names each promise that a run has broken.
fn broken_promises(told: &BTreeMap<String, Told>, record: &Record) -> Vec<String> {
    let mut broken = Vec::new();
    if let Some((pause, arrived)) = record.worst_pause()
        && arrived.len() > ALLOWED
    {
        let times = arrived.iter().map(|one| (one.at - pause.at, &one.id));
        let times: Vec<_> = times.collect();
        broken.push(format!(
            "{} requests in a pause of {:?} that {:?} began: {times:?}",
            arrived.len(),
            pause.length,
            pause.ask
        ));
    }
    for (id, told) in told {
        let runs = record.runs(id);
        if runs > told.sendings - told.not_run {
            broken.push(format!("{id} ran {runs} times: {told:?}"));
        }
        if !told.wrong_answers.is_empty() {
            broken.push(format!("{id} got {:?}", told.wrong_answers));
        }
    }
    broken
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_that_draws_its_faults_makes_the_fleet_break_a_promise() {
    let seeds = std::env::var("DRAWN_SEEDS").ok();
    let seeds = seeds.map_or(DEFAULT_SEEDS, |text| text.parse().expect("a number"));
    let first = std::env::var("DRAWN_FIRST").ok();
    let first = first.map_or(1, |text| text.parse().expect("a number"));

    for seed in first..=seeds {
        let (told, record) = soak(seed, seed.is_multiple_of(2)).await;

        let answered = told.values().filter(|told| told.sendings > told.not_run);
        assert!(answered.count() > 100, "seed {seed}: too few to tell");
        let broken = broken_promises(&told, &record);
        assert!(broken.is_empty(), "seed {seed}: {broken:#?}");
    }
}
