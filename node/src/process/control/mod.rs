//! Task that owns this entry's copy of the replicated state, its lease and, while it leads, the
//! controller of the fleet.

mod beat;
mod leading;
mod operators;
mod replica;

use self::{leading::Leading, replica::Replica};
use crate::{
    connection::peer::PeerLink,
    process::{
        clock::Clock,
        logging::EventLog,
        operator::OperatorCall,
        protocol::{Call, Control, NoteCall, Reply},
        voter::{VoterEvent, VoterHandle},
    },
    request::home_handle::HomeHandle,
    version::view::View,
};
use cornelrail_lib::{
    connection::lease::EntryLease,
    moment::Moment,
    name::{Incarnation, Node},
    process::{event::Event, operator_api::NoteAnswer, settings::Settings},
    request::quarantine::Crash,
    version::{command::Command, fleet::Applied},
};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{MissedTickBehavior, interval},
};

const MESSAGES_HELD: usize = 4_096;
/// Commands between two snapshots of the state.
const SNAPSHOT_COMMANDS: u64 = 1_000;
/// Pause between two looks of the leader at the fleet.
const LEADER_PAUSE: Duration = Duration::from_millis(20);
/// Time that a call to the leader may take.
const LEADER_CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// What the control task is told.
enum ControlMessage {
    Call {
        call: Call,
        reply: oneshot::Sender<Reply>,
    },
    Notice(Control),
    Beaten {
        sent: Moment,
        to: Node,
        reply: Option<Reply>,
    },
    Proposed {
        index: Option<u64>,
        result: Option<oneshot::Sender<Applied>>,
    },
    Depart(oneshot::Sender<()>),
    Surrender,
}

/// Handle of the control task.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    tx: mpsc::Sender<ControlMessage>,
}

impl std::fmt::Debug for ControlMessage {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ControlMessage")
    }
}

impl ControlHandle {
    /// Hands a call over and waits for the reply; `None` if the task has stopped.
    pub async fn call(&self, call: Call) -> Option<Reply> {
        let (reply, rx) = oneshot::channel();
        self.tx
            .send(ControlMessage::Call { call, reply })
            .await
            .ok()?;
        rx.await.ok()
    }

    /// Hands a one-way message over.
    pub async fn notice(&self, control: Control) {
        // A stopped task needs no messages.
        let _ = self.tx.send(ControlMessage::Notice(control)).await;
    }

    /// Asks the leader to give the targets that this entry commands another home, and waits until it
    /// has.
    pub async fn depart(&self) {
        let (tx, rx) = oneshot::channel();
        if self.tx.send(ControlMessage::Depart(tx)).await.is_ok() {
            // A stopped task drops the sender.
            let _ = rx.await;
        }
    }

    /// Gives this entry's lease up, so that it starts no new work.
    pub async fn surrender(&self) {
        let _ = self.tx.send(ControlMessage::Surrender).await;
    }
}

/// Channels that the control task reads besides its own.
#[derive(Debug)]
pub struct Inputs {
    /// Events of the voter, on hosts with a disk.
    pub voter: Option<mpsc::Receiver<VoterEvent>>,
    /// Questions of operators.
    pub operators: mpsc::Receiver<OperatorCall>,
    /// Crashes that the home task saw.
    pub crashes: mpsc::UnboundedReceiver<Crash>,
    /// Wishes of the home task for an early report.
    pub nudges: mpsc::Receiver<()>,
}

/// What the control task works with.
#[derive(Debug)]
pub struct Setup {
    /// Settings of this entry.
    pub settings: Arc<Settings>,
    /// Clock of the process.
    pub clock: Clock,
    /// This life of the entry.
    pub incarnation: Incarnation,
    /// Where the state is published.
    pub view: watch::Sender<View>,
    /// Links to the other entries.
    pub peers: Arc<BTreeMap<Node, PeerLink>>,
    /// The home task.
    pub home: HomeHandle,
    /// The voter, on hosts with a disk.
    pub voter: Option<VoterHandle>,
}

#[derive(Debug)]
struct Waiting {
    index: u64,
    result: oneshot::Sender<Applied>,
}

struct ControlTask {
    setup: Setup,
    tx: mpsc::Sender<ControlMessage>,
    replica: Replica,
    lease: EntryLease,
    held: bool,
    surrendered: bool,
    /// Whether the data folder takes no writes at present.
    disk_failed: bool,
    departing: Option<oneshot::Sender<()>>,
    departed: bool,
    leader: Option<Node>,
    term: u64,
    leading: Option<Leading>,
    waiting: Vec<Waiting>,
    snapshot_index: u64,
    turn: usize,
}

/// Makes the task's handle and the channel that it reads.
pub fn channel() -> (ControlHandle, ControlChannel) {
    let (tx, rx) = mpsc::channel(MESSAGES_HELD);
    (ControlHandle { tx: tx.clone() }, ControlChannel { tx, rx })
}

/// The control task's own end of its channel.
#[derive(Debug)]
pub struct ControlChannel {
    tx: mpsc::Sender<ControlMessage>,
    rx: mpsc::Receiver<ControlMessage>,
}

/// Starts the task.
pub fn start(setup: Setup, inputs: Inputs, channel: ControlChannel) {
    let task = ControlTask {
        setup,
        tx: channel.tx,
        replica: Replica::default(),
        lease: EntryLease::new(),
        held: false,
        surrendered: false,
        disk_failed: false,
        departing: None,
        departed: false,
        leader: None,
        term: 0,
        leading: None,
        waiting: Vec::new(),
        snapshot_index: 0,
        turn: 0,
    };
    tokio::spawn(task.run(inputs, channel.rx));
}

async fn next_voter_event(voter: &mut Option<mpsc::Receiver<VoterEvent>>) -> Option<VoterEvent> {
    match voter {
        Some(events) => events.recv().await,
        None => std::future::pending().await,
    }
}

impl ControlTask {
    async fn run(mut self, mut inputs: Inputs, mut rx: mpsc::Receiver<ControlMessage>) {
        let mut beats = interval(self.setup.settings.timing.heartbeat);
        beats.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut looks = interval(LEADER_PAUSE);
        looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = rx.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                event = next_voter_event(&mut inputs.voter) => match event {
                    Some(event) => self.voter_event(event),
                    None => return,
                },
                call = inputs.operators.recv() => match call {
                    Some(call) => self.operator_call(call),
                    None => return,
                },
                Some(crash) = inputs.crashes.recv() => self.crash(crash),
                Some(()) = inputs.nudges.recv() => self.beat(),
                _ = beats.tick() => self.beat(),
                _ = looks.tick() => self.look(),
            }
        }
    }

    fn now(&self) -> Moment {
        self.setup.clock.now()
    }

    fn handle(&mut self, message: ControlMessage) {
        match message {
            ControlMessage::Call { call, reply } => self.call(call, reply),
            ControlMessage::Notice(Control::Raft(_)) => {}
            ControlMessage::Notice(Control::Commands(commands)) => {
                for logged in commands {
                    self.apply(logged.index, &logged.command);
                }
                self.publish();
            }
            ControlMessage::Beaten { sent, to, reply } => self.beaten(sent, to, reply),
            ControlMessage::Proposed { index, result } => self.proposed(index, result),
            ControlMessage::Depart(reply) => self.departing = Some(reply),
            ControlMessage::Surrender => {
                self.surrendered = true;
                self.lease.release();
                self.publish();
            }
        }
    }

    /// Answers a call, or passes it on to the leader.
    fn call(&mut self, call: Call, reply: oneshot::Sender<Reply>) {
        if self.leading.is_some() {
            self.leader_call(call, reply);
            return;
        }
        if matches!(call, Call::Report(_)) {
            // An entry seeks its leader itself.
            let _ = reply.send(Reply::NotLeader(self.leader));
            return;
        }
        let link = self
            .leader
            .and_then(|leader| self.setup.peers.get(&leader).cloned());
        let leader = self.leader;
        let mut view = self.setup.view.subscribe();
        tokio::spawn(async move {
            let answer = match link {
                // A lost leader's connection lasts longer than the election of the next one.
                Some(link) => tokio::select! {
                    answer = link.call(&call, LEADER_CALL_TIMEOUT) => answer,
                    _ = view.wait_for(|view| view.leader != leader) => None,
                },
                None => None,
            };
            // The asker may have given up meanwhile.
            let _ = reply.send(answer.unwrap_or(Reply::NotLeader(leader)));
        });
    }

    fn voter_event(&mut self, event: VoterEvent) {
        match event {
            VoterEvent::Send { to, message } => {
                if let Some(link) = self.setup.peers.get(&to) {
                    link.notify(Control::Raft(message));
                }
            }
            VoterEvent::Committed { index, command, .. } => self.committed(index, &command),
            VoterEvent::Install { snapshot, .. } => self.install(&snapshot),
            VoterEvent::Role { leader, term, ours } => self.role(leader, term, ours),
            VoterEvent::Failed(error) => {
                Event::StoreFailed.log(format_args!("why={error}"));
                self.disk_failed = true;
                self.lease.release();
                self.leading = None;
                self.publish();
            }
            VoterEvent::Recovered => {
                Event::StoreRecovered.log(format_args!("index={}", self.replica.fleet().index));
                self.disk_failed = false;
                self.publish();
            }
        }
    }

    fn committed(&mut self, index: u64, bytes: &[u8]) {
        let command = match bytes {
            [] => Command::Noop,
            bytes => match postcard::from_bytes(bytes) {
                Ok(command) => command,
                Err(error) => {
                    Event::StoreDamaged.log(format_args!("index={index} error={error}"));
                    Command::Noop
                }
            },
        };
        let applied = self.apply(index, &command);
        if applied && self.leading.is_some() {
            self.push(index, command);
        }
        self.publish();
        self.take_snapshot();
    }

    /// Applies a committed command and answers whoever waits for it.
    fn apply(&mut self, index: u64, command: &Command) -> bool {
        let before = self.replica.fleet().clone();
        if !self.replica.apply(index, command) {
            return false;
        }
        self.log_change(&before, command, index);
        let (due, later) = self
            .waiting
            .drain(..)
            .partition(|waiting| waiting.index <= index);
        self.waiting = later;
        for waiting in due {
            self.answer(waiting);
        }
        true
    }

    fn answer(&self, waiting: Waiting) {
        if let Some(applied) = self.replica.result(waiting.index) {
            // The asker may have given up meanwhile.
            let _ = waiting.result.send(applied.clone());
        }
    }

    fn install(&mut self, bytes: &[u8]) {
        match self.replica.install(bytes) {
            Ok(true) => {
                let index = self.replica.fleet().index;
                self.snapshot_index = index;
                Event::SnapshotInstalled.log(format_args!("index={index}"));
            }
            Ok(false) => {}
            Err(error) => Event::StoreDamaged.log(format_args!("snapshot error={error}")),
        }
        self.publish();
    }

    fn take_snapshot(&mut self) {
        let index = self.replica.fleet().index;
        let Some(voter) = self.setup.voter.clone() else {
            return;
        };
        if index < self.snapshot_index + SNAPSHOT_COMMANDS {
            return;
        }
        self.snapshot_index = index;
        if let Ok(bytes) = self.replica.snapshot() {
            Event::SnapshotTaken.log(format_args!("index={index} bytes={}", bytes.len()));
            tokio::spawn(async move { voter.snapshot(index, bytes).await });
        }
    }

    fn role(&mut self, leader: Option<Node>, term: u64, ours: bool) {
        if leader != self.leader || term != self.term {
            let name = leader.map_or_else(|| "none".to_owned(), |leader| leader.to_string());
            Event::LeaderChanged.log(format_args!("leader={name} term={term}"));
        }
        self.term = term;
        self.leader = leader;
        let was = self.leading.as_ref().map(Leading::term);
        match (ours, was) {
            (true, Some(old)) if old == term => {}
            (true, _) => {
                let now = self.now();
                self.leading = Some(Leading::new(&self.setup.settings, term, now));
            }
            (false, _) => self.leading = None,
        }
        self.publish();
    }

    /// Publishes the state and the lease to the other tasks.
    fn publish(&mut self) {
        let now = self.now();
        let held = self.lease.is_valid(now);
        if held != self.held {
            let event = match held {
                true => Event::LeaseRegained,
                false => Event::LeaseLapsed,
            };
            event.log(format_args!("index={}", self.replica.fleet().index));
            self.held = held;
        }
        self.note_departure();
        let view = View {
            fleet: self.replica.fleet().clone(),
            until: self.lease.end().unwrap_or(Moment::ZERO),
            leader: self.leader,
        };
        self.setup.view.send_replace(view);
        metrics::gauge!("cornelrail_index").set(self.replica.fleet().index as f64);
        metrics::gauge!("cornelrail_version").set(self.replica.fleet().version.0 as f64);
    }

    /// Tells whoever waits for it that no target has this entry as its home any more.
    fn note_departure(&mut self) {
        let me = self.setup.settings.node;
        let fleet = self.replica.fleet();
        if self.departing.is_none() || fleet.targets_of_home(me).next().is_some() {
            return;
        }
        if let Some(reply) = self.departing.take() {
            self.departed = true;
            // The asker may have given up meanwhile.
            let _ = reply.send(());
        }
    }

    fn crash(&self, crash: Crash) {
        let call = Call::Crash(crash);
        let handle = ControlHandle {
            tx: self.tx.clone(),
        };
        tokio::spawn(async move { handle.call(call).await });
    }

    /// Proposes a command; its result goes to `result` once it is applied here.
    fn propose(&self, command: &Command, result: Option<oneshot::Sender<Applied>>) {
        let (Some(voter), Ok(bytes)) = (self.setup.voter.clone(), postcard::to_stdvec(command))
        else {
            return;
        };
        let tx = self.tx.clone();
        tokio::spawn(async move {
            let index = voter.propose(bytes).await.ok();
            // A stopped task needs no messages.
            let _ = tx.send(ControlMessage::Proposed { index, result }).await;
        });
    }

    fn proposed(&mut self, index: Option<u64>, result: Option<oneshot::Sender<Applied>>) {
        let (Some(index), Some(result)) = (index, result) else {
            return;
        };
        let waiting = Waiting { index, result };
        if index <= self.replica.fleet().index {
            self.answer(waiting);
        } else {
            self.waiting.push(waiting);
        }
    }

    /// Proposes a note and answers with what became of it.
    fn propose_note(&self, note: NoteCall, reply: oneshot::Sender<Reply>) {
        let (tx, rx) = oneshot::channel();
        let command = Command::Note {
            author: note.author,
            text: note.text,
        };
        self.propose(&command, Some(tx));
        tokio::spawn(async move {
            let answer = match rx.await {
                Ok(applied) => NoteAnswer::from(applied),
                Err(_) => NoteAnswer::Unknown {
                    reason: "the leader changed; send the same note again".to_owned(),
                },
            };
            let _ = reply.send(Reply::Note(answer));
        });
    }
}
