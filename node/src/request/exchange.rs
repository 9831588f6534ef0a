//! One attempt at a target: the request goes out, the answer comes back.

use super::{
    body::{Body, Chunk, WHOLE_BYTES},
    message::{Answer, RequestHead, add_fields, is_final, passed_fields},
};
use crate::connection::target::{Connection, ExchangeError, TargetLink};
use bytes::Bytes;
use cornelrail_lib::{
    name::{Epoch, Fence, Target, Zone},
    request::{dispatch::AttemptOutcome, header},
};
use http::{HeaderValue, Request, Response, StatusCode, header::HOST};
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Incoming};
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, timeout_at},
};

const CHUNKS_HELD: usize = 4;

/// Leave to send one attempt, given by the home of the target.
#[derive(Debug, Clone)]
pub struct Permit {
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// The target.
    pub target: Target,
    /// Its connections.
    pub link: TargetLink,
    /// Epoch of this home.
    pub epoch: Epoch,
    /// Fence of the grant; zero for a pool.
    pub fence: Fence,
    /// End of the leases of this entry and of the target, whichever comes first.
    pub until: Instant,
}

/// What came of an attempt.
#[derive(Debug)]
pub enum Exchanged {
    /// The whole answer is here.
    Whole(Answer),
    /// The answer's body follows; the receiver tells how it ended.
    Streaming(Answer, oneshot::Receiver<AttemptOutcome>),
    /// There is no answer.
    Ended(AttemptOutcome),
}

/// Sends the request under the permit and reads the answer.
pub async fn exchange(
    permit: &Permit,
    head: &RequestHead,
    zone: &Zone,
    body: Body,
    deadline: Instant,
) -> Exchanged {
    let Ok(connection) = permit.link.borrow().await else {
        return Exchanged::Ended(AttemptOutcome::NotSent);
    };
    let Some(request) = target_request(permit, head, zone, body, deadline) else {
        return Exchanged::Ended(AttemptOutcome::NotSent);
    };
    // The last look at the lease before the first byte goes out. A process that is stopped between
    // this line and the write is the window that the fence at the target closes.
    if Instant::now() >= permit.until {
        return Exchanged::Ended(AttemptOutcome::NotSent);
    }
    send(permit, connection, request, deadline).await
}

async fn send(
    permit: &Permit,
    mut connection: Connection,
    request: Request<super::body::OutBody>,
    deadline: Instant,
) -> Exchanged {
    match connection.exchange(request).await {
        Err(ExchangeError::NotSent) => Exchanged::Ended(AttemptOutcome::NotSent),
        Err(ExchangeError::Broken) => Exchanged::Ended(AttemptOutcome::Crashed),
        Err(ExchangeError::Source) => Exchanged::Ended(AttemptOutcome::Cancelled),
        Ok(answer) if is_shed(&answer) => Exchanged::Ended(AttemptOutcome::Shed),
        Ok(answer) => receive(&permit.link, connection, answer, deadline).await,
    }
}

fn is_shed(answer: &Response<Incoming>) -> bool {
    let outcome = answer.headers().get(header::OUTCOME);
    outcome.is_some_and(|value| value.as_bytes() == b"not-run")
}

fn target_request(
    permit: &Permit,
    head: &RequestHead,
    zone: &Zone,
    body: Body,
    deadline: Instant,
) -> Option<Request<super::body::OutBody>> {
    let mut request = Request::builder()
        .method(head.method.as_str())
        .uri(head.path.as_str())
        .body(body.into_http())
        .ok()?;
    let headers = request.headers_mut();
    add_fields(headers, &head.fields);
    let left = deadline.saturating_duration_since(Instant::now());
    let fields = [
        (HOST.as_str(), permit.link.address().to_string()),
        (header::KEY, head.key.clone()),
        (header::REQUEST, format!("{:016x}", head.id)),
        (header::FENCE, permit.fence.to_string()),
        (header::EPOCH, permit.epoch.to_string()),
        (header::DEADLINE_MS, left.as_millis().to_string()),
        (header::ZONE, zone.to_string()),
    ];
    for (name, value) in fields {
        headers.insert(name, HeaderValue::from_str(&value).ok()?);
    }
    if let Some(identity) = &head.identity {
        headers.insert(header::IDENTITY, HeaderValue::from_str(identity).ok()?);
    }
    if let Some(trace) = &head.trace {
        headers.insert("traceparent", HeaderValue::from_str(trace).ok()?);
    }
    Some(request)
}

async fn receive(
    link: &TargetLink,
    connection: Connection,
    answer: Response<Incoming>,
    deadline: Instant,
) -> Exchanged {
    let (parts, body) = answer.into_parts();
    let exact = body.size_hint().exact();
    if exact.is_none_or(|length| length > WHOLE_BYTES) {
        let (tx, rx) = mpsc::channel(CHUNKS_HELD);
        let (end_tx, end_rx) = oneshot::channel();
        tokio::spawn(stream_answer(
            link.clone(),
            connection,
            body,
            tx,
            end_tx,
            deadline,
        ));
        let answer = make_answer(parts, Body::Stream(rx));
        return Exchanged::Streaming(answer, end_rx);
    }
    match body.collect().await {
        Err(_) => Exchanged::Ended(AttemptOutcome::Failed),
        Ok(collected) => {
            link.give_back(connection);
            Exchanged::Whole(make_answer(parts, Body::Whole(collected.to_bytes())))
        }
    }
}

fn make_answer(parts: http::response::Parts, body: Body) -> Answer {
    let mut fields = http::HeaderMap::new();
    add_fields(&mut fields, &passed_fields(&parts.headers));
    Answer {
        status: parts.status,
        fields,
        body,
    }
}

async fn stream_answer(
    link: TargetLink,
    connection: Connection,
    mut body: Incoming,
    tx: mpsc::Sender<Chunk>,
    end: oneshot::Sender<AttemptOutcome>,
    deadline: Instant,
) {
    let ending = pass_chunks(&mut body, &tx, deadline).await;
    if ending == AttemptOutcome::Answered {
        link.give_back(connection);
    }
    // Nobody waits for the ending once the daemon stops.
    let _ = end.send(ending);
}

async fn pass_chunks(
    body: &mut Incoming,
    tx: &mpsc::Sender<Chunk>,
    deadline: Instant,
) -> AttemptOutcome {
    loop {
        let frame = tokio::select! {
            frame = timeout_at(deadline, body.frame()) => frame,
            () = tx.closed() => return AttemptOutcome::Cancelled,
        };
        match frame {
            Ok(None) => return last_chunk(tx, Chunk::End, AttemptOutcome::Answered).await,
            Ok(Some(Ok(frame))) => {
                let data = frame.into_data().unwrap_or_else(|_trailers| Bytes::new());
                if tx.send(Chunk::Data(data)).await.is_err() {
                    return AttemptOutcome::Cancelled;
                }
            }
            Ok(Some(Err(_))) | Err(_) => {
                return last_chunk(tx, Chunk::Broken, AttemptOutcome::Failed).await;
            }
        }
    }
}

async fn last_chunk(
    tx: &mpsc::Sender<Chunk>,
    chunk: Chunk,
    ending: AttemptOutcome,
) -> AttemptOutcome {
    match tx.send(chunk).await {
        Ok(()) => ending,
        Err(_) => AttemptOutcome::Cancelled,
    }
}

/// Status of an answer from its number; an invalid one counts as a bad gateway.
pub fn status(number: u16) -> StatusCode {
    let status = StatusCode::from_u16(number).ok();
    status
        .filter(|status| is_final(*status))
        .unwrap_or(StatusCode::BAD_GATEWAY)
}
