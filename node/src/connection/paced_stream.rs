//! Streams that read and write as the budget of the link allows.
//!
//! Reads from callers and all writes are paced; reads from targets are only counted, as the entry has
//! asked for what they send. A stream reserves a piece only once its socket can take or give bytes,
//! so that one with a slow peer holds no more than one piece of the budget.

use super::{
    link::{Admission, Admitted, Link, Purpose},
    reset_stream::ResetOnClose,
};
use crate::process::logging::EventLog;
use cornelrail_lib::{
    connection::link_budget::{Direction, MessageSizes, PIECE_BYTES, Reservation},
    moment::Moment,
    process::event::Event,
};
use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

/// Time for which a caller may take nothing of its response.
const STALL_TIME: Duration = Duration::from_secs(5);
/// Buffers that one write passes on.
const BUFFERS_MAX: usize = 8;

#[derive(Debug, Default)]
struct Shared {
    /// Whether the end of the connection is a reset.
    aborts: AtomicBool,
    /// Body that the stream carries now.
    admitted: Mutex<Option<Arc<Admitted>>>,
}

/// Control over a stream that the HTTP library owns.
#[derive(Debug, Clone, Default)]
pub struct StreamHandle(Arc<Shared>);

impl StreamHandle {
    /// Makes the end of the connection a reset, whether it is shut down or dropped.
    pub fn abort(&self) {
        self.0.aborts.store(true, Ordering::Relaxed);
    }

    fn is_aborted(&self) -> bool {
        self.0.aborts.load(Ordering::Relaxed)
    }

    /// Has the bulk that passes from now on counted as part of an admitted body.
    pub fn carry(&self, admission: &Admission) {
        *self.admitted() = Some(admission.0.clone());
    }

    fn release(&self, direction: Direction, bytes: u64) {
        if let Some(admitted) = &*self.admitted() {
            admitted.release(direction, bytes);
        }
    }

    fn admitted(&self) -> MutexGuard<'_, Option<Arc<Admitted>>> {
        // It is only replaced as a whole.
        let admitted = self.0.admitted.lock();
        admitted.unwrap_or_else(PoisonError::into_inner)
    }
}

/// Who is at the other end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Peer {
    Caller,
    Target,
}

/// Piece of bulk that a stream has reserved.
#[derive(Debug)]
struct Piece {
    reservation: Reservation,
    since: Moment,
    /// Whether its time has come. What is left of it may go at any time.
    is_due: bool,
    wait: Option<Pin<Box<Sleep>>>,
}

/// Turns of one direction of a stream.
#[derive(Debug)]
struct Turns {
    direction: Direction,
    piece: Option<Piece>,
}

impl Turns {
    fn new(direction: Direction) -> Self {
        Turns {
            direction,
            piece: None,
        }
    }

    /// Waits until bulk may pass; gives how much. A new piece is of so many bytes.
    fn poll(
        &mut self,
        link: &Link,
        handle: &StreamHandle,
        bytes: usize,
        cx: &mut Context<'_>,
    ) -> Poll<usize> {
        let direction = self.direction;
        let piece = self.piece.get_or_insert_with(|| {
            let bytes = bytes.min(PIECE_BYTES) as u64;
            let (reservation, since) = link.reserve(direction, bytes);
            handle.release(direction, bytes);
            Piece {
                reservation,
                since,
                is_due: false,
                wait: None,
            }
        });
        while !piece.is_due {
            if let Some(wait) = &mut piece.wait {
                ready!(wait.as_mut().poll(cx));
            }
            let wait = link.wait(direction, &mut piece.reservation, piece.since);
            piece.is_due = wait.is_none();
            piece.wait = wait.map(|wait| Box::pin(sleep(wait)));
        }
        Poll::Ready(piece.reservation.bytes as usize)
    }

    /// Records that so many bytes of the piece have gone.
    fn spend(&mut self, bytes: usize) {
        if let Some(piece) = &mut self.piece {
            let left = &mut piece.reservation.bytes;
            *left = left.saturating_sub(bytes as u64);
            if *left == 0 {
                self.piece = None;
            }
        }
    }

    /// Gives back what is reserved.
    fn cancel(&mut self, link: &Link) {
        if let Some(piece) = self.piece.take() {
            link.cancel(self.direction, piece.reservation);
        }
    }
}

/// What a paced stream knows of its link and its messages.
#[derive(Debug)]
struct Pace {
    link: Arc<Link>,
    peer: Peer,
    sizes: MessageSizes,
}

impl Pace {
    /// Records bytes that passed; those of a reservation are on the clock already.
    fn record(
        &mut self,
        handle: &StreamHandle,
        direction: Direction,
        bytes: usize,
        is_reserved: bool,
    ) {
        let bytes = bytes as u64;
        let purpose = match self.sizes.short_left(direction) {
            0 => Purpose::Bulk,
            _ => Purpose::Short,
        };
        if !is_reserved {
            self.link.record(direction, bytes);
            handle.release(direction, bytes);
        }
        self.link.count(direction, purpose, bytes);
        self.sizes.record(direction, bytes);
    }
}

#[derive(Debug)]
struct Pacing {
    pace: Pace,
    reading: Turns,
    writing: Turns,
    /// Runs while the caller takes nothing.
    stall: Option<Pin<Box<Sleep>>>,
}

impl Pacing {
    fn new(link: Arc<Link>, peer: Peer) -> Self {
        Pacing {
            pace: Pace {
                link,
                peer,
                sizes: MessageSizes::default(),
            },
            reading: Turns::new(Direction::In),
            writing: Turns::new(Direction::Out),
            stall: None,
        }
    }

    fn poll_read(
        &mut self,
        stream: &mut TcpStream,
        handle: &StreamHandle,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        if self.pace.peer == Peer::Target {
            ready!(Pin::new(stream).poll_read(cx, buf))?;
            let read = buf.filled().len() - before;
            if read > 0 {
                self.pace.record(handle, Direction::In, read, false);
            }
            return Poll::Ready(Ok(()));
        }
        let short = self.pace.sizes.short_left(Direction::In) as usize;
        let is_short = short > 0;
        let most = if is_short {
            self.reading.cancel(&self.pace.link);
            short
        } else {
            // The end of the stream needs no turn: a caller that has left is noticed at once.
            let mut first = [0];
            if ready!(stream.poll_peek(cx, &mut ReadBuf::new(&mut first)))? == 0 {
                return Poll::Ready(Ok(()));
            }
            ready!(self.reading.poll(&self.pace.link, handle, PIECE_BYTES, cx))
        };
        let most = most.min(buf.remaining());
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(most));
        ready!(Pin::new(stream).poll_read(cx, &mut part))?;
        let read = part.filled().len();
        buf.advance(read);
        if read > 0 {
            self.reading.spend(read);
            self.pace.record(handle, Direction::In, read, !is_short);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_write(
        &mut self,
        stream: &mut TcpStream,
        handle: &StreamHandle,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let total: usize = bufs.iter().map(|buf| buf.len()).sum();
        let short = self.pace.sizes.short_left(Direction::Out) as usize;
        let is_short = short > 0;
        let most = if is_short {
            self.writing.cancel(&self.pace.link);
            short
        } else {
            if stream.poll_write_ready(cx)?.is_pending() {
                return self.poll_stall(handle, cx);
            }
            // The caller has taken something; a wait for a turn is no stall.
            self.stall = None;
            ready!(self.writing.poll(&self.pace.link, handle, total, cx))
        };
        let mut limited = [IoSlice::new(&[]); BUFFERS_MAX];
        let count = limit(bufs, most, &mut limited);
        let Poll::Ready(written) = Pin::new(stream).poll_write_vectored(cx, &limited[..count])?
        else {
            return self.poll_stall(handle, cx);
        };
        self.stall = None;
        if written > 0 {
            self.writing.spend(written);
            self.pace.record(handle, Direction::Out, written, !is_short);
        }
        Poll::Ready(Ok(written))
    }

    /// Cuts off a caller that has taken nothing for too long.
    fn poll_stall(
        &mut self,
        handle: &StreamHandle,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        if self.pace.peer == Peer::Target {
            return Poll::Pending;
        }
        let stall = self
            .stall
            .get_or_insert_with(|| Box::pin(sleep(STALL_TIME)));
        ready!(stall.as_mut().poll(cx));
        handle.abort();
        Event::CallerStalled.log(format_args!("ms={}", STALL_TIME.as_millis()));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

/// Puts the first `most` bytes of `bufs` into `limited`; gives how many of its places are used.
fn limit<'a>(bufs: &'a [IoSlice<'_>], most: usize, limited: &mut [IoSlice<'a>]) -> usize {
    let (mut left, mut count) = (most, 0);
    for buf in bufs.iter().filter(|buf| !buf.is_empty()) {
        if left == 0 || count == limited.len() {
            break;
        }
        let bytes = &buf[..buf.len().min(left)];
        left -= bytes.len();
        limited[count] = IoSlice::new(bytes);
        count += 1;
    }
    count
}

/// TCP stream that is paced if the entry has a budget, and that its user can have reset.
#[derive(Debug)]
pub struct PacedStream {
    stream: TcpStream,
    handle: StreamHandle,
    pacing: Option<Pacing>,
}

impl PacedStream {
    /// Stream of a caller.
    pub fn caller(stream: TcpStream, link: Option<Arc<Link>>) -> Self {
        PacedStream::new(stream, link, Peer::Caller)
    }

    /// Stream to a target or to another entry.
    pub fn target(stream: TcpStream, link: Option<Arc<Link>>) -> Self {
        PacedStream::new(stream, link, Peer::Target)
    }

    fn new(stream: TcpStream, link: Option<Arc<Link>>, peer: Peer) -> Self {
        PacedStream {
            stream,
            handle: StreamHandle::default(),
            pacing: link.map(|link| Pacing::new(link, peer)),
        }
    }

    /// Control over the stream.
    pub fn handle(&self) -> StreamHandle {
        self.handle.clone()
    }

    fn reset_if_aborted(&self) -> bool {
        let is_aborted = self.handle.is_aborted();
        if is_aborted {
            // A socket that is broken already needs no reset.
            let _ = self.stream.set_zero_linger();
        }
        is_aborted
    }
}

impl From<TcpStream> for PacedStream {
    fn from(stream: TcpStream) -> Self {
        PacedStream::target(stream, None)
    }
}

impl ResetOnClose for PacedStream {
    fn reset_on_close(&self, resets: bool) -> io::Result<()> {
        self.stream.reset_on_close(resets)
    }
}

impl Drop for PacedStream {
    fn drop(&mut self) {
        self.reset_if_aborted();
        if let Some(pacing) = &mut self.pacing {
            pacing.reading.cancel(&pacing.pace.link);
            pacing.writing.cancel(&pacing.pace.link);
        }
    }
}

impl AsyncRead for PacedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        match &mut this.pacing {
            None => Pin::new(&mut this.stream).poll_read(cx, buf),
            Some(pacing) => pacing.poll_read(&mut this.stream, &this.handle, cx, buf),
        }
    }
}

impl AsyncWrite for PacedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        match &mut this.pacing {
            None => Pin::new(&mut this.stream).poll_write(cx, buf),
            Some(pacing) => {
                let bufs = [IoSlice::new(buf)];
                pacing.poll_write(&mut this.stream, &this.handle, cx, &bufs)
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        // An orderly end before the reset would make a response that it delimits look complete.
        if this.reset_if_aborted() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut this.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        match &mut this.pacing {
            None => Pin::new(&mut this.stream).poll_write_vectored(cx, bufs),
            Some(pacing) => pacing.poll_write(&mut this.stream, &this.handle, cx, bufs),
        }
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
