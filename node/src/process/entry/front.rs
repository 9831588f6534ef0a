//! Connections of callers.

use super::Entry;
use crate::{
    connection::{
        caller_stream::CountedBody,
        paced_stream::PacedStream,
        pipeline::{self, ConnectionLimits},
        reset_stream::ResetStream,
    },
    request::proxy,
};
use http::{HeaderValue, Request, header::CONNECTION};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{
    convert::Infallible,
    pin::pin,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{Instant, sleep},
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
    let stream = PacedStream::caller(stream, open.entry.link.clone());
    let handle = stream.handle();
    let limits = open.entry.router().request_limits();
    let entry = open.entry.clone();
    let head_size = usize::try_from(limits.head_size).unwrap_or(LEAST_HEAD_BYTES);
    let limits = ConnectionLimits {
        head_size: head_size.max(LEAST_HEAD_BYTES),
        idle_time: limits.idle_time,
        first_until: Instant::now() + FIRST_REQUEST_TIME,
    };
    let reading = pipeline::run(stream, entry.clone(), limits, closing.clone());
    let Some(stream) = reading.await else {
        return;
    };
    let served = stream.served();
    let service = service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(handle.clone());
        let (entry, served) = (entry.clone(), served.clone());
        let since = served.read_at();
        async move {
            let mut response = proxy::serve(&entry, request, since).await;
            if entry.is_stopping() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response.map(|body| CountedBody::new(body, served)))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The library counts the idle time before a head as part of its arrival.
        .header_read_timeout(limits.idle_time)
        .max_buf_size(limits.head_size)
        .serve_connection(TokioIo::new(ResetStream::new(stream)), service);
    let mut connection = pin!(connection);
    tokio::select! {
        // The library takes what was read ahead first; it would close a connection without a
        // request at once.
        biased;
        // A caller that breaks off needs no answer.
        _ = connection.as_mut() => return,
        _ = closing.wait_for(|closing| *closing) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
