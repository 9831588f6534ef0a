//! Outgoing link to one other entry.
//!
//! A task owns the connection, makes it anew when it breaks, and sends one-way messages over a
//! stream of their own. Calls open a stream each, so a slow one holds back no other.

use super::wire;
use crate::process::{
    protocol::{Call, Control, Reply},
    transport::Transport,
};
use cornelrail_lib::process::settings::Peer;
use quinn::{Connection, RecvStream, SendStream};
use std::time::Duration;
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, timeout},
};

const DIAL_TIMEOUT: Duration = Duration::from_millis(400);
const REDIAL_PAUSE: Duration = Duration::from_millis(50);
const MESSAGES_HELD: usize = 4_096;
/// A connection that has brought nothing for so long is made anew; keep-alives come more often.
const SILENCE: Duration = Duration::from_millis(500);

/// Both halves of a stream to a peer.
#[derive(Debug)]
pub struct Duplex {
    /// Towards the peer.
    pub tx: SendStream,
    /// From the peer.
    pub rx: RecvStream,
}

enum LinkMessage {
    Notify(Control),
    Open(oneshot::Sender<Duplex>),
}

/// Handle of the task that owns the link to one peer.
#[derive(Debug, Clone)]
pub struct PeerLink {
    tx: mpsc::Sender<LinkMessage>,
}

impl PeerLink {
    /// Starts the task.
    pub fn start(transport: Transport, peer: Peer) -> PeerLink {
        let (tx, rx) = mpsc::channel(MESSAGES_HELD);
        let link = Link {
            transport,
            peer,
            connection: None,
            notices: None,
            datagrams: 0,
            heard: Instant::now(),
            redial: Instant::now(),
        };
        tokio::spawn(link.run(rx));
        PeerLink { tx }
    }

    /// Sends a one-way message; it is dropped if the peer cannot be reached.
    pub fn notify(&self, message: Control) {
        // The senders repeat what matters, so a full queue needs no other answer.
        let _ = self.tx.try_send(LinkMessage::Notify(message));
    }

    /// Opens a stream to the peer; `None` if it cannot be reached now.
    pub async fn open(&self) -> Option<Duplex> {
        let (tx, rx) = oneshot::channel();
        self.tx.send(LinkMessage::Open(tx)).await.ok()?;
        rx.await.ok()
    }

    /// Makes a call; `None` if the peer did not answer within `limit`.
    pub async fn call(&self, call: &Call, limit: Duration) -> Option<Reply> {
        timeout(limit, self.call_unbounded(call)).await.ok()?
    }

    async fn call_unbounded(&self, call: &Call) -> Option<Reply> {
        let mut duplex = self.open().await?;
        wire::write_message(&mut duplex.tx, call).await.ok()?;
        duplex.tx.finish().ok()?;
        wire::read_message(&mut duplex.rx).await.ok()
    }
}

struct Link {
    transport: Transport,
    peer: Peer,
    connection: Option<Connection>,
    notices: Option<SendStream>,
    datagrams: u64,
    heard: Instant,
    redial: Instant,
}

impl Link {
    async fn run(mut self, mut rx: mpsc::Receiver<LinkMessage>) {
        while let Some(message) = rx.recv().await {
            self.connect().await;
            match message {
                LinkMessage::Notify(control) => self.notify(&control).await,
                LinkMessage::Open(reply) => self.open(reply),
            }
        }
    }

    async fn connect(&mut self) {
        if self.is_alive() {
            return;
        }
        self.connection = None;
        self.notices = None;
        if Instant::now() < self.redial {
            return;
        }
        let dialled = timeout(DIAL_TIMEOUT, self.transport.dial(&self.peer)).await;
        self.connection = dialled.ok().and_then(Result::ok);
        self.heard = Instant::now();
        self.redial = Instant::now() + REDIAL_PAUSE;
    }

    /// Whether the connection is open and has brought something of late. One that fell silent is
    /// left to the streams that still use it.
    fn is_alive(&mut self) -> bool {
        let Some(connection) = &self.connection else {
            return false;
        };
        let datagrams = connection.stats().udp_rx.datagrams;
        if datagrams != self.datagrams {
            self.datagrams = datagrams;
            self.heard = Instant::now();
        }
        connection.close_reason().is_none() && self.heard.elapsed() < SILENCE
    }

    async fn notify(&mut self, control: &Control) {
        if self.notices.is_none() {
            let Some(connection) = &self.connection else {
                return;
            };
            self.notices = connection.open_uni().await.ok();
        }
        if let Some(stream) = &mut self.notices
            && wire::write_message(stream, control).await.is_err()
        {
            self.notices = None;
            self.connection = None;
        }
    }

    fn open(&self, reply: oneshot::Sender<Duplex>) {
        let Some(connection) = self.connection.clone() else {
            return;
        };
        tokio::spawn(async move {
            if let Ok((tx, rx)) = connection.open_bi().await {
                // The caller may have given up meanwhile.
                let _ = reply.send(Duplex { tx, rx });
            }
        });
    }
}
