//! Compares the assigners in the closed-loop model and prints a table of the imbalance, the churn
//! and the unserved time that several changes cause.
//!
//! Usage: `cargo run --release -p cornelrail-lib --example assigners [SEED]`.

#[allow(dead_code, missing_docs)]
#[path = "../tests/model/mod.rs"]
mod model;

use cornelrail_lib::{
    key::KeyHash,
    process::settings::Assigner,
    version::{effect::PHONE_COLUMNS, fleet::Applied},
};
use model::{Model, zone_of};
use rand_chacha::{
    ChaCha12Rng,
    rand_core::{RngCore, SeedableRng},
};
use std::time::Duration;

const TARGETS: u64 = 20;
const JOINS: u64 = 10;
const KEYS: u64 = 2_000;
/// Time to settle before and after a change.
const SETTLE_TIME: Duration = Duration::from_secs(90);

/// One row of the table.
struct Row {
    assigner: Assigner,
    scenario: &'static str,
    imbalance: f64,
    churn: f64,
    unserved_ms: f64,
    ranges: usize,
}

/// Sets a load with a few hot keys: the rate of the key at rank r is proportional to 1/(r + 3), so
/// the hottest key has about 4 % of the load, which one target of twenty can serve.
fn set_skewed_load(model: &mut Model, seed: u64) {
    model.key_rates.clear();
    let mut rng = ChaCha12Rng::seed_from_u64(seed);
    for rank in 1..=KEYS {
        model
            .key_rates
            .insert(KeyHash(rng.next_u64()), 1000.0 / (rank + 3) as f64);
    }
}

/// Adds the same load for each of the keys.
fn add_even_load(model: &mut Model, seed: u64) {
    let mut rng = ChaCha12Rng::seed_from_u64(seed);
    for _ in 0..KEYS {
        model.key_rates.insert(KeyHash(rng.next_u64()), 1.0);
    }
}

/// Submits a release note based on the current version, which must be accepted.
fn submit_note(model: &mut Model, content: &str) {
    let text = format!("builds_on: {}\n{content}", model.version());
    assert!(matches!(model.commit_note(&text), Applied::NoteAccepted(_)));
}

/// Applies a change to a settled model and measures its effect.
fn measure(
    assigner: Assigner,
    scenario: &'static str,
    seed: u64,
    change: impl Fn(&mut Model),
) -> Row {
    let mut model = Model::with_targets(assigner, TARGETS);
    add_even_load(&mut model, seed);
    model.run(SETTLE_TIME);
    (model.churn, model.unserved_seconds) = (0.0, 0.0);
    change(&mut model);
    model.run(SETTLE_TIME);
    Row {
        assigner,
        scenario,
        imbalance: model.imbalance(),
        churn: model.churn,
        unserved_ms: model.unserved_seconds * 1000.0,
        ranges: model.owners().len(),
    }
}

fn rows(assigner: Assigner, seed: u64) -> Vec<Row> {
    vec![
        measure(assigner, "none", seed, |_| {}),
        measure(assigner, "hot keys", seed, |m| set_skewed_load(m, seed)),
        measure(assigner, "kill one", seed, |m| m.kill_target("w-07")),
        measure(assigner, "ten join", seed, |m| {
            for number in TARGETS + 1..=TARGETS + JOINS {
                m.start_target(&format!("w-{number:02}"), zone_of(number).as_str(), 1);
            }
        }),
        measure(assigner, "zone out", seed, |m| {
            submit_note(m, "changed: {zones: {a: out}}");
        }),
        measure(assigner, "out, back", seed, |m| {
            submit_note(m, "changed: {zones: {a: out}}");
            m.run(Duration::from_secs(20));
            submit_note(m, "changed: {zones: {a: in}}");
        }),
        measure(assigner, "four slow", seed, |m| {
            for name in ["w-01", "w-02", "w-03", "w-04"] {
                m.slow.insert(name.into());
            }
        }),
    ]
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(1);
    println!("seed {seed}, {TARGETS} targets, {KEYS} keys in use");
    println!("assigner   change    imbal churn  unserved ranges");
    println!("{}", "-".repeat(PHONE_COLUMNS));
    for assigner in [Assigner::Weighted, Assigner::Modulo, Assigner::Consistent] {
        for row in rows(assigner, seed) {
            let name = format!("{:?}", row.assigner).to_lowercase();
            println!(
                "{name:10} {:9} {:5.2} {:5.3} {:6.1} ms {:6}",
                row.scenario, row.imbalance, row.churn, row.unserved_ms, row.ranges
            );
        }
    }
}
