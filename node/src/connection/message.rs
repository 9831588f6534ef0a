//! Messages over TCP between the processes of a seeded fleet.
//!
//! A message is a length and its postcard encoding. Reading one can be cancelled between messages,
//! so one task can serve both directions of a connection. The network between the processes is
//! trusted: nobody hands out keys there (see `docs/design/platform.md`).

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use serde::{Serialize, de::DeserializeOwned};
use std::{io, net::SocketAddr, time::Duration};
use thiserror::Error;
use tokio::{net::TcpStream, time::timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Longest message: a catalog of a large fleet.
const MAX_MESSAGE_BYTES: usize = 64 << 20;
/// Time to connect; a host without power does not answer at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for a peer to take a message; a peer that reads nothing for so long is stuck.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Why a connection is over.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The connection broke, or could not be made.
    #[error("the connection to the peer broke: {0}")]
    Io(#[from] io::Error),
    /// The peer sent what this build does not understand.
    #[error("a message could not be decoded; run the same release on all hosts: {0}")]
    Decode(#[from] postcard::Error),
    /// The peer closed the connection.
    #[error("the peer closed the connection")]
    Closed,
    /// The peer does not answer or does not read.
    #[error("the peer is silent")]
    Silent,
}

/// One connection.
#[derive(Debug)]
pub struct MessageStream {
    framed: Framed<TcpStream, LengthDelimitedCodec>,
}

impl MessageStream {
    /// Connects to a peer.
    pub async fn connect(address: SocketAddr) -> Result<Self, MessageError> {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = connecting.await.map_err(|_| MessageError::Silent)??;
        Self::new(stream)
    }

    /// Takes a connection over.
    pub fn new(stream: TcpStream) -> Result<Self, MessageError> {
        stream.set_nodelay(true)?;
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_MESSAGE_BYTES)
            .new_codec();
        Ok(MessageStream {
            framed: Framed::new(stream, codec),
        })
    }

    /// Waits for the next message.
    pub async fn receive<M: DeserializeOwned>(&mut self) -> Result<M, MessageError> {
        let frame = self.framed.next().await.ok_or(MessageError::Closed)??;
        Ok(postcard::from_bytes(&frame)?)
    }

    /// Sends messages that are encoded already, in one go.
    pub async fn send(
        &mut self,
        messages: impl IntoIterator<Item = Bytes>,
    ) -> Result<(), MessageError> {
        let sending = async {
            for message in messages {
                self.framed.feed(message).await?;
            }
            SinkExt::<Bytes>::flush(&mut self.framed).await
        };
        let sent = timeout(WRITE_TIMEOUT, sending).await;
        Ok(sent.map_err(|_| MessageError::Silent)??)
    }
}

/// Encodes a message.
pub fn encode<M: Serialize>(message: &M) -> Result<Bytes, postcard::Error> {
    postcard::to_stdvec(message).map(Bytes::from)
}
