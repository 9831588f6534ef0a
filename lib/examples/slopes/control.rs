//! Costs of the control plane: encoding entry reports and lease orders, controller ticks,
//! assigner plans and raft commits.

use crate::{fixtures, table::Table, voters::Voters};
use cornelrail_lib::{
    connection::order::{Grant, LeaseOrder},
    key::KeyRange,
    moment::Moment,
    name::{Epoch, Fence, Incarnation},
    process::{
        raft::Identity,
        settings::{Assigner, Timing},
    },
    version::{
        assigner::{self, Holder, RangeView, ServiceView, TargetView},
        command::Command,
        controller::{Controller, ControllerConfig},
        fleet::Fleet,
        report::EntryReport,
    },
};
use std::{hint::black_box, time::Duration};

/// Timed commits per number of voters.
const MEASURED_COMMITS: u32 = 3_000;

/// Measures the slopes of the control plane once.
pub fn measure(table: &mut Table, run: u32) {
    measure_reports(table, run);
    measure_lease_orders(table, run);
    measure_ticks(table, run);
    measure_plans(table, run);
    measure_commits(table, run);
}

/// Measures the size of an entry report with loads, the time to encode and decode it, and the size
/// of a heartbeat, which has no loads. The size of a heartbeat does not depend on the number of
/// targets, but a line needs points at two sizes.
fn measure_reports(table: &mut Table, run: u32) {
    for targets in [1, 4, 16, 64, 256] {
        let fleet = fixtures::fleet(targets * fixtures::RANGES_PER_TARGET, targets, 1);
        let report = fixtures::report(&fleet, 0, true);
        let bytes = postcard::to_stdvec(&report).unwrap_or_default();
        table.add("report_bytes", targets, run, bytes.len() as f64, "B");
        table.time("report_us", targets, run, 1_000, || {
            let bytes = postcard::to_stdvec(black_box(&report)).unwrap_or_default();
            let decoded: Result<EntryReport, _> = postcard::from_bytes(black_box(&bytes));
            let _ = black_box(decoded);
        });
    }
    let fleet = fixtures::fleet(16, 1, 1);
    let heartbeat = postcard::to_stdvec(&fixtures::report(&fleet, 0, false)).unwrap_or_default();
    table.add("heartbeat_bytes", 0, run, heartbeat.len() as f64, "B");
    table.add("heartbeat_bytes", 256, run, heartbeat.len() as f64, "B");
}

/// Measures the size of a lease order and the time to encode and decode it.
fn measure_lease_orders(table: &mut Table, run: u32) {
    for grants in [1, 4, 16, 64, 256] {
        let order = lease_order(grants);
        let json = serde_json::to_vec(&order).unwrap_or_default();
        table.add("order_bytes", grants, run, json.len() as f64, "B");
        table.time("order_us", grants, run, 2_000, || {
            let json = serde_json::to_vec(black_box(&order)).unwrap_or_default();
            let decoded: Result<LeaseOrder, _> = serde_json::from_slice(black_box(&json));
            let _ = black_box(decoded);
        });
    }
}

fn lease_order(grants: usize) -> LeaseOrder {
    let ranges = KeyRange::partition(grants as u64).into_iter();
    LeaseOrder {
        incarnation: Incarnation(1_764_800_000_000),
        epoch: Epoch(1_000_000),
        serial: 1_000_000,
        until_ms: 100_000_000,
        grants: ranges
            .map(|range| Grant {
                range,
                fence: Fence(1_000_000),
            })
            .collect(),
        drain: false,
    }
}

/// Default timing of the daemon.
fn default_timing() -> Timing {
    Timing {
        heartbeat: Duration::from_millis(100),
        entry_lease: Duration::from_millis(900),
        target_lease: Duration::from_millis(400),
        election: Duration::from_millis(250),
        drift: Duration::from_millis(20),
    }
}

/// Measures a tick in a steady fleet: every entry has reported, and no change is due.
fn measure_ticks(table: &mut Table, run: u32) {
    for (targets, calls) in [(25, 200), (100, 50), (400, 20), (1_600, 10), (3_200, 10)] {
        let entries = (targets / 3).max(1);
        let fleet = fixtures::fleet(targets * fixtures::RANGES_PER_TARGET, targets, entries);
        let mut controller = Controller::new(
            ControllerConfig::new(default_timing(), Assigner::Weighted, 0),
            Moment::ZERO,
        );
        let now = Moment::from_millis(1);
        for node in 0..entries {
            controller.on_report(now, &fixtures::report(&fleet, node, true));
        }
        controller.tick(now, &fleet);
        table.time("tick_us", targets, run, calls, || {
            tick(&mut controller, now, &fleet)
        });
    }
}

fn tick(controller: &mut Controller, now: Moment, fleet: &Fleet) {
    black_box(controller.tick(now, fleet));
}

/// Measures a plan that has to grant the ranges of one target.
fn measure_plans(table: &mut Table, run: u32) {
    for (targets, calls) in [(25, 500), (100, 100), (400, 30), (1_600, 10), (3_200, 10)] {
        let view = service_view(targets);
        table.time("plan_us", targets, run, calls, || {
            black_box(assigner::plan(Assigner::Weighted, black_box(&view)));
        });
    }
}

/// Service in which the ranges of target 0 have no owner, as after the loss of that target.
/// The plan has to grant them.
fn service_view(targets: usize) -> ServiceView {
    let ranges = targets * fixtures::RANGES_PER_TARGET;
    let range_view = |(number, range): (usize, KeyRange)| RangeView {
        range,
        holder: match fixtures::owner_index(number, targets) {
            0 => Holder::Unowned,
            owner => Holder::Target(owner),
        },
        moving: false,
        rate: 188.0,
        busiest_key: None,
    };
    ServiceView {
        ranges: KeyRange::partition(ranges as u64)
            .into_iter()
            .enumerate()
            .map(range_view)
            .collect(),
        targets: (0..targets)
            .map(|number| TargetView {
                name: fixtures::target_name(number),
                zone: fixtures::zone_name(number),
                slots: 4,
                warmth: 1.0,
                speed: 1.0,
            })
            .collect(),
        max_moves: 24,
        max_churn: 0.1,
        max_relief: 0.0,
        ring_salt: 0,
    }
}

/// Measures commits without a disk, by number of voters and by commands per batch.
fn measure_commits(table: &mut Table, run: u32) {
    let command = Command::MoveEnd(vec![fixtures::range_move(16, 0, 1)]);
    let bytes = postcard::to_stdvec(&command).unwrap_or_default();
    for count in [1, 3, 5, 7] {
        let mut voters = diskless_voters(count);
        table.time(
            "commit_voters_us",
            count as usize,
            run,
            MEASURED_COMMITS,
            || voters.commit(1, &bytes),
        );
    }
    for batch in [1, 10, 100, 1_000] {
        let mut voters = diskless_voters(3);
        table.time("commit_batch_us", batch, run, 50, || {
            voters.commit(batch, &bytes);
            voters.compact();
        });
    }
}

fn diskless_voters(count: u64) -> Voters<u64> {
    Voters::new((1..=count).collect(), |number| Identity(*number), |_, _| {})
}
