//! A request at the home of its target: claim it if it must not be repeated, wait for a permit, and
//! exchange it with the target.

use super::{
    body::Body,
    claim::{self, Claimed},
    core::Core,
    exchange::{self, Exchanged, Permit},
    home_handle::Verdict,
    message::{Answer, Failure, RequestHead},
};
use bytes::Bytes;
use cornelrail_lib::{
    key::KeyHash,
    moment::Moment,
    name::Target,
    request::{
        dispatch::{Arrival, AttemptOutcome, Importance, RequestId, TargetSelector},
        once::{Claim, Identity, Progress, Record, StoredAnswer, repeat_window},
        outcome::{Certainty, Refusal, RefusalReason},
        plan,
        quarantine::FingerprintInput,
    },
    version::fleet::Route,
};
use http::{HeaderMap, HeaderValue, header::CONTENT_TYPE};
use std::{collections::BTreeMap, time::Duration};
use tokio::{
    sync::{mpsc, oneshot},
    task::{AbortHandle, JoinSet},
    time::Instant,
};

/// Serves a request for a target whose home this entry is.
pub async fn serve(core: &Core, head: RequestHead, body: Body) -> Result<Answer, Failure> {
    let identities = identities(core, &head, &body);
    if identities.is_empty() {
        return attempt(core, head, body).await;
    }
    let core = core.clone();
    // A once-only request runs on when its caller leaves, so that its outcome gets on record.
    let task = tokio::spawn(async move { serve_once(&core, &identities, head, body).await });
    match task.await {
        Ok(outcome) => outcome,
        Err(_) => {
            let reason = RefusalReason::EntryFailed;
            Err(Refusal::unknown(reason, plan::retry_delay(reason)).into())
        }
    }
}

/// Identities under which a once-only request is claimed, in the order of claiming.
fn identities(core: &Core, head: &RequestHead, body: &Body) -> Vec<Identity> {
    if !head.once {
        return Vec::new();
    }
    if let Some(identity) = &head.identity {
        return vec![Identity::from_idempotency_key(
            &head.service,
            &head.key,
            identity,
        )];
    }
    let view = core.view.borrow();
    let service = view.fleet.services.get(&head.service);
    let (Some(service), Some(body)) = (service, body.copy()) else {
        return Vec::new();
    };
    let digest = blake3::hash(&body);
    let press = repeat_window::RequestContent {
        service: &head.service,
        customer: &head.key,
        route: &route(head),
        body: digest.as_bytes(),
    };
    let window = service.settings.repeat_window;
    match repeat_window::window_identities(&press, core.wall_clock(), window) {
        Some(derived) => vec![derived.previous, derived.current],
        None => Vec::new(),
    }
}

fn route(head: &RequestHead) -> String {
    format!("{} {}", head.method, head.path)
}

async fn serve_once(
    core: &Core,
    identities: &[Identity],
    head: RequestHead,
    body: Body,
) -> Result<Answer, Failure> {
    let deadline = core.clock.now() + Duration::from_millis(head.left_ms);
    let claims = match claim_all(core, identities, deadline).await {
        Ok(claims) => claims,
        Err(outcome) => return outcome,
    };
    if !claims.iter().all(|claim| claim.may_send(core.clock.now())) {
        let reason = RefusalReason::Deadline;
        let failure = Refusal::not_run(reason, plan::retry_delay(reason)).into();
        settle_failure(core, claims, &failure);
        return Err(failure);
    }
    let outcome = attempt(core, head, body).await;
    match &outcome {
        Ok(answer) => settle(core, claims, answer),
        Err(failure) => settle_failure(core, claims, failure),
    }
    outcome
}

/// Claims all identities; if one is refused, the others are given up and that is the outcome.
async fn claim_all(
    core: &Core,
    identities: &[Identity],
    deadline: Moment,
) -> Result<Vec<Claim>, Result<Answer, Failure>> {
    let mut claims = Vec::new();
    for identity in identities {
        let claimed = claim::claim(core, *identity, deadline).await;
        let outcome = match claimed {
            Ok(claim) => {
                claims.push(claim);
                continue;
            }
            Err(Claimed::Refused(refusal)) => Err(refusal.into()),
            Err(Claimed::Repeated(record)) => repeated(record),
        };
        for claim in claims {
            claim::release(core, claim);
        }
        return Err(outcome);
    }
    Ok(claims)
}

/// Puts the outcome of an answered request on record; a target that has sent the head of its answer
/// has run the request.
fn settle(core: &Core, claims: Vec<Claim>, answer: &Answer) {
    let status = answer.status.as_u16();
    let content_type = content_type(&answer.fields);
    let stored = match &answer.body {
        Body::Whole(bytes) => StoredAnswer::new(status, &content_type, bytes),
        Body::Stream(_) => StoredAnswer {
            status,
            content_type,
            digest: [0; 16],
            body: None,
        },
    };
    for claim in claims {
        claim::record(core, claim, Progress::Answered(stored.clone()));
    }
}

fn settle_failure(core: &Core, claims: Vec<Claim>, failure: &Failure) {
    let certainty = match failure {
        Failure::Elsewhere => Certainty::NotRun,
        Failure::Lost => Certainty::Unknown,
        Failure::Refused(refusal) => refusal.certainty,
    };
    for claim in claims {
        match certainty {
            Certainty::NotRun => claim::release(core, claim),
            Certainty::Unknown => claim::record(core, claim, Progress::Unknown),
        }
    }
}

fn content_type(fields: &HeaderMap) -> String {
    let value = fields
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// The answer to a resend: that of the first sending where it is kept, else what is known of it.
fn repeated(record: Record) -> Result<Answer, Failure> {
    if let Progress::Answered(stored) = record.progress
        && let Some(body) = stored.body
    {
        let mut fields = HeaderMap::new();
        if let Ok(value) = HeaderValue::from_str(&stored.content_type) {
            fields.insert(CONTENT_TYPE, value);
        }
        return Ok(Answer {
            status: exchange::status(stored.status),
            fields,
            body: Body::Whole(Bytes::from(body)),
        });
    }
    let reason = RefusalReason::Repeated;
    Err(Refusal::unknown(reason, plan::retry_delay(reason)).into())
}

/// One attempt that ended, as its task returns it.
struct Attempted {
    attempt: u32,
    exchanged: Exchanged,
}

/// A request while it waits for verdicts and runs its attempts.
struct Serving<'a> {
    core: &'a Core,
    head: RequestHead,
    id: RequestId,
    body: Option<Body>,
    spare: Option<Bytes>,
    deadline: Instant,
    running: JoinSet<Attempted>,
    handles: BTreeMap<u32, AbortHandle>,
    settled: bool,
}

impl Drop for Serving<'_> {
    fn drop(&mut self) {
        if !self.settled {
            self.core.home.cancel(self.id);
        }
    }
}

async fn attempt(core: &Core, head: RequestHead, body: Body) -> Result<Answer, Failure> {
    let hash = head.hash();
    let Some(choice) = choice(core, &head, hash) else {
        return Err(Failure::Elsewhere);
    };
    let arrival = arrival(core, &head, &body, choice);
    if is_quarantined(core, &arrival) {
        let reason = RefusalReason::Quarantined;
        return Err(Refusal::not_run(reason, plan::retry_delay(reason)).into());
    }
    let mut serving = Serving {
        core,
        id: arrival.id,
        spare: body.copy(),
        body: Some(body),
        deadline: Instant::now() + Duration::from_millis(head.left_ms),
        head,
        running: JoinSet::new(),
        handles: BTreeMap::new(),
        settled: false,
    };
    let verdicts = core.home.arrive(arrival, hash).await;
    serving.run(verdicts).await
}

/// What the dispatch policy chooses from; none if this entry does not send for the key.
fn choice(core: &Core, head: &RequestHead, hash: KeyHash) -> Option<TargetSelector> {
    let view = core.view.borrow();
    match view.fleet.route(head.service.as_str(), hash) {
        Route::Keyed { target, .. } => Some(TargetSelector::Keyed(Target::clone(target))),
        Route::Pool { .. } => Some(TargetSelector::Pool),
        Route::Unserved | Route::UnknownService => None,
    }
}

/// Whether the request crashed targets before.
fn is_quarantined(core: &Core, arrival: &Arrival) -> bool {
    let view = core.view.borrow();
    let quarantine = &view.fleet.quarantine;
    arrival
        .fingerprint
        .is_some_and(|fingerprint| quarantine.contains_key(&fingerprint))
}

fn arrival(core: &Core, head: &RequestHead, body: &Body, selector: TargetSelector) -> Arrival {
    let repeatable = !head.once && matches!(body, Body::Whole(_));
    let bytes = body.copy().unwrap_or_default();
    let digest = blake3::hash(&bytes);
    let sample = FingerprintInput {
        service: &head.service,
        endpoint: &route(head),
        customer: &head.key,
        body: digest.as_bytes(),
    };
    Arrival {
        id: RequestId(head.id),
        service: head.service.clone(),
        selector,
        deadline: core.clock.now() + Duration::from_millis(head.left_ms),
        importance: match head.low {
            true => Importance::Low,
            false => Importance::Normal,
        },
        once: head.once,
        fingerprint: Some(sample.fingerprint()),
        repeatable,
    }
}

impl Serving<'_> {
    async fn run(
        &mut self,
        mut verdicts: mpsc::UnboundedReceiver<Verdict>,
    ) -> Result<Answer, Failure> {
        loop {
            tokio::select! {
                verdict = verdicts.recv() => match verdict {
                    Some(Verdict::Send(permit)) => self.send(permit).await,
                    Some(Verdict::Abort(attempt)) => self.abort(attempt).await,
                    Some(Verdict::Refuse(refusal)) => return self.end(refusal.into()),
                    Some(Verdict::Elsewhere) => return self.end(Failure::Elsewhere),
                    None => return self.end(Failure::Lost),
                },
                Some(joined) = self.running.join_next() => {
                    let Ok(attempted) = joined else {
                        continue;
                    };
                    if let Some(answer) = self.attempted(attempted).await {
                        return Ok(answer);
                    }
                }
            }
        }
    }

    fn end(&mut self, failure: Failure) -> Result<Answer, Failure> {
        self.settled = true;
        Err(failure)
    }

    async fn send(&mut self, permit: Permit) {
        let body = match (self.body.take(), &self.spare) {
            (Some(body), _) => body,
            (None, Some(bytes)) => Body::Whole(bytes.clone()),
            // A streamed body is gone after the first attempt.
            (None, None) => {
                let home = &self.core.home;
                home.finish(self.id, permit.attempt, AttemptOutcome::NotSent)
                    .await;
                return;
            }
        };
        let attempt = permit.attempt;
        let head = self.head.clone();
        let zone = self.core.settings.zone.clone();
        let deadline = self.deadline;
        let handle = self.running.spawn(async move {
            let exchanged = exchange::exchange(&permit, &head, &zone, body, deadline).await;
            Attempted { attempt, exchanged }
        });
        self.handles.insert(attempt, handle);
    }

    async fn abort(&mut self, attempt: u32) {
        if let Some(handle) = self.handles.remove(&attempt) {
            handle.abort();
        }
        let home = &self.core.home;
        home.finish(self.id, attempt, AttemptOutcome::Cancelled)
            .await;
    }

    async fn attempted(&mut self, attempted: Attempted) -> Option<Answer> {
        let attempt = attempted.attempt;
        self.handles.remove(&attempt)?;
        match attempted.exchanged {
            Exchanged::Ended(ending) => {
                self.core.home.finish(self.id, attempt, ending).await;
                None
            }
            Exchanged::Whole(answer) => {
                self.settled = true;
                let home = &self.core.home;
                home.finish(self.id, attempt, AttemptOutcome::Answered)
                    .await;
                Some(answer)
            }
            Exchanged::Streaming(answer, end) => {
                self.settled = true;
                for other in self.handles.keys() {
                    let home = &self.core.home;
                    home.finish(self.id, *other, AttemptOutcome::Cancelled)
                        .await;
                }
                self.follow(attempt, end);
                Some(answer)
            }
        }
    }

    /// Tells the home when the answer's body has ended.
    fn follow(&self, attempt: u32, end: oneshot::Receiver<AttemptOutcome>) {
        let home = self.core.home.clone();
        let id = self.id;
        tokio::spawn(async move {
            let ending = end.await.unwrap_or(AttemptOutcome::Failed);
            home.finish(id, attempt, ending).await;
        });
    }
}
