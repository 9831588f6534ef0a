//! A target of a seeded fleet on raw TCP: it answers each request as a script says, and records what
//! reached it, what it ran and which pauses it asked for.
//!
//! Scripts decide from the request alone, so that a run repeats in spite of timing. [`draw`] is such
//! a script that draws from one list of faults by seed.

use cornelrail_lib::request::header;
use http::StatusCode;
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{RngCore, SeedableRng},
};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::{Instant, sleep},
};

/// Header with the identity that a caller of a seeded fleet gives its request.
const CALLER_ID: &str = "request-id";
/// Time after an answer with a pause in which requests may still arrive.
const PAUSE_SLACK: Duration = Duration::from_millis(500);
/// Time that a reset needs to follow the bytes before it.
const RESET_DELAY: Duration = Duration::from_millis(50);

/// One request as the target reads it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// Identity of the request.
    pub id: String,
    /// Header that carries it, as the kind of fleet has it.
    pub id_field: &'static str,
    /// Path with the query.
    pub path: String,
    /// How many requests with this identity arrived before.
    pub earlier: usize,
    /// How many requests the connection carried before.
    pub position: usize,
}

/// How the end of a body is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By its length.
    Length,
    /// By a last chunk.
    Chunked,
    /// By the end of the connection.
    Close,
}

/// What becomes of a connection behind an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// It takes the next request.
    Keep,
    /// It is closed.
    Close,
    /// It is reset.
    Reset,
    /// It stays open without a word until the other side closes it.
    Silent,
}

/// Answer to one request.
#[derive(Debug, Clone)]
pub struct Reply {
    status: StatusCode,
    fields: Vec<(&'static str, String)>,
    body: String,
    framing: Framing,
    ending: Ending,
    delay: Duration,
    pause: Option<Duration>,
    runs: bool,
    cut: Option<usize>,
    copy: Option<Box<Reply>>,
    extra: &'static str,
    endless: String,
}

impl Reply {
    /// The target runs the request and answers with this body.
    pub fn answer(ask: &Ask, body: &str) -> Self {
        Reply {
            status: StatusCode::OK,
            fields: vec![
                (ask.id_field, ask.id.clone()),
                ("response-signature", "good".to_owned()),
                ("server-load", "0,0,4,100".to_owned()),
            ],
            body: body.to_owned(),
            framing: Framing::Length,
            ending: Ending::Keep,
            delay: Duration::ZERO,
            pause: None,
            runs: true,
            cut: None,
            copy: None,
            extra: "",
            endless: String::new(),
        }
    }

    /// The target runs the request and never answers.
    pub fn silence(ask: &Ask) -> Self {
        Reply::answer(ask, "").cut_at(0).ending(Ending::Silent)
    }

    /// The target turns the request away.
    pub fn refusal(ask: &Ask) -> Self {
        let mut reply = Reply::answer(ask, "");
        reply.status = StatusCode::SERVICE_UNAVAILABLE;
        reply.fields.push(("not-executed", "1".to_owned()));
        reply.runs = false;
        reply
    }

    /// Answers with this status.
    pub fn with_status(mut self, status: u16) -> Self {
        self.status = StatusCode::from_u16(status).expect("three digits");
        self
    }

    /// Adds a field, in place of one with the same name.
    pub fn with_field(mut self, name: &'static str, value: &str) -> Self {
        self = self.without_field(name);
        self.fields.push((name, value.to_owned()));
        self
    }

    /// Leaves out a field.
    pub fn without_field(mut self, name: &str) -> Self {
        self.fields.retain(|(field, _)| *field != name);
        self
    }

    /// Asks for a pause.
    pub fn with_pause(mut self, pause: Duration) -> Self {
        self.pause = Some(pause);
        let seconds = pause.as_secs_f64().to_string();
        self.with_field("retry-after", &seconds)
    }

    /// Comes after this time.
    pub fn after(mut self, delay: Duration) -> Self {
        self.delay = delay;
        self
    }

    /// Tells the end of its body in this way.
    pub fn framed(mut self, framing: Framing) -> Self {
        self.framing = framing;
        if framing == Framing::Close && self.ending == Ending::Keep {
            self.ending = Ending::Close;
        }
        self
    }

    /// Leaves the connection in this way.
    pub fn ending(mut self, ending: Ending) -> Self {
        self.ending = ending;
        self
    }

    /// Stops after so many bytes.
    pub fn cut_at(mut self, bytes: usize) -> Self {
        self.cut = Some(bytes);
        self
    }

    /// Is written once more as the next request arrives on the connection.
    pub fn copied(self) -> Self {
        let copy = self.clone();
        self.copied_as(copy)
    }

    /// Is followed by this copy of it once the next request has arrived on the connection, after the
    /// time that the copy takes.
    pub fn copied_as(mut self, copy: Reply) -> Self {
        self.copy = Some(Box::new(copy));
        self
    }

    /// Bytes that follow the answer at once.
    pub fn followed_by(mut self, extra: &'static str) -> Self {
        self.extra = extra;
        self
    }

    /// Is followed by these bytes again and again, until the other side closes the connection.
    pub fn without_end(mut self, bytes: String) -> Self {
        self.endless = bytes;
        self
    }

    /// Length of the head in bytes.
    pub fn head_length(&self) -> usize {
        self.head().len()
    }

    fn head(&self) -> String {
        let mut head = format!("HTTP/1.1 {}\r\n", self.status);
        for (name, value) in &self.fields {
            head += &format!("{name}: {value}\r\n");
        }
        head += &match self.framing {
            Framing::Length => format!("content-length: {}\r\n", self.body.len()),
            Framing::Chunked => "transfer-encoding: chunked\r\n".to_owned(),
            Framing::Close => "connection: close\r\n".to_owned(),
        };
        head + "\r\n"
    }

    fn bytes(&self) -> Vec<u8> {
        let body = match (self.framing, self.body.len()) {
            (Framing::Chunked, 0) => "0\r\n\r\n".to_owned(),
            (Framing::Chunked, length) => format!("{length:x}\r\n{}\r\n0\r\n\r\n", self.body),
            (Framing::Length | Framing::Close, _) => self.body.clone(),
        };
        let mut bytes = (self.head() + &body).into_bytes();
        bytes.truncate(self.cut.unwrap_or(bytes.len()));
        bytes.extend_from_slice(self.extra.as_bytes());
        bytes
    }
}

/// A request that reached the target.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Its identity.
    pub id: String,
    /// Its path with the query.
    pub path: String,
    /// When it arrived.
    pub at: Instant,
    /// Whether the target ran it.
    pub ran: bool,
}

/// A pause that the target asked for.
#[derive(Debug, Clone)]
pub struct Pause {
    /// Request whose answer asked for it.
    pub ask: Ask,
    /// When that answer was written.
    pub at: Instant,
    /// For how long the target wants nothing.
    pub length: Duration,
}

/// What reached a target, and what it said.
#[derive(Debug, Default)]
pub struct Record {
    arrivals: Mutex<Vec<Arrival>>,
    pauses: Mutex<Vec<Pause>>,
    seen: Mutex<HashMap<String, usize>>,
    closed: Mutex<Vec<(String, Instant)>>,
}

impl Record {
    /// Times that the target ran the request.
    pub fn runs(&self, id: &str) -> usize {
        let arrivals = lock(&self.arrivals);
        arrivals.iter().filter(|a| a.ran && a.id == id).count()
    }

    /// Times that the target ran a request with this path.
    pub fn runs_of_path(&self, path: &str) -> usize {
        let arrivals = lock(&self.arrivals);
        arrivals.iter().filter(|a| a.ran && a.path == path).count()
    }

    /// When each request arrived.
    pub fn times(&self) -> Vec<Instant> {
        lock(&self.arrivals).iter().map(|a| a.at).collect()
    }

    /// Requests that arrived in this time.
    pub fn arrivals(&self, from: Instant, to: Instant) -> usize {
        let arrivals = lock(&self.arrivals);
        let times = arrivals.iter().map(|arrival| arrival.at);
        times.filter(|at| (from..to).contains(at)).count()
    }

    /// When the target first asked for a pause.
    pub fn first_pause(&self) -> Option<Instant> {
        lock(&self.pauses).iter().map(|pause| pause.at).min()
    }

    /// The pause in whose rest most requests arrived, with these requests.
    pub fn worst_pause(&self) -> Option<(Pause, Vec<Arrival>)> {
        let pauses = lock(&self.pauses).clone();
        let arrivals = lock(&self.arrivals);
        let within = pauses.into_iter().map(|pause| {
            let rest = pause.at + PAUSE_SLACK..pause.at + pause.length;
            let arrived = arrivals.iter().filter(|arrival| rest.contains(&arrival.at));
            (pause, arrived.cloned().collect::<Vec<_>>())
        });
        within.max_by_key(|(_, arrived)| arrived.len())
    }

    /// Most requests that arrived in the rest of one pause, over all pauses.
    pub fn most_in_pause(&self) -> usize {
        let worst = self.worst_pause();
        worst.map_or(0, |(_, arrived)| arrived.len())
    }

    /// When the connection was closed on which the request got no answer.
    pub fn closed(&self, id: &str) -> Option<Instant> {
        let closed = lock(&self.closed);
        closed.iter().find(|(one, _)| one == id).map(|(_, at)| *at)
    }

    fn next_number(&self, id: &str) -> usize {
        let mut seen = lock(&self.seen);
        let count = seen.entry(id.to_owned()).or_default();
        *count += 1;
        *count - 1
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .expect("no task panics while it holds the lock")
}

/// Serves a target on `listener` until the task is aborted.
pub fn serve<S>(listener: TcpListener, record: Arc<Record>, script: S) -> JoinHandle<()>
where
    S: Fn(&Ask) -> Reply + Send + Sync + 'static,
{
    let script = Arc::new(script);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(converse(stream, record.clone(), script.clone()));
        }
    })
}

async fn converse<S: Fn(&Ask) -> Reply>(stream: TcpStream, record: Arc<Record>, script: Arc<S>) {
    let mut stream = BufReader::new(stream);
    let mut copy: Option<Box<Reply>> = None;
    let mut position = 0;
    while let Some(mut ask) = read_request(&mut stream).await {
        ask.earlier = record.next_number(&ask.id);
        ask.position = position;
        position += 1;
        let reply = script(&ask);
        lock(&record.arrivals).push(Arrival {
            id: ask.id.clone(),
            path: ask.path.clone(),
            at: Instant::now(),
            ran: reply.runs,
        });
        if let Some(copy) = copy.take() {
            sleep(copy.delay).await;
            if stream.write_all(&copy.bytes()).await.is_err() {
                return;
            }
        }
        sleep(reply.delay).await;
        if stream.write_all(&reply.bytes()).await.is_err() {
            return;
        }
        while !reply.endless.is_empty() {
            if stream.write_all(reply.endless.as_bytes()).await.is_err() {
                return;
            }
        }
        if let Some(pause) = reply.pause {
            lock(&record.pauses).push(Pause {
                ask: ask.clone(),
                at: Instant::now(),
                length: pause,
            });
        }
        copy = reply.copy;
        match reply.ending {
            Ending::Keep => {}
            Ending::Close => return,
            Ending::Reset => {
                sleep(RESET_DELAY).await;
                stream.get_ref().set_zero_linger().expect("an open socket");
                return;
            }
            Ending::Silent => {
                // Nobody sends more before the answer, so what ends the wait is the end of it.
                let _ = stream.read_u8().await;
                lock(&record.closed).push((ask.id, Instant::now()));
                return;
            }
        }
    }
}

/// Reads a request with its body.
async fn read_request(stream: &mut BufReader<TcpStream>) -> Option<Ask> {
    let mut ask = Ask {
        id: String::new(),
        id_field: CALLER_ID,
        path: String::new(),
        earlier: 0,
        position: 0,
    };
    let mut length = 0;
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if ask.path.is_empty() {
            ask.path = line.split(' ').nth(1)?.to_owned();
        }
        match line.split_once(": ") {
            Some((CALLER_ID, value)) => ask.id = value.to_owned(),
            Some((header::REQUEST, value)) => {
                ask.id = value.to_owned();
                ask.id_field = header::REQUEST;
            }
            Some(("content-length", value)) => length = value.parse().ok()?,
            _ => {}
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(ask)
}

/// Body of the answer to a request by a target that draws.
pub fn drawn_body(id: &str) -> String {
    format!("answer to {id}")
}

/// Draws the answer to a request, so that the same seed gives the same answer to the same request.
pub fn draw(seed: u64, ask: &Ask) -> Reply {
    let mut rng = rng_of(seed, &ask.id, ask.earlier as u64);
    let mut below = |bound: u64| rng.next_u64() % bound;
    let answer = Reply::answer(ask, &drawn_body(&ask.id));
    let refusal = Reply::refusal(ask);
    let late = Duration::from_millis(below(800));
    let pause = Duration::from_millis(1_000 + below(500));
    match below(24) {
        0 => refusal.with_pause(pause),
        1 | 18 | 19 => refusal.with_pause(pause).after(late),
        2 => refusal.copied(),
        3 => refusal.after(late),
        4 => refusal.ending(Ending::Close),
        5 => refusal.without_field("not-executed"),
        6 => answer.after(late),
        7 => answer.clone().copied_as(answer.after(late)),
        8 => answer.framed(Framing::Chunked).copied(),
        9 => answer.framed(Framing::Close),
        10 => answer.with_field(CALLER_ID, "another"),
        11 => answer.without_field(CALLER_ID),
        12 => answer.without_field("response-signature"),
        13 => answer.followed_by("HTTP/1.1 200 OK\r\n"),
        14 => answer.ending(Ending::Reset),
        15 | 16 => {
            let framing = [Framing::Length, Framing::Chunked][below(2) as usize];
            let answer = answer.framed(framing);
            let length = answer.bytes().len() as u64;
            let cut = below(length) as usize;
            let ending = [Ending::Close, Ending::Reset][below(2) as usize];
            answer.cut_at(cut).ending(ending)
        }
        17 => answer.with_field("server-load", "4294967295,4294967295,4294967295,4294967295"),
        _ => answer,
    }
}

/// Generator that belongs to one request of one seed.
pub fn rng_of(seed: u64, id: &str, number: u64) -> ChaCha8Rng {
    let digest = id.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    ChaCha8Rng::seed_from_u64(seed.rotate_left(32) ^ digest ^ number)
}
