//! Link to one core host, kept up by a task.
//!
//! While the host cannot be reached, messages are dropped: their senders repeat what matters. A
//! connection that brings nothing for a while is made anew, since it may have fallen silent without
//! a reset.
//!
//! What was written to a connection that is given up may still arrive, seconds later. So a call carries
//! its deadline by the clock of the host that it goes to. That host tells its clock on each connection
//! anew, since it may have started again in between. A call waits until it has.

use super::message::{MessageError, MessageStream, encode, encode_greeting};
use crate::process::clock::Clock;
use bytes::Bytes;
use cornelrail_lib::{
    moment::{ClockReading, Moment},
    process::control_call::ControlCall,
    version::feed::{FromCore, Handshake, ToCore},
};
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

/// What a link is to send.
#[derive(Debug)]
enum Outgoing {
    Message(ToCore),
    Call(OutgoingCall),
}

/// A call to pass on.
#[derive(Debug)]
struct OutgoingCall {
    number: u64,
    /// Moment of the local clock by which its sender has given up.
    deadline: Moment,
    call: ControlCall,
}

/// What the host at the other end has told of its clock on a connection.
#[derive(Debug)]
enum PeerClock {
    /// Nothing yet.
    Awaited,
    /// A host of a release that does not tell it.
    Untold,
    Told(ClockReading),
}

/// Handle of the task that keeps the link to one core host.
#[derive(Debug, Clone)]
pub struct CoreLink {
    tx: mpsc::Sender<Outgoing>,
}

impl CoreLink {
    /// Starts the task; what the host sends goes to `inbox`.
    pub fn start(
        address: SocketAddr,
        greeting: Handshake,
        inbox: mpsc::Sender<FromCore>,
        clock: Clock,
    ) -> CoreLink {
        let (tx, rx) = mpsc::channel(MESSAGES_HELD);
        let link = Link {
            greeting,
            inbox,
            clock,
        };
        tokio::spawn(link.run(address, rx));
        CoreLink { tx }
    }

    /// Sends a message, or drops it if the host cannot be reached.
    pub fn send(&self, message: ToCore) {
        // The senders repeat what matters, so a full queue needs no other answer.
        let _ = self.tx.try_send(Outgoing::Message(message));
    }

    /// Sends a call that may take effect until `deadline`, or drops it if the host cannot be reached.
    pub fn call(&self, number: u64, deadline: Moment, call: ControlCall) {
        let call = OutgoingCall {
            number,
            deadline,
            call,
        };
        // Whoever made the call gets no reply and asks another host.
        let _ = self.tx.try_send(Outgoing::Call(call));
    }
}

/// Encodes the calls that wait for a peer with this clock, and keeps them while that is awaited.
fn take_calls(
    waiting: &mut Vec<OutgoingCall>,
    peer: &PeerClock,
) -> Result<Vec<Bytes>, postcard::Error> {
    let reading = match peer {
        PeerClock::Awaited => return Ok(Vec::new()),
        PeerClock::Untold => None,
        PeerClock::Told(reading) => Some(reading),
    };
    let message = |outgoing: OutgoingCall| {
        let OutgoingCall {
            number,
            deadline,
            call,
        } = outgoing;
        match reading {
            None => ToCore::Call(number, call),
            Some(reading) => ToCore::TimedCall {
                number,
                deadline: reading.translate(deadline),
                call,
            },
        }
    };
    let calls = waiting.drain(..);
    calls.map(|outgoing| encode(&message(outgoing))).collect()
}

/// Task of a link.
#[derive(Debug)]
struct Link {
    greeting: Handshake,
    inbox: mpsc::Sender<FromCore>,
    clock: Clock,
}

impl Link {
    async fn run(self, address: SocketAddr, mut rx: mpsc::Receiver<Outgoing>) {
        while !rx.is_closed() || !rx.is_empty() {
            if let Ok(mut stream) = MessageStream::connect(address, SILENCE).await {
                // The next connection begins anew, whatever ended this one.
                let ended = self.serve(&mut stream, &mut rx).await;
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
        &self,
        stream: &mut MessageStream,
        rx: &mut mpsc::Receiver<Outgoing>,
    ) -> Result<(), MessageError> {
        let greeting = encode_greeting(&self.greeting)?;
        stream.send([greeting, encode(&ToCore::Ping)?]).await?;
        let mut burst = Vec::with_capacity(BURST);
        let mut ping = Instant::now() + PING_PAUSE;
        let mut peer = PeerClock::Awaited;
        let mut waiting = Vec::new();
        loop {
            tokio::select! {
                count = rx.recv_many(&mut burst, BURST) => {
                    if count == 0 {
                        return Ok(());
                    }
                    let mut messages = Vec::with_capacity(count);
                    for outgoing in burst.drain(..) {
                        match outgoing {
                            Outgoing::Message(message) => messages.push(encode(&message)?),
                            Outgoing::Call(call) => waiting.push(call),
                        }
                    }
                    messages.extend(take_calls(&mut waiting, &peer)?);
                    stream.send(messages).await?;
                }
                message = stream.receive::<FromCore>() => {
                    match message? {
                        FromCore::Pong => peer = PeerClock::Untold,
                        FromCore::Clock(told) => {
                            peer = PeerClock::Told(ClockReading::new(told, self.clock.now()));
                        }
                        message => if self.inbox.send(message).await.is_err() {
                            return Ok(());
                        },
                    }
                    if !waiting.is_empty() {
                        stream.send(take_calls(&mut waiting, &peer)?).await?;
                    }
                }
                () = tokio::time::sleep_until(ping) => {
                    stream.send([encode(&ToCore::Ping)?]).await?;
                    ping = Instant::now() + PING_PAUSE;
                }
            }
        }
    }
}
