//! Following the leader: where the entry's copy comes from.
//!
//! Any core host tells who leads. The entry stays with the leader until its connection breaks or
//! falls silent, and then asks all core hosts at once. A copy that the leader does not confirm in
//! time is not used, unless each core host has shown that none in reach leads.

use super::{
    Entry,
    permits::{Question, Questions},
};
use crate::{
    connection::message::{MessageError, MessageStream, encode},
    process::{
        core::{address_of, node_of},
        logging::EventLog,
    },
};
use bytes::Bytes;
use cornelrail_lib::{
    name::Node,
    process::{event::Event, seeded_settings::SeededSettings},
    version::{
        feed::{FromCore, Handshake, ToCore},
        leader_search::{Finding, LeaderSearch},
        suspects::SuspectReport,
    },
};
use futures_util::{StreamExt, stream::FuturesUnordered};
use std::{
    convert::Infallible,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tokio::{
    sync::{mpsc, watch},
    time::{MissedTickBehavior, interval, sleep},
};

/// Pause between two reports.
const REPORT_PAUSE: Duration = Duration::from_millis(500);
/// A leader that sends nothing for so long is left: four pulses.
const SILENCE: Duration = Duration::from_millis(1_000);
/// Pause after all known core hosts were asked in vain.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// Core hosts that this entry knows.
#[derive(Debug, Default)]
struct Directory {
    leader: Option<Node>,
    nodes: Vec<Node>,
}

impl Directory {
    /// Hosts to ask, the latest leader first.
    fn hosts(&self, seeds: &[IpAddr]) -> Vec<Node> {
        let known = self.leader.iter().chain(&self.nodes).copied();
        known
            .chain(seeds.iter().map(|seed| node_of(*seed)))
            .collect()
    }
}

/// How this entry asks core hosts.
struct Asker {
    port: u16,
    greeting: Bytes,
}

/// Answer of a core host, and the connection on which it came.
struct Answer {
    stream: MessageStream,
    leader: Option<Node>,
    nodes: Vec<Node>,
}

impl Asker {
    /// Asks a host who leads.
    async fn ask(&self, host: Node) -> (Node, Result<Answer, Finding>) {
        let address = SocketAddr::new(address_of(host), self.port);
        let Ok(mut stream) = MessageStream::connect(address, SILENCE).await else {
            return (host, Err(Finding::Unreachable));
        };
        let sent = stream.send([self.greeting.clone()]).await;
        let received = match sent {
            Ok(()) => stream.receive::<FromCore>().await,
            Err(error) => Err(error),
        };
        let answer = match received {
            Ok(FromCore::Members { leader, nodes }) => Ok(Answer {
                stream,
                leader,
                nodes,
            }),
            Ok(_) => Err(Finding::Unanswered),
            Err(error) => {
                log_refusal(address, &error);
                Err(Finding::Unanswered)
            }
        };
        (host, answer)
    }
}

fn log_refusal(address: SocketAddr, error: &MessageError) {
    if let MessageError::Decode(_) | MessageError::Damaged = error {
        Event::PeerRefused.log(format_args!("address={address} why={error}"));
    }
}

/// Follows for ever.
pub(super) async fn run(
    entry: Arc<Entry>,
    settings: SeededSettings,
    seeds: watch::Receiver<Vec<IpAddr>>,
) {
    let greeting = Handshake::Entry {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
    };
    let Ok(greeting) = encode(&greeting) else {
        return;
    };
    let asker = Asker {
        port: settings.port,
        greeting,
    };
    let mut directory = Directory::default();
    loop {
        let hosts = directory.hosts(&seeds.borrow());
        let mut has_followed = false;
        if let Some((host, stream)) = find_leader(&entry, &asker, hosts, &mut directory).await {
            let address = SocketAddr::new(address_of(host), settings.port);
            let mut follower = Follower::new(&entry, address, &mut directory);
            let Err(error) = follower.run(stream).await;
            log_refusal(address, &error);
            has_followed = follower.following;
        }
        if !has_followed {
            sleep(ROUND_PAUSE).await;
        }
    }
}

/// Asks all hosts at once, and those that they name. Returns the first that leads.
async fn find_leader(
    entry: &Entry,
    asker: &Asker,
    hosts: Vec<Node>,
    directory: &mut Directory,
) -> Option<(Node, MessageStream)> {
    let mut search = LeaderSearch::new(entry.clock.now());
    let mut asking = FuturesUnordered::new();
    for host in hosts {
        if search.ask(host) {
            asking.push(asker.ask(host));
        }
    }
    while let Some((host, answer)) = asking.next().await {
        let finding = match answer {
            Ok(answer) => {
                let named = answer
                    .leader
                    .into_iter()
                    .chain(answer.nodes.iter().copied());
                for other in named {
                    if search.ask(other) {
                        asking.push(asker.ask(other));
                    }
                }
                if !answer.nodes.is_empty() {
                    directory.nodes = answer.nodes;
                }
                if answer.leader == Some(host) {
                    directory.leader = answer.leader;
                    entry.router().observe_leader();
                    return Some((host, answer.stream));
                }
                answer.leader.map_or(Finding::Leaderless, Finding::Leader)
            }
            Err(finding) => finding,
        };
        if let Finding::Leader(_) = finding {
            // Also one that this entry cannot reach may acknowledge changes.
            entry.router().observe_leader();
        }
        search.record(finding);
    }
    if let Some(since) = search.leaderless_since() {
        entry.router().observe_no_leader(since);
    }
    None
}

/// Following of one leader.
struct Follower<'a> {
    entry: &'a Arc<Entry>,
    address: SocketAddr,
    directory: &'a mut Directory,
    following: bool,
    /// Permits that were asked for.
    questions: Questions,
}

impl<'a> Follower<'a> {
    fn new(entry: &'a Arc<Entry>, address: SocketAddr, directory: &'a mut Directory) -> Self {
        Follower {
            entry,
            address,
            directory,
            following: false,
            questions: Questions::default(),
        }
    }

    /// Follows until the connection breaks or falls silent.
    async fn run(&mut self, mut stream: MessageStream) -> Result<Infallible, MessageError> {
        let mut report = interval(REPORT_PAUSE);
        report.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let (_, mut asked) = mpsc::channel::<Question>(1);
        loop {
            tokio::select! {
                message = stream.receive::<FromCore>() => {
                    let was_following = self.following;
                    self.take(message?);
                    if self.following && !was_following {
                        // A new copy is not used before it is confirmed.
                        report.reset_immediately();
                        // A new leader knows no limits, and has to before it gives permits.
                        if let Some(limits) = self.limit_reports()? {
                            stream.send([limits]).await?;
                        }
                        let now = self.entry.clock.now();
                        let suspects = self.entry.router().breaks().report(now);
                        let mut known = suspects_message(suspects)?;
                        known.push(encode(&ToCore::Peer(self.entry.as_peer()))?);
                        stream.send(known).await?;
                        asked = self.entry.open_leader();
                    }
                }
                Some(question) = asked.recv() => {
                    let request = question.request;
                    let number = self.questions.push(question);
                    stream.send([encode(&ToCore::Permit(number, request))?]).await?;
                }
                () = self.entry.news.notified(), if self.following => {
                    stream.send(self.news()?).await?;
                }
                _ = report.tick(), if self.following => stream.send(self.report()?).await?,
            }
        }
    }

    /// What this entry tells and asks the leader.
    fn report(&self) -> Result<Vec<Bytes>, MessageError> {
        let now = self.entry.clock.now();
        let report = self.entry.router().take_report(now);
        let mut messages = vec![
            encode(&ToCore::Report(report))?,
            encode(&ToCore::Confirm(now))?,
        ];
        messages.extend(self.limit_reports()?);
        Ok(messages)
    }

    /// All limits that this entry knows; `None` without any.
    fn limit_reports(&self) -> Result<Option<Bytes>, MessageError> {
        let limits = self.entry.router().limit_reports(self.entry.clock.now());
        let message = (!limits.is_empty()).then(|| encode(&ToCore::Limits(limits)));
        Ok(message.transpose()?)
    }

    /// What the leader has to know at once.
    fn news(&self) -> Result<Vec<Bytes>, MessageError> {
        let now = self.entry.clock.now();
        let (limits, suspects) = {
            let mut router = self.entry.router();
            (
                router.take_limit_changes(now),
                router.breaks().take_news(now),
            )
        };
        let mut messages = suspects_message(suspects)?;
        messages.push(encode(&ToCore::Peer(self.entry.as_peer()))?);
        if !limits.is_empty() {
            messages.push(encode(&ToCore::Limits(limits))?);
        }
        Ok(messages)
    }

    fn take(&mut self, message: FromCore) {
        let now = self.entry.clock.now();
        match message {
            FromCore::Members { nodes, .. } => self.directory.nodes = nodes,
            FromCore::Snapshot(index, catalog) => {
                self.following = self.entry.router().install_snapshot(index, *catalog);
                Event::LeaderFollowed.log(format_args!(
                    "leader={} index={index} taken={}",
                    self.address, self.following
                ));
            }
            FromCore::Updates(index, updates) => {
                self.entry.router().apply_updates(now, index, &updates);
            }
            FromCore::Confirmed(at) if self.following => self.entry.router().confirm(at),
            FromCore::Status(status) if self.following => {
                let mut router = self.entry.router();
                router.apply_limits(now, &[]);
                router.apply_status(now, status);
            }
            FromCore::LimitedStatus(status, limits) if self.following => {
                let mut router = self.entry.router();
                router.apply_limits(now, &limits);
                router.apply_status(now, status);
            }
            FromCore::Quarantined(list) => {
                self.entry.router().breaks().apply_quarantine(now, &list);
            }
            FromCore::Peers(peers) => {
                let mut router = self.entry.router();
                router.peers().update(peers, self.entry.address);
            }
            FromCore::Permit(number, reply) => return self.questions.resolve(number, reply),
            FromCore::Status(_)
            | FromCore::LimitedStatus(..)
            | FromCore::Confirmed(_)
            | FromCore::Pong
            | FromCore::Reply(..) => {}
        }
        self.entry.changes.notify_waiters();
    }
}

/// Encodes a report, unless there is nothing to report.
fn suspects_message(report: SuspectReport) -> Result<Vec<Bytes>, MessageError> {
    match report.is_empty() {
        true => Ok(Vec::new()),
        false => Ok(vec![encode(&ToCore::Suspects(report))?]),
    }
}

impl Drop for Follower<'_> {
    fn drop(&mut self) {
        self.entry.close_leader();
        if self.following {
            let index = self.entry.router().index().unwrap_or_default();
            Event::LeaderLost.log(format_args!("leader={} index={index}", self.address));
        }
    }
}
