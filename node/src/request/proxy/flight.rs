//! A sending under way, and what the entry learns of its target.

use crate::process::{entry::Entry, logging::EventLog};
use cornelrail_lib::{
    moment::Moment,
    process::event::Event,
    request::balance::{LimitNotice, LoadReport, SendOutcome, TargetNotice},
    version::catalog::TargetId,
};
use cornelrail_platform::target::AnswerHead;
use std::sync::Arc;

/// A sending under way. One that is dropped without an end was cancelled.
#[derive(Debug)]
pub(super) struct Flight {
    pub(super) entry: Arc<Entry>,
    pub(super) id: TargetId,
    /// Name of the request's route.
    route: String,
    since: Moment,
    /// Load that the answer names.
    load: Option<LoadReport>,
    over: bool,
}

impl Flight {
    pub(super) fn begin(entry: &Arc<Entry>, id: TargetId, route: &str) -> Self {
        if entry.router().record_sent(id) {
            metrics::counter!("cornelrail_limited_sends_total").increment(1);
        }
        Flight {
            entry: entry.clone(),
            id,
            route: route.to_owned(),
            since: entry.clock.now(),
            load: None,
            over: false,
        }
    }

    /// Counts a request that is written although the target has asked for a pause.
    pub(super) fn count_in_pause(&self) {
        let now = self.entry.clock.now();
        if let Some(left) = self.entry.router().pause_left(now, self.id) {
            metrics::counter!("cornelrail_paused_sends_total").increment(1);
            let (id, ms) = (self.id, left.as_millis());
            Event::SentInPause.log(format_args!("id={id} left_ms={ms}"));
        }
    }

    /// Records what the head of an answer says of the target itself.
    pub(super) fn record_head(&mut self, head: &AnswerHead) {
        self.record_limit(head.limit);
        self.record_notice(head.notice);
        let Some(load) = head.load else {
            return;
        };
        match self.over {
            true => {
                let now = self.entry.clock.now();
                self.entry.router().record_load(now, self.id, load);
            }
            false => self.load = Some(load),
        }
    }

    fn record_limit(&self, notice: LimitNotice) {
        let now = self.entry.clock.now();
        let change = {
            let mut router = self.entry.router();
            router.record_limit(now, self.id, self.since, notice)
        };
        let Some(change) = change else {
            return;
        };
        self.entry.notify_leader();
        let (id, sent, ms) = (self.id, change.sent, change.elapsed.as_millis());
        match change.limit {
            Some(limit) => {
                Event::TargetLimited.log(format_args!("id={id} limit={limit} sent={sent} ms={ms}"))
            }
            None => Event::LimitEnded.log(format_args!("id={id} sent={sent} ms={ms}")),
        }
    }

    fn record_notice(&self, notice: TargetNotice) {
        let now = self.entry.clock.now();
        let news = self.entry.router().record_notice(now, self.id, notice);
        if news.leaves {
            Event::LeavingHeard.log(format_args!("id={}", self.id));
        }
        if let Some(pause) = news.pause {
            Event::TargetPaused.log(format_args!("id={} ms={}", self.id, pause.as_millis()));
        }
    }

    /// Records how the sending ended; only the first end counts.
    pub(super) fn end(&mut self, outcome: SendOutcome) {
        if self.over {
            return;
        }
        self.over = true;
        let now = self.entry.clock.now();
        let spent = now.since(self.since);
        self.entry
            .router()
            .record_outcome(now, self.id, &self.route, outcome, spent, self.load);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.end(SendOutcome::Cancelled);
    }
}
