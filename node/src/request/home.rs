//! Task that commands the targets whose home this entry is.
//!
//! It owns the dispatch policy, the targets' leases and the list of open requests. Requests talk to
//! it by messages and do their own I/O once they hold a permit.

use super::{
    home_handle::{HomeHandle, HomeMessage, Verdict},
    home_targets::{self, HeldTargets},
};
use crate::{process::clock::Clock, version::view::View};
use cornelrail_lib::{
    connection::health::Condition,
    key::KeyHash,
    moment::Moment,
    name::{Service, Target},
    process::settings::{Sending, Settings},
    request::{
        dispatch::{
            Action, Arrival, AttemptOutcome, DispatchConfig, Dispatcher, RequestId, TargetSelector,
        },
        quarantine::Crash,
    },
    version::report::{EntryReport, SlowTarget},
};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::{
    runtime::Handle,
    sync::{mpsc, oneshot, watch},
    time::sleep_until,
};

const MESSAGES_HELD: usize = 16_384;
/// Shortest sleep between two looks at the clock.
const BUSY_PAUSE: Duration = Duration::from_millis(1);
/// Longest sleep between two looks at the clock.
const IDLE_PAUSE: Duration = Duration::from_millis(100);

/// A request that has no final outcome yet.
#[derive(Debug)]
pub(super) struct Open {
    pub(super) service: Service,
    pub(super) hash: KeyHash,
    pub(super) keyed: Option<Target>,
    pub(super) verdicts: mpsc::UnboundedSender<Verdict>,
    pub(super) running: BTreeMap<u32, Target>,
}

struct Home {
    clock: Clock,
    settings: Arc<Settings>,
    view: watch::Receiver<View>,
    handle: HomeHandle,
    outlets: Outlets,
    dispatch: Dispatcher,
    targets: HeldTargets,
    open: BTreeMap<RequestId, Open>,
    held_back: Vec<HeldBack>,
    /// Targets with another home by now that requests of this one still run on.
    leaving: Vec<Target>,
    told: usize,
    due: Moment,
    idle: Vec<oneshot::Sender<()>>,
}

/// A request whose target has not confirmed the grant for its key yet.
struct HeldBack {
    arrival: Arrival,
    target: Target,
    hash: KeyHash,
}

/// Where the home task's news go.
#[derive(Debug, Clone)]
pub struct Outlets {
    /// Crashes of targets.
    pub crashes: mpsc::UnboundedSender<Crash>,
    /// Told when the next report should not wait for its time.
    pub nudges: mpsc::Sender<()>,
}

/// Starts the task; the connections for requests live on the runtime `requests`.
pub fn start(
    clock: Clock,
    settings: Arc<Settings>,
    view: watch::Receiver<View>,
    outlets: Outlets,
    requests: Handle,
) -> HomeHandle {
    let (tx, rx) = mpsc::channel(MESSAGES_HELD);
    let handle = HomeHandle { tx };
    let home = Home {
        clock,
        view,
        handle: handle.clone(),
        outlets,
        dispatch: Dispatcher::new(dispatch_config(&settings)),
        targets: HeldTargets::new(&settings, requests),
        settings,
        open: BTreeMap::new(),
        held_back: Vec::new(),
        leaving: Vec::new(),
        told: 0,
        due: Moment::ZERO,
        idle: Vec::new(),
    };
    tokio::spawn(home.run(rx));
    handle
}

fn dispatch_config(settings: &Settings) -> DispatchConfig {
    let share = match settings.sending {
        Sending::Home => 1.0,
        Sending::Direct => 1.0 / settings.peers.len().max(1) as f64,
    };
    DispatchConfig {
        sending: settings.sending,
        share,
        seed: settings.node.0,
        zone: settings.zone.clone(),
        queue_capacity: settings.limits.queue as usize,
        ..DispatchConfig::default()
    }
}

impl Home {
    async fn run(mut self, mut rx: mpsc::Receiver<HomeMessage>) {
        self.reconcile();
        loop {
            let wake = self.clock.instant(self.next_wakeup());
            tokio::select! {
                message = rx.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                changed = self.view.changed() => match changed {
                    Ok(()) => self.reconcile(),
                    Err(_) => return,
                },
                () = sleep_until(wake) => {}
            }
            self.step();
        }
    }

    fn next_wakeup(&self) -> Moment {
        let now = self.clock.now();
        let idle = now + IDLE_PAUSE;
        let dispatch = self.dispatch.next_wakeup().unwrap_or(idle);
        let due = idle.min(dispatch).min(self.targets.next_wakeup(idle));
        // What is overdue cannot be done yet, such as an order without a lease of our own.
        due.max(now + BUSY_PAUSE)
    }

    fn handle(&mut self, message: HomeMessage) {
        let now = self.clock.now();
        match message {
            HomeMessage::Arrive {
                arrival,
                hash,
                verdicts,
            } => self.arrive(now, arrival, hash, verdicts),
            HomeMessage::Finish {
                id,
                attempt,
                ending,
            } => self.finish(now, id, attempt, ending),
            HomeMessage::Cancel(id) => {
                self.dispatch.cancel(now, id);
                self.close(now, id);
            }
            HomeMessage::Renewed(renewed) => {
                let running = renewed.running();
                self.targets.renewed(now, &renewed);
                if let Some(running) = running {
                    self.dispatch.report_load(now, &renewed.target, running);
                }
                self.publish_targets(now);
                self.release(now);
            }
            HomeMessage::Collect { report, reply } => {
                let report = self.collect(now, report);
                // The asker may have given up meanwhile.
                let _ = reply.send(report);
            }
            HomeMessage::Idle(reply) => self.idle.push(reply),
        }
    }

    fn arrive(
        &mut self,
        now: Moment,
        arrival: Arrival,
        hash: KeyHash,
        verdicts: mpsc::UnboundedSender<Verdict>,
    ) {
        let keyed = match &arrival.selector {
            TargetSelector::Keyed(target) => Some(target.clone()),
            TargetSelector::Pool => None,
        };
        let open = Open {
            service: arrival.service.clone(),
            hash,
            keyed,
            verdicts,
            running: BTreeMap::new(),
        };
        self.targets.count(&open, now);
        let target = open.keyed.clone();
        self.open.insert(arrival.id, open);
        match target {
            Some(target) if !self.targets.confirmed(&target, hash) => {
                self.held_back.push(HeldBack {
                    arrival,
                    target,
                    hash,
                });
            }
            _ => self.dispatch.submit(now, arrival),
        }
    }

    /// Lets requests go on whose grants are confirmed, or that are not open any more.
    fn release(&mut self, now: Moment) {
        let held_back = std::mem::take(&mut self.held_back);
        for held in held_back {
            if !self.open.contains_key(&held.arrival.id) {
                continue;
            }
            let late = now >= held.arrival.deadline;
            if late || self.targets.confirmed(&held.target, held.hash) {
                self.dispatch.submit(now, held.arrival);
            } else {
                self.held_back.push(held);
            }
        }
    }

    /// Asks for an early report if a move waits for this entry's word.
    fn nudge(&mut self, now: Moment) {
        let view = self.view.borrow().clone();
        let quiet = self.targets.quiet(now, &view, &self.open).len();
        if quiet > self.told {
            // A nudge that is waiting already does for this one too.
            let _ = self.outlets.nudges.try_send(());
        }
        self.told = quiet;
    }

    fn finish(&mut self, now: Moment, id: RequestId, attempt: u32, ending: AttemptOutcome) {
        self.dispatch.finish_attempt(now, id, attempt, ending);
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.running.remove(&attempt);
        if matches!(ending, AttemptOutcome::Shed | AttemptOutcome::NotSent) {
            let view = self.view.borrow().clone();
            self.send_elsewhere(now, &view);
        }
    }

    /// Ends a request whose task has gone, or goes now, with all its attempts.
    fn close(&mut self, now: Moment, id: RequestId) -> Option<Open> {
        let open = self.open.remove(&id)?;
        for attempt in open.running.keys() {
            self.dispatch
                .finish_attempt(now, id, *attempt, AttemptOutcome::Cancelled);
        }
        Some(open)
    }

    /// Brings leases and requests in line with a new state of the fleet.
    fn reconcile(&mut self) {
        let now = self.clock.now();
        let view = self.view.borrow_and_update().clone();
        let gone = self.targets.reconcile(now, &view, &self.settings);
        for target in gone {
            match home_targets::parting_view(&view, &target) {
                Some(parting) => {
                    self.dispatch.upsert_target(now, parting);
                    self.leaving.push(target);
                }
                None => self.dispatch.remove_target(now, &target),
            }
        }
        self.publish_targets(now);
        self.send_elsewhere(now, &view);
        self.part(now, &view);
    }

    /// Forgets targets that have another home once nothing of this one runs there, or they are lost.
    fn part(&mut self, now: Moment, view: &View) {
        for target in std::mem::take(&mut self.leaving) {
            if self.targets.holds(&target) {
                continue;
            }
            let mut running = self.open.values().flat_map(|open| open.running.values());
            let runs = running.any(|other| *other == target);
            if runs && home_targets::parting_view(view, &target).is_some() {
                self.leaving.push(target);
            } else {
                self.dispatch.remove_target(now, &target);
            }
        }
    }

    /// Tells the dispatch policy which targets may be sent to.
    fn publish_targets(&mut self, now: Moment) {
        for target in self.targets.views(now) {
            self.dispatch.upsert_target(now, target);
        }
    }

    /// Turns away waiting requests whose key this entry does not send for any more.
    fn send_elsewhere(&mut self, now: Moment, view: &View) {
        let leaving: Vec<RequestId> = self
            .open
            .iter()
            .filter(|(_, open)| open.running.is_empty() && !self.targets.serves(view, open))
            .map(|(id, _)| *id)
            .collect();
        for id in leaving {
            self.dispatch.cancel(now, id);
            if let Some(open) = self.open.remove(&id) {
                let _ = open.verdicts.send(Verdict::Elsewhere);
            }
        }
    }

    fn step(&mut self) {
        let now = self.clock.now();
        if now >= self.due {
            self.release(now);
            self.dispatch.tick(now);
            self.renew_leases(now);
            self.due = now + BUSY_PAUSE;
        }
        if !self.leaving.is_empty() {
            let view = self.view.borrow().clone();
            self.part(now, &view);
        }
        for action in self.dispatch.take_actions() {
            self.carry_out(now, action);
        }
        if self.targets.moving() {
            self.nudge(now);
        }
        if self.open.is_empty() {
            for reply in self.idle.drain(..) {
                let _ = reply.send(());
            }
        }
    }

    fn renew_leases(&mut self, now: Moment) {
        let until = self.view.borrow().until;
        for renewal in self.targets.poll(now, until) {
            let handle = self.handle.clone();
            tokio::spawn(async move {
                let renewed = renewal.send().await;
                handle.renewed(renewed).await;
            });
        }
    }

    fn carry_out(&mut self, now: Moment, action: Action) {
        match action {
            Action::Send {
                id,
                attempt,
                target,
            } => self.send(now, id, attempt, &target),
            Action::Refuse { id, refusal } => {
                if let Some(open) = self.close(now, id) {
                    let _ = open.verdicts.send(Verdict::Refuse(refusal));
                }
            }
            Action::Deliver { id, .. } => {
                self.close(now, id);
            }
            Action::Abort { id, attempt } => self.abort(now, id, attempt),
            Action::ReportCrash {
                fingerprint,
                target,
                incarnation,
            } => {
                // The control task is gone only when the daemon stops.
                let _ = self.outlets.crashes.send(Crash {
                    fingerprint,
                    target,
                    incarnation,
                });
            }
        }
    }

    /// Gives an attempt up. It stays among the running ones until its ending is known, because a
    /// request that ends at the same moment reads no more verdicts.
    fn abort(&mut self, now: Moment, id: RequestId, attempt: u32) {
        let told = self
            .open
            .get(&id)
            .is_some_and(|open| open.verdicts.send(Verdict::Abort(attempt)).is_ok());
        if !told {
            self.dispatch
                .finish_attempt(now, id, attempt, AttemptOutcome::Cancelled);
        }
    }

    fn send(&mut self, now: Moment, id: RequestId, attempt: u32, target: &Target) {
        let Some(open) = self.open.get_mut(&id) else {
            return self
                .dispatch
                .finish_attempt(now, id, attempt, AttemptOutcome::Cancelled);
        };
        let until = self.view.borrow().until;
        let permit = self
            .targets
            .permit(target, open, attempt, until, &self.clock);
        let sent = match permit {
            Some(permit) => open.verdicts.send(Verdict::Send(permit)).is_ok(),
            None => false,
        };
        if sent {
            open.running.insert(attempt, target.clone());
        } else {
            self.dispatch
                .finish_attempt(now, id, attempt, AttemptOutcome::NotSent);
        }
    }

    fn collect(&mut self, now: Moment, mut report: EntryReport) -> EntryReport {
        let view = self.view.borrow().clone();
        self.targets.report(now, &view, &self.open, &mut report);
        let loads = self.dispatch.loads();
        let slow = loads
            .into_iter()
            .filter(|load| load.condition != Condition::Healthy);
        report.slow = slow
            .map(|load| SlowTarget {
                target: load.target,
                slowdown: load.slowness,
            })
            .collect();
        report
    }
}
