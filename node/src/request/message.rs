//! A request and its answer as they pass through this entry, and between entries.

use super::body::Body;
use bytes::Bytes;
use cornelrail_lib::{
    key::KeyHash,
    name::Service,
    request::{header, outcome::Refusal},
};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use serde::{Deserialize, Serialize};

/// One header field.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Field {
    /// Name in lower case.
    pub name: String,
    /// Value as it came.
    pub value: Vec<u8>,
}

/// Head of a request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RequestHead {
    /// Number of the request, unique in the fleet.
    pub id: u64,
    /// Service that it is for.
    pub service: Service,
    /// Key that it is about; empty for a pool.
    pub key: String,
    /// HTTP method.
    pub method: String,
    /// Path at the target, with the query.
    pub path: String,
    /// Header fields that go to the target.
    pub fields: Vec<Field>,
    /// Time left, in milliseconds.
    pub left_ms: u64,
    /// Identity of a once-only request.
    pub identity: Option<String>,
    /// Whether it must not be repeated.
    pub once: bool,
    /// Whether it is shed first.
    pub low: bool,
    /// The body, if it is short; else it follows on the stream.
    pub body: Option<Bytes>,
    /// Trace context of the sender, as in the `traceparent` field.
    pub trace: Option<String>,
}

impl RequestHead {
    /// Position of the key in the hash space.
    pub fn hash(&self) -> KeyHash {
        KeyHash::of(&self.key)
    }
}

/// Head of an answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Header fields of the answer.
    pub fields: Vec<Field>,
    /// The body, if it is short; else it follows on the stream.
    pub body: Option<Bytes>,
}

/// What the home of a target says of a request that was forwarded to it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Forwarded {
    /// A target answered.
    Answered(AnswerHead),
    /// The request is given up.
    Refused(Refusal),
    /// This entry is not the home any more; nothing was sent to a target.
    Elsewhere,
}

/// An answer on its way to the caller.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Header fields.
    pub fields: HeaderMap,
    /// Body.
    pub body: Body,
}

/// Why this entry could not bring a request to its end.
#[derive(Debug)]
pub enum Failure {
    /// The request is given up.
    Refused(Refusal),
    /// Nothing was sent to a target, and another route may serve the request.
    Elsewhere,
    /// The entry that it was forwarded to went away; a target may have run it.
    Lost,
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Failure::Refused(refusal)
    }
}

/// Whether a header field is for one connection only, or is set anew by this entry.
fn is_private(name: &HeaderName) -> bool {
    matches!(
        name.as_str(),
        "connection"
            | "keep-alive"
            | "proxy-authenticate"
            | "proxy-authorization"
            | "proxy-connection"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
            | "host"
            | "expect"
            | "traceparent"
            | header::DEADLINE_MS
            | header::REQUEST
            | header::FENCE
            | header::EPOCH
            | header::ZONE
            | header::OUTCOME
            | header::REASON
            | header::RETRY_MS
    )
}

/// The fields of a message that pass on to the next hop.
pub fn passed_fields(headers: &HeaderMap) -> Vec<Field> {
    headers
        .iter()
        .filter(|(name, _)| !is_private(name))
        .map(|(name, value)| Field {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

/// Adds the fields to a header map, leaving out what is not valid in HTTP.
pub fn add_fields(headers: &mut HeaderMap, fields: &[Field]) {
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
}

/// Whether a status can be that of a final answer. The HTTP library takes any of three digits, also
/// those without a class, and gives out 101 as a final one, which nobody asked for.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
