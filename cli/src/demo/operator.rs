//! The operator of the demo, who sends release notes to any entry.

use super::DemoError;
use bytes::Bytes;
use cornelrail_lib::process::operator_api::{NOTE_PATH, NoteAnswer};
use cornelrail_testutils::{
    http::Client,
    workload::{Fleet, Workload},
};
use http_body_util::Full;
use hyper::{Request, header};
use std::{
    fmt::Write,
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::time::{sleep, timeout};

const NOTE_TIMEOUT: Duration = Duration::from_secs(10);
const TRY_TIMEOUT: Duration = Duration::from_secs(3);
const TRY_PAUSE: Duration = Duration::from_millis(100);

/// Operator with a token and the version that the next note builds on.
pub(super) struct Operator {
    addresses: Vec<SocketAddr>,
    token: String,
    version: u64,
    client: Client,
}

impl Operator {
    pub(super) fn new(addresses: Vec<SocketAddr>, token: &str) -> Self {
        Operator {
            addresses,
            token: token.to_owned(),
            version: 0,
            client: Client::default(),
        }
    }

    /// Adds the zones and services of the workload.
    pub(super) async fn add_services(&mut self, workload: &Workload) -> Result<(), DemoError> {
        let mut note = String::from("added:\n  zones:\n");
        for zone in &workload.zones {
            let _ = writeln!(note, "  - {zone}");
        }
        note.push_str("  services:\n");
        let once = workload.once_route();
        add_service(&mut note, &workload.keyed, Some(&once));
        add_service(&mut note, &workload.pool, None);
        self.apply(&note).await
    }

    /// Takes a zone out or brings it back.
    pub(super) async fn set_zone(&mut self, zone: &str, state: &str) -> Result<(), DemoError> {
        let note = format!("changed:\n  zones:\n    {zone}: {state}\n");
        self.apply(&note).await
    }

    /// Sends a note, and again until an entry says that it is accepted.
    async fn apply(&mut self, changes: &str) -> Result<(), DemoError> {
        let note = format!("builds_on: {}\n{changes}", self.version);
        let start = Instant::now();
        let mut last = "no answer".to_owned();
        for n in 0.. {
            if start.elapsed() >= NOTE_TIMEOUT {
                break;
            }
            let address = self.addresses[n % self.addresses.len()];
            match timeout(TRY_TIMEOUT, self.post(address, &note)).await {
                Ok(Ok(NoteAnswer::Accepted { version, .. })) => {
                    self.version = version.0;
                    return Ok(());
                }
                Ok(Ok(NoteAnswer::Refused { reason })) => return Err(DemoError::Note(reason)),
                Ok(Ok(answer)) => last = format!("{answer:?}"),
                Ok(Err(error)) => last = error,
                Err(_) => last = "no answer in time".to_owned(),
            }
            sleep(TRY_PAUSE).await;
        }
        Err(DemoError::Note(last))
    }

    async fn post(&self, address: SocketAddr, note: &str) -> Result<NoteAnswer, String> {
        let request = Request::post(NOTE_PATH)
            .header(header::HOST, address.to_string())
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .header(header::CONTENT_TYPE, "application/yaml")
            .body(Full::new(Bytes::from(note.to_owned())))
            .map_err(|error| error.to_string())?;
        let answer = self.client.send(address, request).await;
        let body = answer.map_err(|error| error.to_string())?.into_body();
        serde_json::from_slice(&body).map_err(|_| String::from_utf8_lossy(&body).into_owned())
    }
}

fn add_service(note: &mut String, fleet: &Fleet, once: Option<&str>) {
    let kind = if fleet.keyed { "keyed" } else { "pool" };
    let _ = writeln!(note, "    {}:\n      kind: {kind}", fleet.service);
    if let Some(once) = once {
        let _ = writeln!(note, "      once:\n      - {once}");
    }
}
