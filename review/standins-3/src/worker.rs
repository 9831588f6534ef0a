//! A worker: serves requests, sends status reports, and holds keys as it is told.

use crate::{
    http::{self, Buffer, Message, Received},
    keys::{Grant, Held, Keys, Row, parse_grant},
    record::Record,
};
use std::{
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Interval between status reports.
const HEARTBEAT: Duration = Duration::from_millis(870);
/// Time without an answer after which the next node is called.
const ANSWER_TIME: Duration = Duration::from_secs(1);
/// Pause before a further status report while keys are released.
const RELEASE_PAUSE: Duration = Duration::from_millis(80);
/// Pause before the next node is called.
const NODE_PAUSE: Duration = Duration::from_millis(50);
/// Time that a request takes.
const WORK: Duration = Duration::from_millis(20);
/// Time for which a worker is cold after its start.
const COLD: Duration = Duration::from_secs(3);
/// Time for which an idle connection is kept.
const IDLE: Duration = Duration::from_secs(5);
/// Pause between two looks whether the worker has ended.
const LOOK: Duration = Duration::from_millis(20);

/// What a worker is started with.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Its id.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where it serves requests.
    pub address: SocketAddr,
    /// Nodes that it reports to, in the order in which it picks them.
    pub nodes: Vec<SocketAddr>,
    /// Whether its service is divided by key.
    pub is_keyed: bool,
    /// Whether it starts during traffic.
    pub is_cold: bool,
}

/// A request that a worker got, and whether it ran it.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When, in seconds of the record.
    pub at: f64,
    /// Identity of the request.
    pub id: String,
    /// Whether it was run.
    pub runs: bool,
}

#[derive(Debug)]
struct Shared {
    plan: Plan,
    record: Arc<Record>,
    born: u64,
    begun: Instant,
    seq: AtomicU64,
    ends: AtomicBool,
    leaves: AtomicBool,
    acks: AtomicU64,
    keys: Mutex<Keys>,
    arrivals: Mutex<Vec<Arrival>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A running worker.
#[derive(Debug)]
pub struct Worker {
    shared: Arc<Shared>,
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.crash();
    }
}

impl Worker {
    /// Starts a worker.
    pub fn start(record: &Arc<Record>, plan: Plan) -> io::Result<Worker> {
        let listener = TcpListener::bind(plan.address)?;
        listener.set_nonblocking(true)?;
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let shared = Arc::new(Shared {
            record: record.clone(),
            born: since.unwrap_or_default().as_millis() as u64,
            begun: Instant::now(),
            seq: AtomicU64::new(0),
            ends: AtomicBool::new(false),
            leaves: AtomicBool::new(false),
            acks: AtomicU64::new(0),
            keys: Mutex::default(),
            arrivals: Mutex::default(),
            plan,
        });
        let name = &shared.plan.name;
        record.note(&format!("worker {name}: starts, born {}", shared.born));
        let serving = shared.clone();
        thread::spawn(move || serving.accept(&listener));
        let reporting = shared.clone();
        thread::spawn(move || reporting.report_on());
        Ok(Worker { shared })
    }

    /// Ends it at once.
    pub fn crash(&self) {
        if !self.shared.ends.swap(true, Ordering::SeqCst) {
            lock(&self.shared.keys).end(Instant::now());
            let name = &self.shared.plan.name;
            self.shared.record.note(&format!("worker {name}: ends"));
        }
    }

    /// Number of status reports that were acknowledged.
    pub fn acks(&self) -> u64 {
        self.shared.acks.load(Ordering::SeqCst)
    }

    /// Number of status reports that were sent.
    pub fn reports(&self) -> u64 {
        self.shared.seq.load(Ordering::SeqCst)
    }

    /// Says that it leaves, without a report that it drains, and goes on to serve. Returns when that
    /// was acknowledged.
    pub fn leave(&self) -> Result<f64, String> {
        let Shared { plan, record, .. } = &*self.shared;
        self.shared.leaves.store(true, Ordering::SeqCst);
        let body = format!("{{\"born\":{}}}", self.shared.born);
        let call = format!("instances.leave&of={}", plan.name);
        crate::operator::order(record, &plan.nodes, &call, &body, Duration::from_secs(4))
    }

    /// Rows that it holds now.
    pub fn rows(&self) -> Vec<Row> {
        lock(&self.shared.keys).held(Instant::now()).to_vec()
    }

    /// All that it held, and when.
    pub fn spans(&self) -> Vec<Held> {
        lock(&self.shared.keys).spans().to_vec()
    }

    /// Requests that it got.
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.shared.arrivals).clone()
    }
}

impl Shared {
    fn has_ended(&self) -> bool {
        self.ends.load(Ordering::SeqCst)
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        while !self.has_ended() {
            match listener.accept() {
                Ok((stream, _)) => {
                    let shared = self.clone();
                    thread::spawn(move || shared.serve(stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nonblocking(false).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(LOOK)).ok()?;
        let mut buffer = Buffer::default();
        let mut idle = Instant::now();
        while !self.has_ended() && idle.elapsed() < IDLE {
            match buffer.receive(&mut stream).ok()? {
                Received::Whole(request) => {
                    let answer = self.answer(&request);
                    if self.has_ended() {
                        return None;
                    }
                    stream.write_all(answer.as_bytes()).ok()?;
                    idle = Instant::now();
                }
                Received::Ended => return None,
                Received::Waiting => {}
            }
        }
        None
    }

    fn answer(&self, request: &Message) -> String {
        let leaves = self.leaves.load(Ordering::SeqCst);
        let mut fields = format!(
            "Keep-Alive: timeout={}\r\nServer-Load: 0,0,4,100\r\n",
            IDLE.as_secs()
        );
        if leaves {
            fields.push_str("Server-Leaving: 1\r\n");
        }
        if request.path() == "/health" {
            fields.push_str(&format!("Instance-Id: {}\r\n", self.plan.name));
            let status = if leaves { 503 } else { 200 };
            return format!("HTTP/1.1 {status} X\r\n{fields}Content-Length: 0\r\n\r\n");
        }
        let id = request.field("request-id").unwrap_or("").to_owned();
        fields.push_str(&format!(
            "Request-Id: {id}\r\nResponse-Signature: 1b.{id}\r\n"
        ));
        let expected = request.field("expect-instance");
        let key = request.field("shard-key").and_then(|key| key.parse().ok());
        let is_mine = expected.is_none_or(|name| name == self.plan.name);
        let holds = |key| lock(&self.keys).holds(Instant::now(), key);
        let runs = is_mine && (!self.plan.is_keyed || key.is_some_and(holds));
        let at = self.record.now();
        let name = &self.plan.name;
        let what = if runs { "runs" } else { "turns away" };
        self.record.note(&format!("worker {name}: {what} {id}"));
        lock(&self.arrivals).push(Arrival { at, id, runs });
        if !runs {
            fields.push_str("Not-Executed: 1\r\n");
            return format!("HTTP/1.1 421 X\r\n{fields}Content-Length: 0\r\n\r\n");
        }
        thread::sleep(WORK);
        format!("HTTP/1.1 200 OK\r\n{fields}Content-Length: 4\r\n\r\ndone")
    }

    /// Sends status reports until the worker ends.
    fn report_on(&self) {
        let mut node = 0;
        while !self.has_ended() {
            let begun = Instant::now();
            let releases = self.report(&mut node);
            let pause = match releases {
                true => RELEASE_PAUSE,
                false => HEARTBEAT.saturating_sub(begun.elapsed()),
            };
            thread::sleep(pause);
        }
    }

    /// Sends one status report, to one node after the other until it is acknowledged; returns whether
    /// keys were released by the answer.
    fn report(&self, node: &mut usize) -> bool {
        for _ in 0..self.plan.nodes.len() {
            if self.has_ended() {
                return false;
            }
            let address = self.plan.nodes[*node % self.plan.nodes.len()];
            let sent = Instant::now();
            let (body, reported) = self.report_body(sent);
            let line = format!("POST /-/rpc?call=instances.heartbeat&of={}", self.plan.name);
            let fields = [("Content-Type", "application/json".to_owned())];
            let seq = self.seq.load(Ordering::SeqCst);
            let name = &self.plan.name;
            self.record
                .note(&format!("worker {name}: report {seq} to {address}"));
            let answer = http::call(address, &line, &fields, &body, ANSWER_TIME);
            let status = answer.as_ref().map_or(0, Message::status);
            self.record
                .note(&format!("worker {name}: report {seq} answered {status}"));
            match answer {
                Ok(answer) if status == 200 => {
                    return self.take(sent, parse_grant(&answer.text()), reported);
                }
                _ => *node += 1,
            }
            thread::sleep(NODE_PAUSE);
        }
        false
    }

    fn take(&self, sent: Instant, grant: Option<Grant>, reported: usize) -> bool {
        self.acks.fetch_add(1, Ordering::SeqCst);
        let Some(grant) = grant.filter(|_| !self.has_ended()) else {
            return false;
        };
        let mut keys = lock(&self.keys);
        let before = keys.held(Instant::now()).to_vec();
        let releases = keys.take(Instant::now(), sent, &grant, reported);
        let after = keys.held(Instant::now()).to_vec();
        drop(keys);
        if before != after {
            let rows = after.iter();
            let rows: Vec<String> = rows
                .map(|row| format!("{}-{}:{}", row.first, row.last, row.fence))
                .collect();
            let name = &self.plan.name;
            self.record
                .note(&format!("worker {name}: holds {}", rows.join(" ")));
        }
        releases
    }

    fn report_body(&self, now: Instant) -> (String, usize) {
        let plan = &self.plan;
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let cold = match plan.is_cold {
            true => COLD.saturating_sub(self.begun.elapsed()),
            false => Duration::ZERO,
        };
        let mut reported = 0;
        let lists = plan.is_keyed.then(|| {
            let keys = lock(&self.keys);
            let holds = keys.held(now).iter();
            let holds: Vec<String> = holds
                .map(|row| format!("[{},{},{}]", row.first, row.last, row.fence))
                .collect();
            let released = keys.released();
            reported = released.len();
            let released: Vec<String> = released
                .iter()
                .map(|row| format!("[{},{},\"{:016x}\"]", row.first, row.last, row.fence))
                .collect();
            format!(
                ",\"holds\":[{}],\"released\":[{}]",
                holds.join(","),
                released.join(",")
            )
        });
        let body = format!(
            "{{\"service\":\"payroll-core\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":4,\"state\":\"ready\",\"coldRemaining\":\"{}ms\",\"seq\":{seq},\
             \"born\":{}{}}}",
            plan.address,
            plan.zone,
            cold.as_millis(),
            self.born,
            lists.unwrap_or_default()
        );
        (body, reported)
    }
}
