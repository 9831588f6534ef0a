//! As much of HTTP/1.1 as the stand-ins need.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Longest head that is read.
const HEAD_MAX: usize = 64 << 10;

/// Head of a message, with its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line.
    pub line: String,
    /// Header fields, with names in lower case.
    pub fields: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a header field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields.find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        let word = self.line.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// Path of a request.
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    /// Body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Bytes of a connection that were read and not used.
#[derive(Debug, Default)]
pub struct Buffer {
    bytes: Vec<u8>,
}

/// What a read of one message gave.
#[derive(Debug)]
pub enum Received {
    /// A whole message.
    Whole(Message),
    /// The connection has ended.
    Ended,
    /// Nothing came in time; the rest may follow.
    Waiting,
}

impl Buffer {
    /// Reads one message with a length, as far as the read timeout of the stream allows.
    pub fn receive(&mut self, stream: &mut TcpStream) -> io::Result<Received> {
        loop {
            if let Some(message) = self.take() {
                return Ok(Received::Whole(message));
            }
            if self.bytes.len() > HEAD_MAX {
                return Err(io::ErrorKind::InvalidData.into());
            }
            let mut part = [0; 4096];
            match stream.read(&mut part) {
                Ok(0) => return Ok(Received::Ended),
                Ok(length) => self.bytes.extend_from_slice(&part[..length]),
                Err(e) if is_timeout(&e) => return Ok(Received::Waiting),
                Err(e) => return Err(e),
            }
        }
    }

    fn take(&mut self) -> Option<Message> {
        let end = self.bytes.windows(4).position(|w| w == b"\r\n\r\n")?;
        let head = String::from_utf8_lossy(&self.bytes[..end]).into_owned();
        let mut lines = head.split("\r\n");
        let line = lines.next()?.to_owned();
        let fields: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let mut message = Message {
            line,
            fields,
            body: Vec::new(),
        };
        let length: usize = message
            .field("content-length")
            .map_or(0, |v| v.parse().unwrap_or_default());
        let whole = end + 4 + length;
        if self.bytes.len() < whole {
            return None;
        }
        message.body = self.bytes[end + 4..whole].to_vec();
        self.bytes.drain(..whole);
        Some(message)
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

/// Sends one request on a connection of its own and waits for the answer.
pub fn call(
    address: SocketAddr,
    line: &str,
    fields: &[(&str, String)],
    body: &str,
    limit: Duration,
) -> io::Result<Message> {
    let begun = Instant::now();
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    let mut text = format!("{line} HTTP/1.1\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(text.as_bytes())?;
    let mut buffer = Buffer::default();
    loop {
        let left = limit.saturating_sub(begun.elapsed());
        if left < Duration::from_millis(1) {
            return Err(io::ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        match buffer.receive(&mut stream)? {
            Received::Whole(message) => return Ok(message),
            Received::Ended => return Err(io::ErrorKind::UnexpectedEof.into()),
            Received::Waiting => {}
        }
    }
}
