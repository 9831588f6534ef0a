//! Transitions of the fleet's state, one for each command.
//!
//! Every transition is deterministic and total: a command that no longer fits the state is
//! [`Applied::Stale`] and changes nothing but the index, so a leader may propose from a view that
//! is a little behind.

use super::{
    command::{Announcement, Command, Fingerprint, Move, Rehome},
    fleet::{
        Applied, Assignment, Cause, Departure, EntryState, Fleet, ServiceKind, TargetPhase,
        TargetState,
    },
    range_table,
};
use crate::{
    key::KeyHash,
    name::{Epoch, Fence, Incarnation, Node, Service, Target, Zone},
};
use std::time::Duration;

/// Departures that are remembered; the oldest is forgotten first.
const DEPARTURES_KEPT: usize = 4096;

fn done_if(changed: bool) -> Applied {
    if changed {
        Applied::Done
    } else {
        Applied::Stale
    }
}

fn grant(assignment: &mut Assignment, to: &Target, last: &mut Fence, index: u64, cause: Cause) {
    *last = last.next();
    assignment.owner = Some(to.clone());
    assignment.next = None;
    assignment.fence = *last;
    assignment.since = index;
    assignment.cause = cause;
}

impl Fleet {
    /// Applies the command at `index`; an index already applied changes nothing.
    pub fn apply(&mut self, index: u64, command: &Command) -> Applied {
        if index <= self.index {
            return Applied::Stale;
        }
        self.index = index;
        match command {
            Command::Noop => Applied::Done,
            Command::Note { author, text } => self.apply_note(author, text),
            other => done_if(self.change(other)),
        }
    }

    fn change(&mut self, command: &Command) -> bool {
        match command {
            Command::Noop | Command::Note { .. } => false,
            Command::Admit(info) => self.admit(info),
            Command::Lost {
                target,
                incarnation,
            } => self.lose(target, *incarnation),
            Command::Drain {
                target,
                incarnation,
            } => self.drain(target, *incarnation),
            Command::Remove {
                target,
                incarnation,
            } => self.remove(target, *incarnation),
            Command::EntryUp {
                node,
                zone,
                incarnation,
            } => self.raise_entry(*node, zone, *incarnation),
            Command::EntryLost { node, incarnation } => self.lose_entry(*node, *incarnation),
            Command::Rehome(list) => self.rehome(list),
            Command::MoveBegin(list) => self.each_move(list, Fleet::begin_move),
            Command::MoveEnd(list) => self.each_move(list, Fleet::end_move),
            Command::Split { service, at } => self.split(service, *at),
            Command::Merge { service, at } => self.merge(service, *at),
            Command::Quarantine {
                fingerprint,
                active,
                span,
            } => self.quarantine(*fingerprint, *active, *span),
        }
    }

    fn admit(&mut self, info: &Announcement) -> bool {
        let left = self.departed.get(&info.target);
        let known =
            self.services.contains_key(&info.service) && self.zones.contains_key(&info.zone);
        if !known
            || self.withdrawn.contains(&info.target)
            || left.is_some_and(|d| info.incarnation <= d.incarnation)
        {
            return false;
        }
        if let Some(old) = self.targets.get(&info.target) {
            let same = old.info.incarnation == info.incarnation;
            let revived = same && old.phase == TargetPhase::Lost;
            if info.incarnation < old.info.incarnation || (same && !revived) {
                return false;
            }
        }
        self.take_away(&info.target, Cause::OwnerRestarted);
        self.departed.remove(&info.target);
        let state = TargetState {
            info: info.clone(),
            phase: TargetPhase::Serving,
            home: None,
            epoch: Epoch(self.index),
            formers: Vec::new(),
        };
        self.targets.insert(info.target.clone(), state);
        self.refresh_pools();
        true
    }

    fn lose(&mut self, target: &Target, incarnation: Incarnation) -> bool {
        let Some(state) = self.life_mut(target, incarnation) else {
            return false;
        };
        if state.phase == TargetPhase::Lost {
            return false;
        }
        state.phase = TargetPhase::Lost;
        state.home = None;
        state.formers.clear();
        self.take_away(target, Cause::OwnerLost);
        self.refresh_pools();
        true
    }

    pub(super) fn drain(&mut self, target: &Target, incarnation: Incarnation) -> bool {
        let index = self.index;
        let Some(state) = self.life_mut(target, incarnation) else {
            return false;
        };
        if state.phase == TargetPhase::Draining {
            return false;
        }
        if state.phase == TargetPhase::Serving {
            state.phase = TargetPhase::Draining;
        }
        let departure = Departure { incarnation, index };
        self.departed.insert(target.clone(), departure);
        self.forget_departures();
        self.call_off_moves();
        self.refresh_pools();
        true
    }

    fn forget_departures(&mut self) {
        if self.departed.len() <= DEPARTURES_KEPT {
            return;
        }
        let oldest = self.departed.iter().min_by_key(|(_, d)| d.index);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.departed.remove(&name);
        }
    }

    fn remove(&mut self, target: &Target, incarnation: Incarnation) -> bool {
        let ended = self
            .life_mut(target, incarnation)
            .is_some_and(|state| state.phase != TargetPhase::Serving);
        if !ended {
            return false;
        }
        self.take_away(target, Cause::OwnerLost);
        self.targets.remove(target);
        self.refresh_pools();
        true
    }

    fn raise_entry(&mut self, node: Node, zone: &Zone, incarnation: Incarnation) -> bool {
        if let Some(old) = self.entries.get(&node) {
            let same = old.incarnation == incarnation;
            if incarnation < old.incarnation || (same && old.alive) {
                return false;
            }
        }
        let known = self.entries.get(&node);
        let first = known.map_or(incarnation, |old| old.first);
        self.vacate(node);
        let state = EntryState {
            zone: zone.clone(),
            incarnation,
            first,
            alive: true,
            since: self.index,
        };
        self.entries.insert(node, state);
        true
    }

    fn lose_entry(&mut self, node: Node, incarnation: Incarnation) -> bool {
        let Some(entry) = self.entries.get_mut(&node) else {
            return false;
        };
        if !entry.alive || entry.incarnation != incarnation {
            return false;
        }
        entry.alive = false;
        self.vacate(node);
        true
    }

    fn vacate(&mut self, node: Node) {
        for state in self.targets.values_mut() {
            if state.home == Some(node) {
                state.home = None;
            }
            state.formers.retain(|former| *former != node);
        }
        self.refresh_pools();
    }

    fn rehome(&mut self, list: &[Rehome]) -> bool {
        let mut changed = false;
        for Rehome { target, home } in list {
            let alive = self.entries.get(home).is_some_and(|entry| entry.alive);
            let Some(state) = self.targets.get_mut(target) else {
                continue;
            };
            if !alive || state.phase == TargetPhase::Lost || state.home == Some(*home) {
                continue;
            }
            state.formers.extend(state.home);
            state.formers.retain(|former| former != home);
            state.home = Some(*home);
            state.epoch = Epoch(self.index);
            changed = true;
        }
        self.refresh_pools();
        changed
    }

    fn each_move(&mut self, list: &[Move], one: impl Fn(&mut Fleet, &Move) -> bool) -> bool {
        let mut changed = false;
        for movement in list {
            changed |= one(self, movement);
        }
        changed
    }

    fn fits(&self, movement: &Move) -> bool {
        self.may_serve(&movement.to)
            && self
                .targets
                .get(&movement.to)
                .is_some_and(|state| state.info.service == movement.service)
    }

    fn begin_move(&mut self, movement: &Move) -> bool {
        let (index, fits) = (self.index, self.fits(movement));
        let Some(service) = self.services.get_mut(&movement.service) else {
            return false;
        };
        let Some(slot) = range_table::exact_mut(&mut service.ranges, &movement.range) else {
            return false;
        };
        if slot.owner.as_ref() == Some(&movement.to) {
            return slot.next.take().is_some_and(|_| {
                slot.since = index;
                slot.cause = Cause::Kept;
                true
            });
        }
        if !fits || slot.next.is_some() {
            return false;
        }
        if slot.owner.is_none() {
            grant(
                slot,
                &movement.to,
                &mut self.last_fence,
                index,
                Cause::Granted,
            );
        } else {
            slot.next = Some(movement.to.clone());
            slot.since = index;
            slot.cause = Cause::Moving;
        }
        true
    }

    fn end_move(&mut self, movement: &Move) -> bool {
        let (index, fits) = (self.index, self.fits(movement));
        let Some(service) = self.services.get_mut(&movement.service) else {
            return false;
        };
        let Some(slot) = range_table::exact_mut(&mut service.ranges, &movement.range) else {
            return false;
        };
        if !fits || slot.next.as_ref() != Some(&movement.to) {
            return false;
        }
        grant(
            slot,
            &movement.to,
            &mut self.last_fence,
            index,
            Cause::Moved,
        );
        true
    }

    fn split(&mut self, service: &Service, at: KeyHash) -> bool {
        self.services
            .get_mut(service)
            .is_some_and(|state| range_table::split(&mut state.ranges, at))
    }

    fn merge(&mut self, service: &Service, at: KeyHash) -> bool {
        let index = self.index;
        self.services
            .get_mut(service)
            .is_some_and(|state| range_table::merge(&mut state.ranges, at, index))
    }

    fn quarantine(&mut self, fingerprint: Fingerprint, active: bool, span: Duration) -> bool {
        if active {
            self.quarantine.insert(fingerprint, span) != Some(span)
        } else {
            self.quarantine.remove(&fingerprint).is_some()
        }
    }

    fn life_mut(&mut self, target: &Target, incarnation: Incarnation) -> Option<&mut TargetState> {
        self.targets
            .get_mut(target)
            .filter(|state| state.info.incarnation == incarnation)
    }

    /// Takes every range from a life that is over; a range that was moving completes its move.
    fn take_away(&mut self, target: &Target, cause: Cause) {
        let index = self.index;
        let holder = Some(target);
        for slot in self.services.values_mut().flat_map(|s| &mut s.ranges) {
            if slot.next.as_ref() == holder {
                slot.next = None;
                slot.since = index;
                slot.cause = Cause::Kept;
            }
            if slot.owner.as_ref() != holder {
                continue;
            }
            match slot.next.take() {
                Some(next) => grant(slot, &next, &mut self.last_fence, index, Cause::Moved),
                None => {
                    slot.owner = None;
                    slot.since = index;
                    slot.cause = cause;
                }
            }
        }
    }

    /// Calls off the moves to targets that may not be given work any more.
    pub(super) fn call_off_moves(&mut self) {
        let index = self.index;
        let mut services = std::mem::take(&mut self.services);
        for slot in services.values_mut().flat_map(|s| &mut s.ranges) {
            if slot.next.as_ref().is_some_and(|next| !self.may_serve(next)) {
                slot.next = None;
                slot.since = index;
                slot.cause = Cause::Kept;
            }
        }
        self.services = services;
    }

    /// Sets the home of each pool from that of its targets.
    pub(super) fn refresh_pools(&mut self) {
        let mut services = std::mem::take(&mut self.services);
        for (name, state) in &mut services {
            if state.settings.kind == ServiceKind::Pool {
                state.home = self
                    .serving(name.as_str())
                    .find_map(|(_, target)| target.home);
            }
        }
        self.services = services;
    }
}
