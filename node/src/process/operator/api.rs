//! Answers to the operator's command, all JSON but the metrics.

use super::{
    call::CallError,
    gate::{Channel, Identity, session},
};
use cornelrail_lib::{
    name::Version,
    process::operator_api::{CheckAnswer, ErrorAnswer, MAX_NOTE_BODY_BYTES, NoteAnswer},
};
use salvo::{
    Depot, Request, Response, handler,
    http::{ParseError, StatusCode},
    writing::{Json, Text},
};
use serde::Serialize;
use std::str;

/// Writes an error with its remedy.
pub(super) fn error(response: &mut Response, status: StatusCode, text: &str) {
    let answer = ErrorAnswer {
        error: text.to_owned(),
    };
    response.status_code(status);
    response.render(Json(answer));
}

/// Writes the answer of the control task, or why there is none.
fn answer<T: Serialize + Send>(response: &mut Response, result: Result<T, CallError>) {
    match result {
        Ok(answer) => response.render(Json(answer)),
        Err(fault) => error(response, call_status(fault), &fault.to_string()),
    }
}

/// HTTP status of a call without an answer.
pub(super) fn call_status(error: CallError) -> StatusCode {
    match error {
        CallError::Gone => StatusCode::SERVICE_UNAVAILABLE,
        CallError::Late => StatusCode::GATEWAY_TIMEOUT,
    }
}

/// HTTP status of the answer to a note.
pub(super) fn note_status(answer: &NoteAnswer) -> StatusCode {
    match answer {
        NoteAnswer::Accepted { .. } => StatusCode::OK,
        NoteAnswer::Refused { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        NoteAnswer::Conflict { .. } => StatusCode::CONFLICT,
        NoteAnswer::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    }
}

#[handler]
pub(super) async fn get_status(depot: &mut Depot, response: &mut Response) {
    let Some(session) = session(depot) else {
        return;
    };
    answer(response, session.shared.handle.status().await);
}

#[handler]
pub(super) async fn get_explanation(
    request: &mut Request,
    depot: &mut Depot,
    response: &mut Response,
) {
    let Some(session) = session(depot) else {
        return;
    };
    let service = request.query::<String>("service").unwrap_or_default();
    let key = request.query::<String>("key").unwrap_or_default();
    if service.is_empty() || key.is_empty() {
        let text = "name a service and a key: /explain?service=SERVICE&key=KEY";
        return error(response, StatusCode::BAD_REQUEST, text);
    }
    match session.shared.handle.explain(&service, &key).await {
        Ok(None) => {
            let text = format!("no service `{service}`; /status lists the services");
            error(response, StatusCode::NOT_FOUND, &text);
        }
        Ok(Some(found)) => response.render(Json(found)),
        Err(fault) => error(response, call_status(fault), &fault.to_string()),
    }
}

#[handler]
pub(super) async fn post_check(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Some(session) = session(depot) else {
        return;
    };
    let Some(text) = note_text(request, response).await else {
        return;
    };
    let result = session.shared.handle.check(&text).await;
    if matches!(result, Ok(CheckAnswer::Refused { .. })) {
        response.status_code(StatusCode::UNPROCESSABLE_ENTITY);
    }
    answer(response, result);
}

#[handler]
pub(super) async fn post_note(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Some(session) = session(depot) else {
        return;
    };
    if let Some(refusal) = apply_refusal(&session.identity) {
        return error(response, StatusCode::FORBIDDEN, refusal);
    }
    let Some(text) = note_text(request, response).await else {
        return;
    };
    let author = &session.identity.name;
    let outcome = session.shared.handle.apply(author, &text).await;
    response.status_code(note_status(&outcome));
    response.render(Json(outcome));
}

/// Why this operator may not send a note this way.
fn apply_refusal(identity: &Identity) -> Option<&'static str> {
    match (identity.approve, identity.channel) {
        (false, _) => Some("you may look but not approve; ask an operator with `approve: true`"),
        (true, Channel::Basic) => Some("send the token as a bearer token, or use the page at /"),
        (true, Channel::Bearer) => None,
    }
}

#[handler]
pub(super) async fn get_in_force(
    request: &mut Request,
    depot: &mut Depot,
    response: &mut Response,
) {
    let Some(session) = session(depot) else {
        return;
    };
    let version = match request.queries().get("version").map(|text| text.parse()) {
        None => None,
        Some(Ok(number)) => Some(Version(number)),
        Some(Err(_)) => {
            let text = "the version must be a number: /note?version=7";
            return error(response, StatusCode::BAD_REQUEST, text);
        }
    };
    answer(response, session.shared.handle.in_force(version).await);
}

#[handler]
pub(super) async fn get_metrics(depot: &mut Depot, response: &mut Response) {
    let Some(session) = session(depot) else {
        return;
    };
    response.render(Text::Plain(session.shared.metrics.render()));
}

/// Reads the body of a request as the text of a note, or answers with the fault.
async fn note_text(request: &mut Request, response: &mut Response) -> Option<String> {
    let (status, text) = match request.payload_with_max_size(MAX_NOTE_BODY_BYTES).await {
        Ok(bytes) => match str::from_utf8(bytes) {
            Ok(text) => return Some(text.to_owned()),
            Err(_) => (
                StatusCode::BAD_REQUEST,
                "the note is not UTF-8; save it as UTF-8",
            ),
        },
        Err(ParseError::PayloadTooLarge) => (
            StatusCode::PAYLOAD_TOO_LARGE,
            "the note is longer than 16KiB; split it into several notes",
        ),
        Err(_) => (
            StatusCode::BAD_REQUEST,
            "the body broke off; send the note again",
        ),
    };
    error(response, status, text);
    None
}
