//! Bodies of requests and answers that an entry passes between callers and targets.

use crate::connection::pool::AnswerBody;
use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};
use tokio::time::timeout;

/// Bodies up to this size are read whole, so that they can be sent again.
pub const WHOLE_BYTES: u64 = 64 << 10;
/// Time for which the rest of a body is read whose request is answered already.
const DISCARD_TIME: Duration = Duration::from_secs(2);
/// Bytes that are read for that at most.
const DISCARD_BYTES: u64 = 8 << 20;

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
            RequestBody::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            RequestBody::Stream(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RequestBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
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
    Stream(Option<Bytes>, Box<AnswerBody>),
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let (held, rest) = match self.get_mut() {
            ReplyBody::Whole(bytes) => (bytes.take(), None),
            ReplyBody::Stream(bytes, rest) => (bytes.take(), Some(rest)),
        };
        match (held.filter(|bytes| !bytes.is_empty()), rest) {
            (Some(bytes), _) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            (None, Some(rest)) => Pin::new(rest.as_mut()).poll_frame(cx),
            (None, None) => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ReplyBody::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            ReplyBody::Stream(..) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ReplyBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            // The length stands in the head where the target named one.
            ReplyBody::Stream(..) => SizeHint::default(),
        }
    }
}

/// Reads an answer's body whole if it is short, else as much as shows that it is long.
pub async fn read_short(mut body: AnswerBody) -> Result<ReplyBody, hyper::Error> {
    let exact = body.size_hint().exact();
    if exact.is_some_and(|length| length > WHOLE_BYTES) {
        return Ok(ReplyBody::Stream(None, Box::new(body)));
    }
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() as u64 > WHOLE_BYTES {
            return Ok(ReplyBody::Stream(Some(bytes.freeze()), Box::new(body)));
        }
    }
    Ok(ReplyBody::Whole(Some(bytes.freeze())))
}

/// Reads the rest of a body in the background. A connection that is closed with bytes unread is
/// reset, and the caller may never see the answer that was sent before.
pub fn discard(mut body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    tokio::spawn(timeout(DISCARD_TIME, async move {
        let mut bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            bytes += frame.data_ref().map_or(0, |data| data.len() as u64);
            if bytes > DISCARD_BYTES {
                return;
            }
        }
    }));
}
