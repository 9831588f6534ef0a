//! Requests of a run, sent at their times whether or not earlier ones were answered.

use cornelrail_testutils::{
    caller::{Caller, CallerSettings, Tally},
    timer,
    workload::Workload,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{sync::watch, task::JoinSet};

/// Time that a caller waits for an answer, with all its retries.
pub(super) const CALLER_DEADLINE: Duration = Duration::from_secs(2);

/// One stretch of requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Stretch {
    /// Requests to send.
    pub(super) requests: u64,
    /// Requests a second.
    pub(super) rate: f64,
    /// Seed of requests and their times.
    pub(super) seed: u64,
    /// Number that keeps the identities of two stretches apart.
    pub(super) run: u64,
}

/// Sends a stretch and waits for every outcome; `progress` follows the number sent.
pub(super) async fn send(
    workload: &Workload,
    entries: &[SocketAddr],
    stretch: Stretch,
    progress: &watch::Sender<u64>,
) -> Tally {
    let caller = Arc::new(Caller::new(CallerSettings {
        entries: entries.to_vec(),
        latency: workload.delays.caller,
        deadline: CALLER_DEADLINE,
        retry: true,
    }));
    let mut rng = ChaCha8Rng::seed_from_u64(stretch.seed);
    let calls = workload.requests(stretch.seed, stretch.run);
    let mut tasks = JoinSet::new();
    let mut due = Instant::now();
    for (n, call) in (1..=stretch.requests).zip(calls) {
        let uniform: f64 = rng.random();
        due += Duration::from_secs_f64(-(1.0 - uniform).ln() / stretch.rate);
        if due > Instant::now() {
            timer::sleep_until(due).await;
        }
        let caller = Arc::clone(&caller);
        tasks.spawn(async move { caller.send(&call).await });
        while tasks.try_join_next().is_some() {}
        progress.send_replace(n);
    }
    tasks.join_all().await;
    caller.tally()
}
