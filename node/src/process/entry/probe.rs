//! Probes of new targets: how fast they are, before they get keys.

use super::Entry;
use crate::{
    connection::pool::{SendError, Wish},
    request::proxy_body::RequestBody,
};
use cornelrail_lib::request::balance::{LoadReport, Probe};
use cornelrail_platform::target::read_probe;
use http::{
    Request,
    header::{CONNECTION, HOST},
};
use std::{sync::Arc, time::Duration};
use tokio::time::timeout;

/// Time for one probe, many times that of a round trip to any zone.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Wish under which connections are taken; no request has its identity.
const PROBE: Wish<'static> = Wish {
    request: "",
    is_idempotent: true,
    left: PROBE_TIMEOUT,
};

/// Probes for as long as the process runs.
pub(super) async fn run(entry: Arc<Entry>) {
    loop {
        let changed = entry.changed();
        let probes = entry.router().take_probes();
        for probe in probes {
            let entry = entry.clone();
            tokio::spawn(async move {
                // A target that says nothing counts as one of the usual speed.
                if let Ok(Ok(Some(load))) = timeout(PROBE_TIMEOUT, ask(&entry, &probe)).await {
                    let now = entry.clock.now();
                    entry.router().record_probe(now, probe.id, load);
                }
            });
        }
        changed.await;
    }
}

async fn ask(entry: &Entry, probe: &Probe) -> Result<Option<LoadReport>, SendError> {
    let pool = &entry.pool;
    let connection = pool.take(probe.id, probe.address, PROBE).await?;
    let request = Request::get(probe.path.as_str())
        .header(HOST, probe.address.to_string())
        .header(CONNECTION, "close")
        .body(RequestBody::Whole(None))
        .map_err(|_| SendError::NotSent)?;
    metrics::counter!("cornelrail_target_probes_total").increment(1);
    let response = connection.send(request).head().await?;
    Ok(read_probe(&probe.name, response.headers()))
}
