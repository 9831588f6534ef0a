//! `cornelrail stand-in`: stand-in targets in a process of their own.

use cornelrail_testutils::{
    ledger::Ledger,
    target::{ColdStart, StandIn, TargetSettings},
};
use serde::Serialize;
use std::{
    io::{self, Write},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use tokio::{
    signal::unix::{SignalKind, signal},
    time::sleep,
};

/// Requests, for each slot, that a cold target must serve until it is warm.
const COLD_REQUESTS: u32 = 8;
const COLD_FACTOR: f64 = 3.0;
const DRAIN_PAUSE: Duration = Duration::from_millis(50);

/// What to run.
#[derive(Debug, Clone, PartialEq)]
pub struct StandInOptions {
    /// Name of the target; with several, each gets `-1`, `-2` and so on.
    pub name: String,
    /// Service that it runs.
    pub service: String,
    /// Zone that it stands in.
    pub zone: String,
    /// Number of targets.
    pub count: u32,
    /// Requests that each runs at once.
    pub slots: u32,
    /// Whether the keys of the service have owners.
    pub keyed: bool,
    /// Median time of a request.
    pub median: Duration,
    /// Addresses at which entries take announcements.
    pub entries: Vec<SocketAddr>,
    /// Longest time for requests in flight once it is asked to stop.
    pub drain: Duration,
}

impl Default for StandInOptions {
    fn default() -> Self {
        StandInOptions {
            name: "stand-in".to_owned(),
            service: "payroll-core".to_owned(),
            zone: "a".to_owned(),
            count: 1,
            slots: 4,
            keyed: true,
            median: Duration::from_millis(20),
            entries: Vec::new(),
            drain: Duration::from_secs(30),
        }
    }
}

/// Why the stand-ins ended.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum StandInError {
    /// No entry to announce to.
    #[error("no entry named; give the targets' address of at least one entry")]
    NoEntry,
    /// A socket could not be had.
    #[error("the platform refuses: {0}; free some ports and try again")]
    Platform(#[from] io::Error),
}

/// One line of what a target did.
#[derive(Debug, Serialize)]
struct Record<'a> {
    target: &'a str,
    served: u64,
    shed: u64,
    cancelled: u64,
    over: u64,
}

/// Runs stand-ins until the process is told to stop, then lets them leave.
pub fn run(options: &StandInOptions) -> Result<(), StandInError> {
    if options.entries.is_empty() {
        return Err(StandInError::NoEntry);
    }
    tokio::runtime::Runtime::new()?.block_on(serve(options))
}

async fn serve(options: &StandInOptions) -> Result<(), StandInError> {
    let ledger = Arc::new(Ledger::default());
    let mut targets = Vec::new();
    for n in 0..options.count {
        let target = StandIn::start(settings(options, n), Arc::clone(&ledger)).await?;
        println!("{} on {}", target.name(), target.address());
        targets.push(target);
    }
    io::stdout().flush()?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    leave(&targets, options.drain).await;
    report(&ledger)
}

fn settings(options: &StandInOptions, n: u32) -> TargetSettings {
    let name = match options.count {
        1 => options.name.clone(),
        _ => format!("{}-{}", options.name, n + 1),
    };
    TargetSettings {
        slots: options.slots,
        keyed: options.keyed,
        median: options.median,
        entries: options.entries.clone(),
        cold: Some(ColdStart {
            requests: COLD_REQUESTS * options.slots,
            factor: COLD_FACTOR,
        }),
        seed: u64::from(n),
        ..TargetSettings::new(&name, &options.service, &options.zone)
    }
}

/// Asks the entries to be let go, then waits until no lease holds and nothing is in flight.
async fn leave(targets: &[StandIn], longest: Duration) {
    for target in targets {
        target.leave().await;
    }
    let start = tokio::time::Instant::now();
    while targets.iter().any(StandIn::busy) && start.elapsed() < longest {
        sleep(DRAIN_PAUSE).await;
    }
}

fn report(ledger: &Ledger) -> Result<(), StandInError> {
    let mut out = io::stdout().lock();
    for (target, counts) in ledger.counts() {
        let record = Record {
            target: target.as_str(),
            served: counts.served,
            shed: counts.shed,
            cancelled: counts.cancelled,
            over: counts.over,
        };
        let line = serde_json::to_string(&record).map_err(io::Error::other)?;
        writeln!(out, "{line}")?;
    }
    Ok(())
}
