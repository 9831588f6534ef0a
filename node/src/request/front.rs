//! HTTP towards callers.
//!
//! `METHOD /SERVICE/PATH` with the key in a header. The answer is the target's own, or a refusal
//! whose headers say what is known of the request and when to come back.

use super::{
    body::{self, Body},
    core::Core,
    message::{Answer, RequestHead, passed_fields},
    route,
};
use crate::process::{logging::EventLog, telemetry};
use cornelrail_lib::{
    name::Service,
    process::event::Event,
    request::{
        header,
        outcome::{Certainty, Refusal, RefusalReason},
        plan,
    },
    version::fleet::{ServiceKind, ServiceSettings},
};
use http::{
    HeaderMap, HeaderName, HeaderValue, StatusCode,
    header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER},
};
use salvo::{
    Depot, FlowCtrl, Request, Response, async_trait, handler::Handler, http::body::ResBody,
};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};
use tracing::{Instrument, debug_span};

/// Longest deadline that a caller may ask for.
const MAX_DEADLINE: Duration = Duration::from_secs(600);
/// Deadline of a request to a service that sets none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);

/// Handler of all requests of callers.
#[derive(Debug, Clone)]
pub struct Front {
    core: Core,
}

impl Front {
    /// Handler that works with the tasks behind `core`.
    pub fn new(core: Core) -> Front {
        Front { core }
    }

    async fn answer(&self, request: &mut Request) -> Result<Answer, Refusal> {
        let mut head = self.head(request)?;
        let span = debug_span!("entry", request = head.id, service = %head.service);
        telemetry::adopt(&span, request.headers());
        head.trace = telemetry::traceparent(&span);
        self.pass(request, head).instrument(span).await
    }

    async fn pass(&self, request: &mut Request, head: RequestHead) -> Result<Answer, Refusal> {
        let _open = self.core.admit()?;
        let deadline = Instant::now() + Duration::from_millis(head.left_ms);
        let limit = self.core.settings.limits.body_size;
        let reading = Body::from_http(request.take_body(), limit);
        let body = timeout_at(deadline, reading)
            .await
            .map_err(|_| refusal(RefusalReason::Deadline))?
            .map_err(|_| refusal(RefusalReason::BadRequest))?;
        let left = deadline.saturating_duration_since(Instant::now());
        let head = RequestHead {
            left_ms: left.as_millis() as u64,
            ..head
        };
        route::route(&self.core, head, body).await
    }

    fn head(&self, request: &Request) -> Result<RequestHead, Refusal> {
        let headers = request.headers();
        let (service, path) = split_path(request.uri().path())?;
        let view = self.core.view.borrow();
        let known = view.fleet.services.get(service);
        let settings = known.map(|state| &state.settings);
        let key = text(headers, header::KEY)?.unwrap_or_default();
        if key.is_empty() && settings.is_some_and(|settings| settings.kind == ServiceKind::Keyed) {
            return Err(refusal(RefusalReason::BadRequest));
        }
        let query = request.uri().query();
        let method = request.method().as_str();
        let once = settings.is_some_and(|settings| matches_route(&settings.once, method, path));
        let low = settings.is_some_and(|settings| matches_route(&settings.low, method, path));
        Ok(RequestHead {
            id: self.core.next_id(),
            service: Service::from(service),
            key: key.to_owned(),
            method: method.to_owned(),
            path: query.map_or_else(|| path.to_owned(), |query| format!("{path}?{query}")),
            fields: passed_fields(headers),
            left_ms: deadline(headers, settings)?.as_millis() as u64,
            identity: text(headers, header::IDENTITY)?.map(str::to_owned),
            once,
            low,
            body: None,
            trace: None,
        })
    }
}

#[async_trait]
impl Handler for Front {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let started = self.core.clock.now();
        let outcome = self.answer(request).await;
        let elapsed = self.core.clock.now().since(started);
        metrics::histogram!("cornelrail_request_seconds").record(elapsed.as_secs_f64());
        match outcome {
            Ok(answer) => write_answer(response, answer),
            Err(refusal) => write_refusal(response, refusal),
        }
    }
}

fn refusal(reason: RefusalReason) -> Refusal {
    Refusal::not_run(reason, plan::retry_delay(reason))
}

fn split_path(path: &str) -> Result<(&str, &str), Refusal> {
    let rest = path.strip_prefix('/').unwrap_or(path);
    let end = rest.find('/').unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    if service.is_empty() {
        return Err(refusal(RefusalReason::BadRequest));
    }
    Ok((service, if path.is_empty() { "/" } else { path }))
}

/// Whether one of the `METHOD /prefix` routes covers the request.
fn matches_route(routes: &[String], method: &str, path: &str) -> bool {
    routes.iter().any(|route| {
        route
            .split_once(' ')
            .is_some_and(|(verb, prefix)| verb == method && path.starts_with(prefix))
    })
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    headers
        .get(name)
        .map(|value| {
            value
                .to_str()
                .map_err(|_| refusal(RefusalReason::BadRequest))
        })
        .transpose()
}

fn deadline(headers: &HeaderMap, settings: Option<&ServiceSettings>) -> Result<Duration, Refusal> {
    let usual = settings.map_or(DEFAULT_DEADLINE, |settings| settings.deadline);
    let Some(text) = text(headers, header::DEADLINE_MS)? else {
        return Ok(usual);
    };
    let millis: u64 = text
        .parse()
        .map_err(|_| refusal(RefusalReason::BadRequest))?;
    Ok(Duration::from_millis(millis).min(MAX_DEADLINE))
}

fn write_answer(response: &mut Response, answer: Answer) {
    metrics::counter!("cornelrail_requests_total", "outcome" => "answered").increment(1);
    response.status_code(answer.status);
    *response.headers_mut() = answer.fields;
    set_field(response, header::OUTCOME, "answered");
    match answer.body {
        Body::Whole(bytes) => {
            response.body(ResBody::Once(bytes));
        }
        Body::Stream(chunks) => response.stream(body::chunk_stream(chunks)),
    }
}

fn write_refusal(response: &mut Response, refusal: Refusal) {
    let outcome = match refusal.certainty {
        Certainty::NotRun => "not-run",
        Certainty::Unknown => "unknown",
    };
    let reason = refusal.reason.name();
    metrics::counter!("cornelrail_requests_total", "outcome" => outcome).increment(1);
    metrics::counter!("cornelrail_refusals_total", "reason" => reason).increment(1);
    Event::RequestRefused.log(format_args!("outcome={outcome} reason={reason}"));
    let status = refusal.reason.status(refusal.certainty);
    response.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE));
    set_field(response, header::OUTCOME, outcome);
    set_field(response, header::REASON, reason);
    let millis = refusal.retry.as_millis();
    set_field(response, header::RETRY_MS, &millis.to_string());
    set_field(
        response,
        RETRY_AFTER.as_str(),
        &millis.div_ceil(1_000).to_string(),
    );
    set_field(response, CONTENT_TYPE.as_str(), "text/plain; charset=utf-8");
    if refusal.reason == RefusalReason::BadRequest {
        // What follows a message that is not understood may be part of it.
        set_field(response, CONNECTION.as_str(), "close");
    }
    response.body(ResBody::Once(format!("{refusal}\n").into()));
}

fn set_field(response: &mut Response, name: &str, value: &str) {
    let name = HeaderName::from_bytes(name.as_bytes());
    let value = HeaderValue::from_str(value);
    if let (Ok(name), Ok(value)) = (name, value) {
        response.headers_mut().insert(name, value);
    }
}
