//! Sending of a request to one target.
//!
//! Nothing of a request that is given up before a byte of it was written reaches its target later: the
//! connection is dropped with it.

use super::{
    Job, LEAST_LEFT, Next, Tried,
    awaited::{self, AwaitedAnswer},
    body_length, count_zone_bytes,
    flight::Flight,
    frame_body, strip,
};
use crate::{
    connection::pool::{AnswerBody, PoolPlace, SendError, TargetConnection},
    process::entry::Entry,
    request::proxy_body::{RequestBody, read_short},
};
use cornelrail_lib::{
    name::Target,
    request::balance::{Router, SendOutcome},
    version::catalog::TargetId,
};
use cornelrail_platform::target::{AnswerHead, set_target_headers};
use http::{Request, Response, Version};
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, timeout, timeout_at};

/// Multiple of the usual time after which a connection that is being set up counts as hanging.
const HANGING_FACTOR: u32 = 4;
/// Shortest such time; a busy target or a lost packet may take as long.
const HANGING_TIME: Duration = Duration::from_millis(100);

/// How one use of a connection ended.
#[derive(Debug)]
enum Sending {
    Ended(Tried),
    /// A connection that had been idle was closed before anything of the request was written.
    Unsent(RequestBody),
}

impl Job {
    /// Sends the request to one target. An idle connection that turns out closed before anything was
    /// written costs no retry: the request goes to the same target by a new one.
    pub(super) async fn attempt(
        &mut self,
        entry: &Arc<Entry>,
        next: &Next,
        mut body: RequestBody,
    ) -> Tried {
        loop {
            match self.send(entry, next, body).await {
                Sending::Ended(tried) => return tried,
                Sending::Unsent(unsent) => body = unsent,
            }
            metrics::counter!("cornelrail_closed_reuses_total").increment(1);
            self.needs_new = true;
        }
    }

    /// A connection to a target, or `None` if setting it up takes much longer than usual and the
    /// request may go to another one.
    async fn connect(
        &mut self,
        entry: &Entry,
        next: &Next,
        is_whole: bool,
    ) -> Option<Result<TargetConnection, SendError>> {
        let wish = self.wish();
        let connecting = async {
            match self.needs_new {
                true => entry.pool.open(next.address, wish.left).await,
                false => entry.pool.take(next.id, next.address, wish).await,
            }
        };
        let hanging = HANGING_TIME.max(entry.pool.connect_time() * HANGING_FACTOR);
        // The second target gets as long as any.
        let may_change =
            is_whole && !self.routed.keyed && self.tried.is_empty() && hanging < wish.left / 2;
        let connected = match may_change {
            true => timeout(hanging, connecting).await,
            false => timeout_at(self.until, connecting).await,
        };
        if connected.is_err() && may_change {
            entry.pool.record_connect(hanging);
        }
        self.needs_new = false;
        connected.ok()
    }

    /// Sends the request over one connection.
    async fn send(&mut self, entry: &Arc<Entry>, next: &Next, body: RequestBody) -> Sending {
        let id = next.id;
        let is_whole = matches!(body, RequestBody::Whole(_));
        let mut flight = Flight::begin(entry, id, &self.routed.name);
        let connection = match self.connect(entry, next, is_whole).await {
            Some(Ok(connection)) => connection,
            Some(Err(SendError::TurnedAway)) => {
                entry.router().reach().record_contact(id);
                flight.end(SendOutcome::Shed);
                return Sending::Ended(Tried::Closed);
            }
            Some(Err(SendError::NotSent | SendError::Broken)) => {
                // On a full link it says nothing of the target.
                flight.end(match entry.pool.is_slow() {
                    true => SendOutcome::Cancelled,
                    false => SendOutcome::Unreachable,
                });
                record_failure(entry, id);
                return Sending::Ended(Tried::Unreachable);
            }
            None => {
                let tried = match Instant::now() < self.until {
                    true => {
                        flight.end(SendOutcome::Unreachable);
                        Tried::Hanging
                    }
                    false => Tried::Unreachable,
                };
                return Sending::Ended(tried);
            }
        };
        let control = connection.control();
        let is_new = connection.is_new();
        if is_new {
            entry.router().reach().record_contact(id);
        }
        // The target may have named its limit while the connection was opened.
        let is_limited = !next.is_permitted && entry.router().is_limited(id);
        if is_limited && !self.is_permitted(entry, id).await {
            flight.end(SendOutcome::Cancelled);
            return Sending::Ended(Tried::Limited);
        }
        let left = self.until.saturating_duration_since(Instant::now());
        let now = entry.clock.now();
        let (may_serve, accepts, zone) = {
            let router = entry.router();
            let accepts = router.still_accepts(now, id, self.routed.keyed);
            (router.may_serve(now), accepts, self.zone_label(&router, id))
        };
        if !may_serve {
            flight.end(SendOutcome::Cancelled);
            return Sending::Ended(Tried::Stale);
        }
        if left < LEAST_LEFT || !accepts {
            flight.end(SendOutcome::Cancelled);
            return Sending::Ended(Tried::Unreachable);
        }
        if !self.ends_in_time(entry) {
            flight.end(SendOutcome::Cancelled);
            return Sending::Ended(Tried::Ending);
        }
        connection.carry(self.admission.as_ref());
        let request = self.target_request(&next.name, left, body);
        self.arrivals += 1;
        if let Some(to) = zone {
            metrics::counter!("cornelrail_zone_sends_total", "to" => to).increment(1);
        }
        count_zone_bytes(zone, self.length);
        flight.count_in_pause();
        let exchanging = self.exchange(entry, flight, connection, request);
        let sending = tokio::select! {
            sending = timeout_at(self.until, exchanging) => sending.ok(),
            () = entry.given_up() => None,
        };
        let sending = match sending {
            Some(sending) => sending,
            // What was not written by now never will be.
            None if !control.has_written() => Sending::Ended(Tried::Unreachable),
            None => {
                if !is_new && Instant::now() >= self.until {
                    record_silence(entry, id);
                }
                Sending::Ended(Tried::Late)
            }
        };
        match &sending {
            Sending::Unsent(_) | Sending::Ended(Tried::Closed) => self.arrivals -= 1,
            // The other idle connections to the target may be broken, too.
            Sending::Ended(Tried::Broken) => self.needs_new = !is_new,
            Sending::Ended(_) => {}
        }
        sending
    }

    /// Whether a target of a pool runs in the `own` zone or an `other` one. The owner of a key is
    /// fixed, so requests of keyed services are not counted.
    fn zone_label(&self, router: &Router, id: TargetId) -> Option<&'static str> {
        let label = match router.is_own_zone(id) {
            true => "own",
            false => "other",
        };
        (!self.routed.keyed).then_some(label)
    }

    fn target_request(
        &self,
        name: &Target,
        left: Duration,
        body: RequestBody,
    ) -> Request<RequestBody> {
        let mut request = Request::new(body);
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = self.parts.uri.clone();
        *request.version_mut() = Version::HTTP_11;
        *request.headers_mut() = self.parts.headers.clone();
        set_target_headers(request.headers_mut(), name, left);
        frame_body(&mut request);
        request
    }

    async fn exchange(
        &self,
        entry: &Arc<Entry>,
        flight: Flight,
        connection: TargetConnection,
        request: Request<RequestBody>,
    ) -> Sending {
        let is_new = connection.is_new();
        let exchange = connection.send(request);
        let awaited = AwaitedAnswer::new(&self.id, self.until, flight, exchange);
        let Some((mut flight, mut exchange, answered)) = awaited.head().await else {
            return Sending::Ended(Tried::Broken);
        };
        let response = match answered {
            Ok(response) => response,
            Err(SendError::NotSent | SendError::TurnedAway) => {
                if let Some(unsent) = exchange.take_unsent().filter(|_| !is_new) {
                    return Sending::Unsent(unsent);
                }
                flight.end(SendOutcome::Shed);
                return Sending::Ended(Tried::Closed);
            }
            Err(SendError::Broken) => {
                flight.end(SendOutcome::Broken);
                return Sending::Ended(Tried::Broken);
            }
        };
        let mut connection = exchange.into_connection();
        let (mut parts, body) = response.into_parts();
        let head = AnswerHead::read(Some(&self.id), parts.status, &parts.headers);
        if !head.is_own(connection.is_reused()) {
            flight.end(SendOutcome::Broken);
            awaited::listen_behind(&self.id, flight, connection, body);
            return Sending::Ended(Tried::Broken);
        }
        if parts.status.is_success() && !head.has_signature {
            flight.end(SendOutcome::Broken);
            return Sending::Ended(Tried::Broken);
        }
        flight.record_head(&head);
        if head.not_run {
            connection.record_refusal(&self.id);
        }
        let (room, zone) = {
            let router = entry.router();
            let room = router.max_idle_connections(&self.routed.service);
            (room, self.zone_label(&router, flight.id))
        };
        count_zone_bytes(zone, body_length(&parts.headers).unwrap_or_default());
        let place = PoolPlace {
            pool: entry.pool.clone(),
            id: flight.id,
            room,
            keep: head.keep_alive,
        };
        let body = read_short(AnswerBody::new(body, connection, place), self.until).await;
        if head.not_run {
            flight.end(SendOutcome::Shed);
            let misdirected = head.misdirected;
            return Sending::Ended(Tried::NotRun { misdirected });
        }
        match body {
            Ok(body) => {
                entry.router().reach().record_contact(flight.id);
                flight.end(SendOutcome::Answered);
                strip(&mut parts.headers);
                Sending::Ended(Tried::Answer(Response::from_parts(parts, body)))
            }
            Err(_) => {
                flight.end(SendOutcome::Broken);
                Sending::Ended(Tried::Broken)
            }
        }
    }
}

/// Records that no connection to a target was made.
fn record_failure(entry: &Entry, id: TargetId) {
    let now = entry.clock.now();
    if entry.router().reach().record_failure(now, id) {
        entry.check_links();
    }
}

/// Records that a target was silent on a connection that had been idle. It may have fallen silent
/// for good, and the other idle ones with it.
fn record_silence(entry: &Entry, id: TargetId) {
    entry.pool.forget(id);
    record_failure(entry, id);
}
