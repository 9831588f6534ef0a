//! A process of a seeded fleet as a program: settings, log, signals.

use super::{
    core::{self, CoreHandle},
    entry::{self, EntryHandle},
    logging::{self, EventLog},
    telemetry::Telemetry,
};
use cornelrail_lib::process::{
    event::Event,
    seeded_settings::{Role, SeededSettings},
};
use miette::{IntoDiagnostic, Result};
use std::{fs, path::Path, time::Duration};
use tokio::{
    runtime::Builder,
    signal::unix::{SignalKind, signal},
    time::{MissedTickBehavior, interval},
};

/// Pause between two looks whether the settings file has changed without a signal.
const RELOAD_PAUSE: Duration = Duration::from_secs(2);
/// Tasks that run before timers and sockets are looked at again. With the default of 61, busy tasks
/// hold back deadlines.
const TASKS_PER_TURN: u32 = 4;
/// Stack of the threads that wait for the disk, in bytes.
const DISK_STACK: usize = 256 << 10;

/// Whether the file holds settings of a seeded fleet. One that cannot be read is left to the
/// reader of the other settings, which names the fault.
pub fn is_meant(path: &Path) -> bool {
    fs::read_to_string(path).is_ok_and(|text| SeededSettings::is_seeded(&text))
}

/// Runs the process until it is told to end.
pub fn run(path: &Path) -> Result<()> {
    let text = fs::read_to_string(path).into_diagnostic()?;
    let settings = SeededSettings::parse(&text, &path.display().to_string())?;
    let _logger = logging::start_bounded(settings.log.level)?;
    Event::SettingsLoaded.log(format_args!(
        "file={} name={} role={} seeds={:?} found={}",
        path.display(),
        settings.name,
        settings.role.name(),
        settings.seeds,
        settings.found
    ));
    // One core, or a part of it: more threads would only take turns.
    let runtime = Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(1)
        .event_interval(TASKS_PER_TURN)
        .thread_stack_size(DISK_STACK)
        .build()
        .into_diagnostic()?;
    runtime.block_on(serve(settings, text, path))
}

/// A started process.
enum Running {
    Core(CoreHandle),
    Entry(EntryHandle),
}

async fn start(settings: SeededSettings) -> Result<Running> {
    Ok(match settings.role {
        Role::Core => Running::Core(core::start(settings).await?),
        Role::Entry => Running::Entry(entry::start(settings).await?),
    })
}

async fn serve(settings: SeededSettings, text: String, path: &Path) -> Result<()> {
    let mut term = signal(SignalKind::terminate()).into_diagnostic()?;
    let mut interrupt = signal(SignalKind::interrupt()).into_diagnostic()?;
    let mut hangup = signal(SignalKind::hangup()).into_diagnostic()?;
    if let Some(address) = settings.listen.metrics {
        Telemetry::serve_metrics(address).await.into_diagnostic()?;
    }
    // A core host whose disk is full waits for room before it has started.
    let running = tokio::select! {
        running = start(settings) => running?,
        _ = term.recv() => return Ok(()),
        _ = interrupt.recv() => return Ok(()),
    };
    let mut look = interval(RELOAD_PAUSE);
    look.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut held = text;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&running, path, &mut held),
            _ = look.tick() => reload(&running, path, &mut held),
        }
    }
    match running {
        Running::Core(core) => {
            Event::Stopping.log(format_args!("role=core"));
            core.stop().await;
            Event::Stopped.log(format_args!("role=core"));
        }
        Running::Entry(entry) => entry.stop().await,
    }
    Ok(())
}

/// Takes over what may change while the process runs, if the file is another one.
fn reload(running: &Running, path: &Path, held: &mut String) {
    let text = match fs::read_to_string(path) {
        Ok(text) if text != *held => text,
        Ok(_) => return,
        Err(error) => {
            Event::ReloadFailed.log(format_args!("why={error}"));
            return;
        }
    };
    match SeededSettings::parse(&text, &path.display().to_string()) {
        Ok(settings) => {
            Event::SettingsLoaded.log(format_args!("reload=true seeds={:?}", settings.seeds));
            if let Running::Entry(entry) = running {
                entry.reseed(&settings.seeds);
            }
            *held = text;
        }
        // A file that is being written may be torn; the next look reads it whole.
        Err(fault) => Event::ReloadFailed.log(format_args!("why={fault}")),
    }
}
