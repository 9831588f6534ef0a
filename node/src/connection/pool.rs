//! Connections of an entry to the targets that it sends to itself.
//!
//! A connection is driven by the request that uses it: nothing of it runs while it is idle, and
//! dropping a request closes it, which is how a target learns that its caller has left. A connection
//! goes back to the pool only when the answer and the request's body have both ended, so what a
//! target sends beyond its answer is never taken for the next one. A connection on which a request
//! was turned away never carries that request again, as a second copy of the refusal would look like
//! its answer.

use super::{
    limited_stream::{HEAD_BYTES, LimitedStream, StreamControl},
    link::{Admission, Link},
    paced_stream::{PacedStream, StreamHandle},
};
use crate::request::{body::Broken, message::is_final, proxy_body::RequestBody};
use bytes::{Bytes, BytesMut};
use cornelrail_lib::version::catalog::TargetId;
use futures_util::FutureExt;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use hyper::{
    body::Incoming,
    client::conn::{
        TrySendError,
        http1::{self, Connection, SendRequest},
    },
};
use hyper_util::rt::TokioIo;
use std::{
    collections::HashMap,
    future::poll_fn,
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
    time::Duration,
};
use thiserror::Error;
use tokio::{
    io::AsyncReadExt,
    net::TcpStream,
    time::{Instant, timeout},
};

/// Longest time to connect to a target: a host whose link is full of uploads needs several hundred
/// milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time in which a target that has too many connections resets a new one.
const RESET_TIME: Duration = Duration::from_millis(1);
/// Part of the time left for a request that may go by before it is connected.
const CONNECT_SHARE: f64 = 0.33;
/// Idle time after which a connection carries no request that must run at most once, unless the
/// target says less: targets may drop idle connections sooner than they say, and a reset leaves open
/// whether the request has run.
const IDLE_TIME: Duration = Duration::from_secs(4);
/// Connection time assumed before the first connection is set up.
const INITIAL_CONNECT_TIME: Duration = Duration::from_millis(5);
/// Mean time to connect from which the link counts as full; 3 to 10 ms are usual.
const SLOW_CONNECT_TIME: Duration = Duration::from_millis(100);
/// Weight of the latest connection time in the mean.
const CONNECT_TIME_WEIGHT: f64 = 0.125;
/// Refusals after which a connection is not used again, so that it holds few identities.
const REFUSALS_MAX: usize = 16;
/// Header fields of an answer that are parsed, as many as the library takes.
const FIELDS_MAX: usize = 100;
/// Part of the target's own idle time in which a connection carries requests that must run at most
/// once.
const KEEP_SHARE: f64 = 0.6;
/// The same for idempotent requests, which may be sent again.
const IDEMPOTENT_KEEP_SHARE: f64 = 0.8;
/// Longest idle time of a connection, however long the target keeps it.
const IDEMPOTENT_IDLE_TIME: Duration = Duration::from_secs(30);

/// Why a target gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SendError {
    /// No byte of the request reached the target.
    #[error("the target could not be reached; no byte was sent")]
    NotSent,
    /// The target closed the new connection before a byte was sent: it has too many.
    #[error("the target has too many connections; no byte was sent")]
    TurnedAway,
    /// The connection broke after bytes may have reached the target.
    #[error("the connection broke while the target may have run the request")]
    Broken,
}

/// One connection to a target; dropping it closes it.
pub struct TargetConnection {
    sender: SendRequest<RequestBody>,
    driver: Pin<Box<Connection<TokioIo<LimitedStream>, RequestBody>>>,
    control: StreamControl,
    handle: StreamHandle,
    requests: u32,
    /// Digests of the identities of requests that were turned away on it.
    refused: Vec<u64>,
    over: bool,
}

impl std::fmt::Debug for TargetConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TargetConnection")
            .field("over", &self.over)
            .finish_non_exhaustive()
    }
}

impl TargetConnection {
    async fn open(
        address: SocketAddr,
        limit: Duration,
        link: Option<Arc<Link>>,
    ) -> Result<Self, SendError> {
        let connecting = timeout(limit, TcpStream::connect(address)).await;
        let stream = connecting
            .ok()
            .and_then(Result::ok)
            .ok_or(SendError::NotSent)?;
        stream.set_nodelay(true).map_err(|_| SendError::NotSent)?;
        // A target says nothing before it is asked. Once a byte is sent, a reset proves nothing.
        if timeout(RESET_TIME, stream.readable()).await.is_ok() {
            return Err(SendError::TurnedAway);
        }
        let stream = PacedStream::target(stream, link);
        let handle = stream.handle();
        let (stream, control) = LimitedStream::new(stream);
        let mut builder = http1::Builder::new();
        let builder = builder.max_buf_size(HEAD_BYTES);
        let shaken = builder.handshake(TokioIo::new(stream)).await;
        let (sender, driver) = shaken.map_err(|_| SendError::NotSent)?;
        Ok(TargetConnection {
            sender,
            driver: Box::pin(driver),
            control,
            handle,
            requests: 0,
            refused: Vec::new(),
            over: false,
        })
    }

    /// Tells whether a byte of the next request was written.
    pub fn control(&self) -> StreamControl {
        self.control.clone()
    }

    /// Whether it has carried no request yet.
    pub fn is_new(&self) -> bool {
        self.requests == 0
    }

    /// Whether it has carried an earlier request, of which a second answer may arrive.
    pub fn is_reused(&self) -> bool {
        self.requests > 1
    }

    /// Records that the target turned the request with this identity away.
    pub fn record_refusal(&mut self, request: &str) {
        self.refused.push(digest(request));
    }

    /// Whether it may carry a request. The target may write the refusal of an earlier sending once
    /// more, and nothing would tell that from the answer.
    fn may_carry(&self, request: &str) -> bool {
        self.refused.is_empty() || !self.refused.contains(&digest(request))
    }

    /// Has the body of the next request counted as part of an admitted one.
    pub fn carry(&self, admission: Option<&Admission>) {
        if let Some(admission) = admission {
            self.handle.carry(admission);
        }
    }

    /// Sends a request, whose answer is then awaited.
    pub fn send(mut self, request: Request<RequestBody>) -> Exchange {
        self.requests = self.requests.saturating_add(1);
        self.control.expect_head();
        let answer = Box::pin(self.sender.try_send_request(request));
        Exchange {
            connection: self,
            answer,
            unsent: None,
        }
    }

    /// Reads the head that follows an answer on this connection. The library takes what it did not
    /// wait for as an error, so the head is parsed here.
    pub async fn read_head_behind(mut self, mut body: Incoming) -> Option<(StatusCode, HeaderMap)> {
        let mut skipped = 0;
        loop {
            let frame = poll_fn(|cx| {
                self.drive(cx);
                Pin::new(&mut body).poll_frame(cx)
            });
            let Some(frame) = frame.await else {
                break;
            };
            skipped += frame.ok()?.data_ref().map_or(0, Bytes::len);
            if skipped > HEAD_BYTES {
                return None;
            }
        }
        let parts = Pin::into_inner(self.driver).into_parts();
        let mut stream = parts.io.into_inner();
        let mut head = BytesMut::from(parts.read_buf);
        loop {
            if let Some(parsed) = parse_head(&head) {
                return Some(parsed);
            }
            if head.len() > HEAD_BYTES || stream.read_buf(&mut head).await.ok()? == 0 {
                return None;
            }
        }
    }

    fn drive(&mut self, cx: &mut Context<'_>) {
        if !self.over && self.driver.as_mut().poll(cx).is_ready() {
            self.over = true;
        }
    }

    /// Whether it is still open and has nothing to read.
    fn is_idle(&mut self) -> bool {
        if !self.over && self.driver.as_mut().now_or_never().is_some() {
            self.over = true;
        }
        !self.over && self.sender.is_ready()
    }
}

type Answered = Result<Response<Incoming>, TrySendError<Request<RequestBody>>>;

/// A request on its connection, whose answer has not begun yet. Dropping it closes the connection.
pub struct Exchange {
    connection: TargetConnection,
    answer: Pin<Box<dyn Future<Output = Answered> + Send>>,
    /// Body of the request, if the connection was closed before anything of it was written.
    unsent: Option<RequestBody>,
}

impl std::fmt::Debug for Exchange {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Exchange").field(&self.connection).finish()
    }
}

impl Exchange {
    /// Waits for the head of the answer. Nothing is lost if the wait is given up.
    pub async fn head(&mut self) -> Result<Response<Incoming>, SendError> {
        let connection = &mut self.connection;
        loop {
            tokio::select! {
                biased;
                answer = &mut self.answer => {
                    connection.control.lift();
                    return match answer {
                        Ok(response) if is_final(response.status()) => Ok(response),
                        Ok(_invalid) => Err(SendError::Broken),
                        Err(mut error) => Err(match error.take_message() {
                            Some(unsent) => {
                                self.unsent = Some(unsent.into_body());
                                SendError::NotSent
                            }
                            None if !connection.control.has_written() => SendError::NotSent,
                            None => SendError::Broken,
                        }),
                    };
                }
                // A broken connection shows at the request that uses it.
                _ = &mut connection.driver, if !connection.over => connection.over = true,
            }
        }
    }

    /// Tells the target that nobody waits for the answer, which may be read nevertheless.
    pub fn abandon(&self) {
        self.connection.control.close_writing();
    }

    /// Body of a request of which nothing was written.
    pub fn take_unsent(&mut self) -> Option<RequestBody> {
        self.unsent.take()
    }

    /// The connection, once the answer has begun.
    pub fn into_connection(self) -> TargetConnection {
        self.connection
    }
}

#[derive(Debug)]
struct Idle {
    connection: TargetConnection,
    /// End of the time in which it carries requests that must run at most once.
    until: Instant,
    /// The same for idempotent requests.
    idempotent_until: Instant,
}

impl Idle {
    fn may_carry(&self, now: Instant, wish: Wish<'_>) -> bool {
        let until = match wish.is_idempotent {
            true => self.idempotent_until,
            false => self.until,
        };
        now < until && self.connection.may_carry(wish.request)
    }
}

/// Request that needs a connection.
#[derive(Debug, Clone, Copy)]
pub struct Wish<'a> {
    /// Identity of the request.
    pub request: &'a str,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// Time left for it.
    pub left: Duration,
}

/// Idle connections by target.
#[derive(Debug, Clone)]
pub struct Pool {
    idle: Arc<Mutex<HashMap<TargetId, Vec<Idle>>>>,
    link: Option<Arc<Link>>,
    /// Mean time to connect.
    connect_time: Arc<Mutex<Duration>>,
    /// Idle connections to all targets together. Each holds 16 KiB of buffers.
    idle_max: usize,
}

impl Pool {
    /// A pool that keeps at most so many idle connections, which share the budget of a link.
    pub fn new(idle_max: usize, link: Option<Arc<Link>>) -> Self {
        Pool {
            idle: Arc::default(),
            link,
            connect_time: Arc::new(Mutex::new(INITIAL_CONNECT_TIME)),
            idle_max,
        }
    }

    /// An idle connection, or a new one, for a request.
    pub async fn take(
        &self,
        id: TargetId,
        address: SocketAddr,
        wish: Wish<'_>,
    ) -> Result<TargetConnection, SendError> {
        while let Some(mut idle) = self.pop(id, wish) {
            if idle.connection.is_idle() {
                metrics::counter!("cornelrail_target_reuses_total").increment(1);
                return Ok(idle.connection);
            }
        }
        self.open(address, wish.left).await
    }

    /// A new connection for a request that has so much time left.
    pub async fn open(
        &self,
        address: SocketAddr,
        left: Duration,
    ) -> Result<TargetConnection, SendError> {
        metrics::counter!("cornelrail_target_connections_total").increment(1);
        let limit = CONNECT_TIMEOUT.min(left.mul_f64(CONNECT_SHARE));
        let begun = Instant::now();
        let connection = TargetConnection::open(address, limit, self.link.clone()).await?;
        self.record_connect(begun.elapsed());
        Ok(connection)
    }

    /// Whether connections take so long that the link is full rather than a target out of reach.
    pub fn is_slow(&self) -> bool {
        self.link.is_some() && self.connect_time() >= SLOW_CONNECT_TIME
    }

    /// Records how long a connection took to set up, or has taken so far.
    pub fn record_connect(&self, time: Duration) {
        let mut mean = self.lock_connect_time();
        *mean = mean.mul_f64(1.0 - CONNECT_TIME_WEIGHT) + time.mul_f64(CONNECT_TIME_WEIGHT);
    }

    /// Usual time to connect.
    pub fn connect_time(&self) -> Duration {
        *self.lock_connect_time()
    }

    /// Targets to which an idle connection may carry the request.
    pub fn connected(&self, wish: Wish<'_>) -> Vec<TargetId> {
        let now = Instant::now();
        self.with(|idle| {
            let fitting = idle.iter().filter(|(_, list)| {
                let mut connections = list.iter();
                connections.any(|one| one.may_carry(now, wish))
            });
            fitting.map(|(id, _)| *id).collect()
        })
    }

    /// Connections that are idle now.
    pub fn idle(&self) -> usize {
        self.with(|idle| count(idle))
    }

    /// Closes what has been idle for too long, and all that leads to targets that are gone.
    pub fn sweep(&self, is_known: impl Fn(TargetId) -> bool) {
        let now = Instant::now();
        self.with(|idle| {
            idle.retain(|id, list| {
                list.retain(|one| now < one.idempotent_until);
                !list.is_empty() && is_known(*id)
            });
        });
    }

    /// Closes the idle connections to a target.
    pub fn forget(&self, id: TargetId) {
        self.with(|idle| drop(idle.remove(&id)));
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.with(HashMap::clear);
    }

    fn pop(&self, id: TargetId, wish: Wish<'_>) -> Option<Idle> {
        let now = Instant::now();
        self.with(|idle| {
            let list = idle.get_mut(&id)?;
            let fitting = list.iter().rposition(|one| one.may_carry(now, wish))?;
            Some(list.remove(fitting))
        })
    }

    fn lock_connect_time(&self) -> MutexGuard<'_, Duration> {
        let lock = self.connect_time.lock();
        lock.unwrap_or_else(PoisonError::into_inner)
    }

    fn give_back(&self, lease: &PoolPlace, connection: TargetConnection) {
        let now = Instant::now();
        let share = |share| lease.keep.map_or(IDLE_TIME, |keep| keep.mul_f64(share));
        let until = now + share(KEEP_SHARE).min(IDLE_TIME);
        let idempotent_until = now + share(IDEMPOTENT_KEEP_SHARE).min(IDEMPOTENT_IDLE_TIME);
        self.with(|idle| {
            let list = idle.entry(lease.id).or_default();
            if list.len() < lease.room {
                list.push(Idle {
                    connection,
                    until,
                    idempotent_until,
                });
            }
            if count(idle) > self.idle_max {
                close_oldest(idle);
            }
        });
    }

    fn with<T>(&self, use_it: impl FnOnce(&mut HashMap<TargetId, Vec<Idle>>) -> T) -> T {
        // Nothing panics while the lock is held, so a poisoned one is as good as any.
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        use_it(&mut idle)
    }
}

/// Parses the head of an answer, once it is there as a whole.
fn parse_head(bytes: &[u8]) -> Option<(StatusCode, HeaderMap)> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
    let mut parsed = httparse::Response::new(&mut fields);
    let is_whole = parsed.parse(bytes).ok()?.is_complete();
    let status = StatusCode::from_u16(parsed.code.filter(|_| is_whole)?).ok()?;
    if !is_final(status) {
        return None;
    }
    let headers = parsed.headers.iter().filter_map(|field| {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        Some((name, HeaderValue::from_bytes(field.value).ok()?))
    });
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        map.append(name, value);
    }
    Some((status, map))
}

fn digest(request: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    request.hash(&mut hasher);
    hasher.finish()
}

fn count(idle: &HashMap<TargetId, Vec<Idle>>) -> usize {
    idle.values().map(Vec::len).sum()
}

/// Closes the connection that has been idle for longest.
fn close_oldest(idle: &mut HashMap<TargetId, Vec<Idle>>) {
    let oldest = idle
        .iter()
        .filter_map(|(id, list)| Some((*id, list.first()?.idempotent_until)))
        .min_by_key(|(_, until)| *until);
    if let Some((id, _)) = oldest
        && let Some(list) = idle.get_mut(&id)
    {
        list.remove(0);
        if list.is_empty() {
            idle.remove(&id);
        }
    }
}

/// Where a connection goes once its answer has ended.
#[derive(Debug, Clone)]
pub struct PoolPlace {
    /// The pool.
    pub pool: Pool,
    /// The target.
    pub id: TargetId,
    /// Idle connections that may be held to it.
    pub room: usize,
    /// Idle time that the target names.
    pub keep: Option<Duration>,
}

/// Body of an answer, which drives its connection.
#[derive(Debug)]
pub struct AnswerBody {
    body: Incoming,
    connection: Option<TargetConnection>,
    place: PoolPlace,
}

impl AnswerBody {
    /// Body of an answer that came over `connection`.
    pub fn new(body: Incoming, connection: TargetConnection, place: PoolPlace) -> Self {
        AnswerBody {
            body,
            connection: Some(connection),
            place,
        }
    }

    fn finish(&mut self, cx: &mut Context<'_>) {
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        connection.drive(cx);
        let is_worn = connection.refused.len() >= REFUSALS_MAX;
        if !connection.over && !is_worn && connection.sender.is_ready() {
            self.place.pool.give_back(&self.place, connection);
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        if let Some(connection) = &mut self.connection {
            connection.drive(cx);
        }
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        let polled = polled.map_err(|_| Broken);
        let ended = matches!(polled, Poll::Ready(None));
        if ended || (matches!(polled, Poll::Ready(Some(Ok(_)))) && self.body.is_end_stream()) {
            self.finish(cx);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream() && self.connection.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
