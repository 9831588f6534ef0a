//! The operator raises the longest head of a request, and clients use that on connections that they
//! have kept.
//!
//! DENIED: more than 5 and one in 500 of all requests are ended with a 4xx of the system's own, though
//! every desired state that may be in force allows them.

use cornelrail_review_2::{
    exit,
    fleet::{Fleet, Size},
    has_trouble,
    http::Client,
    operator,
    record::Record,
    unix_ms,
    worker::{Kind, Worker},
};
use std::{env, path::Path, process::ExitCode, thread, time::Duration};

const HEARTBEAT: Duration = Duration::from_millis(870);
const ENTRIES: u8 = 2;
/// Connections that clients keep to each entry.
const KEPT: usize = 10;
/// Longest heads before and after the change.
const FORMER: u32 = 8 << 10;
const RAISED: u32 = 32 << 10;
/// Bytes that the later requests add to their heads.
const ADDED: usize = 12 << 10;
/// Time that the rules give for a change, and half a second more.
const APPLIED: Duration = Duration::from_millis(2_500);

fn head(id: &str, is_safe: bool, added: usize) -> String {
    let (method, path, length) = match is_safe {
        true => ("GET", "/reads/a", ""),
        false => ("POST", "/orders/a", "Content-Length: 2\r\n"),
    };
    let more = match added {
        0 => String::new(),
        _ => format!("Cookie: {}\r\n", "c".repeat(added)),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1000\r\n\
         {length}{more}\r\n"
    )
}

fn run(root: &Path, folder: &Path) -> Result<bool, String> {
    let record = Record::begin(folder)?;
    let size = Size {
        cores: 3,
        entries: ENTRIES,
        heartbeat: HEARTBEAT,
    };
    let fleet = Fleet::start(root, size)?;
    let hosts = fleet.controls();
    let first = match has_trouble() {
        true => FORMER,
        false => RAISED,
    };
    let upsert = format!(
        "{{\"routes\":{{\"r\":{},\"w\":{}}},\"services\":{{\"pool\":{}}},\"limits\":{}}}",
        operator::route("pool", "/reads/", "safe"),
        operator::route("pool", "/orders/", "unsafe"),
        operator::service("0s", "18"),
        operator::limits(first, "00000007"),
    );
    operator::change(&hosts, &upsert)?;
    let kind = Kind {
        id: "i-7f3a91c2".to_owned(),
        service: "pool".to_owned(),
        address: fleet.worker(0),
        born: unix_ms(),
        work: Duration::from_millis(10),
        deadly: None,
    };
    let worker = Worker::start(kind, hosts.clone(), &record)?;
    worker.report()?;
    worker.keep_reporting(HEARTBEAT);
    fleet.wait_ready()?;
    thread::sleep(Duration::from_secs(4));
    let mut clients = Vec::new();
    for number in 0..KEPT * usize::from(ENTRIES) {
        let front = fleet.front((number % usize::from(ENTRIES)) as u8);
        let client = Client::connect(front, Duration::from_secs(2));
        clients.push(client.map_err(|error| error.to_string())?);
    }
    let (mut sent, mut denied) = (0, 0);
    let mut send = |client: &mut Client, number: usize, round: usize, added: usize| {
        let is_safe = number.is_multiple_of(2);
        let id = format!("r-{round}-{number}");
        let body: &[u8] = if is_safe { b"" } else { b"hi" };
        let head = head(&id, is_safe, added);
        record.write(format_args!(
            "sent {id} with a head of {} bytes",
            head.len()
        ));
        sent += 1;
        let status = match client.ask(&head, body) {
            Ok(answer) => {
                record.write(format_args!("answer of {id}: {}", answer.line));
                answer.status()
            }
            Err(error) => {
                record.write(format_args!("no answer of {id}: {error}"));
                0
            }
        };
        denied += usize::from((400..500).contains(&status) && ![408, 421, 429].contains(&status));
        status
    };
    for (number, client) in clients.iter_mut().enumerate() {
        if send(client, number, 0, 0) != 200 {
            return Err("a request on a new connection was not served".to_owned());
        }
    }
    if has_trouble() {
        let limits = operator::limits(RAISED, "00000009");
        operator::change(&hosts, &format!("{{\"limits\":{limits}}}"))?;
        record.write(format_args!("the raised limit is acknowledged"));
    }
    thread::sleep(APPLIED);
    for (number, client) in clients.iter_mut().enumerate() {
        send(client, number, 1, ADDED);
    }
    let allowed = 5 + sent / 500;
    record.write(format_args!(
        "{denied} of {sent} requests denied, {allowed} allowed"
    ));
    Ok(denied > allowed)
}

fn main() -> ExitCode {
    let mut words = env::args().skip(1);
    let (Some(root), Some(folder)) = (words.next(), words.next()) else {
        return exit(Err("usage: raised-limit ROOT FOLDER".to_owned()));
    };
    exit(run(Path::new(&root), Path::new(&folder)))
}
