//! Memory use, measured as the growth of `VmRSS` in `/proc/self/status`.
//!
//! All measured values are retained until the end: a value built in memory that an earlier one
//! freed would not increase `VmRSS`. A point is the growth while one value is built, so the step
//! of the fitted line is the number of bytes per item. All values are far larger than a page.

use crate::{
    fixtures,
    request::{arrival, warm_dispatcher},
    table::{RUNS, Table},
};
use cornelrail_lib::{
    moment::Moment,
    name::{Incarnation, Node},
    request::once::{
        ClaimId, Identity, Membership, Register, RegisterConfig, RegisterRequest, StartKind,
    },
};
use std::{any::Any, fs};

/// Numbers of ranges and register records; targets and open requests use a sixteenth of them.
const SIZES: [usize; 4] = [20_000, 40_000, 80_000, 160_000];
/// Largest number of targets that the open requests are spread over.
const MAX_TARGETS: usize = 2_500;

/// Measures the memory slopes in all runs.
pub fn measure(table: &mut Table) {
    let mut retained: Vec<Box<dyn Any>> = Vec::new();
    for run in 1..=RUNS {
        for size in SIZES {
            let reduced_size = size / 16;
            measure_growth(table, &mut retained, "range_bytes", size, run, || {
                Box::new(fixtures::fleet(size, 1, 1))
            });
            measure_growth(
                table,
                &mut retained,
                "target_bytes",
                reduced_size,
                run,
                || Box::new(fixtures::fleet(1, reduced_size, 1)),
            );
            measure_growth(
                table,
                &mut retained,
                "open_request_bytes",
                reduced_size,
                run,
                || Box::new(dispatcher_with_requests(reduced_size)),
            );
            measure_growth(table, &mut retained, "register_bytes", size, run, || {
                Box::new(filled_register(size))
            });
        }
    }
}

/// Adds the growth of resident memory while `build` runs, and retains the built value.
fn measure_growth(
    table: &mut Table,
    retained: &mut Vec<Box<dyn Any>>,
    slope: &str,
    size: usize,
    run: u32,
    build: impl FnOnce() -> Box<dyn Any>,
) {
    let before = resident_bytes();
    retained.push(build());
    let growth = resident_bytes().saturating_sub(before);
    table.add(slope, size, run, growth as f64, "B");
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|l| l.trim().strip_suffix(" kB"));
    kilobytes.and_then(|k| k.parse::<usize>().ok()).unwrap_or(0) * 1024
}

/// Dispatcher with `count` open requests, with one target per 200 requests.
fn dispatcher_with_requests(count: usize) -> Box<dyn Any> {
    let targets = (count / 200).clamp(1, MAX_TARGETS);
    let mut dispatcher = warm_dispatcher(targets);
    for number in 0..count {
        dispatcher.submit(Moment::from_millis(1), arrival(number, targets));
    }
    Box::new((dispatcher.take_actions(), dispatcher))
}

/// Replica of the once-only register that holds `count` records.
pub fn filled_register(count: usize) -> Register {
    let members: Vec<Node> = (1..=5).map(Node).collect();
    let config = RegisterConfig {
        capacity: usize::MAX,
        ..RegisterConfig::default()
    };
    let mut register = Register::new(
        Moment::ZERO,
        Node(1),
        Incarnation(1),
        StartKind::First,
        Membership::new(&members),
        config,
    );
    for number in 0..count {
        register.handle(Moment::from_millis(1), Node(2), claim_request(number));
    }
    register
}

/// Claim whose identity comes from an idempotency key unique to `number`.
pub fn claim_request(number: usize) -> RegisterRequest {
    RegisterRequest::Claim {
        identity: Identity::from_idempotency_key(
            &fixtures::SERVICE.into(),
            "customer",
            &number.to_string(),
        ),
        claim: ClaimId {
            node: Node(2),
            incarnation: Incarnation(1_764_800_000_000),
            serial: number as u64,
        },
    }
}
