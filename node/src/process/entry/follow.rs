//! Following the leader: where the entry's copy comes from.
//!
//! Any core host tells who leads. The entry stays with the leader until its connection breaks or
//! falls silent, and then asks all core hosts at once. A copy that the leader does not confirm in
//! time is not used, unless each core host has shown that none in reach leads.

use super::{
    Entry,
    questions::{Question, Questions, Reply},
};
use crate::{
    connection::message::{MessageError, MessageStream, encode, encode_greeting},
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
        wire_level::WireLevel,
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
/// Pause between two questions whether the copy is current while it may not be used. A leader without
/// its lease, as one that was just elected, leaves them unanswered.
const CONFIRM_PAUSE: Duration = Duration::from_millis(100);
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
    level: WireLevel,
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
            Ok(()) => stream.receive_greeting::<FromCore>().await,
            Err(error) => Err(error),
        };
        let answer = match received {
            Ok((FromCore::Members { leader, nodes }, level)) => Ok(Answer {
                stream,
                level,
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
    let Ok(greeting) = encode_greeting(&greeting) else {
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
        if let Some((host, level, stream)) =
            find_leader(&entry, &asker, hosts, &mut directory).await
        {
            let address = SocketAddr::new(address_of(host), settings.port);
            let mut follower = Follower::new(&entry, address, level, &mut directory);
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
) -> Option<(Node, WireLevel, MessageStream)> {
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
                    return Some((host, answer.level, answer.stream));
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
    /// Level of the messages that the leader knows.
    level: WireLevel,
    directory: &'a mut Directory,
    following: bool,
    /// Permits that were asked for.
    questions: Questions,
}

impl<'a> Follower<'a> {
    fn new(
        entry: &'a Arc<Entry>,
        address: SocketAddr,
        level: WireLevel,
        directory: &'a mut Directory,
    ) -> Self {
        Follower {
            entry,
            address,
            level,
            directory,
            following: false,
            questions: Questions::default(),
        }
    }

    /// Follows until the connection breaks or falls silent.
    async fn run(&mut self, mut stream: MessageStream) -> Result<Infallible, MessageError> {
        let mut report = interval(REPORT_PAUSE);
        report.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut confirm = interval(CONFIRM_PAUSE);
        confirm.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let (_, mut asked) = mpsc::channel::<Question>(1);
        loop {
            tokio::select! {
                message = stream.receive::<FromCore>() => {
                    let message = message?;
                    let (had_level, was_following) = (self.level, self.following);
                    // Whoever sends a message knows what came with it.
                    self.level = self.level.max(message.level());
                    self.take(message);
                    if self.following && !was_following {
                        // A new copy is not used before it is confirmed.
                        report.reset_immediately();
                        // A new leader knows no limits, and has to before it gives permits.
                        if let Some(limits) = self.limit_reports()? {
                            stream.send([limits]).await?;
                        }
                        asked = self.entry.open_leader();
                    }
                    if self.following && (!was_following || had_level < self.level) {
                        stream.send(self.known()?).await?;
                    }
                }
                Some(question) = asked.recv() => {
                    let message = self.questions.push(question, self.level);
                    stream.send(self.encode_known(message)?).await?;
                }
                () = self.entry.news.notified(), if self.following => {
                    stream.send(self.news()?).await?;
                }
                _ = report.tick(), if self.following => stream.send(self.report()?).await?,
                _ = confirm.tick(), if self.following && self.needs_confirmation() => {
                    stream.send([encode(&ToCore::Confirm(self.entry.clock.now()))?]).await?;
                }
            }
        }
    }

    /// Whether the copy is there and may not be used yet.
    fn needs_confirmation(&self) -> bool {
        let router = self.entry.router();
        router.has_desired_state() && !router.may_serve(self.entry.clock.now())
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

    /// What a new leader has to know of suspected requests and of this entry.
    fn known(&self) -> Result<Vec<Bytes>, MessageError> {
        let suspects = {
            let now = self.entry.clock.now();
            self.entry.router().breaks().report(now)
        };
        let peer = ToCore::Peer(self.entry.as_peer());
        self.encode_known([ToCore::Suspects(suspects), peer])
    }

    /// What the leader has to know at once.
    fn news(&self) -> Result<Vec<Bytes>, MessageError> {
        let now = self.entry.clock.now();
        let (limits, suspects, trials) = {
            let mut router = self.entry.router();
            (
                router.take_limit_changes(now),
                router.breaks().take_news(now),
                router.breaks().take_ended_trials(),
            )
        };
        let peer = ToCore::Peer(self.entry.as_peer());
        // A trial ends after the report of what it broke.
        let (suspects, trials) = (ToCore::Suspects(suspects), ToCore::TrialsEnded(trials));
        self.encode_known([suspects, trials, peer, ToCore::Limits(limits)])
    }

    /// Encodes the messages that the leader knows and that say anything.
    fn encode_known(
        &self,
        messages: impl IntoIterator<Item = ToCore>,
    ) -> Result<Vec<Bytes>, MessageError> {
        let is_sent = |message: &ToCore| message.level() <= self.level && !message.is_empty();
        let sent = messages.into_iter().filter(is_sent);
        sent.map(|message| Ok(encode(&message)?)).collect()
    }

    /// Passes a reply on, or gives back a trial that came too late for its asker.
    fn resolve(&mut self, number: u64, reply: Reply) {
        if let Some(request) = self.questions.resolve(number, reply) {
            self.entry.router().breaks().end_trial(request);
            self.entry.notify_leader();
        }
    }

    fn take(&mut self, message: FromCore) {
        let now = self.entry.clock.now();
        match message {
            FromCore::Members { nodes, .. } => self.directory.nodes = nodes,
            FromCore::Snapshot(index, catalog) => {
                self.following = self.entry.router().install_snapshot(index, *catalog);
                self.entry.publish_limits();
                Event::LeaderFollowed.log(format_args!(
                    "leader={} index={index} taken={}",
                    self.address, self.following
                ));
            }
            FromCore::Updates(index, updates) => {
                self.entry.router().apply_updates(now, index, &updates);
                self.entry.publish_limits();
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
            FromCore::Permit(number, reply) => {
                return self.resolve(number, Reply::Permit(reply));
            }
            FromCore::Trial(number, reply) => {
                return self.resolve(number, Reply::Trial(reply));
            }
            FromCore::Suspected(list) => self.entry.router().breaks().apply_suspected(list),
            FromCore::Status(_)
            | FromCore::LimitedStatus(..)
            | FromCore::Confirmed(_)
            | FromCore::Pong
            | FromCore::Clock(_)
            | FromCore::Reply(..) => {}
        }
        self.entry.changes.notify_waiters();
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
