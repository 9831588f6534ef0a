//! Task that owns this entry's replica of the once-only register.

use crate::{
    connection::peer::PeerLink,
    process::{
        clock::Clock,
        protocol::{Call, Reply},
    },
    version::view::View,
};
use cornelrail_lib::{
    name::{Incarnation, Node},
    process::settings::Settings,
    request::once::{
        Membership, Register, RegisterConfig, RegisterReply, RegisterRequest, StartKind,
    },
};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{MissedTickBehavior, interval},
};

const MESSAGES_HELD: usize = 4_096;
/// Pause between two rounds of reads after a restart, and of forgetting old records.
const ROUND_PAUSE: Duration = Duration::from_millis(100);
const READ_TIMEOUT: Duration = Duration::from_millis(500);

enum RegisterMessage {
    Ask {
        from: Node,
        ask: RegisterRequest,
        reply: oneshot::Sender<RegisterReply>,
    },
    Page {
        from: Node,
        answer: RegisterReply,
    },
    Members(oneshot::Sender<Membership>),
}

impl std::fmt::Debug for RegisterMessage {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("RegisterMessage")
    }
}

/// Handle of the task.
#[derive(Debug, Clone)]
pub struct RegisterHandle {
    tx: mpsc::Sender<RegisterMessage>,
}

impl RegisterHandle {
    /// Asks the replica; `None` if the task has stopped.
    pub async fn ask(&self, from: Node, ask: RegisterRequest) -> Option<RegisterReply> {
        let (reply, rx) = oneshot::channel();
        let message = RegisterMessage::Ask { from, ask, reply };
        self.tx.send(message).await.ok()?;
        rx.await.ok()
    }

    /// The membership that claims go by.
    pub async fn members(&self) -> Option<Membership> {
        let (reply, rx) = oneshot::channel();
        self.tx.send(RegisterMessage::Members(reply)).await.ok()?;
        rx.await.ok()
    }
}

struct RegisterTask {
    clock: Clock,
    settings: Arc<Settings>,
    incarnation: Incarnation,
    peers: Arc<BTreeMap<Node, PeerLink>>,
    tx: mpsc::Sender<RegisterMessage>,
    members: Membership,
    register: Option<Register>,
}

/// Starts the task; it answers once the fleet's state tells whether this entry had an earlier life.
pub fn start(
    clock: Clock,
    settings: Arc<Settings>,
    incarnation: Incarnation,
    peers: Arc<BTreeMap<Node, PeerLink>>,
    view: watch::Receiver<View>,
) -> RegisterHandle {
    let (tx, rx) = mpsc::channel(MESSAGES_HELD);
    let nodes: Vec<Node> = settings.peers.iter().map(|peer| peer.node).collect();
    let task = RegisterTask {
        clock,
        settings,
        incarnation,
        peers,
        tx: tx.clone(),
        members: Membership::new(&nodes),
        register: None,
    };
    tokio::spawn(task.run(rx, view));
    RegisterHandle { tx }
}

impl RegisterTask {
    async fn run(
        mut self,
        mut rx: mpsc::Receiver<RegisterMessage>,
        mut view: watch::Receiver<View>,
    ) {
        let mut rounds = interval(ROUND_PAUSE);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = rx.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                changed = view.changed(), if self.register.is_none() => {
                    if changed.is_err() {
                        return;
                    }
                    let view = view.borrow_and_update().clone();
                    self.begin(&view);
                }
                _ = rounds.tick() => self.round(),
            }
        }
    }

    /// Begins the replica's life once the committed state knows this life of the entry.
    fn begin(&mut self, view: &View) {
        let me = self.settings.node;
        let Some(entry) = view.fleet.entries.get(&me) else {
            return;
        };
        if entry.incarnation != self.incarnation {
            return;
        }
        let start = match entry.first_incarnation == self.incarnation {
            true => StartKind::First,
            false => StartKind::Restart,
        };
        let config = RegisterConfig {
            retention: self.settings.once.retention,
            capacity: self.settings.once.records as usize,
        };
        self.register = Some(Register::new(
            self.clock.now(),
            me,
            self.incarnation,
            start,
            self.members.clone(),
            config,
        ));
    }

    fn handle(&mut self, message: RegisterMessage) {
        let now = self.clock.now();
        match message {
            RegisterMessage::Members(reply) => {
                // The asker may have given up meanwhile.
                let _ = reply.send(self.members.clone());
            }
            RegisterMessage::Ask { from, ask, reply } => {
                if let Some(register) = &mut self.register {
                    let _ = reply.send(register.handle(now, from, ask));
                }
            }
            RegisterMessage::Page { from, answer } => {
                if let Some(register) = &mut self.register {
                    register.on_page(now, from, answer);
                }
            }
        }
    }

    fn round(&mut self) {
        let now = self.clock.now();
        let Some(register) = &mut self.register else {
            return;
        };
        register.expire(now);
        metrics::gauge!("cornelrail_once_records").set(register.len() as f64);
        for (node, ask) in register.pending_reads(now) {
            let Some(link) = self.peers.get(&node).cloned() else {
                continue;
            };
            let tx = self.tx.clone();
            tokio::spawn(async move {
                let reply = link.call(&Call::Once(ask), READ_TIMEOUT).await;
                if let Some(Reply::Once(answer)) = reply {
                    // A stopped task needs no messages.
                    let _ = tx.send(RegisterMessage::Page { from: node, answer }).await;
                }
            });
        }
    }
}
