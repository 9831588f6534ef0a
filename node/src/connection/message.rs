//! Messages over TCP between the processes of a seeded fleet.
//!
//! A message is a length and its postcard encoding, compressed where it is long: a large desired
//! state repeats the same few words, and entries may have slow links. Reading one can be cancelled
//! between messages, so one task can serve both directions of a connection. A peer counts as silent
//! once no byte passes; a long message may take its time on a slow link. The network between the
//! processes is trusted: nobody hands out keys there (see `docs/design/platform.md`).
//!
//! The first message in each direction is a greeting: behind it stands the level of its sender (see
//! [`wire_level`](cornelrail_lib::version::wire_level)), which releases without levels do not read. It is
//! short, so that a stranger at the address of a host cannot fill the memory of this one.

use bytes::Bytes;
use cornelrail_lib::version::wire_level::WireLevel;
use futures_util::{SinkExt, StreamExt};
use serde::{Serialize, de::DeserializeOwned};
use std::{io, net::SocketAddr, pin::Pin, time::Duration};
use thiserror::Error;
use tokio::{net::TcpStream, time::timeout};
use tokio_io_timeout::TimeoutStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Longest message: a catalog of a large fleet.
const MAX_MESSAGE_BYTES: usize = 64 << 20;
/// Longest greeting. Whoever sends it may be no process of this fleet.
const MAX_GREETING_BYTES: usize = 64 << 10;
/// Time to connect; a host without power does not answer at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Messages longer than this are compressed; pulses are shorter.
const COMPRESS_BYTES: usize = 16 << 10;
/// First byte of a message that is sent as it is.
const PLAIN: u8 = 0;
/// First byte of a compressed message; the length of the whole follows.
const COMPRESSED: u8 = 1;
/// A peer that reads nothing for so long is stuck.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Why a connection is over.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The connection broke, or could not be made.
    #[error("the connection to the peer broke: {0}")]
    Io(io::Error),
    /// The peer sent what this build does not understand.
    #[error("a message could not be decoded; run the same release on all hosts: {0}")]
    Decode(#[from] postcard::Error),
    /// The peer sent a message that cannot be read, or one that is too long.
    #[error("a message is damaged or longer than 64 MiB; run the same release on all hosts")]
    Damaged,
    /// The peer closed the connection.
    #[error("the peer closed the connection")]
    Closed,
    /// The peer does not answer or does not read.
    #[error("the peer is silent")]
    Silent,
}

impl From<io::Error> for MessageError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::TimedOut => MessageError::Silent,
            _ => MessageError::Io(error),
        }
    }
}

/// One connection.
#[derive(Debug)]
pub struct MessageStream {
    framed: Framed<Pin<Box<TimeoutStream<TcpStream>>>, LengthDelimitedCodec>,
}

impl MessageStream {
    /// Connects to a peer, which is left if it sends nothing for the time given.
    pub async fn connect(address: SocketAddr, silence: Duration) -> Result<Self, MessageError> {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = connecting.await.map_err(|_| MessageError::Silent)??;
        Self::new(stream, silence)
    }

    /// Takes a connection over; its peer is left if it sends nothing for the time given.
    pub fn new(stream: TcpStream, silence: Duration) -> Result<Self, MessageError> {
        stream.set_nodelay(true)?;
        let mut stream = TimeoutStream::new(stream);
        stream.set_read_timeout(Some(silence));
        stream.set_write_timeout(Some(WRITE_TIMEOUT));
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_MESSAGE_BYTES)
            .new_codec();
        Ok(MessageStream {
            framed: Framed::new(Box::pin(stream), codec),
        })
    }

    /// Waits for the next message.
    pub async fn receive<M: DeserializeOwned>(&mut self) -> Result<M, MessageError> {
        let body = self.receive_body().await?;
        Ok(postcard::from_bytes(&body)?)
    }

    /// Waits for the first message, and the level that its sender tells.
    pub async fn receive_greeting<M: DeserializeOwned>(
        &mut self,
    ) -> Result<(M, WireLevel), MessageError> {
        self.framed
            .codec_mut()
            .set_max_frame_length(MAX_GREETING_BYTES);
        let body = self.receive_body().await?;
        self.framed
            .codec_mut()
            .set_max_frame_length(MAX_MESSAGE_BYTES);
        let (message, rest) = postcard::take_from_bytes(&body)?;
        let level = match rest.is_empty() {
            true => WireLevel::BASE,
            false => postcard::from_bytes(rest)?,
        };
        Ok((message, level))
    }

    /// Waits for the encoding of the next message.
    async fn receive_body(&mut self) -> Result<Bytes, MessageError> {
        let mut frame = self.framed.next().await.ok_or(MessageError::Closed)??;
        match frame.first() {
            Some(&PLAIN) => Ok(frame.split_off(1).freeze()),
            Some(&COMPRESSED) => {
                let limit = self.framed.codec().max_frame_length();
                Ok(Bytes::from(expand(&frame[1..], limit)?))
            }
            _ => Err(MessageError::Damaged),
        }
    }

    /// Sends messages that are encoded already, in one go.
    pub async fn send(
        &mut self,
        messages: impl IntoIterator<Item = Bytes>,
    ) -> Result<(), MessageError> {
        for message in messages {
            self.framed.feed(message).await?;
        }
        Ok(SinkExt::<Bytes>::flush(&mut self.framed).await?)
    }
}

/// Encodes a message.
pub fn encode<M: Serialize>(message: &M) -> Result<Bytes, postcard::Error> {
    Ok(pack(postcard::to_extend(message, vec![PLAIN])?))
}

/// Encodes the first message on a connection, with the level of this process behind it.
pub fn encode_greeting<M: Serialize>(message: &M) -> Result<Bytes, postcard::Error> {
    let bytes = postcard::to_extend(message, vec![PLAIN])?;
    Ok(pack(postcard::to_extend(&WireLevel::OWN, bytes)?))
}

/// Compresses what is long.
fn pack(mut bytes: Vec<u8>) -> Bytes {
    if bytes.len() > COMPRESS_BYTES {
        let packed = lz4_flex::compress_prepend_size(&bytes[1..]);
        bytes.clear();
        bytes.push(COMPRESSED);
        bytes.extend(packed);
    }
    Bytes::from(bytes)
}

fn expand(packed: &[u8], limit: usize) -> Result<Vec<u8>, MessageError> {
    let length = packed.first_chunk().map(|head| u32::from_le_bytes(*head));
    if length.is_none_or(|length| length as usize > limit) {
        return Err(MessageError::Damaged);
    }
    lz4_flex::decompress_size_prepended(packed).map_err(|_| MessageError::Damaged)
}
