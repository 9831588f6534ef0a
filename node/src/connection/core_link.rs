//! Link to one core host, kept up by a task.
//!
//! While the host cannot be reached, messages are dropped: their senders repeat what matters. A
//! connection that brings nothing for a while is made anew, since it may have fallen silent without
//! a reset.

use super::message::{MessageError, MessageStream, encode, encode_greeting};
use bytes::Bytes;
use cornelrail_lib::version::feed::{FromCore, Handshake, ToCore};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep},
};

/// Messages that wait for the link.
const MESSAGES_HELD: usize = 1_024;
/// Messages sent in one go.
const BURST: usize = 64;
/// Pause between signs of life.
const PING_PAUSE: Duration = Duration::from_millis(300);
/// A connection that brought nothing for so long is made anew.
const SILENCE: Duration = Duration::from_millis(1_000);
/// Pause before a connection is tried again.
const REDIAL_PAUSE: Duration = Duration::from_millis(100);

/// Handle of the task that keeps the link to one core host.
#[derive(Debug, Clone)]
pub struct CoreLink {
    tx: mpsc::Sender<ToCore>,
}

impl CoreLink {
    /// Starts the task; what the host sends goes to `inbox`.
    pub fn start(
        address: SocketAddr,
        greeting: Handshake,
        inbox: mpsc::Sender<FromCore>,
    ) -> CoreLink {
        let (tx, rx) = mpsc::channel(MESSAGES_HELD);
        tokio::spawn(run(address, greeting, rx, inbox));
        CoreLink { tx }
    }

    /// Sends a message, or drops it if the host cannot be reached.
    pub fn send(&self, message: ToCore) {
        // The senders repeat what matters, so a full queue needs no other answer.
        let _ = self.tx.try_send(message);
    }
}

async fn run(
    address: SocketAddr,
    greeting: Handshake,
    mut rx: mpsc::Receiver<ToCore>,
    inbox: mpsc::Sender<FromCore>,
) {
    while !rx.is_closed() || !rx.is_empty() {
        if let Ok(mut stream) = MessageStream::connect(address, SILENCE).await {
            // The next connection begins anew, whatever ended this one.
            let ended = serve(&mut stream, &greeting, &mut rx, &inbox).await;
            if ended.is_ok() {
                return;
            }
        }
        sleep(REDIAL_PAUSE).await;
        while rx.try_recv().is_ok() {}
    }
}

/// Passes messages until the connection breaks; `Ok` once nobody uses the link any more.
async fn serve(
    stream: &mut MessageStream,
    greeting: &Handshake,
    rx: &mut mpsc::Receiver<ToCore>,
    inbox: &mpsc::Sender<FromCore>,
) -> Result<(), MessageError> {
    stream.send([encode_greeting(greeting)?]).await?;
    let mut burst = Vec::with_capacity(BURST);
    let mut ping = Instant::now() + PING_PAUSE;
    loop {
        tokio::select! {
            count = rx.recv_many(&mut burst, BURST) => {
                if count == 0 {
                    return Ok(());
                }
                let messages: Result<Vec<Bytes>, _> = burst.drain(..).map(|m| encode(&m)).collect();
                stream.send(messages?).await?;
            }
            message = stream.receive::<FromCore>() => {
                let message = message?;
                if !matches!(message, FromCore::Pong) && inbox.send(message).await.is_err() {
                    return Ok(());
                }
            }
            () = tokio::time::sleep_until(ping) => {
                stream.send([encode(&ToCore::Ping)?]).await?;
                ping = Instant::now() + PING_PAUSE;
            }
        }
    }
}
