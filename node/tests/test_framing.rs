//! Requests reach targets with the method, path and body that their callers sent, whatever frames the
//! body.

use crate::test_seeded::{Fleet, PATIENCE, fleet_with, set_up, split};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::timeout,
};

const METHODS: [&str; 8] = [
    "GET", "HEAD", "DELETE", "OPTIONS", "POST", "PUT", "PATCH", "BREW",
];

/// How a caller frames the body of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Absent,
    Empty,
    Length,
    Chunks,
    ChunksWithExtras,
    Expected,
}

impl Framing {
    const ALL: [Framing; 6] = [
        Framing::Absent,
        Framing::Empty,
        Framing::Length,
        Framing::Chunks,
        Framing::ChunksWithExtras,
        Framing::Expected,
    ];

    /// Fields and body as they are written.
    fn bytes(self) -> (&'static str, &'static str) {
        match self {
            Framing::Absent => ("", ""),
            Framing::Empty => ("Content-Length: 0\r\n", ""),
            Framing::Length => ("Content-Length: 7\r\n", "content"),
            Framing::Chunks => (
                "Transfer-Encoding: chunked\r\n",
                "3\r\ncon\r\n4\r\ntent\r\n0\r\n\r\n",
            ),
            Framing::ChunksWithExtras => (
                "Transfer-Encoding: chunked\r\nTrailer: x-end\r\n",
                "3;a=b\r\ncon\r\n4\r\ntent\r\n0\r\nx-end: 1\r\n\r\n",
            ),
            Framing::Expected => ("Content-Length: 7\r\nExpect: 100-continue\r\n", "content"),
        }
    }

    fn body(self) -> &'static str {
        match self {
            Framing::Absent | Framing::Empty => "",
            _ => "content",
        }
    }
}

/// Reads a request raw; gives its request line, fields and body.
async fn read_request(
    stream: &mut BufReader<TcpStream>,
) -> Option<(String, BTreeMap<String, String>, String)> {
    let first = read_line(stream).await?;
    let mut fields = BTreeMap::new();
    loop {
        let line = read_line(stream).await?;
        match line.split_once(": ") {
            Some((name, value)) => drop(fields.insert(name.to_lowercase(), value.to_owned())),
            None => break,
        }
    }
    let mut body = Vec::new();
    if fields
        .get("transfer-encoding")
        .is_some_and(|value| value == "chunked")
    {
        loop {
            let size = read_line(stream).await?;
            let size = usize::from_str_radix(size.split(';').next()?, 16).ok()?;
            if size == 0 {
                while !read_line(stream).await?.is_empty() {}
                break;
            }
            let start = body.len();
            body.resize(start + size, 0);
            stream.read_exact(&mut body[start..]).await.ok()?;
            read_line(stream).await?;
        }
    } else if let Some(length) = fields.get("content-length") {
        body.resize(length.parse().ok()?, 0);
        stream.read_exact(&mut body).await.ok()?;
    }
    Some((first, fields, String::from_utf8(body).ok()?))
}

async fn read_line(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    match stream.read_line(&mut line).await {
        Ok(1..) => Some(line.trim_end_matches("\r\n").to_owned()),
        _ => None,
    }
}

/// Target that records each request as it arrived.
fn record(listener: TcpListener, seen: Arc<Mutex<Vec<String>>>) -> JoinHandle<()> {
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let seen = seen.clone();
            tokio::spawn(async move {
                let mut stream = BufReader::new(stream);
                while let Some((first, fields, body)) = read_request(&mut stream).await {
                    let id = fields.get("request-id").cloned().unwrap_or_default();
                    let reply = format!(
                        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: good\r\n\
                         Content-Length: 0\r\n\r\n"
                    );
                    seen.lock()
                        .expect("whole")
                        .push(format!("{id}: {first} [{body}]"));
                    if stream.write_all(reply.as_bytes()).await.is_err() {
                        break;
                    }
                }
            });
        }
    })
}

/// Sends a request and reads the head of its final answer; gives its status.
async fn send(stream: &mut BufReader<TcpStream>, first: &str, id: &str, framing: Framing) -> u16 {
    let (fields, body) = framing.bytes();
    let head = format!(
        "{first}\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\n{fields}\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    stream.write_all(body.as_bytes()).await.expect("sent");
    loop {
        let mut reply = String::new();
        while !reply.ends_with("\r\n\r\n") {
            let line = timeout(PATIENCE, stream.read_line(&mut reply)).await;
            assert!(matches!(line, Ok(Ok(1..))), "{id}: {reply}");
        }
        let (status, _) = split(&reply).expect("a head");
        if status != 100 {
            return status;
        }
    }
}

#[tokio::test]
async fn a_body_is_lost_with_a_method_that_rarely_has_one() {
    let fleet: Fleet = fleet_with(record).await;
    set_up(&fleet).await;

    for method in METHODS {
        // All framings follow each other on one connection, so that left-over bytes would show.
        let stream = TcpStream::connect(fleet.callers).await.expect("connected");
        let mut stream = BufReader::new(stream);
        for framing in Framing::ALL {
            let id = format!("{method}-{framing:?}");
            let first = format!("{method} /w/a%20b?q={framing:?}&r HTTP/1.1");

            let status = send(&mut stream, &first, &id, framing).await;

            let arrived = format!("{id}: {first} [{}]", framing.body());
            assert_eq!(status, 200, "{id}");
            assert_eq!(fleet.target.runs(&arrived), 1, "{arrived}");
        }
    }
}
