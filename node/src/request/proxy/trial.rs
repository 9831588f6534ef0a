//! Trials of requests under suspicion, which run once at a time over the whole fleet.
//!
//! Load pattern: a request that ends targets comes many times a second at every entry, as does one
//! that merely ran beside it. The first that is answered ends the suspicion, and the others go on.

use super::{Job, Refusal};
use crate::{
    process::{entry::Entry, logging::EventLog},
    request::proxy_body::RequestBody,
};
use cornelrail_lib::{process::event::Event, version::command::Fingerprint};
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};

/// Share of the time left for which a request waits for its trial.
const WAIT_SHARE: f64 = 0.6;

/// What keeps a request from being sent at once.
pub(super) enum Suspicion {
    /// It needs a trial.
    NeedsTrial(Fingerprint),
    /// It is refused for this time.
    Refused(Duration),
}

/// A trial under way; dropping it ends it.
#[derive(Debug)]
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
            let request = match self.suspicion(entry, body) {
                None => return Ok(None),
                Some(Suspicion::Refused(left)) => {
                    return Err(Refusal::not_run("quarantined", left));
                }
                Some(Suspicion::NeedsTrial(request)) => request,
            };
            let left = self.until.saturating_duration_since(Instant::now());
            let retry = match entry.request_trial(request, left).await {
                Ok(by) => {
                    let by = by.name();
                    Event::TrialBegun.log(format_args!(
                        "request={} fingerprint={:016x} by={by}",
                        self.id, request.0
                    ));
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

    /// Whether targets may have ended under the request.
    pub(super) fn suspicion(&self, entry: &Entry, body: &RequestBody) -> Option<Suspicion> {
        let now = entry.clock.now();
        if !entry.router().breaks().is_watching(now) {
            return None;
        }
        let request = self.fingerprint(Some(body));
        let mut router = entry.router();
        let breaks = router.breaks();
        match breaks.refused_for(now, request) {
            Some(left) => Some(Suspicion::Refused(left)),
            None => breaks
                .needs_trial(request)
                .then_some(Suspicion::NeedsTrial(request)),
        }
    }
}
