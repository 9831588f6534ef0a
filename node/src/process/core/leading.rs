//! What a core host does while it leads: answers calls, and proposes what is due.

use super::task::{Task, Then};
use crate::process::{clock::wall_time, logging::EventLog, voter::VoterStatus};
use cornelrail_lib::{
    connection::{
        heartbeat::Heartbeat,
        pull_lease::{HeartbeatOutcome, LeaseConfig, OddHeartbeat},
    },
    moment::Moment,
    name::{Incarnation, Target},
    process::{
        control_call::{CallDeadline, ControlCall, ControlReply},
        event::Event,
        seeded_settings::SeededSettings,
    },
    version::{
        catalog::{Applied, Catalog, TargetId, Update},
        desired::{Change, ChangesInFlight},
        leader::LeaderState,
        suspects::{SuspectReport, SuspicionChange},
        wire_level::WireLevel,
    },
};
use std::{collections::VecDeque, time::Duration};
use tokio::sync::oneshot;

/// Rest of the voter's lease at which it is asked for a new one.
const LEASE_MARGIN: Duration = Duration::from_millis(200);

/// A change that waits for others.
#[derive(Debug)]
struct WaitingChange {
    change: Change,
    deadline: CallDeadline,
    reply: oneshot::Sender<ControlReply>,
}

/// A leader, and until when no other host can lead.
#[derive(Debug)]
pub(super) struct Leading {
    pub(super) leader: LeaderState,
    lease_end: Moment,
    /// Losses that the group of voters could bear when it was asked last.
    bearable_losses: Option<usize>,
    pub(super) in_flight: ChangesInFlight,
    /// Changes to judge once those in flight are applied, in order.
    waiting: VecDeque<WaitingChange>,
    /// Whether findings about requests that end targets are being committed.
    pub(super) is_recording: bool,
}

impl Leading {
    /// State of a host that begins to lead from this catalog.
    pub(super) fn new(settings: &SeededSettings, now: Moment, catalog: &Catalog) -> Self {
        let config = LeaseConfig {
            length: settings.lease,
            heartbeat: settings.heartbeat,
        };
        let mut leader = LeaderState::new(config, now, catalog);
        leader.restore_suspects(now, wall_time(), catalog);
        Leading {
            leader,
            lease_end: Moment::ZERO,
            bearable_losses: None,
            in_flight: ChangesInFlight::default(),
            waiting: VecDeque::new(),
            is_recording: false,
        }
    }

    /// Tells the metrics, and the log when it changes, how many losses the group can bear.
    fn watch_voters(&mut self, status: &VoterStatus) {
        let (bearable, tolerated) = (status.bearable_losses(), status.tolerated_losses());
        let former = self.bearable_losses.replace(bearable);
        metrics::gauge!("cornelrail_voters_silent").set(status.silent as f64);
        metrics::gauge!("cornelrail_bearable_losses").set(bearable as f64);
        if former == Some(bearable) || (former.is_none() && bearable == tolerated) {
            return;
        }
        let losses = format_args!(
            "voters={} silent={} bearable={bearable} tolerated={tolerated}",
            status.membership.voters.len(),
            status.silent
        );
        match bearable < tolerated {
            true => Event::VotersSilent.log(losses),
            false => Event::VotersWhole.log(losses),
        }
    }
}

impl Task {
    /// Proposes what is due.
    pub(super) async fn tick(&mut self) {
        let now = self.now();
        if !self.has_lease().await {
            return;
        }
        let Some(leading) = &mut self.leading else {
            return;
        };
        let refused = leading.leader.judge_suspects(now, &self.catalog);
        let change = leading.leader.suspects().update_suspected();
        let mut plan = leading.leader.plan(now, &self.catalog);
        plan.retain(|planned| self.takes(planned.update.level()));
        for planned in plan {
            let then = planned.completes.map_or(Then::Nothing, Then::Replan);
            self.propose(&planned.update, then);
        }
        for (request, targets) in &refused {
            let targets: Vec<_> = targets.iter().map(ToString::to_string).collect();
            Event::RequestQuarantined.log(format_args!(
                "fingerprint={:016x} targets={}",
                request.0,
                targets.join(",")
            ));
        }
        if !refused.is_empty() {
            self.send_quarantine();
        }
        self.tell_suspicion(&change);
        self.record_findings();
    }

    /// Commits what is new about requests that end targets.
    fn record_findings(&mut self) {
        let (now, takes_records) = (self.now(), self.takes(WireLevel::RECORDS));
        let Some(leading) = self
            .leading
            .as_mut()
            .filter(|l| takes_records && !l.is_recording)
        else {
            return;
        };
        if let Some(update) = leading.leader.unrecorded(now, wall_time(), &self.catalog) {
            leading.is_recording = true;
            self.propose(&update, Then::Recorded);
        }
    }

    /// Takes in what an entry reports of requests that may have ended targets.
    pub(super) fn take_suspects(&mut self, report: &SuspectReport) {
        let now = self.now();
        let Some(leading) = &mut self.leading else {
            return;
        };
        let is_refused = leading.leader.record_suspects(now, report);
        let change = leading.leader.suspects().update_suspected();
        if is_refused {
            self.send_quarantine();
        }
        self.tell_suspicion(&change);
    }

    /// Tells the log and the entries that other requests are under suspicion.
    fn tell_suspicion(&mut self, change: &SuspicionChange) {
        if change.is_empty() {
            return;
        }
        for request in &change.begun {
            Event::RequestSuspected.log(format_args!("fingerprint={:016x}", request.0));
        }
        for request in &change.ended {
            Event::SuspicionEnded.log(format_args!("fingerprint={:016x}", request.0));
        }
        self.send_suspected();
    }

    /// Whether no other host can lead at this moment.
    pub(super) async fn has_lease(&mut self) -> bool {
        let now = self.now();
        let Some(leading) = &self.leading else {
            return false;
        };
        if now + LEASE_MARGIN < leading.lease_end {
            return true;
        }
        let status = self.voter.status().await;
        let end = status.as_ref().and_then(|status| status.lease);
        let end = end.unwrap_or(Moment::ZERO);
        let now = self.now();
        if let Some(leading) = &mut self.leading {
            leading.lease_end = end;
            if let Some(status) = status {
                leading.watch_voters(&status);
            }
        }
        now < end
    }

    /// Answers a call as the leader.
    pub(super) async fn lead_call(
        &mut self,
        call: ControlCall,
        deadline: CallDeadline,
        reply: oneshot::Sender<ControlReply>,
    ) {
        let is_timely = self.has_lease().await && self.is_timely(&call, deadline);
        if !is_timely {
            // The asker may have given up.
            let _ = reply.send(ControlReply::Unavailable);
            return;
        }
        match call {
            ControlCall::Heartbeat(beat) => self.take_heartbeat(&beat, reply),
            ControlCall::Leave(name, life) => self.take_farewell(&name, life, reply),
            ControlCall::Change(change) => self.take_change(WaitingChange {
                change,
                deadline,
                reply,
            }),
            ControlCall::Read => {
                let desired = self.catalog.desired.clone();
                let _ = reply.send(ControlReply::Desired(desired));
            }
            ControlCall::ZoneOut(zone) => self.propose(&Update::ZoneOut(zone), Then::Reply(reply)),
            ControlCall::ZoneIn(zone) => self.propose(&Update::ZoneIn(zone), Then::Reply(reply)),
        }
    }

    /// Whether a call may take effect now; one that comes too late is logged.
    fn is_timely(&self, call: &ControlCall, deadline: CallDeadline) -> bool {
        let is_timely = call.is_timely(deadline, self.now());
        if !is_timely {
            Event::CallExpired.log(format_args!("call={}", call.name()));
        }
        is_timely
    }

    /// Proposes what of a change takes effect, or lets the change wait for those in flight.
    fn take_change(&mut self, waiting: WaitingChange) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        if !leading.waiting.is_empty() || !leading.in_flight.allows(&waiting.change) {
            leading.waiting.retain(|waiting| !waiting.reply.is_closed());
            leading.waiting.push_back(waiting);
            return;
        }
        let WaitingChange { change, reply, .. } = waiting;
        match self.catalog.desired.admit(change) {
            // All of it is in force or overtaken, and so is committed.
            Ok(change) if change.is_empty() => drop(reply.send(ControlReply::Done)),
            Ok(change) => self.propose(&Update::Desired(change), Then::Reply(reply)),
            Err(error) => {
                Event::DesiredRefused.log(format_args!("why={error}"));
                // The asker may have given up.
                let _ = reply.send(ControlReply::Refused(error.to_string()));
            }
        }
    }

    /// Goes on with the changes that waited for a proposal, which is applied or has failed.
    pub(super) fn end_change(&mut self, number: u64) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        if !leading.in_flight.end(number) {
            return;
        }
        let waiting = std::mem::take(&mut leading.waiting);
        let now = self.now();
        for waiting in waiting {
            match waiting.deadline.has_passed(now) {
                true => {
                    Event::CallExpired.log(format_args!("call=change"));
                    // The asker may have given up.
                    let _ = waiting.reply.send(ControlReply::Unavailable);
                }
                false => self.take_change(waiting),
            }
        }
    }

    fn take_heartbeat(&mut self, beat: &Heartbeat, reply: oneshot::Sender<ControlReply>) {
        let now = self.now();
        let Some(leading) = &mut self.leading else {
            return;
        };
        let service = beat.service.as_str();
        if self.catalog.desired.service(service).is_none() {
            let name = &beat.name;
            Event::TargetRejected.log(format_args!(
                "target={name} why=the service {service} is not known"
            ));
            let _ = reply.send(ControlReply::Refused("unknown service".to_owned()));
            return;
        }
        match leading.leader.heartbeat(now, &self.catalog, beat) {
            HeartbeatOutcome::Stale => drop(reply.send(ControlReply::Lease(None))),
            HeartbeatOutcome::Waiting { is_first, updates } => {
                if is_first {
                    let (name, born) = (&beat.name, beat.incarnation);
                    Event::TargetRejected.log(format_args!(
                        "target={name} incarnation={born} why=another incarnation is alive under \
                         its name or at its address; it joins once that one is silent"
                    ));
                }
                if let Some(Then::Reply(reply)) = self.propose_all(updates, Then::Reply(reply)) {
                    let _ = reply.send(ControlReply::Lease(None));
                }
            }
            HeartbeatOutcome::Odd(odd) => {
                let why = match odd {
                    OddHeartbeat::Moved => "its incarnation has another address or service",
                    OddHeartbeat::Leap => "its serial number is far above the latest one",
                };
                Event::TargetRejected.log(format_args!(
                    "target={} seq={} address={} why={why}",
                    beat.name, beat.serial, beat.address
                ));
                let _ = reply.send(ControlReply::Refused(why.to_owned()));
            }
            HeartbeatOutcome::New => {
                let then = Then::Lease(beat.name.clone(), reply);
                let record = leading.leader.joining_record(beat);
                self.propose(&Update::Join(record), then);
            }
            HeartbeatOutcome::Known { id, updates } => {
                let then = Then::Lease(beat.name.clone(), reply);
                if let Some(Then::Lease(_, reply)) = self.propose_all(updates, then) {
                    self.answer_heartbeat(id, reply);
                }
            }
        }
    }

    /// Grants the lease and sends it. Nothing may wait between the look at the clock and the
    /// answer, or a lease would be counted from too late.
    fn answer_heartbeat(&mut self, id: TargetId, reply: oneshot::Sender<ControlReply>) {
        let now = self.now();
        let Some(leading) = &mut self.leading else {
            return;
        };
        let lease = match now < leading.lease_end {
            true => leading.leader.renew_lease(now, &self.catalog, id),
            false => None,
        };
        // A target that is gone gets no answer.
        let _ = reply.send(ControlReply::Lease(lease));
    }

    fn take_farewell(
        &mut self,
        name: &Target,
        life: Option<Incarnation>,
        reply: oneshot::Sender<ControlReply>,
    ) {
        let now = self.now();
        let Some(leading) = &mut self.leading else {
            return;
        };
        let updates = leading.leader.leave(now, &self.catalog, name, life);
        if let Some(Then::Reply(reply)) = self.propose_all(updates, Then::Reply(reply)) {
            // An incarnation that is over has left already.
            let _ = reply.send(ControlReply::Done);
        }
    }

    /// Goes on with what waited for a command.
    pub(super) fn carry_on(&mut self, then: Then, applied: &Applied) {
        match then {
            Then::Nothing => {}
            Then::Recorded => {
                if let Some(leading) = &mut self.leading {
                    leading.is_recording = false;
                }
            }
            Then::Replan(service) => {
                if let Some(leading) = &mut self.leading {
                    leading.leader.finish_plan(&service);
                }
            }
            Then::Reply(reply) => {
                let answer = match applied.refusal() {
                    Some(error) => ControlReply::Refused(error.to_string()),
                    None => ControlReply::Done,
                };
                // The asker may have given up.
                let _ = reply.send(answer);
            }
            Then::Lease(name, reply) => match self.catalog.find(&name).map(|(id, _)| id) {
                Some(id) => {
                    let leading = self.leading.as_ref();
                    let overdue = leading.and_then(|l| l.leader.overdue_leave(&self.catalog, id));
                    if let Some(update) = overdue {
                        self.propose(&update, Then::Nothing);
                    }
                    self.answer_heartbeat(id, reply);
                }
                None => drop(reply.send(ControlReply::Lease(None))),
            },
        }
    }
}
