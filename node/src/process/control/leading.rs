//! What an entry does while it leads.

use super::ControlTask;
use crate::process::{
    logging::EventLog,
    protocol::{Call, Control, Logged, Reply},
};
use cornelrail_lib::{
    connection::order::Leave,
    moment::Moment,
    name::Version,
    process::{
        event::Event,
        operator_api::{EntryInForce, InForceAnswer, NoteSummary},
        settings::Settings,
    },
    request::quarantine::{Crash, Quarantine, QuarantineConfig},
    version::{
        command::{Announcement, Command},
        controller::{Controller, ControllerConfig, EntryLag},
        fleet::{Fleet, TargetPhase},
        note::Note,
        report::EntryReport,
    },
};
use std::sync::Arc;
use tokio::sync::oneshot;

/// Salt of the hash ring; the same whoever leads, so that a new leader moves nothing.
const RING_SALT: u64 = 0;

/// State of a leader for one term. It begins once all commands of earlier terms are applied.
#[derive(Debug)]
pub(super) struct Leading {
    term: u64,
    controller: Controller,
    quarantine: Quarantine,
}

impl Leading {
    pub(super) fn new(settings: &Settings, term: u64, now: Moment) -> Self {
        let timing = settings.timing.clone();
        let config = ControllerConfig {
            sending: settings.sending,
            ..ControllerConfig::new(timing, settings.assigner, RING_SALT)
        };
        Leading {
            term,
            controller: Controller::new(config, now),
            quarantine: Quarantine::new(QuarantineConfig::default()),
        }
    }

    pub(super) fn term(&self) -> u64 {
        self.term
    }

    /// How far each entry is, by its own reports.
    pub(super) fn lag(&self, now: Moment, fleet: &Fleet) -> Vec<EntryLag> {
        self.controller.lag(now, fleet)
    }
}

impl ControlTask {
    /// Answers a call as the leader.
    pub(super) fn leader_call(&mut self, call: Call, reply: oneshot::Sender<Reply>) {
        match call {
            Call::Report(report) => self.report(&report, reply),
            Call::Announce(announcement) => {
                let answer = self.announce(&announcement);
                let _ = reply.send(answer);
            }
            Call::Leave(leave) => {
                let answer = self.leave(&leave);
                let _ = reply.send(answer);
            }
            Call::Note(note) => self.propose_note(note, reply),
            Call::InForce(version) => {
                let _ = reply.send(Reply::InForce(self.in_force(version)));
            }
            Call::Crash(crash) => {
                self.take_crash(&crash);
                let _ = reply.send(Reply::Taken);
            }
            // These two never reach the control task.
            Call::Once(_) | Call::Forward(_) => {}
        }
    }

    /// Takes a report in and renews the sender's lease while this entry surely leads.
    fn report(&mut self, report: &EntryReport, reply: oneshot::Sender<Reply>) {
        let now = self.now();
        let (Some(leading), Some(voter)) = (&mut self.leading, self.setup.voter.clone()) else {
            return;
        };
        leading.controller.on_report(now, report);
        let lease = leading.controller.lease_for(report.node);
        let urgent = !report.quiesced.is_empty() || !report.gone.is_empty();
        let grant = self
            .replica
            .missing(report.applied, lease.unwrap_or_default());
        let not_leader = Reply::NotLeader(None);
        tokio::spawn(async move {
            let answer = match voter.has_lease().await {
                true => Reply::Lease(grant),
                false => not_leader,
            };
            // The asker may have given up meanwhile.
            let _ = reply.send(answer);
        });
        if urgent {
            self.look();
        }
    }

    fn announce(&mut self, announcement: &Announcement) -> Reply {
        let now = self.now();
        let fleet = self.replica.fleet().clone();
        let Some(leading) = &mut self.leading else {
            return Reply::NotLeader(None);
        };
        match leading.controller.on_announce(now, &fleet, announcement) {
            Ok(Some(command)) => {
                self.propose(&command, None);
                Reply::Taken
            }
            Ok(None) => Reply::Taken,
            Err(rejected) => {
                Event::TargetRejected.log(format_args!(
                    "target={} why={rejected}",
                    announcement.target
                ));
                Reply::Rejected(rejected.to_string())
            }
        }
    }

    fn leave(&mut self, leave: &Leave) -> Reply {
        let fleet = self.replica.fleet().clone();
        let Some(leading) = &mut self.leading else {
            return Reply::NotLeader(None);
        };
        if let Some(command) = leading.controller.on_leave(&fleet, leave) {
            self.propose(&command, None);
        }
        Reply::Taken
    }

    fn take_crash(&mut self, crash: &Crash) {
        let now = self.now();
        let Some(leading) = &mut self.leading else {
            return;
        };
        if let Some(command) = leading.quarantine.record_crash(now, crash) {
            self.propose(&command, None);
        }
    }

    /// Lets the controller look at the fleet and proposes what it wants.
    pub(super) fn look(&mut self) {
        let now = self.now();
        let fleet = self.replica.fleet().clone();
        let Some(leading) = &mut self.leading else {
            return;
        };
        let commands = leading.controller.tick(now, &fleet);
        for command in &commands {
            self.propose(command, None);
        }
    }

    /// Sends a newly committed command to the other entries at once.
    pub(super) fn push(&self, index: u64, command: Command) {
        let logged = vec![Logged { index, command }];
        for link in self.setup.peers.values() {
            link.notify(Control::Commands(logged.clone()));
        }
    }

    /// Where a version is in force, by the entries' own reports.
    pub(super) fn in_force(&self, version: Version) -> InForceAnswer {
        let fleet = self.replica.fleet();
        let now = self.now();
        let lags = match &self.leading {
            Some(leading) => leading.controller.lag(now, fleet),
            None => Vec::new(),
        };
        let entries: Vec<EntryInForce> = lags
            .iter()
            .map(|lag| EntryInForce {
                entry: lag.node,
                version: Some(lag.version),
                applied: Some(lag.applied),
                fresh: lag.fresh,
                in_force: lag.version >= version,
            })
            .collect();
        let everywhere = !entries.is_empty()
            && entries.iter().all(|entry| !entry.fresh || entry.in_force)
            && entries.iter().any(|entry| entry.fresh);
        InForceAnswer {
            version,
            note: winner(fleet, version),
            entries,
            everywhere,
        }
    }

    /// Writes the events that a command brought about.
    pub(super) fn log_change(&self, before: &Arc<Fleet>, command: &Command, index: u64) {
        let after = self.replica.fleet();
        match command {
            Command::Noop | Command::Merge { .. } => {}
            Command::Split { service, at } => {
                Event::RangeSplit.log(format_args!("service={service} at={at} index={index}"));
            }
            Command::Admit(info) => Event::TargetAdmitted.log(format_args!(
                "target={} service={} incarnation={} index={index}",
                info.target, info.service, info.incarnation
            )),
            Command::Lost { target, .. } => {
                let known = before.targets.get(target);
                if known.is_some_and(|state| state.phase != TargetPhase::Lost) {
                    Event::TargetLost.log(format_args!("target={target} index={index}"));
                }
            }
            Command::Drain { target, .. } | Command::Remove { target, .. } => {
                Event::TargetDrained.log(format_args!("target={target} index={index}"));
            }
            Command::EntryUp {
                node, incarnation, ..
            } => Event::EntryUp.log(format_args!(
                "entry={node} incarnation={incarnation} index={index}"
            )),
            Command::EntryLost { node, .. } => {
                Event::EntryLost.log(format_args!("entry={node} index={index}"));
            }
            Command::Rehome(list) => {
                Event::TargetRehomed.log(format_args!("targets={} index={index}", list.len()));
            }
            Command::MoveBegin(list) => {
                Event::MoveBegun.log(format_args!("ranges={} index={index}", list.len()));
            }
            Command::MoveEnd(list) => {
                Event::MoveEnded.log(format_args!("ranges={} index={index}", list.len()));
            }
            Command::Note { author, text } => note_event(before, after, text).log(format_args!(
                "author={author} version={} index={index}",
                after.version
            )),
            Command::Quarantine {
                fingerprint,
                active,
                ..
            } => {
                let event = match active {
                    true => Event::RequestQuarantined,
                    false => Event::QuarantineLifted,
                };
                event.log(format_args!(
                    "fingerprint={:016x} index={index}",
                    fingerprint.0
                ));
            }
        }
    }
}

/// What became of a note; a resend counts as what it was at first.
fn note_event(before: &Fleet, after: &Fleet, text: &str) -> Event {
    if after.version > before.version {
        return Event::NoteAccepted;
    }
    let Ok(note) = Note::parse(text) else {
        return Event::NoteRefused;
    };
    let digest = note.digest();
    if before.notes.iter().any(|record| record.digest == digest) {
        return Event::NoteAccepted;
    }
    match winner(before, note.builds_on.next()) {
        Some(_) => Event::NoteConflict,
        None => Event::NoteRefused,
    }
}

/// The note that made a version.
pub(super) fn winner(fleet: &Fleet, version: Version) -> Option<NoteSummary> {
    let mut notes = fleet.notes.iter().rev();
    let record = notes.find(|record| record.version == version)?;
    Some(NoteSummary {
        version: record.version,
        author: record.author.clone(),
        digest: record.digest.clone(),
    })
}
