//! End of moves: when nothing of the old owner can run any more.

use super::{
    command::Move,
    controller::Heard,
    fleet::{Assignment, Fleet, TargetState},
};
use crate::{
    name::{Node, Service, Target},
    process::settings::Sending,
};
use std::collections::BTreeMap;

/// Moves under way: the service, the range and where it moves to.
pub(super) fn under_way(fleet: &Fleet) -> impl Iterator<Item = (&Service, &Assignment, &Target)> {
    fleet.services.iter().flat_map(|(service, state)| {
        let slots = state.ranges.iter();
        slots.filter_map(move |slot| Some((service, slot, slot.next.as_ref()?)))
    })
}

/// Moves whose old owner is quiet, by the reports of all entries that may send to it.
pub(super) fn ended(fleet: &Fleet, heard: &BTreeMap<Node, Heard>, sending: Sending) -> Vec<Move> {
    moves_that(fleet, |slot, movement| match sending {
        Sending::Home => home_quiet(fleet, heard, slot, movement),
        Sending::Direct => all_quiet(fleet, heard, slot, movement),
    })
}

fn home_quiet(
    fleet: &Fleet,
    heard: &BTreeMap<Node, Heard>,
    slot: &Assignment,
    movement: &Move,
) -> bool {
    let owner = slot.owner.as_ref();
    let Some((name, state)) = owner.and_then(|owner| fleet.targets.get_key_value(owner)) else {
        return true;
    };
    let since = slot.since.max(state.epoch.0);
    let told = state.home.and_then(|home| heard.get(&home));
    told.is_some_and(|h| is_quiet(h, since, movement)) && formers_quiet(name, state, heard)
}

fn all_quiet(
    fleet: &Fleet,
    heard: &BTreeMap<Node, Heard>,
    slot: &Assignment,
    movement: &Move,
) -> bool {
    let mut living = fleet.entries.iter().filter(|(_, entry)| entry.alive);
    living.all(|(node, _)| {
        let told = heard.get(node);
        told.is_some_and(|h| is_quiet(h, slot.since, movement))
    })
}

fn is_quiet(heard: &Heard, since: u64, movement: &Move) -> bool {
    heard.report.applied >= since && heard.report.quiesced.contains(movement)
}

/// Moves whose old owner was commanded by an entry whose lease is over, and by no other.
pub(super) fn freed_by(
    fleet: &Fleet,
    lost: Node,
    heard: &BTreeMap<Node, Heard>,
    sending: Sending,
) -> Vec<Move> {
    if sending == Sending::Direct {
        return Vec::new();
    }
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

/// Whether every former home has applied the rehome and has no request in flight for the target.
pub(super) fn formers_quiet(
    name: &Target,
    state: &TargetState,
    heard: &BTreeMap<Node, Heard>,
) -> bool {
    let mut formers = state.formers.iter().map(|former| heard.get(former));
    formers.all(|told| {
        told.is_some_and(|h| h.report.applied >= state.epoch.0 && !h.report.busy.contains(name))
    })
}
