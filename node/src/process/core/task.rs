//! The task that owns the catalog of a core host.

use super::{
    address_of,
    feed::{Feed, LatestStatuses, Subscriber},
    feed_meter::FeedMeter,
    leading::Leading,
    node_of,
};
use crate::{
    connection::core_link::CoreLink,
    process::{
        clock::Clock,
        logging::EventLog,
        voter::{ProposeError, VoterEvent, VoterHandle},
    },
};
use bytes::Bytes;
use cornelrail_lib::{
    connection::heartbeat::Heartbeat,
    moment::Moment,
    name::Node,
    process::{
        control_call::{CallDeadline, ControlCall, ControlReply, ReceivedCall},
        event::Event,
        seeded_settings::SeededSettings,
    },
    version::{
        catalog::{Applied, Catalog, Update},
        command::Fingerprint,
        feed::{FromCore, Handshake, Peer, ToCore, TrafficReport},
        permits::{LimitReport, PermitRequest},
        suspects::SuspectReport,
        wire_level::WireLevel,
    },
};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{MissedTickBehavior, interval},
};

/// Events that wait for the task.
const EVENTS_HELD: usize = 4_096;
/// Events taken in one go.
const BURST: usize = 128;
/// Pause between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);
/// Spans that one line of the log names.
const SPANS_LOGGED: usize = 8;
/// Commands applied between two snapshots.
const SNAPSHOT_COMMANDS: u64 = 400;

/// What connections tell the task.
#[derive(Debug)]
pub enum CoreEvent {
    /// A call.
    Call(ReceivedCall, oneshot::Sender<ControlReply>, CallOrigin),
    /// An entry wants to follow.
    Follow(Subscriber),
    /// What an entry saw.
    Report(TrafficReport),
    /// Limits of targets that an entry learnt.
    Limits(Vec<LimitReport>),
    /// Requests that may have ended targets, as an entry reports them.
    Suspects(SuspectReport),
    /// How others reach the entry of this name.
    Peer(String, Peer),
    /// An entry of this name asks for a permit, with the number that the reply repeats.
    Permit(String, u64, PermitRequest),
    /// An entry of this name asks for a trial of a request that has so many ms left, with the number
    /// that the reply repeats.
    Trial(String, u64, Fingerprint, u32),
    /// Trials have ended.
    TrialsEnded(Vec<Fingerprint>),
    /// Another core host knows messages and updates up to this level.
    Level(Node, WireLevel),
    /// An entry of this name wants to know that its copy is not behind.
    Confirm(String, Moment),
    /// A command was not taken into the log, or its outcome is not known.
    Failed(u64, ProposeError),
    /// The process is to end.
    Stop(oneshot::Sender<()>),
}

/// Who made a call to this host, and until when the reply is waited for.
#[derive(Debug, Clone, Copy)]
pub enum CallOrigin {
    /// A target or an operator, which waits until this moment.
    Sender(Moment),
    /// Another core host, which passes the call on to the leader.
    Relay(CallDeadline),
}

impl CallOrigin {
    /// Until when the reply is waited for.
    fn deadline(self) -> CallDeadline {
        match self {
            CallOrigin::Sender(deadline) => CallDeadline::At(deadline),
            CallOrigin::Relay(deadline) => deadline,
        }
    }
}

/// Way to talk to the task.
#[derive(Debug, Clone)]
pub struct CoreHandle {
    tx: mpsc::Sender<CoreEvent>,
    statuses: watch::Receiver<LatestStatuses>,
    clock: Clock,
}

impl CoreHandle {
    /// The present moment by the clock of this host.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Makes a call.
    pub async fn call(&self, call: ReceivedCall, origin: CallOrigin) -> ControlReply {
        let (tx, rx) = oneshot::channel();
        self.send(CoreEvent::Call(call, tx, origin)).await;
        rx.await.unwrap_or(ControlReply::Unavailable)
    }

    /// Asks to follow; gives the messages for the entry.
    pub async fn follow(&self, name: String, level: WireLevel) -> Feed {
        let (subscriber, feed) = Feed::new(name, level, self.statuses.clone());
        self.send(CoreEvent::Follow(subscriber)).await;
        feed
    }

    /// Hands in a report of an entry.
    pub async fn report(&self, report: TrafficReport) {
        self.send(CoreEvent::Report(report)).await;
    }

    /// Hands in the limits of targets that an entry learnt.
    pub async fn report_limits(&self, reports: Vec<LimitReport>) {
        self.send(CoreEvent::Limits(reports)).await;
    }

    /// Hands in what an entry reports of requests that may have ended targets.
    pub async fn report_suspects(&self, report: SuspectReport) {
        self.send(CoreEvent::Suspects(report)).await;
    }

    /// Hands in how other entries reach an entry.
    pub async fn report_peer(&self, entry: String, peer: Peer) {
        self.send(CoreEvent::Peer(entry, peer)).await;
    }

    /// Asks for a permit for an entry, which gets the reply with its feed.
    pub async fn request_permit(&self, entry: String, number: u64, request: PermitRequest) {
        self.send(CoreEvent::Permit(entry, number, request)).await;
    }

    /// Asks for a trial for an entry, which gets the reply with its feed.
    pub async fn request_trial(&self, entry: String, number: u64, request: Fingerprint, left: u32) {
        let event = CoreEvent::Trial(entry, number, request, left);
        self.send(event).await;
    }

    /// Hands in the trials that have ended at an entry.
    pub async fn end_trials(&self, requests: Vec<Fingerprint>) {
        self.send(CoreEvent::TrialsEnded(requests)).await;
    }

    /// Hands in the level of another core host.
    pub async fn report_level(&self, node: Node, level: WireLevel) {
        self.send(CoreEvent::Level(node, level)).await;
    }

    /// Confirms to an entry, behind all that it was sent, what it has asked.
    pub async fn confirm(&self, entry: String, at: Moment) {
        self.send(CoreEvent::Confirm(entry, at)).await;
    }

    /// Ends the task and frees the data folder.
    pub async fn stop(&self) {
        let (tx, rx) = oneshot::channel();
        self.send(CoreEvent::Stop(tx)).await;
        // The way to answer is dropped with the task or before it.
        let _ = rx.await;
    }

    async fn send(&self, event: CoreEvent) {
        // A task that has ended drops the event, and with it the way to answer.
        let _ = self.tx.send(event).await;
    }
}

/// What is to be done once a command of this host is applied.
#[derive(Debug)]
pub(super) enum Then {
    /// Nothing.
    Nothing,
    /// The planned updates of a service are in; it may be planned again.
    Replan(cornelrail_lib::name::Service),
    /// The findings about requests that end targets are in; others may be recorded.
    Recorded,
    /// An operator or a target that leaves gets its answer.
    Reply(oneshot::Sender<ControlReply>),
    /// A target gets the answer to its heartbeat, once the last of its updates is applied.
    Lease(cornelrail_lib::name::Target, oneshot::Sender<ControlReply>),
}

/// State of the task.
#[derive(Debug)]
pub(super) struct Task {
    pub(super) settings: SeededSettings,
    pub(super) clock: Clock,
    pub(super) voter: VoterHandle,
    pub(super) catalog: Catalog,
    pub(super) index: u64,
    pub(super) leading: Option<Leading>,
    pub(super) subscribers: Vec<Subscriber>,
    pub(super) statuses: watch::Sender<LatestStatuses>,
    pub(super) leader: Option<Node>,
    pub(super) members: Vec<Node>,
    links: HashMap<Node, CoreLink>,
    /// Levels of other core hosts, as they told them last.
    levels: HashMap<Node, WireLevel>,
    replies_tx: mpsc::Sender<FromCore>,
    events_tx: mpsc::Sender<CoreEvent>,
    relays: HashMap<u64, oneshot::Sender<ControlReply>>,
    proposals: BTreeMap<u64, Then>,
    number: u64,
    snapshot: u64,
    pub(super) fresh: Vec<Update>,
    pub(super) copy: Option<(u64, Bytes)>,
    pub(super) meter: FeedMeter,
    /// Entries that other entries know of, as they were told.
    pub(super) peers: Vec<Peer>,
    pub(super) peers_sent: Moment,
}

/// Starts the task.
pub(super) fn start(
    settings: SeededSettings,
    clock: Clock,
    voter: VoterHandle,
    voter_events: mpsc::Receiver<VoterEvent>,
) -> CoreHandle {
    let (tx, rx) = mpsc::channel(EVENTS_HELD);
    let (replies_tx, replies) = mpsc::channel(EVENTS_HELD);
    let (statuses_tx, statuses) = watch::channel(LatestStatuses::default());
    let task = Task {
        settings,
        clock,
        voter,
        catalog: Catalog::default(),
        index: 0,
        leading: None,
        subscribers: Vec::new(),
        statuses: statuses_tx,
        leader: None,
        members: Vec::new(),
        links: HashMap::new(),
        levels: HashMap::new(),
        replies_tx,
        events_tx: tx.clone(),
        relays: HashMap::new(),
        proposals: BTreeMap::new(),
        // Numbers of commands are unique over the hosts and lives of the fleet by chance alone.
        number: rand::random::<u64>() >> 1,
        snapshot: 0,
        fresh: Vec::new(),
        copy: None,
        meter: FeedMeter::default(),
        peers: Vec::new(),
        peers_sent: Moment::ZERO,
    };
    tokio::spawn(task.run(rx, replies, voter_events));
    CoreHandle {
        tx,
        statuses,
        clock,
    }
}

impl Task {
    async fn run(
        mut self,
        mut events: mpsc::Receiver<CoreEvent>,
        mut replies: mpsc::Receiver<FromCore>,
        mut voter_events: mpsc::Receiver<VoterEvent>,
    ) {
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut burst = Vec::with_capacity(BURST);
        let mut voted = Vec::with_capacity(BURST);
        loop {
            tokio::select! {
                count = voter_events.recv_many(&mut voted, BURST) => {
                    if count == 0 {
                        return;
                    }
                    for event in voted.drain(..) {
                        self.take_voter(event).await;
                    }
                }
                count = events.recv_many(&mut burst, BURST) => {
                    if count == 0 {
                        return;
                    }
                    for event in burst.drain(..) {
                        if let CoreEvent::Stop(done) = event {
                            self.voter.stop().await;
                            // Whoever asked may be gone.
                            let _ = done.send(());
                            return;
                        }
                        self.take(event).await;
                    }
                }
                Some(reply) = replies.recv() => self.take_reply(reply),
                _ = tick.tick() => self.tick().await,
            }
            self.spread();
            self.send_status();
            self.send_peers();
        }
    }

    pub(super) fn now(&self) -> Moment {
        self.clock.now()
    }

    async fn take(&mut self, event: CoreEvent) {
        match event {
            CoreEvent::Call(call, reply, origin) => self.take_call(call, reply, origin).await,
            CoreEvent::Follow(subscriber) => self.take_follower(subscriber),
            CoreEvent::Report(report) => {
                let now = self.now();
                if let Some(leading) = &mut self.leading {
                    leading.leader.record_traffic(now, report);
                }
            }
            CoreEvent::Limits(reports) => {
                let now = self.now();
                if let Some(leading) = &mut self.leading {
                    leading.leader.record_limits(now, &self.catalog, &reports);
                }
            }
            CoreEvent::Peer(entry, peer) => self.take_peer(&entry, peer),
            CoreEvent::Suspects(report) => self.take_suspects(&report),
            CoreEvent::Permit(entry, number, request) => {
                self.give_permit(&entry, number, request).await;
            }
            CoreEvent::Trial(entry, number, request, left) => {
                self.give_trial(&entry, number, request, left).await;
            }
            CoreEvent::TrialsEnded(requests) => {
                if let Some(leading) = &mut self.leading {
                    leading.leader.suspects().end_trials(&requests);
                }
            }
            CoreEvent::Level(node, level) => drop(self.levels.insert(node, level)),
            CoreEvent::Confirm(entry, at) => self.confirm(&entry, at).await,
            CoreEvent::Failed(number, error) => self.fail(number, error),
            CoreEvent::Stop(_) => {}
        }
    }

    async fn take_call(
        &mut self,
        received: ReceivedCall,
        reply: oneshot::Sender<ControlReply>,
        origin: CallOrigin,
    ) {
        let ReceivedCall { call, keyless } = received;
        if let (true, ControlCall::Heartbeat(heartbeat)) = (keyless, &call)
            && let Some(answer) = self.reject_keyless(heartbeat)
        {
            // The asker may have given up.
            let _ = reply.send(answer);
            return;
        }
        if self.leading.is_some() {
            self.lead_call(call, origin.deadline(), reply).await;
            return;
        }
        match (self.leader, origin) {
            (Some(leader), CallOrigin::Sender(deadline))
                if leader != node_of(self.settings.address) =>
            {
                self.number += 1;
                let number = self.number;
                self.relays.retain(|_, reply| !reply.is_closed());
                self.relays.insert(number, reply);
                self.link(leader).call(number, deadline, call);
            }
            // The asker goes to another host, or asks again.
            _ => drop(reply.send(ControlReply::Unavailable)),
        }
    }

    /// Answers a heartbeat that does not say which keys its target holds, unless its service has none.
    /// The leader cannot tell it from one of a target that holds no keys.
    fn reject_keyless(&self, heartbeat: &Heartbeat) -> Option<ControlReply> {
        let service = &heartbeat.service;
        match self.catalog.desired.service(service.as_str()) {
            Some(spec) if !spec.keyed => None,
            Some(_) => Some(ControlReply::Refused(format!(
                "the required fields `holds` and `released` are missing; the service `{service}` is \
                 keyed, so a target without keys sends empty lists"
            ))),
            // The leader knows whether there is such a service.
            None if self.leading.is_some() => None,
            None => Some(ControlReply::Unavailable),
        }
    }

    fn take_reply(&mut self, reply: FromCore) {
        if let FromCore::Reply(number, reply) = reply
            && let Some(asker) = self.relays.remove(&number)
        {
            // The asker may have given up.
            let _ = asker.send(reply);
        }
    }

    async fn take_voter(&mut self, event: VoterEvent) {
        match event {
            VoterEvent::Send { to, message } => self.link(to).send(ToCore::Raft(message)),
            VoterEvent::Committed { index, command, .. } => self.commit(index, &command).await,
            VoterEvent::Install { index, snapshot } => self.install(index, &snapshot),
            VoterEvent::Role { leader, term, ours } => self.change_role(leader, term, ours).await,
            VoterEvent::Failed(error) => Event::StoreFailed.log(format_args!("why={error}")),
            VoterEvent::Recovered => {
                Event::StoreRecovered.log(format_args!("index={}", self.index))
            }
        }
    }

    fn link(&mut self, node: Node) -> &CoreLink {
        let address = SocketAddr::new(address_of(node), self.settings.port);
        let own = node_of(self.settings.address);
        let (inbox, clock) = (&self.replies_tx, self.clock);
        self.links.entry(node).or_insert_with(|| {
            CoreLink::start(address, Handshake::Core { node: own }, inbox.clone(), clock)
        })
    }

    async fn commit(&mut self, index: u64, command: &[u8]) {
        self.index = index;
        if command.is_empty() {
            self.refresh_members().await;
            return;
        }
        let (number, update): (u64, Update) = match postcard::from_bytes(command) {
            Ok(decoded) => decoded,
            Err(error) => {
                Event::StoreDamaged.log(format_args!("index={index} why={error}"));
                return;
            }
        };
        let applied = self.catalog.apply(&update);
        log_update(index, &update, &applied);
        self.fresh.push(update);
        if let Some(then) = self.proposals.remove(&number) {
            self.carry_on(then, &applied);
            self.end_change(number);
        }
        if let Some(leading) = &mut self.leading {
            leading.leader.hasten_status();
        }
        if index >= self.snapshot + SNAPSHOT_COMMANDS {
            self.snapshot = index;
            self.take_snapshot().await;
        }
    }

    async fn take_snapshot(&mut self) {
        match self.catalog.encode_state() {
            Ok(state) => {
                Event::SnapshotTaken.log(format_args!(
                    "index={} bytes={}",
                    self.index,
                    state.len()
                ));
                self.voter.snapshot(self.index, state).await;
            }
            Err(error) => Event::StoreFailed.log(format_args!("why={error}")),
        }
    }

    fn install(&mut self, index: u64, snapshot: &[u8]) {
        match Catalog::decode_state(snapshot) {
            Ok(catalog) => {
                self.catalog = catalog;
                self.index = index;
                self.snapshot = index;
                self.fresh.clear();
                self.subscribers.clear();
                Event::SnapshotInstalled.log(format_args!("index={index}"));
            }
            Err(error) => Event::StoreDamaged.log(format_args!("index={index} why={error}")),
        }
    }

    async fn change_role(&mut self, leader: Option<Node>, term: u64, ours: bool) {
        self.leader = leader;
        self.refresh_members().await;
        let name = leader.map_or("none".to_owned(), |node| address_of(node).to_string());
        Event::LeaderChanged.log(format_args!("leader={name} term={term} ours={ours}"));
        match (ours, self.leading.is_some()) {
            (true, false) => {
                let leading = Leading::new(&self.settings, self.now(), &self.catalog);
                self.leading = Some(leading);
            }
            (false, true) => self.step_down(),
            _ => {}
        }
    }

    fn step_down(&mut self) {
        self.leading = None;
        for (_, then) in std::mem::take(&mut self.proposals) {
            then.give_up();
        }
        // The entries look for the new leader.
        self.subscribers.clear();
    }

    async fn refresh_members(&mut self) {
        if let Some(status) = self.voter.status().await {
            let members = status.membership.members().map(|member| member.node);
            let former = std::mem::replace(&mut self.members, members.collect());
            self.members.dedup();
            if self.members != former {
                self.send_members();
            }
            let members = &self.members;
            let leader = self.leader;
            self.links
                .retain(|node, _| members.contains(node) || leader == Some(*node));
        }
    }

    /// Whether all core hosts that have told their level take updates of a level in. Others pass them
    /// over.
    pub(super) fn takes(&self, wanted: WireLevel) -> bool {
        let levels = self.members.iter().filter_map(|node| self.levels.get(node));
        levels.min().is_none_or(|level| *level >= wanted)
    }

    /// Offers an update to the log.
    pub(super) fn propose(&mut self, update: &Update, then: Then) {
        self.number += 1;
        let number = self.number;
        let command = match postcard::to_stdvec(&(number, update)) {
            Ok(command) => command,
            Err(error) => {
                Event::StoreFailed.log(format_args!("why={error}"));
                return then.give_up();
            }
        };
        self.proposals.insert(number, then);
        if let (Update::Desired(change), Some(leading)) = (update, &mut self.leading) {
            leading.in_flight.begin(number, change);
        }
        let (voter, events) = (self.voter.clone(), self.events_tx.clone());
        tokio::spawn(async move {
            if let Err(error) = voter.propose(command).await {
                // A task that has ended needs no news.
                let _ = events.send(CoreEvent::Failed(number, error)).await;
            }
        });
    }

    /// Offers updates to the log, the last of them with what is to be done once it is applied. Those that
    /// a core host of an earlier release would pass over are left out. Gives `then` back without any.
    pub(super) fn propose_all(&mut self, mut updates: Vec<Update>, then: Then) -> Option<Then> {
        updates.retain(|update| self.takes(update.level()));
        let Some(last) = updates.pop() else {
            return Some(then);
        };
        for update in updates {
            self.propose(&update, Then::Nothing);
        }
        self.propose(&last, then);
        None
    }

    fn fail(&mut self, number: u64, error: ProposeError) {
        if let Some(then) = self.proposals.remove(&number) {
            Event::ProposalFailed.log(format_args!("number={number} why={error}"));
            match (&then, &mut self.leading) {
                (Then::Replan(service), Some(leading)) => leading.leader.finish_plan(service),
                (Then::Recorded, Some(leading)) => leading.is_recording = false,
                _ => {}
            }
            then.give_up();
            self.end_change(number);
        }
    }
}

impl Then {
    /// Answers that the outcome is not known.
    fn give_up(self) {
        match self {
            Then::Reply(reply) | Then::Lease(_, reply) => {
                // The asker may have given up.
                let _ = reply.send(ControlReply::Unavailable);
            }
            Then::Nothing | Then::Replan(_) | Then::Recorded => {}
        }
    }
}

fn log_update(index: u64, update: &Update, applied: &Applied) {
    match (update, applied) {
        (Update::Desired(change), Applied::Changed { items }) => Event::DesiredChanged.log(
            format_args!("index={index} sent={} changed={items}", change.len()),
        ),
        (Update::Desired(_), Applied::Refused(error)) => {
            Event::DesiredRefused.log(format_args!("index={index} why={error}"));
        }
        (Update::ZoneOut(zone), _) => Event::ZoneOut.log(format_args!("index={index} zone={zone}")),
        (Update::ZoneIn(zone), _) => Event::ZoneIn.log(format_args!("index={index} zone={zone}")),
        (Update::Join(record), Applied::Joined(id)) => Event::TargetAdmitted.log(format_args!(
            "index={index} id={id} target={} life={} service={} address={} zone={}",
            record.name, record.incarnation, record.service, record.address, record.zone
        )),
        (Update::Leave(id), _) => Event::TargetLeaving.log(format_args!("index={index} id={id}")),
        (Update::Remove(id), _) => Event::TargetLost.log(format_args!("index={index} id={id}")),
        (Update::Move { service, spans }, Applied::Changed { items }) => {
            let spans = spans.iter().map(|(span, next)| format!("{span}:{next}"));
            let spans: Vec<_> = spans.take(SPANS_LOGGED).collect();
            Event::MoveBegun.log(format_args!(
                "index={index} service={service} spans={items} first={}",
                spans.join(",")
            ));
        }
        (Update::Assign { service, grants }, Applied::Changed { items }) => {
            let spans = grants.iter().map(|g| format!("{}:{}", g.span, g.owner));
            let spans: Vec<_> = spans.take(SPANS_LOGGED).collect();
            Event::MoveEnded.log(format_args!(
                "index={index} service={service} spans={items} first={}",
                spans.join(",")
            ));
        }
        _ => {}
    }
}
