//! Answers to operators.

use super::{ControlHandle, ControlTask, LEADER_CALL_TIMEOUT, leading::winner};
use crate::process::{
    operator::OperatorCall,
    protocol::{Call, NoteCall, Reply},
};
use cornelrail_lib::{
    key::KeyHash,
    name::{Service, Target, Version, Zone},
    process::operator_api::{
        CheckAnswer, EntryStatus, ExplainAnswer, InForceAnswer, NoteAnswer, ServiceStatus,
        StatusAnswer, TargetStatus, ZoneStatus, effect_lines,
    },
    version::{
        explain::Explanation,
        fleet::{Fleet, ServiceState, TargetPhase, TargetState},
        note::Note,
    },
};
use std::collections::BTreeMap;
use tokio::{sync::oneshot, time::timeout};

impl ControlTask {
    /// Answers an operator, through the leader where only it knows.
    pub(super) fn operator_call(&mut self, call: OperatorCall) {
        match call {
            OperatorCall::Status { reply } => {
                // The asker may have given up meanwhile, here and below.
                let _ = reply.send(self.status());
            }
            OperatorCall::Explain {
                service,
                key,
                reply,
            } => {
                let _ = reply.send(explain(self.replica.fleet(), &service, &key));
            }
            OperatorCall::Check { text, reply } => {
                let _ = reply.send(check(self.replica.fleet(), &text));
            }
            OperatorCall::Apply {
                author,
                text,
                reply,
            } => self.apply_note(NoteCall { author, text }, reply),
            OperatorCall::NoteStatus { version, reply } => self.note_status(version, reply),
        }
    }

    fn own_handle(&self) -> ControlHandle {
        ControlHandle {
            tx: self.tx.clone(),
        }
    }

    fn apply_note(&self, note: NoteCall, reply: oneshot::Sender<NoteAnswer>) {
        let handle = self.own_handle();
        tokio::spawn(async move {
            let answer = match handle.call(Call::Note(note)).await {
                Some(Reply::Note(answer)) => answer,
                _ => NoteAnswer::Unknown {
                    reason: "no leader answered; send the same note again".to_owned(),
                },
            };
            let _ = reply.send(answer);
        });
    }

    fn note_status(&self, version: Option<Version>, reply: oneshot::Sender<InForceAnswer>) {
        let handle = self.own_handle();
        let fleet = self.replica.fleet().clone();
        let version = version.unwrap_or(fleet.version);
        tokio::spawn(async move {
            let asked = timeout(LEADER_CALL_TIMEOUT, handle.call(Call::InForce(version))).await;
            let answer = match asked {
                Ok(Some(Reply::InForce(answer))) => answer,
                // Without a leader nothing is known of the other entries.
                _ => InForceAnswer {
                    version,
                    note: winner(&fleet, version),
                    entries: Vec::new(),
                    everywhere: false,
                },
            };
            let _ = reply.send(answer);
        });
    }

    fn status(&self) -> StatusAnswer {
        let fleet = self.replica.fleet();
        let settings = &self.setup.settings;
        StatusAnswer {
            fleet: settings.fleet.clone(),
            entry: settings.node,
            fresh: self.lease.is_valid(self.now()),
            leader: self.leader,
            term: self.term,
            version: fleet.version,
            index: fleet.index,
            entries: self.entry_statuses(),
            zones: zone_statuses(fleet),
            services: service_statuses(fleet),
            targets: target_statuses(fleet),
        }
    }

    fn entry_statuses(&self) -> Vec<EntryStatus> {
        let fleet = self.replica.fleet();
        let lags = match &self.leading {
            Some(leading) => leading.lag(self.now(), fleet),
            None => Vec::new(),
        };
        fleet
            .entries
            .iter()
            .map(|(node, entry)| {
                let lag = lags.iter().find(|lag| lag.node == *node);
                let peers = &self.setup.settings.peers;
                let applied = lag.map(|lag| lag.applied);
                EntryStatus {
                    entry: *node,
                    zone: entry.zone.clone(),
                    alive: entry.alive,
                    voter: peers.iter().any(|peer| peer.node == *node && peer.voter),
                    applied,
                    lag: applied.map(|applied| fleet.index.saturating_sub(applied)),
                }
            })
            .collect()
    }
}

fn zone_statuses(fleet: &Fleet) -> Vec<ZoneStatus> {
    let entries = |zone: &Zone| {
        let alive = fleet.entries.values().filter(|entry| entry.alive);
        alive.filter(|entry| entry.zone == *zone).count() as u32
    };
    let targets = |zone: &Zone| {
        let serving = fleet.targets.values().filter(|state| is_serving(state));
        serving
            .filter(|state| state.announcement.zone == *zone)
            .count() as u32
    };
    fleet
        .zones
        .iter()
        .map(|(zone, state)| ZoneStatus {
            zone: zone.clone(),
            state: *state,
            entries: entries(zone),
            targets: targets(zone),
        })
        .collect()
}

fn is_serving(state: &TargetState) -> bool {
    state.phase == TargetPhase::Serving
}

fn service_statuses(fleet: &Fleet) -> Vec<ServiceStatus> {
    let targets = |service: &Service| {
        let serving = fleet.targets.values().filter(|state| is_serving(state));
        serving
            .filter(|state| state.announcement.service == *service)
            .count() as u32
    };
    let unowned = |state: &ServiceState| {
        let free = state.ranges.iter().filter(|range| range.owner.is_none());
        free.count() as u32
    };
    let moving = |state: &ServiceState| {
        let moving = state.ranges.iter().filter(|range| range.next.is_some());
        moving.count() as u32
    };
    fleet
        .services
        .iter()
        .map(|(service, state)| ServiceStatus {
            service: service.clone(),
            kind: state.settings.kind,
            targets: targets(service),
            ranges: state.ranges.len() as u32,
            unowned: unowned(state),
            moving: moving(state),
        })
        .collect()
}

/// Ranges of one target.
#[derive(Debug, Clone, Copy, Default)]
struct Share {
    ranges: u32,
    share: f64,
}

fn target_statuses(fleet: &Fleet) -> Vec<TargetStatus> {
    let mut shares: BTreeMap<&Target, Share> = BTreeMap::new();
    for state in fleet.services.values() {
        for assignment in &state.ranges {
            if let Some(owner) = &assignment.owner {
                let share = shares.entry(owner).or_default();
                share.ranges += 1;
                share.share += assignment.range.share();
            }
        }
    }
    fleet
        .targets
        .iter()
        .map(|(target, state)| {
            let share = shares.get(target).copied().unwrap_or_default();
            TargetStatus {
                target: target.clone(),
                service: state.announcement.service.clone(),
                zone: state.announcement.zone.clone(),
                phase: state.phase,
                home: state.home,
                ranges: share.ranges,
                share: share.share,
            }
        })
        .collect()
}

fn check(fleet: &Fleet, text: &str) -> CheckAnswer {
    let refused = |reason: String| CheckAnswer::Refused { reason };
    let note = match Note::parse(text) {
        Ok(note) => note,
        Err(error) => return refused(error.to_string()),
    };
    match note.check(fleet) {
        Ok(effect) => CheckAnswer::Fine {
            version: fleet.version.next(),
            digest: note.digest(),
            effect: effect_lines(&effect),
        },
        Err(error) => refused(error.to_string()),
    }
}

fn explain(fleet: &Fleet, service: &str, key: &str) -> Option<ExplainAnswer> {
    if let Some(explanation) = fleet.explain(service, key) {
        return Some(keyed_answer(key, explanation));
    }
    let state = fleet.services.get(service)?;
    Some(ExplainAnswer {
        service: Service::from(service),
        key: key.to_owned(),
        hash: KeyHash::of(key).to_string(),
        range: None,
        owner: None,
        fence: None,
        home: state.home,
        epoch: None,
        next: None,
        why: "The service is a pool: any target may serve any key.".to_owned(),
    })
}

fn keyed_answer(key: &str, explanation: Explanation) -> ExplainAnswer {
    ExplainAnswer {
        why: format!(
            "At log index {} {}.",
            explanation.change_index,
            explanation.cause.text()
        ),
        service: explanation.service,
        key: key.to_owned(),
        hash: explanation.hash.to_string(),
        range: Some(explanation.range.to_string()),
        owner: explanation.owner,
        fence: Some(explanation.fence),
        home: explanation.home,
        epoch: Some(explanation.epoch),
        next: explanation.next,
    }
}
