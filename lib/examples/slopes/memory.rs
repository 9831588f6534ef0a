//! Memory, read as the growth of `VmRSS` in `/proc/self/status`.
//!
//! What is measured is kept until the end, so that freed memory of one run does not hide what the
//! next one takes. A point is the growth since the run's start, so its line gives bytes for each
//! piece. The sizes are far above a page.

use crate::{
    request::{arrival, dispatch},
    scene,
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

const SIZES: [usize; 4] = [20_000, 40_000, 80_000, 160_000];
const TARGETS: usize = 2_500;

/// Measures all memory slopes.
pub fn measure(table: &mut Table) {
    let mut kept: Vec<Box<dyn Any>> = Vec::new();
    for run in 1..=RUNS {
        for size in SIZES {
            let kilo = size / 16;
            grow(table, &mut kept, "range_bytes", size, run, || {
                Box::new(scene::fleet(size, 1, 1))
            });
            grow(table, &mut kept, "target_bytes", kilo, run, || {
                Box::new(scene::fleet(1, kilo, 1))
            });
            grow(table, &mut kept, "open_request_bytes", kilo, run, || {
                Box::new(open_requests(kilo))
            });
            grow(table, &mut kept, "register_bytes", size, run, || {
                Box::new(register(size))
            });
        }
    }
}

fn grow(
    table: &mut Table,
    kept: &mut Vec<Box<dyn Any>>,
    slope: &str,
    size: usize,
    run: u32,
    make: impl FnOnce() -> Box<dyn Any>,
) {
    let before = resident();
    kept.push(make());
    let grown = resident().saturating_sub(before);
    table.add(slope, size, run, grown as f64, "B");
}

/// Resident memory of this process, in bytes.
fn resident() -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|l| l.trim().strip_suffix(" kB"));
    kilobytes.and_then(|k| k.parse::<usize>().ok()).unwrap_or(0) * 1024
}

fn open_requests(count: usize) -> Box<dyn Any> {
    let targets = (count / 200).clamp(1, TARGETS);
    let mut dispatch = dispatch(targets);
    for number in 0..count {
        dispatch.submit(Moment::from_millis(1), arrival(number, targets));
    }
    Box::new((dispatch.take_actions(), dispatch))
}

/// Replica that holds this many records.
pub fn register(count: usize) -> Register {
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
        register.handle(Moment::from_millis(1), Node(2), claim(number));
    }
    register
}

/// Claim of the identity of this number.
pub fn claim(number: usize) -> RegisterRequest {
    RegisterRequest::Claim {
        identity: Identity::from_idempotency_key(
            &scene::SERVICE.into(),
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
