//! Connections that other processes of the fleet open to a core host.

use super::task::{CallOrigin, CoreHandle};
use crate::{
    connection::message::{MessageError, MessageStream, encode},
    process::{logging::EventLog, voter::VoterHandle},
};
use cornelrail_lib::{
    name::Node,
    process::{
        control_call::{CallDeadline, ControlCall, ControlReply},
        event::Event,
    },
    version::{
        feed::{FromCore, Handshake, ToCore},
        wire_level::WireLevel,
    },
};
use std::time::Duration;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::sleep,
};

/// Time for the first message, and for the next one: entries report several times a second.
const SILENCE: Duration = Duration::from_secs(5);
/// Answers that wait for a connection.
const REPLIES_HELD: usize = 1_024;
/// Pause after the system refused to accept, such as without descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections for ever.
pub(super) async fn run(listener: TcpListener, voter: VoterHandle, core: CoreHandle) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(admit(stream, voter.clone(), core.clone()))),
            Err(error) => {
                Event::PeerRefused.log(format_args!("why={error}"));
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn admit(stream: TcpStream, voter: VoterHandle, core: CoreHandle) {
    let address = stream.peer_addr();
    let Ok(mut stream) = MessageStream::new(stream, SILENCE) else {
        return;
    };
    let ended = match stream.receive_greeting().await {
        Ok((Handshake::Core { node }, level)) => {
            core.report_level(node, level).await;
            serve_core(stream, (node, level), &voter, &core).await
        }
        Ok((Handshake::Entry { name, .. }, level)) => serve_entry(stream, name, level, &core).await,
        Err(error) => Err(error),
    };
    if let (Err(error @ (MessageError::Decode(_) | MessageError::Damaged)), Ok(address)) =
        (ended, address)
    {
        Event::PeerRefused.log(format_args!("address={address} why={error}"));
    }
}

/// Takes messages of another core host, and answers the calls that it passes on.
async fn serve_core(
    mut stream: MessageStream,
    (node, level): (Node, WireLevel),
    voter: &VoterHandle,
    core: &CoreHandle,
) -> Result<(), MessageError> {
    let pass_on = |number, call: ControlCall, deadline, replies: &mpsc::Sender<_>| {
        let (core, replies) = (core.clone(), replies.clone());
        tokio::spawn(async move {
            let reply = core.call(call.into(), CallOrigin::Relay(deadline)).await;
            // Without the connection the asker asks again.
            let _ = replies.send((number, reply)).await;
        });
    };
    let (replies_tx, mut replies) = mpsc::channel::<(u64, ControlReply)>(REPLIES_HELD);
    loop {
        tokio::select! {
            message = stream.receive::<ToCore>() => {
                match message? {
                    ToCore::Raft(message) => voter.receive(node, message),
                    ToCore::Call(number, call) => {
                        pass_on(number, call, CallDeadline::Unknown, &replies_tx);
                    }
                    ToCore::TimedCall { number, deadline, call } => {
                        pass_on(number, call, CallDeadline::At(deadline), &replies_tx);
                    }
                    ToCore::Ping => {
                        let answer = match level >= WireLevel::DEADLINES {
                            true => FromCore::Clock(core.now()),
                            false => FromCore::Pong,
                        };
                        stream.send([encode(&answer)?]).await?;
                    }
                    ToCore::Report(_)
                    | ToCore::Confirm(_)
                    | ToCore::Limits(_)
                    | ToCore::Suspects(_)
                    | ToCore::Peer(_)
                    | ToCore::Permit(..)
                    | ToCore::Trial(..)
                    | ToCore::TrialsEnded(_) => {}
                }
            }
            Some((number, reply)) = replies.recv() => {
                stream.send([encode(&FromCore::Reply(number, reply))?]).await?;
            }
        }
    }
}

/// Feeds an entry and takes its reports.
async fn serve_entry(
    mut stream: MessageStream,
    name: String,
    level: WireLevel,
    core: &CoreHandle,
) -> Result<(), MessageError> {
    let mut feed = core.follow(name.clone(), level).await;
    loop {
        tokio::select! {
            messages = feed.next() => match messages {
                Some(messages) => stream.send(messages).await?,
                None => return Ok(()),
            },
            message = stream.receive::<ToCore>() => {
                match message? {
                    ToCore::Report(report) => core.report(report).await,
                    ToCore::Confirm(at) => core.confirm(name.clone(), at).await,
                    ToCore::Limits(reports) => core.report_limits(reports).await,
                    ToCore::Suspects(report) => core.report_suspects(report).await,
                    ToCore::Peer(peer) => core.report_peer(name.clone(), peer).await,
                    ToCore::Trial(number, request, left) => {
                        core.request_trial(name.clone(), number, request, left).await;
                    }
                    ToCore::TrialsEnded(requests) => core.end_trials(requests).await,
                    ToCore::Permit(number, request) => {
                        core.request_permit(name.clone(), number, request).await;
                    }
                    ToCore::Ping => stream.send([encode(&FromCore::Pong)?]).await?,
                    ToCore::Raft(_) | ToCore::Call(..) | ToCore::TimedCall { .. } => {}
                }
            }
        }
    }
}
