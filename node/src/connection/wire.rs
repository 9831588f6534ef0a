//! Frames on the QUIC streams between entries.
//!
//! A frame is a kind, a length and that many bytes. Messages are encoded by postcard; the parts of a
//! body travel raw. A body ends with a [`Frame::End`], so a broken stream is never taken
//! for the end of a body.

use bytes::Bytes;
use quinn::{ReadExactError, RecvStream, SendStream, WriteError};
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

/// Largest frame that is read.
const MAX_FRAME_BYTES: usize = 64 << 20;
const HEAD_BYTES: usize = 5;

const MESSAGE: u8 = 1;
const CHUNK: u8 = 2;
const END: u8 = 3;
const BROKEN: u8 = 4;

/// What can go wrong on a stream between entries.
#[derive(Debug, Error)]
pub enum WireError {
    /// The stream was reset or the connection lost.
    #[error("the stream to the peer broke off; the link is made anew: {0}")]
    Read(#[from] ReadExactError),
    /// The peer stopped reading or the connection was lost.
    #[error("the peer stopped reading; the link is made anew: {0}")]
    Write(#[from] WriteError),
    /// The peer sent what this build does not understand.
    #[error("a frame could not be decoded; run the same release on all entries: {0}")]
    Decode(#[from] postcard::Error),
    /// The peer sent a frame out of place or of an unknown kind.
    #[error("a frame of kind {0} stands where it does not belong; run the same release everywhere")]
    Misplaced(u8),
    /// The peer announced a frame beyond the limit.
    #[error("a frame of {0} bytes is over the limit of {MAX_FRAME_BYTES}")]
    TooLong(usize),
}

/// One frame as read.
#[derive(Debug)]
pub enum Frame {
    /// An encoded message.
    Message(Bytes),
    /// Part of a body.
    Chunk(Bytes),
    /// The body is whole.
    End,
    /// The body broke off at its source.
    Broken,
}

/// Writes a message.
pub async fn write_message<M: Serialize>(
    stream: &mut SendStream,
    message: &M,
) -> Result<(), WireError> {
    let bytes = postcard::to_stdvec(message)?;
    write_frame(stream, MESSAGE, &bytes).await
}

/// Writes part of a body.
pub async fn write_chunk(stream: &mut SendStream, chunk: &[u8]) -> Result<(), WireError> {
    write_frame(stream, CHUNK, chunk).await
}

/// Writes the end of a body, whole or broken.
pub async fn write_end(stream: &mut SendStream, whole: bool) -> Result<(), WireError> {
    let kind = if whole { END } else { BROKEN };
    write_frame(stream, kind, &[]).await
}

async fn write_frame(stream: &mut SendStream, kind: u8, bytes: &[u8]) -> Result<(), WireError> {
    let mut head = [kind; HEAD_BYTES];
    head[1..].copy_from_slice(&(bytes.len() as u32).to_be_bytes());
    stream.write_all(&head).await?;
    stream.write_all(bytes).await?;
    Ok(())
}

/// Reads the next frame.
pub async fn read_frame(stream: &mut RecvStream) -> Result<Frame, WireError> {
    let mut head = [0; HEAD_BYTES];
    stream.read_exact(&mut head).await?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(WireError::TooLong(length));
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    match head[0] {
        MESSAGE => Ok(Frame::Message(bytes.into())),
        CHUNK => Ok(Frame::Chunk(bytes.into())),
        END => Ok(Frame::End),
        BROKEN => Ok(Frame::Broken),
        kind => Err(WireError::Misplaced(kind)),
    }
}

/// Reads the next frame, which must be a message.
pub async fn read_message<M: DeserializeOwned>(stream: &mut RecvStream) -> Result<M, WireError> {
    match read_frame(stream).await? {
        Frame::Message(bytes) => Ok(postcard::from_bytes(&bytes)?),
        Frame::Chunk(_) => Err(WireError::Misplaced(CHUNK)),
        Frame::End => Err(WireError::Misplaced(END)),
        Frame::Broken => Err(WireError::Misplaced(BROKEN)),
    }
}
