//! Caller of the entries, which checks every answer and counts one outcome for each request.

use crate::{
    answer::Subject,
    http::{Answer, Client, SendError},
    timer,
};
use bytes::Bytes;
use cornelrail_lib::request::header;
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::{Method, Request, header::HOST};
use std::{
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};
use tokio::time::{sleep, timeout_at};

const LONGEST_MICROS: u64 = 600_000_000;
const SHORTEST_PAUSE: Duration = Duration::from_millis(5);

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path at an entry, which begins with the service's name.
    pub path: String,
    /// Key that it is about.
    pub key: String,
    /// Identity of a once-only request.
    pub identity: Option<String>,
    /// Number that no other request has.
    pub nonce: u64,
    /// Body.
    pub upload: Bytes,
    /// Wanted length of the answer in bytes.
    pub length: usize,
}

/// What a caller learns of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Its own whole answer.
    Answered,
    /// It was refused and did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// An answer that is not its own or not whole, yet looks good.
    Wrong,
}

/// Settings of a caller.
#[derive(Debug, Clone)]
pub struct CallerSettings {
    /// Entries, tried in turn.
    pub entries: Vec<SocketAddr>,
    /// Round trip to an entry.
    pub latency: Duration,
    /// Time after which it gives up.
    pub deadline: Duration,
    /// Whether it comes back after a refusal, as the refusal says.
    pub retry: bool,
}

/// Outcomes counted by a caller.
#[derive(Debug, Clone)]
pub struct Tally {
    /// Requests sent, each counted once.
    pub sent: u64,
    /// Requests with their own whole answer.
    pub answered: u64,
    /// Requests that did not run.
    pub not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Requests with another's answer or a part of one.
    pub wrong: u64,
    /// Times of the answered ones, in microseconds.
    pub latency: Histogram<u64>,
}

/// Caller of a list of entries.
#[derive(Debug)]
pub struct Caller {
    settings: CallerSettings,
    client: Client,
    turn: AtomicUsize,
    tally: Mutex<Tally>,
}

struct Reply {
    outcome: Outcome,
    pause: Option<Duration>,
}

impl Caller {
    /// Caller with these settings and nothing counted.
    pub fn new(settings: CallerSettings) -> Self {
        let latency = Histogram::new_with_bounds(1, LONGEST_MICROS, 3).expect("valid bounds");
        Caller {
            settings,
            client: Client::default(),
            turn: AtomicUsize::new(0),
            tally: Mutex::new(Tally {
                sent: 0,
                answered: 0,
                not_run: 0,
                unknown: 0,
                wrong: 0,
                latency,
            }),
        }
    }

    /// Outcomes so far.
    pub fn tally(&self) -> Tally {
        self.tally.lock().expect("caller lock").clone()
    }

    /// Sends one request, with retries as set, and counts its outcome.
    pub async fn send(&self, call: &Call) -> Outcome {
        let start = Instant::now();
        self.tally.lock().expect("caller lock").sent += 1;
        let outcome = self.attempts(call, start + self.settings.deadline).await;
        self.count(outcome, start.elapsed());
        outcome
    }

    async fn attempts(&self, call: &Call, deadline: Instant) -> Outcome {
        let mut may_run = false;
        loop {
            let reply = self.attempt(call, deadline).await;
            may_run |= reply.outcome == Outcome::Unknown;
            let wanted = matches!(reply.outcome, Outcome::NotRun | Outcome::Unknown);
            let pause = reply.pause.unwrap_or_default().max(SHORTEST_PAUSE);
            let late = Instant::now() + pause + self.settings.latency >= deadline;
            if !wanted || !self.settings.retry || late {
                return match reply.outcome {
                    Outcome::NotRun if may_run => Outcome::Unknown,
                    outcome => outcome,
                };
            }
            sleep(pause).await;
        }
    }

    /// Sends once, to the entry whose turn it is.
    async fn attempt(&self, call: &Call, deadline: Instant) -> Reply {
        let entries = &self.settings.entries;
        let entry = entries[self.turn.fetch_add(1, Relaxed) % entries.len()];
        let way = self.settings.latency / 2;
        let left = deadline.saturating_duration_since(Instant::now() + way);
        let request = request_of(call, entry, left);
        timer::sleep(way).await;
        let sending = self.client.send(entry, request);
        let sent = timeout_at(deadline.into(), sending).await;
        let reply = match sent {
            Ok(Ok(answer)) => judge(call, &answer),
            Ok(Err(SendError::Connect { .. })) => Reply::of(Outcome::NotRun),
            Ok(Err(SendError::Broken(_))) | Err(_) => Reply::of(Outcome::Unknown),
        };
        timer::sleep(way).await;
        reply
    }

    fn count(&self, outcome: Outcome, span: Duration) {
        let mut tally = self.tally.lock().expect("caller lock");
        match outcome {
            Outcome::Answered => {
                tally.answered += 1;
                tally.latency.saturating_record(span.as_micros() as u64);
            }
            Outcome::NotRun => tally.not_run += 1,
            Outcome::Unknown => tally.unknown += 1,
            Outcome::Wrong => tally.wrong += 1,
        }
    }
}

impl Reply {
    fn of(outcome: Outcome) -> Self {
        Reply {
            outcome,
            pause: None,
        }
    }
}

/// The HTTP request of a call that has `left` until its deadline.
pub fn request_of(call: &Call, entry: SocketAddr, left: Duration) -> Request<Full<Bytes>> {
    let target = format!("{}?nonce={}&length={}", call.path, call.nonce, call.length);
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(target)
        .header(HOST, entry.to_string())
        .header(header::KEY, &call.key)
        .header(header::DEADLINE_MS, left.as_millis().to_string());
    if let Some(identity) = &call.identity {
        request = request.header(header::IDENTITY, identity);
    }
    request
        .body(Full::new(call.upload.clone()))
        .expect("a valid request")
}

/// Outcome that an answer stands for.
fn judge(call: &Call, answer: &Answer) -> Reply {
    let text = |name: &str| answer.headers().get(name)?.to_str().ok();
    let pause = text(header::RETRY_MS).and_then(|value| value.parse().ok());
    let outcome = match text(header::OUTCOME) {
        Some("not-run") => Outcome::NotRun,
        Some("unknown") => Outcome::Unknown,
        _ if !answer.status().is_success() => Outcome::Unknown,
        _ if *answer.body() == expected(call) => Outcome::Answered,
        _ => Outcome::Wrong,
    };
    Reply {
        outcome,
        pause: pause.map(Duration::from_millis),
    }
}

fn expected(call: &Call) -> Bytes {
    if call.path.contains("/echo") {
        return call.upload.clone();
    }
    let subject = Subject {
        key: &call.key,
        identity: call.identity.as_deref().unwrap_or_default(),
        nonce: call.nonce,
        upload: &call.upload,
        length: call.length,
    };
    subject.body()
}
