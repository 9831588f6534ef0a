//! Course of a run: start, warm up, send under the fault, count.

use super::{
    DemoError, DemoFigures, DemoOptions, Fault,
    entries::Entries,
    fault,
    operator::Operator,
    probe::{Outage, Probes},
    traffic::{self, Stretch},
};
use cornelrail_lib::name::Target;
use cornelrail_testutils::{
    caller::Tally,
    ledger::Ledger,
    target::{ColdStart, StandIn, TargetSettings},
    workload::{Fleet, Workload},
};
use std::{
    io::{self, IsTerminal, Write},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    sync::watch,
    time::{interval, sleep},
};

const SERVED_TIMEOUT: Duration = Duration::from_secs(20);
const SERVED_PAUSE: Duration = Duration::from_millis(100);
/// Number of the stretch that is counted.
const COUNTED_RUN: u64 = 1;
/// Load of the warm-up, as a share of the capacity.
const WARM_UP_LOAD: f64 = 0.25;
const WARM_UP_STEP: Duration = Duration::from_millis(500);
const WARM_UP_TIMEOUT: Duration = Duration::from_secs(20);
/// Time at the load of the run before it is counted.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Requests, for each slot, that a cold target must serve until it is warm.
const COLD_REQUESTS: u32 = 8;
const COLD_FACTOR: f64 = 3.0;
/// Shortest run, so that a fault can strike and be overcome in it.
const SHORTEST_RUN: Duration = Duration::from_secs(6);
const CHURN_SAMPLES: u64 = 4_096;
const PROGRESS_PERIOD: Duration = Duration::from_millis(250);

/// Plays one run.
pub(super) async fn play(options: &DemoOptions) -> Result<DemoFigures, DemoError> {
    let workload = Arc::new(options.workload.sizes());
    let ledger = Arc::new(Ledger::default());
    let entries = Entries::start(&workload, options.policy).await?;
    let mut operator = Operator::new(entries.operators(), entries.token());
    operator.add_services(&workload).await?;
    let targets = start_targets(&workload, &entries.targets(), options.seed, &ledger).await?;
    let stage = Stage {
        callers: entries.callers(),
        options,
        workload,
        ledger,
        targets,
    };
    let figures = stage.perform(&mut operator).await;
    entries.stop().await;
    figures
}

async fn start_targets(
    workload: &Workload,
    entries: &[SocketAddr],
    seed: u64,
    ledger: &Arc<Ledger>,
) -> Result<Vec<StandIn>, DemoError> {
    let mut targets = Vec::new();
    for fleet in [&workload.keyed, &workload.pool] {
        for n in 0..fleet.targets {
            let mut settings = target_settings(workload, fleet, n);
            settings.seed = seed.wrapping_mul(1_000) + targets.len() as u64;
            settings.entries = entries.to_vec();
            targets.push(StandIn::start(settings, Arc::clone(ledger)).await?);
        }
    }
    Ok(targets)
}

fn target_settings(workload: &Workload, fleet: &Fleet, n: u32) -> TargetSettings {
    let zone = &workload.zones[n as usize % workload.zones.len()];
    let name = format!("{}-{}", fleet.service, n + 1);
    TargetSettings {
        slots: fleet.slots,
        keyed: fleet.keyed,
        median: fleet.median,
        sigma: fleet.sigma,
        zones: workload.delays,
        cold: Some(ColdStart {
            requests: COLD_REQUESTS * fleet.slots,
            factor: COLD_FACTOR,
        }),
        ..TargetSettings::new(&name, fleet.service.as_str(), zone.as_str())
    }
}

/// Everything that a run needs.
struct Stage<'a> {
    options: &'a DemoOptions,
    workload: Arc<Workload>,
    ledger: Arc<Ledger>,
    targets: Vec<StandIn>,
    callers: Vec<SocketAddr>,
}

impl Stage<'_> {
    async fn perform(&self, operator: &mut Operator) -> Result<DemoFigures, DemoError> {
        let probes = self.wait_until_served().await?;
        let rate = self.rate(&probes);
        self.warm_up(rate).await;
        let start = Instant::now();
        let before = self.ledger.counts();
        let over = self.ledger.over_bearable();
        let (tally, outage) = self.run(rate, &probes, operator).await?;
        let service = &self.workload.keyed.service;
        let unharmed = self.unharmed();
        Ok(DemoFigures {
            run_twice: self.ledger.run_twice(),
            imbalance: rounded(self.ledger.imbalance(&unharmed, &before)),
            churn: rounded(self.ledger.churn(service, start, CHURN_SAMPLES)),
            over: self.ledger.over_bearable() - over,
            ..figures(&tally, outage)
        })
    }

    /// Waits until every sampled key is answered.
    async fn wait_until_served(&self) -> Result<Probes, DemoError> {
        let start = Instant::now();
        loop {
            let probes = Probes::new(&self.workload, &self.callers, &self.ledger);
            let wanted = probes.len();
            let ready = probes.answered().await;
            let targets = self.workload.keyed.targets as usize;
            if ready == wanted && wanted >= targets {
                return Ok(probes);
            }
            if start.elapsed() >= SERVED_TIMEOUT {
                let seconds = SERVED_TIMEOUT.as_secs();
                return Err(DemoError::NotServed {
                    ready,
                    wanted,
                    seconds,
                });
            }
            sleep(SERVED_PAUSE).await;
        }
    }

    /// Requests a second: the wanted load without that of the probes, but less in a short run.
    fn rate(&self, probes: &Probes) -> f64 {
        let wanted = self.options.load * self.workload.capacity() - probes.rate();
        let longest = self.options.requests as f64 / SHORTEST_RUN.as_secs_f64();
        wanted.min(longest).max(1.0)
    }

    /// Sends requests that are not counted, until no target is cold, and a little longer.
    async fn warm_up(&self, rate: f64) {
        let start = Instant::now();
        let gentle = WARM_UP_LOAD * self.workload.capacity();
        let is_cold = || self.targets.iter().any(|target| !target.warm());
        let mut run = COUNTED_RUN;
        while is_cold() && start.elapsed() < WARM_UP_TIMEOUT {
            run += 1;
            self.send_uncounted(run, gentle, WARM_UP_STEP).await;
        }
        self.send_uncounted(run + 1, rate, SETTLE_TIME).await;
    }

    async fn send_uncounted(&self, run: u64, rate: f64, span: Duration) {
        let stretch = Stretch {
            requests: (rate * span.as_secs_f64()) as u64,
            rate,
            seed: self.options.seed,
            run,
        };
        let (progress, _) = watch::channel(0);
        traffic::send(&self.workload, &self.callers, stretch, &progress).await;
    }

    async fn run(
        &self,
        rate: f64,
        probes: &Probes,
        operator: &mut Operator,
    ) -> Result<(Tally, Outage), DemoError> {
        let stretch = Stretch {
            requests: self.options.requests,
            rate,
            seed: self.options.seed,
            run: COUNTED_RUN,
        };
        let (progress, sent) = watch::channel(0);
        let (over, over_seen) = watch::channel(false);
        let sending = async {
            let tally = traffic::send(&self.workload, &self.callers, stretch, &progress).await;
            over.send_replace(true);
            tally
        };
        let (tally, outage, struck, ()) = tokio::join!(
            sending,
            probes.watch(&over_seen),
            self.strike(sent.clone(), operator),
            show_progress(sent, self.options.requests, &over_seen),
        );
        struck.map(|()| (tally, outage))
    }

    /// Brings the fault in at a third of the run and heals it at two thirds.
    async fn strike(
        &self,
        mut sent: watch::Receiver<u64>,
        operator: &mut Operator,
    ) -> Result<(), DemoError> {
        let fault = self.options.fault;
        let third = self.options.requests / 3;
        let victims = fault::victims(fault, &self.targets, &self.workload);
        let _ = sent.wait_for(|sent| *sent >= third).await;
        let struck = (self.targets.as_slice(), victims.as_slice());
        fault::strike(fault, struck, &self.workload, operator).await?;
        let _ = sent.wait_for(|sent| *sent >= 2 * third).await;
        fault::heal(fault, &self.workload, operator).await
    }

    /// Targets of the keyed service that the fault does not strike.
    fn unharmed(&self) -> Vec<Target> {
        let victims = match self.options.fault {
            Fault::None => Vec::new(),
            fault => fault::victims(fault, &self.targets, &self.workload),
        };
        let keyed = self.targets.iter().filter(|t| t.settings().keyed);
        let names = keyed.map(|target| target.name().clone());
        names.filter(|name| !victims.contains(name)).collect()
    }
}

/// What callers and probes saw; the ledger's part is left out.
fn figures(tally: &Tally, outage: Outage) -> DemoFigures {
    let millis = |share| tally.latency.value_at_quantile(share) as f64 / 1_000.0;
    DemoFigures {
        sent: tally.sent,
        answered: tally.answered,
        not_run: tally.not_run,
        unknown: tally.unknown,
        wrong: tally.wrong + outage.wrong,
        run_twice: 0,
        p50_ms: millis(0.5),
        p99_ms: millis(0.99),
        p999_ms: millis(0.999),
        imbalance: 1.0,
        churn: 0.0,
        unavailable_ms: outage.total.as_millis() as f64,
        worst_ms: outage.worst.as_millis() as f64,
        over: 0,
    }
}

/// A share to four digits after the point.
fn rounded(share: f64) -> f64 {
    (share * 10_000.0).round() / 10_000.0
}

/// Keeps one line on a terminal up to date.
async fn show_progress(sent: watch::Receiver<u64>, total: u64, over: &watch::Receiver<bool>) {
    if !io::stderr().is_terminal() {
        return;
    }
    let mut ticks = interval(PROGRESS_PERIOD);
    while !*over.borrow() {
        ticks.tick().await;
        eprint!("\r{} of {total} requests sent", *sent.borrow());
        let _ = io::stderr().flush();
    }
    eprintln!("\r{:<44}", "");
}
