//! Bodies of requests and answers that an entry passes between callers and targets.

use super::body::{Broken, WHOLE_BYTES};
use crate::connection::pool::AnswerBody;
use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::{
    pin::Pin,
    task::{Context, Poll},
};
use tokio::time::{Instant, Sleep, sleep_until};

fn is_spent(bytes: &Option<Bytes>) -> bool {
    bytes.as_ref().is_none_or(Bytes::is_empty)
}

fn whole_size(bytes: &Option<Bytes>) -> SizeHint {
    SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
}

/// Body of a request on its way to a target.
#[derive(Debug)]
pub enum RequestBody {
    /// All of it.
    Whole(Option<Bytes>),
    /// What the caller sends, as it comes.
    Stream(Incoming),
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            RequestBody::Whole(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            RequestBody::Stream(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RequestBody::Whole(bytes) => is_spent(bytes),
            RequestBody::Stream(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RequestBody::Whole(bytes) => whole_size(bytes),
            RequestBody::Stream(body) => body.size_hint(),
        }
    }
}

/// Body of an answer to a caller.
#[derive(Debug)]
pub enum ReplyBody {
    /// All of it.
    Whole(Option<Bytes>),
    /// What was read already, and the rest as it comes.
    Stream(Option<Bytes>, Box<LongBody>),
}

/// Body of an answer that is passed on as it comes, and breaks off at its deadline.
#[derive(Debug)]
pub struct LongBody {
    body: AnswerBody,
    deadline: Pin<Box<Sleep>>,
}

impl LongBody {
    fn new(body: AnswerBody, deadline: Instant) -> Box<Self> {
        Box::new(LongBody {
            body,
            deadline: Box::pin(sleep_until(deadline)),
        })
    }

    fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        if self.deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(Broken)));
        }
        Pin::new(&mut self.body).poll_frame(cx)
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let (held, rest) = match self.get_mut() {
            ReplyBody::Whole(bytes) => (bytes.take(), None),
            ReplyBody::Stream(bytes, rest) => (bytes.take(), Some(rest)),
        };
        match (held.filter(|bytes| !bytes.is_empty()), rest) {
            (Some(bytes), _) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            (None, Some(rest)) => rest.poll_frame(cx),
            (None, None) => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ReplyBody::Whole(bytes) => is_spent(bytes),
            ReplyBody::Stream(..) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ReplyBody::Whole(bytes) => whole_size(bytes),
            // The length stands in the head where the target named one.
            ReplyBody::Stream(..) => SizeHint::default(),
        }
    }
}

/// Reads an answer's body whole if it is short, else as much as shows that it is long.
pub async fn read_short(mut body: AnswerBody, deadline: Instant) -> Result<ReplyBody, Broken> {
    let exact = body.size_hint().exact();
    if exact.is_some_and(|length| length > WHOLE_BYTES) {
        return Ok(ReplyBody::Stream(None, LongBody::new(body, deadline)));
    }
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() as u64 > WHOLE_BYTES {
            let body = LongBody::new(body, deadline);
            return Ok(ReplyBody::Stream(Some(bytes.freeze()), body));
        }
    }
    Ok(ReplyBody::Whole(Some(bytes.freeze())))
}
