//! Bounds on what a target may send: before the head of its answer is complete, and in one turn of
//! the task that reads it.
//!
//! The HTTP library bounds one head, but reads any number of interim answers before it. It also reads
//! on for as long as there are bytes, so that targets which send without end would keep the only
//! thread of an entry from its timers and from other callers.
//!
//! The user of a stream, which the library owns, sets the bounds by a [`StreamControl`], and closes the
//! writing side alone by it.

use super::paced_stream::PacedStream;
use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Longest head of an answer, with the interim answers before it.
pub const HEAD_BYTES: usize = 64 << 10;

/// Bytes read before the task gives way to others.
const TURN_BYTES: usize = 16 << 10;

#[derive(Debug)]
struct Shared {
    /// Bytes that may still be read.
    left: AtomicUsize,
    /// Whether the writing side is to be closed.
    closes: AtomicBool,
    /// Whether a byte was written since a head is expected.
    has_written: AtomicBool,
}

/// Bytes that may still be read, and whether more will be written; shared by a stream and its user.
#[derive(Debug, Clone)]
pub struct StreamControl(Arc<Shared>);

impl StreamControl {
    /// Bounds what is read from now on, as the next thing is a head.
    pub fn expect_head(&self) {
        self.0.left.store(HEAD_BYTES, Ordering::Relaxed);
        self.0.has_written.store(false, Ordering::Relaxed);
    }

    /// Lifts the bound, as the head is complete.
    pub fn lift(&self) {
        self.0.left.store(usize::MAX, Ordering::Relaxed);
    }

    /// Whether a byte was written since [`expect_head`](Self::expect_head).
    pub fn has_written(&self) -> bool {
        self.0.has_written.load(Ordering::Relaxed)
    }

    /// Closes the writing side before the next read or write. To the target it looks as if the whole
    /// connection was closed.
    pub fn close_writing(&self) {
        self.0.closes.store(true, Ordering::Relaxed);
    }
}

/// Stream that fails instead of reading on once its limit is used up.
#[derive(Debug)]
pub struct LimitedStream {
    stream: PacedStream,
    limit: StreamControl,
    /// Bytes read since the task last gave way.
    turn: usize,
}

impl LimitedStream {
    /// Stream without a bound at first, and its limit.
    pub fn new(stream: impl Into<PacedStream>) -> (Self, StreamControl) {
        let limit = StreamControl(Arc::new(Shared {
            left: AtomicUsize::new(usize::MAX),
            closes: AtomicBool::new(false),
            has_written: AtomicBool::new(false),
        }));
        let limited = LimitedStream {
            stream: stream.into(),
            limit: limit.clone(),
            turn: 0,
        };
        (limited, limit)
    }

    /// Fails if the writing side is to be closed: what was not written by then never is.
    fn check_open(&self) -> io::Result<()> {
        match self.limit.0.closes.load(Ordering::Relaxed) {
            true => Err(io::ErrorKind::BrokenPipe.into()),
            false => Ok(()),
        }
    }

    fn record_write(&self, polled: &Poll<io::Result<usize>>) {
        if matches!(polled, Poll::Ready(Ok(1..))) {
            self.limit.0.has_written.store(true, Ordering::Relaxed);
        }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.limit.0.closes.swap(false, Ordering::Relaxed) {
            // A connection that is broken shows at the read.
            let _ = Pin::new(&mut self.stream).poll_shutdown(cx);
        }
        let left = self.limit.0.left.load(Ordering::Relaxed);
        if left == 0 {
            let message = format!("the head of the answer is longer than {HEAD_BYTES} bytes");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        if self.turn >= TURN_BYTES {
            self.turn = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        self.turn = if read == 0 { 0 } else { self.turn + read };
        if left != usize::MAX {
            let left = left.saturating_sub(read);
            self.limit.0.left.store(left, Ordering::Relaxed);
        }
        polled
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_open()?;
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_open()?;
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
