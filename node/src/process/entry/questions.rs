//! Questions of this entry's requests to the leader: whether they may be sent to a target that has
//! named a limit, and whether one under suspicion may be sent at all.
//!
//! The task that follows the leader passes the questions on. Without a leader, or without its reply
//! in time, the entry decides: by its reserve of permits, and one trial at a time.

use super::Entry;
use cornelrail_lib::version::{
    command::Fingerprint,
    feed::ToCore,
    permits::{PermitReply, PermitRequest},
    suspects::{TrialReply, to_ms},
};
use std::{collections::HashMap, sync::PoisonError, time::Duration};
use tokio::{
    sync::{mpsc, oneshot},
    time::timeout,
};

/// Longest wait for a reply; the leader replies within a round trip.
const REPLY_TIMEOUT: Duration = Duration::from_millis(150);
/// Share of the time left for which a request waits for a reply.
const REPLY_SHARE: f64 = 0.25;
/// Questions that wait to be sent; more than an entry asks within the timeout.
const QUESTIONS_HELD: usize = 256;
/// Time after which a trial that this entry has denied may be possible.
const LOCAL_RETRY: Duration = Duration::from_millis(100);

/// What a request asks the leader.
#[derive(Debug, Clone, Copy)]
enum Subject {
    Permit(PermitRequest),
    /// The request, and how many ms it has left.
    Trial(Fingerprint, u32),
}

/// Reply of the leader.
#[derive(Debug, Clone, Copy)]
pub(super) enum Reply {
    Permit(PermitReply),
    Trial(TrialReply),
}

/// A question, and the way to reply.
#[derive(Debug)]
pub(super) struct Question {
    subject: Subject,
    reply: oneshot::Sender<Reply>,
}

/// Questions that were sent to the leader.
#[derive(Debug, Default)]
pub(super) struct Questions {
    number: u64,
    asked: HashMap<u64, oneshot::Sender<Reply>>,
}

impl Questions {
    /// Notes a question that is being sent; gives the message that asks it.
    pub(super) fn push(&mut self, question: Question) -> ToCore {
        if self.asked.len() >= QUESTIONS_HELD {
            self.asked.retain(|_, reply| !reply.is_closed());
        }
        self.number += 1;
        self.asked.insert(self.number, question.reply);
        match question.subject {
            Subject::Permit(request) => ToCore::Permit(self.number, request),
            Subject::Trial(request, left) => ToCore::Trial(self.number, request, left),
        }
    }

    /// Passes a reply on to the request that asked.
    pub(super) fn resolve(&mut self, number: u64, reply: Reply) {
        if let Some(asker) = self.asked.remove(&number) {
            // The asker may have given up.
            let _ = asker.send(reply);
        }
    }
}

impl Entry {
    /// Asks the leader for a permit for a request that has this time left; returns whether the
    /// request may be sent.
    pub async fn request_permit(&self, request: PermitRequest, time_left: Duration) -> bool {
        let reply = match self.ask_leader(Subject::Permit(request), time_left).await {
            Some(Reply::Permit(reply)) => Some(reply),
            _ => None,
        };
        let now = self.clock.now();
        let is_permitted = self.router().settle_permit(now, request, reply);
        let by = if reply.is_some() { "leader" } else { "reserve" };
        let outcome = if is_permitted { "granted" } else { "denied" };
        metrics::counter!("cornelrail_permits_total", "by" => by, "outcome" => outcome)
            .increment(1);
        is_permitted
    }

    /// Asks the leader for leave to run a suspected request that has this time left. Returns the time
    /// after which there may be leave, if there is none now.
    pub async fn request_trial(
        &self,
        request: Fingerprint,
        time_left: Duration,
    ) -> Result<(), Duration> {
        let subject = Subject::Trial(request, to_ms(time_left));
        let reply = match self.ask_leader(subject, time_left).await {
            Some(Reply::Trial(reply)) => Some(reply),
            _ => None,
        };
        let denied = match reply {
            Some(TrialReply::Denied(ms)) => Some(Duration::from_millis(u64::from(ms))),
            _ => {
                let is_granted = reply.is_some();
                let may_run = self.router().breaks().begin_trial(request, is_granted);
                (!may_run).then_some(LOCAL_RETRY)
            }
        };
        let by = if reply.is_some() { "leader" } else { "entry" };
        let outcome = if denied.is_none() {
            "granted"
        } else {
            "denied"
        };
        metrics::counter!("cornelrail_trials_total", "by" => by, "outcome" => outcome).increment(1);
        denied.map_or(Ok(()), Err)
    }

    /// Asks the leader and waits for its reply; `None` without a leader or its reply in time.
    async fn ask_leader(&self, subject: Subject, time_left: Duration) -> Option<Reply> {
        let wait = time_left.mul_f64(REPLY_SHARE).min(REPLY_TIMEOUT);
        let (tx, rx) = oneshot::channel();
        let question = Question { subject, reply: tx };
        {
            let leader = self.leader.lock().unwrap_or_else(PoisonError::into_inner);
            leader.as_ref()?.try_send(question).ok()?;
        }
        timeout(wait, rx).await.ok()?.ok()
    }

    /// Opens the way to a leader; gives the questions for it.
    pub(super) fn open_leader(&self) -> mpsc::Receiver<Question> {
        let (tx, rx) = mpsc::channel(QUESTIONS_HELD);
        *self.leader.lock().unwrap_or_else(PoisonError::into_inner) = Some(tx);
        rx
    }

    /// Closes the way to the leader.
    pub(super) fn close_leader(&self) {
        *self.leader.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }
}
