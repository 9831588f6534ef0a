//! End of moves: when nothing of the old owner can run any more.

use super::{
    command::Move,
    controller::ReceivedReport,
    fleet::{Assignment, Fleet, TargetState},
};
use crate::{
    name::{Node, Service, Target},
    process::settings::Sending,
};
use std::collections::BTreeMap;

/// Moves under way: the service, the range and where it moves to.
pub(super) fn in_progress(fleet: &Fleet) -> impl Iterator<Item = (&Service, &Assignment, &Target)> {
    fleet.services.iter().flat_map(|(service, state)| {
        let assignments = state.ranges.iter();
        assignments
            .filter_map(move |assignment| Some((service, assignment, assignment.next.as_ref()?)))
    })
}

/// Moves whose old owner is quiet, by the reports of all entries that may send to it.
pub(super) fn quiesced(
    fleet: &Fleet,
    reports: &BTreeMap<Node, ReceivedReport>,
    sending: Sending,
) -> Vec<Move> {
    moves_where(fleet, |assignment, movement| match sending {
        Sending::Home => home_quiesced(fleet, reports, assignment, movement),
        Sending::Direct => all_entries_quiesced(fleet, reports, assignment, movement),
    })
}

fn home_quiesced(
    fleet: &Fleet,
    reports: &BTreeMap<Node, ReceivedReport>,
    assignment: &Assignment,
    movement: &Move,
) -> bool {
    let owner = assignment.owner.as_ref();
    let Some((name, state)) = owner.and_then(|owner| fleet.targets.get_key_value(owner)) else {
        return true;
    };
    let since = assignment.since.max(state.epoch.0);
    let received = state.home.and_then(|home| reports.get(&home));
    received.is_some_and(|r| reports_quiesced(r, since, movement))
        && former_homes_quiesced(name, state, reports)
}

fn all_entries_quiesced(
    fleet: &Fleet,
    reports: &BTreeMap<Node, ReceivedReport>,
    assignment: &Assignment,
    movement: &Move,
) -> bool {
    let mut alive = fleet.entries.iter().filter(|(_, entry)| entry.alive);
    alive.all(|(node, _)| {
        let received = reports.get(node);
        received.is_some_and(|r| reports_quiesced(r, assignment.since, movement))
    })
}

fn reports_quiesced(received: &ReceivedReport, since: u64, movement: &Move) -> bool {
    received.report.applied >= since && received.report.quiesced.contains(movement)
}

/// Moves whose old owner was commanded by an entry whose lease is over, and by no other.
pub(super) fn released_by(
    fleet: &Fleet,
    lost: Node,
    reports: &BTreeMap<Node, ReceivedReport>,
    sending: Sending,
) -> Vec<Move> {
    if sending == Sending::Direct {
        return Vec::new();
    }
    moves_where(fleet, |assignment, _| {
        let owner = assignment.owner.as_ref();
        owner
            .and_then(|owner| fleet.targets.get_key_value(owner))
            .is_some_and(|(name, state)| {
                state.home == Some(lost) && former_homes_quiesced(name, state, reports)
            })
    })
}

fn moves_where(fleet: &Fleet, predicate: impl Fn(&Assignment, &Move) -> bool) -> Vec<Move> {
    let candidates = in_progress(fleet).map(|(service, assignment, next)| {
        let movement = Move {
            service: service.clone(),
            range: assignment.range,
            to: next.clone(),
        };
        (assignment, movement)
    });
    candidates
        .filter(|(assignment, movement)| predicate(assignment, movement))
        .map(|(_, movement)| movement)
        .collect()
}

/// Whether every former home has applied the rehome and has no request in flight for the target.
pub(super) fn former_homes_quiesced(
    name: &Target,
    state: &TargetState,
    reports: &BTreeMap<Node, ReceivedReport>,
) -> bool {
    let mut former_reports = state.formers.iter().map(|former| reports.get(former));
    former_reports.all(|received| {
        received.is_some_and(|r| r.report.applied >= state.epoch.0 && !r.report.busy.contains(name))
    })
}
