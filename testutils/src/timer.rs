//! Sleeps that are finer than the millisecond of tokio's timer.
//!
//! Zones lie half a millisecond apart, which tokio would round up to two. One thread of the process
//! holds all sleepers by their time and wakes each when it is due.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    sync::{Condvar, Mutex, OnceLock},
    thread,
    time::{Duration, Instant},
};
use tokio::sync::oneshot;

#[derive(Debug)]
struct Sleeper {
    due: Instant,
    wake: oneshot::Sender<()>,
}

impl PartialEq for Sleeper {
    fn eq(&self, other: &Self) -> bool {
        self.due == other.due
    }
}

impl Eq for Sleeper {}

impl PartialOrd for Sleeper {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Sleeper {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.due.cmp(&other.due)
    }
}

#[derive(Debug, Default)]
struct Timer {
    sleepers: Mutex<BinaryHeap<Reverse<Sleeper>>>,
    changed: Condvar,
}

static TIMER: OnceLock<&'static Timer> = OnceLock::new();

/// Waits for `span`, to about a tenth of a millisecond.
pub async fn sleep(span: Duration) {
    if !span.is_zero() {
        sleep_until(Instant::now() + span).await;
    }
}

/// Waits until `due`, to about a tenth of a millisecond.
pub async fn sleep_until(due: Instant) {
    let (wake, woken) = oneshot::channel();
    TIMER.get_or_init(start).add(Sleeper { due, wake });
    let _ = woken.await;
}

impl Timer {
    fn add(&self, sleeper: Sleeper) {
        let mut sleepers = self.sleepers.lock().expect("timer lock");
        let next = sleepers.peek().map(|next| next.0.due);
        if next.is_none_or(|next| sleeper.due < next) {
            self.changed.notify_one();
        }
        sleepers.push(Reverse(sleeper));
    }
}

fn start() -> &'static Timer {
    let timer: &'static Timer = Box::leak(Box::default());
    thread::Builder::new()
        .name("timer".to_owned())
        .spawn(move || run(timer))
        .expect("a thread for the timer");
    timer
}

fn run(timer: &Timer) {
    let mut sleepers = timer.sleepers.lock().expect("timer lock");
    loop {
        let now = Instant::now();
        while sleepers.peek().is_some_and(|next| next.0.due <= now) {
            if let Some(Reverse(sleeper)) = sleepers.pop() {
                let _ = sleeper.wake.send(());
            }
        }
        let pause = match sleepers.peek() {
            Some(next) => next.0.due.saturating_duration_since(now),
            None => Duration::from_secs(60),
        };
        sleepers = timer
            .changed
            .wait_timeout(sleepers, pause)
            .expect("timer lock")
            .0;
    }
}
