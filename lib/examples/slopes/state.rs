//! Costs of the replicated fleet state: applying and replicating a command, routing a key,
//! snapshots, and the catch-up of a restarted entry.

use crate::{fixtures, table::Table};
use cornelrail_lib::{
    key::KeyHash,
    version::{command::Command, fleet::Fleet},
};
use rand_chacha::{
    ChaCha12Rng,
    rand_core::{RngCore, SeedableRng},
};
use std::{hint::black_box, sync::Arc};

/// Timed lookups per number of ranges.
const MEASURED_LOOKUPS: u32 = 200_000;

/// Measures the slopes of the fleet state once.
pub fn measure(table: &mut Table, run: u32) {
    measure_apply(table, run);
    measure_replication(table, run);
    measure_routing(table, run);
    measure_catch_up(table, run);
}

/// Measures the apply of one command while a request holds the old state, which makes
/// `Arc::make_mut` copy the whole state. Also measures encoding and decoding a snapshot.
fn measure_apply(table: &mut Table, run: u32) {
    for (ranges, calls) in [(2_560, 200), (10_240, 60), (40_960, 20), (163_840, 10)] {
        let targets = ranges / fixtures::RANGES_PER_TARGET;
        let mut fleet = Arc::new(fixtures::fleet(ranges, targets, targets.div_ceil(3)));
        let command = move_command(ranges, targets, 0);
        table.time("apply_us", ranges, run, calls, || {
            let reader = fleet.clone();
            let index = fleet.index + 1;
            black_box(Arc::make_mut(&mut fleet).apply(index, &command));
            drop(black_box(reader));
        });
        let bytes = postcard::to_stdvec(fleet.as_ref()).unwrap_or_default();
        table.add("snapshot_bytes", ranges, run, bytes.len() as f64, "B");
        table.time("snapshot_us", ranges, run, calls, || {
            black_box(postcard::to_stdvec(black_box(fleet.as_ref())).unwrap_or_default());
        });
        table.time("install_us", ranges, run, calls, || {
            let decoded: Result<Fleet, _> = postcard::from_bytes(black_box(&bytes));
            let _ = black_box(decoded);
        });
    }
}

/// Command that begins a move of one range to the target numbered after its owner.
fn move_command(ranges: usize, targets: usize, number: usize) -> Command {
    let to = (fixtures::owner_index(number, targets) + 1) % targets;
    Command::MoveBegin(vec![fixtures::range_move(ranges, number, to)])
}

/// Measures sending one command to all entries. Clones and encodes it once per entry, as the leader
/// does for each connection.
fn measure_replication(table: &mut Table, run: u32) {
    let command = move_command(2_560, 160, 0);
    let log_entries = vec![(1_000_000_u64, command)];
    let message_bytes = postcard::to_stdvec(&log_entries).unwrap_or_default().len();
    for entries in [8, 32, 128, 512, 2_048] {
        table.add(
            "spread_bytes",
            entries,
            run,
            (message_bytes * entries) as f64,
            "B",
        );
        table.time("spread_us", entries, run, 200, || {
            for _ in 0..entries {
                let copy = black_box(&log_entries).clone();
                black_box(postcard::to_stdvec(&copy).unwrap_or_default());
            }
        });
    }
}

/// Measures the lookup of the range that a random key hash belongs to.
fn measure_routing(table: &mut Table, run: u32) {
    for ranges in [256, 2_560, 10_240, 40_960, 163_840, 1_000_000] {
        let targets = (ranges / fixtures::RANGES_PER_TARGET).min(10_000);
        let fleet = fixtures::fleet(ranges, targets, targets.div_ceil(3));
        let mut rng = ChaCha12Rng::seed_from_u64(u64::from(run));
        let hashes: Vec<KeyHash> = (0..2 * MEASURED_LOOKUPS)
            .map(|_| KeyHash(rng.next_u64()))
            .collect();
        let mut remaining = hashes.iter();
        table.time("log2_route_us", ranges, run, MEASURED_LOOKUPS, || {
            let hash = remaining.next().copied().unwrap_or(KeyHash(0));
            black_box(fleet.route(fixtures::SERVICE, hash));
        });
    }
}

/// Measures the catch-up of a restarted entry, which decodes the commands it missed and applies
/// them. Nothing else holds the state meanwhile, so it is not copied.
fn measure_catch_up(table: &mut Table, run: u32) {
    let (ranges, targets) = (2_560, 160);
    for lag in [64_usize, 256, 1_024, 4_096] {
        let commands: Vec<(u64, Command)> = (0..lag)
            .map(|n| (n as u64 + 2, move_command(ranges, targets, n % ranges)))
            .collect();
        let bytes = postcard::to_stdvec(&commands).unwrap_or_default();
        table.add("catchup_bytes", lag, run, bytes.len() as f64, "B");
        let mut fleet = Arc::new(fixtures::fleet(ranges, targets, 54));
        table.time("catchup_us", lag, run, 1, || {
            let decoded: Vec<(u64, Command)> = postcard::from_bytes(&bytes).unwrap_or_default();
            for (index, command) in &decoded {
                black_box(Arc::make_mut(&mut fleet).apply(*index, command));
            }
        });
    }
}
