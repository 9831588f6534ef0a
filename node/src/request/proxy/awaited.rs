//! Answers that are awaited, also after their callers have left.
//!
//! Dropping an [`AwaitedAnswer`] before its answer has begun tells the target at once that its caller
//! has left, since the writing side of the connection is closed. Reading goes on in the background
//! for a while, only for what the head says of the target itself.

use super::flight::Flight;
use crate::{
    connection::pool::{Exchange, SendError, TargetConnection},
    process::entry::Entry,
};
use cornelrail_lib::{
    request::balance::{ABANDONED_TIME, SendOutcome},
    version::catalog::TargetId,
};
use cornelrail_platform::target::AnswerHead;
use http::{HeaderMap, Response, StatusCode};
use hyper::body::Incoming;
use std::sync::Arc;
use tokio::{
    runtime::Handle,
    time::{Instant, timeout},
};

/// An answer that has not begun yet.
#[derive(Debug)]
pub(super) struct AwaitedAnswer<'a> {
    request: &'a str,
    until: Instant,
    under_way: Option<(Flight, Exchange)>,
}

impl<'a> AwaitedAnswer<'a> {
    /// Answer to a request whose time ends at `until`.
    pub(super) fn new(
        request: &'a str,
        until: Instant,
        flight: Flight,
        exchange: Exchange,
    ) -> Self {
        AwaitedAnswer {
            request,
            until,
            under_way: Some((flight, exchange)),
        }
    }

    /// Waits for the head of the answer; `None` only if it was awaited before.
    pub(super) async fn head(
        mut self,
    ) -> Option<(Flight, Exchange, Result<Response<Incoming>, SendError>)> {
        let (_, exchange) = self.under_way.as_mut()?;
        let answered = exchange.head().await;
        let (flight, exchange) = self.under_way.take()?;
        Some((flight, exchange, answered))
    }
}

impl Drop for AwaitedAnswer<'_> {
    fn drop(&mut self) {
        let Some((mut flight, exchange)) = self.under_way.take() else {
            return;
        };
        flight.end(match Instant::now() < self.until {
            true => SendOutcome::Cancelled,
            false => SendOutcome::Late,
        });
        // There is no runtime any more if the process ends.
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        let Some(place) = ListeningPlace::take(&flight.entry, flight.id) else {
            return;
        };
        exchange.abandon();
        runtime.spawn(listen(self.request.to_owned(), flight, exchange, place));
    }
}

/// Reads the head of an answer that nobody waits for, and records what it says of the target.
async fn listen(request: String, flight: Flight, mut exchange: Exchange, _place: ListeningPlace) {
    let listening = async {
        let response = exchange.head().await.ok()?;
        let connection = exchange.into_connection();
        let is_reused = connection.is_reused();
        let (head, body) = response.into_parts();
        if is_own(&request, is_reused, head.status, &head.headers) {
            return Some((head.status, head.headers, is_reused));
        }
        let (status, headers) = connection.read_head_behind(body).await?;
        Some((status, headers, true))
    };
    if let Ok(Some((status, headers, is_reused))) = timeout(ABANDONED_TIME, listening).await {
        record(&request, flight, is_reused, status, &headers);
    }
}

/// Reads the head behind an answer that belongs to another request, and records what it says of the
/// target: one that writes an answer twice may write the own answer after it.
pub(super) fn listen_behind(
    request: &str,
    flight: Flight,
    connection: TargetConnection,
    body: Incoming,
) {
    let Some(place) = ListeningPlace::take(&flight.entry, flight.id) else {
        return;
    };
    let request = request.to_owned();
    tokio::spawn(async move {
        let _place = place;
        let reading = connection.read_head_behind(body);
        let Ok(Some((status, headers))) = timeout(ABANDONED_TIME, reading).await else {
            return;
        };
        record(&request, flight, true, status, &headers);
    });
}

fn is_own(request: &str, is_reused: bool, status: StatusCode, headers: &HeaderMap) -> bool {
    AnswerHead::read(Some(request), status, headers).is_own(is_reused)
}

fn record(
    request: &str,
    mut flight: Flight,
    is_reused: bool,
    status: StatusCode,
    headers: &HeaderMap,
) {
    let head = AnswerHead::read(Some(request), status, headers);
    if head.is_own(is_reused) {
        metrics::counter!("cornelrail_abandoned_answers_total").increment(1);
        flight.record_head(&head);
    }
}

/// Room for one answer that is awaited without a caller.
struct ListeningPlace {
    entry: Arc<Entry>,
    id: TargetId,
}

impl ListeningPlace {
    fn take(entry: &Arc<Entry>, id: TargetId) -> Option<Self> {
        let has_room = entry.router().abandoned().begin(id);
        has_room.then(|| ListeningPlace {
            entry: entry.clone(),
            id,
        })
    }
}

impl Drop for ListeningPlace {
    fn drop(&mut self) {
        self.entry.router().abandoned().end(self.id);
    }
}
