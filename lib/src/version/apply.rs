//! Applies the commands of the replicated log to the state of a configured fleet.
//!
//! Applying a command is deterministic and never fails: a command that no longer fits the state
//! returns [`Applied::Stale`] and changes nothing but the index, so the leader may propose from a
//! view that is slightly out of date.

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

/// Number of departures that the state keeps; the oldest is dropped first.
const MAX_DEPARTURES: usize = 4096;

fn done_if(changed: bool) -> Applied {
    if changed {
        Applied::Done
    } else {
        Applied::Stale
    }
}

/// Makes `to` the owner under a fence that was never used before, and ends any move.
fn grant(
    assignment: &mut Assignment,
    to: &Target,
    last_fence: &mut Fence,
    index: u64,
    cause: Cause,
) {
    *last_fence = last_fence.next();
    assignment.owner = Some(to.clone());
    assignment.next = None;
    assignment.fence = *last_fence;
    assignment.change_index = index;
    assignment.cause = cause;
}

impl Fleet {
    /// Applies the command at a log index; does nothing if the index is already applied.
    pub fn apply(&mut self, index: u64, command: &Command) -> Applied {
        if index <= self.index {
            return Applied::Stale;
        }
        self.index = index;
        match command {
            Command::Noop => Applied::Done,
            Command::Note { author, text } => self.apply_note(author, text),
            other => done_if(self.apply_change(other)),
        }
    }

    fn apply_change(&mut self, command: &Command) -> bool {
        match command {
            Command::Noop | Command::Note { .. } => false,
            Command::Admit(announcement) => self.admit(announcement),
            Command::Lost {
                target,
                incarnation,
            } => self.mark_lost(target, *incarnation),
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
            } => self.mark_entry_up(*node, zone, *incarnation),
            Command::EntryLost { node, incarnation } => self.mark_entry_lost(*node, *incarnation),
            Command::Rehome(list) => self.rehome(list),
            Command::MoveBegin(list) => self.for_each_move(list, Fleet::begin_move),
            Command::MoveEnd(list) => self.for_each_move(list, Fleet::end_move),
            Command::Split { service, at } => self.split(service, *at),
            Command::Merge { service, at } => self.merge(service, *at),
            Command::Quarantine {
                fingerprint,
                active,
                duration,
            } => self.quarantine(*fingerprint, *active, *duration),
        }
    }

    /// Adds a target, or replaces its previous incarnation, which loses its ranges.
    fn admit(&mut self, announcement: &Announcement) -> bool {
        let departure = self.departed.get(&announcement.target);
        let is_known = self.services.contains_key(&announcement.service)
            && self.zones.contains_key(&announcement.zone);
        if !is_known
            || self.withdrawn.contains(&announcement.target)
            || departure.is_some_and(|d| announcement.incarnation <= d.incarnation)
        {
            return false;
        }
        if let Some(old) = self.targets.get(&announcement.target) {
            let same = old.announcement.incarnation == announcement.incarnation;
            let is_returning = same && old.phase == TargetPhase::Lost;
            if announcement.incarnation < old.announcement.incarnation || (same && !is_returning) {
                return false;
            }
        }
        self.revoke_ranges(&announcement.target, Cause::OwnerRestarted);
        self.departed.remove(&announcement.target);
        let state = TargetState {
            announcement: announcement.clone(),
            phase: TargetPhase::Serving,
            home: None,
            epoch: Epoch(self.index),
            former_homes: Vec::new(),
        };
        self.targets.insert(announcement.target.clone(), state);
        self.refresh_pool_homes();
        true
    }

    /// Marks a target as lost, which takes its ranges and its home away.
    fn mark_lost(&mut self, target: &Target, incarnation: Incarnation) -> bool {
        let Some(state) = self.target_mut(target, incarnation) else {
            return false;
        };
        if state.phase == TargetPhase::Lost {
            return false;
        }
        state.phase = TargetPhase::Lost;
        state.home = None;
        state.former_homes.clear();
        self.revoke_ranges(target, Cause::OwnerLost);
        self.refresh_pool_homes();
        true
    }

    /// Starts to drain a target, and records its departure so that this incarnation cannot rejoin.
    pub(super) fn drain(&mut self, target: &Target, incarnation: Incarnation) -> bool {
        let index = self.index;
        let Some(state) = self.target_mut(target, incarnation) else {
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
        self.evict_oldest_departure();
        self.cancel_invalid_moves();
        self.refresh_pool_homes();
        true
    }

    fn evict_oldest_departure(&mut self) {
        if self.departed.len() <= MAX_DEPARTURES {
            return;
        }
        let oldest = self.departed.iter().min_by_key(|(_, d)| d.index);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.departed.remove(&name);
        }
    }

    fn remove(&mut self, target: &Target, incarnation: Incarnation) -> bool {
        let has_ended = self
            .target_mut(target, incarnation)
            .is_some_and(|state| state.phase != TargetPhase::Serving);
        if !has_ended {
            return false;
        }
        self.revoke_ranges(target, Cause::OwnerLost);
        self.targets.remove(target);
        self.refresh_pool_homes();
        true
    }

    /// Adds an entry, or marks it as up again, with no targets of which it is the home.
    fn mark_entry_up(&mut self, node: Node, zone: &Zone, incarnation: Incarnation) -> bool {
        if let Some(old) = self.entries.get(&node) {
            let same = old.incarnation == incarnation;
            if incarnation < old.incarnation || (same && old.alive) {
                return false;
            }
        }
        let previous = self.entries.get(&node);
        let first_incarnation = previous.map_or(incarnation, |old| old.first_incarnation);
        self.clear_home(node);
        let state = EntryState {
            zone: zone.clone(),
            incarnation,
            first_incarnation,
            alive: true,
            up_index: self.index,
        };
        self.entries.insert(node, state);
        true
    }

    fn mark_entry_lost(&mut self, node: Node, incarnation: Incarnation) -> bool {
        let Some(entry) = self.entries.get_mut(&node) else {
            return false;
        };
        if !entry.alive || entry.incarnation != incarnation {
            return false;
        }
        entry.alive = false;
        self.clear_home(node);
        true
    }

    /// Removes an entry as the home and as a former home of all targets.
    fn clear_home(&mut self, node: Node) {
        for state in self.targets.values_mut() {
            if state.home == Some(node) {
                state.home = None;
            }
            state.former_homes.retain(|former| *former != node);
        }
        self.refresh_pool_homes();
    }

    fn rehome(&mut self, list: &[Rehome]) -> bool {
        let mut changed = false;
        for Rehome { target, home } in list {
            let is_up = self.entries.get(home).is_some_and(|entry| entry.alive);
            let Some(state) = self.targets.get_mut(target) else {
                continue;
            };
            if !is_up || state.phase == TargetPhase::Lost || state.home == Some(*home) {
                continue;
            }
            state.former_homes.extend(state.home);
            state.former_homes.retain(|former| former != home);
            state.home = Some(*home);
            state.epoch = Epoch(self.index);
            changed = true;
        }
        self.refresh_pool_homes();
        changed
    }

    fn for_each_move(
        &mut self,
        list: &[Move],
        apply_move: impl Fn(&mut Fleet, &Move) -> bool,
    ) -> bool {
        let mut changed = false;
        for movement in list {
            changed |= apply_move(self, movement);
        }
        changed
    }

    /// Whether the destination of a move is a target of the service that can own ranges.
    fn is_valid_destination(&self, movement: &Move) -> bool {
        self.can_serve(&movement.to)
            && self
                .targets
                .get(&movement.to)
                .is_some_and(|state| state.announcement.service == movement.service)
    }

    /// Starts a move, grants a range without an owner at once, or cancels the move in progress if
    /// the destination is the current owner.
    fn begin_move(&mut self, movement: &Move) -> bool {
        let (index, is_valid) = (self.index, self.is_valid_destination(movement));
        let Some(service) = self.services.get_mut(&movement.service) else {
            return false;
        };
        let Some(assignment) = range_table::exact_mut(&mut service.ranges, &movement.range) else {
            return false;
        };
        if assignment.owner.as_ref() == Some(&movement.to) {
            return assignment.next.take().is_some_and(|_| {
                assignment.change_index = index;
                assignment.cause = Cause::Kept;
                true
            });
        }
        if !is_valid || assignment.next.is_some() {
            return false;
        }
        if assignment.owner.is_none() {
            grant(
                assignment,
                &movement.to,
                &mut self.last_fence,
                index,
                Cause::Granted,
            );
        } else {
            assignment.next = Some(movement.to.clone());
            assignment.change_index = index;
            assignment.cause = Cause::Moving;
        }
        true
    }

    fn end_move(&mut self, movement: &Move) -> bool {
        let (index, is_valid) = (self.index, self.is_valid_destination(movement));
        let Some(service) = self.services.get_mut(&movement.service) else {
            return false;
        };
        let Some(assignment) = range_table::exact_mut(&mut service.ranges, &movement.range) else {
            return false;
        };
        if !is_valid || assignment.next.as_ref() != Some(&movement.to) {
            return false;
        }
        grant(
            assignment,
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

    fn quarantine(&mut self, fingerprint: Fingerprint, active: bool, duration: Duration) -> bool {
        if active {
            self.quarantine.insert(fingerprint, duration) != Some(duration)
        } else {
            self.quarantine.remove(&fingerprint).is_some()
        }
    }

    /// Returns the state of a target if this is its current incarnation.
    fn target_mut(
        &mut self,
        target: &Target,
        incarnation: Incarnation,
    ) -> Option<&mut TargetState> {
        self.targets
            .get_mut(target)
            .filter(|state| state.announcement.incarnation == incarnation)
    }

    /// Revokes all ranges of a target whose incarnation ended.
    ///
    /// Its ranges that were moving go to their destination at once, and moves to the target are
    /// cancelled. Its other ranges lose their owner.
    fn revoke_ranges(&mut self, target: &Target, cause: Cause) {
        let index = self.index;
        let revoked = Some(target);
        for assignment in self.services.values_mut().flat_map(|s| &mut s.ranges) {
            if assignment.next.as_ref() == revoked {
                assignment.next = None;
                assignment.change_index = index;
                assignment.cause = Cause::Kept;
            }
            if assignment.owner.as_ref() != revoked {
                continue;
            }
            match assignment.next.take() {
                Some(next) => grant(assignment, &next, &mut self.last_fence, index, Cause::Moved),
                None => {
                    assignment.owner = None;
                    assignment.change_index = index;
                    assignment.cause = cause;
                }
            }
        }
    }

    /// Cancels the moves whose destination can no longer own ranges.
    pub(super) fn cancel_invalid_moves(&mut self) {
        let index = self.index;
        let mut services = std::mem::take(&mut self.services);
        for assignment in services.values_mut().flat_map(|s| &mut s.ranges) {
            if assignment
                .next
                .as_ref()
                .is_some_and(|next| !self.can_serve(next))
            {
                assignment.next = None;
                assignment.change_index = index;
                assignment.cause = Cause::Kept;
            }
        }
        self.services = services;
    }

    /// Sets the home of each pool to that of its first serving target that has one.
    pub(super) fn refresh_pool_homes(&mut self) {
        let mut services = std::mem::take(&mut self.services);
        for (name, state) in &mut services {
            if state.settings.kind == ServiceKind::Pool {
                state.home = self
                    .serving_targets(name.as_str())
                    .find_map(|(_, target)| target.home);
            }
        }
        self.services = services;
    }
}
