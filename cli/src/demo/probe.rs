//! Probes of sampled keys, which measure how long each is unavailable.
//!
//! A key is unavailable from the time at which the first look-up that failed was sent until the
//! next one is answered. Probes never retry, and they count no request of the run.

use cornelrail_lib::{key::KeyHash, name::Target};
use cornelrail_testutils::{
    caller::{Caller, CallerSettings, Outcome},
    ledger::Ledger,
    workload::Workload,
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    sync::watch,
    task::JoinSet,
    time::{sleep, sleep_until},
};

/// Pause between two probes of a key that is served.
pub(super) const PROBE_PERIOD: Duration = Duration::from_millis(100);
const FAILED_PAUSE: Duration = Duration::from_millis(20);
const PROBE_DEADLINE: Duration = Duration::from_millis(500);
const KEYS_PER_TARGET: usize = 2;
const CANDIDATES: usize = 4_000;
const NONCE_RUN: u64 = 0xff;

/// Time for which the sampled keys were unavailable.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Outage {
    /// Over all sampled keys.
    pub(super) total: Duration,
    /// Of the worst key.
    pub(super) worst: Duration,
    /// Probes with another's answer or a part of one.
    pub(super) wrong: u64,
}

/// Keys that are probed during a run.
pub(super) struct Probes {
    workload: Arc<Workload>,
    caller: Arc<Caller>,
    keys: Vec<String>,
}

impl Probes {
    /// Probes of keys spread evenly over the targets that own them now.
    pub(super) fn new(workload: &Arc<Workload>, entries: &[SocketAddr], ledger: &Ledger) -> Self {
        let caller = Caller::new(CallerSettings {
            entries: entries.to_vec(),
            latency: workload.delays.caller,
            deadline: PROBE_DEADLINE,
            retry: false,
        });
        Probes {
            workload: Arc::clone(workload),
            caller: Arc::new(caller),
            keys: sample_keys(workload, ledger),
        }
    }

    /// Number of keys.
    pub(super) fn len(&self) -> usize {
        self.keys.len()
    }

    /// Probes a second while all keys are served.
    pub(super) fn rate(&self) -> f64 {
        self.keys.len() as f64 / PROBE_PERIOD.as_secs_f64()
    }

    /// Number of keys that are answered right now.
    pub(super) async fn answered(&self) -> usize {
        let mut tasks = JoinSet::new();
        for key in &self.keys {
            let (caller, call) = (Arc::clone(&self.caller), self.workload.view(key.clone(), 0));
            tasks.spawn(async move { caller.send(&call).await });
        }
        let outcomes = tasks.join_all().await;
        let good = outcomes.iter().filter(|one| **one == Outcome::Answered);
        good.count()
    }

    /// Probes all keys until `over` says so.
    pub(super) async fn watch(&self, over: &watch::Receiver<bool>) -> Outage {
        let before = self.caller.tally().wrong;
        let mut tasks = JoinSet::new();
        for (n, key) in self.keys.iter().enumerate() {
            let offset = PROBE_PERIOD * n as u32 / self.keys.len() as u32;
            let probe = Probe {
                workload: Arc::clone(&self.workload),
                caller: Arc::clone(&self.caller),
                key: key.clone(),
                nonce: (NONCE_RUN << 40) | ((n as u64) << 24),
            };
            let over = over.clone();
            tasks.spawn(async move {
                sleep(offset).await;
                probe.watch(over).await
            });
        }
        let outages = tasks.join_all().await;
        Outage {
            total: outages.iter().sum(),
            worst: outages.into_iter().max().unwrap_or_default(),
            wrong: self.caller.tally().wrong - before,
        }
    }
}

/// Probe of one key.
struct Probe {
    workload: Arc<Workload>,
    caller: Arc<Caller>,
    key: String,
    nonce: u64,
}

impl Probe {
    async fn watch(mut self, over: watch::Receiver<bool>) -> Duration {
        let mut unavailable = Duration::ZERO;
        let mut since: Option<Instant> = None;
        while !*over.borrow() {
            let start = Instant::now();
            self.nonce += 1;
            let call = self.workload.view(self.key.clone(), self.nonce);
            if self.caller.send(&call).await == Outcome::Answered {
                unavailable += since.take().map_or(Duration::ZERO, |since| since.elapsed());
                sleep_until((start + PROBE_PERIOD).into()).await;
            } else {
                since.get_or_insert(start);
                sleep(FAILED_PAUSE).await;
            }
        }
        unavailable + since.map_or(Duration::ZERO, |since| since.elapsed())
    }
}

/// Some keys of each target, by what the targets were granted.
fn sample_keys(workload: &Workload, ledger: &Ledger) -> Vec<String> {
    let mut taken: BTreeMap<Option<Target>, usize> = BTreeMap::new();
    let wanted = workload.keyed.targets as usize * KEYS_PER_TARGET;
    let mut keys = Vec::new();
    for n in 0..CANDIDATES {
        let key = format!("probe-{n}");
        let owner = ledger.owner(&workload.keyed.service, KeyHash::of(&key));
        let count = taken.entry(owner).or_default();
        if *count < KEYS_PER_TARGET && keys.len() < wanted {
            *count += 1;
            keys.push(key);
        }
    }
    keys
}
