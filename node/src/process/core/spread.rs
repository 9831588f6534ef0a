//! What a core host sends to the entries that follow it.
//!
//! An entry gets a snapshot when it starts to follow, every update after that, and the statuses and
//! confirmations of the leader.

use super::{feed::Subscriber, leading::Leading, task::Task};
use crate::{
    connection::message::{encode, encode_greeting},
    process::logging::EventLog,
};
use bytes::Bytes;
use cornelrail_lib::{
    moment::Moment,
    process::event::Event,
    version::{
        command::Fingerprint,
        feed::{FromCore, Peer},
        permits::PermitRequest,
        wire_level::WireLevel,
    },
};
use std::time::Duration;

/// Shortest interval between two lists of entries, which change one after the other.
const PEERS_INTERVAL: Duration = Duration::from_millis(250);

impl Task {
    /// Sends what was committed to the entries that follow.
    pub(super) fn spread(&mut self) {
        if self.fresh.is_empty() {
            return;
        }
        let updates = std::mem::take(&mut self.fresh);
        let entries = self.subscribers.len();
        if entries == 0 {
            return;
        }
        match encode(&FromCore::updates(self.index, updates)) {
            Ok(bytes) => {
                self.meter.count("updates", bytes.len(), entries);
                let queued = |s: &Subscriber| s.updates.try_send(bytes.clone()).is_ok();
                self.keep_subscribers(queued);
            }
            Err(error) => Event::StoreFailed.log(format_args!("why={error}")),
        }
    }

    /// Drops the subscribers that do not meet the condition.
    fn keep_subscribers(&mut self, keep: impl Fn(&Subscriber) -> bool) {
        self.subscribers.retain(|subscriber| {
            let kept = keep(subscriber);
            if !kept {
                Event::EntryLost.log(format_args!("entry={}", subscriber.name));
            }
            kept
        });
        let queues = self.subscribers.iter().map(Subscriber::waiting);
        self.meter.report(self.clock.now(), queues);
    }

    /// Sends a status to the entries if one is due.
    pub(super) fn send_status(&mut self) {
        let now = self.now();
        let is_due = |leading: &Leading| leading.leader.is_status_due(now);
        if !self.leading.as_ref().is_some_and(is_due) {
            return;
        }
        self.keep_subscribers(|subscriber| !subscriber.updates.is_closed());
        let entries = self.subscribers.len();
        let Some(leading) = &mut self.leading else {
            return;
        };
        let leader = &mut leading.leader;
        let Some(status) = leader.status(now, self.index, entries as u32, &self.catalog) else {
            return;
        };
        let has_loads = !status.loads.is_empty() || !status.service_times.is_empty();
        let limits = leader.limits();
        let message = match limits.is_empty() {
            true => FromCore::Status(status),
            false => FromCore::LimitedStatus(status, limits),
        };
        match encode(&message) {
            Ok(bytes) => {
                leader.record_status_size(bytes.len(), entries);
                self.meter.count("status", bytes.len(), entries);
                self.statuses
                    .send_modify(|latest| latest.push(bytes, has_loads));
            }
            Err(error) => Event::StoreFailed.log(format_args!("why={error}")),
        }
    }

    /// The catalog for an entry. It is encoded once for all that follow at the same index, as they
    /// do after a change of leaders.
    fn encoded_copy(&mut self) -> Result<Bytes, postcard::Error> {
        if let Some((index, bytes)) = &self.copy
            && *index == self.index
        {
            return Ok(bytes.clone());
        }
        let bytes = encode(&FromCore::snapshot(self.index, &self.catalog))?;
        self.copy = Some((self.index, bytes.clone()));
        Ok(bytes)
    }

    /// Tells an entry that its copy holds all that was acknowledged when it asked. A host that may
    /// lead no more cannot know that.
    pub(super) async fn confirm(&mut self, entry: &str, at: Moment) {
        if self.leading.is_none() || !self.has_lease().await {
            return;
        }
        self.spread();
        let Ok(bytes) = encode(&FromCore::Confirmed(at)) else {
            return;
        };
        let mine = self.subscribers.iter().filter(|s| s.name == entry);
        for subscriber in mine {
            self.meter.count("confirmed", bytes.len(), 1);
            // A full feed ends with the next message to all.
            let _ = subscriber.updates.try_send(bytes.clone());
        }
    }

    /// Replies to an entry that asks for a permit. Only one host may give permits at a time, so one
    /// that may lead no more does not reply.
    pub(super) async fn give_permit(&mut self, entry: &str, number: u64, request: PermitRequest) {
        if !self.has_lease().await {
            return;
        }
        let now = self.now();
        let Some(leading) = &mut self.leading else {
            return;
        };
        let mut subscribers = self.subscribers.iter();
        // An entry that is far behind would use the permit too late.
        let Some(subscriber) = subscribers.find(|s| s.name == entry && s.is_prompt()) else {
            return;
        };
        let reply = leading.leader.request_permit(now, request);
        let Ok(bytes) = encode(&FromCore::Permit(number, reply)) else {
            return;
        };
        self.meter.count("permit", bytes.len(), 1);
        // A full feed ends with the next message to all.
        let _ = subscriber.updates.try_send(bytes);
    }

    /// The core hosts and the leader, as far as this host knows.
    fn encoded_members(&self) -> Result<Bytes, postcard::Error> {
        encode_greeting(&FromCore::Members {
            leader: self.leader,
            nodes: self.members.clone(),
        })
    }

    /// Tells the entries that follow of other core hosts, which may lead next.
    pub(super) fn send_members(&mut self) {
        if let Ok(bytes) = self.encoded_members() {
            let entries = self.subscribers.len();
            self.meter.count("members", bytes.len(), entries);
            self.keep_subscribers(|s| s.updates.try_send(bytes.clone()).is_ok());
        }
    }

    /// Notes how other entries reach an entry.
    pub(super) fn take_peer(&mut self, entry: &str, peer: Peer) {
        let quarantine = self.encoded_quarantine();
        let mut subscribers = self.subscribers.iter_mut();
        let Some(subscriber) = subscribers.find(|s| s.name == entry) else {
            return;
        };
        subscriber.peer = Some(peer);
        if subscriber.level < WireLevel::DETOURS {
            // Whoever tells this knows what came with it, though it does not tell its level.
            subscriber.level = WireLevel::DETOURS;
            if let Some(Ok(bytes)) = quarantine {
                // A full feed ends with the next message to all.
                subscriber.send(WireLevel::DETOURS, &bytes);
            }
        }
    }

    /// Tells the entries of each other, if anything has changed.
    pub(super) fn send_peers(&mut self) {
        let now = self.now();
        if self.leading.is_none() || now.since(self.peers_sent) < PEERS_INTERVAL {
            return;
        }
        let known = self.subscribers.iter().filter_map(|s| s.peer.as_ref());
        if known.clone().eq(self.peers.iter()) {
            return;
        }
        self.peers = known.cloned().collect();
        self.peers_sent = now;
        if let Ok(bytes) = encode(&FromCore::Peers(self.peers.clone())) {
            let entries = self.subscribers.len();
            self.meter.count("peers", bytes.len(), entries);
            self.keep_subscribers(|s| s.send(WireLevel::DETOURS, &bytes));
        }
    }

    /// Tells the entries that follow which requests they refuse.
    pub(super) fn send_quarantine(&mut self) {
        if let Some(Ok(bytes)) = self.encoded_quarantine() {
            let entries = self.subscribers.len();
            self.meter.count("quarantined", bytes.len(), entries);
            self.keep_subscribers(|s| s.send(WireLevel::DETOURS, &bytes));
        }
    }

    /// The requests that entries refuse; `None` without any.
    fn encoded_quarantine(&self) -> Option<Result<Bytes, postcard::Error>> {
        let list = self.leading.as_ref()?.leader.quarantined(self.now());
        (!list.is_empty()).then(|| encode(&FromCore::Quarantined(list)))
    }

    /// Tells the entries that follow which requests need a trial.
    pub(super) fn send_suspected(&mut self) {
        if let Some(Ok(bytes)) = self.encoded_suspected() {
            let entries = self.subscribers.len();
            self.meter.count("suspected", bytes.len(), entries);
            self.keep_subscribers(|s| s.send(WireLevel::TRIALS, &bytes));
        }
    }

    /// The requests that need a trial.
    fn encoded_suspected(&mut self) -> Option<Result<Bytes, postcard::Error>> {
        let suspects = self.leading.as_mut()?.leader.suspects();
        let list = suspects.suspected().iter().copied().collect();
        Some(encode(&FromCore::Suspected(list)))
    }

    /// Replies to an entry that asks for a trial. Only one host may give leave at a time, so one that
    /// may lead no more does not reply.
    pub(super) async fn give_trial(
        &mut self,
        entry: &str,
        number: u64,
        request: Fingerprint,
        left: u32,
    ) {
        if !self.has_lease().await {
            return;
        }
        let now = self.now();
        let Some(leading) = &mut self.leading else {
            return;
        };
        let mut subscribers = self.subscribers.iter();
        // An entry that is far behind would use the leave too late.
        let Some(subscriber) = subscribers.find(|s| s.name == entry && s.is_prompt()) else {
            return;
        };
        let left = Duration::from_millis(u64::from(left));
        let reply = leading.leader.suspects().request_trial(now, request, left);
        let Ok(bytes) = encode(&FromCore::Trial(number, reply)) else {
            return;
        };
        self.meter.count("trial", bytes.len(), 1);
        // A full feed ends with the next message to all.
        subscriber.send(WireLevel::TRIALS, &bytes);
    }

    pub(super) fn take_follower(&mut self, subscriber: Subscriber) {
        self.spread();
        let (base, detours) = (WireLevel::BASE, WireLevel::DETOURS);
        let mut messages = vec![("members", base, self.encoded_members())];
        if self.leading.is_some() {
            messages.push(("snapshot", base, self.encoded_copy()));
            let quarantine = self.encoded_quarantine();
            messages.extend(quarantine.map(|message| ("quarantined", detours, message)));
            let suspected = self.encoded_suspected();
            messages.extend(suspected.map(|message| ("suspected", WireLevel::TRIALS, message)));
        }
        for (kind, level, message) in messages {
            let Ok(bytes) = message else {
                return;
            };
            self.meter.count(kind, bytes.len(), 1);
            if !subscriber.send(level, &bytes) {
                return;
            }
        }
        if let Some(leading) = &mut self.leading {
            leading.leader.hasten_status();
            Event::EntryUp.log(format_args!(
                "entry={} level={}",
                subscriber.name, subscriber.level
            ));
            self.subscribers.push(subscriber);
        }
    }
}
