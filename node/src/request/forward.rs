//! Requests on their way between the entry that the caller reached and the home of the target.

use super::{
    body::{self, Body},
    message::{
        Answer, AnswerHead, Failure, Forwarded, RequestHead, add_fields, is_final, passed_fields,
    },
};
use crate::{
    connection::{
        peer::{Duplex, PeerLink},
        wire::{self, WireError},
    },
    process::protocol::Call,
};
use http::{HeaderMap, StatusCode};
use quinn::{RecvStream, SendStream};
use tokio::sync::mpsc;

/// Sends a request to the home of its target and waits for the head of the answer.
pub async fn forward(
    link: &PeerLink,
    mut head: RequestHead,
    body: Body,
) -> Result<Answer, Failure> {
    let Some(Duplex { mut tx, rx }) = link.open().await else {
        return Err(Failure::Elsewhere);
    };
    let chunks = match body {
        Body::Whole(bytes) => {
            head.body = Some(bytes);
            None
        }
        Body::Stream(chunks) => Some(chunks),
    };
    let call = Call::Forward(Box::new(head));
    if wire::write_message(&mut tx, &call).await.is_err() {
        return Err(Failure::Lost);
    }
    let writer = tokio::spawn(write_body(tx, chunks));
    let answer = read_answer(rx).await;
    if answer.is_err() {
        writer.abort();
    }
    answer
}

async fn write_body(mut tx: SendStream, chunks: Option<mpsc::Receiver<body::Chunk>>) {
    if let Some(mut chunks) = chunks {
        // The reader learns of a broken stream by itself.
        let _ = body::write_stream(&mut tx, &mut chunks).await;
    }
    let _ = tx.finish();
}

async fn read_answer(mut rx: RecvStream) -> Result<Answer, Failure> {
    let forwarded = wire::read_message(&mut rx).await;
    match forwarded.map_err(|_| Failure::Lost)? {
        Forwarded::Answered(head) => answer_from(head, rx),
        Forwarded::Refused(refusal) => Err(Failure::Refused(refusal)),
        Forwarded::Elsewhere => Err(Failure::Elsewhere),
    }
}

/// The answer that another entry passes on. One of an earlier release passes any status.
fn answer_from(head: AnswerHead, rx: RecvStream) -> Result<Answer, Failure> {
    let status = StatusCode::from_u16(head.status).map_err(|_| Failure::Lost)?;
    if !is_final(status) {
        return Err(Failure::Lost);
    }
    let mut fields = HeaderMap::new();
    add_fields(&mut fields, &head.fields);
    let body = match head.body {
        Some(bytes) => Body::Whole(bytes),
        None => Body::from_wire(rx),
    };
    Ok(Answer {
        status,
        fields,
        body,
    })
}

/// Body of a request that was forwarded to this entry.
pub fn forwarded_body(head: &mut RequestHead, rx: RecvStream) -> Body {
    match head.body.take() {
        Some(bytes) => Body::Whole(bytes),
        None => Body::from_wire(rx),
    }
}

/// Sends the outcome of a forwarded request back to the entry that it came from.
pub async fn write_outcome(
    tx: &mut SendStream,
    outcome: Result<Answer, Failure>,
) -> Result<(), WireError> {
    match outcome {
        Ok(answer) => write_answer(tx, answer).await,
        Err(Failure::Refused(refusal)) => {
            wire::write_message(tx, &Forwarded::Refused(refusal)).await
        }
        Err(Failure::Elsewhere | Failure::Lost) => {
            wire::write_message(tx, &Forwarded::Elsewhere).await
        }
    }
}

async fn write_answer(tx: &mut SendStream, answer: Answer) -> Result<(), WireError> {
    let mut head = AnswerHead {
        status: answer.status.as_u16(),
        fields: passed_fields(&answer.fields),
        body: None,
    };
    match answer.body {
        Body::Whole(bytes) => {
            head.body = Some(bytes);
            wire::write_message(tx, &Forwarded::Answered(head)).await
        }
        Body::Stream(mut chunks) => {
            wire::write_message(tx, &Forwarded::Answered(head)).await?;
            body::write_stream(tx, &mut chunks).await
        }
    }
}
