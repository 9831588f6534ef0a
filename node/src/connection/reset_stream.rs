//! A caller's connection that is reset unless its last response was written whole.
//!
//! The body of a response to HTTP/1.0 that names no length ends with the connection, so a caller takes
//! an orderly close for the end of the body. From the head of such a response on, a close of the
//! socket resets the connection, whoever closes it: the HTTP library after an error of the body, the
//! runtime as it ends, or the system as the process ends. The library shuts a connection down only
//! after a whole response, and that makes the close orderly again.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll, ready},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Header fields of a response that are parsed, as many as the HTTP library takes.
const FIELDS_MAX: usize = 100;

/// Socket that can be closed in two ways.
pub trait ResetOnClose {
    /// Sets whether a close resets the connection.
    fn reset_on_close(&self, resets: bool) -> io::Result<()>;
}

impl ResetOnClose for TcpStream {
    #[expect(
        deprecated,
        reason = "a linger time blocks the thread at the close; no time and zero do not"
    )]
    fn reset_on_close(&self, resets: bool) -> io::Result<()> {
        match resets {
            true => self.set_zero_linger(),
            false => self.set_linger(None),
        }
    }
}

/// Stream that resets its connection where an orderly close would make a part of a body look whole.
#[derive(Debug)]
pub struct ResetStream<S> {
    stream: S,
    /// Whether a close resets the connection.
    resets: bool,
}

impl<S: ResetOnClose> ResetStream<S> {
    /// Stream whose close is orderly at first.
    pub fn new(stream: S) -> Self {
        ResetStream {
            stream,
            resets: false,
        }
    }

    /// The stream itself.
    pub fn into_inner(self) -> S {
        self.stream
    }

    /// Looks at bytes before they are written. The library writes the head of a response at once, with
    /// nothing before it.
    fn inspect(&mut self, bytes: &[u8]) -> io::Result<()> {
        if !self.resets && ends_with_connection(bytes) {
            self.stream.reset_on_close(true)?;
            self.resets = true;
        }
        Ok(())
    }
}

/// Whether the bytes begin a response whose body ends with the connection.
fn ends_with_connection(bytes: &[u8]) -> bool {
    if !bytes.starts_with(b"HTTP/1.0 ") {
        return false;
    }
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
    let mut head = httparse::Response::new(&mut fields);
    let is_whole = head.parse(bytes).is_ok_and(|status| status.is_complete());
    let mut names = head.headers.iter().map(|field| field.name);
    !is_whole || !names.any(|name| name.eq_ignore_ascii_case("content-length"))
}

impl<S: AsyncRead + Unpin> AsyncRead for ResetStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + ResetOnClose + Unpin> AsyncWrite for ResetStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.inspect(buf)?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        if self.resets {
            self.stream.reset_on_close(false)?;
            self.resets = false;
        }
        Poll::Ready(Ok(()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if let Some(first) = bufs.iter().find(|buf| !buf.is_empty()) {
            self.inspect(first)?;
        }
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
