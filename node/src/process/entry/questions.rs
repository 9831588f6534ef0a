//! Questions of this entry's requests to the leader: whether they may be sent to a target that has
//! named a limit, and whether one under suspicion may be sent at all.
//!
//! The task that follows the leader passes the questions on. Without its reply in time the entry gives
//! permits from its reserve. A trial needs the reply of a leader that is there, as the others may be
//! given it meanwhile; without a leader, or under one that knows no trials, the entry runs one at a
//! time.

use super::Entry;
use cornelrail_lib::version::{
    command::Fingerprint,
    feed::ToCore,
    permits::{PermitReply, PermitRequest},
    suspects::{TrialReply, to_ms},
    wire_level::WireLevel,
};
use std::{collections::HashMap, sync::PoisonError, time::Duration};
use tokio::{
    sync::{
        mpsc::{self, error::TrySendError},
        oneshot,
    },
    time::timeout,
};

/// Longest wait for a permit; the leader replies within a round trip.
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

/// Why there is no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NoReply {
    /// There is no leader, or it does not know such questions.
    NoLeader,
    /// It was asked, and the reply did not come in time.
    Late,
}

/// Who has given leave for a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Granter {
    /// The leader, to this entry alone.
    Leader,
    /// This entry, without a leader.
    Entry,
}

impl Granter {
    /// Name written to logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Granter::Leader => "leader",
            Granter::Entry => "entry",
        }
    }
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
    asked: HashMap<u64, Asked>,
}

/// A question that was sent.
#[derive(Debug)]
struct Asked {
    subject: Subject,
    reply: oneshot::Sender<Reply>,
}

impl Questions {
    /// Notes a question that is being sent to a leader of this level; gives the message that asks it,
    /// or tells the asker that the leader does not know it.
    pub(super) fn push(&mut self, question: Question, level: WireLevel) -> Option<ToCore> {
        if self.asked.len() >= QUESTIONS_HELD {
            // A trial stays until its reply has come, which may have to be given back.
            let waits = |asked: &Asked| !asked.reply.is_closed();
            let is_trial = |asked: &Asked| matches!(asked.subject, Subject::Trial(..));
            self.asked
                .retain(|_, asked| waits(asked) || is_trial(asked));
        }
        self.number += 1;
        let Question { subject, reply } = question;
        let message = match subject {
            Subject::Permit(request) => ToCore::Permit(self.number, request),
            Subject::Trial(request, left) => ToCore::Trial(self.number, request, left),
        };
        if message.level() > level {
            return None;
        }
        self.asked.insert(self.number, Asked { subject, reply });
        Some(message)
    }

    /// Passes a reply on to the request that asked. Returns the request whose trial was granted to
    /// nobody, as the asker has given up.
    pub(super) fn resolve(&mut self, number: u64, reply: Reply) -> Option<Fingerprint> {
        let asked = self.asked.remove(&number)?;
        let is_unclaimed = asked.reply.send(reply).is_err();
        match (asked.subject, reply) {
            (Subject::Trial(request, _), Reply::Trial(TrialReply::Granted)) if is_unclaimed => {
                Some(request)
            }
            _ => None,
        }
    }
}

impl Entry {
    /// Asks the leader for a permit for a request that has this time left; returns whether the
    /// request may be sent.
    pub async fn request_permit(&self, request: PermitRequest, time_left: Duration) -> bool {
        let wait = time_left.mul_f64(REPLY_SHARE).min(REPLY_TIMEOUT);
        let reply = match self.ask_leader(Subject::Permit(request), wait).await {
            Ok(Reply::Permit(reply)) => Some(reply),
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

    /// Asks the leader for leave to run a suspected request that has this time left. Returns who has
    /// given it, or the time after which there may be leave.
    pub async fn request_trial(
        &self,
        request: Fingerprint,
        time_left: Duration,
    ) -> Result<Granter, Duration> {
        let subject = Subject::Trial(request, to_ms(time_left));
        let wait = time_left.mul_f64(REPLY_SHARE);
        let (by, leave) = match self.ask_leader(subject, wait).await {
            Ok(Reply::Trial(TrialReply::Granted)) => {
                self.router().breaks().begin_trial(request, true);
                (Granter::Leader, Ok(()))
            }
            Ok(Reply::Trial(TrialReply::Denied(ms))) => {
                (Granter::Leader, Err(Duration::from_millis(u64::from(ms))))
            }
            Err(NoReply::Late) | Ok(Reply::Permit(_)) => (Granter::Leader, Err(LOCAL_RETRY)),
            Err(NoReply::NoLeader) => {
                let may_run = self.router().breaks().begin_trial(request, false);
                (Granter::Entry, may_run.then_some(()).ok_or(LOCAL_RETRY))
            }
        };
        let outcome = if leave.is_ok() { "granted" } else { "denied" };
        metrics::counter!("cornelrail_trials_total", "by" => by.name(), "outcome" => outcome)
            .increment(1);
        leave.map(|()| by)
    }

    /// Asks the leader and waits for its reply.
    async fn ask_leader(&self, subject: Subject, wait: Duration) -> Result<Reply, NoReply> {
        let (tx, rx) = oneshot::channel();
        let question = Question { subject, reply: tx };
        {
            let leader = self.leader.lock().unwrap_or_else(PoisonError::into_inner);
            let leader = leader.as_ref().ok_or(NoReply::NoLeader)?;
            leader.try_send(question).map_err(|error| match error {
                TrySendError::Full(_) => NoReply::Late,
                TrySendError::Closed(_) => NoReply::NoLeader,
            })?;
        }
        let replied = timeout(wait, rx).await.map_err(|_| NoReply::Late)?;
        // Dropped by the task that follows the leader.
        replied.map_err(|_| NoReply::NoLeader)
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
