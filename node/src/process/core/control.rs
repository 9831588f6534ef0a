//! HTTP server for the calls of targets and operators.

use super::task::{CallOrigin, CoreHandle};
use crate::{
    connection::http_server::{self, respond},
    process::logging::EventLog,
};
use bytes::Bytes;
use cornelrail_lib::process::{
    control_call::{ControlCall, ControlReply},
    event::Event,
};
use cornelrail_platform::control::{self as wire, Endpoint};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use std::time::Duration;
use tokio::{net::TcpListener, time::timeout};

/// Longest body of a call: an order with tens of thousands of routes.
const BODY_BYTES_MAX: usize = 16 << 20;
/// Time within which a call is answered; callers go elsewhere after a second.
const CALL_TIMEOUT: Duration = Duration::from_millis(950);
/// Time for a long body to arrive and be answered.
const LONG_TIMEOUT: Duration = Duration::from_secs(5);
/// A body from this size on may take longer.
const LONG_BODY: u64 = 64 << 10;

/// Serves calls for ever.
pub(super) async fn run(listener: TcpListener, core: CoreHandle) {
    let handle = move |request: Request<Incoming>| {
        let core = core.clone();
        async move { answer(&core, request).await }
    };
    http_server::run(listener, handle).await;
}

async fn answer(core: &CoreHandle, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let uri = request.uri();
    let Some(door) = Endpoint::from_request_line(request.method(), uri.path(), uri.query()) else {
        return respond(StatusCode::NOT_FOUND, wire::error_body("no such call"));
    };
    let announced = hyper::body::Body::size_hint(request.body()).lower();
    let limit = match announced >= LONG_BODY {
        true => LONG_TIMEOUT,
        false => CALL_TIMEOUT,
    };
    let origin = CallOrigin::Sender(core.now() + limit);
    match timeout(limit, take(core, door, request, origin)).await {
        Ok(response) => response,
        Err(_) => respond(
            StatusCode::SERVICE_UNAVAILABLE,
            wire::error_body("not answered in time"),
        ),
    }
}

async fn take(
    core: &CoreHandle,
    door: Endpoint,
    request: Request<Incoming>,
    origin: CallOrigin,
) -> Response<Full<Bytes>> {
    let body = Limited::new(request.into_body(), BODY_BYTES_MAX);
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return refuse(&error.to_string()),
    };
    let call = match door.parse_body(&body) {
        Ok(call) => call,
        Err(error) => return refuse(&error.to_string()),
    };
    let is_beat = matches!(call.call, ControlCall::Heartbeat(_));
    match core.call(call, origin).await {
        ControlReply::Done if is_beat => respond(StatusCode::OK, wire::lease_body(None, None)),
        ControlReply::Done => respond(StatusCode::OK, b"{}".to_vec()),
        ControlReply::Lease(lease) => {
            respond(StatusCode::OK, wire::lease_body(lease.as_ref(), None))
        }
        ControlReply::Desired(desired) => respond(StatusCode::OK, wire::desired_body(&desired)),
        ControlReply::Refused(why) => refuse(&why),
        ControlReply::Unavailable => respond(
            StatusCode::SERVICE_UNAVAILABLE,
            wire::error_body("no leader answers; ask again"),
        ),
    }
}

fn refuse(why: &str) -> Response<Full<Bytes>> {
    metrics::counter!("cornelrail_calls_refused_total").increment(1);
    Event::CallRefused.log(format_args!("why={why}"));
    respond(StatusCode::BAD_REQUEST, wire::error_body(why))
}
