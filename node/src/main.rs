//! Entry point of the daemon.

use cornelrail_lib::process::{event::Event, settings::Settings};
use cornelrail_node::process::{
    daemon::{self, DaemonError},
    logging::{self, EventLog},
    seeded,
    settings_file::{self, LoadError},
    telemetry::Telemetry,
};
use lexopt::{
    Arg::{Long, Short, Value},
    Parser,
};
use miette::{Diagnostic, IntoDiagnostic, Report, Result};
use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};
use thiserror::Error;
use tokio::signal::unix::{SignalKind, signal};

const HELP: &str = "cornelraild SETTINGS.yaml [--help]
the daemon of one entry host";

/// Exit code for bad arguments or settings.
const EXIT_USAGE: u8 = 2;

/// Why the daemon's arguments cannot be used.
#[derive(Debug, Error, Diagnostic)]
enum ArgumentError {
    /// No settings file is named.
    #[error("no settings file is named")]
    #[diagnostic(
        code(cornelrail::arguments::missing),
        help("run `cornelraild SETTINGS.yaml`")
    )]
    Missing,
}

enum Wish {
    Help,
    Run(PathBuf),
}

fn arguments() -> Result<Wish> {
    let mut parser = Parser::from_env();
    let mut file = None;
    while let Some(argument) = parser.next().into_diagnostic()? {
        match argument {
            Short('h') | Long("help") => return Ok(Wish::Help),
            Value(path) if file.is_none() => file = Some(PathBuf::from(path)),
            other => return Err(other.unexpected()).into_diagnostic(),
        }
    }
    Ok(Wish::Run(file.ok_or(ArgumentError::Missing)?))
}

fn fail(report: &Report, code: u8) -> ExitCode {
    eprintln!("{report:?}");
    ExitCode::from(code)
}

fn main() -> ExitCode {
    let path = match arguments() {
        Ok(Wish::Help) => {
            println!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Ok(Wish::Run(path)) => path,
        Err(report) => return fail(&report, EXIT_USAGE),
    };
    if seeded::is_meant(&path) {
        return match seeded::run(&path) {
            Ok(()) => ExitCode::SUCCESS,
            Err(report) => fail(&report, 1),
        };
    }
    let settings = match settings_file::load(&path) {
        Ok(settings) => settings,
        Err(error) => return fail(&error.into(), EXIT_USAGE),
    };
    match run(settings, &path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            Event::StartFailed.log(format_args!("why={report}"));
            fail(&report, 1)
        }
    }
}

/// Adds the place in the settings to the error of an address.
fn located(error: DaemonError, path: &Path) -> Report {
    match error {
        DaemonError::Listen {
            name,
            address,
            source,
        } => {
            Event::AddressInUse.log(format_args!("listen={name} address={address}"));
            LoadError::listen(path, name, address, source).into()
        }
        other => other.into(),
    }
}

fn run(settings: Settings, path: &Path) -> Result<()> {
    let _logger = logging::start(&settings.log)?;
    Event::SettingsLoaded.log(format_args!("file={}", path.display()));
    let telemetry = Telemetry::install()?;
    let metrics = telemetry.metrics;
    let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
    runtime.block_on(async move {
        tokio::spawn(Telemetry::upkeep(metrics.clone()));
        let mut term = signal(SignalKind::terminate()).into_diagnostic()?;
        let mut interrupt = signal(SignalKind::interrupt()).into_diagnostic()?;
        let daemon = daemon::start(settings, metrics)
            .await
            .map_err(|error| located(error, path))?;
        tokio::select! {
            _ = term.recv() => {}
            _ = interrupt.recv() => {}
        }
        daemon.stop().await;
        Ok(())
    })
}
