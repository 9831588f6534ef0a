//! HTTP side of a target: its listener, its connections and its requests.

use super::{Shared, life::Life};
use crate::{
    answer::{Subject, query_number},
    ledger::Run,
    timer,
};
use bytes::Bytes;
use cornelrail_lib::{
    connection::order::{LEASE_PATH, LeaseOrder},
    key::KeyHash,
    name::{Epoch, Fence},
    request::header,
};
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use std::{
    convert::Infallible,
    future::poll_fn,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering::{Relaxed, SeqCst},
        },
    },
    time::{Duration, Instant},
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::sleep,
};

type Answer = Response<BoxBody<Bytes, hyper::Error>>;

/// Takes connections until the life ends, then closes them and the listener.
pub(super) async fn accept(shared: Arc<Shared>, life: Arc<Life>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    let _ = stream.set_nodelay(true);
                    connections.spawn(connection(Arc::clone(&shared), Arc::clone(&life), stream));
                }
            }
            Some(_) = connections.join_next() => {}
            () = life.end_of_life() => break,
        }
    }
    drop(listener);
    connections.shutdown().await;
    life.close();
}

async fn connection(shared: Arc<Shared>, life: Arc<Life>, stream: TcpStream) {
    let is_endless = AtomicBool::new(false);
    let service = service_fn(|request| {
        let (shared, life) = (Arc::clone(&shared), Arc::clone(&life));
        if request.uri().path().contains("/endless") {
            is_endless.store(true, Relaxed);
        }
        Box::pin(async move { handle(&shared, &life, request).await })
    });
    let mut serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // An error ends the connection, unless bytes without end follow.
    let _ = poll_fn(|cx| serving.poll_without_shutdown(cx)).await;
    let stream = serving.into_parts().io.into_inner();
    if is_endless.load(Relaxed) {
        write_endless(&shared, stream).await;
    }
}

async fn write_endless(shared: &Shared, mut stream: TcpStream) {
    let bytes = shared.endless.lock().expect("target lock").clone();
    let mut written = stream.write_all(bytes.start.as_bytes()).await;
    while written.is_ok() {
        written = stream.write_all(bytes.again.as_bytes()).await;
    }
}

/// Answers one request; `Err` breaks the connection off.
async fn handle(
    shared: &Arc<Shared>,
    life: &Arc<Life>,
    request: Request<Incoming>,
) -> Result<Answer, Broken> {
    shared.thawed().await;
    let way = zone_delay(shared, &request);
    timer::sleep(way / 2).await;
    shared.thawed().await;
    let answer = match request.uri().path() {
        LEASE_PATH => lease(shared, life, request).await,
        path if path.contains("/poison") => {
            record(shared, &request, 0);
            shared.crash(life);
            return Err(Broken);
        }
        path if path.contains("/endless") => {
            let run = record(shared, &request, query_nonce(&request));
            shared.ledger.finish(run);
            return Err(Broken);
        }
        path if path.contains("/echo") => echo(shared, life, request),
        _ => work(shared, life, request).await,
    };
    shared.thawed().await;
    timer::sleep(way / 2).await;
    answer
}

/// The answer is not to be whole.
#[derive(Debug, thiserror::Error)]
#[error("the stand-in breaks the connection off, as the test wants")]
pub(super) struct Broken;

fn zone_delay(shared: &Shared, request: &Request<Incoming>) -> Duration {
    let settings = &shared.settings;
    match text(request, header::ZONE) {
        Some(zone) if zone != settings.zone.as_str() => settings.zones.apart,
        _ => Duration::ZERO,
    }
}

async fn lease(shared: &Shared, life: &Life, request: Request<Incoming>) -> Result<Answer, Broken> {
    let body = request.into_body().collect().await.map_err(|_| Broken)?;
    let Ok(order) = serde_json::from_slice::<LeaseOrder>(&body.to_bytes()) else {
        return Ok(respond(StatusCode::BAD_REQUEST, Bytes::new()));
    };
    let answer = life.obey(&order, |end| {
        let settings = &shared.settings;
        let holder = (&settings.name, life.incarnation());
        let ledger = &shared.ledger;
        ledger.grant(&settings.service, holder, &order.grants, end);
    });
    let body = serde_json::to_vec(&answer).expect("names serialize");
    Ok(respond(StatusCode::OK, body.into()))
}

/// Sends the request's body back as it comes.
fn echo(shared: &Shared, life: &Life, request: Request<Incoming>) -> Result<Answer, Broken> {
    if !allowed(shared, life, &request) {
        return Ok(refuse(shared));
    }
    let run = record(shared, &request, query_nonce(&request));
    shared.ledger.finish(run);
    Ok(Response::new(request.into_body().boxed()))
}

async fn work(shared: &Shared, life: &Life, request: Request<Incoming>) -> Result<Answer, Broken> {
    let arrival = Instant::now();
    if !allowed(shared, life, &request) {
        return Ok(refuse(shared));
    }
    let deadline = number(&request, header::DEADLINE_MS).map(Duration::from_millis);
    let nonce = query_nonce(&request);
    let length = request.uri().query();
    let length = length.and_then(|query| query_number(query, "length"));
    let Some(mut visit) = Visit::enter(shared, life) else {
        return Ok(refuse(shared));
    };
    let (head, body) = request.into_parts();
    let upload = body.collect().await.map_err(|_| Broken)?.to_bytes();
    let request = Request::from_parts(head, ());
    let _permit = life.permits.acquire().await.map_err(|_| Broken)?;
    if deadline.is_some_and(|span| arrival.elapsed() >= span) {
        return Ok(refuse(shared));
    }
    shared.thawed().await;
    visit.run(record(shared, &request, nonce));
    serve(shared, life).await;
    visit.leave();
    let subject = Subject {
        key: text(&request, header::KEY).unwrap_or_default(),
        identity: text(&request, header::IDENTITY).unwrap_or_default(),
        nonce,
        upload: &upload,
        length: length.unwrap_or_default() as usize,
    };
    finish(shared, subject.body()).await
}

/// Takes the time of one request, under the faults in force.
async fn serve(shared: &Shared, life: &Life) {
    let settings = &shared.settings;
    let running = life.begin_run();
    let span = life.service_time(settings.median, settings.sigma, running);
    let slow = shared.faults.borrow().slow;
    timer::sleep(span.mul_f64(slow)).await;
}

/// Answers, unless a fault holds the answer back or cuts it off.
async fn finish(shared: &Shared, body: Bytes) -> Result<Answer, Broken> {
    let mut late = Duration::ZERO;
    let mut truncate = false;
    shared.faults.send_if_modified(|faults| {
        if faults.late.0 > 0 {
            faults.late.0 -= 1;
            late = faults.late.1;
        }
        truncate = faults.truncate > 0;
        faults.truncate -= u32::from(truncate);
        false
    });
    sleep(late).await;
    if !truncate {
        return Ok(respond(StatusCode::OK, body));
    }
    let length = body.len();
    let part = Full::new(body.slice(..length / 2));
    let part = part.map_err(|never: Infallible| match never {});
    let mut answer = Response::new(Short(part, length as u64).boxed());
    let value = length.into();
    answer.headers_mut().insert("content-length", value);
    Ok(answer)
}

/// Body that promises more than it brings.
#[derive(Debug)]
struct Short<B>(B, u64);

impl<B: hyper::body::Body + Unpin> hyper::body::Body for Short<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<hyper::body::Frame<B::Data>, B::Error>>> {
        std::pin::Pin::new(&mut self.0).poll_frame(context)
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        hyper::body::SizeHint::with_exact(self.1)
    }
}

/// Presence of one request at a target, counted off when it is dropped.
struct Visit<'a> {
    shared: &'a Shared,
    life: &'a Life,
    run: Option<usize>,
    whole: bool,
}

impl<'a> Visit<'a> {
    /// Counts a request in, unless the target is full or leaves.
    fn enter(shared: &'a Shared, life: &'a Life) -> Option<Self> {
        let settings = &shared.settings;
        let present = life.present.fetch_add(1, SeqCst);
        let cold = life.bearable() < settings.slots;
        if cold && present >= life.bearable() {
            shared
                .ledger
                .count(&settings.name, |counts| counts.over += 1);
        }
        if present >= settings.slots + settings.queue {
            life.present.fetch_sub(1, Relaxed);
            return None;
        }
        Some(Visit {
            shared,
            life,
            run: None,
            whole: false,
        })
    }

    fn run(&mut self, run: usize) {
        self.run = Some(run);
    }

    fn leave(&mut self) {
        self.whole = true;
    }
}

impl Drop for Visit<'_> {
    fn drop(&mut self) {
        let whole = self.whole;
        self.life.present.fetch_sub(1, Relaxed);
        let name = &self.shared.settings.name;
        let ledger = &self.shared.ledger;
        match self.run {
            Some(run) => {
                self.life.end_run(whole);
                ledger.finish(run);
                ledger.count(name, |counts| counts.served += u64::from(whole));
            }
            None => ledger.count(name, |counts| counts.cancelled += 1),
        }
    }
}

fn record<B>(shared: &Shared, request: &Request<B>, nonce: u64) -> usize {
    shared.ledger.start(Run {
        target: shared.settings.name.clone(),
        service: shared.settings.service.clone(),
        hash: KeyHash::of(text(request, header::KEY).unwrap_or_default()),
        identity: text(request, header::IDENTITY).map(str::to_owned),
        nonce,
        fence: number(request, header::FENCE).map(Fence),
        left: number(request, header::DEADLINE_MS).map(Duration::from_millis),
        start: Instant::now(),
        end: None,
    })
}

fn allowed<B>(shared: &Shared, life: &Life, request: &Request<B>) -> bool {
    let key = text(request, header::KEY).unwrap_or_default();
    let hash = shared.settings.keyed.then(|| KeyHash::of(key));
    let epoch = number(request, header::EPOCH).map(Epoch);
    let fence = number(request, header::FENCE).map(Fence);
    life.allows(hash, epoch, fence)
}

fn refuse(shared: &Shared) -> Answer {
    let name = &shared.settings.name;
    shared.ledger.count(name, |counts| counts.shed += 1);
    let mut answer = respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    let value = "not-run".parse().expect("a header value");
    answer.headers_mut().insert(header::OUTCOME, value);
    answer
}

fn respond(status: StatusCode, body: Bytes) -> Answer {
    let body = Full::new(body).map_err(|never: Infallible| match never {});
    let mut answer = Response::new(body.boxed());
    *answer.status_mut() = status;
    answer
}

fn text<'a, B>(request: &'a Request<B>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

fn number<B>(request: &Request<B>, name: &str) -> Option<u64> {
    text(request, name)?.parse().ok()
}

fn query_nonce(request: &Request<Incoming>) -> u64 {
    let query = request.uri().query().unwrap_or_default();
    query_number(query, "nonce").unwrap_or_default()
}
