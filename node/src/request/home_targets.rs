//! The targets whose home this entry is: their connections, leases and grants.

use super::{exchange::Permit, home::Open, tally::Tally};
use crate::{
    connection::target::{ExchangeError, TargetLink},
    process::clock::Clock,
    version::view::View,
};
use cornelrail_lib::{
    connection::{
        lease::{EntryLease, HomeLease, LeaseState, LeaseTiming},
        order::{Grant, LeaseAnswer, LeaseOrder, Warmth},
    },
    key::{KeyHash, KeyRange},
    moment::Moment,
    name::{Fence, Incarnation, Node, Service, Target},
    process::settings::{Sending, Settings},
    request::dispatch::{RequestId, TargetView},
    version::{
        command::{Announcement, Move},
        fleet::{Fleet, Route, TargetPhase, TargetState},
        report::{EntryReport, GoneTarget},
    },
};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::runtime::Handle;

/// Orders without an answer count as missed after this many heartbeats.
const MISSED_BEATS: u32 = 2;

/// A lease order on its way.
#[derive(Debug)]
pub(super) struct Renewal {
    target: Target,
    serial: u64,
    incarnation: Incarnation,
    link: TargetLink,
    order: LeaseOrder,
    limit: Duration,
}

impl Renewal {
    /// Sends the order and waits for the answer.
    pub(super) async fn send(self) -> Renewed {
        let answer = self.link.renew(&self.order, self.limit).await;
        Renewed {
            target: self.target,
            serial: self.serial,
            incarnation: self.incarnation,
            grants: self.order.grants,
            answer,
        }
    }
}

/// What became of a lease order.
#[derive(Debug)]
pub(super) struct Renewed {
    pub(super) target: Target,
    serial: u64,
    incarnation: Incarnation,
    grants: Vec<Grant>,
    answer: Result<LeaseAnswer, ExchangeError>,
}

impl Renewed {
    /// Requests that the target says it runs.
    pub(super) fn running(&self) -> Option<u32> {
        let answer = self.answer.as_ref().ok();
        answer.map(|answer| answer.running)
    }
}

#[derive(Debug)]
struct Held {
    info: Announcement,
    draining: bool,
    /// Connections for requests.
    link: TargetLink,
    /// Connections for lease orders.
    orders: TargetLink,
    lease: HomeLease,
    /// Grants by the fleet's state.
    wanted: Vec<Grant>,
    /// Grants that the target may act on: those of the last accepted order.
    granted: Vec<Grant>,
    /// Grants of orders whose answers are awaited or were missed.
    pending: Vec<Grant>,
}

/// All targets whose home this entry is.
#[derive(Debug)]
pub(super) struct HeldTargets {
    requests: Handle,
    me: Node,
    direct: bool,
    entry_lease: Duration,
    timing: LeaseTiming,
    held: BTreeMap<Target, Held>,
    fleet: Arc<Fleet>,
    moving: bool,
    tally: Tally,
}

impl HeldTargets {
    /// No targets yet; the connections for requests live on the runtime `requests`.
    pub(super) fn new(settings: &Settings, requests: Handle) -> Self {
        let timing = &settings.timing;
        HeldTargets {
            requests,
            me: settings.node,
            direct: settings.sending == Sending::Direct,
            entry_lease: timing.entry_lease,
            timing: LeaseTiming {
                heartbeat: timing.heartbeat,
                timeout: timing.heartbeat * MISSED_BEATS,
                lease: timing.target_lease,
                drift: timing.drift,
            },
            held: BTreeMap::new(),
            fleet: Arc::default(),
            moving: false,
            tally: Tally::default(),
        }
    }

    /// Takes in a new state of the fleet; returns the targets that are held no longer.
    pub(super) fn reconcile(
        &mut self,
        now: Moment,
        view: &View,
        settings: &Settings,
    ) -> Vec<Target> {
        self.fleet = view.fleet.clone();
        let fleet = self.fleet.clone();
        let direct = self.direct;
        let mine = |state: &TargetState| {
            let home = state.home == Some(settings.node) || (direct && state.home.is_some());
            home && state.phase != TargetPhase::Lost
        };
        let gone: Vec<Target> = self
            .held
            .keys()
            .filter(|target| !fleet.targets.get(*target).is_some_and(mine))
            .cloned()
            .collect();
        for target in &gone {
            self.held.remove(target);
        }
        for (target, state) in fleet.targets.iter().filter(|(_, state)| mine(state)) {
            self.hold(now, target, state);
        }
        let ranges = fleet.services.values().flat_map(|service| &service.ranges);
        self.moving = ranges.into_iter().any(|range| {
            let held = range.owner.as_ref().and_then(|owner| self.held.get(owner));
            range.next.is_some() && held.is_some()
        });
        gone
    }

    fn hold(&mut self, now: Moment, target: &Target, state: &TargetState) {
        let draining = state.phase == TargetPhase::Draining;
        let wanted = self.fleet.grants_of(target);
        if let Some(held) = self.held.get_mut(target)
            && held.info == state.announcement
            && held.lease.epoch() == state.epoch
        {
            if held.draining != draining || held.wanted != wanted {
                held.lease.make_due(now);
            }
            held.draining = draining;
            held.wanted = wanted;
            return;
        }
        // A former home that lives may renew the target's lease until its own ends.
        let inherited = match state.former_homes.is_empty() {
            true => now,
            false => now + self.entry_lease,
        };
        let lease = HomeLease::new(
            now,
            state.announcement.incarnation,
            state.epoch,
            inherited,
            self.timing.clone(),
        );
        let held = Held {
            info: state.announcement.clone(),
            draining,
            link: TargetLink::start(&self.requests, state.announcement.address),
            orders: TargetLink::start(&Handle::current(), state.announcement.address),
            lease,
            wanted,
            granted: Vec::new(),
            pending: Vec::new(),
        };
        self.held.insert(target.clone(), held);
    }

    /// Whether this entry commands the target.
    pub(super) fn holds(&self, target: &Target) -> bool {
        self.held.contains_key(target)
    }

    /// Views of the held targets for the dispatch policy.
    pub(super) fn views(&self, now: Moment) -> Vec<TargetView> {
        self.held
            .iter()
            .map(|(target, held)| TargetView {
                target: target.clone(),
                service: held.info.service.clone(),
                zone: held.info.zone.clone(),
                slots: held.info.slots,
                incarnation: held.info.incarnation,
                warmth: held.lease.warmth(),
                enabled: self.may_send(held, now) && !held.draining,
            })
            .collect()
    }

    fn may_send(&self, held: &Held, now: Moment) -> bool {
        // Under direct sending only the home renews the lease, and the others rely on the fleet.
        let is_home = self.is_home(&held.info.target);
        held.lease.state(now) == LeaseState::Leased || (self.direct && !is_home)
    }

    fn is_home(&self, target: &Target) -> bool {
        let state = self.fleet.targets.get(target);
        state.is_some_and(|state| state.home == Some(self.me))
    }

    /// Whether this entry still sends for the request's key.
    pub(super) fn serves(&self, view: &View, open: &Open) -> bool {
        match view.fleet.route(open.service.as_str(), open.hash) {
            Route::Keyed { target, home, .. } => {
                open.keyed.as_ref() == Some(target) && (self.direct || home == self.me)
            }
            Route::Pool { home } => open.keyed.is_none() && (self.direct || home == self.me),
            Route::Unserved | Route::UnknownService => false,
        }
    }

    /// Orders that are due.
    pub(super) fn poll(&mut self, now: Moment, until: Moment) -> Vec<Renewal> {
        let mut entry = EntryLease::new();
        entry.renew(until, Duration::ZERO);
        let fleet = self.fleet.clone();
        let me = self.me;
        let mut renewals = Vec::new();
        for (target, held) in &mut self.held {
            let state = fleet.targets.get(target);
            if state.is_none_or(|state| state.home != Some(me)) {
                continue;
            }
            let Some(due) = held.lease.poll(now, &entry) else {
                continue;
            };
            let grants = held.wanted.clone();
            held.pending.extend(grants.iter().cloned());
            renewals.push(Renewal {
                target: target.clone(),
                serial: due.serial,
                incarnation: held.lease.incarnation(),
                link: held.orders.clone(),
                limit: due.deadline.since(now),
                order: LeaseOrder {
                    incarnation: held.lease.incarnation(),
                    epoch: held.lease.epoch(),
                    serial: due.serial,
                    until_ms: due.until_ms,
                    grants,
                    drain: held.draining,
                },
            });
        }
        renewals
    }

    /// Takes in what became of an order.
    pub(super) fn renewed(&mut self, now: Moment, renewed: &Renewed) {
        let Some(held) = self.held.get_mut(&renewed.target) else {
            return;
        };
        if held.lease.incarnation() != renewed.incarnation {
            return;
        }
        match &renewed.answer {
            Ok(answer) => {
                held.lease.on_answer(now, renewed.serial, answer);
                if answer.accepted {
                    held.granted = renewed.grants.clone();
                    held.pending.clear();
                }
            }
            Err(_unanswered) => {
                held.lease.on_failure(now, renewed.serial);
            }
        }
    }

    /// Whether the target is known to hold the grant that a request needs.
    pub(super) fn confirmed(&self, target: &Target, hash: KeyHash) -> bool {
        if self.direct || !self.is_home(target) {
            return true;
        }
        self.held.get(target).is_some_and(|held| {
            let mut grants = held.granted.iter();
            grants.any(|grant| grant.range.contains(hash) && held.wanted.contains(grant))
        })
    }

    /// When a lease next needs care.
    pub(super) fn next_wakeup(&self, latest: Moment) -> Moment {
        let wakeups = self.held.values().map(|held| held.lease.next_wakeup());
        wakeups.min().unwrap_or(latest)
    }

    /// Permit for one attempt; none if the target may not be sent to now.
    pub(super) fn permit(
        &self,
        target: &Target,
        open: &Open,
        attempt: u32,
        until: Moment,
        clock: &Clock,
    ) -> Option<Permit> {
        let now = clock.now();
        let held = self.held.get(target)?;
        if now >= until || !self.may_send(held, now) {
            return None;
        }
        let fence = match self.fleet.route(open.service.as_str(), open.hash) {
            Route::Keyed {
                target: owner,
                fence,
                ..
            } if owner == target => fence,
            Route::Pool { .. } => Fence(0),
            Route::Keyed { .. } | Route::Unserved | Route::UnknownService => return None,
        };
        let own = match self.is_home(target) {
            true => held.lease.confirmed_until().min(until),
            false => until,
        };
        Some(Permit {
            attempt,
            target: target.clone(),
            link: held.link.clone(),
            epoch: held.lease.epoch(),
            fence,
            until: clock.instant(own),
        })
    }

    /// Counts an arrival for the load of its range.
    pub(super) fn count(&mut self, open: &Open, now: Moment) {
        if open.keyed.is_none() {
            return;
        }
        if let Some(range) = self.range_of(&open.service, open.hash) {
            self.tally.count(now, &open.service, range, open.hash);
        }
    }

    fn range_of(&self, service: &Service, hash: KeyHash) -> Option<KeyRange> {
        let state = self.fleet.services.get(service)?;
        let after = state
            .ranges
            .partition_point(|assignment| assignment.range.first() <= hash);
        let assignment = state.ranges.get(after.checked_sub(1)?)?;
        Some(assignment.range)
    }

    /// Completes a report to the leader.
    pub(super) fn report(
        &mut self,
        now: Moment,
        view: &View,
        open: &BTreeMap<RequestId, Open>,
        report: &mut EntryReport,
    ) {
        report.gone = self.gone(now);
        report.quiesced = self.quiet(now, view, open);
        report.loads = self.tally.take(now);
        report.busy = self.busy(open);
        report.idle = self.idle(open);
    }

    fn gone(&self, now: Moment) -> Vec<GoneTarget> {
        self.held
            .iter()
            .filter(|(target, held)| {
                let tie = held.lease.state(now);
                self.is_home(target) && matches!(tie, LeaseState::Gone | LeaseState::Restarted(_))
            })
            .map(|(target, held)| GoneTarget {
                target: target.clone(),
                incarnation: held.lease.incarnation(),
            })
            .collect()
    }

    /// Moves whose old owner neither runs a request of the range nor may act on its grant.
    pub(super) fn quiet(
        &self,
        now: Moment,
        view: &View,
        open: &BTreeMap<RequestId, Open>,
    ) -> Vec<Move> {
        let mut quiet = Vec::new();
        for (service, state) in &view.fleet.services {
            for assignment in &state.ranges {
                let (Some(owner), Some(next)) = (&assignment.owner, &assignment.next) else {
                    continue;
                };
                let Some(held) = self.held.get(owner) else {
                    continue;
                };
                let released = self.released(held, assignment.range, now);
                if released && !runs_in(open, service, assignment.range) {
                    quiet.push(Move {
                        service: service.clone(),
                        range: assignment.range,
                        to: next.clone(),
                    });
                }
            }
        }
        quiet
    }

    /// Whether a range of a held target is on its way to another owner.
    pub(super) fn moving(&self) -> bool {
        self.moving
    }

    fn released(&self, held: &Held, range: KeyRange, now: Moment) -> bool {
        let mut grants = held.granted.iter().chain(&held.pending);
        let named = grants.any(|grant| grant.range.overlaps(&range));
        !named
            || matches!(
                held.lease.state(now),
                LeaseState::Gone | LeaseState::Restarted(_)
            )
    }

    /// Targets that requests still run on though this entry commands them no longer.
    fn busy(&self, open: &BTreeMap<RequestId, Open>) -> Vec<Target> {
        let mut busy: Vec<Target> = open
            .values()
            .flat_map(|open| open.running.values())
            .filter(|target| !self.is_home(target))
            .cloned()
            .collect();
        busy.sort();
        busy.dedup();
        busy
    }

    /// Draining targets that run nothing.
    fn idle(&self, open: &BTreeMap<RequestId, Open>) -> Vec<Target> {
        let runs = |target: &Target| {
            let mut running = open.values().flat_map(|open| open.running.values());
            running.any(|other| other == target)
        };
        self.held
            .iter()
            .filter(|(target, held)| held.draining && self.is_home(target) && !runs(target))
            .map(|(target, _)| target.clone())
            .collect()
    }
}

/// View of a target that lives on under another home and is sent nothing more by this one.
pub(super) fn parting_view(view: &View, target: &Target) -> Option<TargetView> {
    let state = view.fleet.targets.get(target)?;
    let lives = state.phase != TargetPhase::Lost;
    lives.then(|| TargetView {
        target: target.clone(),
        service: state.announcement.service.clone(),
        zone: state.announcement.zone.clone(),
        slots: state.announcement.slots,
        incarnation: state.announcement.incarnation,
        warmth: Warmth::Draining,
        enabled: false,
    })
}

fn runs_in(open: &BTreeMap<RequestId, Open>, service: &Service, range: KeyRange) -> bool {
    open.values().any(|open| {
        !open.running.is_empty() && open.service == *service && range.contains(open.hash)
    })
}
