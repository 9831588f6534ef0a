//! HTTP/1 client that keeps its connections open.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{SendRequest, handshake},
};
use hyper_util::rt::TokioIo;
use std::{collections::HashMap, io, net::SocketAddr, sync::Mutex};
use tokio::net::TcpStream;

/// Why no whole answer came back.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No byte of the request left this process.
    #[error("no connection to {address}: {source}; check that the process listens there")]
    Connect {
        /// Where the request was to go.
        address: SocketAddr,
        /// What the platform said.
        source: io::Error,
    },
    /// The connection broke after the request may have left.
    #[error("connection broken before the whole answer: {0}; the request may have run")]
    Broken(#[from] hyper::Error),
}

/// Answer with its whole body.
pub type Answer = Response<Bytes>;

type Sender = SendRequest<Full<Bytes>>;

/// Client that reuses idle connections.
#[derive(Debug, Default)]
pub struct Client {
    idle: Mutex<HashMap<SocketAddr, Vec<Sender>>>,
}

impl Client {
    /// Sends a request and reads the whole answer. A dropped future closes its connection.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Answer, SendError> {
        let (sender, response) = self.start(address, request).await?;
        let (head, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();
        self.keep(address, sender);
        Ok(Response::from_parts(head, body))
    }

    async fn start(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Sender, Response<Incoming>), SendError> {
        while let Some(mut sender) = self.take(address) {
            match sender.try_send_request(request).await {
                Ok(response) => return Ok((sender, response)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(error.into_error().into()),
                },
            }
        }
        let mut sender = connect(address).await?;
        let response = sender.send_request(request).await?;
        Ok((sender, response))
    }

    fn take(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.lock().expect("client lock");
        let senders = idle.get_mut(&address)?;
        while let Some(sender) = senders.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    fn keep(&self, address: SocketAddr, sender: Sender) {
        if !sender.is_closed() {
            let mut idle = self.idle.lock().expect("client lock");
            idle.entry(address).or_default().push(sender);
        }
    }
}

async fn connect(address: SocketAddr) -> Result<Sender, SendError> {
    let refused = |source| SendError::Connect { address, source };
    let stream = TcpStream::connect(address).await.map_err(refused)?;
    stream.set_nodelay(true).map_err(refused)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    Ok(sender)
}
