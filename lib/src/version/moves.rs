//! End of moves: when nothing of the old owner can run any more.

use super::{
    command::Move,
    controller::Heard,
    fleet::{Assignment, Fleet, TargetState},
};
use crate::name::{Node, Service, Target};
use std::collections::BTreeMap;

/// Moves under way: the service, the range and where it moves to.
pub(super) fn under_way(fleet: &Fleet) -> impl Iterator<Item = (&Service, &Assignment, &Target)> {
    fleet.services.iter().flat_map(|(service, state)| {
        let slots = state.ranges.iter();
        slots.filter_map(move |slot| Some((service, slot, slot.next.as_ref()?)))
    })
}

/// Moves whose old owner is quiet, by the reports of its home and of its former homes.
pub(super) fn ended(fleet: &Fleet, heard: &BTreeMap<Node, Heard>) -> Vec<Move> {
    let quiet = |slot: &Assignment, movement: &Move| {
        let Some(owner) = slot
            .owner
            .as_ref()
            .and_then(|o| fleet.targets.get_key_value(o))
        else {
            return true;
        };
        let told = owner.1.home.and_then(|home| heard.get(&home));
        let quiet = told
            .is_some_and(|h| h.report.applied >= slot.since && h.report.quiet.contains(movement));
        quiet && formers_quiet(owner.0, owner.1, heard)
    };
    moves_that(fleet, quiet)
}

/// Moves whose old owner was commanded by an entry whose lease is over, and by no other.
pub(super) fn freed_by(fleet: &Fleet, lost: Node, heard: &BTreeMap<Node, Heard>) -> Vec<Move> {
    moves_that(fleet, |slot, _| {
        let owner = slot.owner.as_ref();
        owner
            .and_then(|owner| fleet.targets.get_key_value(owner))
            .is_some_and(|(name, state)| {
                state.home == Some(lost) && formers_quiet(name, state, heard)
            })
    })
}

fn moves_that(fleet: &Fleet, wanted: impl Fn(&Assignment, &Move) -> bool) -> Vec<Move> {
    let all = under_way(fleet).map(|(service, slot, next)| {
        let movement = Move {
            service: service.clone(),
            range: slot.range,
            to: next.clone(),
        };
        (slot, movement)
    });
    all.filter(|(slot, movement)| wanted(slot, movement))
        .map(|(_, movement)| movement)
        .collect()
}

fn formers_quiet(name: &Target, state: &TargetState, heard: &BTreeMap<Node, Heard>) -> bool {
    state.formers.iter().all(|former| {
        heard
            .get(former)
            .is_some_and(|h| h.report.applied >= state.epoch.0 && !h.report.busy.contains(name))
    })
}
