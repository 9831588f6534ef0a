//! Trials of requests under suspicion, which run once at a time over the whole fleet.
//!
//! Load pattern: a request that ends targets comes many times a second at every entry, as does one
//! that merely ran beside it. The first that is answered ends the suspicion, and the others go on.

use super::{Job, Refusal};
use crate::{process::entry::Entry, request::proxy_body::RequestBody};
use cornelrail_lib::version::command::Fingerprint;
use std::sync::Arc;
use tokio::time::{Instant, sleep};

/// Share of the time left for which a request waits for its trial.
const WAIT_SHARE: f64 = 0.6;

/// A trial under way; dropping it ends it.
pub(super) struct Trial {
    entry: Arc<Entry>,
    request: Fingerprint,
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.entry.router().breaks().end_trial(self.request);
        self.entry.notify_leader();
    }
}

impl Job {
    /// Waits for the trial of a request under suspicion; `None` if it is under none.
    pub(super) async fn trial(
        &self,
        entry: &Arc<Entry>,
        body: &RequestBody,
    ) -> Result<Option<Trial>, Refusal> {
        let begun = Instant::now();
        let longest = self
            .until
            .saturating_duration_since(begun)
            .mul_f64(WAIT_SHARE);
        loop {
            let changed = entry.changed();
            let now = entry.clock.now();
            if !entry.router().breaks().is_watching(now) {
                return Ok(None);
            }
            let request = self.fingerprint(Some(body));
            if !entry.router().breaks().needs_trial(request) {
                return Ok(None);
            }
            let left = self.until.saturating_duration_since(Instant::now());
            let retry = match entry.request_trial(request, left).await {
                Ok(()) => {
                    let entry = entry.clone();
                    return Ok(Some(Trial { entry, request }));
                }
                Err(retry) => retry,
            };
            if begun.elapsed() + retry > longest {
                return Err(Refusal::not_run("suspected", retry));
            }
            tokio::select! {
                () = sleep(retry) => {}
                () = changed => {}
                () = entry.given_up() => return Err(Refusal::not_run("ending", retry)),
            }
        }
    }
}
