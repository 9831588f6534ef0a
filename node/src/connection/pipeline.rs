//! Reads ahead on the connection of a caller, so that requests that were sent behind each other run
//! beside each other; see [`cornelrail_lib::connection::pipeline`] for which of them.
//!
//! The HTTP library parses and writes each exchange, on a stream in memory of its own. This module
//! only finds the end of a head, and writes the answers in the order of their requests. All
//! exchanges belong to the task of their connection, so that they end with it.

use crate::{
    process::{clock::Clock, entry::Entry},
    request::{proxy, proxy_body::ReplyBody},
};
use bytes::{Buf, Bytes, BytesMut};
use cornelrail_lib::{
    connection::pipeline::{
        ExchangeEnd, NextRequest, Pipeline, READ_BYTES_MAX, ReadTimes, Step, WAITING_BYTES_MAX,
    },
    moment::Moment,
};
use futures_util::{FutureExt, Stream, future::BoxFuture, stream::FuturesUnordered};
use http::{
    HeaderName, HeaderValue, Method, Uri,
    header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, TRANSFER_ENCODING, UPGRADE},
};
use http_body::{Body, Frame, SizeHint};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use std::{
    collections::VecDeque,
    convert::Infallible,
    future::poll_fn,
    io,
    mem::MaybeUninit,
    pin::{Pin, pin},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    task::{Context, Poll, Waker, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf},
    sync::watch,
    time::{Instant, Sleep, sleep_until, timeout},
};

/// Maximum number of header fields of a head; the default of the HTTP library.
const FIELDS_MAX: usize = 100;
/// Bytes that one read takes at most.
const READ_BYTES: usize = 8 << 10;
/// Bytes of the answer that is being written which are held at most, beside those of others.
const WRITE_BYTES: usize = 64 << 10;
/// Time for which bytes are read and dropped behind an answer that closes the connection. A
/// connection that is closed with bytes unread is reset, and the caller may not see that answer.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Limits of a connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Longest head.
    pub head_size: usize,
    /// Time within which the next head has to arrive when no answer is due.
    pub idle_time: Duration,
    /// Time until which the first request is waited for although the entry closes.
    pub first_until: Instant,
}

/// Serves requests that need not be handed over, concurrently. Returns the stream for the HTTP
/// library once the next request needs it, or `None` when the connection has ended.
pub async fn run<S>(
    stream: S,
    entry: Arc<Entry>,
    limits: ConnectionLimits,
    mut closing: watch::Receiver<bool>,
) -> Option<CallerStream<S>>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut caller = Caller::new(stream, entry, limits);
    let ended = tokio::select! {
        biased;
        ended = poll_fn(|cx| caller.poll(cx)) => Some(ended),
        _ = closing.wait_for(|closing| *closing) => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            caller.is_closing = true;
            poll_fn(|cx| caller.poll(cx)).await
        }
    };
    match ended {
        Ended::HandOver => return Some(caller.into_stream()),
        Ended::Left => {}
        Ended::Closed => close(caller.stream, caller.has_last).await,
    }
    None
}

/// Closes the writing side, and has the caller read what was written.
async fn close<S: AsyncRead + AsyncWrite + Unpin>(mut stream: S, lingers: bool) {
    let closing = async {
        let mut bytes = [0; 1024];
        // A caller that has left needs nothing more.
        if stream.shutdown().await.is_ok() && lingers {
            while let Ok(1..) = stream.read(&mut bytes).await {}
        }
    };
    let _ = timeout(LINGER_TIME, closing).await;
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How the reading ahead ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ended {
    /// The HTTP library goes on.
    HandOver,
    /// The caller has left.
    Left,
    /// What was due is written.
    Closed,
}

/// Answer of one exchange as far as it is not passed on.
#[derive(Debug, Default)]
struct Answer {
    bytes: BytesMut,
    /// Whether all earlier answers are passed on.
    is_first: bool,
    /// Whether the HTTP library has taken all of the body.
    has_body: bool,
    /// Whether it has written all of the answer.
    is_whole: bool,
    end: Option<ExchangeEnd>,
    writer: Option<Waker>,
}

/// Request under way.
struct Exchange {
    number: u64,
    serving: BoxFuture<'static, ExchangeEnd>,
}

impl Future for Exchange {
    type Output = (u64, ExchangeEnd);

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let end = ready!(self.serving.poll_unpin(cx));
        Poll::Ready((self.number, end))
    }
}

/// Connection of a caller.
struct Caller<S> {
    stream: S,
    entry: Arc<Entry>,
    limits: ConnectionLimits,
    /// What was read and not used.
    buffer: BytesMut,
    times: ReadTimes,
    /// Length of the buffer when it was last found to hold no whole head.
    scanned: usize,
    /// Whether the next request is one for the HTTP library.
    is_other: bool,
    has_read_end: bool,
    pipeline: Arc<Mutex<Pipeline>>,
    exchanges: FuturesUnordered<Exchange>,
    /// Answers that are not passed on as a whole, with the numbers of their requests.
    answers: VecDeque<(u64, Arc<Mutex<Answer>>)>,
    /// Bytes of answers that are not written.
    waiting: Arc<AtomicUsize>,
    /// Bytes to write next.
    output: BytesMut,
    /// Whether nothing follows the output.
    has_last: bool,
    idle: Option<Pin<Box<Sleep>>>,
    is_idle: bool,
    is_closing: bool,
}

impl<S: AsyncRead + AsyncWrite + Unpin> Caller<S> {
    fn new(stream: S, entry: Arc<Entry>, limits: ConnectionLimits) -> Self {
        Caller {
            stream,
            entry,
            limits,
            buffer: BytesMut::new(),
            times: ReadTimes::default(),
            scanned: 0,
            is_other: false,
            has_read_end: false,
            pipeline: Arc::default(),
            exchanges: FuturesUnordered::new(),
            answers: VecDeque::new(),
            waiting: Arc::default(),
            output: BytesMut::new(),
            has_last: false,
            idle: None,
            is_idle: false,
            is_closing: false,
        }
    }

    fn into_stream(self) -> CallerStream<S> {
        let read_at = ReadMoment(Arc::new(AtomicU64::new(0)));
        CallerStream {
            stream: self.stream,
            buffer: self.buffer,
            times: self.times,
            clock: self.entry.clock,
            read_at,
        }
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Ended> {
        loop {
            let Ok(has_read) = self.poll_read(cx) else {
                return Poll::Ready(Ended::Left);
            };
            let unanswered = lock(&self.pipeline).unanswered();
            if self.has_read_end && unanswered > 0 {
                return Poll::Ready(Ended::Left);
            }
            if !self.has_read_end && self.start_requests() == Step::HandOver {
                return Poll::Ready(Ended::HandOver);
            }
            let has_ended = self.poll_exchanges(cx);
            let Ok(has_written) = self.poll_write(cx) else {
                return Poll::Ready(Ended::Left);
            };
            if self.output.is_empty() && self.answers.is_empty() {
                if self.has_last || self.has_read_end || self.poll_idle(cx).is_ready() {
                    return Poll::Ready(Ended::Closed);
                }
            } else {
                self.is_idle = false;
            }
            if !(has_read || has_ended || has_written) {
                return Poll::Pending;
            }
        }
    }

    /// Reads once; returns whether that brought anything.
    fn poll_read(&mut self, cx: &mut Context<'_>) -> io::Result<bool> {
        if self.has_read_end || self.buffer.len() >= READ_BYTES_MAX {
            return Ok(false);
        }
        let mut space = [MaybeUninit::uninit(); READ_BYTES];
        let room = READ_BYTES.min(READ_BYTES_MAX - self.buffer.len());
        let mut read = ReadBuf::uninit(&mut space[..room]);
        match Pin::new(&mut self.stream).poll_read(cx, &mut read) {
            Poll::Pending => return Ok(false),
            Poll::Ready(read) => read?,
        }
        let read = read.filled();
        if read.is_empty() {
            self.has_read_end = true;
        } else {
            let now = self.entry.clock.now();
            self.times.record(now, read.len(), self.scanned > 0);
            self.buffer.extend_from_slice(read);
        }
        Ok(true)
    }

    /// Starts requests that were read; returns why it stops.
    fn start_requests(&mut self) -> Step {
        loop {
            let waiting = self.waiting.load(Ordering::Relaxed);
            let is_stopping = self.entry.is_stopping();
            if !lock(&self.pipeline).has_room(waiting, is_stopping) {
                return Step::Wait;
            }
            let (next, length) = self.next_request();
            let step = lock(&self.pipeline).next_step(next, waiting, is_stopping);
            if step != Step::Start {
                return step;
            }
            self.start(length);
        }
    }

    /// What the buffer begins with, and the length of its head.
    fn next_request(&mut self) -> (NextRequest, usize) {
        if self.is_other {
            return (NextRequest::Other, 0);
        }
        let may_end = self.scanned == 0 || ends_head(&self.buffer, self.scanned);
        let next = match self.buffer.is_empty() || !may_end {
            true => None,
            false => self.parse(),
        };
        let size = self.limits.head_size.min(READ_BYTES_MAX);
        match next {
            Some((kind, length)) => {
                self.scanned = 0;
                self.is_other = kind == NextRequest::Other || length > self.limits.head_size;
            }
            None => {
                self.scanned = self.buffer.len();
                self.is_other = self.scanned >= size;
            }
        }
        match next {
            _ if self.is_other => (NextRequest::Other, 0),
            Some(next) => next,
            None => (NextRequest::Incomplete, 0),
        }
    }

    /// Kind of the request whose head the buffer begins with; `None` if that is not whole.
    fn parse(&self) -> Option<(NextRequest, usize)> {
        let mut fields = [MaybeUninit::uninit(); FIELDS_MAX];
        let mut head = httparse::Request::new(&mut []);
        let length = match head.parse_with_uninit_headers(&self.buffer, &mut fields) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return None,
            Err(_) => return Some((NextRequest::Other, 0)),
        };
        let kind = match find_route(&head) {
            Some((host, uri)) => match self.entry.router().route_kind(&host, uri.path()) {
                Some(kind) if kind.is_idempotent() => NextRequest::Idempotent,
                Some(_) => NextRequest::Other,
                None => NextRequest::Unrouted,
            },
            None => NextRequest::Other,
        };
        Some((kind, length))
    }

    /// Starts the request whose head has this length.
    fn start(&mut self, length: usize) {
        let since = self.times.time_of(length);
        let since = since.unwrap_or_else(|| self.entry.clock.now());
        self.times.consume(length);
        let head = self.buffer.split_to(length).freeze();
        if self.buffer.is_empty() {
            // An idle connection holds no memory for what it may read.
            self.buffer = BytesMut::new();
        }
        if lock(&self.pipeline).unanswered() > 0 {
            metrics::counter!("cornelrail_pipelined_requests_total").increment(1);
        }
        let number = lock(&self.pipeline).start();
        let answer = Arc::default();
        let stream = ExchangeStream {
            head,
            answer: Arc::clone(&answer),
            waiting: self.waiting.clone(),
        };
        let (entry, pipeline) = (self.entry.clone(), self.pipeline.clone());
        let body_answer = answer.clone();
        let service = service_fn(move |request| {
            let (entry, pipeline) = (entry.clone(), pipeline.clone());
            let answer = body_answer.clone();
            async move {
                let mut response = proxy::serve(&entry, request, since).await;
                if lock(&pipeline).closes(number, entry.is_stopping()) {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                Ok::<_, Infallible>(response.map(|body| ExchangeBody { body, answer }))
            }
        });
        let connection = http1::Builder::new()
            // The head is whole already.
            .header_read_timeout(None)
            .max_buf_size(self.limits.head_size)
            .serve_connection(TokioIo::new(stream), service);
        let written = answer.clone();
        let serving = async move {
            let mut connection = pin!(connection);
            poll_fn(|cx| match connection.as_mut().poll(cx) {
                Poll::Ready(Ok(())) => Poll::Ready(ExchangeEnd::Closing),
                Poll::Ready(Err(_)) => Poll::Ready(ExchangeEnd::Broken),
                Poll::Pending if lock(&written).is_whole => Poll::Ready(ExchangeEnd::Whole),
                Poll::Pending => Poll::Pending,
            })
            .await
        };
        self.answers.push_back((number, answer));
        let serving = serving.boxed();
        self.exchanges.push(Exchange { number, serving });
    }

    /// Carries on the exchanges; returns whether one has ended.
    fn poll_exchanges(&mut self, cx: &mut Context<'_>) -> bool {
        let mut has_ended = false;
        while let Poll::Ready(Some((number, end))) = Pin::new(&mut self.exchanges).poll_next(cx) {
            has_ended = true;
            if let Some((_, answer)) = self.answers.iter().find(|(one, _)| *one == number) {
                lock(answer).end = Some(end);
            }
            lock(&self.pipeline).record_end(number, end);
            if end != ExchangeEnd::Whole {
                self.drop_behind();
            }
        }
        has_ended
    }

    /// Drops the exchanges that get no answer.
    fn drop_behind(&mut self) {
        let pipeline = lock(&self.pipeline);
        self.answers
            .retain(|(number, _)| !pipeline.is_dropped(*number));
        let exchanges = std::mem::take(&mut self.exchanges);
        let kept = exchanges
            .into_iter()
            .filter(|one| !pipeline.is_dropped(one.number));
        self.exchanges = kept.collect();
    }

    /// Passes answers on in their order; returns whether any of it was written.
    fn poll_write(&mut self, cx: &mut Context<'_>) -> io::Result<bool> {
        let mut has_written = false;
        loop {
            self.fill_output();
            if self.output.is_empty() {
                break;
            }
            match Pin::new(&mut self.stream).poll_write(cx, &self.output) {
                Poll::Pending => break,
                Poll::Ready(Ok(0)) => return Err(io::ErrorKind::WriteZero.into()),
                Poll::Ready(written) => {
                    let written = written?;
                    self.output.advance(written);
                    self.waiting.fetch_sub(written, Ordering::Relaxed);
                    has_written = true;
                }
            }
        }
        if let Poll::Ready(flushed) = Pin::new(&mut self.stream).poll_flush(cx) {
            flushed?;
        }
        Ok(has_written)
    }

    fn fill_output(&mut self) {
        while let Some((_, answer)) = self.answers.front()
            && self.output.len() < WRITE_BYTES
        {
            let mut answer = lock(answer);
            answer.is_first = true;
            match self.output.is_empty() {
                true => self.output = std::mem::take(&mut answer.bytes),
                false => self.output.extend_from_slice(&answer.bytes.split()),
            }
            if let Some(writer) = answer.writer.take() {
                writer.wake();
            }
            if answer.end.is_none() {
                break;
            }
            drop(answer);
            self.answers.pop_front();
            self.has_last |= lock(&self.pipeline).record_answer();
        }
    }

    /// Ends when the caller has sent no head in time, or the entry closes and none is under way.
    fn poll_idle(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let has_started = lock(&self.pipeline).has_started();
        if !self.is_idle {
            self.is_idle = true;
            let until = Instant::now() + self.limits.idle_time;
            match &mut self.idle {
                Some(idle) => idle.as_mut().reset(until),
                None => self.idle = Some(Box::pin(sleep_until(until))),
            }
        }
        let Some(idle) = &mut self.idle else {
            return Poll::Pending;
        };
        if self.is_closing && self.buffer.is_empty() {
            if has_started {
                return Poll::Ready(());
            }
            if idle.deadline() > self.limits.first_until {
                idle.as_mut().reset(self.limits.first_until);
            }
        }
        idle.as_mut().poll(cx)
    }
}

/// Whether the bytes from the last three before `from` on hold an empty line.
fn ends_head(bytes: &[u8], from: usize) -> bool {
    let bytes = &bytes[from.saturating_sub(3)..];
    let mut ends = bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
    ends.any(|(at, _)| {
        let behind = &bytes[at + 1..];
        behind.starts_with(b"\n") || behind.starts_with(b"\r\n")
    })
}

/// Host and URI of a request that has no body and concerns no more than its exchange.
fn find_route(head: &httparse::Request<'_, '_>) -> Option<(String, Uri)> {
    let is_plain = head.version == Some(1) && head.method != Some(Method::CONNECT.as_str());
    if !is_plain || !head.headers.iter().all(is_plain_field) {
        return None;
    }
    let uri: Uri = head.path?.parse().ok()?;
    let mut fields = head.headers.iter();
    let host = fields.find(|field| field.name.eq_ignore_ascii_case(HOST.as_str()));
    let host = host.and_then(|field| std::str::from_utf8(field.value).ok());
    let host = host.or(uri.host()).unwrap_or_default().to_owned();
    Some((host, uri))
}

/// Whether a header field leaves a request without a body, and its connection open.
fn is_plain_field(field: &httparse::Header<'_>) -> bool {
    let is_one_of = |names: &[HeaderName]| {
        let mut names = names.iter();
        names.any(|name| field.name.eq_ignore_ascii_case(name.as_str()))
    };
    if is_one_of(&[CONTENT_LENGTH]) {
        return field.value == b"0";
    }
    if is_one_of(&[CONNECTION]) {
        return field.value.eq_ignore_ascii_case(b"keep-alive");
    }
    !is_one_of(&[TRANSFER_ENCODING, UPGRADE, EXPECT])
}

/// Stream in memory of one exchange: its head, and the answer as it is written.
struct ExchangeStream {
    head: Bytes,
    answer: Arc<Mutex<Answer>>,
    waiting: Arc<AtomicUsize>,
}

impl AsyncRead for ExchangeStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.head.is_empty() {
            // The caller is watched by the reader of its connection.
            return Poll::Pending;
        }
        let length = self.head.len().min(buf.remaining());
        buf.put_slice(&self.head.split_to(length));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ExchangeStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut answer = lock(&self.answer);
        let is_full = match answer.is_first {
            true => answer.bytes.len() >= WRITE_BYTES,
            false => self.waiting.load(Ordering::Relaxed) >= WAITING_BYTES_MAX,
        };
        if is_full {
            answer.writer = Some(cx.waker().clone());
            return Poll::Pending;
        }
        answer.bytes.extend_from_slice(buf);
        self.waiting.fetch_add(buf.len(), Ordering::Relaxed);
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The library flushes the stream once it has written all that it holds.
        let mut answer = lock(&self.answer);
        answer.is_whole = answer.has_body;
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Body of an answer, which tells when the HTTP library has taken all of it.
struct ExchangeBody {
    body: ReplyBody,
    answer: Arc<Mutex<Answer>>,
}

impl Drop for ExchangeBody {
    fn drop(&mut self) {
        lock(&self.answer).has_body = true;
    }
}

impl Body for ExchangeBody {
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

/// When the last bytes were read from a [`CallerStream`]. A request that was read with others
/// before it was read no later than that.
#[derive(Debug, Clone)]
pub struct ReadMoment(Arc<AtomicU64>);

impl ReadMoment {
    /// The time of the last read.
    pub fn get(&self) -> Moment {
        Moment::from_micros(self.0.load(Ordering::Relaxed))
    }

    fn set(&self, moment: Moment) {
        self.0.store(moment.as_micros(), Ordering::Relaxed);
    }
}

/// Stream of a caller behind what was read ahead on it.
#[derive(Debug)]
pub struct CallerStream<S> {
    stream: S,
    buffer: BytesMut,
    times: ReadTimes,
    clock: Clock,
    read_at: ReadMoment,
}

impl<S> CallerStream<S> {
    /// When the last bytes were read.
    pub fn read_moment(&self) -> ReadMoment {
        self.read_at.clone()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CallerStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // One read ahead at a time, so that each request gets the time of its own.
        if let Some((bytes, at)) = self.times.first_read() {
            let length = bytes.min(buf.remaining());
            buf.put_slice(&self.buffer.split_to(length));
            self.times.consume(length);
            if self.buffer.is_empty() {
                self.buffer = BytesMut::new();
            }
            self.read_at.set(at);
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.read_at.set(self.clock.now());
        }
        polled
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
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
