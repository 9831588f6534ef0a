//! A sound worker: runs requests on keys that it holds, and renews them by status reports.

use crate::{
    http::{Message, Wire, call},
    json::Json,
    record::Record,
};
use std::{
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Pause between two status reports, and between those of a worker that releases keys.
const BEAT: Duration = Duration::from_millis(870);
const SHORT_BEAT: Duration = Duration::from_millis(90);
/// Time for the answer to a status report.
const BEAT_LIMIT: Duration = Duration::from_millis(1_000);
/// Time that a request runs.
const WORK: Duration = Duration::from_millis(20);

/// Keys from, to, and their generation number.
pub type Row = (u64, u64, u64);

#[derive(Debug, Default)]
struct Holds {
    rows: Vec<Row>,
    until: Option<Instant>,
    released: Vec<Row>,
}

/// How a worker frames its answers.
pub type Framing = fn(id: &str, body: &str) -> Vec<u8>;

/// Settings of one worker.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its zone.
    pub zone: &'static str,
    /// Whether the service is divided by key.
    pub keyed: bool,
    /// Addresses for status reports.
    pub control: Vec<SocketAddr>,
    /// How it writes a success.
    pub framing: Framing,
}

/// A running worker; it ends with this value.
#[derive(Debug)]
pub struct Worker {
    /// Its address.
    pub address: SocketAddr,
    /// When it started, in Unix ms.
    pub born: u128,
    state: Arc<State>,
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.state.stop.store(true, Ordering::Relaxed);
    }
}

/// A success with its length.
pub fn plain(id: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: 1.1.1\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

#[derive(Debug)]
struct State {
    settings: Settings,
    holds: Mutex<Holds>,
    record: Record,
    stop: AtomicBool,
    /// Number of the latest status report.
    seq: AtomicU64,
}

impl Worker {
    /// Starts a worker.
    pub fn start(settings: Settings, record: &Record) -> Worker {
        let listener = TcpListener::bind((settings.ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = now.map_or(0, |d| d.as_millis());
        let state = Arc::new(State {
            settings,
            holds: Mutex::default(),
            record: record.clone(),
            stop: AtomicBool::new(false),
            seq: AtomicU64::new(0),
        });
        let serving = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = serving.clone();
                thread::spawn(move || state.serve(stream));
            }
        });
        let beating = state.clone();
        thread::spawn(move || beating.beat(address, born));
        Worker {
            address,
            born,
            state,
        }
    }

    /// Its settings.
    pub fn settings(&self) -> &Settings {
        &self.state.settings
    }

    /// Number of its latest status report.
    pub fn seq(&self) -> u64 {
        self.state.seq.load(Ordering::Relaxed)
    }

    /// Keys that it holds at this moment.
    pub fn held(&self) -> Vec<Row> {
        let holds = self.state.holds.lock().expect("no holder panics");
        match holds.until {
            Some(until) if Instant::now() < until => holds.rows.clone(),
            _ => Vec::new(),
        }
    }
}

impl State {
    fn serve(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        while let Ok(Some(request)) = wire.read() {
            let answer = self.answer(&request);
            if !request.whole || wire.stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let id = request.field("request-id").unwrap_or_default();
        let mut words = request.first.split(' ');
        let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let own = &self.settings.id;
        if path == "/health" {
            let text =
                format!("HTTP/1.1 200 OK\r\nInstance-Id: {own}\r\nContent-Length: 0\r\n\r\n");
            return text.into_bytes();
        }
        let expected = request.field("expect-instance").is_none_or(|e| e == own);
        let key = request.field("shard-key").and_then(|k| k.parse().ok());
        if !request.whole {
            return Vec::new();
        }
        if !expected || !self.may_run(key) {
            self.record
                .note(format_args!("worker {own} turns away {id} {method} {path}"));
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n\
                 Response-Signature: 1.1.1\r\nContent-Length: 0\r\n\r\n"
            );
            return text.into_bytes();
        }
        let body = String::from_utf8_lossy(&request.body);
        self.record.note(format_args!(
            "worker {own} runs {id} {method} {path} body={body:?}"
        ));
        thread::sleep(WORK);
        let length = request.body.len();
        (self.settings.framing)(id, &format!("answer to {id}: {own} ran {length} bytes"))
    }

    fn may_run(&self, key: Option<u64>) -> bool {
        if !self.settings.keyed {
            return true;
        }
        let holds = self.holds.lock().expect("no holder panics");
        let live = holds.until.is_some_and(|until| Instant::now() < until);
        live && key.is_some_and(|k| holds.rows.iter().any(|(a, b, _)| (*a..=*b).contains(&k)))
    }

    fn beat(&self, address: SocketAddr, born: u128) {
        let mut turn = 0;
        while !self.stop.load(Ordering::Relaxed) {
            let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
            let sent = Instant::now();
            let (body, released) = self.report(address, born, seq);
            let line = format!(
                "POST /-/rpc?call=instances.heartbeat&of={}",
                self.settings.id
            );
            let fields = [("Host", "control"), ("Content-Type", "application/json")];
            let control = self.settings.control[turn % self.settings.control.len()];
            let answer = call(control, &line, &fields, body.as_bytes(), BEAT_LIMIT);
            let mut pause = BEAT;
            match answer.filter(|a| a.status() == 200 && a.whole) {
                Some(answer) if self.take(sent, &answer, released) => pause = SHORT_BEAT,
                Some(_) => {}
                None => {
                    turn += 1;
                    pause = SHORT_BEAT;
                }
            }
            thread::sleep(pause);
        }
    }

    fn report(&self, address: SocketAddr, born: u128, seq: u64) -> (String, usize) {
        let mut holds = self.holds.lock().expect("no holder panics");
        if holds.until.is_some_and(|until| Instant::now() >= until) {
            holds.rows.clear();
        }
        let rows = |rows: &[Row]| -> String {
            let rows: Vec<_> = rows
                .iter()
                .map(|(a, b, f)| format!("[{a},{b},{f}]"))
                .collect();
            rows.join(",")
        };
        let gone: Vec<_> = holds
            .released
            .iter()
            .map(|(a, b, f)| format!("[{a},{b},\"h{f}\"]"))
            .collect();
        let Settings { service, zone, .. } = &self.settings;
        let text = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":4,\"state\":\"ready\",\"coldRemaining\":\"0ms\",\
             \"seq\":{seq},\"born\":{born},\"holds\":[{}],\"released\":[{}]}}",
            rows(&holds.rows),
            gone.join(",")
        );
        (text, gone.len())
    }

    /// Takes the answer to a status report; true if another report is due soon.
    fn take(&self, sent: Instant, answer: &Message, released: usize) -> bool {
        let mut holds = self.holds.lock().expect("no holder panics");
        holds.released.drain(..released);
        let body = Json::parse(&String::from_utf8_lossy(&answer.body));
        let Some(granted) = body.as_ref().and_then(|b| b.get("holds")) else {
            return false;
        };
        let time = body
            .as_ref()
            .and_then(|b| b.get("hold_time"))
            .and_then(Json::text);
        let ms = time
            .and_then(|t| t.strip_suffix("ms"))
            .and_then(|t| t.parse().ok());
        let row = |row: &Json| {
            let cell = |n: usize| row.list().get(n).and_then(Json::integer);
            Some((cell(0)?, cell(1)?, cell(2)?))
        };
        let rows: Vec<Row> = granted.list().iter().filter_map(row).collect();
        let former = std::mem::replace(&mut holds.rows, rows);
        let gone = former
            .iter()
            .filter(|r| !holds.rows.contains(r))
            .copied()
            .collect::<Vec<_>>();
        let releases = !gone.is_empty();
        holds.released.extend(gone);
        holds.until = Some(sent + Duration::from_millis(ms.unwrap_or(0)));
        releases
    }
}
