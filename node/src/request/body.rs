//! Bodies of requests and answers, whole or as they come.
//!
//! A streamed body passes through a channel of a few chunks, so a slow reader holds back the writer
//! and an open request costs bounded memory. A body that breaks off ends with an error, never with
//! a shorter success.

use crate::connection::wire::{self, Frame, WireError};
use bytes::Bytes;
use futures_util::{Stream, StreamExt, stream};
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::{Body as HttpBody, Frame as HttpFrame};
use quinn::{RecvStream, SendStream};
use std::time::Duration;
use thiserror::Error;
use tokio::{sync::mpsc, time::timeout};

/// Bodies up to this size are read whole before they are passed on, so that they can be sent again.
pub const WHOLE_BYTES: u64 = 64 << 10;
/// Time for which the rest of a body is read whose request is answered already.
const DISCARD_TIME: Duration = Duration::from_secs(2);
/// Bytes that are read for that at most.
const DISCARD_BYTES: usize = 8 << 20;
/// Chunks that a streamed body holds at most.
const CHUNKS_HELD: usize = 4;

/// A body broke off before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the body broke off before its end; what came of it must not be used")]
pub struct Broken;

/// Part of a streamed body. A channel that closes without [`Chunk::End`] broke off.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Chunk {
    /// The next bytes.
    Data(Bytes),
    /// The body is whole.
    End,
    /// The body broke off at its source.
    Broken,
}

/// Body as hyper takes it.
pub type OutBody = UnsyncBoxBody<Bytes, Broken>;

/// A request's or an answer's body.
#[derive(Debug)]
pub enum Body {
    /// All of it.
    Whole(Bytes),
    /// Chunk by chunk.
    Stream(mpsc::Receiver<Chunk>),
}

impl Body {
    /// A copy, if the body is held whole.
    pub fn copy(&self) -> Option<Bytes> {
        match self {
            Body::Whole(bytes) => Some(bytes.clone()),
            Body::Stream(_) => None,
        }
    }

    /// The body as hyper sends it.
    pub fn into_http(self) -> OutBody {
        match self {
            Body::Whole(bytes) => Full::new(bytes)
                .map_err(|never| match never {})
                .boxed_unsync(),
            Body::Stream(chunks) => {
                let frames = chunk_stream(chunks).map(|data| data.map(HttpFrame::data));
                StreamBody::new(frames).boxed_unsync()
            }
        }
    }

    /// Body of an HTTP message: whole if it says that it is short, else streamed.
    pub async fn from_http<B>(body: B, limit: u64) -> Result<Body, Broken>
    where
        B: HttpBody<Data = Bytes> + Send + Unpin + 'static,
        B::Error: Send,
    {
        let exact = body.size_hint().exact();
        if exact.is_some_and(|length| length <= WHOLE_BYTES) {
            let collected = body.collect().await.map_err(|_| Broken)?;
            return Ok(Body::Whole(collected.to_bytes()));
        }
        let (tx, rx) = mpsc::channel(CHUNKS_HELD);
        tokio::spawn(pump_http(body, tx, limit));
        Ok(Body::Stream(rx))
    }

    /// Body that follows on a stream between entries.
    pub fn from_wire(stream: RecvStream) -> Body {
        let (tx, rx) = mpsc::channel(CHUNKS_HELD);
        tokio::spawn(pump_wire(stream, tx));
        Body::Stream(rx)
    }
}

async fn pump_http<B>(mut body: B, tx: mpsc::Sender<Chunk>, limit: u64)
where
    B: HttpBody<Data = Bytes> + Unpin,
    B::Error: Send,
{
    let mut total = 0;
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = tx.closed() => return discard(body).await,
        };
        let chunk = match frame {
            None => Chunk::End,
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => Chunk::Data(data),
                Err(_trailers) => continue,
            },
            Some(Err(_)) => Chunk::Broken,
        };
        if let Chunk::Data(data) = &chunk {
            total += data.len() as u64;
        }
        let chunk = if total > limit { Chunk::Broken } else { chunk };
        let more = matches!(chunk, Chunk::Data(_));
        if tx.send(chunk).await.is_err() {
            return discard(body).await;
        }
        if !more {
            return;
        }
    }
}

/// Reads the rest of a body whose request is answered already. A connection that is closed with
/// bytes unread is reset, and the caller may never see the answer that was sent before.
pub async fn discard<B>(mut body: B)
where
    B: HttpBody<Data = Bytes> + Unpin,
{
    let reading = async {
        let mut bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            bytes += frame.data_ref().map_or(0, Bytes::len);
            if bytes > DISCARD_BYTES {
                return;
            }
        }
    };
    // A caller that sends no end of it is cut off.
    let _ = timeout(DISCARD_TIME, reading).await;
}

async fn pump_wire(mut stream: RecvStream, tx: mpsc::Sender<Chunk>) {
    loop {
        let frame = tokio::select! {
            frame = wire::read_frame(&mut stream) => frame,
            () = tx.closed() => return,
        };
        let chunk = match frame {
            Ok(Frame::Chunk(data)) => Chunk::Data(data),
            Ok(Frame::End) => Chunk::End,
            Ok(Frame::Message(_) | Frame::Broken) | Err(_) => Chunk::Broken,
        };
        if !pass_on(&tx, chunk).await {
            return;
        }
    }
}

/// Hands a chunk to the reader; false if it was the last one or nobody reads.
async fn pass_on(tx: &mpsc::Sender<Chunk>, chunk: Chunk) -> bool {
    let more = matches!(chunk, Chunk::Data(_));
    tx.send(chunk).await.is_ok() && more
}

/// Writes a streamed body to a stream between entries, with its end.
pub async fn write_stream(
    stream: &mut SendStream,
    chunks: &mut mpsc::Receiver<Chunk>,
) -> Result<(), WireError> {
    loop {
        match chunks.recv().await {
            Some(Chunk::Data(data)) => wire::write_chunk(stream, &data).await?,
            Some(Chunk::End) => return wire::write_end(stream, true).await,
            Some(Chunk::Broken) | None => return wire::write_end(stream, false).await,
        }
    }
}

/// The chunks as a stream of bytes that ends with an error if the body broke off.
pub fn chunk_stream(
    chunks: mpsc::Receiver<Chunk>,
) -> impl Stream<Item = Result<Bytes, Broken>> + Send + 'static {
    stream::unfold(Some(chunks), |chunks| async move {
        let mut chunks = chunks?;
        match chunks.recv().await {
            Some(Chunk::Data(data)) => Some((Ok(data), Some(chunks))),
            Some(Chunk::End) => None,
            Some(Chunk::Broken) | None => Some((Err(Broken), None)),
        }
    })
}
