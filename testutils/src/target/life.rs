//! One life of a target: its lease, its slots and its warmth. A restart begins another.

use super::{Checks, ColdStart, TargetSettings};
use cornelrail_lib::{
    connection::order::{Grant, LeaseAnswer, LeaseOrder, Warmth},
    key::KeyHash,
    name::{Epoch, Fence, Incarnation, Target},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicU32, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};
use tokio::sync::{Semaphore, watch};

#[derive(Debug)]
struct Lease {
    epoch: Epoch,
    serial: u64,
    grants: Vec<Grant>,
    end: Instant,
}

/// State of one life.
#[derive(Debug)]
pub(super) struct Life {
    name: Target,
    origin: Instant,
    incarnation: Incarnation,
    checks: Checks,
    slots: u32,
    cold: Option<ColdStart>,
    ended: watch::Sender<bool>,
    closed: watch::Sender<bool>,
    draining: watch::Sender<bool>,
    lease: Mutex<Lease>,
    rng: Mutex<ChaCha8Rng>,
    served: AtomicU32,
    /// Requests that are here, running or waiting.
    pub(super) present: AtomicU32,
    running: AtomicU32,
    /// One permit for each slot.
    pub(super) permits: Semaphore,
}

impl Life {
    pub(super) fn new(incarnation: Incarnation, settings: &TargetSettings) -> Self {
        let lease = Lease {
            epoch: Epoch::default(),
            serial: 0,
            grants: Vec::new(),
            end: Instant::now(),
        };
        Life {
            name: settings.name.clone(),
            origin: Instant::now(),
            incarnation,
            checks: settings.checks,
            slots: settings.slots,
            cold: settings.cold,
            ended: watch::Sender::new(false),
            closed: watch::Sender::new(false),
            draining: watch::Sender::new(false),
            lease: Mutex::new(lease),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(
                settings.seed.wrapping_add(incarnation.0),
            )),
            served: AtomicU32::new(0),
            present: AtomicU32::new(0),
            running: AtomicU32::new(0),
            permits: Semaphore::new(settings.slots as usize),
        }
    }

    pub(super) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    pub(super) fn end(&self) {
        self.ended.send_replace(true);
    }

    pub(super) fn ended(&self) -> bool {
        *self.ended.borrow()
    }

    pub(super) async fn end_of_life(&self) {
        let _ = self.ended.subscribe().wait_for(|ended| *ended).await;
    }

    pub(super) fn close(&self) {
        self.closed.send_replace(true);
    }

    /// Waits until listener and connections of an ended life are closed.
    pub(super) async fn closed(&self) {
        let _ = self.closed.subscribe().wait_for(|closed| *closed).await;
    }

    pub(super) fn drain(&self) {
        self.draining.send_replace(true);
    }

    pub(super) fn draining(&self) -> bool {
        *self.draining.borrow()
    }

    pub(super) fn busy(&self) -> bool {
        let lease = self.lock();
        let holds = !lease.grants.is_empty() && lease.end > Instant::now();
        holds || self.present.load(Relaxed) > 0
    }

    /// Share of its full strength, between 0 and 1.
    fn strength(&self) -> f64 {
        match self.cold {
            Some(cold) => {
                let served = f64::from(self.served.load(Relaxed));
                (served / f64::from(cold.requests.max(1))).min(1.0)
            }
            None => 1.0,
        }
    }

    /// Requests that it can run at once by now: one at first, all slots when warm.
    pub(super) fn bearable(&self) -> u32 {
        let bears = f64::from(self.slots) * self.strength();
        (bears.floor() as u32).max(1)
    }

    /// Counts a request that begins to run; the result is the number that run now.
    pub(super) fn begin_run(&self) -> u32 {
        self.running.fetch_add(1, Relaxed) + 1
    }

    pub(super) fn end_run(&self, whole: bool) {
        self.running.fetch_sub(1, Relaxed);
        self.served.fetch_add(u32::from(whole), Relaxed);
    }

    /// Time that one more request takes: longer when cold, and far longer beyond the bearable.
    pub(super) fn service_time(&self, median: Duration, sigma: f64, running: u32) -> Duration {
        let normal = {
            let mut rng = self.rng.lock().expect("life lock");
            let (u, v): (f64, f64) = (rng.random(), rng.random());
            (-2.0 * (1.0 - u).ln()).sqrt() * (std::f64::consts::TAU * v).cos()
        };
        let cold = self.cold.map_or(1.0, |cold| cold.factor);
        let chill = cold + (1.0 - cold) * self.strength();
        let excess = f64::from(running) / f64::from(self.bearable());
        let collapse = if excess > 1.0 { excess * excess } else { 1.0 };
        median.mul_f64((normal * sigma).exp() * chill * collapse)
    }

    /// Obeys or refuses an order; `record` is told the end of the new lease if it obeys, before any
    /// other order is.
    pub(super) fn obey(&self, order: &LeaseOrder, record: impl FnOnce(Instant)) -> LeaseAnswer {
        let mut lease = self.lock();
        let later = (order.epoch, order.serial) > (lease.epoch, lease.serial);
        let fits = order.incarnation == self.incarnation && later;
        let accepted = fits || self.checks == Checks::Trusting;
        let end = self.origin + Duration::from_millis(order.until_ms);
        if accepted {
            lease.epoch = order.epoch;
            lease.serial = order.serial;
            lease.grants.clone_from(&order.grants);
            lease.end = end;
            record(end);
        }
        let epoch = lease.epoch;
        drop(lease);
        if accepted && order.drain {
            self.drain();
        }
        LeaseAnswer {
            target: self.name.clone(),
            incarnation: self.incarnation,
            accepted,
            epoch,
            clock_ms: self.origin.elapsed().as_millis() as u64,
            warmth: self.warmth(),
            running: self.running.load(Relaxed),
        }
    }

    /// Whether it may run work for a key (`None` in a pool) under this epoch and fence.
    pub(super) fn allows(
        &self,
        hash: Option<KeyHash>,
        epoch: Option<Epoch>,
        fence: Option<Fence>,
    ) -> bool {
        if self.checks == Checks::Trusting {
            return true;
        }
        let lease = self.lock();
        let granted = |hash| {
            let mut grants = lease.grants.iter();
            grants.any(|grant| grant.range.contains(hash) && Some(grant.fence) == fence)
        };
        lease.end > Instant::now() && epoch == Some(lease.epoch) && hash.is_none_or(granted)
    }

    fn warmth(&self) -> Warmth {
        if self.draining() {
            Warmth::Draining
        } else if self.bearable() < self.slots {
            Warmth::Cold
        } else {
            Warmth::Warm
        }
    }

    fn lock(&self) -> MutexGuard<'_, Lease> {
        self.lease.lock().expect("life lock")
    }
}
