//! HTTP/1.1 as far as the stand-ins need it: messages with a length.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Longest head that is read.
const HEAD_MAX: usize = 256 << 10;

/// A request or an answer.
#[derive(Debug, Default)]
pub struct Message {
    /// First line.
    pub line: String,
    /// Names in lower case, with their values.
    pub fields: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a field; empty if there is none.
    pub fn field(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(other, _)| other == name);
        found.map_or("", |(_, value)| value)
    }

    /// Status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; `rest` holds what came behind it.
pub fn read(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Message> {
    let end = loop {
        if let Some(at) = rest.windows(4).position(|part| part == b"\r\n\r\n") {
            break at;
        }
        if rest.len() > HEAD_MAX {
            return Err(io::ErrorKind::InvalidData.into());
        }
        fill(stream, rest)?;
    };
    let head: Vec<u8> = rest.drain(..end + 4).collect();
    let head = String::from_utf8_lossy(&head[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let mut message = Message {
        line: lines.next().unwrap_or_default().to_owned(),
        ..Message::default()
    };
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        let field = (name.to_ascii_lowercase(), value.trim().to_owned());
        message.fields.push(field);
    }
    let length = message.field("content-length").parse().unwrap_or(0);
    while rest.len() < length {
        fill(stream, rest)?;
    }
    message.body = rest.drain(..length).collect();
    Ok(message)
}

fn fill(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<()> {
    let mut bytes = [0; 16 << 10];
    match stream.read(&mut bytes)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        count => {
            rest.extend_from_slice(&bytes[..count]);
            Ok(())
        }
    }
}

/// A connection of a client.
#[derive(Debug)]
pub struct Client {
    stream: TcpStream,
    rest: Vec<u8>,
}

impl Client {
    /// Connects; each answer may take so long.
    pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, limit)?;
        stream.set_read_timeout(Some(limit))?;
        stream.set_nodelay(true)?;
        let rest = Vec::new();
        Ok(Client { stream, rest })
    }

    /// Sends a request and reads its answer.
    pub fn ask(&mut self, head: &str, body: &[u8]) -> io::Result<Message> {
        let mut bytes = head.as_bytes().to_vec();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)?;
        read(&mut self.stream, &mut self.rest)
    }
}

/// Sends one request on a connection of its own.
pub fn ask(address: SocketAddr, limit: Duration, head: &str, body: &[u8]) -> io::Result<Message> {
    Client::connect(address, limit)?.ask(head, body)
}
