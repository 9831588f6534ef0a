//! Messages from the operators' address to the control task, and their replies.

use cornelrail_lib::{
    name::Version,
    process::operator_api::{CheckAnswer, ExplainAnswer, InForceAnswer, NoteAnswer, StatusAnswer},
};
use miette::Diagnostic;
use std::time::Duration;
use thiserror::Error;
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

/// Calls that wait for the control task.
const CALLS_WAITING: usize = 64;
/// Time that the control task has for an answer.
const CALL_TIME: Duration = Duration::from_secs(5);
/// Time that a quorum has to commit a note.
const APPLY_TIME: Duration = Duration::from_secs(8);

/// Question of an operator to the control task, with the way back for its answer.
#[derive(Debug)]
pub enum OperatorCall {
    /// How is the fleet?
    Status {
        /// Way back.
        reply: oneshot::Sender<StatusAnswer>,
    },
    /// Who owns this key, and why?
    Explain {
        /// Service of the key.
        service: String,
        /// The key.
        key: String,
        /// Way back; no answer means that there is no such service.
        reply: oneshot::Sender<Option<ExplainAnswer>>,
    },
    /// What would this note do?
    Check {
        /// The note's YAML text.
        text: String,
        /// Way back.
        reply: oneshot::Sender<CheckAnswer>,
    },
    /// Put this note in force.
    Apply {
        /// Operator who approved it.
        author: String,
        /// The note's YAML text.
        text: String,
        /// Way back; the answer comes once a quorum has committed the note.
        reply: oneshot::Sender<NoteAnswer>,
    },
    /// Where is this version in force?
    NoteStatus {
        /// The version; none asks for the latest.
        version: Option<Version>,
        /// Way back.
        reply: oneshot::Sender<InForceAnswer>,
    },
}

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, Diagnostic)]
pub enum CallError {
    /// The control task has ended.
    #[error("this entry is shutting down; ask another entry")]
    #[diagnostic(code(cornelrail::operator::gone))]
    Gone,
    /// The control task took too long.
    #[error("this entry did not answer in time; ask again, or ask another entry")]
    #[diagnostic(code(cornelrail::operator::late))]
    Late,
}

/// Way from the operators' address to the control task.
#[derive(Debug, Clone)]
pub struct OperatorHandle {
    calls: mpsc::Sender<OperatorCall>,
}

impl OperatorHandle {
    /// A handle, and the end at which the control task takes the calls.
    pub fn new() -> (Self, mpsc::Receiver<OperatorCall>) {
        let (calls, receiver) = mpsc::channel(CALLS_WAITING);
        (OperatorHandle { calls }, receiver)
    }

    /// Asks for the status of the fleet.
    pub async fn status(&self) -> Result<StatusAnswer, CallError> {
        let (reply, answer) = oneshot::channel();
        let call = OperatorCall::Status { reply };
        self.ask(call, answer, CALL_TIME).await
    }

    /// Asks who owns a key; `None` if there is no such service.
    pub async fn explain(
        &self,
        service: &str,
        key: &str,
    ) -> Result<Option<ExplainAnswer>, CallError> {
        let (reply, answer) = oneshot::channel();
        let call = OperatorCall::Explain {
            service: service.to_owned(),
            key: key.to_owned(),
            reply,
        };
        self.ask(call, answer, CALL_TIME).await
    }

    /// Asks what a note would do.
    pub async fn check(&self, text: &str) -> Result<CheckAnswer, CallError> {
        let (reply, answer) = oneshot::channel();
        let call = OperatorCall::Check {
            text: text.to_owned(),
            reply,
        };
        self.ask(call, answer, CALL_TIME).await
    }

    /// Puts a note in force. A late answer is `Unknown`: the note may still be committed.
    pub async fn apply(&self, author: &str, text: &str) -> NoteAnswer {
        let (reply, answer) = oneshot::channel();
        let call = OperatorCall::Apply {
            author: author.to_owned(),
            text: text.to_owned(),
            reply,
        };
        match self.ask(call, answer, APPLY_TIME).await {
            Ok(answer) => answer,
            Err(error) => NoteAnswer::Unknown {
                reason: format!("{error}; sending the same note again is safe"),
            },
        }
    }

    /// Asks where a version is in force; `None` asks for the latest.
    pub async fn in_force(&self, version: Option<Version>) -> Result<InForceAnswer, CallError> {
        let (reply, answer) = oneshot::channel();
        let call = OperatorCall::NoteStatus { version, reply };
        self.ask(call, answer, CALL_TIME).await
    }

    async fn ask<T>(
        &self,
        call: OperatorCall,
        answer: oneshot::Receiver<T>,
        limit: Duration,
    ) -> Result<T, CallError> {
        let exchange = async {
            self.calls.send(call).await.map_err(|_| CallError::Gone)?;
            answer.await.map_err(|_| CallError::Gone)
        };
        time::timeout(limit, exchange)
            .await
            .unwrap_or(Err(CallError::Late))
    }
}
