//! Stand-in for a server that holds its keys exclusively.
//!
//! It announces itself, takes fenced grants, drains, starts cold, sheds load, and accepts
//! cancellation and deadlines. Faults are brought about by its methods.

mod life;
mod serve;

use crate::{http::Client, ledger::Ledger, workload::Zones};
use bytes::Bytes;
use cornelrail_lib::{
    connection::order::{ANNOUNCE_PATH, LEAVE_PATH, Leave},
    name::{Incarnation, Service, Target, Zone},
    version::command::Announcement,
};
use http_body_util::Full;
use hyper::{Request, header};
use life::Life;
use serde::Serialize;
use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::{
    net::TcpListener,
    sync::watch,
    time::{sleep, timeout},
};

const ANNOUNCE_PERIOD: Duration = Duration::from_millis(500);
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(400);

/// Whether a target checks who orders it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Checks {
    /// It refuses a lower epoch, another life's orders, a wrong fence, and work without a lease.
    Checking,
    /// It does what it is told.
    Trusting,
}

/// How a target bears work before it is warm.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// Requests that it must serve until it bears its full share.
    pub requests: u32,
    /// How much longer a request takes on a target that has served none.
    pub factor: f64,
}

/// Settings of a stand-in.
#[derive(Debug, Clone)]
pub struct TargetSettings {
    /// Its name.
    pub name: Target,
    /// Service that it runs.
    pub service: Service,
    /// Zone that it stands in.
    pub zone: Zone,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests that it lets wait beyond its slots.
    pub queue: u32,
    /// Whether the keys of its service have owners.
    pub keyed: bool,
    /// Whether it checks who orders it.
    pub checks: Checks,
    /// How it starts; `None` starts warm.
    pub cold: Option<ColdStart>,
    /// Median time of a request.
    pub median: Duration,
    /// Spread of that time: deviation of its natural logarithm.
    pub sigma: f64,
    /// Delays between the zones.
    pub zones: Zones,
    /// Entries to which it announces itself.
    pub entries: Vec<SocketAddr>,
    /// Pause after which the platform starts it again when a request crashed it.
    pub revive: Option<Duration>,
    /// Seed of its service times.
    pub seed: u64,
}

impl TargetSettings {
    /// Settings of a warm, checking target of a keyed service with four slots.
    pub fn new(name: &str, service: &str, zone: &str) -> Self {
        TargetSettings {
            name: name.into(),
            service: service.into(),
            zone: zone.into(),
            slots: 4,
            queue: 16,
            keyed: true,
            checks: Checks::Checking,
            cold: None,
            median: Duration::from_millis(5),
            sigma: 0.3,
            zones: Zones::default(),
            entries: Vec::new(),
            revive: None,
            seed: 1,
        }
    }
}

/// Faults in force at a target.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Faults {
    /// How much longer requests take.
    slow: f64,
    /// Whether it accepts connections but does nothing.
    frozen: bool,
    /// Answers still to be cut off in the middle.
    truncate: u32,
    /// Answers still to be held back, and for how long.
    late: (u32, Duration),
}

impl Default for Faults {
    fn default() -> Self {
        Faults {
            slow: 1.0,
            frozen: false,
            truncate: 0,
            late: (0, Duration::ZERO),
        }
    }
}

#[derive(Debug)]
struct Shared {
    settings: TargetSettings,
    ledger: Arc<Ledger>,
    client: Client,
    faults: watch::Sender<Faults>,
    life: Mutex<Option<Arc<Life>>>,
    past: Mutex<(Incarnation, Option<SocketAddr>)>,
    endless: Mutex<Endless>,
}

/// Bytes in place of an answer: a start, and what follows it until the other side closes.
#[derive(Debug, Clone, Default)]
struct Endless {
    start: String,
    again: String,
}

/// A running stand-in; a dropped one is killed.
#[derive(Debug)]
pub struct StandIn {
    shared: Arc<Shared>,
}

impl StandIn {
    /// Starts a stand-in on a free port of the loopback address.
    pub async fn start(settings: TargetSettings, ledger: Arc<Ledger>) -> io::Result<StandIn> {
        ledger.count(&settings.name, |counts| counts.slots = settings.slots);
        let shared = Arc::new(Shared {
            settings,
            ledger,
            client: Client::default(),
            faults: watch::Sender::new(Faults::default()),
            life: Mutex::default(),
            past: Mutex::default(),
            endless: Mutex::default(),
        });
        shared.begin().await?;
        Ok(StandIn { shared })
    }

    /// Its name.
    pub fn name(&self) -> &Target {
        &self.shared.settings.name
    }

    /// Its settings.
    pub fn settings(&self) -> &TargetSettings {
        &self.shared.settings
    }

    /// Where it listens, or listened last.
    pub fn address(&self) -> SocketAddr {
        let past = self.shared.past.lock().expect("target lock");
        past.1.expect("a started target has an address")
    }

    /// Answers requests whose path contains `/endless` with these bytes, the second part again and
    /// again until the other side closes the connection.
    pub fn set_endless(&self, start: &str, again: &str) {
        *self.shared.endless.lock().expect("target lock") = Endless {
            start: start.to_owned(),
            again: again.to_owned(),
        };
    }

    /// Its present life, or the last one.
    pub fn incarnation(&self) -> Incarnation {
        self.shared.past.lock().expect("target lock").0
    }

    /// Whether it runs.
    pub fn alive(&self) -> bool {
        self.shared.life().is_some()
    }

    /// Whether it bears its full share.
    pub fn warm(&self) -> bool {
        let life = self.shared.life();
        life.is_some_and(|life| life.bearable() >= self.shared.settings.slots)
    }

    /// Whether it has requests or holds grants.
    pub fn busy(&self) -> bool {
        self.shared.life().is_some_and(|life| life.busy())
    }

    /// Makes requests take `factor` times as long; 1 ends it.
    pub fn slow(&self, factor: f64) {
        self.change(|faults| faults.slow = factor);
    }

    /// Stops it as SIGSTOP would: it accepts connections and does nothing.
    pub fn freeze(&self) {
        self.change(|faults| faults.frozen = true);
    }

    /// Lets it go on as if nothing happened.
    pub fn resume(&self) {
        self.change(|faults| faults.frozen = false);
    }

    /// Cuts off the next answers in the middle.
    pub fn truncate_next(&self, answers: u32) {
        self.change(|faults| faults.truncate = answers);
    }

    /// Holds the next answers back.
    pub fn delay_next(&self, answers: u32, span: Duration) {
        self.change(|faults| faults.late = (answers, span));
    }

    /// Ends it at once, with its listener and its connections.
    pub async fn kill(&self) {
        if let Some(life) = self.shared.end() {
            life.closed().await;
        }
    }

    /// Ends it and starts it again under a higher incarnation, at the same address if that is free.
    pub async fn restart(&self) -> io::Result<()> {
        self.kill().await;
        self.shared.begin().await
    }

    /// Asks the entries to be let go; it still finishes what it has.
    pub async fn leave(&self) -> bool {
        let body = Leave {
            target: self.name().clone(),
            incarnation: self.incarnation(),
        };
        if let Some(life) = self.shared.life() {
            life.drain();
        }
        self.shared.tell_entries(LEAVE_PATH, &body).await
    }

    fn change(&self, change: impl FnOnce(&mut Faults)) {
        self.shared.faults.send_modify(change);
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        self.shared.end();
    }
}

impl Shared {
    fn life(&self) -> Option<Arc<Life>> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Arc<Life>>> {
        self.life.lock().expect("target lock")
    }

    async fn begin(self: &Arc<Self>) -> io::Result<()> {
        let listener = self.bind().await?;
        let address = listener.local_addr()?;
        let incarnation = {
            let mut past = self.past.lock().expect("target lock");
            *past = (past.0.next(), Some(address));
            past.0
        };
        let life = Arc::new(Life::new(incarnation, &self.settings));
        *self.lock() = Some(Arc::clone(&life));
        tokio::spawn(serve::accept(Arc::clone(self), Arc::clone(&life), listener));
        tokio::spawn(Arc::clone(self).announce(life, address));
        Ok(())
    }

    /// Takes the port of the life before, unless another process has it by now.
    async fn bind(&self) -> io::Result<TcpListener> {
        let last = self.past.lock().expect("target lock").1;
        if let Some(address) = last
            && let Ok(listener) = TcpListener::bind(address).await
        {
            return Ok(listener);
        }
        TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await
    }

    fn end(&self) -> Option<Arc<Life>> {
        let life = self.lock().take()?;
        life.end();
        self.ledger.crash(&self.settings.name);
        Some(life)
    }

    /// Ends a life that a request crashed, and starts the next one if the platform does.
    fn crash(self: &Arc<Self>, life: &Life) {
        let current = self.life().map(|life| life.incarnation());
        if current != Some(life.incarnation()) {
            return;
        }
        self.end();
        if let Some(pause) = self.settings.revive {
            let shared = Arc::clone(self);
            tokio::spawn(async move {
                sleep(pause).await;
                if shared.life().is_none() {
                    let _ = shared.begin().await;
                }
            });
        }
    }

    async fn thawed(&self) {
        let mut faults = self.faults.subscribe();
        let _ = faults.wait_for(|faults| !faults.frozen).await;
    }

    async fn announce(self: Arc<Self>, life: Arc<Life>, address: SocketAddr) {
        let announcement = Announcement {
            target: self.settings.name.clone(),
            service: self.settings.service.clone(),
            zone: self.settings.zone.clone(),
            address,
            slots: self.settings.slots,
            incarnation: life.incarnation(),
        };
        while !life.ended() && !life.draining() {
            self.thawed().await;
            self.tell_entries(ANNOUNCE_PATH, &announcement).await;
            tokio::select! {
                () = sleep(ANNOUNCE_PERIOD) => {}
                () = life.end_of_life() => {}
            }
        }
    }

    /// Posts to the first entry that takes it.
    async fn tell_entries(&self, path: &str, body: &impl Serialize) -> bool {
        let body = Bytes::from(serde_json::to_vec(body).expect("names serialize"));
        for entry in &self.settings.entries {
            let request = Request::post(path)
                .header(header::HOST, entry.to_string())
                .header(header::CONTENT_TYPE, "application/json")
                .body(Full::new(body.clone()))
                .expect("a valid request");
            let sent = timeout(ANNOUNCE_TIMEOUT, self.client.send(*entry, request)).await;
            if matches!(sent, Ok(Ok(answer)) if answer.status().is_success()) {
                return true;
            }
        }
        false
    }
}
