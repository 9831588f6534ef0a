//! HTTP/1.1 as the stand-ins speak it: one message after the other on blocking sockets.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Longest head that is read.
const HEAD_MAX: usize = 64 << 10;

/// Head and body of a request or an answer.
#[derive(Debug, Clone)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    /// Fields with names in lower case.
    pub fields: Vec<(String, String)>,
    /// The body, decoded.
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub whole: bool,
}

impl Message {
    /// Value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }
}

/// A connection with the bytes that were read ahead.
#[derive(Debug)]
pub struct Wire {
    /// The socket.
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Wire {
    /// Wraps a connected socket.
    pub fn new(stream: TcpStream) -> Wire {
        // Without it messages are only later.
        let _ = stream.set_nodelay(true);
        Wire {
            stream,
            ahead: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 << 10];
        let count = self.stream.read(&mut bytes)?;
        self.ahead.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.ahead.drain(..end + 2).take(end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).into_owned()));
            }
            if self.ahead.len() > HEAD_MAX || self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn exact(&mut self, count: usize) -> io::Result<(Vec<u8>, bool)> {
        while self.ahead.len() < count {
            if self.fill()? == 0 {
                return Ok((std::mem::take(&mut self.ahead), false));
            }
        }
        Ok((self.ahead.drain(..count).collect(), true))
    }

    /// Reads one message; `None` if the connection ends before its head is complete.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(first) = self.line()? else {
            return Ok(None);
        };
        let mut fields = Vec::new();
        loop {
            match self.line()? {
                None => return Ok(None),
                Some(line) if line.is_empty() => break,
                Some(line) => {
                    if let Some((name, value)) = line.split_once(':') {
                        fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
                    }
                }
            }
        }
        let mut message = Message {
            first,
            fields,
            body: Vec::new(),
            whole: true,
        };
        if message.field("transfer-encoding").is_some() {
            self.read_chunks(&mut message)?;
        } else if let Some(length) = message.field("content-length").and_then(|v| v.parse().ok()) {
            (message.body, message.whole) = self.exact(length)?;
        }
        Ok(Some(message))
    }

    fn read_chunks(&mut self, message: &mut Message) -> io::Result<()> {
        loop {
            let line = self.line()?;
            let size = line.and_then(|l| usize::from_str_radix(l.trim(), 16).ok());
            let Some(size) = size else {
                message.whole = false;
                return Ok(());
            };
            let (bytes, whole) = self.exact(size + 2)?;
            message
                .body
                .extend_from_slice(&bytes[..size.min(bytes.len())]);
            if size == 0 || !whole {
                message.whole = whole;
                return Ok(());
            }
        }
    }
}

/// Sends one request on a connection of its own; `None` without an answer in time.
pub fn call(
    address: SocketAddr,
    line: &str,
    fields: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Option<Message> {
    let until = Instant::now() + limit;
    let stream = TcpStream::connect_timeout(&address, limit).ok()?;
    let left = until.saturating_duration_since(Instant::now());
    stream
        .set_read_timeout(Some(left.max(Duration::from_millis(1))))
        .ok()?;
    let mut wire = Wire::new(stream);
    wire.stream.write_all(&request(line, fields, body)).ok()?;
    wire.read().ok()?
}

/// Bytes of a request with a length.
pub fn request(line: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{line} HTTP/1.1\r\n");
    for (name, value) in fields {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || line.starts_with("POST") {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    let mut bytes = (text + "\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
