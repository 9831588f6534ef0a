//! Heartbeats of this entry to the leader, and the lease that they renew.

use super::{ControlHandle, ControlMessage, ControlTask};
use crate::{
    connection::peer::PeerLink,
    process::protocol::{Call, LeaseGrant, Reply},
};
use cornelrail_lib::{moment::Moment, name::Node, version::report::EntryReport};
use std::time::Duration;
use tokio::time::timeout;

/// Time that a leader's report to itself may take.
const OWN_CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Where a heartbeat goes.
enum Way {
    Own(ControlHandle),
    Peer(PeerLink),
}

impl ControlTask {
    /// Sends a heartbeat, with the home task's part of the report.
    pub(super) fn beat(&mut self) {
        self.publish();
        if self.surrendered || self.disk_failed {
            return;
        }
        let Some((to, way)) = self.way() else {
            return;
        };
        let report = self.own_report();
        let home = self.setup.home.clone();
        let clock = self.setup.clock;
        let tx = self.tx.clone();
        let limit = self.setup.settings.timing.entry_lease / 2;
        tokio::spawn(async move {
            let Some(report) = home.collect(report).await else {
                return;
            };
            let sent = clock.now();
            let call = Call::Report(Box::new(report));
            let reply = match way {
                Way::Own(handle) => timeout(OWN_CALL_TIMEOUT, handle.call(call))
                    .await
                    .ok()
                    .flatten(),
                Way::Peer(link) => link.call(&call, limit).await,
            };
            // A stopped task needs no messages.
            let _ = tx.send(ControlMessage::Beaten { sent, to, reply }).await;
        });
    }

    /// The leader, or the next voter in turn while none is known.
    fn way(&mut self) -> Option<(Node, Way)> {
        let me = self.setup.settings.node;
        if self.leader == Some(me) {
            let handle = ControlHandle {
                tx: self.tx.clone(),
            };
            return Some((me, Way::Own(handle)));
        }
        if let Some(leader) = self.leader
            && let Some(link) = self.setup.peers.get(&leader)
        {
            return Some((leader, Way::Peer(link.clone())));
        }
        let voters: Vec<Node> = self
            .setup
            .settings
            .peers
            .iter()
            .filter(|peer| peer.voter && peer.node != me)
            .map(|peer| peer.node)
            .collect();
        self.turn += 1;
        let node = *voters.get(self.turn % voters.len().max(1))?;
        let link = self.setup.peers.get(&node)?.clone();
        Some((node, Way::Peer(link)))
    }

    fn own_report(&self) -> EntryReport {
        let settings = &self.setup.settings;
        let fleet = self.replica.fleet();
        let mut report = EntryReport::heartbeat(
            settings.node,
            settings.zone.clone(),
            self.setup.incarnation,
            fleet.index,
        );
        report.version = fleet.version;
        report.leaving = self.departed || self.departing.is_some();
        report
    }

    /// Takes in the answer to a heartbeat.
    pub(super) fn beaten(&mut self, sent: Moment, to: Node, reply: Option<Reply>) {
        match reply {
            Some(Reply::Lease(grant)) => self.renewed(sent, to, grant),
            Some(Reply::NotLeader(hint)) => self.follow(to, hint),
            Some(_) => {}
            None => self.follow(to, None),
        }
        self.publish();
    }

    fn renewed(&mut self, sent: Moment, to: Node, grant: LeaseGrant) {
        if self.setup.voter.is_none() {
            self.leader = Some(to);
        }
        if let Some(snapshot) = &grant.snapshot {
            self.install(snapshot);
        }
        for logged in &grant.commands {
            self.apply(logged.index, &logged.command);
        }
        // The lease says that the state is current, so it counts only once that is so.
        if self.replica.fleet().index >= grant.latest && !self.surrendered && !self.disk_failed {
            self.lease.renew(sent, grant.lease);
        }
    }

    /// Looks for the leader elsewhere; a voter learns of it from the log.
    fn follow(&mut self, asked: Node, hint: Option<Node>) {
        if self.setup.voter.is_none() && (self.leader.is_none() || self.leader == Some(asked)) {
            self.leader = hint.filter(|hint| *hint != asked);
        }
    }
}
