//! One request of a caller at an entry that sends to targets itself.
//!
//! The request goes to a target once, and again only where that cannot run it twice. Whatever
//! becomes of it, the caller gets one answer: the target's own, or one that says truthfully whether
//! the request may have run.

mod awaited;
mod detour;
mod flight;
mod sending;
mod trial;

use self::{detour::Detour, trial::Trial};
use super::{
    body::{self, WHOLE_BYTES},
    proxy_body::{ReplyBody, RequestBody},
};
use crate::{
    connection::{link::Admission, paced_stream::StreamHandle, pool::Wish},
    process::{entry::Entry, logging::EventLog},
};
use bytes::Bytes;
use cornelrail_lib::{
    connection::link_budget::{SHORT_BYTES, Upload},
    moment::Moment,
    name::Target,
    process::event::Event,
    request::{
        balance::{
            LatencyBounds, RejectReason, ResolvedRoute, RouteError, RoutingDecision, RoutingRequest,
        },
        header,
    },
    version::{catalog::TargetId, command::Fingerprint, permits::PermitRequest},
};
use cornelrail_platform::caller::{CallerHead, format_retry_after, is_hop_by_hop};
use http::{
    HeaderMap, HeaderValue, Request, Response, StatusCode,
    header::{CONNECTION, CONTENT_LENGTH, HOST, RETRY_AFTER, TRANSFER_ENCODING},
};
use http_body::Body;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::{Instant, sleep_until, timeout_at};

/// Deadline of a request that names none.
const USUAL_DEADLINE: Duration = Duration::from_secs(30);
/// Time that the answer needs to the caller before its deadline.
const WAY_BACK: Duration = Duration::from_millis(20);
/// A try that has less time than this left is not begun.
const LEAST_LEFT: Duration = Duration::from_millis(15);
/// Pause named to a caller at an entry that ends; the others take the request at once.
const ENDING_PAUSE: Duration = Duration::from_millis(50);
/// Pause named to a caller at an entry that has no copy yet. After a loss of all power a leader is
/// elected and confirms copies within about that time; callers that came back sooner were refused twice.
const STARTING_PAUSE: Duration = Duration::from_millis(1_200);
/// Pause named to a caller at an entry that knows too little.
const STALE_PAUSE: Duration = Duration::from_millis(500);

/// Final answer of this entry's own.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Refusal {
    status: StatusCode,
    reason: &'static str,
    pause: Option<Duration>,
}

impl Refusal {
    /// It has not run and will not.
    fn not_run(reason: &'static str, pause: Duration) -> Self {
        Refusal {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            pause: Some(pause),
        }
    }

    fn denied(status: StatusCode, reason: &'static str) -> Self {
        Refusal {
            status,
            reason,
            pause: None,
        }
    }
}

/// What is known of a request while it is served.
#[derive(Debug)]
struct Job {
    /// Whether the request goes by another entry.
    needs_detour: bool,
    id: String,
    head: CallerHead,
    routed: ResolvedRoute,
    parts: http::request::Parts,
    length: u64,
    since: Moment,
    until: Instant,
    tried: Vec<TargetId>,
    strayed: Vec<TargetId>,
    arrivals: u32,
    unknown: bool,
    /// Place of the body on the link, until the request ends.
    admission: Option<Admission>,
    /// Whether the next sending takes a new connection, as an idle one turned out closed.
    needs_new: bool,
}

/// Target that gets the request next.
#[derive(Debug)]
struct Next {
    id: TargetId,
    name: Target,
    address: SocketAddr,
    /// Whether the request has a permit for the target.
    is_permitted: bool,
}

/// How one sending ended.
#[derive(Debug)]
enum Tried {
    Answer(Response<ReplyBody>),
    /// Nothing was sent.
    Unreachable,
    /// Nothing was sent, as connecting takes much longer than usual.
    Hanging,
    /// Nothing was sent, as the replica may no longer be used.
    Stale,
    /// Nothing was sent, as the target has named a limit meanwhile.
    Limited,
    /// Nothing was sent, as the process ends before an answer is sure to come.
    Ending,
    /// The target closed the connection before anything was sent.
    Closed,
    /// The target said that it has not run it.
    NotRun {
        misdirected: bool,
    },
    /// It may have run.
    Broken,
    /// The time is up while it may run.
    Late,
}

/// Serves one request, whose head was read off the wire at `since`.
pub async fn serve(
    entry: &Arc<Entry>,
    request: Request<Incoming>,
    since: Moment,
) -> Response<ReplyBody> {
    let (parts, body) = request.into_parts();
    let head = CallerHead::read(&parts.headers);
    let id = head.id.clone().unwrap_or_default();
    match begin(entry, &parts, head, since) {
        Ok(job) => job.run(entry, body).await,
        Err(refusal) => {
            discard(body);
            refuse(&id, refusal, entry.clock.now().since(since))
        }
    }
}

/// Finds the route and the bounds of a request.
fn begin(
    entry: &Entry,
    parts: &http::request::Parts,
    head: CallerHead,
    since: Moment,
) -> Result<Job, Refusal> {
    let host = parts
        .headers
        .get(HOST)
        .and_then(|value| value.to_str().ok());
    let host = host.or(parts.uri.host()).unwrap_or_default();
    let Some(id) = head.id.clone() else {
        return Err(Refusal::denied(StatusCode::BAD_REQUEST, "no-identity"));
    };
    let is_detour = parts.headers.contains_key(header::DETOUR);
    let now = entry.clock.now();
    let mut router = entry.router();
    let limit = router.request_limits().body_size;
    let routed =
        router
            .resolve_route(now, host, parts.uri.path())
            .map_err(|denial| match denial {
                RouteError::NoRoute => Refusal::denied(StatusCode::NOT_FOUND, "no-route"),
                RouteError::Stale if router.confirmation_age(now).is_none() => {
                    Refusal::not_run("stale", STARTING_PAUSE)
                }
                RouteError::Stale => Refusal::not_run("stale", STALE_PAUSE),
            })?;
    let length = body_length(&parts.headers);
    if length.is_some_and(|length| length > limit) {
        return Err(Refusal::denied(StatusCode::PAYLOAD_TOO_LARGE, "too-long"));
    }
    // The entry by which a request goes counts it.
    let needs_detour = !is_detour && router.needs_detour();
    if !needs_detour {
        router.record_arrival(now, &routed.service, head.key.filter(|_| routed.keyed));
    }
    let waits = head.timeout.unwrap_or(USUAL_DEADLINE);
    let left = waits.saturating_sub(WAY_BACK).min(routed.timeout);
    let mut parts = parts.clone();
    strip(&mut parts.headers);
    parts.headers.remove(header::DETOUR);
    Ok(Job {
        needs_detour,
        id,
        head,
        routed,
        parts,
        length: length.unwrap_or_default(),
        since,
        until: entry.clock.instant(since) + left,
        tried: Vec::new(),
        strayed: Vec::new(),
        arrivals: 0,
        unknown: false,
        admission: None,
        needs_new: false,
    })
}

impl Job {
    async fn run(mut self, entry: &Arc<Entry>, body: Incoming) -> Response<ReplyBody> {
        if let Err(refusal) = self.admit_body(entry, &body) {
            return self.refuse_body(entry, refusal, body);
        }
        let mut body = match self.read_body(entry, body).await {
            Ok(body) => body,
            Err(refusal) => return self.refuse(entry, refusal),
        };
        if !self.ends_in_time(entry) {
            if let RequestBody::Stream(body) = body {
                discard(body);
            }
            return self.refuse(entry, Refusal::not_run("ending", ENDING_PAUSE));
        }
        if let Some(left) = self.quarantine(entry, &body) {
            if let RequestBody::Stream(body) = body {
                discard(body);
            }
            return self.refuse(entry, Refusal::not_run("quarantined", left));
        }
        if self.needs_detour {
            match self.detour(entry, body).await {
                Detour::Ended(response) => return response,
                Detour::Refused(refusal) => return self.refuse(entry, refusal),
                Detour::NotTaken(unsent) => body = unsent,
            }
            let key = self.head.key.filter(|_| self.routed.keyed);
            let now = entry.clock.now();
            entry
                .router()
                .record_arrival(now, &self.routed.service, key);
        }
        loop {
            let (trial, next) = match self.place(entry, &body).await {
                Ok(placed) => placed,
                Err(refusal) => {
                    if let RequestBody::Stream(body) = body {
                        discard(body);
                    }
                    return self.refuse(entry, refusal);
                }
            };
            let again = match &body {
                RequestBody::Whole(bytes) => Some(RequestBody::Whole(bytes.clone())),
                RequestBody::Stream(_) => None,
            };
            let target = next.id;
            let tried = self.attempt(entry, &next, body).await;
            self.tried.push(target);
            self.record_end(entry, target, &tried, again.as_ref());
            drop(trial);
            let is_hanging = matches!(tried, Tried::Hanging);
            let refusal = match tried {
                Tried::Answer(response) => return self.answer(entry, response),
                Tried::Unreachable | Tried::Hanging => Refusal::not_run("unreachable", STALE_PAUSE),
                Tried::Stale => Refusal::not_run("stale", STALE_PAUSE),
                Tried::Ending => Refusal::not_run("ending", ENDING_PAUSE),
                Tried::Limited => Refusal::not_run(RejectReason::Limited.name(), SHED_PAUSE),
                Tried::Closed => Refusal::not_run("closed", SHED_PAUSE),
                Tried::NotRun { misdirected } => {
                    if misdirected {
                        self.strayed.push(target);
                    }
                    Refusal::not_run(if misdirected { "misdirected" } else { "shed" }, SHED_PAUSE)
                }
                Tried::Broken => {
                    self.unknown = true;
                    Refusal::denied(StatusCode::BAD_GATEWAY, "broken")
                }
                Tried::Late => {
                    self.unknown = true;
                    Refusal::denied(StatusCode::GATEWAY_TIMEOUT, "late")
                }
            };
            let more = matches!(
                refusal.reason,
                "unreachable" | "closed" | "misdirected" | "shed"
            ) || (refusal.reason == "broken" && self.routed.kind.is_idempotent());
            match again {
                // Another target is tried at once, as nothing has reached the first.
                Some(next) if is_hanging || (more && self.may_go_on(entry)) => body = next,
                _ => return self.refuse(entry, refusal),
            }
            Event::RequestResent.log(format_args!(
                "request={} reason={} after={target}",
                self.id, refusal.reason
            ));
        }
    }

    /// Waits for the target that gets the request next, and for its trial if it needs one.
    async fn place(
        &self,
        entry: &Arc<Entry>,
        body: &RequestBody,
    ) -> Result<(Option<Trial>, Next), Refusal> {
        loop {
            let trial = self.trial(entry, body).await?;
            let next = self.next(entry).await?;
            // It may have come under suspicion while it waited for its target.
            if trial.is_some() || self.suspicion(entry, body).is_none() {
                return Ok((trial, next));
            }
        }
    }

    /// Time for which the request is refused because targets ended under it.
    fn quarantine(&self, entry: &Entry, body: &RequestBody) -> Option<Duration> {
        let mut router = entry.router();
        let now = entry.clock.now();
        if !router.breaks().is_watching(now) {
            return None;
        }
        let request = self.fingerprint(Some(body));
        router.breaks().refused_for(now, request)
    }

    /// Records whether a target may have ended under the request, or has answered it.
    fn record_end(
        &self,
        entry: &Entry,
        target: TargetId,
        tried: &Tried,
        body: Option<&RequestBody>,
    ) {
        let now = entry.clock.now();
        let is_news = match tried {
            Tried::Broken => {
                let request = self.fingerprint(body);
                entry.router().breaks().record_break(now, request, target);
                Event::ConnectionBroke.log(format_args!(
                    "request={} fingerprint={:016x} target={target}",
                    self.id, request.0
                ));
                true
            }
            Tried::Answer(response) if response.status().is_success() => {
                let mut router = entry.router();
                let breaks = router.breaks();
                breaks.is_watching(now) && breaks.record_answer(now, self.fingerprint(body))
            }
            _ => false,
        };
        if is_news {
            entry.notify_leader();
        }
    }

    /// Identity of the request across the attempts of its callers. A body that is passed on as it
    /// comes counts by its length.
    fn fingerprint(&self, body: Option<&RequestBody>) -> Fingerprint {
        let digest = match body {
            Some(RequestBody::Whole(Some(bytes))) => *blake3::hash(bytes).as_bytes(),
            _ => [0; 32],
        };
        let host = self
            .parts
            .headers
            .get(HOST)
            .map_or(&b""[..], |host| host.as_bytes());
        let uri = self.parts.uri.to_string();
        let key = self.head.key.map(u16::to_be_bytes);
        let length = self.length.to_be_bytes();
        let key = key.as_ref().map_or(&[][..], |key| &key[..]);
        let method = self.parts.method.as_str().as_bytes();
        Fingerprint::of(&[method, host, uri.as_bytes(), key, &length, &digest])
    }

    /// Admits the body to the link. One that cannot pass in time is refused before it is read.
    fn admit_body(&mut self, entry: &Entry, body: &Incoming) -> Result<(), Refusal> {
        let Some(link) = &entry.link else {
            return Ok(());
        };
        let length = body.size_hint().exact().unwrap_or_default();
        if length <= SHORT_BYTES {
            return Ok(());
        }
        let upload = Upload {
            bytes: length,
            is_held: length <= WHOLE_BYTES,
        };
        let usual = entry
            .router()
            .usual_latency(&self.routed.service, &self.routed.name);
        let left = self.until.saturating_duration_since(Instant::now());
        let admission = link
            .admit(upload, left.saturating_sub(usual.unwrap_or_default()))
            .map_err(|pause| Refusal::not_run("link-full", pause))?;
        if let Some(handle) = self.parts.extensions.get::<StreamHandle>() {
            handle.carry(&admission);
        }
        self.admission = Some(admission);
        Ok(())
    }

    /// Refuses a request whose body was not read. The rest of a long one is not worth the link.
    fn refuse_body(&self, entry: &Entry, refusal: Refusal, body: Incoming) -> Response<ReplyBody> {
        let is_long = body
            .size_hint()
            .exact()
            .is_some_and(|length| length > WHOLE_BYTES);
        discard(body);
        let mut response = self.refuse(entry, refusal);
        if is_long {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    /// Reads a short body whole; a longer one is passed on as it comes.
    async fn read_body(&self, entry: &Entry, body: Incoming) -> Result<RequestBody, Refusal> {
        let exact = body.size_hint().exact();
        if exact.is_none_or(|length| length > WHOLE_BYTES) {
            return Ok(RequestBody::Stream(body));
        }
        if exact == Some(0) {
            return Ok(RequestBody::Whole(None));
        }
        let limit = entry.router().request_limits().body_size;
        let reading = Limited::new(body, usize::try_from(limit).unwrap_or(usize::MAX)).collect();
        match timeout_at(self.until, reading).await {
            Ok(Ok(collected)) => {
                if let Some(admission) = &self.admission {
                    admission.end_arrival();
                }
                Ok(RequestBody::Whole(Some(collected.to_bytes())))
            }
            Ok(Err(_)) => Err(Refusal::denied(StatusCode::BAD_REQUEST, "body-broken")),
            Err(_) => Err(Refusal::denied(StatusCode::REQUEST_TIMEOUT, "body-late")),
        }
    }

    /// Waits for the target that gets the request next.
    async fn next(&self, entry: &Entry) -> Result<Next, Refusal> {
        loop {
            let changed = entry.changed();
            let now = entry.clock.now();
            let connected = match self.routed.keyed {
                true => Vec::new(),
                false => entry.pool.connected(self.wish()),
            };
            let request = self.routing_request(entry, &connected);
            let placed = entry.router().route_request(now, request);
            match placed {
                RoutingDecision::Send {
                    id,
                    name,
                    address,
                    needs_permit,
                } => {
                    // A denial is known to the router, which decides anew.
                    if !needs_permit || self.is_permitted(entry, id).await {
                        return Ok(Next {
                            id,
                            name,
                            address,
                            is_permitted: needs_permit,
                        });
                    }
                }
                RoutingDecision::Reject(turned, pause) => {
                    return Err(Refusal::not_run(turned.name(), pause));
                }
                RoutingDecision::Wait(wait) => {
                    let wake = Instant::now() + wait;
                    if wake + LEAST_LEFT > self.until {
                        return Err(Refusal::not_run(RejectReason::Unowned.name(), wait));
                    }
                    tokio::select! {
                        () = sleep_until(wake) => {}
                        () = changed => {}
                        () = entry.given_up() => {
                            return Err(Refusal::not_run("ending", ENDING_PAUSE));
                        }
                    }
                }
            }
        }
    }

    fn wish(&self) -> Wish<'_> {
        Wish {
            request: &self.id,
            is_idempotent: self.routed.kind.is_idempotent(),
            left: self.until.saturating_duration_since(Instant::now()),
        }
    }

    /// Whether the limit of a target leaves room for the request.
    async fn is_permitted(&self, entry: &Entry, id: TargetId) -> bool {
        let request = PermitRequest {
            id,
            lowest_priority: self.routed.lowest_priority,
        };
        let left = self.until.saturating_duration_since(Instant::now());
        entry.request_permit(request, left).await
    }

    fn routing_request<'a>(
        &'a self,
        entry: &Entry,
        connected: &'a [TargetId],
    ) -> RoutingRequest<'a> {
        RoutingRequest {
            service: &self.routed.service,
            route: &self.routed.name,
            key: self.head.key,
            latency: LatencyBounds {
                goal: self.routed.goal,
                time_left: self.until.saturating_duration_since(Instant::now()),
                lowest_priority: self.routed.lowest_priority,
            },
            body_bytes: self.length,
            connected,
            connect_time: entry.pool.connect_time(),
            tried: &self.tried,
            misdirected: &self.strayed,
        }
    }

    /// Whether the answer can be expected before the process ends.
    fn ends_in_time(&self, entry: &Entry) -> bool {
        let Some(shutdown) = entry.shutdown() else {
            return true;
        };
        let now = entry.clock.now();
        let left = self.until.saturating_duration_since(Instant::now());
        let usual = entry
            .router()
            .usual_latency(&self.routed.service, &self.routed.name);
        shutdown.admits(now, left, usual)
    }

    /// Whether there is time, a try and room in the budget for one more sending.
    fn may_go_on(&self, entry: &Entry) -> bool {
        let time = self.until.saturating_duration_since(Instant::now()) > LEAST_LEFT;
        let tries = (self.tried.len() as u32) < self.routed.max_attempts.max(1) + 1;
        let arrived = self.arrivals < self.routed.max_attempts.max(1);
        let now = entry.clock.now();
        time && tries && arrived && entry.router().try_retry(now, &self.routed.service)
    }

    fn answer(&self, entry: &Entry, response: Response<ReplyBody>) -> Response<ReplyBody> {
        let spent = entry.clock.now().since(self.since);
        metrics::histogram!("cornelrail_request_seconds").record(spent.as_secs_f64());
        metrics::counter!("cornelrail_requests_total", "outcome" => "answered").increment(1);
        if spent > self.routed.goal || !response.status().is_success() {
            Event::RequestEnded.log(format_args!(
                "request={} route={} status={} targets={:?} ms={} aim={}",
                self.id,
                self.routed.name,
                response.status().as_u16(),
                self.tried,
                spent.as_millis(),
                self.routed.goal.as_millis()
            ));
        }
        response
    }

    /// The final answer where no target gave one. What may have run is never called not run.
    fn refuse(&self, entry: &Entry, refusal: Refusal) -> Response<ReplyBody> {
        let refusal = match refusal.pause {
            Some(_) if self.unknown => Refusal::denied(StatusCode::BAD_GATEWAY, refusal.reason),
            _ => refusal,
        };
        refuse(&self.id, refusal, entry.clock.now().since(self.since))
    }
}

/// Pause named to a caller whose target had no room.
const SHED_PAUSE: Duration = Duration::from_millis(150);
/// Callers come back spread over so much more than the pause.
const PAUSE_SPREAD: f64 = 0.5;

fn refuse(id: &str, refusal: Refusal, spent: Duration) -> Response<ReplyBody> {
    let reason = refusal.reason;
    metrics::counter!("cornelrail_refusals_total", "reason" => reason).increment(1);
    Event::RequestEnded.log(format_args!(
        "request={id} status={} reason={reason} ms={} retry_ms={}",
        refusal.status.as_u16(),
        spent.as_millis(),
        refusal.pause.map_or(0, |pause| pause.as_millis())
    ));
    let text = Bytes::from(format!("{reason}\n"));
    let mut response = Response::new(ReplyBody::Whole(Some(text)));
    *response.status_mut() = refusal.status;
    if let Some(pause) = refusal.pause {
        let pause = pause.mul_f64(1.0 + PAUSE_SPREAD * rand::random::<f64>());
        if let Ok(value) = HeaderValue::from_str(&format_retry_after(pause)) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Counts the bytes of a body that a target in the zone gets or sends.
fn count_zone_bytes(zone: Option<&'static str>, bytes: u64) {
    if let Some(to) = zone {
        metrics::counter!("cornelrail_zone_bytes_total", "to" => to).increment(bytes);
    }
}

/// Length of a body according to its headers.
fn body_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Reads the rest of a body in the background, so that its caller sees the answer.
fn discard(body: Incoming) {
    if !body.is_end_stream() {
        tokio::spawn(body::discard(body));
    }
}

/// Marks a body of unknown length as chunked. The HTTP library sends none with methods that rarely
/// have one, unless the head names it.
fn frame_body(request: &mut Request<RequestBody>) {
    if request.body().size_hint().exact().is_none() {
        let chunked = HeaderValue::from_static("chunked");
        request.headers_mut().insert(TRANSFER_ENCODING, chunked);
    }
}

/// Takes out what concerns one connection alone.
fn strip(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let hops: Vec<_> = headers
        .keys()
        .filter(|name| is_hop_by_hop(name) || named.iter().any(|n| n == name.as_str()))
        .cloned()
        .collect();
    for name in hops {
        headers.remove(name);
    }
}
