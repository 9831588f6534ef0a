//! Messages to the home task, and its verdicts on requests.

use super::{exchange::Permit, home_targets::Renewed};
use cornelrail_lib::{
    key::KeyHash,
    request::{
        dispatch::{Arrival, AttemptOutcome, RequestId},
        outcome::Refusal,
    },
    version::report::EntryReport,
};
use std::fmt;
use tokio::sync::{mpsc, oneshot};

/// What the home decides about one request.
#[derive(Debug)]
pub enum Verdict {
    /// Send an attempt.
    Send(Permit),
    /// Give the attempt up.
    Abort(u32),
    /// The request is given up.
    Refuse(Refusal),
    /// The key has moved; nothing was sent.
    Elsewhere,
}

/// Message to the home task.
pub(super) enum HomeMessage {
    Arrive {
        arrival: Arrival,
        hash: KeyHash,
        verdicts: mpsc::UnboundedSender<Verdict>,
    },
    Finish {
        id: RequestId,
        attempt: u32,
        ending: AttemptOutcome,
    },
    Cancel(RequestId),
    Renewed(Renewed),
    Collect {
        report: EntryReport,
        reply: oneshot::Sender<EntryReport>,
    },
    Idle(oneshot::Sender<()>),
}

/// Handle of the home task.
#[derive(Debug, Clone)]
pub struct HomeHandle {
    pub(super) tx: mpsc::Sender<HomeMessage>,
}

impl fmt::Debug for HomeMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("HomeMessage")
    }
}

impl HomeHandle {
    /// Hands a request over; the verdicts on it come through the receiver.
    pub async fn arrive(
        &self,
        arrival: Arrival,
        hash: KeyHash,
    ) -> mpsc::UnboundedReceiver<Verdict> {
        let (verdicts, rx) = mpsc::unbounded_channel();
        // A stopped task drops the sender, which the receiver sees.
        let _ = self
            .tx
            .send(HomeMessage::Arrive {
                arrival,
                hash,
                verdicts,
            })
            .await;
        rx
    }

    /// Tells how an attempt ended.
    pub async fn finish(&self, id: RequestId, attempt: u32, ending: AttemptOutcome) {
        let _ = self
            .tx
            .send(HomeMessage::Finish {
                id,
                attempt,
                ending,
            })
            .await;
    }

    /// Tells that the caller left; usable where nothing can be awaited.
    pub fn cancel(&self, id: RequestId) {
        let tx = self.tx.clone();
        tokio::spawn(async move {
            let _ = tx.send(HomeMessage::Cancel(id)).await;
        });
    }

    /// Completes the report to the leader with what this task knows.
    pub async fn collect(&self, report: EntryReport) -> Option<EntryReport> {
        let (reply, rx) = oneshot::channel();
        self.tx
            .send(HomeMessage::Collect { report, reply })
            .await
            .ok()?;
        rx.await.ok()
    }

    /// Waits until no request is open.
    pub async fn idle(&self) {
        let (tx, rx) = oneshot::channel();
        if self.tx.send(HomeMessage::Idle(tx)).await.is_ok() {
            let _ = rx.await;
        }
    }

    pub(super) async fn renewed(&self, renewed: Renewed) {
        let _ = self.tx.send(HomeMessage::Renewed(renewed)).await;
    }
}
