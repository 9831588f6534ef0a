//! Connections of callers.

use super::Entry;
use crate::{
    connection::{
        caller_stream::{CallerStream, CountedBody, StreamEnd},
        listener,
        paced_stream::{PacedStream, StreamHandle},
        pipeline,
        reset_stream::ResetStream,
    },
    request::proxy,
};
use http::{HeaderValue, Request, header::CONNECTION};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{
    convert::Infallible,
    pin::Pin,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};

/// Pause after the system refused to accept, such as without descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time from the start of a connection within which its first request is expected. An entry that
/// closes waits so long, since a caller whose connection was accepted has sent its request.
const FIRST_REQUEST_TIME: Duration = Duration::from_secs(1);

/// Accepts connections until the entry closes, and then those that are made already.
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
    listener::close(listener, |stream| admit(stream, &entry, &closing)).await;
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

async fn serve(stream: TcpStream, open: Open, closing: watch::Receiver<bool>) {
    // Without it answers are only later.
    let _ = stream.set_nodelay(true);
    let stream = PacedStream::caller(stream, open.entry.link.clone());
    let handle = stream.handle();
    let entry = &open.entry;
    let first_until = entry.clock.now() + FIRST_REQUEST_TIME;
    let reading = pipeline::run(stream, entry.clone(), first_until, closing.clone());
    let mut next = reading.await;
    while let Some(stream) = next {
        next = serve_exchanges(stream, entry, &handle, closing.clone()).await;
    }
}

/// Serves the requests on a connection one after the other. Returns the stream once other limits hold
/// for the next request, or `None` when the connection has ended.
async fn serve_exchanges(
    stream: CallerStream<PacedStream>,
    entry: &Arc<Entry>,
    handle: &StreamHandle,
    mut closing: watch::Receiver<bool>,
) -> Option<CallerStream<PacedStream>> {
    let limits = stream.limits();
    let mut changes = entry.limits();
    let served = stream.served();
    let answers = served.clone();
    let service = service_fn(|mut request: Request<Incoming>| {
        request.extensions_mut().insert(handle.clone());
        let (entry, served) = (entry.clone(), answers.clone());
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
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The stream bounds both times where it knows of the requests. The library counts the idle
        // time before a head as part of its arrival.
        .header_read_timeout(limits.idle_time + limits.head_time)
        .max_buf_size(pipeline::head_buffer(&limits))
        .serve_connection(TokioIo::new(ResetStream::new(stream)), service);
    let mut is_closing = false;
    loop {
        let has_ended = tokio::select! {
            // The library takes what was read ahead first; it would close a connection without a
            // request at once.
            biased;
            // A caller that breaks off needs no answer.
            _ = &mut connection => true,
            _ = closing.wait_for(|closing| *closing), if !is_closing => {
                is_closing = true;
                false
            }
            _ = changes.changed(), if !is_closing => {
                // The stream ends itself where it knows the end of a request.
                is_closing = served.is_opaque();
                false
            }
        };
        if has_ended {
            break;
        }
        if is_closing {
            Pin::new(&mut connection).graceful_shutdown();
        }
    }
    let parts = connection.into_parts();
    let stream = parts.io.into_inner().into_inner();
    match stream.end() {
        Some(StreamEnd::Outdated) if parts.read_buf.is_empty() => Some(stream.renewed()),
        Some(StreamEnd::Late) => {
            pipeline::refuse_late(stream.into_inner()).await;
            None
        }
        _ => None,
    }
}
