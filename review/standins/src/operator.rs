//! The operator and the clients of a case.

use crate::{
    http::{self, Message},
    json::Json,
    record::Record,
};
use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

/// Pause between two tries of an order.
const PAUSE: Duration = Duration::from_millis(200);
/// Time for the answer to an order.
const LIMIT: Duration = Duration::from_millis(1_000);

/// Sends orders to the hosts that serve control.
#[derive(Debug, Clone)]
pub struct Operator {
    /// The hosts.
    pub control: Vec<SocketAddr>,
    /// The record.
    pub record: Record,
}

impl Operator {
    /// Sends an order until it gets a clear answer or the time is up; gives its status.
    pub fn order(&self, call: &str, body: &str, limit: Duration) -> Option<Message> {
        let until = Instant::now() + limit;
        let line = format!("POST /-/rpc?call={call}");
        let fields = [("Host", "control"), ("Content-Type", "application/json")];
        let mut turn = 0;
        while Instant::now() < until {
            let address = self.control[turn % self.control.len()];
            let answer = http::call(address, &line, &fields, body.as_bytes(), LIMIT);
            let status = answer.as_ref().map(Message::status);
            let clear = matches!(status, Some(200..300 | 400 | 409 | 412 | 413 | 422));
            self.record
                .note(format_args!("operator {call} at {address}: {status:?}"));
            if clear {
                return answer;
            }
            turn += 1;
            thread::sleep(PAUSE);
        }
        None
    }

    /// Reads the desired state back.
    pub fn read(&self, limit: Duration) -> Option<Json> {
        let answer = self.order("config.get", "", limit)?;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        self.record.note(format_args!("desired state: {text}"));
        Json::parse(&text)
    }
}

/// Answers of clients, counted.
#[derive(Debug, Default, Clone, Copy)]
pub struct Tally {
    /// Requests.
    pub sent: u32,
    /// Successes with the worker's signature.
    pub served: u32,
}

/// Sends one request of a client and records it.
pub fn request(
    front: SocketAddr,
    line: &str,
    id: &str,
    key: u16,
    body: &[u8],
    record: &Record,
) -> Option<Message> {
    let key = key.to_string();
    let fields = [
        ("Host", "a.example"),
        ("Request-Id", id),
        ("Deadline-Ms", "1000"),
        ("Shard-Key", &key),
        ("Connection", "close"),
    ];
    let answer = http::call(front, line, &fields, body, Duration::from_millis(1_100));
    let status = answer.as_ref().map(Message::status);
    record.note(format_args!(
        "client {id} {line} key={key} at {front}: {status:?}"
    ));
    answer
}

/// Sends requests one after the other for a while, each to the next entry.
pub fn press(
    fronts: &[SocketAddr],
    line: &str,
    tag: &str,
    time: Duration,
    record: &Record,
) -> Tally {
    let until = Instant::now() + time;
    let mut tally = Tally::default();
    while Instant::now() < until {
        let n = tally.sent;
        let front = fronts[n as usize % fronts.len()];
        let id = format!("{tag}{n:08x}");
        let key = (n.wrapping_mul(40_503) >> 3) as u16;
        let answer = request(front, line, &id, key, b"", record);
        tally.sent += 1;
        tally.served += u32::from(answer.is_some_and(|a| a.status() == 200 && a.whole));
        thread::sleep(Duration::from_millis(40));
    }
    tally
}
