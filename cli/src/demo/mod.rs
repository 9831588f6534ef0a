//! `cornelrail demo`: three entries and stand-in targets in one process, under load and faults.
//!
//! The entries are the daemon's own; only targets, callers and the links between the entries are
//! stand-ins. What the figures say of wrong answers and double runs is counted by the stand-ins.

mod entries;
mod fault;
mod figures;
mod operator;
mod probe;
mod scene;
mod traffic;

pub use figures::DemoFigures;

use cornelrail_testutils::{tls::TlsError, workload};
use std::io;

/// Whose sizes and requests are shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Workload {
    /// A payroll gateway over three zones.
    Kindloon,
    /// A trade-in gateway over four zones.
    Nilebay,
}

/// What happens at a third of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// A fifth of the targets takes ten times as long.
    Slow,
    /// A zone is taken out, and brought back at two thirds of the run.
    ZoneOut,
    /// A target is lost for good.
    Kill,
    /// A fifth of the targets starts again, cold.
    Cold,
}

/// How work finds its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Ranges moved by weight, each target commanded by its home.
    Weighted,
    /// Baseline: hash modulo the number of targets.
    Modulo,
    /// Baseline: consistent hashing.
    Consistent,
    /// Baseline: every entry sends with a share of the slots.
    Direct,
}

/// What to run.
#[derive(Debug, Clone, PartialEq)]
pub struct DemoOptions {
    /// Requests to send.
    pub requests: u64,
    /// Sizes and requests.
    pub workload: Workload,
    /// Fault that comes in.
    pub fault: Fault,
    /// How work finds its target.
    pub policy: Policy,
    /// Seed of requests and service times.
    pub seed: u64,
    /// Wanted load as a share of the targets' capacity; a short run sends fewer a second.
    pub load: f64,
}

/// Why the demo gives no figures.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum DemoError {
    /// A socket, a folder or a thread could not be had.
    #[error("the platform refuses: {0}; free ports and space in the temporary folder, try again")]
    Platform(#[from] io::Error),
    /// The keys of the entries could not be made.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// An entry did not start.
    #[error("an entry does not start: {0}")]
    Entry(String),
    /// A release note was not accepted in time.
    #[error("a release note was not accepted: {0}; see docs/OPERATORS.md on notes")]
    Note(String),
    /// The targets did not come into service in time.
    #[error(
        "only {ready} of {wanted} keys are served after {seconds} s; try again on an idle host"
    )]
    NotServed {
        /// Sampled keys that were answered.
        ready: usize,
        /// Sampled keys.
        wanted: usize,
        /// How long the demo waited.
        seconds: u64,
    },
}

impl Default for DemoOptions {
    fn default() -> Self {
        DemoOptions {
            requests: 1_000,
            workload: Workload::Kindloon,
            fault: Fault::None,
            policy: Policy::Weighted,
            seed: 1,
            load: 0.5,
        }
    }
}

impl Workload {
    /// Sizes and requests.
    pub fn sizes(self) -> workload::Workload {
        match self {
            Workload::Kindloon => workload::kindloon(),
            Workload::Nilebay => workload::nilebay(),
        }
    }

    /// Name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Workload::Kindloon => "kindloon",
            Workload::Nilebay => "nilebay",
        }
    }
}

impl Fault {
    /// Name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Fault::None => "none",
            Fault::Slow => "slow",
            Fault::ZoneOut => "zone-out",
            Fault::Kill => "kill",
            Fault::Cold => "cold",
        }
    }
}

impl Policy {
    /// Name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Weighted => "weighted",
            Policy::Modulo => "modulo",
            Policy::Consistent => "consistent",
            Policy::Direct => "direct",
        }
    }
}

/// Runs the demo to its end and returns its figures.
pub fn run(options: &DemoOptions) -> Result<DemoFigures, DemoError> {
    let runtime = tokio::runtime::Runtime::new()?;
    let figures = runtime.block_on(scene::play(options));
    runtime.shutdown_background();
    figures
}
