//! The way of a request by another entry, while this one reaches no target by its own links.
//!
//! The other entry serves it as one of its own callers' and passes it on to nobody else. Nothing was
//! sent to a target before, and once the request may have reached the other entry, one that must
//! not run twice is not sent again.

use super::{Job, LEAST_LEFT, Refusal, SHED_PAUSE};
use crate::{
    connection::pool::{AnswerBody, PoolPlace, SendError, TargetConnection},
    process::entry::Entry,
    request::proxy_body::{ReplyBody, RequestBody, read_short},
};
use cornelrail_lib::{
    request::{balance::NoPeer, header},
    version::catalog::TargetId,
};
use cornelrail_platform::target::set_time_left;
use http::{HeaderValue, Request, Response, StatusCode, Version};
use std::{net::SocketAddr, sync::Arc};
use tokio::time::{Instant, timeout_at};

/// Entries that one request tries.
const ENTRIES_MAX: usize = 3;
/// Idle connections kept to one other entry.
const IDLE_MAX: usize = 16;

/// How a detour ended.
pub(super) enum Detour {
    /// The other entry answered.
    Ended(Response<ReplyBody>),
    /// It was sent, and no answer came.
    Refused(Refusal),
    /// No other entry could be asked.
    NotTaken(RequestBody),
}

/// How one sending ended.
enum Sent {
    Answer(Response<ReplyBody>),
    /// No byte reached the other entry.
    Unread,
    Broken,
    Late,
}

/// A request under way by another entry.
struct Passage<'a> {
    entry: &'a Entry,
    address: SocketAddr,
}

impl<'a> Passage<'a> {
    fn begin(entry: &'a Entry, address: SocketAddr) -> Self {
        entry.router().peers().record_sent(address);
        Passage { entry, address }
    }
}

impl Drop for Passage<'_> {
    fn drop(&mut self) {
        self.entry.router().peers().record_end(self.address);
    }
}

impl Job {
    /// Sends the request by other entries, until one has taken it.
    pub(super) async fn detour(&mut self, entry: &Arc<Entry>, mut body: RequestBody) -> Detour {
        let mut tried = Vec::new();
        while tried.len() < ENTRIES_MAX {
            let now = entry.clock.now();
            let chosen = entry.router().choose_peer(now, &tried);
            let address = match chosen {
                Ok(address) => address,
                Err(NoPeer::Full) => {
                    count("full");
                    return Detour::Refused(Refusal::not_run("detour-full", SHED_PAUSE));
                }
                Err(NoPeer::Unreached) => break,
            };
            tried.push(address);
            let passage = Passage::begin(entry, address);
            let number = TargetId(entry.router().peers().number(address));
            let Ok(connection) = entry.peers.take(number, address, self.wish()).await else {
                entry.router().peers().record_unreached(now, address);
                continue;
            };
            let again = match &body {
                RequestBody::Whole(bytes) => Some(RequestBody::Whole(bytes.clone())),
                RequestBody::Stream(_) => None,
            };
            let sent = tokio::select! {
                sent = timeout_at(self.until, self.pass(entry, number, connection, body)) => {
                    sent.unwrap_or(Sent::Late)
                }
                () = entry.given_up() => Sent::Late,
            };
            drop(passage);
            let refusal = match sent {
                Sent::Answer(response) => {
                    count("answered");
                    return Detour::Ended(self.answer(entry, response));
                }
                Sent::Unread => Refusal::not_run("closed", SHED_PAUSE),
                Sent::Broken => Refusal::denied(StatusCode::BAD_GATEWAY, "broken"),
                Sent::Late => Refusal::denied(StatusCode::GATEWAY_TIMEOUT, "late"),
            };
            // Whatever follows, the request may have run.
            self.unknown |= refusal.pause.is_none();
            let may_repeat = match refusal.reason {
                "closed" => true,
                // What was sent twice counts as a retry, as with a target.
                "broken" => self.routed.kind.is_idempotent() && self.may_go_on(entry),
                _ => false,
            };
            match again {
                Some(next) if may_repeat => body = next,
                _ => {
                    count("failed");
                    return Detour::Refused(refusal);
                }
            }
        }
        count("not-taken");
        Detour::NotTaken(body)
    }

    async fn pass(
        &self,
        entry: &Arc<Entry>,
        number: TargetId,
        connection: TargetConnection,
        body: RequestBody,
    ) -> Sent {
        let left = self.until.saturating_duration_since(Instant::now());
        if left < LEAST_LEFT {
            return Sent::Unread;
        }
        let mut request = Request::new(body);
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = self.parts.uri.clone();
        *request.version_mut() = Version::HTTP_11;
        *request.headers_mut() = self.parts.headers.clone();
        let headers = request.headers_mut();
        set_time_left(headers, left);
        headers.insert(header::DETOUR, HeaderValue::from_static("1"));
        super::frame_body(&mut request);
        connection.carry(self.admission.as_ref());
        let mut exchange = connection.send(request);
        let response = match exchange.head().await {
            Ok(response) => response,
            Err(SendError::NotSent | SendError::TurnedAway) => return Sent::Unread,
            Err(SendError::Broken) => return Sent::Broken,
        };
        let (mut parts, body) = response.into_parts();
        let place = PoolPlace {
            pool: entry.peers.clone(),
            id: number,
            room: IDLE_MAX,
            keep: None,
        };
        let body = read_short(
            AnswerBody::new(body, exchange.into_connection(), place),
            self.until,
        )
        .await;
        match body {
            Ok(body) => {
                super::strip(&mut parts.headers);
                Sent::Answer(Response::from_parts(parts, body))
            }
            Err(_) => Sent::Broken,
        }
    }
}

fn count(outcome: &'static str) {
    metrics::counter!("cornelrail_detours_total", "outcome" => outcome).increment(1);
}
