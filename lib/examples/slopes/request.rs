//! The pure part of a request: dispatch at its home, and the claim of a once-only one.

use crate::{
    memory::{self, register},
    scene,
    table::Table,
};
use cornelrail_lib::{
    connection::order::Warmth,
    moment::Moment,
    name::{Incarnation, Node, Service},
    request::dispatch::{
        Arrival, AttemptOutcome, DispatchConfig, Dispatcher, Importance, RequestId, TargetSelector,
        TargetView,
    },
};
use std::{hint::black_box, time::Duration};

const REQUESTS: u32 = 20_000;

/// Measures all slopes of this module once.
pub fn measure(table: &mut Table, run: u32) {
    for targets in [1, 4, 16, 64] {
        let mut dispatch = dispatch(targets);
        let mut number = 0;
        table.time("dispatch_us", targets, run, REQUESTS, || {
            number += 1;
            serve(&mut dispatch, number, targets);
        });
    }
    let claim_bytes = postcard::to_stdvec(&memory::claim(1))
        .unwrap_or_default()
        .len();
    for records in [1_000, 10_000, 100_000] {
        let mut register = register(records);
        let mut number = records;
        table.time("log2_claim_us", records, run, 1_000, || {
            number += 1;
            let claim = memory::claim(number);
            black_box(register.handle(Moment::from_millis(1), Node(2), claim));
        });
        table.add("claim_bytes", records, run, claim_bytes as f64, "B");
    }
}

fn serve(dispatch: &mut Dispatcher, number: usize, targets: usize) {
    let now = Moment::from_millis(number as u64);
    dispatch.submit(now, arrival(number, targets));
    black_box(dispatch.take_actions());
    dispatch.finish_attempt(now, RequestId(number as u64), 1, AttemptOutcome::Answered);
    black_box(dispatch.take_actions());
}

/// Dispatch with warm targets.
pub fn dispatch(targets: usize) -> Dispatcher {
    let mut dispatch = Dispatcher::new(DispatchConfig::default());
    for number in 0..targets {
        dispatch.upsert_target(
            Moment::ZERO,
            TargetView {
                target: scene::target(number),
                service: Service::from(scene::SERVICE),
                zone: scene::zone(number),
                slots: 4,
                incarnation: Incarnation(1),
                warmth: Warmth::Warm,
                enabled: true,
            },
        );
    }
    dispatch
}

/// A request for the key of a target.
pub fn arrival(number: usize, targets: usize) -> Arrival {
    Arrival {
        id: RequestId(number as u64),
        service: Service::from(scene::SERVICE),
        selector: TargetSelector::Keyed(scene::target(number % targets)),
        deadline: Moment::from_millis(number as u64) + Duration::from_secs(60),
        importance: Importance::High,
        once: false,
        fingerprint: None,
        repeatable: true,
    }
}
