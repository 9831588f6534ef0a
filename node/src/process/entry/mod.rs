//! An entry of a seeded fleet: takes callers' requests and sends them to targets by its copy of the
//! fleet.
//!
//! The copy stands behind one lock that is held for a decision and never across a wait. A task of
//! its own would own it more clearly, but each request would pay two more wake-ups, which is what an
//! entry host of a tenth of a core has least of.

mod follow;
mod front;
mod links;
mod probe;
mod questions;
mod watch_replica;

use super::{
    clock::Clock,
    core::{SeededError, bind},
    logging::EventLog,
};
use crate::connection::{
    http_server::{self, respond},
    link::Link,
    pool::Pool,
};
use bytes::Bytes;
use cornelrail_lib::{
    name::Zone,
    process::{
        event::Event,
        seeded_settings::{DEFAULT_IDLE_CONNECTIONS, Role, SeededSettings},
    },
    request::balance::{Router, RouterConfig, Shutdown, SpillChange},
    version::{desired::RequestLimits, feed::Peer},
};
use cornelrail_platform::READY_PATH;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use questions::Question;
use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    net::TcpListener,
    sync::{Notify, futures::OwnedNotified, mpsc, watch},
    task::JoinHandle,
    time::{Instant, interval, sleep, timeout_at},
};

/// Pause between two sweeps of the idle connections.
const SWEEP_PAUSE: Duration = Duration::from_secs(1);
/// Age of the copy beyond which other entries serve better.
const READY_AGE: Duration = Duration::from_millis(2_500);
/// Time for the balancer to learn that this entry ends: two of its questions and a bit.
const LEAVING_TIME: Duration = Duration::from_millis(2_500);
/// Time that is left of the grace when the process ends.
const LAST_MARGIN: Duration = Duration::from_millis(200);
/// Pause between two looks whether the last request has ended.
const END_PAUSE: Duration = Duration::from_millis(50);
/// Time that the last answers take to their callers.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// What the tasks of an entry share.
#[derive(Debug)]
pub struct Entry {
    /// Clock of the process.
    pub clock: Clock,
    /// Budget of the link, if its rate is set.
    pub link: Option<Arc<Link>>,
    /// Connections to targets.
    pub pool: Pool,
    /// Connections to other entries.
    pub peers: Pool,
    /// Address at which this entry takes requests, and its zone.
    address: SocketAddr,
    zone: Zone,
    router: Mutex<Router>,
    /// Way of questions to the leader, while this entry follows one.
    leader: Mutex<Option<mpsc::Sender<Question>>>,
    news: Notify,
    link_failures: Notify,
    changes: Arc<Notify>,
    shutdown: OnceLock<Shutdown>,
    ending: watch::Sender<bool>,
    /// Limits on requests in force.
    limits: watch::Sender<RequestLimits>,
    connections: AtomicUsize,
}

impl Entry {
    fn new(settings: &SeededSettings, address: SocketAddr) -> Self {
        let config = RouterConfig {
            seed: rand::random(),
            zone: settings.zone.clone(),
            in_force: settings.in_force,
            drain: settings.drain,
            evacuate: settings.evacuate,
            retry_ratio: settings.retry.ratio,
            retry_floor: settings.retry.floor,
            retry_window: settings.retry.window.0,
            hop_price: settings.zones.map(|zones| zones.kib_cost.0),
        };
        let clock = Clock::start();
        let link = Link::new(settings.link, clock);
        Entry {
            clock,
            pool: Pool::new(settings.idle_connections, link.clone()),
            peers: Pool::new(DEFAULT_IDLE_CONNECTIONS, link.clone()),
            link,
            address,
            zone: settings.zone.clone(),
            router: Mutex::new(Router::new(config)),
            leader: Mutex::new(None),
            news: Notify::new(),
            link_failures: Notify::new(),
            changes: Arc::new(Notify::new()),
            shutdown: OnceLock::new(),
            ending: watch::Sender::new(false),
            limits: watch::Sender::new(RequestLimits::default()),
            connections: AtomicUsize::new(0),
        }
    }

    /// The copy of the fleet, for one decision.
    pub fn router(&self) -> MutexGuard<'_, Router> {
        // A decision that panicked left the copy as whole as it was before.
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Has the leader told of changes of limits and of requests that may have ended targets.
    pub fn notify_leader(&self) {
        self.news.notify_one();
    }

    /// Has the links to targets checked.
    pub fn check_links(&self) {
        self.link_failures.notify_one();
    }

    /// How other entries reach this one.
    fn as_peer(&self) -> Peer {
        Peer {
            address: self.address,
            zone: self.zone.clone(),
            is_helpful: !self.is_stopping() && !self.router().reach().is_detached(),
        }
    }

    /// Ends when the copy changes after this call.
    pub fn changed(&self) -> OwnedNotified {
        // `notify_waiters` reaches all that were made before it, polled or not.
        self.changes.clone().notified_owned()
    }

    /// Limits on requests in force, and their changes.
    pub fn limits(&self) -> watch::Receiver<RequestLimits> {
        self.limits.subscribe()
    }

    /// Has connections follow the limits of the present copy.
    fn publish_limits(&self) {
        let limits = self.router().request_limits();
        self.limits.send_if_modified(|former| {
            let is_new = *former != limits;
            *former = limits;
            is_new
        });
    }

    /// Whether the process is to end.
    pub fn is_stopping(&self) -> bool {
        self.shutdown.get().is_some()
    }

    /// When the process was told to end, and when it ends.
    pub fn shutdown(&self) -> Option<&Shutdown> {
        self.shutdown.get()
    }

    /// Ends once what is still open has to be answered, since the process ends.
    pub async fn given_up(&self) {
        // The sender lives as long as the entry.
        let _ = self.ending.subscribe().wait_for(|ending| *ending).await;
    }

    fn is_ready(&self) -> bool {
        let now = self.clock.now();
        let router = self.router();
        let young = router.status_age(now).is_some_and(|age| age < READY_AGE);
        let serves = router.has_desired_state() && router.may_serve(now);
        serves && young && !self.is_stopping()
    }
}

/// A running entry.
#[derive(Debug)]
pub struct EntryHandle {
    entry: Arc<Entry>,
    seeds: watch::Sender<Vec<IpAddr>>,
    closing: watch::Sender<bool>,
    /// Ends once all connections that were made are accepted.
    accepting: JoinHandle<()>,
    grace: Duration,
}

/// Starts the tasks of an entry on the present runtime.
pub async fn start(settings: SeededSettings) -> Result<EntryHandle, SeededError> {
    let (Some(callers), Some(ready)) = (settings.listen.callers, settings.listen.ready) else {
        return Err(SeededError::Role(Role::Entry.name()));
    };
    let callers_listener = bind("listen.callers", callers)?;
    let ready_listener = bind("listen.ready", ready)?;
    let entry = Arc::new(Entry::new(&settings, callers));
    let (seeds, seeds_rx) = watch::channel(settings.seeds.clone());
    let (closing, closing_rx) = watch::channel(false);
    Event::Started.log(format_args!(
        "role=entry zone={} callers={callers}",
        settings.zone
    ));
    let grace = settings.grace;
    tokio::spawn(follow::run(entry.clone(), settings, seeds_rx));
    let accepting = tokio::spawn(front::run(callers_listener, entry.clone(), closing_rx));
    tokio::spawn(serve_ready(ready_listener, entry.clone()));
    tokio::spawn(sweep(entry.clone()));
    tokio::spawn(watch_replica::run(entry.clone()));
    tokio::spawn(links::run(entry.clone()));
    tokio::spawn(probe::run(entry.clone()));
    Ok(EntryHandle {
        entry,
        seeds,
        closing,
        accepting,
        grace,
    })
}

impl EntryHandle {
    /// Takes other seeds over.
    pub fn reseed(&self, seeds: &[IpAddr]) {
        self.seeds.send_replace(seeds.to_vec());
    }

    /// Ends in good order: the balancer is told first, and what was begun is finished.
    pub async fn stop(self) {
        let now = self.entry.clock.now();
        let open = self.grace.saturating_sub(LAST_MARGIN);
        let end = Instant::now() + open;
        let answers_end = now + open.saturating_sub(ANSWER_TIME);
        // There is one call only, as it takes the handle.
        let _ = self.entry.shutdown.set(Shutdown::new(now, answers_end));
        self.entry.notify_leader();
        Event::Stopping.log(format_args!("limit={:?}", self.grace));
        sleep(LEAVING_TIME.min(self.grace / 2)).await;
        self.closing.send_replace(true);
        // Without connections before, the last ones would be missed.
        let _ = timeout_at(end, self.accepting).await;
        while self.entry.connections.load(Ordering::Relaxed) > 0 && Instant::now() < end {
            sleep(END_PAUSE).await;
            if Instant::now() + ANSWER_TIME > end {
                self.entry.ending.send_replace(true);
            }
        }
        let open = self.entry.connections.load(Ordering::Relaxed);
        Event::Stopped.log(format_args!("connections={open}"));
    }
}

async fn serve_ready(listener: TcpListener, entry: Arc<Entry>) {
    let handle = move |request: Request<Incoming>| {
        let entry = entry.clone();
        async move { answer_ready(&entry, &request) }
    };
    http_server::run(listener, handle).await;
}

fn answer_ready(entry: &Entry, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let status = match (request.uri().path() == READY_PATH, entry.is_ready()) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    respond(status, Vec::new())
}

async fn sweep(entry: Arc<Entry>) {
    let mut pause = interval(SWEEP_PAUSE);
    loop {
        pause.tick().await;
        if let Some(link) = &entry.link {
            link.sweep();
        }
        let now = entry.clock.now();
        let mut router = entry.router();
        entry.pool.sweep(|id| router.has_target(id));
        entry.peers.sweep(|_| true);
        let changes = router.take_spill_changes(now);
        drop(router);
        changes.iter().for_each(log_spill);
    }
}

fn log_spill(change: &SpillChange) {
    let event = match change.begins {
        true => Event::SpillBegun,
        false => Event::SpillEnded,
    };
    event.log(format_args!(
        "service={} reason={} share={:.2} saved_ms={} cost_ms={} sent={} ms={}",
        change.service,
        change.reason.name(),
        change.share,
        change.saved.as_millis(),
        change.cost.as_millis(),
        change.sent,
        change.elapsed.as_millis()
    ));
}
