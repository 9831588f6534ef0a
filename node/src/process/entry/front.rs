//! Connections of callers.

use super::Entry;
use crate::{connection::reset_stream::ResetStream, request::proxy};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{
    convert::Infallible,
    pin::pin,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Notify, watch},
    time::{Instant, sleep, sleep_until},
};

/// Least size of the buffer for a head that the HTTP library takes.
const LEAST_HEAD_BYTES: usize = 8 << 10;
/// Pause after the system refused to accept, such as without descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time from the start of a connection within which its first request is expected. An entry that
/// closes waits so long, since a caller whose connection was accepted has sent its request.
const FIRST_REQUEST_TIME: Duration = Duration::from_secs(1);

/// Accepts connections until the entry closes, and then those that wait already.
pub(super) async fn run(
    listener: TcpListener,
    entry: Arc<Entry>,
    mut closing: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|closing| *closing) => break,
        };
        match accepted {
            Ok((stream, _)) => admit(stream, &entry, &closing),
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
    // The runtime may not know yet that a connection waits, so the system is asked itself.
    let Ok(listener) = listener.into_std() else {
        return;
    };
    while let Ok((stream, _)) = listener.accept() {
        let stream = stream.set_nonblocking(true).map(|()| stream);
        if let Ok(stream) = stream.and_then(TcpStream::from_std) {
            admit(stream, &entry, &closing);
        }
    }
}

fn admit(stream: TcpStream, entry: &Arc<Entry>, closing: &watch::Receiver<bool>) {
    let open = Open::new(entry.clone());
    tokio::spawn(serve(stream, open, closing.clone()));
}

/// Counts an open connection.
struct Open {
    entry: Arc<Entry>,
}

impl Open {
    fn new(entry: Arc<Entry>) -> Self {
        entry.connections.fetch_add(1, Ordering::Relaxed);
        Open { entry }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.entry.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve(stream: TcpStream, open: Open, mut closing: watch::Receiver<bool>) {
    // Without it answers are only later.
    let _ = stream.set_nodelay(true);
    let limits = open.entry.router().request_limits();
    let entry = open.entry.clone();
    let first_until = Instant::now() + FIRST_REQUEST_TIME;
    let first = Arc::new(Notify::new());
    let notifier = first.clone();
    let service = service_fn(move |request| {
        notifier.notify_one();
        let entry = entry.clone();
        async move { Ok::<_, Infallible>(proxy::serve(entry, request).await) }
    });
    let head_size = usize::try_from(limits.head_size).unwrap_or(LEAST_HEAD_BYTES);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The library counts the idle time before a head as part of its arrival.
        .header_read_timeout(limits.idle_time)
        .max_buf_size(head_size.max(LEAST_HEAD_BYTES))
        .serve_connection(TokioIo::new(ResetStream::new(stream)), service);
    let mut connection = pin!(connection);
    tokio::select! {
        // A caller that breaks off needs no answer.
        _ = connection.as_mut() => return,
        _ = closing.wait_for(|closing| *closing) => {}
    }
    // The library would close a connection without a request at once.
    tokio::select! {
        biased;
        _ = connection.as_mut() => return,
        () = first.notified() => {}
        () = sleep_until(first_until) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
