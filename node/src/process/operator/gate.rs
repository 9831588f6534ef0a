//! Gate of the operators' address: who asks, and what may they do.

use super::{api, call::OperatorHandle};
use crate::process::logging::EventLog;
use blake3::Hash;
use cornelrail_lib::process::{event::Event, settings::Operator};
use metrics_exporter_prometheus::PrometheusHandle;
use salvo::{
    Depot, FlowCtrl, Request, Response, async_trait,
    handler::Handler,
    http::{
        HeaderMap, HeaderValue, StatusCode,
        header::{
            CACHE_CONTROL, CONTENT_SECURITY_POLICY, REFERRER_POLICY, WWW_AUTHENTICATE,
            X_CONTENT_TYPE_OPTIONS, X_FRAME_OPTIONS,
        },
        headers::{
            Authorization, HeaderMapExt,
            authorization::{Basic, Bearer},
        },
    },
};
use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// Challenge that makes a browser ask for name and token.
const CHALLENGE: &str = "Basic realm=\"cornelrail\", charset=\"UTF-8\"";
/// What a browser may do with the page: styles of its own and forms to where it came from.
const PAGE_POLICY: &str =
    "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'";

/// How somebody proved who they are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Channel {
    /// A token that only a command sends on purpose.
    Bearer,
    /// Name and token that a browser adds by itself, also to forms of other sites.
    Basic,
}

/// Who asks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Name of the operator.
    pub name: String,
    /// Whether this operator may approve notes.
    pub approve: bool,
    /// How they proved it.
    pub channel: Channel,
}

/// The operators and the secret that ties forms to them.
#[derive(Debug)]
pub struct Gate {
    operators: Vec<Operator>,
    secret: [u8; blake3::KEY_LEN],
}

impl Gate {
    /// A gate for these operators, with a fresh secret: forms of an earlier life are void.
    pub fn new(operators: Vec<Operator>) -> Self {
        Gate {
            operators,
            secret: rand::random(),
        }
    }

    /// Finds who sent a request; `None` if nobody proved to be an operator.
    pub fn identify(&self, headers: &HeaderMap) -> Option<Identity> {
        if let Some(bearer) = headers.typed_get::<Authorization<Bearer>>() {
            let operator = self.owner(bearer.token())?;
            return Some(identity(operator, Channel::Bearer));
        }
        let basic = headers.typed_get::<Authorization<Basic>>()?;
        let operator = self.owner(basic.password())?;
        (operator.name == basic.username()).then(|| identity(operator, Channel::Basic))
    }

    /// Operator whose token this is. Digests are compared in constant time.
    fn owner(&self, token: &str) -> Option<&Operator> {
        let digest = blake3::hash(token.as_bytes());
        self.operators
            .iter()
            .find(|operator| Hash::from_hex(&operator.digest).is_ok_and(|own| own == digest))
    }

    /// Seal of an approve form: void for another operator and for another note.
    pub fn seal(&self, name: &str, text: &str) -> String {
        let mut hasher = blake3::Hasher::new_keyed(&self.secret);
        hasher.update(&(name.len() as u64).to_le_bytes());
        hasher.update(name.as_bytes());
        hasher.update(text.as_bytes());
        hasher.finalize().to_hex().to_string()
    }

    /// Whether a form carries its own seal.
    pub fn is_sealed(&self, name: &str, text: &str, seal: &str) -> bool {
        let own = Hash::from_hex(self.seal(name, text));
        match (own, Hash::from_hex(seal)) {
            (Ok(own), Ok(seal)) => own == seal,
            _ => false,
        }
    }
}

fn identity(operator: &Operator, channel: Channel) -> Identity {
    Identity {
        name: operator.name.clone(),
        approve: operator.approve,
        channel,
    }
}

/// What every handler needs.
#[derive(Debug)]
pub(super) struct Shared {
    pub gate: Gate,
    pub handle: OperatorHandle,
    pub metrics: PrometheusHandle,
}

/// What a handler knows of the request that it serves.
#[derive(Debug, Clone)]
pub(super) struct Session {
    pub shared: Arc<Shared>,
    pub identity: Identity,
}

/// Takes the session that the gate left for a handler.
pub(super) fn session(depot: &Depot) -> Option<&Session> {
    depot.get_typed::<Session>().ok()
}

/// Stands before every route, also before those that do not exist.
#[derive(Debug)]
pub(super) struct Hoop {
    shared: Arc<Shared>,
    refused: AtomicU64,
}

impl Hoop {
    pub(super) fn new(shared: Shared) -> Self {
        Hoop {
            shared: Arc::new(shared),
            refused: AtomicU64::new(0),
        }
    }

    /// Answers 401. The log tells of the first refusal and then of each doubling of their number.
    fn refuse(&self, request: &Request, response: &mut Response) {
        let count = self.refused.fetch_add(1, Ordering::Relaxed) + 1;
        metrics::counter!("cornelrail_operator_refused_total").increment(1);
        if count.is_power_of_two() {
            Event::OperatorRefused
                .log(format_args!("from={} count={count}", request.remote_addr()));
        }
        let headers = response.headers_mut();
        headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static(CHALLENGE));
        api::error(
            response,
            StatusCode::UNAUTHORIZED,
            "no valid token; send the one whose digest stands in the settings",
        );
    }
}

#[async_trait]
impl Handler for Hoop {
    async fn handle(
        &self,
        request: &mut Request,
        depot: &mut Depot,
        response: &mut Response,
        flow: &mut FlowCtrl,
    ) {
        protect(response);
        match self.shared.gate.identify(request.headers()) {
            None => {
                self.refuse(request, response);
                flow.skip_rest();
            }
            Some(identity) => {
                depot.insert_typed(Session {
                    shared: Arc::clone(&self.shared),
                    identity,
                });
                flow.call_next(request, depot, response).await;
            }
        }
    }
}

/// Sets the headers that keep answers out of caches and frames.
fn protect(response: &mut Response) {
    let headers = response.headers_mut();
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    headers.insert(X_FRAME_OPTIONS, HeaderValue::from_static("DENY"));
    headers.insert(X_CONTENT_TYPE_OPTIONS, HeaderValue::from_static("nosniff"));
    headers.insert(REFERRER_POLICY, HeaderValue::from_static("no-referrer"));
    headers.insert(
        CONTENT_SECURITY_POLICY,
        HeaderValue::from_static(PAGE_POLICY),
    );
}
