//! Workers of a service without keys.

use crate::{
    http::{self, Message},
    operator,
    record::Record,
};
use std::{
    io::Write,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const PAUSE: Duration = Duration::from_millis(2);

/// What a worker is.
#[derive(Debug, Clone)]
pub struct Kind {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    /// Unix time of its start in milliseconds.
    pub born: u64,
    /// Time that a request takes.
    pub work: Duration,
    /// Path of requests that crash it.
    pub deadly: Option<&'static str>,
}

/// One run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub request: String,
    pub line: String,
}

#[derive(Debug)]
struct Shared {
    kind: Kind,
    record: Record,
    hosts: Vec<SocketAddr>,
    is_up: AtomicBool,
    leaves: AtomicBool,
    sends: AtomicBool,
    serial: AtomicU64,
    runs: Mutex<Vec<Run>>,
    streams: Mutex<Vec<TcpStream>>,
}

/// One boot of a worker. It ends without a word when it is dropped.
#[derive(Debug)]
pub struct Worker(Arc<Shared>);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Worker {
    /// Starts to listen. Nothing is said of it yet.
    pub fn start(kind: Kind, hosts: Vec<SocketAddr>, record: &Record) -> Result<Worker, String> {
        let listener = TcpListener::bind(kind.address).map_err(|error| error.to_string())?;
        let blocking = listener.set_nonblocking(true);
        blocking.map_err(|error| error.to_string())?;
        record.write(format_args!(
            "worker {} born {} starts at {}",
            kind.id, kind.born, kind.address
        ));
        let shared = Arc::new(Shared {
            kind,
            record: record.clone(),
            hosts,
            is_up: AtomicBool::new(true),
            leaves: AtomicBool::new(false),
            sends: AtomicBool::new(true),
            serial: AtomicU64::new(0),
            runs: Mutex::default(),
            streams: Mutex::default(),
        });
        let accepting = shared.clone();
        thread::spawn(move || accepting.accept(&listener));
        Ok(Worker(shared))
    }

    /// Sends one status report; returns the status of its answer.
    pub fn report(&self) -> Result<u16, String> {
        self.0.report()
    }

    /// Sends status reports at this interval from now on.
    pub fn keep_reporting(&self, interval: Duration) {
        let shared = self.0.clone();
        thread::spawn(move || {
            while shared.is_up() && shared.sends.load(Ordering::Relaxed) {
                // One that fails is followed by the next one.
                let _ = shared.report();
                thread::sleep(interval);
            }
        });
    }

    /// Says that it is gone, as a worker that never reports `draining`; returns when that was
    /// acknowledged. It goes on serving and tells so in its answers.
    pub fn leave(&self) -> Result<Instant, String> {
        let Kind { id, born, .. } = &self.0.kind;
        self.0.sends.store(false, Ordering::Relaxed);
        self.0.leaves.store(true, Ordering::Relaxed);
        let name = format!("instances.leave&of={id}");
        let answer = operator::call(&self.0.hosts, &name, &format!("{{\"born\":{born}}}"))?;
        let record = &self.0.record;
        record.write(format_args!("leave of {id} answered {}", answer.line));
        match answer.status() {
            200..300 => Ok(Instant::now()),
            status => Err(format!("the leave was answered {status}")),
        }
    }

    /// Ends at once, with all its connections.
    pub fn crash(&self) {
        self.0.crash();
    }

    /// Whether it has not crashed.
    pub fn is_up(&self) -> bool {
        self.0.is_up()
    }

    /// What it has run.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.0.runs).clone()
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.0.crash();
    }
}

impl Shared {
    fn is_up(&self) -> bool {
        self.is_up.load(Ordering::Relaxed)
    }

    fn crash(&self) {
        if self.is_up.swap(false, Ordering::Relaxed) {
            let Kind { id, born, .. } = &self.kind;
            self.record
                .write(format_args!("worker {id} born {born} ends"));
        }
        for stream in lock(&self.streams).drain(..) {
            // The other side may have closed it.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn report(&self) -> Result<u16, String> {
        let Kind {
            id,
            service,
            address,
            born,
            ..
        } = &self.kind;
        let serial = self.serial.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"z-a\",\
             \"version\":\"v1\",\"slots\":4,\"state\":\"ready\",\"coldRemaining\":\"0ms\",\
             \"seq\":{serial},\"born\":{born}}}"
        );
        let name = format!("instances.heartbeat&of={id}");
        let answer = operator::call(&self.hosts, &name, &body)?;
        let line = &answer.line;
        self.record.write(format_args!(
            "report {serial} of {id} born {born} answered {line}"
        ));
        Ok(answer.status())
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        while self.is_up() {
            match listener.accept() {
                Ok((stream, _)) => {
                    if let Ok(copy) = stream.try_clone() {
                        lock(&self.streams).push(copy);
                    }
                    let serving = self.clone();
                    thread::spawn(move || serving.serve(stream));
                }
                Err(_) => thread::sleep(PAUSE),
            }
        }
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nonblocking(false).ok()?;
        stream.set_nodelay(true).ok()?;
        let mut rest = Vec::new();
        while self.is_up() {
            let request = http::read(&mut stream, &mut rest).ok()?;
            let answer = self.answer(&request)?;
            stream.write_all(answer.as_bytes()).ok()?;
        }
        None
    }

    /// Answer to a request; `None` if the worker crashes under it.
    fn answer(&self, request: &Message) -> Option<String> {
        let id = request.field("request-id");
        let leaves = match self.leaves.load(Ordering::Relaxed) {
            true => "Server-Leaving: 1\r\n",
            false => "",
        };
        let fields = format!("Request-Id: {id}\r\n{leaves}");
        let expected = request.field("expect-instance");
        if request.line.contains(" /health ") {
            let fields = format!("Instance-Id: {}\r\n{fields}", self.kind.id);
            return Some(format!(
                "HTTP/1.1 200 OK\r\n{fields}Content-Length: 0\r\n\r\n"
            ));
        }
        if !expected.is_empty() && expected != self.kind.id {
            let fields = format!("Not-Executed: 1\r\n{fields}");
            return Some(format!(
                "HTTP/1.1 421 Misdirected Request\r\n{fields}Content-Length: 0\r\n\r\n"
            ));
        }
        let run = Run {
            at: Instant::now(),
            request: id.to_owned(),
            line: request.line.clone(),
        };
        let (name, born) = (&self.kind.id, self.kind.born);
        let line = &request.line;
        self.record
            .write(format_args!("run {id} by {name} born {born}: {line}"));
        lock(&self.runs).push(run);
        if self.kind.deadly.is_some_and(|path| line.contains(path)) {
            self.crash();
            return None;
        }
        thread::sleep(self.kind.work);
        let fields = format!("Response-Signature: s\r\n{fields}");
        Some(format!(
            "HTTP/1.1 200 OK\r\n{fields}Content-Length: 2\r\n\r\nok"
        ))
    }
}
