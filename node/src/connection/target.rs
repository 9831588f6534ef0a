//! Connections to one target, and the adapter of the protocol that targets speak.
//!
//! A task owns the idle connections. A request borrows one, and dropping a borrowed connection
//! closes it, which is how a target learns that its caller has left.

use super::limited_stream::{HEAD_BYTES, LimitedStream, StreamControl};
use crate::request::{
    body::{Broken, OutBody, WHOLE_BYTES},
    message::is_final,
};
use bytes::Bytes;
use cornelrail_lib::{
    connection::order::{LEASE_PATH, LeaseAnswer, LeaseOrder},
    request::header::REQUEST,
};
use http::{HeaderValue, Method, Request, Response, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use std::{error::Error as _, net::SocketAddr, time::Duration};
use thiserror::Error;
use tokio::{
    net::TcpStream,
    runtime::Handle,
    sync::{mpsc, oneshot},
    task::JoinHandle,
    time::timeout,
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const IDLE_HELD: usize = 128;
const MESSAGES_HELD: usize = 1_024;

/// Why a target gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ExchangeError {
    /// No byte of the request reached the target.
    #[error("the target could not be reached; no byte was sent")]
    NotSent,
    /// The connection broke after bytes may have reached the target.
    #[error("the connection broke while the target may have run the request")]
    Broken,
    /// The request's own body broke off; the target is not to blame.
    #[error("the request's body broke off while the target may have run the request")]
    Source,
}

/// One connection to a target; dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<OutBody>,
    control: StreamControl,
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    async fn open(address: SocketAddr) -> Option<Connection> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let (stream, control) = LimitedStream::new(stream);
        let mut builder = http1::Builder::new();
        let builder = builder.max_buf_size(HEAD_BYTES);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.ok()?;
        let driver = tokio::spawn(async move {
            // A broken connection shows at the request that uses it.
            let _ = connection.await;
        });
        Some(Connection {
            sender,
            control,
            driver,
        })
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn exchange(
        &mut self,
        request: Request<OutBody>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let number = request.headers().get(REQUEST).cloned();
        if self.sender.ready().await.is_err() {
            return Err(ExchangeError::NotSent);
        }
        self.control.expect_head();
        let sent = self.sender.try_send_request(request).await;
        self.control.lift();
        match sent {
            // A second answer to an earlier request on this connection.
            Ok(answer) if names_other(&answer, number.as_ref()) => Err(ExchangeError::Broken),
            Ok(answer) if !is_final(answer.status()) => Err(ExchangeError::Broken),
            Ok(answer) => Ok(answer),
            Err(mut error) => match error.take_message() {
                Some(_unsent) => Err(ExchangeError::NotSent),
                None if is_source(error.error()) => Err(ExchangeError::Source),
                None => Err(ExchangeError::Broken),
            },
        }
    }
}

/// Whether an answer names another request than its own.
fn names_other(answer: &Response<Incoming>, number: Option<&HeaderValue>) -> bool {
    let mut named = answer.headers().get_all(REQUEST).iter();
    named.any(|named| Some(named) != number)
}

/// Whether the body that was being sent is what failed.
fn is_source(error: &hyper::Error) -> bool {
    error.source().is_some_and(|source| source.is::<Broken>())
}

enum LinkMessage {
    Borrow(oneshot::Sender<Option<Connection>>),
    Return(Connection),
}

/// Handle of the task that owns the idle connections to one target.
#[derive(Debug, Clone)]
pub struct TargetLink {
    address: SocketAddr,
    tx: mpsc::Sender<LinkMessage>,
}

impl TargetLink {
    /// Starts the task for the target at `address` on a runtime.
    pub fn start(runtime: &Handle, address: SocketAddr) -> TargetLink {
        let (tx, rx) = mpsc::channel(MESSAGES_HELD);
        runtime.spawn(run(address, rx));
        TargetLink { address, tx }
    }

    /// Address of the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// An idle connection, or a new one.
    pub async fn borrow(&self) -> Result<Connection, ExchangeError> {
        let (tx, rx) = oneshot::channel();
        let asked = self.tx.send(LinkMessage::Borrow(tx)).await;
        asked.map_err(|_| ExchangeError::NotSent)?;
        rx.await.ok().flatten().ok_or(ExchangeError::NotSent)
    }

    /// Gives a connection back once the answer on it has been read to its end.
    pub fn give_back(&self, connection: Connection) {
        // Without room the connection is closed, and the next request opens one.
        let _ = self.tx.try_send(LinkMessage::Return(connection));
    }

    /// Renews the target's lease. An answer that is not there within `limit` counts as broken.
    pub async fn renew(
        &self,
        order: &LeaseOrder,
        limit: Duration,
    ) -> Result<LeaseAnswer, ExchangeError> {
        let renewed = timeout(limit, self.renew_unbounded(order)).await;
        renewed.unwrap_or(Err(ExchangeError::Broken))
    }

    async fn renew_unbounded(&self, order: &LeaseOrder) -> Result<LeaseAnswer, ExchangeError> {
        let body = serde_json::to_vec(order).map_err(|_| ExchangeError::NotSent)?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(LEASE_PATH)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(whole(body.into()))
            .map_err(|_| ExchangeError::NotSent)?;
        let mut connection = self.borrow().await?;
        let answer = connection.exchange(request).await?;
        let body = Limited::new(answer.into_body(), WHOLE_BYTES as usize);
        let body = body.collect().await;
        let body = body.map_err(|_| ExchangeError::Broken)?.to_bytes();
        self.give_back(connection);
        serde_json::from_slice(&body).map_err(|_| ExchangeError::Broken)
    }
}

fn whole(bytes: Bytes) -> OutBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

async fn run(address: SocketAddr, mut rx: mpsc::Receiver<LinkMessage>) {
    let mut idle: Vec<Connection> = Vec::new();
    while let Some(message) = rx.recv().await {
        match message {
            LinkMessage::Return(connection) if idle.len() < IDLE_HELD => idle.push(connection),
            LinkMessage::Return(_) => {}
            LinkMessage::Borrow(reply) => lend(address, &mut idle, reply),
        }
    }
}

fn lend(
    address: SocketAddr,
    idle: &mut Vec<Connection>,
    reply: oneshot::Sender<Option<Connection>>,
) {
    idle.retain(|connection| !connection.sender.is_closed());
    if let Some(connection) = idle.pop() {
        // The asker may have given up meanwhile.
        let _ = reply.send(Some(connection));
        return;
    }
    tokio::spawn(async move {
        let _ = reply.send(Connection::open(address).await);
    });
}
