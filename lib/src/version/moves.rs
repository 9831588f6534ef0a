//! Decides when the move of a range may end.
//!
//! It ends once no request for the range can still run at the old owner, according to the reports
//! of all entries that may send to that owner.

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

/// Moves in progress: the service, the assignment and the target that the range moves to.
pub(super) fn in_progress(fleet: &Fleet) -> impl Iterator<Item = (&Service, &Assignment, &Target)> {
    fleet.services.iter().flat_map(|(service, state)| {
        let assignments = state.ranges.iter();
        assignments
            .filter_map(move |assignment| Some((service, assignment, assignment.next.as_ref()?)))
    })
}

/// Moves that may end, because all entries that may send to the old owner report them as quiesced.
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

/// Whether the home of the old owner reports the range as quiesced and no former home still sends
/// to that owner; also true if the range has no old owner.
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
    let since = assignment.change_index.max(state.epoch.0);
    let received = state.home.and_then(|home| reports.get(&home));
    received.is_some_and(|r| reports_quiesced(r, since, movement))
        && former_homes_quiesced(name, state, reports)
}

/// Whether all live entries report the range as quiesced.
fn all_entries_quiesced(
    fleet: &Fleet,
    reports: &BTreeMap<Node, ReceivedReport>,
    assignment: &Assignment,
    movement: &Move,
) -> bool {
    let mut alive = fleet.entries.iter().filter(|(_, entry)| entry.alive);
    alive.all(|(node, _)| {
        let received = reports.get(node);
        received.is_some_and(|r| reports_quiesced(r, assignment.change_index, movement))
    })
}

/// Whether the report lists the move and is not older than the log index `since`.
fn reports_quiesced(received: &ReceivedReport, since: u64, movement: &Move) -> bool {
    received.report.applied >= since && received.report.quiesced.contains(movement)
}

/// Moves that may end because the lease of the `lost` entry has expired: it was the home of the old
/// owner, and no former home still sends to that owner.
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

/// Whether all former homes have applied the rehome and have no request in flight for the target.
pub(super) fn former_homes_quiesced(
    name: &Target,
    state: &TargetState,
    reports: &BTreeMap<Node, ReceivedReport>,
) -> bool {
    let mut former_reports = state.former_homes.iter().map(|former| reports.get(former));
    former_reports.all(|received| {
        received.is_some_and(|r| r.report.applied >= state.epoch.0 && !r.report.busy.contains(name))
    })
}
