//! HTTP towards targets: announcements and the wish to leave.

use crate::process::{
    control::ControlHandle,
    protocol::{Call, Reply},
};
use cornelrail_lib::{
    connection::order::{ANNOUNCE_PATH, LEAVE_PATH, Leave},
    version::command::Announcement,
};
use salvo::{
    Depot, FlowCtrl, Request, Response, Router, async_trait, handler::Handler, http::StatusCode,
    writing::Text,
};
use serde::de::DeserializeOwned;

/// Longest body that a target may send.
const BODY_BYTES_MAX: usize = 16 << 10;

/// Routes of the targets' address.
pub fn router(control: ControlHandle) -> Router {
    let announce = Door {
        control: control.clone(),
        make: |bytes| parse::<Announcement>(bytes).map(Call::Announce),
    };
    let leave = Door {
        control,
        make: |bytes| parse::<Leave>(bytes).map(Call::Leave),
    };
    Router::new()
        .push(Router::with_path(ANNOUNCE_PATH).post(announce))
        .push(Router::with_path(LEAVE_PATH).post(leave))
}

fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, serde_json::Error> {
    serde_json::from_slice(bytes)
}

/// Handler that turns a body into a call to the leader.
struct Door {
    control: ControlHandle,
    make: fn(&[u8]) -> Result<Call, serde_json::Error>,
}

impl Door {
    async fn answer(&self, request: &mut Request) -> (StatusCode, String) {
        let Ok(bytes) = request.payload_with_max_size(BODY_BYTES_MAX).await else {
            let text = format!("the body is over {BODY_BYTES_MAX} bytes or broke off");
            return (StatusCode::PAYLOAD_TOO_LARGE, text);
        };
        let call = match (self.make)(bytes) {
            Ok(call) => call,
            Err(error) => return (StatusCode::BAD_REQUEST, error.to_string()),
        };
        match self.control.call(call).await {
            Some(Reply::Taken) => (StatusCode::OK, "taken".to_owned()),
            Some(Reply::Rejected(why)) => (StatusCode::CONFLICT, why),
            _ => {
                let text = "no leader is known; announce again".to_owned();
                (StatusCode::SERVICE_UNAVAILABLE, text)
            }
        }
    }
}

#[async_trait]
impl Handler for Door {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let (status, text) = self.answer(request).await;
        response.status_code(status);
        response.render(Text::Plain(text));
    }
}
