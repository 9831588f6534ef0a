//! Costs of a request without I/O: dispatch at the home entry, and the claim of a once-only request
//! at a register replica.

use crate::{
    fixtures,
    memory::{self, filled_register},
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

/// Timed requests per number of targets.
const MEASURED_REQUESTS: u32 = 20_000;

/// Measures the slopes of a request once.
pub fn measure(table: &mut Table, run: u32) {
    for targets in [1, 4, 16, 64] {
        let mut dispatcher = warm_dispatcher(targets);
        let mut number = 0;
        table.time("dispatch_us", targets, run, MEASURED_REQUESTS, || {
            number += 1;
            dispatch_one(&mut dispatcher, number, targets);
        });
    }
    let claim_bytes = postcard::to_stdvec(&memory::claim_request(1))
        .unwrap_or_default()
        .len();
    for records in [1_000, 10_000, 100_000] {
        let mut register = filled_register(records);
        let mut number = records;
        table.time("log2_claim_us", records, run, 1_000, || {
            number += 1;
            let claim = memory::claim_request(number);
            black_box(register.handle(Moment::from_millis(1), Node(2), claim));
        });
        table.add("claim_bytes", records, run, claim_bytes as f64, "B");
    }
}

/// Submits a request and finishes its first attempt with an answer.
fn dispatch_one(dispatcher: &mut Dispatcher, number: usize, targets: usize) {
    let now = Moment::from_millis(number as u64);
    dispatcher.submit(now, arrival(number, targets));
    black_box(dispatcher.take_actions());
    dispatcher.finish_attempt(now, RequestId(number as u64), 1, AttemptOutcome::Answered);
    black_box(dispatcher.take_actions());
}

/// Dispatcher with `targets` warm targets, all enabled.
pub fn warm_dispatcher(targets: usize) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatchConfig::default());
    for number in 0..targets {
        dispatcher.upsert_target(
            Moment::ZERO,
            TargetView {
                target: fixtures::target_name(number),
                service: Service::from(fixtures::SERVICE),
                zone: fixtures::zone_name(number),
                slots: 4,
                incarnation: Incarnation(1),
                warmth: Warmth::Warm,
                enabled: true,
            },
        );
    }
    dispatcher
}

/// Request for a key that one target owns; the targets take turns by `number`.
pub fn arrival(number: usize, targets: usize) -> Arrival {
    Arrival {
        id: RequestId(number as u64),
        service: Service::from(fixtures::SERVICE),
        selector: TargetSelector::Keyed(fixtures::target_name(number % targets)),
        deadline: Moment::from_millis(number as u64) + Duration::from_secs(60),
        importance: Importance::High,
        once: false,
        fingerprint: None,
        repeatable: true,
    }
}
