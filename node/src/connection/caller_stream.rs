//! Stream of a caller for the HTTP library, which serves one request after the other on it.
//!
//! The library does not read on while it holds bytes of the next request, so it would neither see a
//! caller leave nor could it tell when that request came. The stream therefore gives it the bytes of
//! one request at a time, and reads ahead itself while that one is served. Where the end of a
//! request is not known from its head, such as that of a chunked one, it passes on all that comes.

use super::{deadline::Deadline, reset_stream::ResetOnClose};
use crate::{process::clock::Clock, request::proxy_body::ReplyBody};
use bytes::BytesMut;
use cornelrail_lib::{
    connection::{
        arrival::{Arrival, Overdue},
        pipeline::{READ_BYTES_MAX, ReadTimes},
    },
    moment::Moment,
    version::desired::RequestLimits,
};
use futures_util::task::AtomicWaker;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING, UPGRADE};
use http_body::{Body, Frame, SizeHint};
use std::{
    io,
    mem::MaybeUninit,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    sync::watch,
};

/// Maximum number of header fields of a head; the default of the HTTP library.
const FIELDS_MAX: usize = 100;
/// Bytes that one read takes at most.
const READ_BYTES: usize = 8 << 10;
/// Bytes of a body that one read takes at most.
const PASS_BYTES: usize = 16 << 10;

/// Bytes of a caller that were read and not used, with the times of their reads.
#[derive(Debug, Default)]
pub struct ReadAhead {
    /// The bytes.
    pub bytes: BytesMut,
    /// When they were read.
    pub times: ReadTimes,
    /// Length of the bytes when they were last found to hold no whole head.
    scanned: usize,
}

impl ReadAhead {
    /// Whether there is room for more.
    pub fn has_room(&self) -> bool {
        self.bytes.len() < READ_BYTES_MAX
    }

    /// Reads once; returns whether the caller has not ended its stream.
    pub fn poll_read<S: AsyncRead + Unpin>(
        &mut self,
        cx: &mut Context<'_>,
        stream: &mut S,
        clock: Clock,
    ) -> Poll<io::Result<bool>> {
        let mut space = [MaybeUninit::uninit(); READ_BYTES];
        let room = READ_BYTES.min(READ_BYTES_MAX - self.bytes.len());
        let mut read = ReadBuf::uninit(&mut space[..room]);
        ready!(Pin::new(stream).poll_read(cx, &mut read))?;
        let read = read.filled();
        if !read.is_empty() {
            let in_head = self.scanned > 0 && self.scanned == self.bytes.len();
            self.times.record(clock.now(), read.len(), in_head);
            self.bytes.extend_from_slice(read);
        }
        Poll::Ready(Ok(!read.is_empty()))
    }

    /// Parses the head at the start; `None` if it is not whole. Gives its length, and what `read`
    /// finds in it.
    pub fn parse_head<T>(
        &mut self,
        read: impl FnOnce(&httparse::Request<'_, '_>) -> T,
    ) -> Option<Result<(usize, T), httparse::Error>> {
        if self.bytes.is_empty() || (self.scanned > 0 && !self.has_empty_line()) {
            self.scanned = self.bytes.len();
            return None;
        }
        let mut fields = [MaybeUninit::uninit(); FIELDS_MAX];
        let mut head = httparse::Request::new(&mut []);
        let parsed = head.parse_with_uninit_headers(&self.bytes, &mut fields);
        self.scanned = 0;
        match parsed {
            Ok(httparse::Status::Complete(length)) => Some(Ok((length, read(&head)))),
            Ok(httparse::Status::Partial) => {
                self.scanned = self.bytes.len();
                None
            }
            Err(error) => Some(Err(error)),
        }
    }

    /// Takes the first bytes out.
    pub fn split_to(&mut self, length: usize) -> BytesMut {
        self.times.consume(length);
        let taken = self.bytes.split_to(length);
        if self.bytes.is_empty() {
            // An idle connection holds no memory for what it may read.
            self.bytes = BytesMut::new();
        }
        taken
    }

    /// Whether an empty line ends in the bytes that were not scanned.
    fn has_empty_line(&self) -> bool {
        let bytes = &self.bytes[self.scanned.saturating_sub(3)..];
        let mut ends = bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
        ends.any(|(at, _)| {
            let behind = &bytes[at + 1..];
            behind.starts_with(b"\n") || behind.starts_with(b"\r\n")
        })
    }
}

/// Requests of a [`CallerStream`] that the HTTP library serves.
#[derive(Debug, Default)]
pub struct Served {
    /// When the head of the latest request was read, in microseconds.
    read_at: AtomicU64,
    /// Answers whose bodies the library has taken.
    answered: AtomicU64,
    /// Whether the end of a request is known to the library alone from now on.
    is_opaque: AtomicBool,
    reader: AtomicWaker,
}

impl Served {
    /// When the head of the present request was read off the wire, or a bit earlier.
    pub fn read_at(&self) -> Moment {
        Moment::from_micros(self.read_at.load(Ordering::Relaxed))
    }

    /// Whether the end of a request is known to the library alone from now on.
    pub fn is_opaque(&self) -> bool {
        self.is_opaque.load(Ordering::Relaxed)
    }

    /// Number of answers whose bodies the library has taken.
    pub fn answered(&self) -> u64 {
        self.answered.load(Ordering::Relaxed)
    }
}

/// Body of an answer, which counts once the HTTP library has taken all of it.
#[derive(Debug)]
pub struct CountedBody {
    body: ReplyBody,
    served: Arc<Served>,
}

impl CountedBody {
    /// Body that counts among the answers of `served`.
    pub fn new(body: ReplyBody, served: Arc<Served>) -> Self {
        CountedBody { body, served }
    }
}

impl Drop for CountedBody {
    fn drop(&mut self) {
        self.served.answered.fetch_add(1, Ordering::Relaxed);
        self.served.reader.wake();
    }
}

impl Body for CountedBody {
    type Data = <ReplyBody as Body>::Data;
    type Error = <ReplyBody as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// What comes next on the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    /// A head, of which the library has so many bytes.
    Head(usize),
    /// So many bytes of the present request.
    Rest(u64),
    /// Bytes whose meaning is the library's alone.
    Unknown,
}

/// Why a stream has ended for the library before its caller left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// Other limits are in force; the next request begins on a new one.
    Outdated,
    /// The caller was idle for too long.
    Idle,
    /// The next head is not whole in time.
    Late,
}

impl StreamEnd {
    fn error(self) -> io::Error {
        match self {
            StreamEnd::Outdated => io::ErrorKind::Interrupted.into(),
            StreamEnd::Idle | StreamEnd::Late => io::ErrorKind::TimedOut.into(),
        }
    }
}

/// Stream of a caller behind what was read ahead on it.
///
/// The library takes the limits of a connection once. So the stream ends for it between two requests
/// when others are in force, and the connection goes on as a new one of the library.
#[derive(Debug)]
pub struct CallerStream<S> {
    stream: S,
    ahead: ReadAhead,
    clock: Clock,
    next: Next,
    /// Requests that the library has as a whole.
    passed: u64,
    /// Answers that the library has written as a whole.
    flushed: u64,
    served: Arc<Served>,
    limits: watch::Receiver<RequestLimits>,
    /// Wait for the next head, while no answer is due.
    arrival: Option<Arrival>,
    timer: Deadline,
    end: Option<StreamEnd>,
}

impl<S> CallerStream<S> {
    /// Stream on which so much was read ahead, from the start of a request. It holds until there is
    /// a change of the limits that the receiver has not seen.
    pub fn new(
        stream: S,
        ahead: ReadAhead,
        clock: Clock,
        limits: watch::Receiver<RequestLimits>,
    ) -> Self {
        CallerStream {
            stream,
            ahead,
            clock,
            next: Next::Head(0),
            passed: 0,
            flushed: 0,
            served: Arc::default(),
            limits,
            arrival: None,
            timer: Deadline::default(),
            end: None,
        }
    }

    /// Why it has ended for the library.
    pub fn end(&self) -> Option<StreamEnd> {
        self.end
    }

    /// The same for the next requests, under the limits that are in force now.
    pub fn renewed(mut self) -> Self {
        self.limits.mark_unchanged();
        CallerStream::new(self.stream, self.ahead, self.clock, self.limits)
    }

    /// Limits under which the library serves it.
    pub fn limits(&self) -> RequestLimits {
        *self.limits.borrow()
    }

    /// The stream itself.
    pub fn into_inner(self) -> S {
        self.stream
    }

    fn end_by(&mut self, end: StreamEnd) -> io::Error {
        self.end = Some(end);
        end.error()
    }

    /// Whether the library has no part of a request or answer, and other limits are in force.
    fn is_outdated(&self) -> bool {
        let is_between = self.next == Next::Head(0) && self.flushed >= self.passed;
        is_between && self.limits.has_changed().unwrap_or(false)
    }

    /// Ends when the next head is not there in time.
    fn poll_arrival(&mut self, cx: &mut Context<'_>, has_part: bool) -> Poll<StreamEnd> {
        let now = self.clock.now();
        let arrival = self.arrival.get_or_insert_with(|| Arrival::new(now));
        arrival.record(now, has_part);
        let until = arrival.deadline(&self.limits.borrow());
        let end = match arrival.reason() {
            Overdue::Idle => StreamEnd::Idle,
            Overdue::Head => StreamEnd::Late,
        };
        self.timer.poll(cx, self.clock, until).map(|()| end)
    }

    /// Requests that the library serves.
    pub fn served(&self) -> Arc<Served> {
        self.served.clone()
    }

    fn set_read_at(&self, at: Moment) {
        self.served.read_at.store(at.as_micros(), Ordering::Relaxed);
    }

    /// Finds out what the bytes ahead are, of which the library has the first `given`.
    fn scan(&mut self, given: usize) {
        let parsed = self.ahead.parse_head(body_length);
        let next = match parsed {
            None if self.ahead.has_room() => return,
            Some(Ok((length, body))) => {
                let read_at = self.ahead.times.time_of(length);
                self.set_read_at(read_at.unwrap_or_else(|| self.clock.now()));
                body.map_or(Next::Unknown, |body| {
                    Next::Rest(body.saturating_add((length - given) as u64))
                })
            }
            None | Some(Err(_)) => Next::Unknown,
        };
        let is_opaque = next == Next::Unknown;
        self.served.is_opaque.store(is_opaque, Ordering::Relaxed);
        self.ahead.split_to(given);
        self.next = next;
        self.arrival = None;
    }
}

/// Length of the body of a request, if its head tells.
fn body_length(head: &httparse::Request<'_, '_>) -> Option<u64> {
    let mut length = None;
    for field in head.headers.iter() {
        let is = |name: &str| field.name.eq_ignore_ascii_case(name);
        if is(TRANSFER_ENCODING.as_str()) || is(UPGRADE.as_str()) {
            return None;
        }
        if is(CONTENT_LENGTH.as_str()) {
            let named = std::str::from_utf8(field.value).ok()?.parse().ok()?;
            if length.replace(named).is_some() {
                return None;
            }
        }
    }
    (head.method != Some("CONNECT")).then_some(length.unwrap_or(0))
}

impl<S: ResetOnClose> ResetOnClose for CallerStream<S> {
    fn reset_on_close(&self, resets: bool) -> io::Result<()> {
        self.stream.reset_on_close(resets)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CallerStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        loop {
            let given = match this.next {
                Next::Head(given) => given,
                Next::Rest(_) | Next::Unknown => return this.poll_pass(cx, buf),
            };
            let is_held = this.passed > this.served.answered();
            if !is_held && this.is_outdated() {
                return Poll::Ready(Err(this.end_by(StreamEnd::Outdated)));
            }
            if !is_held && this.ahead.bytes.len() > given {
                this.scan(given);
                if let Next::Head(_) = this.next {
                    // The library bounds the length of a head, and the time that it takes.
                    let bytes = &this.ahead.bytes[given..];
                    let length = bytes.len().min(buf.remaining());
                    buf.put_slice(&bytes[..length]);
                    this.next = Next::Head(given + length);
                    return Poll::Ready(Ok(()));
                }
                continue;
            }
            if is_held && !this.ahead.bytes.is_empty() {
                this.served.reader.register(cx.waker());
                // The answer may have been taken meanwhile.
                if this.passed <= this.served.answered() {
                    continue;
                }
                if !this.ahead.has_room() {
                    return Poll::Pending;
                }
            }
            match this.ahead.poll_read(cx, &mut this.stream, this.clock)? {
                Poll::Ready(true) => {}
                Poll::Ready(false) => return Poll::Ready(Ok(())),
                Poll::Pending if is_held => return Poll::Pending,
                Poll::Pending => {
                    let end = ready!(this.poll_arrival(cx, given > 0));
                    return Poll::Ready(Err(this.end_by(end)));
                }
            }
        }
    }
}

impl<S: AsyncRead + Unpin> CallerStream<S> {
    /// Passes on bytes that are not those of a head.
    fn poll_pass(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let left = match self.next {
            Next::Rest(left) => usize::try_from(left).unwrap_or(usize::MAX),
            _ => usize::MAX,
        };
        let passed = if self.ahead.bytes.is_empty() {
            let room = left.min(buf.remaining()).min(PASS_BYTES);
            let mut read = ReadBuf::new(buf.initialize_unfilled_to(room));
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut read))?;
            let length = read.filled().len();
            buf.advance(length);
            if length > 0 && self.next == Next::Unknown {
                // Any request that the library takes from now on was read no later.
                self.set_read_at(self.clock.now());
            }
            length
        } else {
            let length = left.min(buf.remaining()).min(self.ahead.bytes.len());
            buf.put_slice(&self.ahead.split_to(length));
            length
        };
        if let Next::Rest(left) = &mut self.next {
            *left -= passed as u64;
            if *left == 0 {
                self.passed += 1;
                self.next = Next::Head(0);
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CallerStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        // The library flushes the stream once it has written all that it holds.
        self.flushed = self.served.answered();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.end {
            // The connection goes on, or gets an answer first.
            Some(StreamEnd::Outdated | StreamEnd::Late) => Poll::Ready(Ok(())),
            Some(StreamEnd::Idle) | None => Pin::new(&mut self.stream).poll_shutdown(cx),
        }
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
