//! The fault of a run, which comes in at a third of it and is healed at two thirds.

use super::{DemoError, Fault, operator::Operator};
use cornelrail_lib::name::Target;
use cornelrail_testutils::{target::StandIn, workload::Workload};

const SLOW_FACTOR: f64 = 10.0;
/// One target in this many is slowed or restarted.
const VICTIM_STRIDE: usize = 5;
/// Zone that is taken out, by its place in the workload's list.
const ZONE_OUT: usize = 1;

/// Targets that a fault strikes.
pub(super) fn victims(fault: Fault, targets: &[StandIn], workload: &Workload) -> Vec<Target> {
    let zone = &workload.zones[ZONE_OUT];
    let struck = |(n, target): &(usize, &StandIn)| match fault {
        Fault::None => false,
        Fault::Slow | Fault::Cold => n % VICTIM_STRIDE == 0,
        Fault::ZoneOut => target.settings().zone == *zone,
        Fault::Kill => *n == 0,
    };
    let struck = targets.iter().enumerate().filter(struck);
    struck.map(|(_, target)| target.name().clone()).collect()
}

/// Brings the fault in.
pub(super) async fn strike(
    fault: Fault,
    (targets, victims): (&[StandIn], &[Target]),
    workload: &Workload,
    operator: &mut Operator,
) -> Result<(), DemoError> {
    if fault == Fault::ZoneOut {
        let zone = workload.zones[ZONE_OUT].as_str();
        return operator.set_zone(zone, "out").await;
    }
    for target in targets.iter().filter(|t| victims.contains(t.name())) {
        match fault {
            Fault::None | Fault::ZoneOut => {}
            Fault::Slow => target.slow(SLOW_FACTOR),
            Fault::Kill => target.kill().await,
            Fault::Cold => target.restart().await?,
        }
    }
    Ok(())
}

/// Ends what operators would end; lost and slow targets stay as they are.
pub(super) async fn heal(
    fault: Fault,
    workload: &Workload,
    operator: &mut Operator,
) -> Result<(), DemoError> {
    match fault {
        Fault::ZoneOut => {
            let zone = workload.zones[ZONE_OUT].as_str();
            operator.set_zone(zone, "in").await
        }
        Fault::None | Fault::Slow | Fault::Kill | Fault::Cold => Ok(()),
    }
}
